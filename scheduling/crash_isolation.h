#ifndef LYCHEETRESTLE_SCHEDULING_CRASH_ISOLATION_H
#define LYCHEETRESTLE_SCHEDULING_CRASH_ISOLATION_H

#include "scheduling/crash_quarantine.h"

#include <functional>
#include <span>

namespace lycheetrestle::scheduling {

/// Decides where the long-running suspect tasks of one pool start.
///
/// A trial like that of other suspects would keep a long-running task away for
/// seconds, which counts against its budget. It starts at once instead, beside
/// runs that end soon if need be, and nothing else is placed on its endpoint
/// until its trial is over: what crashes endpoints usually does so right after
/// its start, so a task that starts later on the same endpoint would cost it
/// another crash. At most a third of the endpoints are kept for them; the
/// others start like any task.
/// \param Endpoints the endpoints of the pool that accept new runs.
/// \param Tasks the long-running suspects that wait or are on trial.
/// \param MayRun whether the task fits on the endpoint beside its runs.
/// \returns endpoints for tasks that wait, and the endpoints on which nothing
/// else may be placed.
quarantine_plan planIsolation(
    std::span<const quarantine_endpoint> Endpoints,
    std::span<const quarantined_task> Tasks,
    const std::function<bool(const task_key &, std::uint32_t)> &MayRun);

} // namespace lycheetrestle::scheduling

#endif
