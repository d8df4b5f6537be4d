#ifndef LYCHEETRESTLE_SCHEDULING_DEMAND_SMOOTHER_H
#define LYCHEETRESTLE_SCHEDULING_DEMAND_SMOOTHER_H

#include "core/clock.h"

namespace lycheetrestle::scheduling {

/// Need of a pool that rises at once and falls slowly.
///
/// Answers the first seconds of a peak: jobs that waited for hosts turn late
/// and stop counting as need, and few jobs arrive in any one second, so the
/// need as it is measured drops again while hosts are still on their way.
class demand_smoother {
public:
  /// \param Cores the need as it is measured.
  /// \returns the need to act on.
  double update(double Cores, core::time_point Now);

private:
  double Smoothed = 0;
  core::time_point UpdatedAt{};
};

} // namespace lycheetrestle::scheduling

#endif
