#include "scheduling/admission_demand.h"

#include "scheduling/job_order.h"
#include "scheduling/placer.h"

#include <algorithm>
#include <cmath>

namespace lycheetrestle::scheduling {

namespace {

// Largest work of one job in core-milliseconds, so that sums of declared
// estimates stay within 64 bits.
constexpr double MaxJobWork = 1e12;

// Least predicted time of a job that calibrates, as a share of the time in
// which it is of use.
constexpr double MinCalibratingShare = 0.5;

} // namespace

bool isCalibrating(const admission::job_demand &Job,
                   const admission::decision &Decision, std::int64_t WallMs) {
  auto UsefulMs = static_cast<double>(Job.LatestUsefulEndMs - WallMs);
  return !Job.IsOverRate && !Job.IsLongRunning && !Decision.Refusal &&
         static_cast<double>(Decision.PredictedMs) >=
             MinCalibratingShare * UsefulMs;
}

admission::job_demand admissionDemand(const submit_job &Submit,
                                      const queue_spec &Queue,
                                      const duration_models &Durations,
                                      std::int64_t WallMs) {
  const auto &Spec = Submit.Job;
  job_record Key; // Selects the model of the queue.
  Key.QueueHost = Queue.HostName;
  Key.QueuePrefix = Queue.PathPrefix;
  const auto &Model = Durations.modelOf(Key);
  admission::job_demand Demand;
  Demand.Id = Spec.Id;
  Demand.CoreMs =
      std::llround(std::min(1000 * workCoreSeconds(Spec, Model), MaxJobWork));
  Demand.CriticalPathMs = criticalPathMs(Spec, Model);
  Demand.Priority = Queue.Priority;
  Demand.IsOverRate = Submit.IsOverRate;
  // A job that repeats or starts later has no caller that waits for it now.
  Demand.IsLongRunning = Spec.RepeatCount > 0;
  for (const auto &Step : Spec.Steps) {
    Demand.IsLongRunning |= Step.IsLongRunning;
    Demand.WidthMilliCores =
        std::max(Demand.WidthMilliCores,
                 std::int64_t(Step.Count) * reservedSize(Step).MilliCores);
  }
  auto ObjectiveMs = objectiveMs(Spec, &Queue, Model);
  Demand.LatestInTimeStartMs =
      WallMs + ObjectiveMs - countedPathMs(Demand.CriticalPathMs);
  Demand.LatestUsefulEndMs =
      WallMs + static_cast<std::int64_t>(UsefulFactor *
                                         static_cast<double>(ObjectiveMs));
  Demand.Ticket = ticketOf(Spec.Id, 0, Demand.CoreMs);
  return Demand;
}

} // namespace lycheetrestle::scheduling
