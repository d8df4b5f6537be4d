#ifndef LYCHEETRESTLE_SCHEDULING_DEMAND_FORECASTER_H
#define LYCHEETRESTLE_SCHEDULING_DEMAND_FORECASTER_H

#include "core/clock.h"

#include <deque>
#include <map>
#include <string>

namespace lycheetrestle::scheduling {

/// Rate of accepted work for each pool, and where it will be shortly.
///
/// Answers queues whose demand rises from nearly nothing to several times its
/// mean and falls again within seconds: a level alone would always come late by
/// the time that a host needs to arrive, so the trend is added.
class demand_forecaster {
public:
  /// \param Pool the pool that the work goes to.
  /// \param CoreSeconds the work by its estimates.
  void record(const std::string &Pool, double CoreSeconds,
              core::time_point Now);
  /// \param Horizon how far to look ahead.
  /// \returns expected cores in use if all work is done as it comes.
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
