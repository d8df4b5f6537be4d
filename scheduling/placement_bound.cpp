#include "scheduling/placement_bound.h"

#include <algorithm>

namespace lycheetrestle::scheduling {

namespace {

// Visits of endpoints in a round for constrained steps without a place. A pass
// over 1,100 endpoints for each of 24 steps is what a round cost before there
// were classes of requests.
constexpr std::size_t MaxVisits = std::size_t(24) * 1100;
// Steps without a place that a round tries whatever the size of the pool.
constexpr std::size_t MinSteps = 24;

std::size_t visitsOfPhase(std::size_t Endpoints) {
  return std::max(MaxVisits, MinSteps * Endpoints) / 2;
}

} // namespace

void placement_bound::beginRound(std::size_t Endpoints) {
  Phase = phase::HighestRanks;
  VisitsLeft = ResumedVisits = visitsOfPhase(Endpoints);
}

bool placement_bound::mayTry(const indexed_step &Step) const {
  switch (Phase) {
  case phase::HighestRanks:
    return true;
  case phase::Resumed:
    return !After || *After < Step;
  case phase::Spent:
    break;
  }
  return false;
}

void placement_bound::recordFailure(const indexed_step &Step,
                                    std::size_t Visits) {
  VisitsLeft -= std::min(VisitsLeft, Visits);
  if (VisitsLeft > 0)
    return;
  if (Phase == phase::HighestRanks) {
    Phase = phase::Resumed;
    VisitsLeft = ResumedVisits;
    return;
  }
  Phase = phase::Spent;
  After = Step;
  // The job may be gone by the next round; the order depends on the number of
  // the step.
  After->Step.Job = nullptr;
  After->Step.Occurrence = nullptr;
}

void placement_bound::recordEnd(bool IsFull) {
  if (Phase != phase::Spent && !IsFull)
    After.reset();
}

std::size_t placement_bound::roundsToTryAll(std::size_t Steps,
                                            std::size_t Endpoints) {
  auto PerRound = std::max<std::size_t>(
      1, visitsOfPhase(Endpoints) / std::max<std::size_t>(1, Endpoints));
  // One more for the round that reaches the end of the steps.
  return (Steps + PerRound - 1) / PerRound + 1;
}

} // namespace lycheetrestle::scheduling
