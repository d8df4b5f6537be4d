#ifndef LYCHEETRESTLE_CONTROL_CONTROL_SETTINGS_H
#define LYCHEETRESTLE_CONTROL_CONTROL_SETTINGS_H

#include "core/clock.h"
#include "core/common_settings.h"
#include "core/failure.h"
#include "http/limit_settings.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::control {

/// Largest accepted settings file, in bytes.
constexpr std::size_t MaxSettingsBytes = 1u << 20;

/// Default of `snapshot.every_entries`.
constexpr std::int64_t DefaultSnapshotEntries = 5000;

/// Memory of the machines that run control replicas, in MiB.
inline constexpr std::size_t DefaultMemoryMb = 384;

using core::socket_address;

/// One control replica as listed in the settings of all processes.
struct replica_settings {
  std::string Name;
  std::string Zone;
  socket_address Link; ///< Listen address for links of other processes.
  socket_address Http; ///< Listen address for operators' requests.
};

/// One entry as listed in the settings.
struct entry_settings {
  std::string Name;
  socket_address Link;
};

/// Intervals and timeouts of a control replica.
struct timing_settings {
  core::duration Heartbeat = std::chrono::milliseconds(100);
  core::duration ElectionTimeout = std::chrono::milliseconds(1000);
  core::duration ReconcileInterval = std::chrono::milliseconds(250);
  /// The process exits after this time even when requests are still pending.
  core::duration ShutdownTimeout = std::chrono::milliseconds(30000);
};

/// Settings of one process with the role `control`.
struct control_settings {
  std::string Name;
  std::string Zone;
  std::string Cluster;
  std::string DataFolder;
  socket_address Listen;                  ///< For HTTP.
  socket_address Link;                    ///< For links of other processes.
  std::vector<replica_settings> Controls; ///< All replicas, including this one.
  std::vector<entry_settings> Entries;
  std::string PlatformUrl; ///< Empty when there is no platform.
  core::log_settings Log;
  timing_settings Timing;
  /// Number of applied entries after which the log is compacted.
  std::uint64_t SnapshotEveryEntries = DefaultSnapshotEntries;
  /// Limits of the process, of which its HTTP connections use a part.
  http::process_limits Limits{DefaultMemoryMb, http::DefaultDescriptors};
};

/// Parses and validates a settings file.
/// \param Text JSON with comments.
/// \returns the settings, or BadInput with field, value and rule.
core::result<control_settings> parseControlSettings(std::string_view Text);

} // namespace lycheetrestle::control

#endif
