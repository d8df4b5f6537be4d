#ifndef LYCHEETRESTLE_CAPACITY_FIXED_SHARE_H
#define LYCHEETRESTLE_CAPACITY_FIXED_SHARE_H

#include "capacity/pool_sizer.h"

namespace lycheetrestle::capacity {

/// Baseline: each pool that is sized keeps the same fixed number of hosts of
/// the spare pool, whatever its load.
/// \param Pools every pool.
/// \param HostsPerPool hosts that each sized pool borrows.
/// \returns transfers that keep every pool at its minimum or above.
std::vector<host_transfer> planFixedShare(std::span<const pool_load> Pools,
                                          std::uint32_t HostsPerPool);

} // namespace lycheetrestle::capacity

#endif
