#ifndef LYCHEETRESTLE_MAINTENANCE_WAVE_LIMITS_CHECK_H
#define LYCHEETRESTLE_MAINTENANCE_WAVE_LIMITS_CHECK_H

#include "maintenance/wave_planner.h"

#include <algorithm>
#include <optional>

namespace lycheetrestle::maintenance {

/// Checks whether a wave must pause or has finished, before any host is chosen.
/// \returns the step that pauses or finishes the wave, or nothing when the wave
/// may go on.
inline std::optional<wave_step>
checkWaveLimits(std::span<const wave_host> Hosts, const wave_limits &Limits) {
  wave_step Step;
  auto Unfinished =
      std::count_if(Hosts.begin(), Hosts.end(), [](const wave_host &Host) {
        return Host.Phase == host_phase::Waiting ||
               Host.Phase == host_phase::Busy;
      });
  if (Unfinished == 0) {
    Step.Finished = true;
    return Step;
  }
  // With a limit of zero no wave could start, so it counts as one.
  auto Limit = std::max<std::uint32_t>(1, Limits.PauseAfterFailures);
  if (Limits.FailuresInWave < Limit)
    return std::nullopt;
  Step.Pause = true;
  Step.Reason = std::to_string(Limits.FailuresInWave) +
                " hosts failed during the wave, the limit is " +
                std::to_string(Limit);
  return Step;
}

} // namespace lycheetrestle::maintenance

#endif
