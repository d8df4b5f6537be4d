#include "fake_site.h"
#include "schedule_fixture.h"

#include <catch2/catch.hpp>

// Guards against an endpoint that refused one order as fenced and was never
// used again by a leader that goes on, and against its runs, which stood still
// for good because nothing ended them.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;

namespace {

void submitLongRunning(fake_site &Site, std::uint32_t Tasks) {
  auto Step = makeStep(Tasks, 1000);
  Step.IsLongRunning = true;
  Step.MaxPerEndpoint = 1;
  Site.apply(submission(makeJob("j", {Step})));
}

} // namespace

TEST_CASE("runs on an endpoint that obeys a higher fencing token start "
          "elsewhere when their leases have expired") {
  fake_site Site(3, 1, {});
  Site.run(1600);
  submitLongRunning(Site, 2);
  Site.run(2000);
  std::uint32_t Fenced = Site.runsOn(0) > 0 ? 0 : 1;
  REQUIRE(Site.runsOn(Fenced) == 1);
  Site.raiseFence(Fenced, std::uint64_t(1) << 50);
  // The longest lease that the fake endpoint may hold, and a start.
  Site.run(10'000);
  CHECK(Site.runsOn(Fenced) == 0);
  CHECK(Site.runsOn(0) + Site.runsOn(1) + Site.runsOn(2) == 2);
}

TEST_CASE("an endpoint that obeyed an order for another incarnation of its id "
          "is used again by the same leader") {
  fake_site Site(2, 1, {});
  Site.run(1600);
  // The number of an incarnation that is recorded later is higher.
  Site.raiseFence(0, (std::uint64_t(1) << 28) + 2);
  submitLongRunning(Site, 2);
  Site.run(15'000);
  CHECK(Site.runsOn(0) == 1);
  CHECK(Site.runsOn(1) == 1);
}
