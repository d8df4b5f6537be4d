#ifndef LYCHEETRESTLE_PLACEMENT_PREEMPTION_H
#define LYCHEETRESTLE_PLACEMENT_PREEMPTION_H

#include "placement/size_estimator.h"
#include "placement/worker_capacity.h"

#include <vector>

namespace lycheetrestle::placement {

/// Where an urgent job could run if some batch jobs gave way.
struct preemption_choice {
  worker_capacity *Capacity = nullptr; ///< Null when no worker can make room.
  std::vector<const fleet::job_record *> Victims;
};

/// Chooses the least valuable batch jobs whose checkpoint makes room: as few
/// as possible, then the smallest, then the latest submitted.
/// \param Capacities rooms of the pool.
/// \param Job the urgent job.
/// \param Size its estimate.
/// \param Estimator estimates of the victims.
preemption_choice choosePreemption(std::vector<worker_capacity *> &Capacities,
                                   const fleet::job_record &Job,
                                   const fleet::resources &Size,
                                   const size_estimator &Estimator);

/// Chooses batch jobs that must leave a worker whose jobs use more than it has.
std::vector<const fleet::job_record *>
chooseOvercommitVictims(const worker_capacity &Capacity,
                        const size_estimator &Estimator);

/// Takes the victims out of the room. Their resources come free later.
void releaseVictims(worker_capacity &Capacity,
                    const std::vector<const fleet::job_record *> &Victims,
                    const size_estimator &Estimator);

} // namespace lycheetrestle::placement

#endif
