#include "bench/overload_simulation.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle::bench;

// With first come, first served all jobs become late once a peak exceeds the
// capacity of the pool.
TEST_CASE("in a peak over twice the capacity ranking keeps more jobs in time "
          "than first come, first served") {
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    overload_load Load;
    Load.Seed = Seed;
    auto Ranked = simulateOverload(order_policy::Ranked, Load);
    auto Baseline = simulateOverload(order_policy::FirstComeFirstServed, Load);
    INFO("seed " << Seed << ": " << Ranked.InTime << " and " << Baseline.InTime
                 << " of " << Ranked.Jobs);
    CHECK(Ranked.InTime > 1.2 * Baseline.InTime);
    CHECK(Ranked.WorstSecondPercent >= Baseline.WorstSecondPercent);
  }
}

TEST_CASE("below the capacity of the pool nearly all jobs are in time") {
  overload_load Load;
  Load.Peak = 0.8;
  auto Ranked = simulateOverload(order_policy::Ranked, Load);
  CHECK(Ranked.InTime > 0.95 * Ranked.Jobs);
}
