#ifndef LYCHEETRESTLE_CORE_PHASE_TIMER_H
#define LYCHEETRESTLE_CORE_PHASE_TIMER_H

#include "core/clock.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace lycheetrestle::core {

/// Accumulates how long the phases of an event loop's iterations take.
/// \tparam Clock clock with a duration of core::duration; thread_cpu_clock
/// leaves out the time in which the thread waits.
/// \tparam PhaseCount number of phases of an iteration.
template <typename Clock, std::size_t PhaseCount> class phase_timer {
public:
  struct totals {
    std::uint64_t Iterations = 0;
    std::array<duration, PhaseCount> Phases{};
    duration Longest{}; ///< Of one iteration.
  };

  void beginIteration() {
    Begin = Clock::now();
    PhaseBegin = Begin;
  }
  /// Adds the time since the previous phase ended, or the iteration began.
  void finishPhase(std::size_t Phase) {
    auto Now = Clock::now();
    Totals.Phases.at(Phase) += Now - PhaseBegin;
    PhaseBegin = Now;
  }
  /// Call it after the last phase.
  void finishIteration() {
    ++Totals.Iterations;
    Totals.Longest = std::max(Totals.Longest, duration(PhaseBegin - Begin));
  }
  /// \returns the totals since the previous call.
  totals take() { return std::exchange(Totals, {}); }

private:
  typename Clock::time_point Begin{};
  typename Clock::time_point PhaseBegin{};
  totals Totals;
};

} // namespace lycheetrestle::core

#endif
