#ifndef LYCHEETRESTLE_ENTRY_ENTRY_SETTINGS_H
#define LYCHEETRESTLE_ENTRY_ENTRY_SETTINGS_H

#include "core/common_settings.h"
#include "core/failure.h"
#include "http/limit_settings.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::entry {

/// Room for the default of MaxCallerConnections, see http::limitsFor().
inline constexpr http::process_limits DefaultProcessLimits{512, 4096};

using core::socket_address;

/// Name and link address of a process of the fleet manager.
struct named_address {
  std::string Name;
  socket_address Socket;
};

/// Settings of one entry process.
struct entry_settings {
  std::string Name;
  std::string Zone;
  socket_address Listen;              ///< HTTP for callers and endpoints.
  socket_address Link;                ///< Links from other processes.
  std::vector<named_address> Entries; ///< All entries, including this one.
  std::vector<named_address> Controls;

  core::log_settings Log;

  std::uint32_t MaxInFlight = 4000;
  std::uint32_t MaxQueued = 1000; ///< For each request class of a service.
  std::size_t MaxBodyBytes = 1u << 20;
  std::size_t MaxResponseBytes = 4u << 20;
  std::uint32_t MaxCallerConnections = 2000;
  /// Limits of the process, of which its HTTP connections use a part.
  http::process_limits Limits = DefaultProcessLimits;

  std::uint32_t FreshnessMs = 3000; ///< Maximum age of the configuration.
  std::uint32_t ProbeIntervalMs = 250;
  /// Time for which a stopping entry is not ready but still serves requests.
  /// Afterwards new ones are refused.
  std::uint32_t LingerMs = 2000;
  std::uint32_t ShutdownTimeoutMs = 30000; ///< Limit of the whole shutdown.
};

/// Parses and checks the settings file of an entry.
/// \param Text JSON with comments, at most 256 KB.
/// \returns the settings, or BadInput naming the field, its value and the rule.
core::result<entry_settings> parseEntrySettings(std::string_view Text);

} // namespace lycheetrestle::entry

#endif
