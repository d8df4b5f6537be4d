#ifndef LYCHEETRESTLE_SCHEDULING_OBSERVER_PROCESS_H
#define LYCHEETRESTLE_SCHEDULING_OBSERVER_PROCESS_H

#include "core/failure.h"
#include "core/process_requests.h"
#include "scheduling/scheduler_settings.h"

namespace lycheetrestle::scheduling {

/// Runs a scheduler on a host without a disk until it is stopped. It redirects
/// every call to the leader.
/// \param Signals stop and reload requests.
/// \param ReadSeeds reads the seeds again at a reload request.
/// \returns success after a clean stop, or why the scheduler could not start.
core::result<void> runObserver(const scheduler_settings &Settings,
                               const core::process_requests &Signals,
                               const core::seed_reader &ReadSeeds);

} // namespace lycheetrestle::scheduling

#endif
