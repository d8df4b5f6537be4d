#include "scheduling/leader.h"

#include <algorithm>
#include <set>
#include <utility>

// An order without an answer may be executed up to 12 s later, so that its task
// has to wait that long. A long-running task therefore starts only on an
// endpoint that answered a short time ago; any other one is asked first, before
// the start is committed, so that nothing has to be withdrawn when it is lost.

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// Age of the last answer up to which a long-running task starts. It bounds the
// time in which an endpoint may be lost unnoticed, and is several times the
// interval between rounds of placement, so that the round after an answer finds
// it recent.
constexpr core::duration MaxContactAge = milliseconds(500);
// Another endpoint is asked after this time without an answer. Endpoints answer
// within a few milliseconds; delegates add up to 100 ms.
constexpr core::duration ContactPatience = milliseconds(150);
// As for other short orders.
constexpr core::duration ContactTimeout = milliseconds(700);

} // namespace

bool leader::isInContact(const tracked_endpoint &Tracked,
                         core::time_point Now) const {
  // Rounds of a leader that waits for its disk may be further apart than
  // MaxContactAge. The first round after an answer uses it all the same, or a
  // task would wait without end.
  auto LastContact = std::max(Tracked.LastAnswer, Tracked.LastContact);
  return LastContact != core::time_point() &&
         (Now - LastContact <= MaxContactAge || LastContact >= PlacementBefore);
}

bool leader::isUnanswered(const tracked_endpoint &Tracked,
                          core::time_point Now) const {
  return Tracked.PendingContactCheck &&
         Now - Tracked.ContactCheckSentAt >= ContactPatience &&
         !isInContact(Tracked, Now);
}

void leader::requestContact(tracked_endpoint &Tracked) {
  if (Tracked.PendingContactCheck)
    return;
  Tracked.IsContactCheckDue = true;
  markDue(Tracked);
}

std::vector<task_key> leader::holdForContact(std::vector<placement> &Placements,
                                             core::time_point Now) {
  auto IsHeld = [&](const placement &Placement) {
    const auto *Step = findStep(Placement.Start.Task);
    return Step && Step->IsLongRunning &&
           !isInContact(TrackedEndpoints.find(Placement.Start.Endpoint)->second,
                        Now);
  };
  auto FirstOf = [](task_key Key) {
    Key.Index = 0;
    return Key;
  };
  std::set<task_key> HeldGangs; // By their first members.
  for (const auto &Placement : Placements)
    if (findStep(Placement.Start.Task)->IsGang && IsHeld(Placement))
      HeldGangs.insert(FirstOf(Placement.Start.Task));
  std::vector<task_key> Held;
  std::erase_if(Placements, [&](const placement &Placement) {
    const auto &Start = Placement.Start;
    if (!IsHeld(Placement) && HeldGangs.count(FirstOf(Start.Task)) == 0)
      return false;
    auto &Tracked = TrackedEndpoints.find(Start.Endpoint)->second;
    // Also the other members of a gang: all answers have to be recent at once.
    requestContact(Tracked);
    // Its free capacity is reduced by the placement.
    Tracked.IsCapacityStale = true;
    auto &Counts = LastRound.Pools[State.findJob(Start.Task.Job)->Pool];
    --Counts.Placed;
    ++Counts[placement_failure::Contact];
    LastRound.LongRunning.emplace(Start.Task, placement_failure::Contact);
    Held.push_back(Start.Task);
    return true;
  });
  if (!Held.empty())
    Metrics.add("placements_awaiting_contact_total", Held.size());
  return Held;
}

void leader::addContactCheck(tracked_endpoint &Tracked,
                             std::vector<order> &Orders, core::time_point Now) {
  if (!std::exchange(Tracked.IsContactCheckDue, false) ||
      Tracked.PendingContactCheck || Tracked.IsSuspect)
    return;
  // Without a lease, and it confirms no ends: it changes nothing there but the
  // fencing token. It does not wait for a poll that is pending.
  poll_order Check{fenceOf(Tracked.Endpoint), 0, std::nullopt, 0};
  Tracked.PendingContactCheck =
      addOrder(Orders, &Tracked, Check, ContactTimeout, Now).Id;
  Tracked.ContactCheckSentAt = Now;
  Metrics.add("contact_checks_total");
}

void leader::finishContactCheck(tracked_endpoint &Tracked,
                                const order_result &Result,
                                core::time_point SentAt, core::time_point Now) {
  Tracked.PendingContactCheck.reset();
  IsPlacementDue = true;
  // The endpoint may have answered before it was lost or replaced.
  if (Tracked.IsReplaced || (Tracked.IsSuspect && Tracked.SuspectedAt > SentAt))
    return;
  // Polls have more time and tell whether an endpoint with runs is out of
  // reach.
  bool HasAnswer = std::holds_alternative<endpoint_answer>(Result.Answer);
  if (!HasAnswer && !Tracked.Runs.empty())
    return;
  // Its list is not read, because an answer to a pending poll may be newer, so
  // that it does not make an earlier list count as recent.
  auto LastAnswer = Tracked.LastAnswer;
  if (recordPollAnswer(Tracked, "contact_check", Result, Now))
    Tracked.LastContact = SentAt;
  Tracked.LastAnswer = LastAnswer;
}

} // namespace lycheetrestle::scheduling
