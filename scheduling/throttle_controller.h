#ifndef LYCHEETRESTLE_SCHEDULING_THROTTLE_CONTROLLER_H
#define LYCHEETRESTLE_SCHEDULING_THROTTLE_CONTROLLER_H

#include "core/clock.h"

#include <cstdint>

namespace lycheetrestle::scheduling {

/// Controls the rate of best-effort tasks on one endpoint, in percent.
///
/// Designed for interference that changes within seconds: the rate is halved
/// when the tail latency of a latency-sensitive task approaches its target,
/// drops to zero when the target is reached, and rises in small steps while the
/// tail latency stays well below the target.
class throttle_controller {
public:
  /// \param WorstRatio largest ratio of measured tail latency to its target on
  /// the endpoint.
  /// \param Now time of the measurement.
  /// \returns the rate in percent that the best-effort tasks may use.
  std::uint32_t update(double WorstRatio, core::time_point Now);
  std::uint32_t percent() const { return Percent; }

private:
  std::uint32_t Percent = 100;
  core::time_point ChangedAt{};
};

} // namespace lycheetrestle::scheduling

#endif
