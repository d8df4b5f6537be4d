#ifndef LYCHEETRESTLE_SCHEDULING_PLACER_H
#define LYCHEETRESTLE_SCHEDULING_PLACER_H

#include "scheduling/placement_report.h"
#include "scheduling/rank_cache.h"
#include "scheduling/schedule_state.h"
#include "workspaces/share_policy.h"
#include "workspaces/start_budget.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace lycheetrestle::scheduling {

class placement_bound;

/// An endpoint that accepts new runs.
struct placement_target {
  std::uint32_t Endpoint = 0;
  std::string Pool;
  resource_amounts Free; ///< Capacity minus all runs that have not ended.
  std::vector<std::string> Labels;
  std::string Rack;
  std::uint32_t LatencySensitiveRuns = 0; ///< Tasks with a tail latency target.
  std::uint32_t BestEffortRuns = 0;
  std::uint32_t LongRunning = 0;
  std::uint32_t Runs = 0; ///< All runs that have not ended.
  /// A wave still has to interrupt its host.
  bool IsMaintenanceDue = false;
  /// Only the suspect task for which it is reserved may be placed on it.
  bool IsReserved = false;
  /// Number of runs by stepKey(), for steps with a limit per endpoint.
  std::map<std::string, std::uint32_t> RunsByStep;
  /// Number of suspect runs on it by the crashed incarnations that made them
  /// suspects.
  std::map<std::uint32_t, std::uint32_t> SuspectRuns;
};

/// Sum of the resources that runs reserve. It may exceed a capacity that has
/// shrunk.
struct capacity_use {
  std::uint64_t MilliCores = 0;
  std::uint64_t MemoryMb = 0;
  std::uint64_t Accelerators = 0;
  void add(const resource_amounts &Size);
  bool fits(const resource_amounts &Capacity) const;
  /// \returns what is left of the capacity; zero where it is exceeded.
  resource_amounts freeOf(const resource_amounts &Capacity) const;
};

/// A step whose earlier steps are done and that has tasks without a run.
struct waiting_step {
  job_rank Rank;
  const job_record *Job = nullptr;
  const occurrence_record *Occurrence = nullptr;
  std::uint32_t Step = 0;
};

/// A run to start, with the resources that it reserves.
struct placement {
  start_run Start;
  resource_amounts Size;
};

/// Stands for any endpoint in placement_request::EndpointFor.
inline constexpr std::uint32_t AnyEndpoint =
    std::numeric_limits<std::uint32_t>::max();

/// Limits and callbacks of one round of placement.
struct placement_request {
  std::size_t MaxStarts = 0; ///< Limit of placements; a gang may exceed it.
  /// Whether a task must not be placed now, for example after an endpoint
  /// refused it. May be empty.
  std::function<bool(const task_key &)> IsDeferred;
  /// Whether the endpoint accepts new runs now. Asked at most once in a round
  /// for each endpoint, and only where a task would fit. May be empty.
  std::function<bool(std::uint32_t)> IsSchedulable;
  /// Whether an order may still interrupt the host of the endpoint, so that no
  /// long-running task may start there. Asked at most once in a round for each
  /// endpoint. May be empty.
  std::function<bool(std::uint32_t)> MayBeInterrupted;
  /// Whether the endpoint is left out for long-running tasks until it answers.
  /// Asked at most once in a round for each endpoint. May be empty.
  std::function<bool(std::uint32_t)> IsUnanswered;
  /// Whether the task may run on the endpoint, for queues that require advice.
  /// May be empty.
  std::function<bool(const task_key &, const job_record &, std::uint32_t)>
      IsAllowed;
  /// \returns the endpoint on which a suspect task may start, 0 when it has to
  /// wait, AnyEndpoint when it may start beside other runs, or nothing for a
  /// task that is no suspect. May be empty.
  std::function<std::optional<std::uint32_t>(const task_key &)> EndpointFor;
  /// \returns the incarnations that crashed under a suspect task. May be empty.
  std::function<std::vector<std::uint32_t>(const task_key &)> CrashesOf;
  /// \returns how likely the endpoint's host crashes by itself under the
  /// suspect task, 0 when nothing points to it. May be empty.
  std::function<std::uint32_t(const task_key &, std::uint32_t)> HostRisk;
  /// Called with each pool in which a task that is no suspect fits only an
  /// endpoint that is reserved. May be empty.
  std::function<void(const std::string &)> RecordHeldUp;
  /// Limits of the workspaces; reduced by the placements. Null for none.
  workspaces::start_budget *Budget = nullptr;
  /// \returns whether a workspace has used more of a pool than its share, so
  /// that its work goes after that of others. May be empty.
  std::function<workspaces::share_level(const std::string &Pool,
                                        const std::string &Workspace)>
      LevelOf;
  /// Receives what the round did. May be null.
  placement_report *Report = nullptr;
  /// Bounds of the work on steps without a place, by pool, kept from round to
  /// round. Without them all steps are tried.
  std::map<std::string, placement_bound, std::less<>> *Bounds = nullptr;
};

/// Where the next waiting task of a step would start, and why not elsewhere.
struct placement_outlook {
  std::uint32_t Endpoint = 0; ///< Or 0 when the task has to wait.
  /// Why it waits, if that does not depend on the endpoint.
  std::optional<placement_failure> Held;
  /// The other endpoints of the pool with the reason against each of them;
  /// Count for one that has a place too.
  std::vector<std::pair<std::uint32_t, placement_failure>> Others;
};

/// Looks for a place as placeRuns() does for a step that comes first in a round
/// and is no suspect. The targets stay unchanged.
placement_outlook explainPlacement(const waiting_step &Waiting,
                                   std::span<placement_target *const> Targets,
                                   const placement_request &Request);

/// \returns the key of the task's step in placement_target::RunsByStep.
std::string stepKey(const task_key &Task);

/// \returns the resources that a task of the step reserves on an endpoint.
/// Best-effort tasks reserve no cores because they run on idle ones.
resource_amounts reservedSize(const step_spec &Step);

/// \returns whether the step's earlier steps are done and a task of it has no
/// run and is not done.
bool hasWaitingTask(const job_spec &Spec, const occurrence_record &Occurrence,
                    std::uint32_t Step);

/// \returns the waiting steps of all jobs by rank.
std::vector<waiting_step> waitingSteps(const schedule_state &State,
                                       rank_cache &Ranks, std::int64_t NowMs);

/// Places waiting tasks on endpoints.
///
/// Designed for several pools whose queues peak one after the other: tasks are
/// placed in the order of rankOf(), each on the endpoint with the least free
/// cores that fits (best fit), so that free capacity for large tasks remains.
/// Latency-sensitive tasks are kept apart from best-effort tasks and from each
/// other, and both prefer the endpoint with the most free cores. Long-running
/// tasks are packed on few endpoints, and kept from those whose host a wave
/// still has to interrupt, because each interruption uses up their budget. A
/// gang is placed whole or not at all. \param State the jobs. \param Waiting
/// the steps to place, from waitingSteps(). \param Targets the endpoints; their
/// free capacity is reduced by the placements. \returns the runs to start.
std::vector<placement> placeRuns(std::span<const waiting_step> Waiting,
                                 std::span<placement_target *const> Targets,
                                 const placement_request &Request);

class waiting_index;

/// Places waiting tasks as the other placeRuns() does. Steps of a class for
/// which no endpoint has room are not visited, and constrained steps without a
/// place only within the bounds of the request.
/// \param Suspects the steps of the jobs with suspect tasks, by rank.
std::vector<placement> placeRuns(const waiting_index &Waiting,
                                 std::span<const waiting_step> Suspects,
                                 std::span<placement_target *const> Targets,
                                 const placement_request &Request);

} // namespace lycheetrestle::scheduling

#endif
