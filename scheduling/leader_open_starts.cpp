#include "core/event_log.h"
#include "scheduling/leader.h"

#include <algorithm>
#include <utility>

// Start orders without an answer. Endpoints check the id and the fencing token
// of an order, and the next incarnation with an id knows no token until it has
// obeyed an order of its own. So the end of an incarnation does not end the
// orders that were sent to it: the next one may execute them. A run with such
// an order stays assigned to the ended incarnation until
// - the next one is recorded, which takes the run over and lists it or not, or
// - the order can no longer be executed, and what it may have started is over.

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// Interval of lists of hosts while runs wait for the next incarnation.
constexpr core::duration OpenStartListInterval = std::chrono::seconds(1);
// How long after its record a further copy may be sent. The next leader counts
// from the record, so that its bound may be this much too early.
constexpr core::duration RepeatWindow = milliseconds(500);

} // namespace

core::time_point leader::openUntil(const tracked_run &Run,
                                   core::time_point Now) {
  if (Run.Phase == run_phase::Starting && Run.IsOrderPending)
    return Now + MaxOrderDelay;
  return Run.OpenUntil;
}

void leader::inheritOpenStart(tracked_run &Run, const task_record &Task,
                              bool HasEnded, core::time_point Now) const {
  if (Task.OpenStartMs != 0) {
    // A copy is sent within MaxStartTime of its record.
    auto Left = std::max(core::duration(),
                         MaxOrderDelay - logTimeSince(Task.OpenStartMs));
    if (HasEnded || Left > core::duration())
      Run.OpenUntil = Now + Left;
    return;
  }
  if (Task.IsStartAnswered && !HasEnded) {
    // As under the leader that had the answer: no further copy is sent, and
    // the lists show whether it still runs.
    Run.Phase = run_phase::Running;
    Run.VisibleSince = Now;
    Run.PercentChangedAt = Now;
    return;
  }
  if (!HasEnded && logTimeSince(Task.StartedMs) >= MaxStartTime)
    return;
  Run.IsOpenAssumed = !HasEnded;
  Run.OpenUntil = Now + MaxOrderDelay;
}

void leader::settleAssumedStart(tracked_run &Run) {
  if (!Run.IsOpenAssumed || !Run.MayBeStartedByOther ||
      Run.FirstSentAt != core::time_point())
    return;
  Run.IsOpenAssumed = false;
  Run.OpenUntil = {};
}

bool leader::mayRepeatStart(const tracked_endpoint &Tracked,
                            const task_key &Task, const task_record &Record,
                            tracked_run &Run, core::time_point Now) {
  bool HasCopy =
      Run.UnansweredStarts > 0 || Record.OpenStartMs != 0 ||
      (Run.MayBeStartedByOther && Run.OpenUntil != core::time_point());
  if (!HasCopy)
    return true;
  // The list may show that the copy was executed.
  if (Run.MayBeStartedByOther && !Tracked.HasList)
    return false;
  if (Run.OpenRecordedAt != core::time_point() &&
      Now - Run.OpenRecordedAt < RepeatWindow)
    return true;
  if (!std::exchange(Run.IsOpenProposed, true))
    OpenStarts.push_back({Task, Run.Attempt});
  return false;
}

void leader::proposeAnsweredStart(const tracked_endpoint &Tracked,
                                  const task_key &Task, tracked_run &Run) {
  // An answer does not name the incarnation. The next leader may rely on it all
  // the same, because the lists of hosts that it reads were requested after
  // the answer: one that shows the end of this incarnation shows that of a
  // later one which had accepted the order. The list of this leader may be
  // older than the answer.
  if (Run.IsAnswerProposed || Run.IsOrderPending || Run.IsEnded ||
      Run.UnansweredStarts > 0 || Run.OpenUntil != core::time_point() ||
      Tracked.HasEnded || Tracked.IsReplaced ||
      Tracked.EndListedAt != core::time_point())
    return;
  const auto *Step = findStep(Task);
  const auto *Record = State.findTask(Task);
  if (!Step || !Step->IsLongRunning || !Record || Record->IsStartAnswered ||
      Record->OpenStartMs != 0)
    return;
  Run.IsAnswerProposed = true;
  AnsweredStarts.push_back({Task, Run.Attempt});
}

void leader::recordOpenStart(const record_open_start &Record,
                             core::time_point Now) {
  auto Place = EndpointOfRun.find(Record.Task);
  if (Place == EndpointOfRun.end())
    return;
  auto &Tracked = trackEndpoint(Place->second, Now);
  auto Run = Tracked.Runs.find(Record.Task);
  if (Run == Tracked.Runs.end() || Run->second.Attempt != Record.Attempt)
    return;
  Run->second.OpenRecordedAt = Now;
  Run->second.IsOpenProposed = false;
  markDue(Tracked);
}

core::duration leader::logTimeSince(std::int64_t TimeMs) const {
  return milliseconds(std::max<std::int64_t>(0, State.timeMs() - TimeMs));
}

core::time_point leader::endOfLongestLease(core::time_point Start) const {
  return Start + Settings.MaxLease * MaxLeasePercent / 100;
}

end_endpoint leader::describeEnd(const tracked_endpoint &Tracked,
                                 incarnation_end End,
                                 core::time_point Now) const {
  // An endpoint that leaves as planned gets no start for seconds before.
  bool IsPlanned = End.Cause == end_cause::Planned;
  end_endpoint Command{Tracked.Endpoint, std::move(End), {}};
  for (const auto &[Key, Run] : Tracked.Runs) {
    if (Run.IsEnded || (IsPlanned && Run.IsOpenAssumed))
      continue;
    // Answers to starts do not name the incarnation: the next one may have
    // accepted a start after the host was listed as down.
    bool IsAfterEnd = Tracked.EndListedAt != core::time_point() &&
                      Run.AcceptedAt >= Tracked.EndListedAt;
    if ((IsAfterEnd && !isSucceeded(Tracked)) ||
        mayStartElsewhere(Tracked, Run, Now) == end_proof::None)
      Command.OpenStarts.push_back(Key);
  }
  return Command;
}

void leader::keepOpenStarts(tracked_endpoint &Tracked, core::time_point Now) {
  Tracked.HasEnded = true;
  Tracked.IsSuspect = true;
  Tracked.SuspectedAt = Now;
  recordOrphans(Tracked, {});
  Tracked.DeregisteredAt.reset();
  for (auto &[Key, Run] : Tracked.Runs) {
    Run.OpenUntil = std::max(Run.OpenUntil, openUntil(Run, Now));
    // Accepted since the host was listed.
    if (Run.OpenUntil == core::time_point())
      Run.OpenUntil = Now;
    const auto *Task = State.findTask(Key);
    auto CommittedAgo = Task ? logTimeSince(Task->StartedMs) : core::duration();
    core::logEvent(
        core::log_level::Info, "open_start_kept",
        {{"job", Key.Job},
         {"step", Key.Step},
         {"index", Key.Index},
         {"attempt", Run.Attempt},
         {"endpoint", Tracked.Id},
         {"number", Tracked.Endpoint},
         {"assumed", Run.IsOpenAssumed},
         {"listed", Run.ListedIn != 0},
         {"committed_ms_ago",
          std::chrono::duration_cast<milliseconds>(CommittedAgo).count()},
         {"open_ms",
          std::chrono::duration_cast<milliseconds>(Run.OpenUntil - Now)
              .count()}});
  }
  Metrics.add("open_starts_kept_total", Tracked.Runs.size());
}

bool leader::isSucceeded(const tracked_endpoint &Tracked) const {
  if (Tracked.IsAddressTaken)
    return true;
  const auto *Row = Hosts.find(Tracked.Host);
  return Row && Row->State == host_state::Up && !Row->EndpointId.empty() &&
         Row->EndpointId != Tracked.Id &&
         Hosts.HostOfEndpoint.count(Tracked.Id) == 0;
}

end_evidence leader::evidenceOf(const tracked_endpoint &Tracked) const {
  end_evidence Evidence;
  Evidence.HasRuns = !Tracked.Runs.empty();
  Evidence.DeregisteredAt = Tracked.DeregisteredAt;
  Evidence.RefusedAt = Tracked.RefusedAt;
  Evidence.IsOutOfReach =
      Tracked.IsSuspect || Tracked.IsReplaced || Tracked.FencedAt;
  Evidence.LeaseExpiry = Tracked.LeaseExpiry;
  Evidence.IsSucceeded = Tracked.IsAddressTaken;
  // A row may be older than an incarnation that is not known to have ended.
  if (!Tracked.HasEnded && EndedIncarnations.count(Tracked.Endpoint) == 0)
    return Evidence;
  Evidence.IsSucceeded = isSucceeded(Tracked);
  const auto *Row = Hosts.find(Tracked.Host);
  // A list need not be whole: its row of the host is enough.
  if (Row && Hosts.KeptHosts.count(Tracked.Host) == 0 &&
      (Row->State != host_state::Up || Row->EndpointId != Tracked.Id))
    Evidence.UnlistedAt = Hosts.ListedAt;
  return Evidence;
}

end_proof leader::mayStartElsewhere(const tracked_endpoint &Tracked,
                                    const tracked_run &Run,
                                    core::time_point Now) const {
  return proveStartsVoid(evidenceOf(Tracked), openUntil(Run, Now),
                         endOfLongestLease({}) - core::time_point(), Now);
}

void leader::collectOpenStarts(tracked_endpoint &Tracked,
                               std::vector<command> &Commands,
                               core::time_point Now) {
  if (Tracked.Runs.empty()) {
    Commands.emplace_back(end_endpoint{Tracked.Endpoint});
    return;
  }
  requestHostList(OpenStartListInterval);
  for (auto &[Key, Run] : Tracked.Runs)
    if (auto Proof = mayStartElsewhere(Tracked, Run, Now);
        Proof != end_proof::None)
      loseRun(Tracked, Key, Run, toText(Proof), Commands, Now);
}

void leader::loseRun(const tracked_endpoint &Tracked, const task_key &Task,
                     tracked_run &Run, std::string_view Reason,
                     std::vector<command> &Commands, core::time_point Now) {
  if (std::exchange(Run.IsEnded, true))
    return;
  core::logEvent(core::log_level::Warning, "run_lost",
                 {{"job", Task.Job},
                  {"step", Task.Step},
                  {"index", Task.Index},
                  {"attempt", Run.Attempt},
                  {"endpoint", Tracked.Endpoint},
                  {"reason", Reason}});
  auto Outcome = Run.mayHaveStarted() ? run_end::Lost : run_end::Refused;
  recordVerdict(Tracked, Task, Run, Outcome, Reason, Now);
  Commands.emplace_back(end_run{Task, Run.Attempt, Outcome, Run.Checkpoint});
}

} // namespace lycheetrestle::scheduling
