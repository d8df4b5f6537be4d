#include "scheduling/throttle_controller.h"

#include <algorithm>

namespace lycheetrestle::scheduling {

namespace {

// The measured tail latency is imprecise, so the rate is lowered before the
// target is reached.
constexpr double LowerThreshold = 0.85;
constexpr double RaiseThreshold = 0.6;
// Step by which the rate rises; a rate this low drops to zero instead of half.
constexpr std::uint32_t StepPercent = 20;
// A measurement covers the last half second and shows the effect of a change
// only after that time.
constexpr core::duration SettleTime = std::chrono::milliseconds(600);

} // namespace

std::uint32_t throttle_controller::update(double WorstRatio,
                                          core::time_point Now) {
  if (Now - ChangedAt < SettleTime)
    return Percent;
  auto Before = Percent;
  if (WorstRatio >= 1.0)
    Percent = 0;
  else if (WorstRatio >= LowerThreshold)
    Percent = Percent > StepPercent ? Percent / 2 : 0;
  else if (WorstRatio <= RaiseThreshold)
    Percent = std::min(100u, Percent + StepPercent);
  if (Percent != Before)
    ChangedAt = Now;
  return Percent;
}

} // namespace lycheetrestle::scheduling
