#include "core/event_log.h"
#include "scheduling/leader.h"

#include <algorithm>
#include <utility>

// Runs that an endpoint lists although they are not assigned to it. Whatever
// made the verdict on such a run wrong, its task does not start elsewhere while
// it may be at work: its end is awaited.

namespace lycheetrestle::scheduling {

void leader::recordOrphans(tracked_endpoint &Tracked,
                           std::map<task_key, orphaned_run> Orphans) {
  if (!Orphans.empty() || !Tracked.OrphanedRuns.empty()) {
    Tracked.IsCapacityStale = true;
    IsPlacementDue = true;
  }
  Tracked.OrphanedRuns = std::move(Orphans);
  if (Tracked.OrphanedRuns.empty())
    OrphanEndpoints.erase(Tracked.Endpoint);
  else
    OrphanEndpoints.insert(Tracked.Endpoint);
}

bool leader::isOrphaned(const task_key &Task, core::time_point Now) const {
  return std::any_of(OrphanEndpoints.begin(), OrphanEndpoints.end(),
                     [&](std::uint32_t Number) {
                       auto Found = TrackedEndpoints.find(Number);
                       return Found != TrackedEndpoints.end() &&
                              Found->second.OrphanedRuns.count(Task) > 0 &&
                              mayRunOrphans(Found->second, Now);
                     });
}

bool leader::mayRunOrphans(const tracked_endpoint &Tracked,
                           core::time_point Now) const {
  if (EndedIncarnations.count(Tracked.Endpoint) > 0)
    return false;
  // Its lease is not renewed once the endpoint does not answer or obey.
  bool IsPolled =
      !Tracked.IsSuspect && !Tracked.IsReplaced && !Tracked.FencedAt;
  return IsPolled || Now < std::max(Tracked.LeaseExpiry,
                                    endOfLongestLease(Tracked.LastAnswer));
}

void leader::claimDone(tracked_endpoint &Tracked, const end_row &Row,
                       core::time_point Now) {
  const auto *Task = State.findTask(Row.Task);
  const auto *Step = findStep(Row.Task);
  if (!Task || !Step || Step->IsLongRunning || Task->IsDone ||
      Row.Attempt > Task->Attempt)
    return;
  const auto *Verdict = Verdicts.find(Row.Task, Row.Attempt);
  // The lease of another incarnation says nothing about this one.
  if (!Verdict ||
      (Verdict->WasLeaseOver && Verdict->Endpoint == Tracked.Endpoint))
    return;
  if (Task->Endpoint != 0) {
    auto Place = TrackedEndpoints.find(Task->Endpoint);
    if (Place == TrackedEndpoints.end())
      return;
    auto Run = Place->second.Runs.find(Row.Task);
    if (Run == Place->second.Runs.end() || Run->second.mayHaveStarted())
      return;
    withdrawClaimed(Place->second, Row.Task, Now);
  }
  ClaimedTasks.insert(Row.Task);
  Tracked.PendingEnds.push_back(
      {Row.Task, Row.Attempt, run_end::Done, Row.Checkpoint});
  Metrics.add("ends_claimed_total");
  core::logEvent(core::log_level::Info, "end_claimed",
                 {{"job", Row.Task.Job},
                  {"step", Row.Task.Step},
                  {"index", Row.Task.Index},
                  {"attempt", Row.Attempt},
                  {"endpoint", Tracked.Endpoint},
                  {"newest_attempt", Task->Attempt}});
}

void leader::withdrawClaimed(tracked_endpoint &Tracked, const task_key &Task,
                             core::time_point Now) {
  if (!Tracked.Runs[Task].IsEnded)
    endUnstartedRun(Tracked, Task, "an earlier run is done", Now);
}

} // namespace lycheetrestle::scheduling
