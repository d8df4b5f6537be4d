#include "placement/preemption.h"

#include <algorithm>

namespace lycheetrestle::placement {

namespace {

// Latest first; the id makes the choice the same in every round until the
// checkpoints are done.
bool isLessValuable(const fleet::job_record *Left,
                    const fleet::job_record *Right) {
  if (Left->SubmittedMs != Right->SubmittedMs)
    return Left->SubmittedMs > Right->SubmittedMs;
  return Left->Id > Right->Id;
}

// Picks jobs until the wanted amount fits, then puts back those that turned
// out not to be needed.
std::vector<const fleet::job_record *>
pickVictims(const worker_room &Room, const amount &Wanted,
            const size_estimator &Estimator) {
  auto Candidates = Room.BatchJobs;
  std::sort(Candidates.begin(), Candidates.end(), isLessValuable);
  std::vector<const fleet::job_record *> Victims;
  auto Free = Room.freeSoon();
  for (const auto *Job : Candidates) {
    if (Wanted.fitsIn(Free))
      break;
    Victims.push_back(Job);
    Free += amount(Estimator.estimate(*Job));
  }
  if (!Wanted.fitsIn(Free))
    return {};
  for (std::size_t Index = 0; Index < Victims.size();) {
    auto Without = Free;
    Without -= amount(Estimator.estimate(*Victims[Index]));
    if (Wanted.fitsIn(Without)) {
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

preemption choosePreemption(std::vector<worker_room *> &Rooms,
                            const fleet::job_record &Job,
                            const fleet::resources &Size,
                            const size_estimator &Estimator) {
  preemption Best;
  std::int64_t BestCores = 0;
  for (auto *Room : Rooms) {
    auto Reachable = Room->freeSoon();
    Reachable += Room->Preemptible;
    if (!Room->Worker->InService || !amount(Size).fitsIn(Reachable) ||
        failedOn(Job, Room->Worker->Host))
      continue;
    auto Victims = pickVictims(*Room, amount(Size), Estimator);
    if (Victims.empty() && !amount(Size).fitsIn(Room->freeSoon()))
      continue;
    std::int64_t Cores = 0;
    for (const auto *Victim : Victims)
      Cores += Estimator.estimate(*Victim).Cores;
    bool Better = !Best.Room || Victims.size() < Best.Victims.size() ||
                  (Victims.size() == Best.Victims.size() && Cores < BestCores);
    if (!Better)
      continue;
    Best.Room = Room;
    Best.Victims = std::move(Victims);
    BestCores = Cores;
  }
  return Best;
}

std::vector<const fleet::job_record *>
chooseRelief(const worker_room &Room, const size_estimator &Estimator) {
  if (amount().fitsIn(Room.freeSoon()))
    return {};
  auto Victims = pickVictims(Room, amount(), Estimator);
  // When all batch jobs together are not enough, all of them leave.
  return Victims.empty() ? Room.BatchJobs : Victims;
}

void releaseVictims(worker_room &Room,
                    const std::vector<const fleet::job_record *> &Victims,
                    const size_estimator &Estimator) {
  for (const auto *Victim : Victims) {
    amount Size(Estimator.estimate(*Victim));
    Room.Coming += Size;
    Room.Preemptible -= Size;
    Room.BatchJobs.erase(
        std::remove(Room.BatchJobs.begin(), Room.BatchJobs.end(), Victim),
        Room.BatchJobs.end());
  }
}

} // namespace lycheetrestle::placement
