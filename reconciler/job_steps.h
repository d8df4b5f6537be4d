#ifndef LYCHEETRESTLE_RECONCILER_JOB_STEPS_H
#define LYCHEETRESTLE_RECONCILER_JOB_STEPS_H

#include "reconciler/round.h"

#include <unordered_map>

namespace lycheetrestle::reconciler {

/// Observations of leases that are not replicated; a new leader rebuilds them.
struct lease_tracking {
  struct lease_observation {
    std::uint64_t Lease = 0;
    std::int64_t LeaseUntilMs = 0;
    core::time_point Since{};
  };
  /// Since when this leader has observed the present term of each bound job's
  /// lease, by job.
  std::unordered_map<std::uint64_t, lease_observation> Observed;
  core::time_point LastPlacement{};
};

/// Records the task states that the platform reports, renews leases, repeats
/// the orders on tasks, and places the waiting jobs.
void planJobs(round &Round, lease_tracking &Tracking);

} // namespace lycheetrestle::reconciler

#endif
