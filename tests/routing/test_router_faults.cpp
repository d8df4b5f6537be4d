#include "core/invariant.h"
#include "simulated_cluster.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>
#include <stdexcept>

using namespace lycheetrestle;

namespace {

std::uint64_t numberFrom(const char *Variable, std::uint64_t Default) {
  const char *Text = std::getenv(Variable);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

} // namespace

// Guards against defects that appear only when several failures coincide: a key
// that runs twice, a wrong verdict, a lost or swapped response, work for an
// endpoint that left, an entry that serves an old version, and state that never
// drains. LT_FIRST_SEED replays a seed; LT_SEEDS is the number of seeds.
TEST_CASE("requests keep their guarantees under random faults") {
  core::setInvariantHandler([](std::string_view Invariant) {
    throw std::logic_error(std::string(Invariant));
  });
  auto First = numberFrom("LT_FIRST_SEED", 1);
  auto Count = numberFrom("LT_SEEDS", 10);
  for (auto Seed = First; Seed < First + Count; ++Seed) {
    routing::test::simulated_cluster Cluster(Seed);
    try {
      Cluster.run();
    } catch (const std::exception &Exception) {
      FAIL("replay with LT_FIRST_SEED=" << Seed
                                        << " LT_SEEDS=1: " << Exception.what());
    }
    CHECK(Cluster.executed() > 500);
    if (std::getenv("LT_VERBOSE"))
      std::cout << "seed=" << Seed << " " << Cluster.summary() << "\n";
  }
}
