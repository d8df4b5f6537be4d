#ifndef LYCHEETRESTLE_PLACEMENT_PREEMPTION_H
#define LYCHEETRESTLE_PLACEMENT_PREEMPTION_H

#include "placement/room.h"
#include "placement/size_estimator.h"

#include <vector>

namespace lycheetrestle::placement {

/// Where an urgent job could run if some batch jobs gave way.
struct preemption {
  worker_room *Room = nullptr; ///< Null when no worker can make room.
  std::vector<const fleet::job_record *> Victims;
};

/// Chooses the least valuable batch jobs whose checkpoint makes room: as few
/// as possible, then the smallest, then the latest submitted.
/// \param Rooms rooms of the pool.
/// \param Job the urgent job.
/// \param Size its estimate.
/// \param Estimator estimates of the victims.
preemption choosePreemption(std::vector<worker_room *> &Rooms,
                            const fleet::job_record &Job,
                            const fleet::resources &Size,
                            const size_estimator &Estimator);

/// Chooses batch jobs that must leave a worker whose jobs use more than it has.
std::vector<const fleet::job_record *>
chooseRelief(const worker_room &Room, const size_estimator &Estimator);

/// Takes the victims out of the room. Their resources come free later.
void releaseVictims(worker_room &Room,
                    const std::vector<const fleet::job_record *> &Victims,
                    const size_estimator &Estimator);

} // namespace lycheetrestle::placement

#endif
