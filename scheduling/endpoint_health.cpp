#include "scheduling/endpoint_health.h"

#include <algorithm>
#include <set>

namespace lycheetrestle::scheduling {

namespace {

// Jobs that always fail account for a few percent of all runs, so failures of
// three different jobs within Window indicate a faulty endpoint when they are
// at least half of its runs.
constexpr std::size_t MinFailedJobs = 3;
constexpr double MinFailedShare = 0.5;
constexpr core::duration Window = std::chrono::seconds(4);
constexpr std::size_t MaxOutcomes = 64;
// Faults last a few seconds. Each further penalty doubles, up to MaxPenalty.
constexpr core::duration InitialPenalty = std::chrono::seconds(3);
constexpr core::duration MaxPenalty = std::chrono::seconds(12);

} // namespace

void endpoint_health::record(const std::string &Job, bool Succeeded,
                             core::time_point Now) {
  Recent.push_back({Job, Succeeded, Now});
  while (Recent.size() > MaxOutcomes || Recent.front().At + Window < Now)
    Recent.pop_front();
  if (Succeeded)
    return;
  std::set<std::string> FailedJobs;
  std::size_t Failed = 0;
  for (const auto &Outcome : Recent) {
    if (Outcome.Succeeded)
      continue;
    ++Failed;
    FailedJobs.insert(Outcome.Job);
  }
  if (FailedJobs.size() < MinFailedJobs ||
      static_cast<double>(Failed) <
          MinFailedShare * static_cast<double>(Recent.size()))
    return;
  Penalty = Penalty == core::duration() ? InitialPenalty
                                        : std::min(2 * Penalty, MaxPenalty);
  AvoidedUntil = Now + Penalty;
  Recent.clear();
}

} // namespace lycheetrestle::scheduling
