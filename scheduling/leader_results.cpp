#include "core/event_log.h"
#include "scheduling/leader.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// Delay of a poll after one that failed at a scheduler; repeating it at once
// would add to the load that made it fail.
constexpr core::duration LocalRetryInterval = milliseconds(100);
// How long a task is not placed after an endpoint refused its start.
constexpr core::duration RefusalBackoff = milliseconds(150);
// A run counts as stalled when it makes no progress for the longer of this time
// and StallEstimateFactor times its estimate.
constexpr core::duration MinStallTime = milliseconds(2500);
constexpr std::int64_t StallEstimateFactor = 3;
// Allows for the error of the estimated clock when a lease is issued.
constexpr core::duration LeaseMargin = milliseconds(300);
// A run that an endpoint still lists this long after it acknowledged the stop
// is stopped again. Endpoints end a run within a fraction of it.
constexpr core::duration MaxStopTime = std::chrono::seconds(3);
// Limit of the runs of one endpoint that are stopped because nothing assigned
// them to it. It lists the others again; without a limit one answer of 4 MiB
// would cause an order for each of its rows.
constexpr std::size_t MaxOrphanedRuns = 256;

// Largest step between the numbers of two ends. An endpoint lists 500 ends at a
// time and numbers them without gaps; a row beyond that is not one of its ends,
// and confirming it would make the endpoint forget ends that were never read.
constexpr std::uint64_t MaxEndStep = 1000;

/// \returns the largest number that follows from the earlier one in steps of at
/// most MaxEndStep; a new leader knows no earlier one.
std::uint64_t lastEndNumber(std::uint64_t Earlier,
                            const std::vector<end_row> &Rows) {
  std::vector<std::uint64_t> Numbers;
  Numbers.reserve(Rows.size());
  for (const auto &Row : Rows)
    Numbers.push_back(Row.Number);
  std::sort(Numbers.begin(), Numbers.end());
  for (auto Number : Numbers) {
    if (Earlier != 0 && Number > Earlier + MaxEndStep)
      break;
    Earlier = std::max(Earlier, Number);
  }
  return Earlier;
}

std::string_view name(endpoint_verdict Verdict) {
  switch (Verdict) {
  case endpoint_verdict::Accepted:
    return "accepted";
  case endpoint_verdict::Fenced:
    return "fenced";
  case endpoint_verdict::OldRun:
    return "old_run";
  case endpoint_verdict::LateOrder:
    return "late_order";
  case endpoint_verdict::NoCapacity:
    return "no_room";
  case endpoint_verdict::BadTicket:
    return "bad_ticket";
  case endpoint_verdict::Unhealthy:
    return "unhealthy";
  case endpoint_verdict::OtherIncarnation:
    return "other_life";
  case endpoint_verdict::BadOrder:
    return "bad_order";
  }
  return "unknown";
}

/// \returns whether the endpoint did nothing for this reason, or an answer
/// cannot be read.
bool isRefusal(endpoint_verdict Verdict) {
  return Verdict == endpoint_verdict::Unhealthy ||
         Verdict == endpoint_verdict::BadOrder;
}

/// \returns whether an endpoint that refuses a start for this reason does not
/// have the run, and obeys the order's fencing token from now on. The other
/// refusals may come before it looks at the order.
bool hasLookedForRun(endpoint_verdict Verdict) {
  return Verdict == endpoint_verdict::NoCapacity;
}

} // namespace

void leader::finishOrder(order_result Result, core::time_point Now) {
  auto Found = PendingOrders.find(Result.Id);
  if (Found == PendingOrders.end())
    return;
  auto Pending = std::move(Found->second);
  PendingOrders.erase(Found);
  if (std::holds_alternative<start_order>(Pending.Order.Body))
    --PendingStarts;
  if (const auto *Advise = std::get_if<advise_order>(&Pending.Order.Body)) {
    finishAdvice(*Advise, Result, Now);
    return;
  }
  if (Pending.Order.Endpoint == ProbedEndpoint) {
    finishProbe(Pending.Order, Result, Now);
    return;
  }
  if (Pending.Order.Endpoint == 0) {
    finishHostOrder(Pending.Order, Result, Now);
    return;
  }
  auto Tracked = TrackedEndpoints.find(Pending.Order.Endpoint);
  if (Tracked == TrackedEndpoints.end())
    return;
  markDue(Tracked->second);
  if (const auto *Start = std::get_if<start_order>(&Pending.Order.Body))
    finishStart(Tracked->second, *Start, Result, Pending.SentAt, Now);
  else if (const auto *Stop = std::get_if<stop_order>(&Pending.Order.Body))
    finishStop(Tracked->second, *Stop, Result, Now);
  else if (Tracked->second.PendingContactCheck == Result.Id)
    finishContactCheck(Tracked->second, Result, Pending.SentAt, Now);
  else if (const auto *Poll = std::get_if<poll_order>(&Pending.Order.Body))
    finishPoll(Tracked->second, *Poll, Result, Pending.SentAt, Now);
  else if (const auto *Throttle =
               std::get_if<throttle_order>(&Pending.Order.Body)) {
    auto Run = Tracked->second.Runs.find(Throttle->Task);
    if (Run == Tracked->second.Runs.end() ||
        Run->second.Attempt != Throttle->Attempt)
      return;
    Run->second.IsOrderPending = false;
    const auto *Answer = std::get_if<endpoint_answer>(&Result.Answer);
    if (!Answer && std::get<no_answer>(Result.Answer).MayHaveRun)
      Run->second.ThrottlePercent.reset();
    if (Answer && recordAnswer(Tracked->second, *Answer, Now) &&
        Answer->Verdict == endpoint_verdict::Accepted) {
      Run->second.ThrottlePercent = Throttle->Percent;
      // A stall is measured from here on: a rate of 0 allows no progress.
      Run->second.PercentChangedAt = Now;
    }
  }
}

bool leader::recordAnswer(tracked_endpoint &Tracked,
                          const endpoint_answer &Answer, core::time_point Now) {
  const auto &Facts = State.endpoints().find(Tracked.Endpoint)->second.Facts;
  if (Answer.IncarnationMs && *Answer.IncarnationMs != Facts.IncarnationMs &&
      Answer.Verdict != endpoint_verdict::OtherIncarnation) {
    recordReplacement(Tracked, Now);
    return false;
  }
  if (Answer.Verdict == endpoint_verdict::OtherIncarnation) {
    Tracked.IsAddressTaken = true;
    if (EndedIncarnations.insert(Tracked.Endpoint).second)
      core::logEvent(
          core::log_level::Warning, "endpoint_replaced",
          {{"endpoint", Facts.Id}, {"born_ms", Facts.IncarnationMs}});
    return false;
  }
  if (Answer.Verdict == endpoint_verdict::Fenced) {
    Tracked.FencedAt = Tracked.FencedAt.value_or(Now);
    core::logEvent(
        core::log_level::Warning, "endpoint_fenced",
        {{"endpoint", Facts.Id}, {"fence", fenceOf(Tracked.Endpoint)}});
    return false;
  }
  if (Tracked.IsSuspect) {
    core::logEvent(core::log_level::Info, "endpoint_regained",
                   {{"endpoint", Facts.Id}});
    IsPlacementDue = true;
  }
  Tracked.IsSuspect = false;
  Tracked.RefusedAt = {};
  // Only lists name the incarnation. One that has obeyed a poll of its own
  // refuses those for earlier ones from then on.
  if (Answer.Verdict == endpoint_verdict::Accepted && Answer.IncarnationMs &&
      std::exchange(Tracked.MayHoldEarlierLease, false) &&
      !Tracked.IsReplaced && !Tracked.IsLeaseProlonged)
    Tracked.LeaseExpiry =
        std::min(Tracked.LeaseExpiry, endOfLongestLease(Now) + LeaseMargin);
  Tracked.IsLeaseProlonged = false;
  // The incarnation itself answered: an earlier answer to the contrary was
  // wrong.
  if (Answer.IncarnationMs)
    Tracked.IsReplaced = false;
  Tracked.LastAnswer = Now;
  if (Answer.Verdict == endpoint_verdict::Accepted)
    Tracked.MayObeyEarlier = false;
  if (Answer.ClockMs)
    confirmClock(Tracked, *Answer.ClockMs, Now);
  return true;
}

void leader::recordNoAnswer(tracked_endpoint &Tracked, std::string_view What,
                            const no_answer &NoAnswer, core::time_point Now) {
  Metrics.add("unanswered_orders_total");
  Tracked.RefusedAt = NoAnswer.IsRefused ? Now : core::time_point();
  if (Tracked.IsSuspect)
    return;
  if (NoAnswer.IsLocal) {
    Metrics.add("orders_failed_locally_total");
    Tracked.NextPoll = std::max(Tracked.NextPoll, Now + LocalRetryInterval);
    return;
  }
  Tracked.IsSuspect = true;
  Tracked.SuspectedAt = Now;
  Tracked.NextPoll = Now;
  core::logEvent(
      core::log_level::Warning, "endpoint_suspected",
      {{"endpoint", State.endpoints().find(Tracked.Endpoint)->second.Facts.Id},
       {"order", What},
       {"reason", NoAnswer.Reason},
       {"runs", Tracked.Runs.size()}});
}

void leader::endUnstartedRun(tracked_endpoint &Tracked, const task_key &Task,
                             std::string_view Why, core::time_point Now) {
  auto &Run = Tracked.Runs[Task];
  Run.IsEnded = true;
  UnstartedRuns.push_back(
      {Task, Run.Attempt, run_end::Refused, Run.Checkpoint});
  recordVerdict(Tracked, Task, Run, run_end::Refused, Why, Now);
  DeferredTasks[Task] = Now + RefusalBackoff;
  Metrics.add("starts_refused_total");
  core::logEvent(core::log_level::Info, "start_refused",
                 {{"job", Task.Job},
                  {"step", Task.Step},
                  {"index", Task.Index},
                  {"attempt", Run.Attempt},
                  {"endpoint", Tracked.Endpoint},
                  {"reason", Why}});
}

void leader::finishStart(tracked_endpoint &Tracked, const start_order &Order,
                         const order_result &Result, core::time_point SentAt,
                         core::time_point Now) {
  auto Found = Tracked.Runs.find(Order.Task);
  bool IsCurrent =
      Found != Tracked.Runs.end() && Found->second.Attempt == Order.Attempt;
  if (IsCurrent)
    Found->second.IsOrderPending = false;
  const auto *Answer = std::get_if<endpoint_answer>(&Result.Answer);
  if (!Answer) {
    const auto &NoAnswer = std::get<no_answer>(Result.Answer);
    if (IsCurrent && NoAnswer.MayHaveRun) {
      ++Found->second.UnansweredStarts;
      Found->second.UnansweredSentAt = SentAt;
      Found->second.OpenUntil =
          std::max(Found->second.OpenUntil, SentAt + MaxOrderDelay);
      Found->second.IsOpenAssumed = false;
      Found->second.IsOpenProposed = true;
      OpenStarts.push_back({Order.Task, Order.Attempt});
    }
    logUnansweredStart(Tracked, Order, NoAnswer, SentAt, Now);
    recordNoAnswer(Tracked, "start", NoAnswer, Now);
    return;
  }
  if (IsCurrent && Answer->Verdict == endpoint_verdict::Accepted)
    Found->second.AcceptedAt = Now;
  if (!recordAnswer(Tracked, *Answer, Now) || !IsCurrent)
    return;
  auto &Run = Found->second;
  // A list may have shown the run before this answer.
  if (Run.Phase == run_phase::Running &&
      Answer->Verdict == endpoint_verdict::Accepted)
    proposeAnsweredStart(Tracked, Order.Task, Run);
  if (Run.Phase != run_phase::Starting)
    return;
  switch (Answer->Verdict) {
  case endpoint_verdict::Accepted:
    Run.Phase = run_phase::Running;
    Run.VisibleSince = Now;
    Run.PercentChangedAt = Now;
    if (Order.Checkpoint.empty())
      Run.StartedAt = Now;
    proposeAnsweredStart(Tracked, Order.Task, Run);
    return;
  case endpoint_verdict::LateOrder:
    return; // Sent again with a lease based on the clock in this answer.
  case endpoint_verdict::OldRun:
    // Either the run ended and the next poll lists the end, or it can never
    // start on this endpoint.
    Run.Phase = run_phase::Unconfirmed;
    Run.VisibleSince = Now;
    return;
  default:
    break;
  }
  if (Answer->Verdict == endpoint_verdict::BadTicket)
    Advice.discardTicket(
        Order.Task, State.endpoints().find(Tracked.Endpoint)->second.Facts.Id);
  if (Answer->Verdict == endpoint_verdict::Unhealthy)
    Tracked.Health.record(Order.Task.Job, false, Now);
  bool MayRun = Answer->Verdict == endpoint_verdict::BadOrder ||
                (Run.MayBeStartedByOther && !hasLookedForRun(Answer->Verdict));
  if (Run.UnansweredStarts == 0 && MayRun) {
    // This order, or that of an earlier leader, may have been executed.
    // The next poll shows whether the run exists; if not, a stop keeps it from
    // starting.
    Run.Phase = run_phase::Unconfirmed;
    Run.MayStartLate = true;
    Run.VisibleSince = Now;
    return;
  }
  if (Run.UnansweredStarts == 0) {
    endUnstartedRun(Tracked, Order.Task, name(Answer->Verdict), Now);
    return;
  }
  // The endpoint may still execute an earlier copy of the order; a stop
  // prevents that.
  beginStop(Run, stop_reason::StartRejected, Now);
}

void leader::finishStop(tracked_endpoint &Tracked, const stop_order &Order,
                        const order_result &Result, core::time_point Now) {
  auto Found = Tracked.Runs.find(Order.Task);
  bool IsCurrent =
      Found != Tracked.Runs.end() && Found->second.Attempt == Order.Attempt;
  if (IsCurrent)
    Found->second.IsOrderPending = false;
  const auto *Answer = std::get_if<endpoint_answer>(&Result.Answer);
  if (!Answer) {
    recordNoAnswer(Tracked, "stop", std::get<no_answer>(Result.Answer), Now);
    return;
  }
  if (!recordAnswer(Tracked, *Answer, Now) || !IsCurrent ||
      Answer->Verdict != endpoint_verdict::Accepted)
    return;
  Found->second.IsStopAcknowledged = true;
  Found->second.StopAcknowledgedAt = Now;
  Found->second.VisibleSince = Now;
}

const endpoint_answer *leader::recordPollAnswer(tracked_endpoint &Tracked,
                                                std::string_view What,
                                                const order_result &Result,
                                                core::time_point Now) {
  const auto *Answer = std::get_if<endpoint_answer>(&Result.Answer);
  if (!Answer) {
    recordNoAnswer(Tracked, What, std::get<no_answer>(Result.Answer), Now);
    return nullptr;
  }
  // An endpoint that refuses polls renews no lease and shows no run, like one
  // that is out of reach. Otherwise its runs would never count as lost.
  if (isRefusal(Answer->Verdict)) {
    recordNoAnswer(Tracked, What, {false, std::string(name(Answer->Verdict))},
                   Now);
    return nullptr;
  }
  bool IsAccepted = recordAnswer(Tracked, *Answer, Now) &&
                    Answer->Verdict == endpoint_verdict::Accepted;
  return IsAccepted ? Answer : nullptr;
}

void leader::finishPoll(tracked_endpoint &Tracked, const poll_order &Order,
                        const order_result &Result, core::time_point SentAt,
                        core::time_point Now) {
  if (Tracked.PendingPoll == Result.Id)
    Tracked.PendingPoll.reset();
  const auto *Answer = recordPollAnswer(Tracked, "hold", Result, Now);
  if (!Answer)
    return;
  Tracked.ConfirmedCursor = std::max(Tracked.ConfirmedCursor, Order.Cursor);
  Tracked.ListsConfirmedEnds = std::any_of(
      Answer->Ended.begin(), Answer->Ended.end(), [&](const end_row &Row) {
        return Row.Number <= Tracked.ConfirmedCursor;
      });
  reconcileRuns(Tracked, *Answer, SentAt, Now);
  updateThrottle(Tracked, *Answer, Now);
}

void leader::reconcileRuns(tracked_endpoint &Tracked,
                           const endpoint_answer &Answer,
                           core::time_point SentAt, core::time_point Now) {
  auto List = ++LastList;
  Tracked.HasList = true;
  std::map<task_key, orphaned_run> Orphans;
  for (const auto &Row : Answer.Running) {
    auto Found = Tracked.Runs.find(Row.Task);
    if (Found == Tracked.Runs.end() || Found->second.Attempt != Row.Attempt) {
      // The attempt was recorded as lost, or its start order arrived late.
      const auto *Task = State.findTask(Row.Task);
      bool IsOwn = Task && Task->Endpoint == Tracked.Endpoint &&
                   Task->Attempt == Row.Attempt;
      if (IsOwn || Orphans.size() >= MaxOrphanedRuns)
        continue;
      auto &Orphan = Orphans[Row.Task];
      if (auto Known = Tracked.OrphanedRuns.find(Row.Task);
          Known != Tracked.OrphanedRuns.end() &&
          Known->second.Attempt == Row.Attempt)
        Orphan = Known->second;
      else {
        checkVerdict(Tracked, Row.Task, Row.Attempt, "running", Now);
        Orphan.ListedSince = Now;
      }
      Orphan.Attempt = Row.Attempt;
      Orphan.Percent = Row.Percent;
      continue;
    }
    auto &Run = Found->second;
    Run.ListedIn = List;
    settleAssumedStart(Run);
    if (Run.IsStopAcknowledged &&
        SentAt - Run.StopAcknowledgedAt > MaxStopTime) {
      // The endpoint says that it stopped the run, and lists it all the same.
      Run.IsStopAcknowledged = false;
      Metrics.add("stops_repeated_total");
      core::logEvent(core::log_level::Warning, "stopped_run_listed",
                     {{"job", Row.Task.Job},
                      {"step", Row.Task.Step},
                      {"index", Row.Task.Index},
                      {"attempt", Row.Attempt},
                      {"endpoint", Tracked.Endpoint}});
    }
    if (!Row.Checkpoint.empty())
      Run.Checkpoint = Row.Checkpoint;
    if (Run.Phase == run_phase::Committed || Run.Phase == run_phase::Starting ||
        Run.Phase == run_phase::Unconfirmed) {
      Run.Phase = run_phase::Running;
      Run.VisibleSince = SentAt;
      Run.PercentChangedAt = Now;
    }
    // Its start may have been executed late by a later incarnation than the one
    // at which it was stopped when the job ended.
    const auto *Owner = State.findJob(Row.Task.Job);
    if (Run.Phase == run_phase::Running && Owner && isOver(Owner->State)) {
      beginStop(Run, stop_reason::JobOver, Now);
      continue;
    }
    if (Run.Phase == run_phase::Running && Answer.IncarnationMs)
      proposeAnsweredStart(Tracked, Row.Task, Run);
    if (Row.Percent != Run.Percent) {
      Run.Percent = Row.Percent;
      Run.PercentChangedAt = Now;
      continue;
    }
    // The endpoint may list a member of a gang long after another member has
    // completed the gang, when the job is no longer kept.
    if (Run.Phase != run_phase::Running || Run.ThrottlePercent != 100 ||
        Row.Percent >= 100 || Now - Run.PercentChangedAt <= MinStallTime)
      continue;
    const auto *Step = findStep(Row.Task);
    auto Limit = std::max<core::duration>(
        MinStallTime,
        milliseconds(StallEstimateFactor * (Step ? Step->EstimateMs : 0)));
    if (Now - Run.PercentChangedAt > Limit) {
      core::logEvent(core::log_level::Warning, "run_stalled",
                     {{"job", Row.Task.Job},
                      {"step", Row.Task.Step},
                      {"index", Row.Task.Index},
                      {"attempt", Row.Attempt},
                      {"endpoint", Tracked.Endpoint},
                      {"percent", Row.Percent}});
      Tracked.Health.record(Row.Task.Job, false, Now);
      beginStop(Run, stop_reason::Stalled, Now);
    }
  }
  recordOrphans(Tracked, std::move(Orphans));
  bool HasEnds = false;
  PolledEndpoints.push_back(Tracked.Endpoint);
  auto LastListed =
      std::exchange(Tracked.LastEndNumber,
                    lastEndNumber(Tracked.LastEndNumber, Answer.Ended));
  for (const auto &Row : Answer.Ended) {
    if (Row.Number > Tracked.LastEndNumber)
      continue;
    auto Found = Tracked.Runs.find(Row.Task);
    if (Found == Tracked.Runs.end() || Found->second.Attempt != Row.Attempt) {
      if (Row.Outcome == run_end::Done && Row.Number > LastListed) {
        checkVerdict(Tracked, Row.Task, Row.Attempt, "done", Now);
        claimDone(Tracked, Row, Now);
      }
      continue;
    }
    Found->second.ListedIn = List;
    if (std::exchange(Found->second.IsEnded, true))
      continue;
    HasEnds = true;
    if (Row.Outcome == run_end::Done && Found->second.StartedAt)
      recordDuration(Row.Task, Now - *Found->second.StartedAt);
    if (Row.Outcome == run_end::Done || Row.Outcome == run_end::Failed)
      Tracked.Health.record(Row.Task.Job, Row.Outcome == run_end::Done, Now);
    Tracked.PendingEnds.push_back(
        {Row.Task, Row.Attempt, Row.Outcome, Row.Checkpoint});
  }
  // The endpoint keeps further ends until the cursor confirms these, so that a
  // run that is missing from a full list may have ended.
  bool IsWhole = Answer.Ended.size() < Settings.MaxEndsPerAnswer;
  for (auto &[Key, Run] : Tracked.Runs) {
    if (!IsWhole || Run.IsEnded || Run.IsOrderPending ||
        Run.VisibleSince >= SentAt || Run.ListedIn == List)
      continue;
    bool IsUnconfirmed = Run.Phase == run_phase::Unconfirmed;
    if ((IsUnconfirmed && !Run.MayStartLate) ||
        (Run.Phase == run_phase::Stopping && Run.IsStopAcknowledged))
      endUnstartedRun(Tracked, Key, "not listed by the endpoint", Now);
    else if (IsUnconfirmed || Run.Phase == run_phase::Running) {
      // The endpoint must list the run as running or ended. A stop keeps a late
      // copy of the start order from starting it again.
      beginStop(Run, stop_reason::NotListed, Now);
    }
  }
  if (HasEnds)
    PollPacer.recordAnswer(Now);
  Tracked.NextPoll = HasEnds ? Now + PollPacer.delay(Now) : Now;
}

void leader::recordDuration(const task_key &Task, core::duration Elapsed) {
  const auto *Job = State.findJob(Task.Job);
  const auto *Step = findStep(Task);
  if (!Step)
    return;
  auto DurationMs = std::chrono::duration<double, std::milli>(Elapsed).count();
  Metrics.observe("task_ms", DurationMs);
  if (!Step->IsLongRunning && Step->EstimateMs > 0)
    Durations.record(*Job, Step->EstimateMs, DurationMs);
}

void leader::updateThrottle(tracked_endpoint &Tracked,
                            const endpoint_answer &Answer,
                            core::time_point Now) {
  const auto &Capacity = Tracked.FreeCapacity;
  if (!Tracked.IsCapacityStale && !Tracked.MayInterfere &&
      (Capacity.LatencySensitiveRuns == 0 || Capacity.BestEffortRuns == 0))
    return;
  bool HasBestEffort = false;
  bool HasLatencySensitive = false;
  double WorstRatio = 0;
  for (const auto &Row : Answer.Running) {
    const auto *Found = findStep(Row.Task);
    if (!Found)
      continue;
    const auto &Step = *Found;
    HasBestEffort |= Step.IsBestEffort;
    if (Step.TargetMs == 0)
      continue;
    HasLatencySensitive = true;
    if (Row.Load)
      WorstRatio =
          std::max(WorstRatio, static_cast<double>(*Row.Load) / Step.TargetMs);
  }
  Tracked.MayInterfere = HasBestEffort && HasLatencySensitive;
  if (!Tracked.MayInterfere)
    return;
  auto Before = Tracked.Throttle.percent();
  auto Percent = Tracked.Throttle.update(WorstRatio, Now);
  if (Percent != Before)
    core::logEvent(core::log_level::Info, "endpoint_throttled",
                   {{"endpoint", Tracked.Endpoint},
                    {"percent", Percent},
                    {"worst_ratio", WorstRatio}});
}

} // namespace lycheetrestle::scheduling
