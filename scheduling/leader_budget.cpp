#include "core/event_log.h"
#include "scheduling/host_order_limits.h"
#include "scheduling/leader.h"

#include <algorithm>

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// Endpoints with runs answer a poll at least every 2.1 s. An older answer does
// not show that a task is available: the leader may be too slow to see its end.
constexpr core::duration MaxAnswerAge = milliseconds(2500);
// A draining endpoint kills its runs at its deadline. Stopping them this much
// earlier saves their checkpoints.
constexpr milliseconds DrainStopMargin{600};
// Heartbeat intervals until the first heartbeat of a draining endpoint tells a
// new leader the time that is left; one heartbeat may be lost.
constexpr int MaxAwaitedIntervals = 2;

std::int64_t toMs(core::duration Duration) {
  return std::chrono::duration_cast<milliseconds>(Duration).count();
}

} // namespace

leader::peer_availability leader::availabilityOf(const task_key &Key,
                                                 std::uint32_t Number,
                                                 core::time_point Now) const {
  peer_availability Peer;
  auto Tracked = TrackedEndpoints.find(Number);
  if (Tracked == TrackedEndpoints.end())
    return Peer;
  const auto &Known = Tracked->second;
  auto Run = Known.Runs.find(Key);
  Peer.IsAvailable = Run != Known.Runs.end() &&
                     Run->second.Phase == run_phase::Running &&
                     !Run->second.IsEnded && Run->second.Percent >= 100 &&
                     !Known.IsSuspect && Now - Known.LastAnswer <= MaxAnswerAge;
  const auto &Endpoint = State.endpoints().find(Number)->second;
  auto Operation = Hosts.Operations.find(hostOf(Endpoint));
  // A held order may have taken effect after the endpoint's last answer.
  Peer.IsOrdered = Operation != Hosts.Operations.end() &&
                   (!Operation->second.IsHeld ||
                    Known.LastAnswer < Operation->second.MayTakeEffectUntil);
  Peer.IsDraining = Endpoint.Facts.IsDraining;
  // The list of hosts may show that the incarnation ended before its end is
  // committed.
  Peer.IsLeaving = Known.IsReplaced || Known.DeregisteredAt ||
                   EndedIncarnations.count(Number) > 0;
  return Peer;
}

leader::peer_counts leader::countPeers(const task_key &Task,
                                       interruption Interruption,
                                       core::time_point Now) const {
  peer_counts Counts;
  const auto *Job = State.findJob(Task.Job);
  const auto *Occurrence = Job ? Job->findOpen(Task.Occurrence) : nullptr;
  if (!Occurrence || !State.findTask(Task))
    return Counts;
  auto Key = Task;
  const auto &Tasks = Occurrence->Steps[Task.Step].Tasks;
  for (Key.Index = 0; Key.Index != Tasks.size(); ++Key.Index) {
    if (Key.Index == Task.Index)
      continue;
    auto Peer = availabilityOf(Key, Tasks[Key.Index].Endpoint, Now);
    bool IsColocated = Tasks[Key.Index].Endpoint == Tasks[Task.Index].Endpoint;
    Counts.Unavailable +=
        Peer.isUnavailable(Interruption != interruption::DrainingRun) ||
        (IsColocated && Interruption == interruption::Endpoint);
    Counts.Ordered += Peer.IsAvailable && Peer.IsOrdered;
  }
  return Counts;
}

const step_spec *leader::findBudgetedStep(const task_key &Task) const {
  const auto *Job = State.findJob(Task.Job);
  const auto *Step = findStep(Task);
  if (!Step || !Step->IsLongRunning || isOver(Job->State))
    return nullptr;
  return Step;
}

bool leader::isWithinBudget(const task_key &Task, interruption Interruption,
                            core::time_point Now) const {
  const auto *Step = findBudgetedStep(Task);
  return !Step || countPeers(Task, Interruption, Now).Unavailable <
                      std::max(1u, Step->MaxUnavailable);
}

const step_availability *leader::findAvailability(const task_key &Task,
                                                  step_availabilities &Known,
                                                  core::time_point Now) const {
  const auto *Job = State.findJob(Task.Job);
  const auto *Occurrence = Job ? Job->findOpen(Task.Occurrence) : nullptr;
  if (!Occurrence || !State.findTask(Task))
    return nullptr;
  auto Key = Task;
  Key.Index = 0;
  auto [Found, IsNew] = Known.try_emplace(Key);
  if (!IsNew)
    return &Found->second;
  const auto &Tasks = Occurrence->Steps[Task.Step].Tasks;
  for (; Key.Index != Tasks.size(); ++Key.Index) {
    auto Endpoint = Tasks[Key.Index].Endpoint;
    Found->second.add(Endpoint,
                      availabilityOf(Key, Endpoint, Now).isUnavailable(true));
  }
  return &Found->second;
}

bool leader::mayStop(const task_key &Task, step_availabilities &Known,
                     core::time_point Now) const {
  const auto *Step = findBudgetedStep(Task);
  const auto *Peers = Step ? findAvailability(Task, Known, Now) : nullptr;
  return !Peers || Peers->unavailablePeers(Task.Index) <
                       std::max(1u, Step->MaxUnavailable);
}

bool leader::mayInterrupt(const tracked_endpoint &Tracked,
                          step_availabilities &Known,
                          core::time_point Now) const {
  return std::all_of(
      Tracked.Runs.begin(), Tracked.Runs.end(), [&](const auto &Item) {
        const auto &Task = Item.first;
        const auto *Step = findBudgetedStep(Task);
        const auto *Peers = Step ? findAvailability(Task, Known, Now) : nullptr;
        return !Peers || Peers->unavailablePeersWithout(Task.Index) <
                             std::max(1u, Step->MaxUnavailable);
      });
}

bool leader::mayInterrupt(const tracked_endpoint &Tracked,
                          core::time_point Now) const {
  step_availabilities Known;
  return mayInterrupt(Tracked, Known, Now);
}

bool leader::isUnlisted(const tracked_endpoint &Tracked) const {
  auto Endpoint = State.endpoints().find(Tracked.Endpoint);
  return Endpoint != State.endpoints().end() &&
         Tracked.TrackedSince >= Hosts.ListedAt &&
         hostOf(Endpoint->second).empty();
}

bool leader::hasListedEndpoint(const std::string &Host) const {
  const auto *Tracked = trackedOnHost(Host);
  return Tracked && !Tracked->IsSuspect && !Tracked->IsReplaced &&
         !Tracked->DeregisteredAt &&
         EndedIncarnations.count(Tracked->Endpoint) == 0;
}

bool leader::mayEndUnlistedRuns(const std::string &Host) const {
  if (hasListedEndpoint(Host))
    return false;
  return std::any_of(
      TrackedEndpoints.begin(), TrackedEndpoints.end(), [&](const auto &Item) {
        const auto &Runs = Item.second.Runs;
        return !Runs.empty() && isUnlisted(Item.second) &&
               std::any_of(Runs.begin(), Runs.end(), [&](const auto &Run) {
                 const auto *Step = findStep(Run.first);
                 return Step && Step->IsLongRunning;
               });
      });
}

bool leader::mayBeOnOrderedHost(std::uint32_t Endpoint,
                                core::time_point Now) const {
  auto Tracked = TrackedEndpoints.find(Endpoint);
  if (Tracked == TrackedEndpoints.end() || !isUnlisted(Tracked->second))
    return false;
  // An earlier leader may have sent the orders that are committed.
  if (!knowsEarlierHostOrders())
    return Now - StartedAt < HostOrderLifetime &&
           std::any_of(State.waves().begin(), State.waves().end(),
                       [](const auto &Item) {
                         return Item.second.Ordered.size() >
                                Item.second.Begun.size();
                       });
  return std::any_of(Hosts.Operations.begin(), Hosts.Operations.end(),
                     [&](const auto &Item) {
                       const auto &[Host, Operation] = Item;
                       return !Operation.HasBegun &&
                              (Operation.IsOrderPending ||
                               Now < Operation.MayTakeEffectUntil) &&
                              !hasListedEndpoint(Host);
                     });
}

bool leader::mayBeMovedByEarlierLeader(std::uint32_t Endpoint,
                                       core::time_point Now) const {
  if (!MayFollowMoves || Now - StartedAt >= HostOrderLifetime)
    return false;
  auto Tracked = TrackedEndpoints.find(Endpoint);
  return Tracked != TrackedEndpoints.end() && !Tracked->second.HadRunsAtStart;
}

bool leader::knowsEarlierHostOrders() const {
  // The first plan of waves adds the orders that earlier leaders committed.
  return !Settings.HasPlatform || Hosts.NextWavePlan != core::time_point();
}

bool leader::isDrainNearEnd(const tracked_endpoint &Tracked,
                            core::time_point Now) const {
  if (Tracked.DeregisteredAt)
    return true;
  if (Tracked.RemainingMs)
    return Now - Tracked.RemainingAt + DrainStopMargin >=
           milliseconds(*Tracked.RemainingMs);
  // The endpoint does not tell how much time is left, so that it may end at any
  // time, or this leader has not heard from it yet.
  return Tracked.AnnouncedAt != core::time_point() ||
         Now - StartedAt >= MaxAwaitedIntervals * Settings.HeartbeatInterval;
}

void leader::stopDrainingRuns(tracked_endpoint &Tracked, core::time_point Now) {
  const auto &Facts = State.endpoints().find(Tracked.Endpoint)->second.Facts;
  if (!Facts.IsDraining)
    return;
  bool IsNearEnd = isDrainNearEnd(Tracked, Now);
  for (auto &[Key, Run] : Tracked.Runs) {
    if (Run.Phase == run_phase::Stopping)
      continue;
    // A start is not sent or repeated while the endpoint drains. When a copy
    // may have been executed, the next poll tells whether the run is at work;
    // if it is not, a stop keeps a late copy from starting it.
    bool IsStartDue = Run.Phase == run_phase::Committed ||
                      (Run.Phase == run_phase::Starting && !Run.IsOrderPending);
    if (IsStartDue && !IsNearEnd && Run.mayHaveStarted()) {
      Run.Phase = run_phase::Unconfirmed;
      Run.MayStartLate = true;
      Run.VisibleSince = Now;
      continue;
    }
    const auto *Step = findStep(Key);
    bool IsLongRunning = !Step || Step->IsLongRunning;
    // The stop is sent at once, so that its budget is asked only here. A run
    // whose start is unanswered may be at work already.
    bool MaySend = !Run.IsOrderPending && Now >= Run.NextOrder;
    bool MayStop = IsLongRunning && MaySend && knowsEarlierHostOrders() &&
                   isWithinBudget(Key, interruption::DrainingRun, Now);
    if (IsNearEnd || IsStartDue || MayStop)
      beginStop(Run, stop_reason::Draining, Now);
  }
}

void leader::logStop(const tracked_endpoint &Tracked, const task_key &Key,
                     const tracked_run &Run, core::time_point Now) const {
  const auto *Job = State.findJob(Key.Job);
  const auto *Step = findStep(Key);
  if (!Step || !Step->IsLongRunning)
    return;
  bool IsDraining = Run.StopReason == stop_reason::Draining;
  auto Peers = countPeers(
      Key, IsDraining ? interruption::DrainingRun : interruption::Run, Now);
  core::logEvent(
      core::log_level::Info, "run_stop_sent",
      {{"job", Key.Job},
       {"step", Key.Step},
       {"index", Key.Index},
       {"attempt", Run.Attempt},
       {"endpoint", Tracked.Endpoint},
       {"reason", toText(Run.StopReason)},
       {"job_over", isOver(Job->State)},
       {"drain_near_end", IsDraining && isDrainNearEnd(Tracked, Now)},
       {"percent", Run.Percent},
       {"peers_unavailable", Peers.Unavailable},
       {"peers_ordered", Peers.Ordered},
       {"may_miss", Step->MaxUnavailable},
       {"decided_ms_ago", toMs(Now - Run.StopDecidedAt)},
       {"answer_age_ms", toMs(Now - Tracked.LastAnswer)}});
}

void leader::logInterruptions(const tracked_endpoint &Tracked,
                              const std::string &Host,
                              core::time_point Now) const {
  for (const auto &[Key, Run] : Tracked.Runs) {
    const auto *Job = State.findJob(Key.Job);
    const auto *Step = findStep(Key);
    if (!Step || !Step->IsLongRunning || isOver(Job->State))
      continue;
    auto Peers = countPeers(Key, interruption::Endpoint, Now);
    core::logEvent(core::log_level::Info, "run_interruption_sent",
                   {{"host", Host},
                    {"job", Key.Job},
                    {"step", Key.Step},
                    {"index", Key.Index},
                    {"attempt", Run.Attempt},
                    {"endpoint", Tracked.Endpoint},
                    {"percent", Run.Percent},
                    {"peers_unavailable", Peers.Unavailable},
                    {"peers_ordered", Peers.Ordered},
                    {"may_miss", Step->MaxUnavailable},
                    {"answer_age_ms", toMs(Now - Tracked.LastAnswer)}});
  }
}

} // namespace lycheetrestle::scheduling
