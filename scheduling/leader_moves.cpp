#include "core/event_log.h"
#include "scheduling/host_order_limits.h"
#include "scheduling/leader.h"
#include "scheduling/pool_rebalancer.h"

#include <algorithm>

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// About the interval at which the runs of one host change.
constexpr core::duration MoveInterval = milliseconds(100);
constexpr std::size_t MaxPendingMoves = 16;
// The same while moves do not begin: tasks have no other host than those of
// their pool, and each of these moves keeps one from work for seconds.
constexpr std::size_t MaxTrialMoves = 1;
// Delays of the next move of a host whose last one did not begin. Each such
// move keeps the host from work until it is dropped.
constexpr core::duration MinMoveDelay = std::chrono::seconds(1);
constexpr core::duration MaxMoveDelay = std::chrono::seconds(16);
// How long a list is awaited that shows whether an unanswered order moved its
// host; lists follow each other within half of it while the platform answers.
constexpr core::duration MaxListWait = std::chrono::seconds(1);
// How long a failed placement counts as demand. Placement runs more often than
// this while tasks wait.
constexpr core::duration UnplaceableWindow = milliseconds(400);
// One event per pool shows how its supply follows its demand.
constexpr core::duration PoolLogInterval = std::chrono::seconds(1);

std::int64_t toMs(core::duration Duration) {
  return std::chrono::duration_cast<milliseconds>(Duration).count();
}

} // namespace

std::map<std::string, double> leader::requiredCores(core::time_point Now,
                                                    std::int64_t WallMs) {
  Waiting.update(WallMs);
  std::map<std::string, double> Required;
  std::map<std::string, double> ShortRunning;
  for (const auto &[Pool, Cores] : Waiting.demand()) {
    Required[Pool] = static_cast<double>(Cores.LongMilliCores) / 1000;
    ShortRunning[Pool] = static_cast<double>(Cores.ShortMilliCores) / 1000;
  }
  // Allows for capacity that fragmentation leaves unused.
  constexpr double FragmentationFactor = 1.15;
  auto Horizon = milliseconds(Settings.MoveMs);
  for (const auto &Pool : State.currentConfiguration().Pools) {
    auto Expected = Demand.expectedCores(Pool.Name, Now, Horizon);
    auto Batch =
        FragmentationFactor * std::max(ShortRunning[Pool.Name], Expected);
    Required[Pool.Name] += Hosts.Smoothers[Pool.Name].update(Batch, Now);
  }
  return Required;
}

void leader::logPools(std::span<const pool_view> Pools,
                      std::span<const rebalance_host> View,
                      core::time_point Now) {
  if (Now < Hosts.NextPoolLog)
    return;
  Hosts.NextPoolLog = Now + PoolLogInterval;
  for (const auto &Pool : Pools) {
    double Supply = 0;
    double Free = 0;
    int Idle = 0;
    int All = 0;
    int Arriving = 0;
    int Leaving = 0;
    for (const auto &Host : View) {
      auto Operation = Hosts.Operations.find(Host.Name);
      bool IsMoving =
          Operation != Hosts.Operations.end() && !Operation->second.Wave;
      Arriving += IsMoving && Host.Pool == Pool.Name;
      Leaving += IsMoving && Hosts.Hosts.at(Host.Name).Pool == Pool.Name;
      if (Host.Pool != Pool.Name)
        continue;
      ++All;
      Idle += Host.MayMove;
      Supply += Host.AcceptsWork ? Host.Cores : 0;
      if (const auto *Tracked = IsMoving ? nullptr : trackedOnHost(Host.Name))
        Free += Tracked->FreeCapacity.Free.MilliCores / 1000.0;
    }
    core::logEvent(core::log_level::Info, "pool_balance",
                   {{"pool", Pool.Name},
                    {"standby", Pool.IsStandby},
                    {"hosts", All},
                    {"idle", Idle},
                    {"supply_cores", static_cast<int>(Supply)},
                    {"needed_cores", static_cast<int>(Pool.RequiredCores)},
                    {"free_cores", static_cast<int>(Free)},
                    {"arriving", Arriving},
                    {"leaving", Leaving},
                    {"tasks", Hosts.Operations.size()},
                    {"cordoned", Hosts.Cordoned.size()}});
  }
}

double leader::extraCores(const std::string &Pool,
                          std::span<const rebalance_host> View,
                          core::time_point Now) const {
  auto Unplaceable = Hosts.UnplaceableAt.find(Pool);
  if (Unplaceable == Hosts.UnplaceableAt.end() ||
      Now - Unplaceable->second > UnplaceableWindow)
    return 0;
  // Per-endpoint limits can require another host although the pool has free
  // cores, so the demand is raised above the supply. Nothing is added while a
  // host moves to the pool: that one may be enough.
  double Supply = 0;
  for (const auto &Host : View) {
    auto Operation = Hosts.Operations.find(Host.Name);
    if (Operation != Hosts.Operations.end() && !Operation->second.Wave &&
        Operation->second.TargetPool == Pool)
      return 0;
    if (Host.Pool == Pool && Host.AcceptsWork)
      Supply += Host.Cores;
  }
  return Supply + 1;
}

void leader::delayNextMove(const std::string &Host, core::time_point Now) {
  auto &Backoff = Hosts.MoveBackoffs[Host];
  Backoff.Delay = std::clamp(2 * Backoff.Delay, MinMoveDelay, MaxMoveDelay);
  Backoff.Until = Now + Backoff.Delay;
}

bool leader::isShownUnmoved(const std::string &Host,
                            const host_operation &Move) const {
  const auto *Row = Hosts.findNewer(Host, *Move.FailedAt);
  return Row && Row->State == host_state::Up && Row->Pool != Move.TargetPool &&
         Row->EndpointId == Move.EndpointId;
}

void leader::dropMovesThatDidNotBegin(core::time_point Now) {
  core::eraseIf(Hosts.MoveBackoffs, [&](const auto &Item) {
    return Now > Item.second.Until + MaxMoveDelay;
  });
  std::vector<std::string> Dropped;
  for (const auto &[Name, Operation] : Hosts.Operations) {
    if (Operation.Wave || Operation.HasBegun || Operation.IsOrderPending)
      continue;
    if (Operation.FailedAt && isShownUnmoved(Name, Operation)) {
      Dropped.push_back(Name);
      continue;
    }
    if (Now < Operation.DecidedAt + HostOrderLifetime ||
        Now < Operation.MayTakeEffectUntil)
      continue;
    // The order may have moved the host: a list that is newer shows it.
    bool MayHaveMoved = Operation.MayTakeEffectUntil != core::time_point();
    if (!MayHaveMoved || Hosts.ListedAt > Operation.MayTakeEffectUntil ||
        Now >= Operation.MayTakeEffectUntil + MaxListWait)
      Dropped.push_back(Name);
  }
  if (Dropped.empty())
    return;
  for (const auto &Name : Dropped) {
    auto Found = Hosts.Operations.find(Name);
    bool WasSent = Found->second.MayTakeEffectUntil != core::time_point();
    core::logEvent(core::log_level::Warning, "move_dropped",
                   {{"host", Name},
                    {"pool", Found->second.TargetPool},
                    {"sent", WasSent},
                    {"decided_ms_ago", toMs(Now - Found->second.DecidedAt)}});
    Hosts.Operations.erase(Found);
    // A platform that takes no more calls says nothing about this host.
    if (!WasSent)
      Hosts.MoveBackoffs.erase(Name);
    delayNextMove(Name, Now);
  }
  Hosts.AreMovesFailing = true;
  Metrics.add("moves_dropped_total", Dropped.size());
  IsPlacementDue = true;
}

std::unordered_set<std::string_view>
leader::hostsThatStayUp(std::int64_t WallMs) const {
  std::unordered_set<std::string_view> Names;
  for (const auto &[Number, Wave] : State.waves()) {
    if (Wave.isComplete() ||
        !mustStayUp(Wave, WallMs - Wave.StartedMs, Settings.MoveMs))
      continue;
    Names.insert(Wave.Hosts.begin(), Wave.Hosts.end());
    for (const auto &Name : Wave.Begun)
      Names.erase(Name);
  }
  return Names;
}

void leader::planHostMoves(core::time_point Now, std::int64_t WallMs) {
  if (!Settings.HasPlatform || Hosts.ListedAt < StartedAt ||
      Now < Hosts.NextMovePlan)
    return;
  Hosts.NextMovePlan = Now + MoveInterval;
  dropMovesThatDidNotBegin(Now);
  auto Required = requiredCores(Now, WallMs);
  auto StayingUp = hostsThatStayUp(WallMs);
  std::vector<rebalance_host> View;
  std::size_t PendingMoves = 0;
  for (const auto &[Name, Row] : Hosts.Hosts) {
    rebalance_host Host;
    Host.Name = Name;
    Host.Pool = Row.Pool;
    Host.Cores = Row.Capacity.MilliCores / 1000.0;
    const auto *Pool = State.findPool(Row.Pool);
    auto Operation = Hosts.Operations.find(Name);
    bool IsReserved = Operation != Hosts.Operations.end() ||
                      Hosts.Cordoned.find(Name) != Hosts.Cordoned.end();
    if (Operation != Hosts.Operations.end() && !Operation->second.Wave) {
      Host.Pool = Operation->second.TargetPool;
      Host.AcceptsWork = true;
      PendingMoves += !Operation->second.HasBegun;
    }
    const auto *Tracked = trackedOnHost(Name);
    bool IsIdle = Row.State == host_state::Up && !IsReserved && Pool &&
                  (Pool->IsStandby || (Tracked && Tracked->Runs.empty()));
    if (IsIdle)
      Host.IdleMs =
          toMs(Now - Hosts.IdleSince.emplace(Name, Now).first->second);
    else
      Hosts.IdleSince.erase(Name);
    auto Backoff = Hosts.MoveBackoffs.find(Name);
    Host.MayMove =
        IsIdle && StayingUp.count(Name) == 0 &&
        (Backoff == Hosts.MoveBackoffs.end() || Now >= Backoff->second.Until);
    // A host that is not listed any more may be gone.
    bool IsListed = Hosts.KeptHosts.count(Name) == 0 || hasListedEndpoint(Name);
    Host.AcceptsWork |= Row.State == host_state::Up && IsListed &&
                        !IsReserved && Pool && !Pool->IsStandby;
    View.push_back(std::move(Host));
  }
  std::vector<pool_view> Pools;
  for (const auto &Pool : State.currentConfiguration().Pools)
    Pools.push_back({Pool.Name, Pool.IsStandby,
                     Required[Pool.Name] + extraCores(Pool.Name, View, Now)});
  Hosts.SurplusCores.clear();
  for (const auto &Pool : Pools)
    Hosts.SurplusCores[Pool.Name] = -Pool.RequiredCores;
  for (const auto &Host : View)
    if (Host.AcceptsWork)
      Hosts.SurplusCores[Host.Pool] += Host.Cores;
  logPools(Pools, View, Now);
  auto MaxMoves = Hosts.AreMovesFailing ? MaxTrialMoves : MaxPendingMoves;
  if (PendingMoves >= MaxMoves)
    return;
  for (auto &Move : planMoves(Pools, View, MaxMoves - PendingMoves)) {
    auto &Operation = Hosts.Operations[Move.Host];
    Operation.TargetPool = Move.Pool;
    Operation.DecidedAt = Now;
    Hosts.IdleSince.erase(Move.Host);
    core::logEvent(core::log_level::Info, "move_chosen",
                   {{"host", Move.Host},
                    {"pool", Move.Pool},
                    {"needed_cores", Required[Move.Pool]},
                    {"list_age_ms", toMs(Now - Hosts.ListedAt)}});
  }
}

} // namespace lycheetrestle::scheduling
