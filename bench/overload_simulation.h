#ifndef LYCHEETRESTLE_BENCH_OVERLOAD_SIMULATION_H
#define LYCHEETRESTLE_BENCH_OVERLOAD_SIMULATION_H

#include <cstdint>

namespace lycheetrestle::bench {

/// Order in which waiting tasks are started.
enum class order_policy : std::uint8_t {
  Ranked,               ///< scheduling::placeRuns().
  FirstComeFirstServed, ///< Baseline: oldest job first, on the first endpoint
                        ///< with enough free cores.
};

/// One peak of offered work: half a sine from zero to Peak and back.
struct overload_load {
  std::uint32_t Endpoints = 9;
  /// Offered work at the top of the peak, relative to the capacity of the pool.
  double Peak = 2.0;
  int PeakMs = 8000;
  std::uint64_t Seed = 1;
};

/// Jobs of one peak by latency objective.
struct overload_result {
  std::uint32_t Jobs = 0;
  std::uint32_t InTime = 0;
  std::uint32_t Late = 0;
  /// Lowest share of jobs in time over the seconds of submission.
  std::uint32_t WorstSecondPercent = 100;
  /// Jobs of the largest tenth done within three times their objective.
  std::uint32_t LargestTenthDone = 0;
  std::uint32_t LargestTenth = 0; ///< Jobs in the tenth with the most work.
};

/// Simulates one peak of a queue on one pool until all jobs are finished.
overload_result simulateOverload(order_policy Policy,
                                 const overload_load &Load);

} // namespace lycheetrestle::bench

#endif
