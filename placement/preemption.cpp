#include "placement/preemption.h"

#include <algorithm>

namespace lycheetrestle::placement {

namespace {

// Sort order of the victims: latest submission first. The id breaks ties, so
// that every round makes the same choice until the checkpoints are complete.
bool isPreemptedBefore(const fleet::job_record *Left,
                       const fleet::job_record *Right) {
  if (Left->SubmittedMs != Right->SubmittedMs)
    return Left->SubmittedMs > Right->SubmittedMs;
  return Left->Id > Right->Id;
}

// Adds victims until the required resources fit, then drops those without which
// they still fit. Returns none when all batch jobs together free too little.
std::vector<const fleet::job_record *>
pickVictims(const worker_capacity &Capacity, const resource_vector &Required,
            const size_estimator &Estimator) {
  auto Candidates = Capacity.BatchJobs;
  std::sort(Candidates.begin(), Candidates.end(), isPreemptedBefore);
  std::vector<const fleet::job_record *> Victims;
  auto Free = Capacity.freeAfterCheckpoints();
  for (const auto *Job : Candidates) {
    if (Required.fitsIn(Free))
      break;
    Victims.push_back(Job);
    Free += resource_vector(Estimator.estimate(*Job));
  }
  if (!Required.fitsIn(Free))
    return {};
  for (std::size_t Index = 0; Index < Victims.size();) {
    auto Without = Free;
    Without -= resource_vector(Estimator.estimate(*Victims[Index]));
    if (Required.fitsIn(Without)) {
      Free = Without;
      Victims.erase(Victims.begin() + std::ptrdiff_t(Index));
    } else {
      ++Index;
    }
  }
  return Victims;
}

bool failedOn(const fleet::job_record &Job, std::string_view Host) {
  return std::find(Job.FailedOn.begin(), Job.FailedOn.end(), Host) !=
         Job.FailedOn.end();
}

} // namespace

preemption_choice choosePreemption(std::vector<worker_capacity *> &Capacities,
                                   const fleet::job_record &Job,
                                   const fleet::resources &Size,
                                   const size_estimator &Estimator) {
  preemption_choice Best;
  std::int64_t BestCores = 0;
  for (auto *Capacity : Capacities) {
    auto FreeAfterPreemption = Capacity->freeAfterCheckpoints();
    FreeAfterPreemption += Capacity->Preemptible;
    if (!Capacity->Worker->InService ||
        !resource_vector(Size).fitsIn(FreeAfterPreemption) ||
        failedOn(Job, Capacity->Worker->Host))
      continue;
    auto Victims = pickVictims(*Capacity, resource_vector(Size), Estimator);
    if (Victims.empty() &&
        !resource_vector(Size).fitsIn(Capacity->freeAfterCheckpoints()))
      continue;
    std::int64_t Cores = 0;
    for (const auto *Victim : Victims)
      Cores += Estimator.estimate(*Victim).Cores;
    bool Better = !Best.Capacity || Victims.size() < Best.Victims.size() ||
                  (Victims.size() == Best.Victims.size() && Cores < BestCores);
    if (!Better)
      continue;
    Best.Capacity = Capacity;
    Best.Victims = std::move(Victims);
    BestCores = Cores;
  }
  return Best;
}

std::vector<const fleet::job_record *>
chooseOvercommitVictims(const worker_capacity &Capacity,
                        const size_estimator &Estimator) {
  if (resource_vector().fitsIn(Capacity.freeAfterCheckpoints()))
    return {};
  auto Victims = pickVictims(Capacity, resource_vector(), Estimator);
  // When all batch jobs together do not free enough, all are checkpointed.
  return Victims.empty() ? Capacity.BatchJobs : Victims;
}

void releaseVictims(worker_capacity &Capacity,
                    const std::vector<const fleet::job_record *> &Victims,
                    const size_estimator &Estimator) {
  for (const auto *Victim : Victims) {
    resource_vector Size(Estimator.estimate(*Victim));
    Capacity.Releasing += Size;
    Capacity.Preemptible -= Size;
    Capacity.BatchJobs.erase(std::remove(Capacity.BatchJobs.begin(),
                                         Capacity.BatchJobs.end(), Victim),
                             Capacity.BatchJobs.end());
  }
}

} // namespace lycheetrestle::placement
