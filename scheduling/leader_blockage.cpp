#include "scheduling/pool_blockage.h"

#include "core/event_log.h"
#include "scheduling/leader.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// A long-running task starts again within 1 to 2 s.
constexpr core::duration MinUnservedTime = std::chrono::seconds(3);
// Jobs wait for about this long in a pool that is only busy.
constexpr core::duration MinJobWait = std::chrono::seconds(5);
// Limit of the pools that are described in a second.
constexpr std::size_t MaxBlockedPools = 4;

template <typename Value, typename Kind>
Value &at(array_by<Value, Kind> &Values, Kind Index) {
  return Values[static_cast<std::size_t>(Index)];
}

template <typename Value, typename Kind>
const Value &at(const array_by<Value, Kind> &Values, Kind Index) {
  return Values[static_cast<std::size_t>(Index)];
}

std::int64_t toMs(core::duration Duration) {
  return std::chrono::duration_cast<milliseconds>(Duration).count();
}

room_holder holderOf(const tracked_run &Run) {
  if (Run.IsEnded)
    return room_holder::Ended;
  switch (Run.Phase) {
  case run_phase::Committed:
    return room_holder::Committed;
  case run_phase::Starting:
    return room_holder::Starting;
  case run_phase::Unconfirmed:
    return room_holder::Unconfirmed;
  case run_phase::Running:
    return room_holder::Running;
  case run_phase::Stopping:
    return room_holder::Stopping;
  }
  return room_holder::Untracked;
}

void addRun(held_room &Held, const step_spec *Step, core::duration Age) {
  ++Held.Runs;
  Held.Oldest = std::max(Held.Oldest, Age);
  if (Step)
    Held.Size.add(reservedSize(*Step));
}

/// \returns runs, millicores, MB and the age in ms of the oldest run.
std::string describe(const held_room &Held) {
  return std::to_string(Held.Runs) + "," +
         std::to_string(Held.Size.MilliCores) + "," +
         std::to_string(Held.Size.MemoryMb) + "," +
         std::to_string(toMs(Held.Oldest));
}

/// \returns the number of orders and the age in ms of the oldest one.
std::string describe(const pending_order_age &Pending) {
  return std::to_string(Pending.Orders) + "," +
         std::to_string(toMs(Pending.Oldest));
}

std::string describeFailures(const placement_counts &Counts) {
  std::string Result;
  for (std::size_t Index = 0; Index != Counts.Failed.size(); ++Index) {
    if (Counts.Failed[Index] == 0)
      continue;
    if (!Result.empty())
      Result += ",";
    Result += toText(static_cast<placement_failure>(Index));
    Result += ":" + std::to_string(Counts.Failed[Index]);
  }
  return Result;
}

} // namespace

std::string_view toText(endpoint_use Use) {
  switch (Use) {
  case endpoint_use::Fenced:
    return "fenced";
  case endpoint_use::Replaced:
    return "replaced";
  case endpoint_use::Unanswered:
    return "unanswered";
  case endpoint_use::Draining:
    return "draining";
  case endpoint_use::Starting:
    return "starting";
  case endpoint_use::Silent:
    return "silent";
  case endpoint_use::BadHealth:
    return "bad_health";
  case endpoint_use::BadHost:
    return "bad_host";
  case endpoint_use::Ordered:
    return "ordered";
  case endpoint_use::Other:
    return "other";
  case endpoint_use::Reserved:
    return "reserved";
  case endpoint_use::Schedulable:
    return "schedulable";
  case endpoint_use::Count:
    break;
  }
  return "unknown";
}

order_kind kindOf(const order_body &Body) {
  struct visitor {
    order_kind operator()(const start_order &) { return order_kind::Start; }
    order_kind operator()(const stop_order &) { return order_kind::Stop; }
    order_kind operator()(const poll_order &) { return order_kind::Poll; }
    order_kind operator()(const throttle_order &) {
      return order_kind::Throttle;
    }
    order_kind operator()(const advise_order &) { return order_kind::Advice; }
    order_kind operator()(const list_hosts_order &) {
      return order_kind::HostList;
    }
    order_kind operator()(const move_host_order &) {
      return order_kind::HostOrder;
    }
    order_kind operator()(const maintenance_order &) {
      return order_kind::HostOrder;
    }
  };
  return std::visit(visitor(), Body);
}

std::string_view toText(order_kind Kind) {
  switch (Kind) {
  case order_kind::Start:
    return "start";
  case order_kind::Stop:
    return "stop";
  case order_kind::Poll:
    return "poll";
  case order_kind::Throttle:
    return "throttle";
  case order_kind::Advice:
    return "advice";
  case order_kind::HostList:
    return "host_list";
  case order_kind::HostOrder:
    return "host_order";
  case order_kind::Count:
    break;
  }
  return "unknown";
}

std::string_view toText(placement_failure Reason) {
  switch (Reason) {
  case placement_failure::NoEndpoint:
    return "no_endpoint";
  case placement_failure::Size:
    return "size";
  case placement_failure::Label:
    return "label";
  case placement_failure::Reserved:
    return "reserved";
  case placement_failure::Spread:
    return "spread";
  case placement_failure::OrderedHost:
    return "ordered_host";
  case placement_failure::Contact:
    return "contact";
  case placement_failure::Advice:
    return "advice";
  case placement_failure::GangRoom:
    return "gang_room";
  case placement_failure::Deferred:
    return "deferred";
  case placement_failure::Trial:
    return "trial";
  case placement_failure::WorkspaceLimit:
    return "workspace_limit";
  case placement_failure::Skipped:
    return "skipped";
  case placement_failure::Count:
    break;
  }
  return "unknown";
}

void logBlockage(const pool_blockage &Blockage) {
  const auto &Endpoints = Blockage.Endpoints;
  const auto &Held = Blockage.Held;
  const auto &Orders = Blockage.Orders;
  core::logEvent(
      core::log_level::Warning, "pool_blocked",
      {{"pool", Blockage.Pool},
       {"unserved_tasks", Blockage.UnservedTasks},
       {"waiting_jobs", Blockage.WaitingJobs},
       {"oldest_wait_ms", toMs(Blockage.OldestWait)},
       {"schedulable", at(Endpoints, endpoint_use::Schedulable)},
       {"reserved", at(Endpoints, endpoint_use::Reserved)},
       {"draining", at(Endpoints, endpoint_use::Draining)},
       {"unanswered", at(Endpoints, endpoint_use::Unanswered)},
       {"silent", at(Endpoints, endpoint_use::Silent)},
       {"bad_health", at(Endpoints, endpoint_use::BadHealth)},
       {"bad_host", at(Endpoints, endpoint_use::BadHost)},
       {"ordered", at(Endpoints, endpoint_use::Ordered)},
       {"starting", at(Endpoints, endpoint_use::Starting)},
       {"fenced", at(Endpoints, endpoint_use::Fenced)},
       {"replaced", at(Endpoints, endpoint_use::Replaced)},
       {"other", at(Endpoints, endpoint_use::Other)},
       {"ordered_hosts", Blockage.OrderedHosts},
       {"free_millicores", Blockage.Free.MilliCores},
       {"free_mb", Blockage.Free.MemoryMb},
       {"held_committed", describe(at(Held, room_holder::Committed))},
       {"held_starting", describe(at(Held, room_holder::Starting))},
       {"held_unconfirmed", describe(at(Held, room_holder::Unconfirmed))},
       {"held_running", describe(at(Held, room_holder::Running))},
       {"held_stopping", describe(at(Held, room_holder::Stopping))},
       {"held_ended", describe(at(Held, room_holder::Ended))},
       {"held_untracked", describe(at(Held, room_holder::Untracked))},
       {"held_orphaned", describe(at(Held, room_holder::Orphaned))},
       {"starts", describe(at(Orders, order_kind::Start))},
       {"stops", describe(at(Orders, order_kind::Stop))},
       {"polls", describe(at(Orders, order_kind::Poll))},
       {"throttles", describe(at(Orders, order_kind::Throttle))},
       {"advice_calls", describe(at(Orders, order_kind::Advice))},
       {"host_lists", describe(at(Orders, order_kind::HostList))},
       {"host_orders", describe(at(Orders, order_kind::HostOrder))},
       {"steps_tried", Blockage.LastRound.Tried},
       {"tasks_placed", Blockage.LastRound.Placed},
       {"steps_failed", describeFailures(Blockage.LastRound)}});
}

endpoint_use leader::useOf(const endpoint_record &Endpoint,
                           const tracked_endpoint &Tracked,
                           core::time_point Now) const {
  if (Tracked.FencedAt)
    return endpoint_use::Fenced;
  if (Tracked.IsReplaced || Tracked.HasEnded ||
      EndedIncarnations.count(Tracked.Endpoint) > 0)
    return endpoint_use::Replaced;
  if (Tracked.IsSuspect)
    return endpoint_use::Unanswered;
  if (Endpoint.Facts.IsDraining || Tracked.DeregisteredAt)
    return endpoint_use::Draining;
  if (isSchedulable(Endpoint, Tracked, Now))
    return Tracked.FreeCapacity.IsReserved ? endpoint_use::Reserved
                                           : endpoint_use::Schedulable;
  if (!Endpoint.Facts.Address || Tracked.ClockAt == core::time_point() ||
      (isUnguarded(Endpoint) && Tracked.AnnouncedAt == core::time_point()))
    return endpoint_use::Starting;
  if (Tracked.Health.isAvoided(Now))
    return endpoint_use::BadHealth;
  const auto &Host = hostOf(Endpoint);
  if (!Host.empty() && HostCrashes.isAvoided(Host, Now))
    return endpoint_use::BadHost;
  if (!Host.empty() && (Hosts.Cordoned.find(Host) != Hosts.Cordoned.end() ||
                        Hosts.Operations.find(Host) != Hosts.Operations.end()))
    return endpoint_use::Ordered;
  const auto *Pool = State.findPool(Endpoint.Facts.Pool);
  return Pool && !Pool->IsStandby ? endpoint_use::Silent : endpoint_use::Other;
}

void leader::addEndpoint(pool_blockage &Blockage, tracked_endpoint &Tracked,
                         const endpoint_record &Endpoint,
                         core::time_point Now) const {
  auto Use = useOf(Endpoint, Tracked, Now);
  ++at(Blockage.Endpoints, Use);
  if (Use == endpoint_use::Schedulable) {
    if (Tracked.IsCapacityStale)
      computeFreeCapacity(Tracked, Endpoint);
    Blockage.Free.add(Tracked.FreeCapacity.Free);
    Blockage.OrderedHosts += mayBeOnOrderedHost(Tracked.Endpoint, Now) ||
                             mayBeMovedByEarlierLeader(Tracked.Endpoint, Now);
  }
  for (const auto &Key : Endpoint.Runs) {
    auto Run = Tracked.Runs.find(Key);
    bool IsTracked = Run != Tracked.Runs.end();
    addRun(at(Blockage.Held,
              IsTracked ? holderOf(Run->second) : room_holder::Untracked),
           findStep(Key),
           IsTracked ? Now - Run->second.TrackedSince : core::duration());
  }
  for (const auto &[Key, Orphan] : Tracked.OrphanedRuns)
    addRun(at(Blockage.Held, room_holder::Orphaned), findStep(Key),
           Now - Orphan.ListedSince);
}

pool_blockage leader::describeRoom(const std::string &Pool,
                                   core::time_point Now) {
  pool_blockage Result;
  Result.Pool = Pool;
  for (auto &[Number, Tracked] : TrackedEndpoints) {
    auto Endpoint = State.endpoints().find(Number);
    if (Endpoint != State.endpoints().end() &&
        Endpoint->second.Facts.Pool == Pool)
      addEndpoint(Result, Tracked, Endpoint->second, Now);
  }
  return Result;
}

std::vector<pool_blockage> leader::blockedPools(core::time_point Now,
                                                std::int64_t WallMs) {
  std::map<std::string, pool_blockage, std::less<>> Pools;
  for (const auto &[Task, Since] : UnservedSince) {
    const auto *Job = State.findJob(Task.Job);
    if (!Job || Now - Since < MinUnservedTime)
      continue;
    auto &Pool = Pools[Job->Pool];
    ++Pool.UnservedTasks;
    Pool.OldestWait = std::max(Pool.OldestWait, Now - Since);
  }
  // Ordered by the time of submission.
  for (const auto &[SubmittedMs, Id] : State.liveJobs()) {
    core::duration Wait = milliseconds(WallMs - SubmittedMs);
    if (Wait < MinJobWait)
      break;
    const auto &Job = *State.findJob(Id);
    if (Job.State != job_state::Queued || Job.Spec.RepeatCount != 0)
      continue;
    auto &Pool = Pools[Job.Pool];
    ++Pool.WaitingJobs;
    Pool.OldestWait = std::max(Pool.OldestWait, Wait);
  }
  if (Pools.empty())
    return {};
  array_by<pending_order_age, order_kind> Shared{};
  for (const auto &[Id, Pending] : PendingOrders) {
    auto *Orders = &Shared;
    if (Pending.Order.Endpoint != 0) {
      auto Endpoint = State.endpoints().find(Pending.Order.Endpoint);
      if (Endpoint == State.endpoints().end())
        continue;
      auto Pool = Pools.find(Endpoint->second.Facts.Pool);
      if (Pool == Pools.end())
        continue;
      Orders = &Pool->second.Orders;
    }
    auto &Ages = at(*Orders, kindOf(Pending.Order.Body));
    ++Ages.Orders;
    Ages.Oldest = std::max(Ages.Oldest, Now - Pending.SentAt);
  }
  for (auto &[Number, Tracked] : TrackedEndpoints) {
    auto Endpoint = State.endpoints().find(Number);
    if (Endpoint == State.endpoints().end())
      continue;
    if (auto Pool = Pools.find(Endpoint->second.Facts.Pool);
        Pool != Pools.end())
      addEndpoint(Pool->second, Tracked, Endpoint->second, Now);
  }
  std::vector<pool_blockage> Result;
  for (auto &[Name, Pool] : Pools) {
    Pool.Pool = Name;
    for (auto Kind :
         {order_kind::Advice, order_kind::HostList, order_kind::HostOrder})
      at(Pool.Orders, Kind) = at(Shared, Kind);
    if (auto Round = LastRound.Pools.find(Name); Round != LastRound.Pools.end())
      Pool.LastRound = Round->second;
    Result.push_back(std::move(Pool));
  }
  std::stable_sort(Result.begin(), Result.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.OldestWait > Right.OldestWait;
                   });
  if (Result.size() > MaxBlockedPools)
    Result.resize(MaxBlockedPools);
  return Result;
}

} // namespace lycheetrestle::scheduling
