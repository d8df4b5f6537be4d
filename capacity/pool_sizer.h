#ifndef LYCHEETRESTLE_CAPACITY_POOL_SIZER_H
#define LYCHEETRESTLE_CAPACITY_POOL_SIZER_H

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::capacity {

/// Load and size of a pool at one moment.
struct pool_load {
  std::string_view Name;
  double DemandHosts = 0;      ///< Demand now, in hosts.
  std::uint32_t Available = 0; ///< Hosts in service.
  std::uint32_t Minimum = 0;   ///< Smallest allowed number in service.
  std::uint32_t Borrowed = 0;  ///< Hosts whose home is another pool.
  std::uint32_t Arriving = 0;  ///< Hosts on their way into the pool.
  bool Spare = false;
  bool AutoSize = false;
};

struct sizer_settings {
  double PeakFactor = 1.3; ///< Buffer kept above the smoothed need.
  double BufferCostWeight = 1;
  double RolloutWeight = 1;
  double MoveWeight = 1;
  std::uint32_t RoundsBeforeLending = 3;
  core::duration IdleBeforeReturn = std::chrono::minutes(10);
};

struct host_transfer {
  std::string FromPool;
  std::string ToPool;
  std::uint32_t Hosts = 0;
};

/// Decides how many hosts move between the spare pool and the others. It keeps
/// the smoothed need of each pool between calls.
class pool_sizer {
public:
  explicit pool_sizer(sizer_settings Settings);
  /// \param Pools every pool.
  /// \param Now the time of the round.
  /// \returns transfers that keep every pool at its minimum or above.
  std::vector<host_transfer> plan(std::span<const pool_load> Pools,
                                  core::time_point Now);

private:
  struct pool_history {
    double SmoothedDemand = 0;
    std::uint32_t ShortfallRounds = 0;
    std::uint32_t UnmetDemandRounds = 0; ///< With less than the present demand.
    core::time_point LastRequired{};
    core::time_point LastUpdate{};
  };
  sizer_settings Settings;
  std::map<std::string, pool_history, std::less<>> Histories;
};

} // namespace lycheetrestle::capacity

#endif
