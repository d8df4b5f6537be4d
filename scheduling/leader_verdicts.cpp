#include "core/event_log.h"
#include "scheduling/leader.h"

#include <algorithm>

namespace lycheetrestle::scheduling {

namespace {

// Limit of the lines about unanswered starts in each interval.
constexpr std::size_t MaxStartLines = 50;
constexpr core::duration StartLineInterval = std::chrono::seconds(1);
// Lines for the runs of one endpoint that ended.
constexpr std::size_t MaxEndedRunLines = 10;

/// \returns the milliseconds since the time, or -1 when it is zero.
std::int64_t msSince(core::time_point Time, core::time_point Now) {
  if (Time == core::time_point())
    return -1;
  return std::chrono::duration_cast<std::chrono::milliseconds>(Now - Time)
      .count();
}

} // namespace

void leader::recordVerdict(const tracked_endpoint &Tracked,
                           const task_key &Task, const tracked_run &Run,
                           run_end Outcome, std::string_view Reason,
                           core::time_point Now) {
  Verdicts.record(Task, {Run.Attempt, Tracked.Endpoint, Outcome,
                         std::string(Reason), Now, Run.hasOpenStart(),
                         std::max(Run.FirstSentAt, Run.UnansweredSentAt),
                         Now >= Tracked.LeaseExpiry});
}

void leader::logUnansweredStart(const tracked_endpoint &Tracked,
                                const start_order &Order,
                                const no_answer &NoAnswer,
                                core::time_point SentAt, core::time_point Now) {
  if (Now >= NextStartLines) {
    NextStartLines = Now + StartLineInterval;
    StartLinesLeft = MaxStartLines;
  }
  if (StartLinesLeft == 0)
    return;
  --StartLinesLeft;
  core::logEvent(
      core::log_level::Warning, "start_unanswered",
      {{"job", Order.Task.Job},
       {"step", Order.Task.Step},
       {"index", Order.Task.Index},
       {"attempt", Order.Attempt},
       {"endpoint", Tracked.Id},
       {"number", Tracked.Endpoint},
       {"sent_ms_ago", msSince(SentAt, Now)},
       {"endpoint_silent_ms",
        msSince(Tracked.LastAnswer, std::max(SentAt, Tracked.LastAnswer))},
       {"may_have_run", NoAnswer.MayHaveRun},
       {"reason", NoAnswer.Reason}});
}

void leader::logRunsOfEnded(const tracked_endpoint &Tracked, end_cause Cause,
                            core::time_point Now) const {
  std::size_t Lines = 0;
  for (const auto &[Key, Run] : Tracked.Runs) {
    const auto *Task = State.findTask(Key);
    bool IsKept = Task && Task->Endpoint == Tracked.Endpoint;
    if (IsKept || !Run.hasOpenStart())
      continue;
    if (++Lines > MaxEndedRunLines)
      return;
    core::logEvent(
        core::log_level::Warning, "run_lost",
        {{"job", Key.Job},
         {"step", Key.Step},
         {"index", Key.Index},
         {"attempt", Run.Attempt},
         {"endpoint", Tracked.Endpoint},
         {"reason", toText(Cause)},
         {"unanswered_starts", Run.UnansweredStarts},
         {"start_sent_ms_ago",
          msSince(std::max(Run.FirstSentAt, Run.UnansweredSentAt), Now)}});
  }
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
       {"verdict_age_ms", Verdict ? msSince(Verdict->At, Now) : -1},
       {"open_start", Verdict && Verdict->HasOpenStart},
       {"start_sent_ms_ago", Verdict ? msSince(Verdict->StartSentAt, Now) : -1},
       {"newest_attempt", Record->Attempt},
       {"newest_endpoint", Record->Endpoint}});
}

} // namespace lycheetrestle::scheduling
