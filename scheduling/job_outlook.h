#ifndef LYCHEETRESTLE_SCHEDULING_JOB_OUTLOOK_H
#define LYCHEETRESTLE_SCHEDULING_JOB_OUTLOOK_H

#include "admission/admission.h"
#include "scheduling/job_order.h"
#include "workspaces/share_policy.h"
#include "workspaces/start_budget.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheetrestle::scheduling {

/// Endpoints with the same reason against a task.
struct refused_endpoints {
  std::size_t Count = 0;
  std::vector<std::string> Names; ///< Of some of them.
};

/// Where the next waiting task of a step would start now.
struct step_outlook {
  std::uint32_t Step = 0;
  std::size_t WaitingTasks = 0;
  std::string Endpoint; ///< Id, or empty when the task has to wait.
  /// Why it waits, if that does not depend on the endpoint; a name as in the
  /// log, or empty.
  std::string Held;
  std::map<std::string, refused_endpoints> Others; ///< By reason.
};

/// What a leader would do with an occurrence of a job now.
struct job_outlook {
  bool IsLeaderNew = false; ///< It does not know all endpoints yet.
  /// Places depend on advice that is requested once the job is accepted.
  bool IsAdvicePending = false;
  job_rank Rank;
  /// Waiting steps of the pool that are placed before it; counted up to
  /// MaxStepsBefore.
  std::size_t StepsBefore = 0;
  workspaces::share_level Level = workspaces::share_level::Within;
  workspaces::start_budget::account Account; ///< Of its workspace.
  std::vector<step_outlook> Steps; ///< With tasks that could start now.
};

inline constexpr std::size_t MaxStepsBefore = 10'000;

} // namespace lycheetrestle::scheduling

#endif
