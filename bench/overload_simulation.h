#ifndef LYCHEETRESTLE_BENCH_OVERLOAD_SIMULATION_H
#define LYCHEETRESTLE_BENCH_OVERLOAD_SIMULATION_H

#include <cstdint>
#include <vector>

namespace lycheetrestle::bench {

/// Order in which waiting tasks are started.
enum class order_policy : std::uint8_t {
  Ranked,               ///< scheduling::placeRuns().
  SmallestFirst,        ///< Baseline: in time before late, then least work.
  FirstComeFirstServed, ///< Baseline: oldest job first, on the first endpoint
                        ///< with enough free cores.
};

/// A workspace of a pool. Its share is its weight relative to the sum of all.
struct workspace_load {
  std::uint32_t Weight =
      1; ///< Also the jobs a second that are within its rate.
};

/// One peak of offered work: half a sine from zero to Peak and back.
struct overload_load {
  std::uint32_t Endpoints = 9;
  /// Offered work at the top of the peak, relative to the capacity of the pool.
  double Peak = 2.0;
  int PeakMs = 8000;
  /// Starts a second that the scheduler has the time for; 0 for no limit.
  std::uint32_t StartsPerS = 0;
  std::uint64_t Seed = 1;
  /// Empty for none. With workspaces, the offered work is Peak all the time and
  /// divided by their weights, and the policy is Ranked.
  std::vector<workspace_load> Workspaces;
  /// The first workspace offers this many times its share for BurstMs, from
  /// BurstBeginMs on.
  double Burst = 1;
  int BurstBeginMs = 6000;
  int BurstMs = 6000;
  bool UsesShares = true; ///< The levels of workspaces order the work.
  bool UsesRates = true;  ///< Jobs above the rate rank last.
};

/// Jobs of one size, by their work.
struct size_result {
  std::uint32_t Jobs = 0;
  std::uint32_t Served = 0; ///< Done within three times their objective.
  double percent() const { return Jobs == 0 ? 0 : 100.0 * Served / Jobs; }
};

/// Jobs of one peak by latency objective.
struct overload_result {
  std::uint32_t Jobs = 0;
  std::uint32_t InTime = 0;
  std::uint32_t Late = 0;
  /// Lowest share of jobs in time over the seconds of submission.
  std::uint32_t WorstSecondPercent = 100;
  size_result All;
  size_result LargestTenth; ///< The tenth with the most work.
  size_result NextFifth;    ///< The fifth below it.
  /// Worth of the jobs to their callers, and what all jobs in time would be
  /// worth: 0.3 and 0.7 times the work relative to the mean, at most 4, and a
  /// fourteenth of that once the objective has passed.
  double Credit = 0;
  double CreditOwed = 0;
  std::vector<size_result> ByWorkspace;
};

/// Simulates one peak of a queue on one pool until all jobs are finished.
overload_result simulateOverload(order_policy Policy,
                                 const overload_load &Load);

} // namespace lycheetrestle::bench

#endif
