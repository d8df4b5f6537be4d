#include "core/event_log.h"
#include "scheduling/leader.h"

#include <algorithm>
#include <utility>

// Which incarnation has an id. Another writer may send heartbeats with the id
// of a live endpoint, and start times are wall clocks that may be wrong or step
// in either direction, here and at the endpoint. So neither a later start time
// nor a larger sequence number proves anything: an incarnation takes the place
// of another one only after it answered at its own address with its id and its
// start time. For the same reason no start time is too late to be recorded.

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// An endpoint answers within a few milliseconds; a lost packet adds 200 ms.
constexpr core::duration ProbeTimeout = milliseconds(700);
// Incarnations of one id whose proof is awaited: the live one, one that ended
// and others of another writer. The one heard least recently is dropped.
constexpr std::size_t MaxCandidates = 4;
// Limit of unanswered probes, so that a flood of heartbeats of another writer
// causes a bounded number of calls.
constexpr std::size_t MaxPendingProbes = 64;
// A candidate without a heartbeat for this long has ended.
constexpr core::duration CandidateRetention = std::chrono::seconds(30);
// How far the clock in a heartbeat may be ahead of its estimate: the time that
// a heartbeat takes at most, a second, and as long again for the answer that
// the estimate is based on.
constexpr core::duration MaxClockLead = milliseconds(2000);
// An estimate is this much further off for each 100 of the time since its
// sample. Clocks of endpoints may be 2 % slow.
constexpr int ClockDriftPercent = 3;

std::uint64_t toMs(core::duration Duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(Duration).count());
}

bool isSameIncarnation(const endpoint_facts &Left,
                       const endpoint_facts &Right) {
  return Left.IncarnationMs == Right.IncarnationMs &&
         Left.Address == Right.Address;
}

} // namespace

bool leader::recordHeartbeat(const endpoint_heartbeat &Heartbeat,
                             core::time_point Now) {
  const auto &Facts = Heartbeat.Facts;
  const auto *Endpoint = State.findEndpoint(Facts.Id);
  if (!Endpoint) {
    // Keeps the clock sample until the new incarnation is committed.
    UncommittedHeartbeats[Facts.Id] = {Heartbeat, Now};
    return false;
  }
  if (!isSameIncarnation(Endpoint->Facts, Facts)) {
    recordCandidate(Heartbeat, Now);
    return true;
  }
  auto &Tracked = trackEndpoint(Endpoint->Number, Now);
  // A pool that is not configured names no endpoint to use.
  bool IsPoolOdd = Facts.Pool != Endpoint->Facts.Pool &&
                   State.findPool(Endpoint->Facts.Pool) &&
                   !State.findPool(Facts.Pool);
  if (IsPoolOdd || !isInOrder(Tracked, Heartbeat, Now)) {
    Metrics.add("heartbeats_outdated_total");
    // An answer tells whether this heartbeat or an earlier one was wrong.
    verify(Tracked, Now);
    return true;
  }
  if (Tracked.IsReplaced)
    verify(Tracked, Now);
  Tracked.Sequence = Heartbeat.Sequence;
  Tracked.HeartbeatClockMs = Heartbeat.ClockMs;
  Tracked.LastHeartbeat = Now;
  Tracked.RefusedAt = {};
  recordCapacity(Tracked, Heartbeat, Now);
  if (Tracked.ClockAt == core::time_point() ||
      Heartbeat.ClockMs > Tracked.ClockMs) {
    Tracked.ClockMs = Heartbeat.ClockMs;
    Tracked.ClockAt = Now;
  }
  if (Heartbeat.RemainingMs) {
    Tracked.RemainingMs = Heartbeat.RemainingMs;
    Tracked.RemainingAt = Now;
  }
  // An incarnation that drains never accepts work again, so a heartbeat without
  // the flag is out of date.
  return Endpoint->Facts == Facts ||
         (Endpoint->Facts.IsDraining && !Facts.IsDraining);
}

std::uint64_t leader::latestClock(const tracked_endpoint &Tracked,
                                  core::time_point Now) {
  auto Elapsed = Now - Tracked.ClockAt;
  return Tracked.ClockMs +
         toMs(Elapsed + Elapsed * ClockDriftPercent / 100 + MaxClockLead);
}

bool leader::isInOrder(const tracked_endpoint &Tracked,
                       const endpoint_heartbeat &Heartbeat,
                       core::time_point Now) {
  if (Tracked.IsClockConfirmed && Heartbeat.ClockMs > latestClock(Tracked, Now))
    return false;
  // The endpoint's clock is steady, so a heartbeat with a later clock was sent
  // later. When it has a lower number, the larger one was not the endpoint's;
  // otherwise that one would outdate all heartbeats of the endpoint.
  return Heartbeat.Sequence >= Tracked.Sequence ||
         Heartbeat.ClockMs > Tracked.HeartbeatClockMs;
}

void leader::confirmClock(tracked_endpoint &Tracked, std::uint64_t ClockMs,
                          core::time_point Now) {
  Tracked.ClockMs = ClockMs;
  Tracked.ClockAt = Now;
  Tracked.IsClockConfirmed = true;
  if (Tracked.HeartbeatClockMs <= latestClock(Tracked, Now))
    return;
  // The newest heartbeat was not the endpoint's: it outdates nothing.
  Tracked.HeartbeatClockMs = 0;
  Tracked.Sequence = 0;
  Tracked.AnnouncedAt = {};
}

void leader::verify(tracked_endpoint &Tracked, core::time_point Now) {
  if (Now < Tracked.NextVerification)
    return;
  Tracked.NextVerification = Now + Settings.HeartbeatInterval;
  Tracked.IsVerificationDue = true;
  Tracked.NextPoll = std::min(Tracked.NextPoll, Now);
  markDue(Tracked);
}

void leader::recordCandidate(const endpoint_heartbeat &Heartbeat,
                             core::time_point Now) {
  const auto &Facts = Heartbeat.Facts;
  if (!Facts.Address)
    return;
  const auto &Recorded = *State.findEndpoint(Facts.Id);
  auto &Tracked = trackEndpoint(Recorded.Number, Now);
  // Late orders for the recorded incarnation may reach this one before it is
  // proven, with leases in another clock; transferRuns() allows for the same.
  // Once only, or repeated heartbeats of another writer would keep the runs of
  // a lost endpoint for ever.
  if (Recorded.Facts.Address == Facts.Address &&
      !std::exchange(Tracked.IsLeaseProlonged, true))
    Tracked.LeaseExpiry = std::max(
        Tracked.LeaseExpiry,
        Now + MaxOrderDelay + Settings.MaxLease * MaxLeasePercent / 100);
  auto &Known = Candidates[Facts.Id];
  auto Found = std::find_if(
      Known.begin(), Known.end(), [&](const incarnation_candidate &Candidate) {
        return isSameIncarnation(Candidate.Heartbeat.Facts, Facts);
      });
  if (Found == Known.end()) {
    if (Known.size() == MaxCandidates)
      Known.erase(std::min_element(Known.begin(), Known.end(),
                                   [](const auto &Left, const auto &Right) {
                                     return Left.HeardAt < Right.HeardAt;
                                   }));
    Known.push_back({Heartbeat, Now, 0});
  } else {
    Found->HeardAt = Now;
    if (Heartbeat.Sequence >= Found->Heartbeat.Sequence ||
        Heartbeat.ClockMs > Found->Heartbeat.ClockMs)
      Found->Heartbeat = Heartbeat;
  }
  DueProbes.emplace(Facts.Id);
}

void leader::addProbes(std::vector<order> &Orders, core::time_point Now) {
  for (const auto &Id : std::exchange(DueProbes, {})) {
    auto Found = Candidates.find(Id);
    if (Found == Candidates.end())
      continue;
    for (auto &Candidate : Found->second) {
      if (Candidate.PendingProbe != 0 || Candidate.HeardAt < Candidate.ProbedAt)
        continue;
      if (PendingProbes >= MaxPendingProbes) {
        Metrics.add("probes_put_off_total");
        return; // The next heartbeat makes it due again.
      }
      // Without a lease, and it confirms no ends: it changes nothing there but
      // the fencing token, which is that of the recorded incarnation. A larger
      // one would keep that one from obeying if it answers there.
      const auto *Recorded = State.findEndpoint(Id);
      order Order;
      Order.Id = ++LastOrder;
      Order.Endpoint = ProbedEndpoint;
      Order.Address = Candidate.Heartbeat.Facts.Address;
      Order.EndpointId = Id;
      Order.Timeout = ProbeTimeout;
      Order.Body = poll_order{fenceOf(Recorded ? Recorded->Number : 0), 0,
                              std::nullopt, 0};
      PendingOrders[Order.Id] = {Order, Now};
      Orders.push_back(Order);
      ++PendingProbes;
      Candidate.PendingProbe = Order.Id;
      Candidate.ProbedAt = Now;
    }
  }
}

void leader::finishProbe(const order &Order, const order_result &Result,
                         core::time_point Now) {
  --PendingProbes;
  auto Known = Candidates.find(Order.EndpointId);
  if (Known == Candidates.end())
    return;
  auto Found = std::find_if(Known->second.begin(), Known->second.end(),
                            [&](const incarnation_candidate &Candidate) {
                              return Candidate.PendingProbe == Order.Id;
                            });
  if (Found == Known->second.end())
    return;
  Found->PendingProbe = 0;
  const auto &Facts = Found->Heartbeat.Facts;
  const auto *Answer = std::get_if<endpoint_answer>(&Result.Answer);
  bool IsProven = Answer &&
                  Answer->Verdict != endpoint_verdict::OtherIncarnation &&
                  Answer->IncarnationMs == Facts.IncarnationMs;
  if (!IsProven || !mayReplace(Facts, Now)) {
    Metrics.add("incarnations_not_proven_total");
    if (Unproven.isDue(Order.EndpointId, Now))
      core::logEvent(core::log_level::Warning, "incarnation_not_proven",
                     {{"endpoint", Order.EndpointId},
                      {"born_ms", Facts.IncarnationMs},
                      {"address", core::toText(Facts.Address)},
                      {"reason", IsProven ? "the recorded one may be alive"
                                 : Answer ? "another one answers there"
                                          : "nothing answers there"}});
    // Its next heartbeat causes the next probe. One at whose address another
    // incarnation answers is not there: until then, it must not keep ends of
    // the recorded one from being confirmed.
    if (Answer && !IsProven)
      Known->second.erase(Found);
    if (Known->second.empty())
      Candidates.erase(Known);
    return;
  }
  UncommittedHeartbeats[Facts.Id] = {Found->Heartbeat, Found->HeardAt};
  ProvenIncarnations.push_back(Facts);
  Known->second.erase(Found);
  if (Known->second.empty())
    Candidates.erase(Known);
}

bool leader::hasCandidateAtAddress(const tracked_endpoint &Tracked) const {
  auto Known = Candidates.find(Tracked.Id);
  if (Known == Candidates.end())
    return false;
  const auto &Address =
      State.endpoints().find(Tracked.Endpoint)->second.Facts.Address;
  return std::any_of(Known->second.begin(), Known->second.end(),
                     [&](const incarnation_candidate &Candidate) {
                       return Candidate.Heartbeat.Facts.Address == Address;
                     });
}

bool leader::mayReplace(const endpoint_facts &Facts, core::time_point Now) {
  const auto *Recorded = State.findEndpoint(Facts.Id);
  if (!Recorded || Recorded->Facts.IncarnationMs <= Facts.IncarnationMs ||
      Recorded->Facts.Address == Facts.Address || !Recorded->Facts.Address)
    return true;
  // Two live programs have the id; the later one keeps it as long as it
  // answers.
  auto &Tracked = trackEndpoint(Recorded->Number, Now);
  if (Tracked.IsSuspect || Tracked.IsReplaced)
    return true;
  verify(Tracked, Now);
  return false;
}

void leader::collectIncarnations(std::vector<command> &Commands,
                                 core::time_point Now) {
  for (auto &Facts : std::exchange(ProvenIncarnations, {}))
    Commands.emplace_back(describeEndpoint(std::move(Facts), Now));
}

void leader::rememberLeases(const tracked_endpoint &Tracked,
                            core::time_point Now) {
  if (Now < Tracked.LeaseExpiry + MaxOrderDelay)
    EndsWithLeases[Tracked.Id] = Now;
}

void leader::inheritLeases(tracked_endpoint &Tracked) {
  auto End = EndsWithLeases.find(Tracked.Id);
  if (End == EndsWithLeases.end())
    return;
  Tracked.LeaseExpiry = std::max(
      Tracked.LeaseExpiry, endOfLongestLease(End->second + MaxOrderDelay));
  Tracked.MayHoldEarlierLease = true;
  EndsWithLeases.erase(End);
}

void leader::pruneCandidates(core::time_point Now) {
  for (auto &[Id, Known] : Candidates)
    std::erase_if(Known, [&](const incarnation_candidate &Candidate) {
      return Candidate.PendingProbe == 0 &&
             Now - Candidate.HeardAt > CandidateRetention;
    });
  std::erase_if(Candidates,
                [](const auto &Item) { return Item.second.empty(); });
}

record_endpoint leader::describeEndpoint(endpoint_facts Facts,
                                         core::time_point Now) const {
  record_endpoint Record;
  const auto *Earlier = State.findEndpoint(Facts.Id);
  if (Earlier && Earlier->Facts.IncarnationMs != Facts.IncarnationMs) {
    // The end of an ended one has been recorded.
    if (!Earlier->HasEnded)
      Record.End = endOf(*Earlier, Now);
    if (Earlier->Facts.IncarnationMs > Facts.IncarnationMs) {
      Record.Replaces = Earlier->Number;
      // One that never answered may not exist, so no task made it crash.
      auto Tracked = TrackedEndpoints.find(Earlier->Number);
      if (Tracked == TrackedEndpoints.end() ||
          Tracked->second.LastAnswer == core::time_point())
        Record.End = {};
    }
  }
  auto Ended = EndsWithLeases.find(Facts.Id);
  Record.MayHoldEarlierLease = !Earlier && Ended != EndsWithLeases.end() &&
                               Now < Ended->second + MaxOrderDelay;
  Record.Facts = std::move(Facts);
  return Record;
}

} // namespace lycheetrestle::scheduling
