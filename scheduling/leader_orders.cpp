#include "scheduling/leader.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// An endpoint answers within a few milliseconds; a lost packet adds 200.
constexpr core::duration OrderTimeout = milliseconds(700);
constexpr core::duration ResendInterval = milliseconds(250);
// Longest wait of a list for an end. The lease is renewed by each list, so it
// is well below the lease.
constexpr std::uint32_t HoldWaitMs = 1500;
// While tasks that serve share an endpoint with tasks that fill, the measured
// tail changes each half second.
constexpr std::uint32_t WatchWaitMs = 500;
constexpr core::duration HoldGrace = milliseconds(600);
// Lists of an endpoint that did not answer.
constexpr core::duration ProbeInterval = milliseconds(500);
// Ends that no later list of a busy endpoint would confirm are confirmed after
// this time.
constexpr core::duration AckDelay = milliseconds(800);
// A draining endpoint ends its tasks when its time is over; their checkpoints
// are saved before by stopping them.
constexpr milliseconds StopBeforeEnd{600};

// Leases, draining and silence are watched at least so often at an endpoint of
// which there is no news.
constexpr core::duration WatchInterval = milliseconds(50);
// How late an order may be that is due at a time of its own. All endpoints are
// passed over so often.
constexpr core::duration SweepInterval = milliseconds(10);

std::uint64_t toMs(core::duration Duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(Duration).count());
}

} // namespace

order &leader::addOrder(std::vector<order> &Orders, const contact *Contact,
                        order_body Body, core::duration Timeout,
                        core::time_point Now) {
  order Order;
  Order.Id = ++LastOrder;
  Order.Timeout = Timeout;
  Order.Body = std::move(Body);
  if (Contact) {
    const auto &Facts = State.endpoints().find(Contact->Endpoint)->second.Facts;
    Order.Endpoint = Contact->Endpoint;
    Order.Address = Facts.Address;
    Order.EndpointId = Facts.Id;
  }
  Sent[Order.Id] = {Order, Now};
  Orders.push_back(std::move(Order));
  return Orders.back();
}

std::uint64_t leader::leaseUntil(contact &Contact, core::time_point Now) {
  // The endpoint's clock shows at least this; a slow clock makes the lease
  // longer, which LeaseOver allows for.
  auto ClockMs = Contact.ClockMs + toMs(Now - Contact.ClockAt);
  constexpr core::duration Margin = milliseconds(300);
  Contact.LeaseOver =
      std::max(Contact.LeaseOver, Now + Settings.Lease * 103 / 100 + Margin);
  return ClockMs + toMs(Settings.Lease);
}

std::vector<order> leader::takeOrders(core::time_point Now) {
  std::vector<order> Orders;
  auto News = std::exchange(Touched, {});
  if (Now >= NextSweep) {
    NextSweep = Now + SweepInterval;
    for (auto &[Number, Contact] : Contacts)
      orderAt(Contact, Orders, Now);
  } else {
    for (auto Number : News)
      if (auto Found = Contacts.find(Number); Found != Contacts.end())
        orderAt(Found->second, Orders, Now);
  }
  orderHosts(Orders, Now);
  orderAdvice(Orders, Now);
  if (!Orders.empty())
    Metrics.add("orders_total", Orders.size());
  return Orders;
}

void leader::orderAt(contact &Contact, std::vector<order> &Orders,
                     core::time_point Now) {
  if (Now < Contact.DueAt)
    return;
  Contact.DueAt = Now + WatchInterval;
  if (Contact.IsFenced || Contact.IsReplaced ||
      Over.count(Contact.Endpoint) > 0 ||
      State.endpoints().find(Contact.Endpoint) == State.endpoints().end())
    return;
  // Leases are times on the endpoint's clock.
  bool KnowsClock = Contact.ClockAt != core::time_point();
  if (KnowsClock && !Contact.IsSuspect) {
    releaseDraining(Contact, Now);
    orderRuns(Contact, Orders, Now);
    orderPace(Contact, Orders, Now);
  }
  orderHold(Contact, Orders, Now);
  Contact.DueAt = std::min(Contact.DueAt, nextOrderTime(Contact, Now));
}

core::time_point leader::nextOrderTime(const contact &Contact,
                                       core::time_point Now) const {
  auto Next = core::time_point::max();
  if (!Contact.OpenHold && Contact.NextHold > Now)
    Next = Contact.NextHold;
  for (const auto &[Key, Run] : Contact.Runs)
    if (!Run.IsOrderOpen && !Run.IsEnded && Run.NextOrder > Now)
      Next = std::min(Next, Run.NextOrder);
  return Next;
}

void leader::releaseDraining(contact &Contact, core::time_point Now) {
  const auto &Facts = State.endpoints().find(Contact.Endpoint)->second.Facts;
  if (!Facts.IsDraining)
    return;
  bool IsNearEnd =
      Contact.RemainingMs && Now - Contact.RemainingAt + StopBeforeEnd >=
                                 milliseconds(*Contact.RemainingMs);
  for (auto &[Key, Run] : Contact.Runs) {
    if (Run.Phase == run_phase::Stopping)
      continue;
    // An order that got no answer is not sent again; the stop makes sure that a
    // late copy starts nothing.
    bool IsStartDue = Run.Phase == run_phase::Unsent ||
                      (Run.Phase == run_phase::Sent && !Run.IsOrderOpen);
    const auto &Step = State.findJob(Key.Job)->Spec.Steps[Key.Step];
    if (!Step.IsLongRunning && !IsNearEnd && !IsStartDue)
      continue;
    Run.Phase = run_phase::Stopping;
    Run.NextOrder = Now;
  }
}

void leader::orderRuns(contact &Contact, std::vector<order> &Orders,
                       core::time_point Now) {
  // The next list names them again if the stop is lost.
  for (const auto &[Key, Attempt] : std::exchange(Contact.Strays, {}))
    addOrder(Orders, &Contact, stop_order{Key, Attempt, Fence}, OrderTimeout,
             Now);
  for (auto &[Key, Run] : Contact.Runs) {
    if (Run.IsOrderOpen || Run.IsEnded || Now < Run.NextOrder)
      continue;
    if (Run.Phase == run_phase::Stopping) {
      if (Run.IsStopAcknowledged)
        continue;
      Run.IsOrderOpen = true;
      Run.NextOrder = Now + ResendInterval;
      addOrder(Orders, &Contact, stop_order{Key, Run.Attempt, Fence},
               OrderTimeout, Now);
      continue;
    }
    if (Run.Phase != run_phase::Unsent && Run.Phase != run_phase::Sent)
      continue;
    const auto *Task = State.findTask(Key);
    if (!Task || Task->Attempt != Run.Attempt)
      continue;
    const auto &Job = *State.findJob(Key.Job);
    start_order Start;
    Start.Task = Key;
    Start.Attempt = Run.Attempt;
    Start.Payload = Job.Spec.Payload;
    Start.LeaseUntilMs = leaseUntil(Contact, Now);
    Start.Fence = Fence;
    Start.Checkpoint = Task->Checkpoint;
    const auto *Queue = State.queueOf(Job);
    if (Queue && Queue->Advice) {
      const auto &Id =
          State.endpoints().find(Contact.Endpoint)->second.Facts.Id;
      Start.Ticket = Advice.ticket(Key, Id, Now).value_or("");
    }
    Run.Phase = run_phase::Sent;
    Run.IsOrderOpen = true;
    Run.NextOrder = Now + ResendInterval;
    addOrder(Orders, &Contact, std::move(Start), OrderTimeout, Now);
    ++OpenStarts;
    Metrics.add("start_orders_total");
  }
}

void leader::orderHold(contact &Contact, std::vector<order> &Orders,
                       core::time_point Now) {
  if (Contact.OpenHold || Now < Contact.NextHold)
    return;
  bool HasRuns = !Contact.Runs.empty();
  bool OwesAck = Contact.Cursor > Contact.CursorSent;
  bool IsHeard = Now - Contact.LastBeat < 2 * Settings.BeatInterval;
  bool KnowsClock = Contact.ClockAt != core::time_point();
  if (KnowsClock && !HasRuns && !OwesAck && !(Contact.IsSuspect && IsHeard))
    return;
  if (KnowsClock && !HasRuns && OwesAck && !Contact.IsSuspect &&
      Now - Contact.LastAnswer < AckDelay)
    return;
  hold_order Hold;
  Hold.Fence = Fence;
  Hold.Cursor = Contact.Cursor;
  bool NeedsList = std::any_of(
      Contact.Runs.begin(), Contact.Runs.end(), [](const auto &Item) {
        return Item.second.Phase == run_phase::Doubtful ||
               Item.second.IsStopAcknowledged;
      });
  if (KnowsClock && HasRuns && !Contact.IsSuspect && !NeedsList)
    Hold.WaitMs = Contact.MayInterfere ? WatchWaitMs : HoldWaitMs;
  // The lease of an endpoint that may be lost is not made longer.
  if (KnowsClock && HasRuns && !Contact.IsSuspect)
    Hold.LeaseUntilMs = leaseUntil(Contact, Now);
  auto Timeout = milliseconds(Hold.WaitMs) + HoldGrace;
  Contact.OpenHold = addOrder(Orders, &Contact, Hold, Timeout, Now).Id;
  Contact.NextHold =
      Now + (Contact.IsSuspect ? ProbeInterval : milliseconds(0));
  Metrics.add("hold_orders_total");
}

void leader::orderPace(contact &Contact, std::vector<order> &Orders,
                       core::time_point Now) {
  if (!Contact.MayInterfere)
    return;
  for (auto &[Key, Run] : Contact.Runs) {
    if (Run.Phase != run_phase::Present || Run.IsOrderOpen || Run.IsEnded ||
        Now < Run.NextOrder || Run.PacedPercent == Contact.Pacer.percent() ||
        !State.findJob(Key.Job)->Spec.Steps[Key.Step].FillsIdle)
      continue;
    Run.IsOrderOpen = true;
    Run.NextOrder = Now + ResendInterval;
    addOrder(Orders, &Contact,
             pace_order{Key, Run.Attempt, Contact.Pacer.percent(), Fence},
             OrderTimeout, Now);
  }
}

} // namespace lycheetrestle::scheduling
