#ifndef LYCHEETRESTLE_SCHEDULING_SCHEDULER_PROCESS_H
#define LYCHEETRESTLE_SCHEDULING_SCHEDULER_PROCESS_H

#include "core/failure.h"
#include "core/process_requests.h"
#include "scheduling/scheduler_settings.h"
#include "scheduling/site_adapter.h"

namespace lycheetrestle::scheduling {

/// Runs one scheduler replica until it is stopped.
/// \param Adapter translates between the scheduler and the platform.
/// \param Signals stop and reload requests; a second stop request ends the
/// process at once.
/// \param ReadSeeds reads the seeds again at a reload request.
/// \returns success after a clean stop, or why the scheduler could not start.
core::result<void> runScheduler(const scheduler_settings &Settings,
                                const site_adapter &Adapter,
                                const core::process_requests &Signals,
                                const core::seed_reader &ReadSeeds);

} // namespace lycheetrestle::scheduling

#endif
