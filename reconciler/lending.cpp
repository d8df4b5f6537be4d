#include "reconciler/lending.h"

#include <algorithm>
#include <tuple>

namespace lycheetrestle::reconciler {

namespace {

using fleet::host_goal;
using fleet::host_record;
using fleet::host_state;

// Demand by pool: slots in use and queued requests, converted to hosts.
std::map<std::string_view, double> demandInHosts(const round &Round) {
  std::map<std::string_view, double> SlotsByService;
  for (const auto &Entry : Round.Entries) {
    if (!Entry.HasReported || Round.isSilent(Entry))
      continue;
    for (const auto &[Service, Slots] : Entry.BusySlotsByService)
      SlotsByService[Service] += Slots;
    for (const auto &[Service, Queued] : Entry.QueuedByService)
      SlotsByService[Service] += Queued;
  }
  std::map<std::string_view, double> Demand;
  auto SlotsPerHost = std::max<std::uint32_t>(1, Round.Settings.SlotsPerHost);
  for (const auto &Service : Round.State.currentDeclaration().Services)
    if (auto Found = SlotsByService.find(Service.Name);
        Found != SlotsByService.end())
      Demand[Service.Pool] += Found->second / SlotsPerHost;
  return Demand;
}

bool isMovable(const round &Round, const host_record &Host) {
  const auto *Report = Round.report(Host.Spec.Name);
  return Host.State == host_state::InService && Host.Goal == host_goal::None &&
         !Round.hasStepped(Host.Spec.Name) && Report &&
         Report->Condition == platform::host_condition::Up;
}

// Hosts to move, in order: those with the fewest tasks first, then those of the
// zone in which the pool has the most hosts, so that the pool stays spread over
// the zones.
std::vector<const host_record *>
transferCandidates(const round &Round,
                   const capacity::host_transfer &Transfer) {
  std::map<std::string_view, std::uint32_t> HostsByZone;
  std::vector<const host_record *> Result;
  for (const auto &[Name, Host] : Round.State.hosts()) {
    if (Host.Pool != Transfer.FromPool)
      continue;
    ++HostsByZone[Host.Spec.Zone];
    bool ReturnsHome = Host.Spec.HomePool == Transfer.ToPool;
    bool LeavesHome = Host.Spec.HomePool == Transfer.FromPool;
    if ((ReturnsHome || LeavesHome) && isMovable(Round, Host))
      Result.push_back(&Host);
  }
  // A pool that can return borrowed hosts moves none of its own.
  bool CanReturn =
      std::any_of(Result.begin(), Result.end(), [&](const host_record *Host) {
        return Host->Spec.HomePool == Transfer.ToPool;
      });
  if (CanReturn)
    Result.erase(std::remove_if(Result.begin(), Result.end(),
                                [&](const host_record *Host) {
                                  return Host->Spec.HomePool != Transfer.ToPool;
                                }),
                 Result.end());
  auto SortKey = [&](const host_record *Host) {
    const auto *Report = Round.report(Host->Spec.Name);
    return std::make_tuple(Report->Tasks.size(),
                           UINT32_MAX - HostsByZone[Host->Spec.Zone],
                           std::string_view(Host->Spec.Name));
  };
  std::sort(Result.begin(), Result.end(),
            [&](const host_record *Left, const host_record *Right) {
              return SortKey(Left) < SortKey(Right);
            });
  return Result;
}

} // namespace

void planLending(round &Round, capacity::pool_sizer &Sizer) {
  auto Demand = demandInHosts(Round);
  auto Summaries = Round.State.pools();
  std::map<std::string_view, capacity::pool_load> Loads;
  for (const auto &Pool : Summaries) {
    auto &Load = Loads[Pool.Name];
    Load.Name = Pool.Name;
    Load.DemandHosts = Demand[Pool.Name];
    Load.Available = Round.available(Pool.Name);
    Load.Minimum = Pool.Minimum;
  }
  for (const auto &Pool : Round.State.currentDeclaration().Pools)
    if (auto Found = Loads.find(Pool.Name); Found != Loads.end()) {
      Found->second.Spare = Pool.Spare;
      Found->second.AutoSize = Pool.AutoSize;
    }
  for (const auto &[Name, Host] : Round.State.hosts()) {
    if (auto Found = Loads.find(Host.Pool);
        Found != Loads.end() && Host.State == host_state::InService &&
        Host.Pool != Host.Spec.HomePool)
      ++Found->second.Borrowed;
    // A host in maintenance returns to its pool soon and counts as arriving, so
    // that no host is lent in its place.
    if (auto Found = Loads.find(destinationPool(Host));
        Found != Loads.end() && (isInTransit(Host) || Round.hasStepped(Name)) &&
        Host.Goal != host_goal::Drain && Host.State != host_state::Failed)
      ++Found->second.Arriving;
  }
  std::vector<capacity::pool_load> Ordered;
  for (const auto &[Name, Load] : Loads)
    Ordered.push_back(Load);
  for (const auto &Transfer : Sizer.plan(Ordered, Round.Now)) {
    std::uint32_t Moved = 0;
    for (const auto *Host : transferCandidates(Round, Transfer)) {
      if (Moved >= Transfer.Hosts ||
          !Round.cordon(*Host, host_goal::Move, Transfer.ToPool, 0,
                        "pool sizing"))
        break;
      ++Moved;
    }
  }
}

} // namespace lycheetrestle::reconciler
