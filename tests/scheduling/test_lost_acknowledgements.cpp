#include "random_site.h"

#include <catch2/catch.hpp>

// Guards against a second run of a task whose endpoint hears no acknowledgement
// of its deregistration and works on for seconds.

using namespace lycheetrestle::scheduling::test;

TEST_CASE("no task runs twice although acknowledgements of deregistrations are "
          "lost") {
  throwing_invariants Invariants;
  auto Seed = GENERATE(range(1, 101));
  bool HasPlatform = GENERATE(false, true);
  INFO("seed " << Seed << ", platform " << HasPlatform);
  disturbances Plan;
  Plan.Rates = {30, 30, 0, 30};
  Plan.Drains = 20;
  Plan.Cuts = 20;
  Plan.LeaderChanges = 5;
  Plan.LostAcknowledgements = 1000;
  Plan.HasPlatform = HasPlatform;
  random_site(static_cast<std::uint64_t>(Seed), Plan).simulate();
}
