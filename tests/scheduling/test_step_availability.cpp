#include "scheduling/step_availability.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <random>
#include <vector>

using namespace lycheetrestle::scheduling;

namespace {

struct task {
  std::uint32_t Endpoint = 0;
  bool IsUnavailable = false;
};

/// \returns what a pass over the other tasks counts.
std::uint32_t countPeers(const std::vector<task> &Tasks, std::size_t Index,
                         bool IsEndpointInterrupted) {
  std::uint32_t Count = 0;
  for (std::size_t Peer = 0; Peer != Tasks.size(); ++Peer) {
    bool IsColocated = Tasks[Peer].Endpoint == Tasks[Index].Endpoint;
    Count += Peer != Index && (Tasks[Peer].IsUnavailable ||
                               (IsEndpointInterrupted && IsColocated));
  }
  return Count;
}

} // namespace

// A count that is too small ends more tasks of a step than its budget allows.
TEST_CASE("the availability of a step counts what a pass over its tasks does") {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    CAPTURE(Seed);
    std::mt19937_64 Random(Seed);
    std::vector<task> Tasks(1 + Random() % 30);
    step_availability Availability;
    for (auto &Task : Tasks) {
      Task.Endpoint = static_cast<std::uint32_t>(1 + Random() % 12);
      Task.IsUnavailable = Random() % 4 == 0;
      Availability.add(Task.Endpoint, Task.IsUnavailable);
    }
    for (std::uint32_t Index = 0; Index != Tasks.size(); ++Index) {
      CHECK(Availability.unavailablePeers(Index) ==
            countPeers(Tasks, Index, false));
      CHECK(Availability.unavailablePeersWithout(Index) ==
            countPeers(Tasks, Index, true));
    }
  }
}
