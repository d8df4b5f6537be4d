#ifndef LYCHEETRESTLE_SCHEDULING_MAINTENANCE_PLANNER_H
#define LYCHEETRESTLE_SCHEDULING_MAINTENANCE_PLANNER_H

#include "scheduling/schedule_state.h"

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace lycheetrestle::scheduling {

/// State of a host of a wave.
struct maintenance_host {
  std::string Name;
  std::string Pool;
  bool IsUp = false;            ///< Neither moving nor down.
  bool IsInMaintenance = false; ///< Ordered or moving, not listed as up since.
  bool IsSurplus = false;       ///< The pool meets its demand without the host.
  bool IsCordoned = false;      ///< Accepts no new work.
  std::int64_t CordonedMs = 0;  ///< Time since it was cordoned.
  std::uint32_t ShortRuns = 0;  ///< Runs that are not long-running.
  std::uint32_t LongRuns = 0;   ///< Long-running runs.
  bool MayInterrupt = true; ///< Budgets allow to stop all long-running runs.
};

/// Hosts to act on now.
struct maintenance_plan {
  std::vector<std::string> Cordon; ///< Hosts to cordon.
  std::vector<std::string> Order;  ///< Hosts whose maintenance is ordered now.
};

/// Chooses the hosts of one wave whose maintenance begins.
///
/// Designed for a wave over two fifths of all hosts under load. Idle surplus
/// hosts go down at once, up to the wave's limit. Busy hosts go down no faster
/// than the deadline requires, after their short runs have drained, and never
/// while the unavailability budget of a long-running task on them is used up.
/// Near the deadline, hosts are no longer drained first.
/// \param Wave the wave.
/// \param Hosts its hosts that have not begun, and those in maintenance.
/// \param ElapsedMs time since the wave began.
/// \param MaintenanceMs downtime of one host.
/// \returns the hosts to cordon and the hosts whose maintenance to order now.
maintenance_plan planMaintenance(const wave_record &Wave,
                                 std::span<const maintenance_host> Hosts,
                                 std::int64_t ElapsedMs,
                                 std::int64_t MaintenanceMs);

} // namespace lycheetrestle::scheduling

#endif
