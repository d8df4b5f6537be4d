#include "reconciler/round.h"

#include "placement/worker_capacity.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::reconciler {

using fleet::host_goal;
using fleet::host_record;
using fleet::host_state;

round::round(const fleet::fleet_state &State,
             const std::vector<platform::host_report> *Reports,
             std::span<const entry_status> Entries,
             const reconciler_settings &Settings, core::time_point Now,
             core::time_point StartedAt, std::int64_t NowMs)
    : State(State), Entries(Entries), Settings(Settings), Now(Now),
      NowMs(NowMs), PlatformIsReachable(Reports != nullptr),
      StartedAt(StartedAt) {
  for (const auto &Pool : State.pools())
    Ledger[Pool.Name] = {Pool.Available, Pool.Minimum};
  for (const auto &[Id, Job] : State.jobs())
    if (placement::isBound(Job))
      HostsWithJobs.insert(Job.Host);
  if (!Reports)
    return;
  ReportByHost.reserve(Reports->size());
  for (const auto &Report : *Reports)
    ReportByHost[Report.Host] = &Report;
}

const platform::host_report *round::report(std::string_view Host) const {
  auto Found = ReportByHost.find(Host);
  return Found == ReportByHost.end() ? nullptr : Found->second;
}

bool round::isSilent(const entry_status &Entry) const {
  auto Since =
      Entry.HasReported ? std::max(Entry.LastReportAt, StartedAt) : StartedAt;
  return Now - Since > Settings.EntrySilence;
}

std::uint32_t round::available(std::string_view Pool) const {
  auto Found = Ledger.find(Pool);
  return Found == Ledger.end() ? 0 : Found->second.Available;
}

std::uint32_t round::minimum(std::string_view Pool) const {
  auto Found = Ledger.find(Pool);
  return Found == Ledger.end() ? 0 : Found->second.Minimum;
}

bool round::mayLeaveService(const host_record &Host) const {
  return Host.State != host_state::InService ||
         available(Host.Pool) > minimum(Host.Pool);
}

void round::countSuspectedLoss(const host_record &Host) {
  if (Host.State != host_state::InService)
    return;
  auto Pool = Ledger.find(Host.Pool);
  if (Pool != Ledger.end() && Pool->second.Available > 0 &&
      SuspectedHosts.insert(Host.Spec.Name).second)
    --Pool->second.Available;
}

bool round::hasBoundJobs(std::string_view Host) const {
  return HostsWithJobs.count(Host) != 0;
}

bool round::hasStepped(std::string_view Host) const {
  return SteppedHosts.count(Host) != 0;
}

bool round::step(const host_record &Host, host_state To, std::string Reason) {
  if (To != host_state::Failed && !mayLeaveService(Host))
    return false;
  fleet::change_host_state Change;
  Change.To = To;
  Change.Reason = std::move(Reason);
  return add(Host, std::move(Change));
}

bool round::cordon(const host_record &Host, host_goal Goal,
                   std::string TargetPool, std::uint64_t Wave,
                   std::string Reason) {
  if (!mayLeaveService(Host))
    return false;
  fleet::change_host_state Change;
  Change.To = host_state::Cordoned;
  Change.Goal = Goal;
  Change.TargetPool = std::move(TargetPool);
  Change.Wave = Wave;
  Change.Reason = std::move(Reason);
  return add(Host, std::move(Change));
}

bool round::add(const host_record &Host, fleet::change_host_state Change) {
  if (!SteppedHosts.insert(Host.Spec.Name).second)
    return false;
  auto Pool = Ledger.find(Host.Pool);
  if (Host.State == host_state::InService && Pool != Ledger.end() &&
      Pool->second.Available > 0 && SuspectedHosts.count(Host.Spec.Name) == 0)
    --Pool->second.Available;
  if (Change.To == host_state::Failed || Change.To == host_state::SetAside)
    ++LossesByWave[Host.Wave];
  Change.Host = Host.Spec.Name;
  Change.FromEpoch = Host.Epoch;
  Output.Commands.push_back(std::move(Change));
  return true;
}

std::uint32_t round::lossesOf(std::uint64_t Wave) const {
  auto Found = LossesByWave.find(Wave);
  return Found == LossesByWave.end() ? 0 : Found->second;
}

platform::order &round::order(const host_record &Host,
                              platform::order_kind Kind) {
  platform::order Order;
  Order.Kind = Kind;
  Order.Host = Host.Spec.Name;
  Order.Epoch = Host.Epoch;
  return Output.Orders.emplace_back(std::move(Order));
}

bool isInTransit(const host_record &Host) {
  switch (Host.State) {
  case host_state::InService:
  case host_state::Failed:
  case host_state::SetAside:
    return false;
  case host_state::Drained:
    // A host drained for an operator stays out of service and does not count
    // as an operation in progress.
    return Host.Goal != host_goal::Drain;
  default:
    return true;
  }
}

bool isLent(const fleet::fleet_state &State, const host_record &Host) {
  if (Host.Pool == Host.Spec.HomePool)
    return false;
  bool HomeLends = false;
  bool PoolBorrows = false;
  for (const auto &Pool : State.currentDeclaration().Pools) {
    if (Pool.Name == Host.Spec.HomePool)
      HomeLends = Pool.Spare;
    if (Pool.Name == Host.Pool)
      PoolBorrows = Pool.AutoSize;
  }
  return HomeLends && PoolBorrows;
}

std::string_view destinationPool(const host_record &Host) {
  return Host.Goal == host_goal::Move ? Host.TargetPool : Host.Pool;
}

} // namespace lycheetrestle::reconciler
