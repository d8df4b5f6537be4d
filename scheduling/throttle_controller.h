#ifndef LYCHEETRESTLE_SCHEDULING_THROTTLE_CONTROLLER_H
#define LYCHEETRESTLE_SCHEDULING_THROTTLE_CONTROLLER_H

#include "core/clock.h"

#include <cstdint>

namespace lycheetrestle::scheduling {

/// Share at which the tasks that fill idle capacity on one endpoint may work.
///
/// Answers interference that changes within seconds: the share falls at once by
/// half when a serving task nears its target, down to nothing, and rises again
/// in small steps while the tail stays well below.
class throttle_controller {
public:
  /// \param WorstRatio largest measured tail against its target on the
  /// endpoint.
  /// \param Now the time of the measurement.
  /// \returns the share in percent that the filling tasks may have.
  std::uint32_t update(double WorstRatio, core::time_point Now);
  std::uint32_t percent() const { return Percent; }

private:
  std::uint32_t Percent = 100;
  core::time_point ChangedAt{};
};

} // namespace lycheetrestle::scheduling

#endif
