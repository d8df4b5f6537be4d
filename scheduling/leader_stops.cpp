#include "core/event_log.h"
#include "scheduling/leader.h"

#include <algorithm>

// Stops of long-running tasks by reason:
// - Draining and Evacuated ask the budget (leader_budget.cpp), but for a drain
//   that is about to end.
// - JobOver asks nothing when the job was cancelled, has completed, or failed
//   by its own attempts. After a verdict on crashes see keepsTasksAtWork().
// - StartRejected is sent only to a run that no poll lists as running.
// - NotListed and Stalled concern runs that are not at work.
// - An orphaned run has to end whatever the budget: its task is waiting or was
//   started elsewhere, and must not run twice.

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// How long a task of a job that was given up keeps its host from maintenance.
// The task that crashed does not come back, so that the budget alone may never
// allow it; callers read the state of a job more often than this.
constexpr std::int64_t MaxMaintenanceDelayMs = 30'000;

std::int64_t toMs(core::duration Duration) {
  return std::chrono::duration_cast<milliseconds>(Duration).count();
}

} // namespace

bool leader::keepsTasksAtWork(const job_record &Job, std::uint32_t Step) {
  return Job.State == job_state::Failed && Job.GivenUp &&
         Step < Job.Spec.Steps.size() && Job.Spec.Steps[Step].IsLongRunning;
}

void leader::verifyStart(tracked_run &Run, core::time_point Now) {
  Run.Phase = run_phase::Unconfirmed;
  Run.MayStartLate = true;
  Run.VisibleSince = Now;
}

void leader::keepAtWork(tracked_run &Run, core::time_point Now) {
  // A run that is not known to be at work must not be started again: the job
  // has no payload any more.
  if (Run.Phase == run_phase::Stopping ||
      (Run.Phase == run_phase::Running && Run.Percent >= 100))
    return;
  if (Run.mayHaveStarted())
    verifyStart(Run, Now);
  else
    beginStop(Run, stop_reason::JobOver, Now);
}

void leader::stopForgottenRuns(core::time_point Now, std::int64_t WallMs) {
  for (const auto &Id : State.givenUpJobs()) {
    const auto *Job = State.findJob(Id);
    if (Job && Job->RunsLeft > 0 && Job->EndedMs + JobRetentionMs < WallMs)
      stopRunsOf(*Job, Now, true);
  }
  for (const auto &[Host, Since] : Hosts.Cordoned) {
    const auto *Found = trackedOnHost(Host);
    if (!Found)
      continue;
    auto &Tracked = TrackedEndpoints.find(Found->Endpoint)->second;
    for (auto &[Key, Run] : Tracked.Runs) {
      const auto *Job = State.findJob(Key.Job);
      if (!Job || !keepsTasksAtWork(*Job, Key.Step) ||
          Run.Phase == run_phase::Stopping ||
          Job->EndedMs + MaxMaintenanceDelayMs >= WallMs)
        continue;
      beginStop(Run, stop_reason::JobOver, Now);
      markDue(Tracked);
    }
  }
}

void leader::logOrphanStop(const tracked_endpoint &Tracked, const task_key &Key,
                           const orphaned_run &Run,
                           core::time_point Now) const {
  const auto *Step = findStep(Key);
  const auto *Task = State.findTask(Key);
  auto Peers = countPeers(Key, interruption::Run, Now);
  core::logEvent(core::log_level::Warning, "orphan_stop_sent",
                 {{"job", Key.Job},
                  {"step", Key.Step},
                  {"index", Key.Index},
                  {"attempt", Run.Attempt},
                  {"endpoint", Tracked.Endpoint},
                  {"long_running", Step && Step->IsLongRunning},
                  {"percent", Run.Percent},
                  {"newer_attempt", Task ? Task->Attempt : 0u},
                  {"newer_endpoint", Task ? Task->Endpoint : 0u},
                  {"peers_unavailable", Peers.Unavailable},
                  {"peers_ordered", Peers.Ordered},
                  {"may_miss", Step ? Step->MaxUnavailable : 0u},
                  {"answer_age_ms", toMs(Now - Tracked.LastAnswer)}});
}

} // namespace lycheetrestle::scheduling
