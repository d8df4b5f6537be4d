#include "core/event_log.h"
#include "scheduling/leader.h"

namespace lycheetrestle::scheduling {

void leader::recordVerdict(const tracked_endpoint &Tracked,
                           const task_key &Task, const tracked_run &Run,
                           run_end Outcome, std::string_view Reason,
                           core::time_point Now) {
  Verdicts.record(
      Task, {Run.Attempt, Tracked.Endpoint, Outcome, std::string(Reason), Now});
}

void leader::checkVerdict(const tracked_endpoint &Tracked, const task_key &Task,
                          std::uint32_t Attempt, std::string_view Listed,
                          core::time_point Now) {
  // An end that an earlier leader recorded as done is listed until a cursor
  // confirms it.
  const auto *Record = State.findTask(Task);
  if (!Record || Record->IsDone || Record->Attempt < Attempt)
    return;
  const auto *Verdict = Verdicts.find(Task, Attempt);
  auto Outcome = Verdict ? toText(Verdict->Outcome) : "unknown";
  Metrics.add("contradicted_verdicts_total{verdict=\"" + std::string(Outcome) +
              "\",listed=\"" + std::string(Listed) + "\"}");
  auto AgeMs = Verdict ? std::chrono::duration_cast<std::chrono::milliseconds>(
                             Now - Verdict->At)
                             .count()
                       : -1;
  core::logEvent(
      core::log_level::Warning, "verdict_contradicted",
      {{"job", Task.Job},
       {"step", Task.Step},
       {"index", Task.Index},
       {"attempt", Attempt},
       {"endpoint", Tracked.Endpoint},
       {"listed", Listed},
       {"verdict", Outcome},
       {"reason", Verdict ? Verdict->Reason : "given by an earlier leader"},
       {"verdict_endpoint", Verdict ? Verdict->Endpoint : 0},
       {"verdict_age_ms", AgeMs},
       {"newest_attempt", Record->Attempt},
       {"newest_endpoint", Record->Endpoint}});
}

} // namespace lycheetrestle::scheduling
