#ifndef LYCHEETRESTLE_SCHEDULING_POOL_REBALANCER_H
#define LYCHEETRESTLE_SCHEDULING_POOL_REBALANCER_H

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace lycheetrestle::scheduling {

struct pool_view {
  std::string Name;
  bool IsStandby = false;
  /// Cores that the pool should have when hosts ordered now arrive.
  double RequiredCores = 0;
};

struct rebalance_host {
  std::string Name;
  std::string Pool; ///< Pool that it is in or on its way to.
  double Cores = 0;
  bool MayMove = false; ///< Up, not reserved, and nothing runs on it.
  std::int64_t IdleMs = 0;
  bool AcceptsWork = false; ///< It takes work now or when it arrives.
};

struct host_move {
  std::string Host;
  std::string Pool;
};

/// Chooses hosts that change their pool.
///
/// Answers queues that peak one after the other at twice what their pool holds
/// while the other pools are nearly idle: idle hosts follow the demand, from
/// pools with more than they need first, then from standby pools. What stays
/// idle longer than a return trip is worth goes to standby.
/// \param Pools all pools.
/// \param Hosts all hosts that the platform lists.
/// \param MaxMoves how many moves may be ordered now.
std::vector<host_move> planMoves(std::span<const pool_view> Pools,
                                 std::span<const rebalance_host> Hosts,
                                 std::size_t MaxMoves);

} // namespace lycheetrestle::scheduling

#endif
