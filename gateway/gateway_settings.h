#ifndef LYCHEETRESTLE_GATEWAY_GATEWAY_SETTINGS_H
#define LYCHEETRESTLE_GATEWAY_GATEWAY_SETTINGS_H

#include "core/clock.h"
#include "core/common_settings.h"
#include "core/failure.h"
#include "http/limit_settings.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::gateway {

/// Documented limit of the body of a request, in bytes.
inline constexpr std::size_t MaxBodyBytes = 262'144;
/// Memory of the machines that run gateways, in MiB.
inline constexpr std::size_t DefaultMemoryMb = 160;

/// Settings of a process with the role `gateway`.
struct gateway_settings {
  std::string Name;
  std::string Address;                 ///< IP address.
  core::socket_address Listen;         ///< For callers.
  core::socket_address Readiness;      ///< For the load balancer.
  core::socket_address Metrics;        ///< Port 0 disables the metrics server.
  std::uint16_t LinkPort = 0;          ///< Port of this process for links.
  std::uint16_t SchedulerLinkPort = 0; ///< The same at every scheduler.
  std::vector<std::string> Seeds;      ///< IP addresses of schedulers.
  core::log_settings Log;
  /// Limits of the process, of which its HTTP connections use a part.
  http::process_limits Limits{DefaultMemoryMb, http::DefaultDescriptors};
  /// How long the gateway keeps serving after a stop request: the load balancer
  /// stops sending connections after two failed checks, a second apart.
  core::duration StopLinger = std::chrono::milliseconds(2500);
  /// Longest wait for open requests after StopLinger, during which new requests
  /// are refused. Requests without a reply are then answered as unknown, and
  /// the HTTP server ends within 0.5 s more: all before the platform kills the
  /// process, 6 s after the stop request.
  core::duration StopDrain = std::chrono::milliseconds(1500);
};

/// \param Text the settings file, JSON with comments.
/// \returns the settings, or BadInput with the invalid field.
core::result<gateway_settings> parseGatewaySettings(std::string_view Text);

} // namespace lycheetrestle::gateway

#endif
