// Prints what callers get from a pool that is offered several times its
// capacity for 4 s of each 16 s: with decisions on admission, and with the
// baselines that accept all jobs.

#include "bench/admission_simulation.h"

#include <cstdio>
#include <utility>
#include <vector>

using namespace lycheetrestle::bench;

namespace {

constexpr std::uint64_t Seeds = 5;

void print(const char *Name, const outcome_shares &Shares) {
  std::printf("  %-10s %6zu %8.3f %8.3f %8.3f %8.3f %8.3f\n", Name, Shares.Jobs,
              Shares.InTime, Shares.Late, Shares.InTimeSinceAccepted,
              Shares.Useless, Shares.Refused);
}

std::vector<caller_outcome> simulateSeeds(admission_policy Policy,
                                          admission_load Load) {
  std::vector<caller_outcome> All;
  for (Load.Seed = 1; Load.Seed <= Seeds; ++Load.Seed) {
    auto Outcomes = simulateAdmission(Policy, Load);
    All.insert(All.end(), Outcomes.begin(), Outcomes.end());
  }
  return All;
}

void compare(const admission_load &Load) {
  auto AcceptAll = simulateSeeds(admission_policy::AcceptAll, Load);
  for (auto [Policy, Name] :
       {std::pair(admission_policy::Decide, "decide"),
        std::pair(admission_policy::AcceptAll, "accept all"),
        std::pair(admission_policy::FirstComeFirstServed,
                  "first come first served")}) {
    auto Outcomes = simulateSeeds(Policy, Load);
    auto Summary = summarize(Outcomes);
    std::size_t Refused = 0;
    std::size_t NeedlesslyRefused = 0;
    for (std::size_t Index = 0; Index != Outcomes.size(); ++Index) {
      Refused += Outcomes[Index].Refusals > 0;
      NeedlesslyRefused +=
          Outcomes[Index].Refusals > 0 && AcceptAll[Index].isUseful();
    }
    std::printf("peak %.1f, over rate %.2f, %s: refused at first %zu, of use "
                "if all are accepted %zu, worst class or size %.3f\n",
                Load.Peak, Load.OverRateShare, Name, Refused, NeedlesslyRefused,
                Summary.worstInTime());
    print("all", Summary.All);
    print("class 0", Summary.Classes[0]);
    print("class 1", Summary.Classes[1]);
    print("class 2", Summary.Classes[2]);
    print("small", Summary.Sizes[0]);
    print("medium", Summary.Sizes[1]);
    print("large", Summary.Sizes[2]);
  }
}

} // namespace

int main() {
  std::printf("  %-10s %6s %8s %8s %8s %8s %8s\n", "", "jobs", "in_time",
              "late", "in_time*", "useless", "refused");
  std::printf(
      "  in_time and late count from the first submission, in_time* and "
      "useless from the accepted one\n");
  for (double Peak : {2.0, 4.0})
    for (double OverRateShare : {0.0, 0.3}) {
      admission_load Load;
      Load.Peak = Peak;
      Load.OverRateShare = OverRateShare;
      compare(Load);
    }
}
