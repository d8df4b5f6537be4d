#ifndef LYCHEETRESTLE_SCHEDULING_SCHEDULER_PROCESS_H
#define LYCHEETRESTLE_SCHEDULING_SCHEDULER_PROCESS_H

#include "core/failure.h"
#include "scheduling/scheduler_settings.h"
#include "scheduling/site_adapter.h"

#include <atomic>

namespace lycheetrestle::scheduling {

/// Runs one scheduler replica until it is stopped.
/// \param Adapter translates for the platform.
/// \param StopRequests counts stop requests; a second one ends it at once.
/// \returns success after a clean stop, or why it could not start.
core::result<void> runScheduler(const scheduler_settings &Settings,
                                const site_adapter &Adapter,
                                const std::atomic<int> &StopRequests);

} // namespace lycheetrestle::scheduling

#endif
