#include "core/event_log.h"
#include "scheduling/leader.h"
#include "scheduling/pool_blockage.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// An endpoint answers within a few milliseconds; a lost packet adds 200 ms.
constexpr core::duration OrderTimeout = milliseconds(700);
constexpr core::duration ResendInterval = milliseconds(250);
// Limit of unanswered start orders, also of those of a gang, which are
// committed together, and of the runs that a new leader finds. Each order holds
// the payload of its job, of at most 4,000 bytes, in several copies.
constexpr std::size_t MaxUnansweredStarts = 1024;
// Maximum time that a poll waits for a run to end. Each poll renews the lease,
// so this is well below the duration of a lease.
constexpr std::uint32_t PollWaitMs = 1500;
// Replaces PollWaitMs while latency-sensitive and best-effort tasks share an
// endpoint: the tail latency is measured every half second.
constexpr std::uint32_t ThrottlePollWaitMs = 500;
// Added to the wait of a poll.
constexpr core::duration PollGrace = milliseconds(600);
// Interval of polls to an endpoint that did not answer.
constexpr core::duration ProbeInterval = milliseconds(500);
// The same while it has runs and has deregistered: a refused connection proves
// its end.
constexpr core::duration DepartureProbeInterval = milliseconds(100);
// An idle endpoint gets a poll that only confirms the recorded ends after this
// time without an answer; a busy endpoint gets the cursor with its next poll.
constexpr core::duration AckDelay = milliseconds(800);
// Interval between checks of an endpoint without events that drains, does not
// answer or has runs to be started or stopped.
constexpr core::duration CheckInterval = milliseconds(50);
// The same for any other endpoint, whose orders become due by events or at
// known times; bounds the delay should one be missed.
constexpr core::duration CalmCheckInterval = milliseconds(500);

// Heartbeat intervals that a start waits for a heartbeat with the capacity of
// an endpoint that enforces no limits; one heartbeat may be lost.
constexpr int MaxHeldIntervals = 2;

// Added to the time-out of an order before its result counts as lost in this
// process or at a delegate. Allows for the queue of the HTTP client, in which
// calls wait for one of a few connections to an endpoint, and for delegates.
constexpr core::duration ResultMargin = std::chrono::seconds(3);
constexpr core::duration OrderExpiryInterval = milliseconds(500);
constexpr std::size_t MaxExpiryLines = 5; // In each pass.

// Allows for the error of the estimated clock when a lease is issued.
constexpr core::duration LeaseMargin = milliseconds(300);

std::uint64_t toMs(core::duration Duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(Duration).count());
}

} // namespace

order &leader::addOrder(std::vector<order> &Orders,
                        const tracked_endpoint *Tracked, order_body Body,
                        core::duration Timeout, core::time_point Now) {
  order Order;
  Order.Id = ++LastOrder;
  Order.Timeout = Timeout;
  Order.Body = std::move(Body);
  if (Tracked) {
    const auto &Facts = State.endpoints().find(Tracked->Endpoint)->second.Facts;
    Order.Endpoint = Tracked->Endpoint;
    Order.Address = Facts.Address;
    Order.EndpointId = Facts.Id;
  }
  // The answer needs no payload.
  auto *Start = std::get_if<start_order>(&Order.Body);
  auto Payload = Start ? std::exchange(Start->Payload, {}) : std::string();
  PendingOrders[Order.Id] = {Order, Now};
  if (Start)
    Start->Payload = std::move(Payload);
  Orders.push_back(std::move(Order));
  return Orders.back();
}

std::uint64_t leader::fenceOf(std::uint32_t Endpoint) const {
  // Numbers of incarnations never reach the limit in practice; beyond it all
  // share the largest token, as if they were one incarnation.
  constexpr std::uint64_t MaxNumber = (std::uint64_t(1) << IncarnationBits) - 1;
  return (Fence << IncarnationBits) |
         std::min<std::uint64_t>(Endpoint, MaxNumber);
}

std::uint64_t leader::issueLease(tracked_endpoint &Tracked,
                                 core::time_point Now) {
  // An estimate of the endpoint's clock. A slow clock prolongs the lease, which
  // LeaseExpiry allows for.
  auto ClockMs = Tracked.ClockMs + toMs(Now - Tracked.ClockAt);
  Tracked.LeaseExpiry =
      std::max(Tracked.LeaseExpiry,
               Now + Settings.Lease * MaxLeasePercent / 100 + LeaseMargin);
  return ClockMs + toMs(Settings.Lease);
}

void leader::expireOrders(core::time_point Now) {
  if (Now < NextOrderExpiry)
    return;
  bool WasSuspended = Now - NextOrderExpiry > OrderExpiryInterval;
  NextOrderExpiry = Now + OrderExpiryInterval;
  // The results that came in the meantime are processed first. A leader that is
  // late each time expires orders all the same.
  if (std::exchange(WasExpiryPutOff, WasSuspended && !WasExpiryPutOff))
    WasSuspended = false;
  if (WasSuspended)
    return;
  std::vector<std::uint64_t> Expired;
  for (const auto &[Id, Pending] : PendingOrders)
    if (Now - Pending.SentAt > Pending.Order.Timeout + ResultMargin)
      Expired.push_back(Id);
  std::sort(Expired.begin(), Expired.end());
  for (std::size_t Index = 0; Index != Expired.size(); ++Index) {
    const auto &Pending = PendingOrders.find(Expired[Index])->second;
    if (Index < MaxExpiryLines)
      core::logEvent(core::log_level::Warning, "order_expired",
                     {{"order", toText(kindOf(Pending.Order.Body))},
                      {"endpoint", Pending.Order.Endpoint},
                      {"timeout_ms", toMs(Pending.Order.Timeout)},
                      {"age_ms", toMs(Now - Pending.SentAt)},
                      {"expired", Expired.size()}});
    finishOrder({Expired[Index], no_answer{true, "no result", true}}, Now);
  }
  if (!Expired.empty())
    Metrics.add("orders_expired_total", Expired.size());
}

std::vector<order> leader::takeOrders(core::time_point Now) {
  std::vector<order> Orders;
  expireOrders(Now);
  auto Due = std::exchange(DueEndpoints, {});
  for (auto Number : DueTimes.takeDue(Now))
    Due.push_back(Number);
  for (auto Number : Due)
    if (auto Found = TrackedEndpoints.find(Number);
        Found != TrackedEndpoints.end())
      collectOrders(Found->second, Orders, Now);
  addProbes(Orders, Now);
  addHostOrders(Orders, Now);
  addAdviceOrder(Orders, Now);
  if (!Orders.empty())
    Metrics.add("orders_total", Orders.size());
  return Orders;
}

void leader::collectOrders(tracked_endpoint &Tracked,
                           std::vector<order> &Orders, core::time_point Now) {
  if (Now < Tracked.DueAt)
    return;
  collectDueOrders(Tracked, Orders, Now);
  DueTimes.add(Tracked.Endpoint, Tracked.DueAt);
}

void leader::collectDueOrders(tracked_endpoint &Tracked,
                              std::vector<order> &Orders,
                              core::time_point Now) {
  Tracked.DueAt = Now + CheckInterval;
  auto Endpoint = State.endpoints().find(Tracked.Endpoint);
  if (Tracked.FencedAt || (Tracked.IsReplaced && !Tracked.IsVerificationDue) ||
      EndedIncarnations.count(Tracked.Endpoint) > 0 ||
      Endpoint == State.endpoints().end() || !Endpoint->second.Facts.Address)
    return;
  // Leases are expressed in the endpoint's clock.
  bool HasClock = Tracked.ClockAt != core::time_point();
  if (HasClock && !Tracked.IsSuspect && !Tracked.IsReplaced) {
    stopDrainingRuns(Tracked, Now);
    addRunOrders(Tracked, Orders, Now);
    addThrottleOrders(Tracked, Orders, Now);
  }
  addContactCheck(Tracked, Orders, Now);
  addPollOrder(Tracked, Orders, Now);
  Tracked.DueAt = nextOrderTime(Tracked, Endpoint->second, Now);
}

core::time_point leader::nextOrderTime(const tracked_endpoint &Tracked,
                                       const endpoint_record &Endpoint,
                                       core::time_point Now) const {
  // Whether no order may become due by a time that is not known here.
  bool IsCalm =
      !Endpoint.Facts.IsDraining && !Tracked.IsSuspect && !Tracked.IsReplaced &&
      !Tracked.MayInterfere && Tracked.ClockAt != core::time_point() &&
      Tracked.OrphanedRuns.empty() && Tracked.Cursor <= Tracked.ConfirmedCursor;
  auto Next = core::time_point::max();
  if (!Tracked.PendingPoll && Tracked.NextPoll > Now)
    Next = Tracked.NextPoll;
  for (const auto &[Key, Run] : Tracked.Runs) {
    if (Run.Phase == run_phase::Running || Run.IsOrderPending || Run.IsEnded)
      continue;
    IsCalm = false;
    if (Run.NextOrder > Now)
      Next = std::min(Next, Run.NextOrder);
  }
  return std::min(Next, Now + (IsCalm ? CalmCheckInterval : CheckInterval));
}

void leader::stopOrphanedRuns(tracked_endpoint &Tracked,
                              std::vector<order> &Orders,
                              core::time_point Now) {
  // If a stop is lost, the next poll lists the run again.
  for (auto &[Key, Run] : Tracked.OrphanedRuns) {
    if (Now < Run.NextStop)
      continue;
    Run.NextStop = Now + ResendInterval;
    logOrphanStop(Tracked, Key, Run, Now);
    addOrder(Orders, &Tracked,
             stop_order{Key, Run.Attempt, fenceOf(Tracked.Endpoint)},
             OrderTimeout, Now);
  }
}

bool leader::maySendStart(tracked_endpoint &Tracked, const task_key &Key,
                          tracked_run &Run, core::time_point Now) {
  const auto &Endpoint = State.endpoints().find(Tracked.Endpoint)->second;
  if (!isUnguarded(Endpoint))
    return true;
  bool IsKnown = isCapacityKnown(Tracked, Now);
  if (!IsKnown) {
    Run.HeldSince = Run.HeldSince.value_or(Now);
    if (Now - *Run.HeldSince < MaxHeldIntervals * Settings.HeartbeatInterval) {
      Run.NextOrder = Now + ResendInterval;
      return false;
    }
  }
  Run.HeldSince.reset();
  capacity_use Use;
  for (const auto &Other : Endpoint.Runs) {
    auto Found = Tracked.Runs.find(Other);
    if (Found == Tracked.Runs.end() || !Found->second.IsEnded)
      Use.add(reservedSize(State.findJob(Other.Job)->Spec.Steps[Other.Step]));
  }
  bool IsSizeKnown = true;
  for (const auto &[Other, Orphan] : Tracked.OrphanedRuns) {
    const auto *Job = State.findJob(Other.Job);
    IsSizeKnown &= Job && Other.Step < Job->Spec.Steps.size();
    if (IsSizeKnown)
      Use.add(reservedSize(Job->Spec.Steps[Other.Step]));
  }
  if (IsKnown && IsSizeKnown && Use.fits(Tracked.AnnouncedCapacity))
    return true;
  Metrics.add("starts_without_capacity_total");
  if (Run.Phase == run_phase::Committed && !Run.MayBeStartedByOther) {
    endUnstartedRun(Tracked, Key, "no_room_left", Now);
    return false;
  }
  // A copy that was sent earlier may run already or start late.
  Run.Phase = run_phase::Unconfirmed;
  Run.MayStartLate = true;
  Run.VisibleSince = Now;
  return false;
}

void leader::addRunOrders(tracked_endpoint &Tracked, std::vector<order> &Orders,
                          core::time_point Now) {
  stopOrphanedRuns(Tracked, Orders, Now);
  for (auto &[Key, Run] : Tracked.Runs) {
    if (Run.IsOrderPending || Run.IsEnded || Now < Run.NextOrder)
      continue;
    if (Run.Phase == run_phase::Stopping) {
      if (Run.IsStopAcknowledged)
        continue;
      // Tasks may have become unavailable since the decision.
      if (Run.StopReason == stop_reason::Evacuated && !Run.IsStopSent &&
          !isWithinBudget(Key, interruption::Run, Now)) {
        Run.Phase = run_phase::Running;
        Metrics.add("stops_withdrawn_total");
        continue;
      }
      // An earlier copy of the start may have been executed, so that the task
      // is at work. If the next poll does not list it, it is stopped.
      if (const auto *Step = findStep(Key);
          Run.StopReason == stop_reason::StartRejected && !Run.IsStopSent &&
          Step && Step->IsLongRunning) {
        verifyStart(Run, Now);
        Metrics.add("stops_withdrawn_total");
        continue;
      }
      Run.IsStopSent = true;
      Run.IsOrderPending = true;
      Run.NextOrder = Now + ResendInterval;
      logStop(Tracked, Key, Run, Now);
      addOrder(Orders, &Tracked,
               stop_order{Key, Run.Attempt, fenceOf(Tracked.Endpoint)},
               OrderTimeout, Now);
      continue;
    }
    if (Run.Phase != run_phase::Committed && Run.Phase != run_phase::Starting)
      continue;
    // The list that shows it came after the decision.
    if (!Run.mayHaveStarted() && isOrphaned(Key, Now)) {
      Run.NextOrder = Now + ResendInterval;
      Metrics.add("starts_behind_orphans_total");
      continue;
    }
    const auto *Task = State.findTask(Key);
    if (!Task || Task->Attempt != Run.Attempt ||
        PendingStarts >= MaxUnansweredStarts ||
        !maySendStart(Tracked, Key, Run, Now) ||
        !mayRepeatStart(Tracked, Key, *Task, Run, Now))
      continue;
    const auto &Job = *State.findJob(Key.Job);
    start_order Start;
    Start.Task = Key;
    Start.Attempt = Run.Attempt;
    Start.Payload = Job.Spec.Payload;
    Start.LeaseExpiryMs = issueLease(Tracked, Now);
    Start.Fence = fenceOf(Tracked.Endpoint);
    Start.Checkpoint = Task->Checkpoint;
    const auto *Queue = State.queueOf(Job);
    if (Queue && Queue->Advice) {
      const auto &Id =
          State.endpoints().find(Tracked.Endpoint)->second.Facts.Id;
      Start.Ticket = Advice.ticket(Key, Id, Now).value_or("");
    }
    Run.Phase = run_phase::Starting;
    Run.IsOrderPending = true;
    Run.OpenRecordedAt = {};
    if (Run.FirstSentAt == core::time_point())
      Run.FirstSentAt = Now;
    Run.NextOrder = Now + ResendInterval;
    addOrder(Orders, &Tracked, std::move(Start), OrderTimeout, Now);
    ++PendingStarts;
    Metrics.add("start_orders_total");
  }
}

void leader::addPollOrder(tracked_endpoint &Tracked, std::vector<order> &Orders,
                          core::time_point Now) {
  if (Tracked.PendingPoll || Now < Tracked.NextPoll)
    return;
  bool HasRuns = !Tracked.Runs.empty();
  bool HasOrphans = !Tracked.OrphanedRuns.empty();
  bool IsAckPending = Tracked.Cursor > Tracked.ConfirmedCursor;
  bool HasRecentHeartbeat =
      Now - Tracked.LastHeartbeat < 2 * Settings.HeartbeatInterval;
  bool HasClock = Tracked.ClockAt != core::time_point();
  // An endpoint without runs is polled only for a clock sample, to confirm
  // ends, until its orphaned runs have ended, or while it is suspect and sends
  // heartbeats.
  // Until an incarnation has obeyed an order of its own, orders for earlier
  // ones with its id can reach it.
  bool IsVerified = Tracked.IsVerificationDue ||
                    (Tracked.MayObeyEarlier && HasClock && !Tracked.IsSuspect);
  if (HasClock && !HasRuns && !HasOrphans && !IsAckPending && !IsVerified &&
      !(Tracked.IsSuspect && HasRecentHeartbeat))
    return;
  if (HasClock && !HasRuns && !HasOrphans && IsAckPending && !IsVerified &&
      !Tracked.IsSuspect && Now - Tracked.LastAnswer < AckDelay)
    return;
  poll_order Poll;
  Poll.Fence = fenceOf(Tracked.Endpoint);
  // Another incarnation may answer, whose ends have other numbers.
  bool MayBeAnother =
      Tracked.IsSuspect || Tracked.IsReplaced || hasCandidateAtAddress(Tracked);
  // A late poll may reach the next incarnation and make it forget ends that
  // nobody has read, so the cursor is sent only with news.
  bool RequiresCursor = IsAckPending || Tracked.ListsConfirmedEnds;
  Poll.Cursor = RequiresCursor && !MayBeAnother ? Tracked.Cursor : 0;
  bool RequiresList =
      !Tracked.HasList ||
      std::any_of(Tracked.Runs.begin(), Tracked.Runs.end(),
                  [](const auto &Item) {
                    return Item.second.Phase == run_phase::Unconfirmed ||
                           Item.second.IsStopAcknowledged;
                  });
  if (HasClock && (HasRuns || HasOrphans) && !Tracked.IsSuspect &&
      !RequiresList && !IsVerified)
    Poll.WaitMs = Tracked.MayInterfere ? ThrottlePollWaitMs : PollWaitMs;
  // The lease of a suspect endpoint is not renewed, so that its runs can be
  // declared lost when the lease expires.
  if (HasClock && HasRuns && !Tracked.IsSuspect && !Tracked.IsReplaced)
    Poll.LeaseExpiryMs = issueLease(Tracked, Now);
  Tracked.IsVerificationDue = false;
  auto Timeout = milliseconds(Poll.WaitMs) + PollGrace;
  Tracked.PendingPoll = addOrder(Orders, &Tracked, Poll, Timeout, Now).Id;
  Tracked.NextPoll = Now;
  if (Tracked.IsSuspect)
    Tracked.NextPoll += Tracked.DeregisteredAt && HasRuns
                            ? DepartureProbeInterval
                            : ProbeInterval;
  Metrics.add("hold_orders_total");
}

void leader::addThrottleOrders(tracked_endpoint &Tracked,
                               std::vector<order> &Orders,
                               core::time_point Now) {
  auto Percent = Tracked.MayInterfere ? Tracked.Throttle.percent() : 100u;
  for (auto &[Key, Run] : Tracked.Runs) {
    if (Run.Phase != run_phase::Running || Run.IsOrderPending || Run.IsEnded ||
        Now < Run.NextOrder || Run.ThrottlePercent == Percent)
      continue;
    const auto *Step = findStep(Key);
    if (!Step || !Step->IsBestEffort)
      continue;
    Run.IsOrderPending = true;
    Run.NextOrder = Now + ResendInterval;
    addOrder(
        Orders, &Tracked,
        throttle_order{Key, Run.Attempt, Percent, fenceOf(Tracked.Endpoint)},
        OrderTimeout, Now);
  }
}

} // namespace lycheetrestle::scheduling
