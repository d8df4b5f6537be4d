#ifndef LYCHEETRESTLE_SCHEDULING_DEMAND_FORECASTER_H
#define LYCHEETRESTLE_SCHEDULING_DEMAND_FORECASTER_H

#include "core/clock.h"

#include <deque>
#include <map>
#include <string>

namespace lycheetrestle::scheduling {

/// Measures the rate of accepted work of each pool and extrapolates it.
///
/// Designed for queues whose demand rises from nearly zero to several times its
/// mean and falls again within seconds. The current level alone would lag by
/// the time that a host needs to change its pool, so the forecast adds the
/// trend.
class demand_forecaster {
public:
  /// Records the arrival of a job.
  /// \param Pool pool that runs the job.
  /// \param CoreSeconds work of the job by its expected durations.
  void record(const std::string &Pool, double CoreSeconds,
              core::time_point Now);
  /// \param Horizon how far ahead of Now to forecast.
  /// \returns the cores in use at that time if all work ran on arrival.
  double expectedCores(const std::string &Pool, core::time_point Now,
                       core::duration Horizon) const;

private:
  struct arrival {
    core::time_point At{};
    double CoreSeconds = 0;
  };
  std::map<std::string, std::deque<arrival>> Arrivals;
};

} // namespace lycheetrestle::scheduling

#endif
