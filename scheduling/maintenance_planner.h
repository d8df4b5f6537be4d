#ifndef LYCHEETRESTLE_SCHEDULING_MAINTENANCE_PLANNER_H
#define LYCHEETRESTLE_SCHEDULING_MAINTENANCE_PLANNER_H

#include "scheduling/schedule_state.h"

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace lycheetrestle::scheduling {

/// A host of a wave as the leader sees it.
struct maintenance_host {
  std::string Name;
  std::string Pool;
  bool IsUp = false;            ///< It is neither moving nor down.
  bool IsInMaintenance = false; ///< Ordered, and not seen up since.
  bool IsSurplus = false;       ///< Its pool has more than it needs without it.
  bool IsCordoned = false;      ///< It takes no new work already.
  std::int64_t CordonedMs = 0;  ///< For how long.
  std::uint32_t ShortRuns = 0;  ///< Runs that end by themselves.
  std::uint32_t LongRuns = 0;   ///< Runs that last.
  bool MayInterrupt = true; ///< Every run that lasts there may be taken away.
};

struct maintenance_plan {
  std::vector<std::string> Cordon; ///< Give no new work to these.
  std::vector<std::string> Order;  ///< Order the upkeep of these now.
};

/// Chooses the hosts of one wave whose upkeep begins.
///
/// Answers a wave over two fifths of all hosts under load: idle hosts that
/// nobody needs go down at once, up to the wave's limit; busy ones no faster
/// than the deadline asks for, each emptied of short work before, and none
/// whose long-running tasks have no budget left. As the deadline nears, waiting
/// ends.
/// \param Wave the wave.
/// \param Hosts its hosts that have not begun, and those in upkeep.
/// \param ElapsedMs time since the wave began.
/// \param MaintenanceMs how long one host is down.
maintenance_plan planMaintenance(const wave_record &Wave,
                                 std::span<const maintenance_host> Hosts,
                                 std::int64_t ElapsedMs,
                                 std::int64_t MaintenanceMs);

} // namespace lycheetrestle::scheduling

#endif
