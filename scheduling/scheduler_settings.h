#ifndef LYCHEETRESTLE_SCHEDULING_SCHEDULER_SETTINGS_H
#define LYCHEETRESTLE_SCHEDULING_SCHEDULER_SETTINGS_H

#include "core/clock.h"
#include "core/common_settings.h"
#include "core/failure.h"
#include "scheduling/leader.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::scheduling {

/// Settings of a process with the role `scheduler`.
struct scheduler_settings {
  std::string Name;    ///< For logs, and as the holder of orders to hosts.
  std::string Address; ///< IP address; it names the replica.
  core::socket_address Listen;
  core::socket_address Metrics;   ///< Port 0: no metrics address.
  std::uint16_t LinkPort = 0;     ///< Equal at every scheduler.
  std::vector<std::string> Seeds; ///< IP addresses of schedulers.
  bool IsFounding = false;        ///< First start of the whole system.
  std::string DataFolder;
  std::string PlatformAddress; ///< `ip:port`, or empty.
  std::string AdviserAddress;  ///< `ip:port`, or empty.
  core::log_settings Log;
  leader_settings Leader;
  /// Endpoints that the leader calls without the help of other schedulers. A
  /// third of a core sends about 600 orders a second, as many as 60 endpoints
  /// of 64 cores take in a peak.
  std::size_t OwnEndpoints = 60;
  core::duration StopGrace = std::chrono::milliseconds(4000);

  core::duration Heartbeat = std::chrono::milliseconds(50);
  core::duration ElectionTimeout = std::chrono::milliseconds(600);
  std::uint64_t SnapshotEveryEntries = 4000;
};

/// \param Text the settings file, JSON with comments.
/// \returns the settings, or BadInput with the field at fault.
core::result<scheduler_settings> parseSchedulerSettings(std::string_view Text);

} // namespace lycheetrestle::scheduling

#endif
