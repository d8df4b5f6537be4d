#ifndef LYCHEETRESTLE_CONTROL_CONTROL_SETTINGS_H
#define LYCHEETRESTLE_CONTROL_CONTROL_SETTINGS_H

#include "core/clock.h"
#include "core/common_settings.h"
#include "core/failure.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::control {

/// Largest accepted settings file, in bytes.
constexpr std::size_t MaxSettingsBytes = 1u << 20;

using core::socket_address;

/// One control replica as all processes know it.
struct replica_settings {
  std::string Name;
  std::string Zone;
  socket_address Link; ///< Where it accepts links.
  socket_address Http; ///< Where it accepts operators' requests.
};

struct entry_settings {
  std::string Name;
  socket_address Link;
};

struct timing_settings {
  core::duration Heartbeat = std::chrono::milliseconds(100);
  core::duration ElectionTimeout = std::chrono::milliseconds(1000);
  core::duration ReconcileInterval = std::chrono::milliseconds(250);
  core::duration ShutdownTimeout = std::chrono::milliseconds(30000);
};

/// Settings of one process with the role `control`.
struct control_settings {
  std::string Name;
  std::string Zone;
  std::string Cluster;
  std::string DataFolder;
  socket_address Listen; ///< HTTP.
  socket_address Link;
  std::vector<replica_settings> Controls; ///< All replicas, this one included.
  std::vector<entry_settings> Entries;
  std::string PlatformUrl; ///< Empty when there is no platform.
  core::log_settings Log;
  timing_settings Timing;
  std::uint64_t SnapshotEveryEntries = 5000;
};

/// Parses and checks a settings file.
/// \param Text JSON with comments.
/// \returns the settings, or BadInput with field, value and rule.
core::result<control_settings> parseControlSettings(std::string_view Text);

} // namespace lycheetrestle::control

#endif
