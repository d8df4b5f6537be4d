#ifndef LYCHEETRESTLE_SCHEDULING_HOST_INVENTORY_H
#define LYCHEETRESTLE_SCHEDULING_HOST_INVENTORY_H

#include "core/clock.h"
#include "core/indexed_map.h"
#include "scheduling/demand_smoother.h"
#include "scheduling/maintenance_planner.h"
#include "scheduling/orders.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace lycheetrestle::scheduling {

/// Maintenance or a move of one host, until the platform lists the host as up
/// again or no longer lists it.
struct host_operation {
  std::optional<std::uint64_t> Wave; ///< Of a maintenance; empty for a move.
  std::string TargetPool;            ///< Of a move.
  core::time_point DecidedAt{};
  bool IsOrderPending = false;
  /// The platform accepted the order, or refused the host for so long that the
  /// maintenance is skipped.
  bool HasBegun = false;
  bool IsStartProposed = false; ///< The start was proposed to the log.
  core::time_point BegunAt{};
  /// When the platform first answered that the host is unknown or not part of
  /// the wave.
  std::optional<core::time_point> RefusedAt;
  core::time_point NextOrder{};
  /// An order that was sent may still interrupt the host's runs.
  core::time_point MayTakeEffectUntil{};
  std::string EndpointId; ///< On the host when the newest order was sent.
  /// When the platform answered the newest order with a failure. A list that
  /// was requested later shows whether the order took effect.
  std::optional<core::time_point> FailedAt;
  /// The order waits for the unavailability budgets of the host's runs, which
  /// therefore count as available.
  bool IsHeld = false;
};

/// Delay of the next move of a host after one that did not begin.
struct move_backoff {
  core::time_point Until{};
  core::duration Delay{};
};

/// The leader's view of the hosts: the platform's newest list, cordoned hosts,
/// and operations in progress.
struct host_inventory {
  core::indexed_map<std::string, host_row> Hosts;              ///< By name.
  std::unordered_map<std::string, std::string> HostOfEndpoint; ///< By id.
  core::time_point ListedAt{}; ///< When the newest list was requested.
  bool IsNewList = false;      ///< Its endpoints are still to be recorded.
  /// Hosts whose rows are of an earlier list than the newest one.
  std::set<std::string> KeptHosts;
  core::indexed_map<std::string, core::time_point>
      Cordoned; ///< Since when, by host.
  core::indexed_map<std::string, host_operation> Operations;
  /// Since when hosts have been up, not reserved and without a run, by host.
  core::indexed_map<std::string, core::time_point> IdleSince;
  std::map<std::string, double> SurplusCores; ///< Supply minus demand, by pool.
  /// When a long-running task last could not be placed in a pool.
  std::map<std::string, core::time_point> UnplaceableAt;
  core::time_point NextPlan{};
  core::time_point NextWavePlan{};
  std::map<std::uint64_t, wave_delay> WaveDelays; ///< By wave; newest plans.
  core::time_point NextWaveLog{};
  std::map<std::string, demand_smoother> Smoothers; ///< By pool.
  core::time_point NextMovePlan{};
  /// Hosts whose last move did not begin.
  core::indexed_map<std::string, move_backoff> MoveBackoffs;
  /// The newest move that was sent did not begin; ends when one is accepted.
  bool AreMovesFailing = false;
  core::time_point NextPoolLog{};

  core::indexed_map<std::string, host_row>
      PartialList;                       ///< Pages received so far.
  std::set<std::string> UnreadableHosts; ///< Named on these pages.
  std::set<std::string> PageTokens;      ///< Of these pages.
  std::size_t FailedPages = 0;           ///< In a row, with the same token.
  core::time_point ListStartedAt{};
  std::string PageToken;
  bool IsListing = false;
  bool IsPagePending = false;
  core::time_point NextList{};
  core::time_point NextCall{}; ///< Earliest time of the next platform call.

  const host_row *find(const std::string &Host) const {
    auto Found = Hosts.find(Host);
    return Found == Hosts.end() ? nullptr : &Found->second;
  }
  /// \returns the row of the host in a list that was requested after the given
  /// time, or null without one.
  const host_row *findNewer(const std::string &Host,
                            core::time_point Time) const {
    return ListedAt > Time && KeptHosts.count(Host) == 0 ? find(Host) : nullptr;
  }
};

} // namespace lycheetrestle::scheduling

#endif
