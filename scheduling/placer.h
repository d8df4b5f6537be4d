#ifndef LYCHEETRESTLE_SCHEDULING_PLACER_H
#define LYCHEETRESTLE_SCHEDULING_PLACER_H

#include "scheduling/rank_cache.h"
#include "scheduling/schedule_state.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lycheetrestle::scheduling {

/// An endpoint that may take new runs.
struct placement_target {
  std::uint32_t Endpoint = 0;
  std::string Pool;
  resource_amounts Free; ///< Capacity less everything that has not ended there.
  std::vector<std::string> Labels;
  std::string Rack;
  std::uint32_t LatencySensitiveRuns = 0; ///< Tasks with a tail latency target.
  std::uint32_t BestEffortRuns = 0;
  std::uint32_t LongRunning = 0;
  /// Runs of each step of an occurrence there, for steps with a limit.
  std::map<std::string, std::uint32_t> RunsByStep;
};

/// A run that the caller decided, with the size that it takes.
struct placement {
  start_run Start;
  resource_amounts Size;
};

struct placement_request {
  std::int64_t NowMs = 0; ///< Wall time.
  std::size_t MaxStarts = 0;
  rank_cache *Ranks = nullptr; ///< Must be set.
  /// Whether a task must wait, for example after a refusal.
  std::function<bool(const task_key &)> IsDeferred;
  /// Whether the step may run on the endpoint. Queues with advice need it.
  std::function<bool(const task_key &, const job_record &, std::uint32_t)>
      IsAllowed;
};

/// \returns the key of RunsByStep.
std::string stepKey(const task_key &Task);

/// \returns what a task takes from an endpoint; tasks that fill idle capacity
/// take no cores.
resource_amounts reservedSize(const step_spec &Step);

/// Chooses which waiting tasks start where.
///
/// Answers the load of several pools whose queues peak one after the other:
/// each pool's tasks are taken in the order of rankOf(), and each goes to the
/// endpoint that it fills best, so that room for large tasks stays. Tasks that
/// serve keep away from tasks that fill. A gang starts whole or not at all.
/// \param State the jobs.
/// \param Targets the endpoints; their room is reduced by what is placed.
/// \returns the runs to start.
std::vector<placement> placeRuns(const schedule_state &State,
                                 std::vector<placement_target> &Targets,
                                 const placement_request &Request);

} // namespace lycheetrestle::scheduling

#endif
