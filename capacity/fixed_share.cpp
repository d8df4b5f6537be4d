#include "capacity/fixed_share.h"

#include <algorithm>

namespace lycheetrestle::capacity {

std::vector<host_transfer> planFixedShare(std::span<const pool_load> Pools,
                                          std::uint32_t HostsPerPool) {
  std::vector<host_transfer> Transfers;
  auto Spare = std::find_if(Pools.begin(), Pools.end(),
                            [](const pool_load &Pool) { return Pool.Spare; });
  if (Spare == Pools.end())
    return Transfers;
  auto Slack =
      Spare->Available > Spare->Minimum ? Spare->Available - Spare->Minimum : 0;
  for (const auto &Pool : Pools) {
    auto Borrowed = Pool.Borrowed + Pool.Arriving;
    if (Pool.Spare || !Pool.AutoSize || Borrowed >= HostsPerPool)
      continue;
    auto Count = std::min(Slack, HostsPerPool - Borrowed);
    if (Count == 0)
      continue;
    Slack -= Count;
    Transfers.push_back(
        {std::string(Spare->Name), std::string(Pool.Name), Count});
  }
  return Transfers;
}

} // namespace lycheetrestle::capacity
