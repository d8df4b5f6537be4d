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
  std::uint32_t Arriving = 0;  ///< Hosts that will enter service in the pool.
  bool Spare = false;          ///< The pool that lends hosts to the others.
  bool AutoSize = false;       ///< The pool may borrow from the spare pool.
};

/// Settings of pool_sizer. The weights are relative to 1; those of buffers and
/// moves are clamped to 0.1 to 10 and scale the other settings.
struct sizer_settings {
  /// Target size as a multiple of smoothed demand.
  double PeakFactor = 1.3;
  double BufferCostWeight = 1; ///< Cost of idle hosts in a buffer.
  /// Above 1, every pool keeps one host above its minimum for waves.
  double RolloutWeight = 1;
  double MoveWeight = 1; ///< Cost of moving a host.
  /// Rounds below target after which a pool borrows.
  std::uint32_t RoundsBeforeLending = 3;
  /// Time above target after which borrowed hosts return; also the time
  /// constant with which smoothed demand falls.
  core::duration IdleBeforeReturn = std::chrono::minutes(10);
};

/// Hosts to move from one pool to another.
struct host_transfer {
  std::string FromPool;
  std::string ToPool;
  std::uint32_t Hosts = 0;
};

/// Decides how many hosts move between the spare pool and the others. It holds
/// the smoothed demand of each pool between calls.
class pool_sizer {
public:
  explicit pool_sizer(sizer_settings Settings);
  /// Plans the transfers of one round; rounds are one second apart.
  /// \param Pools every pool.
  /// \param Now the time of the round.
  /// \returns transfers that take no pool below its minimum.
  std::vector<host_transfer> plan(std::span<const pool_load> Pools,
                                  core::time_point Now);

private:
  struct pool_history {
    double SmoothedDemand = 0;
    /// Rounds in which the current demand with its buffer, or the minimum,
    /// exceeded the number of hosts; reset when the hosts cover the target.
    std::uint32_t ShortfallRounds = 0;
    /// Consecutive rounds with fewer hosts than the current demand or the
    /// minimum.
    std::uint32_t UnmetDemandRounds = 0;
    /// When the target last called for all hosts of the pool.
    core::time_point LastRequired{};
    core::time_point LastUpdate{};
  };
  sizer_settings Settings;
  std::map<std::string, pool_history, std::less<>> Histories;
};

} // namespace lycheetrestle::capacity

#endif
