#ifndef LYCHEETRESTLE_SCHEDULING_ADMISSION_DEMAND_H
#define LYCHEETRESTLE_SCHEDULING_ADMISSION_DEMAND_H

#include "admission/admission.h"
#include "scheduling/commands.h"
#include "scheduling/duration_models.h"

namespace lycheetrestle::scheduling {

/// \param Submit a job that is submitted now; must outlive the result.
/// \param Queue its queue.
/// \param Durations learned durations.
/// \param WallMs wall time.
/// \returns what the decision on its admission depends on.
admission::job_demand admissionDemand(const submit_job &Submit,
                                      const queue_spec &Queue,
                                      const duration_models &Durations,
                                      std::int64_t WallMs);

/// \returns whether the completion time of an accepted job calibrates the
/// decisions. Only predictions near the limit do: short waits scatter by much
/// more than the long ones for which jobs are refused, and work above a rate is
/// overtaken by all other work.
bool isCalibrating(const admission::job_demand &Job,
                   const admission::decision &Decision, std::int64_t WallMs);

} // namespace lycheetrestle::scheduling

#endif
