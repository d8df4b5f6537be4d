#ifndef LYCHEETRESTLE_SCHEDULING_DEMAND_SMOOTHER_H
#define LYCHEETRESTLE_SCHEDULING_DEMAND_SMOOTHER_H

#include "core/clock.h"

namespace lycheetrestle::scheduling {

/// Smooths the demand of a pool: rises at once, decays exponentially.
///
/// Designed for the first seconds of a peak. Jobs that wait for hosts become
/// late and no longer count as demand, and few jobs arrive in any one second,
/// so the measured demand drops while hosts are still moving to the pool.
class demand_smoother {
public:
  /// \param Cores measured demand.
  /// \returns the smoothed demand in cores.
  double update(double Cores, core::time_point Now);

private:
  double Smoothed = 0;
  core::time_point UpdatedAt{};
};

} // namespace lycheetrestle::scheduling

#endif
