#include "scheduling/poll_pacer.h"

#include <algorithm>
#include <cmath>

namespace lycheetrestle::scheduling {

namespace {

using seconds = std::chrono::duration<double>;

// Shorter than a peak of some seconds, and long enough for a stable average.
constexpr seconds Window(0.5);
// Answers a second above which the wait grows in proportion. At about 40 us for
// an answer they take a tenth of a leader's 0.4 of a core.
constexpr double FreeAnswersPerSecond = 1000;

} // namespace

void poll_pacer::recordAnswer(core::time_point Now) {
  Rate = rateAt(Now) + 1 / Window.count();
  RatedAt = Now;
}

double poll_pacer::rateAt(core::time_point Now) const {
  return Rate * std::exp(-std::max(0.0, (Now - RatedAt) / Window));
}

core::duration poll_pacer::delay(core::time_point Now) const {
  auto Factor = std::max(1.0, rateAt(Now) / FreeAnswersPerSecond);
  return std::min(
      MaxDelay, std::chrono::duration_cast<core::duration>(MinDelay * Factor));
}

} // namespace lycheetrestle::scheduling
