#ifndef LYCHEETRESTLE_SCHEDULING_LEADER_LOAD_H
#define LYCHEETRESTLE_SCHEDULING_LEADER_LOAD_H

#include "core/clock.h"
#include "scheduling/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace lycheetrestle::scheduling {

/// Work of a leader that waits for a decision or an answer.
struct leader_load {
  std::size_t LiveJobs = 0;
  std::size_t WaitingTasks = 0; ///< Without a run, of ready steps.
  /// Time since the submission of the oldest job of which no task has started.
  std::int64_t OldestWaitMs = 0;
  std::size_t PendingOrders = 0; ///< Without an answer.
  std::size_t PendingStarts = 0; ///< Start orders among them.
  /// Time since the oldest order without an answer was created, apart from
  /// polls, which wait at the endpoint.
  std::int64_t OldestOrderMs = 0;
  std::size_t SuspectEndpoints = 0;
};

/// A long-running task that is not at work, or a suspect task without a run.
struct unserved_task {
  task_key Task;
  core::duration Since{};     ///< How long this leader finds it so.
  std::uint32_t Endpoint = 0; ///< Number; 0 when no run is assigned.
  std::string_view WaitsFor;  ///< For the log.
  /// What is known about the endpoint of its run; empty without one.
  bool IsDraining = false;
  bool HasDeregistered = false;
  /// Until every lease that the endpoint may hold has expired; 0 after that.
  core::duration LeaseLeft{};
  /// Since this leader's last contact with the endpoint; negative without one.
  core::duration ContactAge = std::chrono::milliseconds(-1);
  /// Since the submission of its job, when the task never had a run, it waits
  /// for no earlier step and the job is not repeated.
  std::optional<core::duration> Waiting = {};
  core::duration PauseLeft{}; ///< Until it may start again after a crash.
};

} // namespace lycheetrestle::scheduling

#endif
