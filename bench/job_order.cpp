// Simulates one 8 s peak of a queue at 0.8 to 2.5 times the capacity of its
// pool. Prints, for the ranked order and for the baseline of first come, first
// served, the shares of jobs in time and late, the lowest share in time of a
// second, and the share of the largest tenth of the jobs that finished within
// three times their objective, over 5 seeds.

#include "bench/overload_simulation.h"

#include <cstdio>
#include <initializer_list>

using namespace lycheetrestle::bench;

namespace {

constexpr std::uint64_t Seeds = 5;

void print(const char *Name, double Peak, order_policy Policy) {
  overload_result Sum;
  Sum.WorstSecondPercent = 100;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    overload_load Load;
    Load.Peak = Peak;
    Load.Seed = Seed;
    auto Result = simulateOverload(Policy, Load);
    Sum.Jobs += Result.Jobs;
    Sum.InTime += Result.InTime;
    Sum.Late += Result.Late;
    Sum.LargestTenth += Result.LargestTenth;
    Sum.LargestTenthDone += Result.LargestTenthDone;
    if (Result.WorstSecondPercent < Sum.WorstSecondPercent)
      Sum.WorstSecondPercent = Result.WorstSecondPercent;
  }
  std::printf("%-16s peak %.1f  jobs %5u  in time %5.1f %%  late %5.1f %%  "
              "worst second %3u %%  largest tenth served %5.1f %%\n",
              Name, Peak, Sum.Jobs, 100.0 * Sum.InTime / Sum.Jobs,
              100.0 * Sum.Late / Sum.Jobs, Sum.WorstSecondPercent,
              100.0 * Sum.LargestTenthDone / Sum.LargestTenth);
}

} // namespace

int main() {
  for (double Peak : {0.8, 1.2, 1.6, 2.0, 2.5}) {
    print("ranked", Peak, order_policy::Ranked);
    print("first in first", Peak, order_policy::FirstComeFirstServed);
  }
}
