#ifndef LYCHEETRESTLE_CONTROL_CONTROL_PROCESS_H
#define LYCHEETRESTLE_CONTROL_CONTROL_PROCESS_H

#include "control/control_settings.h"
#include "control/platform_worker.h"
#include "core/failure.h"

#include <atomic>
#include <optional>

namespace lycheetrestle::control {

/// Runs a control replica until a stop request.
/// \param Settings the validated settings.
/// \param Initialize whether this replica bootstraps a new cluster.
/// \param Platform the client of the platform, or nothing when there is none.
/// \param StopRequests number of stop requests so far: the first one starts a
/// graceful shutdown, the second one exits the process immediately with status
/// 1, as does a shutdown that exceeds timing_settings::ShutdownTimeout.
/// \returns success after a graceful shutdown, or why the replica could not
/// start.
core::result<void> runControl(const control_settings &Settings, bool Initialize,
                              std::optional<platform_adapter> Platform,
                              const std::atomic<int> &StopRequests);

} // namespace lycheetrestle::control

#endif
