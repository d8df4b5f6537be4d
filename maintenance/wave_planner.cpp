#include "maintenance/wave_planner.h"

#include "maintenance/wave_limits_check.h"

#include <map>
#include <tuple>

namespace lycheetrestle::maintenance {

namespace {

// Progress of the wave in a zone or rack of one pool.
struct domain_progress {
  std::uint32_t Waiting = 0;
  std::uint32_t Started = 0; // Busy or done.
};

// Hosts of one pool that wait for the wave, and how many it may lose.
struct pool_plan {
  std::uint32_t Slack = 0; // Hosts in service above the minimum.
  std::vector<const wave_host *> Waiting;
  std::size_t Next = 0; // Index of the first host not chosen yet.
  std::map<std::string_view, domain_progress> Zones;
  std::map<std::pair<std::string_view, std::string_view>, domain_progress>
      Racks;

  std::size_t remaining() const { return Waiting.size() - Next; }
};

// Sort key of a host. Zones and racks in which the wave has started come first,
// ordered by how few hosts are left, so that as few failure domains as possible
// run with reduced capacity at the same time.
auto domainOrder(const pool_plan &Plan, const wave_host &Host) {
  const auto &Zone = Plan.Zones.at(Host.Zone);
  const auto &Rack = Plan.Racks.at({Host.Zone, Host.Rack});
  return std::make_tuple(Zone.Started == 0, Zone.Waiting, Host.Zone,
                         Rack.Started == 0, Rack.Waiting, Host.Rack, Host.Name);
}

void sortByDomain(pool_plan &Plan) {
  // Each key is built once instead of in every comparison, because a wave over
  // a large fleet sorts many hosts.
  using key = decltype(domainOrder(Plan, *Plan.Waiting.front()));
  std::vector<std::pair<key, const wave_host *>> KeyedHosts;
  KeyedHosts.reserve(Plan.Waiting.size());
  for (const auto *Host : Plan.Waiting)
    KeyedHosts.emplace_back(domainOrder(Plan, *Host), Host);
  std::sort(KeyedHosts.begin(), KeyedHosts.end());
  std::transform(KeyedHosts.begin(), KeyedHosts.end(), Plan.Waiting.begin(),
                 [](const auto &Entry) { return Entry.second; });
}

} // namespace

wave_step planWaveStep(std::span<const wave_pool> Pools,
                       std::span<const wave_host> Hosts,
                       const wave_limits &Limits) {
  if (auto Outcome = checkWaveLimits(Hosts, Limits))
    return *Outcome;
  std::map<std::string_view, pool_plan> Plans;
  for (const auto &Pool : Pools)
    Plans[Pool.Name].Slack =
        Pool.Available > Pool.Minimum ? Pool.Available - Pool.Minimum : 0;
  std::uint32_t Busy = 0;
  for (const auto &Host : Hosts) {
    if (Host.Phase == host_phase::Busy)
      ++Busy;
    auto Found = Plans.find(Host.Pool);
    if (Found == Plans.end() || Host.Phase == host_phase::Lost)
      continue;
    auto &Plan = Found->second;
    auto &Zone = Plan.Zones[Host.Zone];
    auto &Rack = Plan.Racks[{Host.Zone, Host.Rack}];
    bool IsWaiting = Host.Phase == host_phase::Waiting;
    (IsWaiting ? Zone.Waiting : Zone.Started) += 1;
    (IsWaiting ? Rack.Waiting : Rack.Started) += 1;
    if (IsWaiting)
      Plan.Waiting.push_back(&Host);
  }
  std::vector<pool_plan *> OpenPools;
  for (auto &[Name, Plan] : Plans)
    if (Plan.Slack > 0 && !Plan.Waiting.empty()) {
      sortByDomain(Plan);
      OpenPools.push_back(&Plan);
    }
  wave_step Step;
  while (Busy < Limits.MaxParallelHosts && !OpenPools.empty()) {
    // The pool that needs the most rounds for its remaining hosts determines
    // when the wave ends, so a host of it starts next.
    auto Longest =
        std::max_element(OpenPools.begin(), OpenPools.end(),
                         [](const pool_plan *Left, const pool_plan *Right) {
                           return Left->remaining() * Right->Slack <
                                  Right->remaining() * Left->Slack;
                         });
    auto &Plan = **Longest;
    Step.Start.push_back(Plan.Waiting[Plan.Next++]->Name);
    ++Busy;
    if (--Plan.Slack == 0 || Plan.remaining() == 0)
      OpenPools.erase(Longest);
  }
  return Step;
}

} // namespace lycheetrestle::maintenance
