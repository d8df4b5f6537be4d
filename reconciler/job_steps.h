#ifndef LYCHEETRESTLE_RECONCILER_JOB_STEPS_H
#define LYCHEETRESTLE_RECONCILER_JOB_STEPS_H

#include "reconciler/round.h"

#include <unordered_map>

namespace lycheetrestle::reconciler {

/// Memory about leases that a new leader rebuilds.
struct lease_tracking {
  struct lease_observation {
    std::uint64_t Lease = 0;
    std::int64_t LeaseUntilMs = 0;
    core::time_point Since{};
  };
  /// When this leader first saw the present term of each bound job's lease.
  std::unordered_map<std::uint64_t, lease_observation> Observed;
  core::time_point LastPlacement{};
};

/// Records what the platform reports about tasks, renews leases, repeats the
/// orders on tasks, and places the waiting jobs.
void planJobs(round &Round, lease_tracking &Tracking);

} // namespace lycheetrestle::reconciler

#endif
