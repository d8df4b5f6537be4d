#ifndef LYCHEETRESTLE_SCHEDULING_HOST_INVENTORY_H
#define LYCHEETRESTLE_SCHEDULING_HOST_INVENTORY_H

#include "core/clock.h"
#include "scheduling/demand_smoother.h"
#include "scheduling/maintenance_planner.h"
#include "scheduling/orders.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace lycheetrestle::scheduling {

/// An order for a host that is not known to be finished.
struct host_operation {
  std::optional<std::uint64_t> Wave; ///< Maintenance, or a move when empty.
  std::string TargetPool;
  bool IsOrderOpen = false;
  bool HasBegun = false;   ///< The platform confirmed it.
  bool IsRecorded = false; ///< That it has begun is on the way into the log.
  core::time_point BegunAt{};
  /// When the platform first said that there is no such host in the wave.
  std::optional<core::time_point> RefusedAt;
  core::time_point NextOrder{};
};

/// The leader's view of the hosts: the platform's newest list, hosts that take
/// no new work, and orders under way.
struct host_inventory {
  std::map<std::string, host_row> Hosts;
  std::unordered_map<std::string, std::string> HostOfEndpoint;
  core::time_point ListedAt{}; ///< When the newest whole list was asked for.
  std::map<std::string, core::time_point> Cordoned;
  std::map<std::string, host_operation> Operations;
  std::map<std::string, core::time_point> IdleSince; ///< Up without any run.
  std::map<std::string, double> SurplusCores; ///< Supply less need, by pool.
  /// When a long-running task last found no place in a pool.
  std::map<std::string, core::time_point> UnplaceableAt;
  core::time_point NextPlan{};
  core::time_point NextWavePlan{};
  std::map<std::string, demand_smoother> Smoothers; ///< By pool.
  core::time_point NextMovePlan{};
  core::time_point NextPoolLog{};

  std::map<std::string, host_row> PartialList; ///< Pages read so far.
  core::time_point ListStartedAt{};
  std::string PageToken;
  bool IsListing = false;
  bool IsPageOpen = false;
  core::time_point NextList{};
  core::time_point NextCall{};

  const host_row *find(const std::string &Host) const {
    auto Found = Hosts.find(Host);
    return Found == Hosts.end() ? nullptr : &Found->second;
  }
};

} // namespace lycheetrestle::scheduling

#endif
