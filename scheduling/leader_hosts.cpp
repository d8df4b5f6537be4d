#include "core/event_log.h"
#include "scheduling/host_order_limits.h"
#include "scheduling/leader.h"

#include <algorithm>
#include <set>
#include <unordered_set>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// A list takes one call per 200 hosts, and the platform charges for calls.
constexpr core::duration BusyListInterval = milliseconds(500);
constexpr core::duration IdleListInterval = std::chrono::seconds(10);
// Wait after a throttled call or an unanswered list, and before an order for a
// host is repeated; twice as long after the platform refused the order.
constexpr core::duration HostOrderBackoff = milliseconds(300);
// Maintenance and moves take seconds, and a pass over all hosts takes about a
// millisecond.
constexpr core::duration PlanInterval = milliseconds(50);
constexpr core::duration WavePlanInterval = milliseconds(100);
// One line a second shows why the hosts of a wave wait; its names are enough to
// follow the last hosts of a wave.
constexpr core::duration WaveLogInterval = std::chrono::seconds(1);
constexpr std::size_t MaxLoggedHosts = 10;
// Minimum time between the starts of two lists, even when operations require a
// new list earlier.
constexpr core::duration MinListInterval = milliseconds(400);
// A host that the platform reports as unknown or not part of the wave for this
// long needs no maintenance any more.
constexpr core::duration UnknownHostTimeout = std::chrono::seconds(3);

// A list has 200 hosts a page. A list that does not end, or has a page that
// always fails, is replaced by a new one, so that hosts on other pages are
// followed; an outage of the platform is shorter than this number of attempts.
constexpr std::size_t MaxPages = 500;
constexpr std::size_t MaxFailedPages = 10;

// Limit of the hosts that are being moved or maintained. A wave may name 20,000
// hosts and allow as many at once; commands and calls for all of them together
// would keep the leader busy for longer than the election time-out.
constexpr std::size_t MaxOperations = 256;

std::string_view name(host_verdict Verdict) {
  switch (Verdict) {
  case host_verdict::Accepted:
    return "accepted";
  case host_verdict::Fenced:
    return "fenced";
  case host_verdict::Busy:
    return "busy";
  case host_verdict::OtherWave:
    return "other_wave";
  case host_verdict::NoSuchHost:
    return "no_such_host";
  case host_verdict::Throttled:
    return "throttled";
  }
  return "unknown";
}

/// \returns whether the name is in the list; finds the last ones first.
bool contains(const std::vector<std::string> &Names, const std::string &Name) {
  return std::find(Names.rbegin(), Names.rend(), Name) != Names.rend();
}

using name_set = std::unordered_set<std::string_view>;

std::int64_t toMs(core::duration Duration) {
  return std::chrono::duration_cast<milliseconds>(Duration).count();
}

} // namespace

const tracked_endpoint *leader::trackedOnHost(const std::string &Host) const {
  const auto *Row = Hosts.find(Host);
  if (!Row)
    return nullptr;
  const auto *Endpoint = State.findEndpoint(Row->EndpointId);
  if (!Endpoint)
    return nullptr;
  auto Found = TrackedEndpoints.find(Endpoint->Number);
  return Found == TrackedEndpoints.end() ? nullptr : &Found->second;
}

leader::budget_rounds leader::budgetRounds(const wave_record &Wave) const {
  budget_rounds Rounds;
  name_set Begun(Wave.Begun.begin(), Wave.Begun.end());
  for (const auto &Name : Wave.Hosts) {
    auto Operation = Hosts.Operations.find(Name);
    bool IsOrdered =
        Operation != Hosts.Operations.end() && Operation->second.Wave;
    const auto *Tracked =
        Begun.count(Name) > 0 || IsOrdered ? nullptr : trackedOnHost(Name);
    if (!Tracked)
      continue;
    for (const auto &[Key, Run] : Tracked->Runs)
      if (findBudgetedStep(Key)) {
        auto [Found, IsNew] =
            Rounds.try_emplace({Key.Job, Key.Occurrence, Key.Step, 0});
        auto &Step = Found->second;
        if (IsNew)
          Step.Number = static_cast<std::uint32_t>(Rounds.size());
        Step.Hosts += std::exchange(Step.LastEndpoint, Tracked->Endpoint) !=
                      Tracked->Endpoint;
      }
  }
  return Rounds;
}

std::vector<maintenance_host>
leader::maintenanceHosts(const wave_record &Wave, core::time_point Now) const {
  std::vector<maintenance_host> View;
  name_set Begun(Wave.Begun.begin(), Wave.Begun.end());
  step_availabilities Known;
  auto Rounds = budgetRounds(Wave);
  for (const auto &Name : Wave.Hosts) {
    const auto *Row = Hosts.find(Name);
    auto Operation = Hosts.Operations.find(Name);
    maintenance_host Host;
    Host.Name = Name;
    bool HasOperation = Operation != Hosts.Operations.end();
    // A host that moves to another pool takes no slot of the wave.
    Host.IsMoving = (HasOperation && !Operation->second.Wave) ||
                    (Row && Row->State == host_state::Moving);
    Host.IsInMaintenance = (HasOperation && Operation->second.Wave) ||
                           (Row && Row->State == host_state::Maintenance);
    Host.HasBegun =
        Begun.count(Name) > 0 || (HasOperation && Operation->second.HasBegun);
    if (Begun.count(Name) > 0 && !Host.IsInMaintenance)
      continue;
    // A list may omit an existing host for a while; only the answer to a
    // maintenance order shows that the host does not exist.
    Host.IsUp = !Host.IsMoving && (!Row || Row->State == host_state::Up);
    if (Row)
      Host.Pool = Row->Pool;
    const auto *Pool = Row ? State.findPool(Row->Pool) : nullptr;
    auto Balance = Hosts.SurplusCores.find(Host.Pool);
    Host.IsSurplus =
        !Row ||
        (Pool && (Pool->IsStandby ||
                  (Balance != Hosts.SurplusCores.end() &&
                   Balance->second >= Row->Capacity.MilliCores / 1000.0)));
    auto Cordon = Hosts.Cordoned.find(Name);
    Host.IsCordoned = Cordon != Hosts.Cordoned.end();
    if (Host.IsCordoned)
      Host.CordonedMs = toMs(Now - Cordon->second);
    if (const auto *Tracked = trackedOnHost(Name)) {
      for (const auto &[Key, Run] : Tracked->Runs) {
        const auto *Step = findStep(Key);
        if (Step && Step->IsLongRunning)
          ++Host.LongRuns;
        else
          ++Host.ShortRuns;
        auto Found = Rounds.find({Key.Job, Key.Occurrence, Key.Step, 0});
        if (Found == Rounds.end() || !findBudgetedStep(Key))
          continue;
        auto Budget = std::max(1u, Step->MaxUnavailable);
        auto Needed = (Found->second.Hosts + Budget - 1) / Budget;
        if (Needed <= Host.BudgetRounds)
          continue;
        Host.BudgetRounds = Needed;
        Host.BudgetGroup = Found->second.Number;
        Host.HostsPerRound = Budget;
      }
      Host.MayInterrupt = mayInterrupt(*Tracked, Known, Now);
    }
    View.push_back(std::move(Host));
  }
  return View;
}

host_operation &leader::addMaintenance(const std::string &Host,
                                       std::uint64_t Wave,
                                       core::time_point Now) {
  auto &Operation = Hosts.Operations[Host];
  Operation.Wave = Wave;
  Operation.DecidedAt = Now;
  return Operation;
}

void leader::planHosts(std::vector<command> &Commands, core::time_point Now,
                       std::int64_t WallMs) {
  for (auto &[Name, Operation] : Hosts.Operations) {
    if (!Operation.HasBegun || std::exchange(Operation.IsStartProposed, true))
      continue;
    if (Operation.Wave)
      Commands.emplace_back(record_maintenance{*Operation.Wave, Name});
  }
  if (Now < Hosts.NextPlan)
    return;
  Hosts.NextPlan = Now + PlanInterval;
  evacuate(Now);
  planHostMoves(Now, WallMs);
  // A new leader needs its own list to determine which hosts are down.
  if (Hosts.ListedAt < StartedAt || Now < Hosts.NextWavePlan)
    return;
  Hosts.NextWavePlan = Now + WavePlanInterval;
  std::map<std::uint64_t, wave_delay> Delays;
  for (const auto &[Number, Wave] : State.waves()) {
    if (Wave.isComplete())
      continue;
    name_set Begun(Wave.Begun.begin(), Wave.Begun.end());
    for (const auto &Name : Wave.Ordered)
      if (Begun.count(Name) == 0 &&
          Hosts.Operations.find(Name) == Hosts.Operations.end()) {
        // An earlier leader may have sent the order.
        addMaintenance(Name, Number, Now).MayTakeEffectUntil =
            StartedAt + HostOrderLifetime;
        Hosts.Cordoned.emplace(Name, Now);
      }
    auto View = maintenanceHosts(Wave, Now);
    auto Plan = planMaintenance(Wave, View, WallMs - Wave.StartedMs,
                                Settings.MaintenanceMs);
    auto &Delay = Delays[Number];
    Delay.LeftMs = Wave.StartedMs + Wave.DeadlineMs - WallMs;
    Delay.Waiting = std::move(Plan.Waiting);
    for (const auto &Name : Plan.Cordon)
      Hosts.Cordoned.emplace(Name, Now);
    for (const auto &Name : Plan.Order) {
      if (Hosts.Operations.size() >= MaxOperations)
        break;
      // Hosts chosen earlier in this loop may have used up a budget.
      const auto *Tracked = trackedOnHost(Name);
      if (Tracked && !mayInterrupt(*Tracked, Now))
        continue;
      Hosts.Cordoned.emplace(Name, Now);
      addMaintenance(Name, Number, Now);
      Commands.emplace_back(order_maintenance{Number, Name});
      core::logEvent(core::log_level::Info, "maintenance_chosen",
                     {{"wave", Number},
                      {"host", Name},
                      {"begun", Wave.Begun.size()},
                      {"hosts", Wave.Hosts.size()},
                      {"list_age_ms", toMs(Now - Hosts.ListedAt)}});
    }
  }
  Hosts.WaveDelays = std::move(Delays);
  logWaveDelay(Now);
}

void leader::logWaveDelay(core::time_point Now) {
  auto Nearest =
      std::min_element(Hosts.WaveDelays.begin(), Hosts.WaveDelays.end(),
                       [](const auto &Left, const auto &Right) {
                         return Left.second.LeftMs < Right.second.LeftMs;
                       });
  if (Nearest == Hosts.WaveDelays.end() || Nearest->second.Waiting.empty() ||
      Now < Hosts.NextWaveLog)
    return;
  Hosts.NextWaveLog = Now + WaveLogInterval;
  const auto &[Number, Delay] = *Nearest;
  const auto &Wave = State.waves().at(Number);
  core::logEvent(core::log_level::Info, "wave_waits",
                 {{"wave", Number},
                  {"hosts", Wave.Hosts.size()},
                  {"begun", Wave.Begun.size()},
                  {"at_once", Wave.MaxCount},
                  {"left_ms", Delay.LeftMs},
                  {"waits_for", Delay.counts()},
                  {"first", Delay.names(MaxLoggedHosts)}});
}

bool leader::fitsElsewhere(const task_key &Task, std::uint32_t Endpoint,
                           full_pools &Full, core::time_point Now) {
  const auto &Job = *State.findJob(Task.Job);
  const auto &Step = Job.Spec.Steps[Task.Step];
  auto Size = reservedSize(Step);
  // Most tasks of a wave have the same few sizes, and each would cost a pass
  // over all endpoints of its pool.
  auto &TooLarge = Full[Job.Pool];
  if (std::any_of(
          TooLarge.begin(), TooLarge.end(),
          [&](const resource_amounts &Known) { return Known.fitsIn(Size); }))
    return false;
  auto Targets = candidateTargets(Job.Pool, Now);
  bool HasRoom = std::any_of(
      Targets.begin(), Targets.end(), [&](const tracked_endpoint *Candidate) {
        const auto &Target = Candidate->FreeCapacity;
        return !Target.IsReserved && Size.fitsIn(Target.Free);
      });
  if (!HasRoom) {
    TooLarge.push_back(Size);
    return false;
  }
  auto StepOfTask = Step.MaxPerEndpoint > 0 ? stepKey(Task) : std::string();
  return std::any_of(Targets.begin(), Targets.end(),
                     [&](const tracked_endpoint *Candidate) {
                       const auto &Target = Candidate->FreeCapacity;
                       if (Target.Endpoint == Endpoint || Target.IsReserved ||
                           !Size.fitsIn(Target.Free))
                         return false;
                       if (Step.MaxPerEndpoint > 0) {
                         auto Runs = Target.RunsByStep.find(StepOfTask);
                         if (Runs != Target.RunsByStep.end() &&
                             Runs->second >= Step.MaxPerEndpoint)
                           return false;
                       }
                       return isSchedulable(*Candidate, Now);
                     });
}

void leader::evacuate(core::time_point Now) {
  if (Hosts.Cordoned.empty())
    return;
  step_availabilities Known;
  full_pools Full;
  for (const auto &[Name, Since] : Hosts.Cordoned) {
    const auto *Found = trackedOnHost(Name);
    auto Operation = Hosts.Operations.find(Name);
    bool IsReserved =
        Operation != Hosts.Operations.end() && !Operation->second.IsHeld;
    // Orders to a suspect endpoint wait until it answers.
    if (!Found || Found->IsSuspect || IsReserved)
      continue;
    auto &Tracked = TrackedEndpoints.find(Found->Endpoint)->second;
    for (auto &[Key, Run] : Tracked.Runs) {
      const auto *Job = State.findJob(Key.Job);
      const auto *Step = findStep(Key);
      if (!Step || !Step->IsLongRunning || Run.Phase != run_phase::Running ||
          isOver(Job->State) || !mayStop(Key, Known, Now))
        continue;
      if (!fitsElsewhere(Key, Tracked.Endpoint, Full, Now)) {
        Hosts.UnplaceableAt[Job->Pool] = Now;
        continue;
      }
      beginStop(Run, stop_reason::Evacuated, Now);
      markDue(Tracked);
      Known.erase({Key.Job, Key.Occurrence, Key.Step, 0});
      core::logEvent(core::log_level::Info, "run_evacuated",
                     {{"job", Key.Job},
                      {"step", Key.Step},
                      {"index", Key.Index},
                      {"attempt", Run.Attempt},
                      {"host", Name}});
    }
  }
}

void leader::addHostOrders(std::vector<order> &Orders, core::time_point Now) {
  if (!Settings.HasPlatform || Now < Hosts.NextCall)
    return;
  bool IsBusy = !Hosts.Operations.empty();
  for (const auto &[Number, Wave] : State.waves())
    IsBusy |= !Wave.isComplete();
  if (!Hosts.IsListing && Now >= Hosts.NextList &&
      Now - Hosts.ListStartedAt >= MinListInterval) {
    beginHostList(Now);
    Hosts.NextList = Now + (IsBusy ? BusyListInterval : IdleListInterval);
  }
  if (IsBusy)
    Hosts.NextList = std::min(Hosts.NextList, Now + BusyListInterval);
  if (Hosts.IsListing && !Hosts.IsPagePending) {
    Hosts.IsPagePending = true;
    addOrder(Orders, nullptr, list_hosts_order{Hosts.PageToken},
             PlatformTimeout, Now);
  }
  for (auto &[Name, Operation] : Hosts.Operations) {
    if (Operation.IsOrderPending || Operation.HasBegun ||
        Now < Operation.NextOrder)
      continue;
    if (Operation.Wave) {
      const auto &Wave = State.waves().find(*Operation.Wave)->second;
      if (!contains(Wave.Ordered, Name))
        continue; // Not committed yet.
    }
    const auto *Tracked = trackedOnHost(Name);
    bool MayInterrupt =
        (!Tracked || mayInterrupt(*Tracked, Now)) && !mayEndUnlistedRuns(Name);
    Operation.NextOrder = Now + HostOrderBackoff;
    Operation.IsHeld = !MayInterrupt && Now >= Operation.MayTakeEffectUntil;
    // Tasks may have become unavailable since the decision.
    if (!MayInterrupt) {
      Metrics.add("host_orders_held_total");
      continue;
    }
    Operation.IsOrderPending = true;
    Operation.MayTakeEffectUntil = Now + HostOrderLifetime;
    Operation.FailedAt.reset();
    const auto *Row = Hosts.find(Name);
    Operation.EndpointId = Row ? Row->EndpointId : std::string();
    core::logEvent(core::log_level::Info,
                   Operation.Wave ? "maintenance_sent" : "move_sent",
                   {{"host", Name},
                    {"endpoint", Tracked ? Tracked->Endpoint : 0},
                    {"runs", Tracked ? Tracked->Runs.size() : 0},
                    {"decided_ms_ago", toMs(Now - Operation.DecidedAt)}});
    if (Tracked)
      logInterruptions(*Tracked, Name, Now);
    if (Operation.Wave)
      addOrder(Orders, nullptr, maintenance_order{Name, *Operation.Wave, Fence},
               PlatformTimeout, Now);
    else
      addOrder(Orders, nullptr,
               move_host_order{Name, Operation.TargetPool, Fence},
               PlatformTimeout, Now);
  }
}

void leader::finishHostOrder(const order &Order, const order_result &Result,
                             core::time_point Now) {
  const auto *NoAnswer = std::get_if<no_answer>(&Result.Answer);
  if (NoAnswer) {
    Metrics.add("unanswered_platform_calls_total");
    core::logEvent(core::log_level::Warning, "platform_not_answering",
                   {{"reason", NoAnswer->Reason}});
  }
  if (std::holds_alternative<list_hosts_order>(Order.Body)) {
    Hosts.IsPagePending = false;
    const auto *Page = std::get_if<hosts_answer>(&Result.Answer);
    if (!Page) {
      Hosts.NextCall = Now + HostOrderBackoff;
      // The first page is the start of a new list, too.
      if (++Hosts.FailedPages >= MaxFailedPages && !Hosts.PageToken.empty()) {
        core::logEvent(core::log_level::Warning, "host_list_incomplete",
                       {{"reason", "a page failed repeatedly"},
                        {"pages", Hosts.PageTokens.size()},
                        {"hosts", Hosts.PartialList.size()}});
        finishHostList(false);
        Hosts.NextList = std::min(Hosts.NextList, Now + BusyListInterval);
      }
      return;
    }
    finishHostPage(*Page);
    return;
  }
  const auto *Maintenance = std::get_if<maintenance_order>(&Order.Body);
  const auto *Move = std::get_if<move_host_order>(&Order.Body);
  const auto &Name = Maintenance ? Maintenance->Host : Move->Host;
  auto Found = Hosts.Operations.find(Name);
  if (Found == Hosts.Operations.end())
    return;
  auto &Operation = Found->second;
  Operation.IsOrderPending = false;
  const auto *Verdict = std::get_if<host_verdict>(&Result.Answer);
  if (!Verdict) {
    if (!Move)
      return;
    if (NoAnswer && !NoAnswer->MayHaveRun) {
      Operation.MayTakeEffectUntil = {};
      return;
    }
    Hosts.AreMovesFailing = true;
    if (NoAnswer && NoAnswer->HasResponse) {
      Operation.FailedAt = Now;
      Hosts.NextList = Now;
    }
    // Repeated orders would keep the host from work for as long as the platform
    // does not answer; the move is dropped once it can no longer take effect.
    // The call may have been sent later than its order was made.
    Operation.NextOrder = core::time_point::max();
    Operation.MayTakeEffectUntil =
        std::max(Operation.MayTakeEffectUntil,
                 Now + HostOrderLifetime - PlatformTimeout);
    return;
  }
  core::logEvent(core::log_level::Info,
                 Maintenance ? "maintenance_answered" : "move_answered",
                 {{"host", Name}, {"answer", name(*Verdict)}});
  switch (*Verdict) {
  case host_verdict::Accepted:
    Operation.HasBegun = true;
    Operation.BegunAt = Now;
    Hosts.NextList = Now;
    if (Move) {
      Hosts.MoveBackoffs.erase(Name);
      Hosts.AreMovesFailing = false;
    }
    return;
  case host_verdict::NoSuchHost:
  case host_verdict::OtherWave:
    if (Move) {
      delayNextMove(Name, Now);
      Hosts.Operations.erase(Found);
      return;
    }
    // Counts as begun once the platform has refused it for UnknownHostTimeout,
    // so that the wave can complete.
    Operation.RefusedAt = Operation.RefusedAt.value_or(Now);
    Operation.NextOrder = Now + 2 * HostOrderBackoff;
    Operation.HasBegun = Now - *Operation.RefusedAt > UnknownHostTimeout;
    Operation.BegunAt = Now;
    return;
  case host_verdict::Throttled:
    Hosts.NextCall = Now + HostOrderBackoff;
    Operation.MayTakeEffectUntil = {};
    return;
  case host_verdict::Fenced:
  case host_verdict::Busy:
    if (Move) {
      delayNextMove(Name, Now);
      Hosts.Operations.erase(Found);
      IsPlacementDue = true;
      return;
    }
    Operation.NextOrder = Now + 2 * HostOrderBackoff;
    return;
  }
}

void leader::endReplacedIncarnations() {
  // The answer Accepted does not identify the incarnation that ended: the order
  // may have been accepted earlier and the host may already run a new
  // incarnation. The list identifies the current one.
  bool IsWhole = Hosts.PageToken.empty();
  std::unordered_set<std::string_view> Listed;
  for (const auto &[Name, Row] : Hosts.PartialList)
    Listed.insert(Row.EndpointId);
  for (const auto &[Number, Endpoint] : State.endpoints()) {
    auto Host = hostOf(Endpoint);
    if (Host.empty() || Endpoint.HasEnded)
      continue;
    auto Row = Hosts.PartialList.find(Host);
    // A row that is older than the incarnation shows an earlier one.
    auto Tracked = TrackedEndpoints.find(Number);
    if (Row == Hosts.PartialList.end() || Tracked == TrackedEndpoints.end() ||
        Tracked->second.TrackedSince > Hosts.ListStartedAt ||
        (Row->second.EndpointId == Endpoint.Facts.Id &&
         Row->second.State != host_state::Moving &&
         Row->second.State != host_state::Maintenance))
      continue;
    // An incarnation inherits the host of an earlier one with its id, and may
    // run on another one. Until a list has shown it on that host, only a list
    // of all hosts proves that it runs nowhere.
    bool IsOnHost = Hosts.ListedAt >= Tracked->second.TrackedSince &&
                    Hosts.HostOfEndpoint.count(Endpoint.Facts.Id) > 0;
    bool IsElsewhere = Row->second.EndpointId != Endpoint.Facts.Id &&
                       Listed.count(Endpoint.Facts.Id) > 0;
    if (IsElsewhere ||
        (!IsOnHost && (!IsWhole || !Hosts.UnreadableHosts.empty())))
      continue;
    Tracked->second.EndListedAt = Hosts.ListStartedAt;
    if (EndedIncarnations.insert(Number).second)
      core::logEvent(core::log_level::Info, "endpoint_left_host",
                     {{"endpoint", Endpoint.Facts.Id},
                      {"host", Host},
                      {"runs", Endpoint.Runs.size()}});
  }
}

void leader::requestHostList(core::duration Interval) {
  Hosts.NextList = std::min(Hosts.NextList, Hosts.ListStartedAt + Interval);
}

void leader::beginHostList(core::time_point Now) {
  Hosts.IsListing = true;
  Hosts.ListStartedAt = Now;
  Hosts.PartialList.clear();
  Hosts.UnreadableHosts.clear();
  Hosts.PageTokens.clear();
  Hosts.PageToken.clear();
  Hosts.FailedPages = 0;
}

void leader::finishHostPage(const hosts_answer &Page) {
  Hosts.FailedPages = 0;
  for (const auto &Row : Page.Hosts)
    Hosts.PartialList[Row.Name] = Row;
  if (!Page.UnreadableHosts.empty())
    Metrics.add("unreadable_hosts_total", Page.UnreadableHosts.size());
  Hosts.UnreadableHosts.insert(Page.UnreadableHosts.begin(),
                               Page.UnreadableHosts.end());
  Hosts.PageToken = Page.NextToken;
  if (Hosts.PageToken.empty()) {
    // A row without a name may be that of any host which is not listed.
    finishHostList(Hosts.UnreadableHosts.count(std::string()) == 0);
    return;
  }
  bool IsRepeated = !Hosts.PageTokens.insert(Hosts.PageToken).second;
  if (!IsRepeated && Hosts.PageTokens.size() < MaxPages)
    return;
  core::logEvent(
      core::log_level::Warning, "host_list_incomplete",
      {{"reason", IsRepeated ? "a page token is repeated" : "too many pages"},
       {"pages", Hosts.PageTokens.size()},
       {"hosts", Hosts.PartialList.size()}});
  finishHostList(false);
}

void leader::finishHostList(bool IsWhole) {
  Hosts.IsListing = false;
  if (!IsWhole)
    Metrics.add("incomplete_host_lists_total");
  endReplacedIncarnations();
  auto Earlier = std::exchange(Hosts.Hosts, std::move(Hosts.PartialList));
  Hosts.PartialList.clear();
  Hosts.KeptHosts.clear();
  for (auto &[Name, Row] : Earlier)
    if ((!IsWhole || Hosts.UnreadableHosts.count(Name) > 0) &&
        Hosts.Hosts.emplace(Name, std::move(Row)).second)
      Hosts.KeptHosts.insert(Name);
  Hosts.ListedAt = Hosts.ListStartedAt;
  Hosts.IsNewList = true;
  Hosts.HostOfEndpoint.clear();
  for (const auto &[Name, Row] : Hosts.Hosts)
    if (!Row.EndpointId.empty())
      Hosts.HostOfEndpoint[Row.EndpointId] = Name;
  core::eraseIf(Hosts.Operations, [&](const auto &Item) {
    const auto &[Name, Operation] = Item;
    const auto *Row = Hosts.find(Name);
    // A kept row may be older than the operation.
    bool IsBack = Operation.HasBegun && Hosts.ListedAt > Operation.BegunAt &&
                  (IsWhole || Row) && Hosts.KeptHosts.count(Name) == 0 &&
                  (!Row || Row->State == host_state::Up) &&
                  Operation.IsStartProposed;
    if (IsBack)
      Hosts.Cordoned.erase(Name);
    return IsBack;
  });
  IsPlacementDue = true;
}

} // namespace lycheetrestle::scheduling
