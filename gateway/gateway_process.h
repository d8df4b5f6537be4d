#ifndef LYCHEETRESTLE_GATEWAY_GATEWAY_PROCESS_H
#define LYCHEETRESTLE_GATEWAY_GATEWAY_PROCESS_H

#include "core/failure.h"
#include "gateway/gateway_settings.h"
#include "http/messages.h"

#include <atomic>
#include <functional>
#include <string>

namespace lycheetrestle::gateway {

/// What the platform calls the headers and paths that a gateway needs.
struct gateway_dialect {
  std::string DeadlineHeader; ///< Milliseconds that the caller waits.
  std::string ReadinessPath;
};

/// Runs a gateway until it is stopped.
/// \param StopRequests counts stop requests.
/// \returns success after a clean stop, or why it could not start.
core::result<void> runGateway(const gateway_settings &Settings,
                              const gateway_dialect &Dialect,
                              const std::atomic<int> &StopRequests);

} // namespace lycheetrestle::gateway

#endif
