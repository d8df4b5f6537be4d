#ifndef LYCHEETRESTLE_SCHEDULING_POOL_REBALANCER_H
#define LYCHEETRESTLE_SCHEDULING_POOL_REBALANCER_H

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace lycheetrestle::scheduling {

/// A pool and its demand.
struct pool_view {
  std::string Name;
  bool IsStandby = false;
  /// Expected demand at the time when hosts that are moved now arrive.
  double RequiredCores = 0;
};

/// State of a host for the choice of moves.
struct rebalance_host {
  std::string Name;
  std::string Pool; ///< Current pool, or target of its move.
  double Cores = 0;
  bool MayMove = false; ///< Up, not reserved and without runs.
  std::int64_t IdleMs = 0;
  bool AcceptsWork = false; ///< Now, or after its move.
};

/// A move of a host to another pool.
struct host_move {
  std::string Host;
  std::string Pool; ///< Target.
};

/// Chooses hosts to move to another pool.
///
/// Designed for queues that peak one after the other at twice the capacity of
/// their pool while the other pools are nearly idle. Idle hosts move to pools
/// with a deficit, first from pools with a surplus, then from standby pools.
/// Surplus hosts move to standby once they have been idle for the time after
/// which moving there and back pays off.
/// \param Pools all pools.
/// \param Hosts all hosts that the platform lists.
/// \param MaxMoves limit of moves to return.
/// \returns the moves to order now.
std::vector<host_move> planMoves(std::span<const pool_view> Pools,
                                 std::span<const rebalance_host> Hosts,
                                 std::size_t MaxMoves);

} // namespace lycheetrestle::scheduling

#endif
