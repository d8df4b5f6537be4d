#include "maintenance/wave_limits_check.h"

#include <map>
#include <set>

namespace lycheetrestle::maintenance {

wave_step planWaveStepOneByOne(std::span<const wave_pool> Pools,
                               std::span<const wave_host> Hosts,
                               const wave_limits &Limits) {
  if (auto Outcome = checkWaveLimits(Hosts, Limits))
    return *Outcome;
  std::map<std::string_view, const wave_pool *> PoolByName;
  for (const auto &Pool : Pools)
    PoolByName[Pool.Name] = &Pool;
  std::set<std::string_view> BusyPools;
  std::uint32_t Busy = 0;
  for (const auto &Host : Hosts)
    if (Host.Phase == host_phase::Busy) {
      BusyPools.insert(Host.Pool);
      ++Busy;
    }
  wave_step Step;
  for (const auto &Host : Hosts) {
    if (Busy >= Limits.MaxParallelHosts)
      break;
    auto Pool = PoolByName.find(Host.Pool);
    if (Host.Phase != host_phase::Waiting || Pool == PoolByName.end() ||
        Pool->second->Available <= Pool->second->Minimum ||
        !BusyPools.insert(Host.Pool).second)
      continue;
    Step.Start.push_back(Host.Name);
    ++Busy;
  }
  return Step;
}

} // namespace lycheetrestle::maintenance
