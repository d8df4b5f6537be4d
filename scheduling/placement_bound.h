#ifndef LYCHEETRESTLE_SCHEDULING_PLACEMENT_BOUND_H
#define LYCHEETRESTLE_SCHEDULING_PLACEMENT_BOUND_H

#include "scheduling/waiting_index.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lycheetrestle::scheduling {

/// Bounds how many endpoints a round visits for constrained steps that have no
/// place, in one pool, and continues with the steps that it left out in the
/// next round.
///
/// The first half of the visits is for the steps with the highest ranks. The
/// other half continues behind the step at which the round before stopped, and
/// begins again once all have been tried. So each step is tried at least once
/// in roundsToTryAll() rounds, wherever it ranks.
class placement_bound {
public:
  using indexed_step = waiting_index::indexed_step;

  /// \param Endpoints number of endpoints of the pool in this round.
  void beginRound(std::size_t Endpoints);
  /// \returns whether the round may try the step. Steps must be asked about by
  /// rank.
  bool mayTry(const indexed_step &Step) const;
  /// \returns whether the round may try no further step.
  bool isSpent() const { return Phase == phase::Spent; }
  /// \returns the step behind which the round continues, or nothing.
  const std::optional<indexed_step> &resumesAfter() const { return After; }
  /// Records that a step that was tried has no place.
  /// \param Visits endpoints that were visited for it.
  void recordFailure(const indexed_step &Step, std::size_t Visits);
  /// Records that the round is over.
  /// \param IsFull whether the limit of starts ended it before it had tried all
  /// steps that it may try; the next round continues behind the same step.
  void recordEnd(bool IsFull = false);

  /// \returns the number of rounds in which each of the steps is tried at least
  /// once, if none of them visits more than all endpoints.
  static std::size_t roundsToTryAll(std::size_t Steps, std::size_t Endpoints);

private:
  enum class phase : unsigned char { HighestRanks, Resumed, Spent };

  phase Phase = phase::HighestRanks;
  std::size_t VisitsLeft = 0;    ///< Of the phase.
  std::size_t ResumedVisits = 0; ///< Of the phase Resumed.
  std::optional<indexed_step> After;
};

/// The bounds of all pools.
using placement_bounds = std::map<std::string, placement_bound, std::less<>>;

} // namespace lycheetrestle::scheduling

#endif
