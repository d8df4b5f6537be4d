#ifndef LYCHEETRESTLE_CAPACITY_FIXED_SHARE_H
#define LYCHEETRESTLE_CAPACITY_FIXED_SHARE_H

#include "capacity/pool_sizer.h"

namespace lycheetrestle::capacity {

/// Baseline for comparisons: each pool with automatic sizing borrows the same
/// fixed number of hosts from the spare pool, independent of its load.
/// \param Pools every pool.
/// \param HostsPerPool hosts that each such pool borrows.
/// \returns transfers that take no pool below its minimum.
std::vector<host_transfer> planFixedShare(std::span<const pool_load> Pools,
                                          std::uint32_t HostsPerPool);

} // namespace lycheetrestle::capacity

#endif
