#include "core/event_log.h"
#include "scheduling/leader.h"

#include <algorithm>

// Stops of long-running tasks by reason:
// - Draining and Evacuated ask the budget (leader_budget.cpp), but for a drain
//   that is about to end.
// - JobOver asks nothing: the job was cancelled, has completed, or failed by
//   its own attempts.
// - StartRejected is sent only to a run that no poll lists as running.
// - NotListed and Stalled concern runs that are not at work.
// - An orphaned run has to end whatever the budget: its task is waiting or was
//   started elsewhere, and must not run twice.

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

std::int64_t toMs(core::duration Duration) {
  return std::chrono::duration_cast<milliseconds>(Duration).count();
}

} // namespace

void leader::verifyStart(tracked_run &Run, core::time_point Now) {
  Run.Phase = run_phase::Unconfirmed;
  Run.MayStartLate = true;
  Run.VisibleSince = Now;
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
