#include "core/event_log.h"
#include "scheduling/host_mover.h"
#include "scheduling/job_order.h"
#include "scheduling/leader.h"

#include <algorithm>

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// Moves are decided about as often as one host's work changes.
constexpr core::duration MoveInterval = milliseconds(100);
constexpr std::size_t MaxOpenMoves = 16;
// Placement is tried at least this often while tasks wait.
constexpr core::duration StarvedFor = milliseconds(400);
// One line for each pool shows how the hosts follow the demand.
constexpr core::duration PoolLogInterval = std::chrono::seconds(1);

std::int64_t toMs(core::duration Duration) {
  return std::chrono::duration_cast<milliseconds>(Duration).count();
}

} // namespace

std::map<std::string, double> leader::neededCores(core::time_point Now,
                                                  std::int64_t WallMs) {
  // Waiting tasks of this length or longer count in full; shorter ones share
  // the cores one after the other.
  constexpr double ClearSeconds = 1.0;
  std::map<std::string, double> Needed;
  std::map<std::string, double> Working;
  for (const auto &[SubmittedMs, Id] : State.liveJobs()) {
    const auto &Job = *State.findJob(Id);
    const auto *Queue = State.queueOf(Job);
    for (const auto &Occurrence : Job.Open) {
      const auto &Model = Durations.modelOf(Job);
      bool IsLate = Ranks.rankOf(Job, Occurrence, Queue, WallMs).Group == 2;
      for (std::size_t Step = 0; Step != Occurrence.Steps.size(); ++Step) {
        const auto &Spec = Job.Spec.Steps[Step];
        auto Cores = reservedSize(Spec).MilliCores / 1000.0;
        bool IsReady = std::all_of(Spec.DependsOn.begin(), Spec.DependsOn.end(),
                                   [&](std::uint32_t Earlier) {
                                     return Occurrence.Steps[Earlier].Done ==
                                            Job.Spec.Steps[Earlier].Count;
                                   });
        for (const auto &Task : Occurrence.Steps[Step].Tasks) {
          if (Task.Endpoint != 0)
            (Spec.IsLongRunning ? Needed : Working)[Job.Pool] += Cores;
          else if (Task.isWaiting() && IsReady && Spec.IsLongRunning)
            Needed[Job.Pool] += Cores;
          else if (Task.isWaiting() && IsReady && !IsLate)
            Working[Job.Pool] +=
                Cores * std::min(1.0, Model.predictMs(Spec.EstimateMs) /
                                          1000.0 / ClearSeconds);
        }
      }
    }
  }
  // Room that stays unused because tasks do not fit together.
  constexpr double Packing = 1.15;
  auto Ahead = milliseconds(Settings.MoveMs);
  for (const auto &Pool : State.currentConfiguration().Pools) {
    auto Expected = Demand.expectedCores(Pool.Name, Now, Ahead);
    auto Short = Packing * std::max(Working[Pool.Name], Expected);
    Needed[Pool.Name] += Hosts.Needs[Pool.Name].update(Short, Now);
  }
  return Needed;
}

void leader::logPools(std::span<const pool_view> Pools,
                      std::span<const mover_host> View, core::time_point Now) {
  if (Now < Hosts.NextPoolLog)
    return;
  Hosts.NextPoolLog = Now + PoolLogInterval;
  for (const auto &Pool : Pools) {
    double Supply = 0;
    int Idle = 0;
    int All = 0;
    for (const auto &Host : View) {
      if (Host.Pool != Pool.Name)
        continue;
      ++All;
      Idle += Host.MayMove;
      Supply += Host.IsTaking ? Host.Cores : 0;
    }
    core::logEvent(core::log_level::Info, "pool_balance",
                   {{"pool", Pool.Name},
                    {"standby", Pool.IsStandby},
                    {"hosts", All},
                    {"idle", Idle},
                    {"supply_cores", static_cast<int>(Supply)},
                    {"needed_cores", static_cast<int>(Pool.NeededCores)},
                    {"tasks", Hosts.Tasks.size()},
                    {"cordoned", Hosts.Cordoned.size()}});
  }
}

double leader::extraCores(const std::string &Pool,
                          std::span<const mover_host> View,
                          core::time_point Now) const {
  auto Starved = Hosts.StarvedAt.find(Pool);
  if (Starved == Hosts.StarvedAt.end() || Now - Starved->second > StarvedFor)
    return 0;
  // Limits for one endpoint can make a further host necessary although the
  // pool has cores; one that is on its way is enough.
  double Supply = 0;
  for (const auto &Host : View) {
    auto Task = Hosts.Tasks.find(Host.Name);
    if (Task != Hosts.Tasks.end() && !Task->second.Wave &&
        Task->second.TargetPool == Pool)
      return 0;
    if (Host.Pool == Pool && Host.IsTaking)
      Supply += Host.Cores;
  }
  return Supply + 1;
}

void leader::planHostMoves(core::time_point Now, std::int64_t WallMs) {
  if (!Settings.HasPlatform || Hosts.ListedAt < StartedAt ||
      Now < Hosts.NextMoves)
    return;
  Hosts.NextMoves = Now + MoveInterval;
  auto Needed = neededCores(Now, WallMs);
  std::vector<mover_host> View;
  std::size_t OpenMoves = 0;
  for (const auto &[Name, Row] : Hosts.Hosts) {
    mover_host Host;
    Host.Name = Name;
    Host.Pool = Row.Pool;
    Host.Cores = Row.Capacity.MilliCores / 1000.0;
    const auto *Pool = State.findPool(Row.Pool);
    auto Task = Hosts.Tasks.find(Name);
    bool IsReserved = Task != Hosts.Tasks.end() ||
                      Hosts.Cordoned.find(Name) != Hosts.Cordoned.end();
    if (Task != Hosts.Tasks.end() && !Task->second.Wave) {
      Host.Pool = Task->second.TargetPool;
      Host.IsTaking = true;
      OpenMoves += !Task->second.HasBegun;
    }
    const auto *Contact = contactOfHost(Name);
    bool IsIdle = Row.State == host_state::Up && !IsReserved && Pool &&
                  (Pool->IsStandby || (Contact && Contact->Runs.empty()));
    if (IsIdle)
      Host.IdleMs =
          toMs(Now - Hosts.IdleSince.emplace(Name, Now).first->second);
    else
      Hosts.IdleSince.erase(Name);
    Host.MayMove = IsIdle;
    Host.IsTaking |=
        Row.State == host_state::Up && !IsReserved && Pool && !Pool->IsStandby;
    View.push_back(std::move(Host));
  }
  std::vector<pool_view> Pools;
  for (const auto &Pool : State.currentConfiguration().Pools)
    Pools.push_back({Pool.Name, Pool.IsStandby,
                     Needed[Pool.Name] + extraCores(Pool.Name, View, Now)});
  Hosts.SpareCores.clear();
  for (const auto &Pool : Pools)
    Hosts.SpareCores[Pool.Name] = -Pool.NeededCores;
  for (const auto &Host : View)
    if (Host.IsTaking)
      Hosts.SpareCores[Host.Pool] += Host.Cores;
  logPools(Pools, View, Now);
  if (OpenMoves >= MaxOpenMoves)
    return;
  for (auto &Move : planMoves(Pools, View, MaxOpenMoves - OpenMoves)) {
    auto &Task = Hosts.Tasks[Move.Host];
    Task.TargetPool = Move.Pool;
    Hosts.IdleSince.erase(Move.Host);
    core::logEvent(core::log_level::Info, "move_chosen",
                   {{"host", Move.Host},
                    {"pool", Move.Pool},
                    {"needed_cores", Needed[Move.Pool]},
                    {"list_age_ms", toMs(Now - Hosts.ListedAt)}});
  }
}

} // namespace lycheetrestle::scheduling
