// Simulates one 8 s peak of a queue at 0.8 to 2.5 times the capacity of its
// pool, with a scheduler that starts tasks at once and with slow ones. Prints,
// for the ranked order and for the baselines of smallest job first and of first
// come, first served, the share of jobs in time, the lowest share in time of a
// second, the worth, and the shares of all jobs, of the largest tenth and of
// the fifth below it that finished within three times their objective, over 5
// seeds.

#include "bench/overload_simulation.h"

#include <algorithm>
#include <cstdio>
#include <initializer_list>

using namespace lycheetrestle::bench;

namespace {

constexpr std::uint64_t Seeds = 5;

void add(size_result &Sum, const size_result &Size) {
  Sum.Jobs += Size.Jobs;
  Sum.Served += Size.Served;
}

void print(const char *Name, double Peak, std::uint32_t StartsPerS,
           order_policy Policy) {
  overload_result Sum;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    overload_load Load;
    Load.Peak = Peak;
    Load.StartsPerS = StartsPerS;
    Load.Seed = Seed;
    auto Result = simulateOverload(Policy, Load);
    Sum.Jobs += Result.Jobs;
    Sum.InTime += Result.InTime;
    Sum.Late += Result.Late;
    Sum.Credit += Result.Credit;
    Sum.CreditOwed += Result.CreditOwed;
    add(Sum.All, Result.All);
    add(Sum.LargestTenth, Result.LargestTenth);
    add(Sum.NextFifth, Result.NextFifth);
    Sum.WorstSecondPercent =
        std::min(Sum.WorstSecondPercent, Result.WorstSecondPercent);
  }
  std::printf("%-14s peak %.1f  starts/s %5u  jobs %5u  in time %5.1f %%  "
              "worst second %3u %%  worth %5.1f %%  served: all %5.1f %%  "
              "largest tenth %5.1f %%  next fifth %5.1f %%\n",
              Name, Peak, StartsPerS, Sum.Jobs, 100.0 * Sum.InTime / Sum.Jobs,
              Sum.WorstSecondPercent, 100 * Sum.Credit / Sum.CreditOwed,
              Sum.All.percent(), Sum.LargestTenth.percent(),
              Sum.NextFifth.percent());
}

} // namespace

int main() {
  for (std::uint32_t StartsPerS : {0u, 200u, 100u})
    for (double Peak : {0.8, 1.2, 1.6, 2.0, 2.5}) {
      print("ranked", Peak, StartsPerS, order_policy::Ranked);
      print("smallest first", Peak, StartsPerS, order_policy::SmallestFirst);
      print("first in first", Peak, StartsPerS,
            order_policy::FirstComeFirstServed);
    }
}
