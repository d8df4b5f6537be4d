#ifndef LYCHEETRESTLE_CONTROL_CONTROL_PROCESS_H
#define LYCHEETRESTLE_CONTROL_CONTROL_PROCESS_H

#include "control/control_settings.h"
#include "control/platform_worker.h"
#include "core/failure.h"

#include <atomic>
#include <optional>

namespace lycheetrestle::control {

/// Runs a control replica until it is asked to stop.
/// \param Settings the checked settings.
/// \param Initialize whether this replica founds a new cluster.
/// \param Platform the platform, or nothing.
/// \param StopRequests number of stop requests so far: the first one starts a
/// graceful shutdown, the second one ends the process at once.
/// \returns success after a graceful shutdown, or why it could not start.
core::result<void> runControl(const control_settings &Settings, bool Initialize,
                              std::optional<platform_adapter> Platform,
                              const std::atomic<int> &StopRequests);

} // namespace lycheetrestle::control

#endif
