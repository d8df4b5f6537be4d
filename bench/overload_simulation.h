#ifndef LYCHEETRESTLE_BENCH_OVERLOAD_SIMULATION_H
#define LYCHEETRESTLE_BENCH_OVERLOAD_SIMULATION_H

#include <cstdint>

namespace lycheetrestle::bench {

enum class order_policy : std::uint8_t {
  Ranked,               ///< scheduling::placeRuns().
  FirstComeFirstServed, ///< First come, first served, on the first endpoint
                        ///< with room.
};

struct overload_load {
  std::uint32_t Endpoints = 9;
  /// Offered work at the top of the peak against the pool's capacity.
  double Peak = 2.0;
  int PeakMs = 8000;
  std::uint64_t Seed = 1;
};

/// What the callers of one peak got.
struct overload_result {
  std::uint32_t Jobs = 0;
  std::uint32_t InTime = 0;
  std::uint32_t Late = 0;
  std::uint32_t WorstSecondPercent = 100; ///< In time, by second of submission.
  std::uint32_t LargestTenthDone = 0;     ///< Of the largest tenth.
  std::uint32_t LargestTenth = 0;
};

/// Plays one peak of a queue against one pool until all work is done.
overload_result simulateOverload(order_policy Policy,
                                 const overload_load &Load);

} // namespace lycheetrestle::bench

#endif
