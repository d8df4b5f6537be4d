#ifndef LYCHEETRESTLE_GATEWAY_GATEWAY_PROCESS_H
#define LYCHEETRESTLE_GATEWAY_GATEWAY_PROCESS_H

#include "core/failure.h"
#include "core/process_requests.h"
#include "gateway/gateway_settings.h"
#include "http/messages.h"

#include <functional>
#include <string>

namespace lycheetrestle::gateway {

/// The platform's names of the HTTP headers and paths that a gateway uses.
struct gateway_dialect {
  std::string DeadlineHeader; ///< Time that the caller waits, in milliseconds.
  std::string ReadinessPath;  ///< Path of the load balancer's check.
  std::string KeyHeader;      ///< Header with the caller's key.
  std::string KeyScheme;      ///< Precedes the key in it, with a space.
};

/// Runs a gateway until it is stopped.
/// \param Signals stop and reload requests; a second stop request ends the
/// process without waiting for open requests.
/// \param ReadSeeds reads the seeds again at a reload request.
/// \returns success after a clean stop, or why the gateway could not start.
core::result<void> runGateway(const gateway_settings &Settings,
                              const gateway_dialect &Dialect,
                              const core::process_requests &Signals,
                              const core::seed_reader &ReadSeeds);

} // namespace lycheetrestle::gateway

#endif
