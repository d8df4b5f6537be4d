#ifndef LYCHEETRESTLE_GATEWAY_GATEWAY_PROCESS_H
#define LYCHEETRESTLE_GATEWAY_GATEWAY_PROCESS_H

#include "core/failure.h"
#include "core/process_requests.h"
#include "gateway/gateway_settings.h"
#include "http/messages.h"

#include <functional>
#include <string>

namespace lycheetrestle::gateway {

/// What the platform calls the headers and paths that a gateway needs.
struct gateway_dialect {
  std::string DeadlineHeader; ///< Milliseconds that the caller waits.
  std::string ReadinessPath;
};

/// Runs a gateway until it is stopped.
/// \param Signals stop and reload requests; a second stop ends it at once.
/// \param ReadSeeds called at a reload.
/// \returns success after a clean stop, or why it could not start.
core::result<void> runGateway(const gateway_settings &Settings,
                              const gateway_dialect &Dialect,
                              const core::process_requests &Signals,
                              const core::seed_reader &ReadSeeds);

} // namespace lycheetrestle::gateway

#endif
