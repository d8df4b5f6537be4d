#ifndef LYCHEETRESTLE_PLACEMENT_PREEMPTION_H
#define LYCHEETRESTLE_PLACEMENT_PREEMPTION_H

#include "placement/size_estimator.h"
#include "placement/worker_capacity.h"

#include <vector>

namespace lycheetrestle::placement {

/// Where an urgent job can run after some batch jobs are preempted.
struct preemption_choice {
  /// Null when preemption cannot free enough resources on any worker.
  worker_capacity *Capacity = nullptr;
  std::vector<const fleet::job_record *> Victims; ///< Jobs to checkpoint.
};

/// Chooses the batch jobs to checkpoint for an urgent job. On each worker these
/// are the latest submitted ones, except those that the job does not require.
/// Of the workers it takes the one with the fewest victims, then the one whose
/// victims have the fewest cores. Workers on which the job failed are excluded.
/// \param Capacities workers of the pool.
/// \param Job the urgent job.
/// \param Size resources to reserve for it.
/// \param Estimator estimates the sizes of the victims.
/// \returns the worker and its victims. Victims is empty when the free
/// resources and those of running checkpoints suffice.
preemption_choice choosePreemption(std::vector<worker_capacity *> &Capacities,
                                   const fleet::job_record &Job,
                                   const fleet::resources &Size,
                                   const size_estimator &Estimator);

/// Chooses the batch jobs to checkpoint on a worker whose jobs use more than
/// its resources.
/// \returns all batch jobs of the worker when they do not suffice together, and
/// none when the worker is within its resources.
std::vector<const fleet::job_record *>
chooseOvercommitVictims(const worker_capacity &Capacity,
                        const size_estimator &Estimator);

/// Moves the victims' resources from preemptible to being released. They become
/// free when the checkpoints are complete.
void releaseVictims(worker_capacity &Capacity,
                    const std::vector<const fleet::job_record *> &Victims,
                    const size_estimator &Estimator);

} // namespace lycheetrestle::placement

#endif
