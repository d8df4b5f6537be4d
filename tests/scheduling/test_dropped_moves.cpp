#include "fake_site.h"
#include "schedule_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

// Guards against hosts that get no work for as long as the platform does not
// answer the order to move them: tasks stood still beside idle hosts.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;

TEST_CASE("a host whose move gets no answer takes work again") {
  fake_site Site(6, 1, {}, true);
  Site.run(2000);
  Site.setPlatformAvailable(false);
  auto WasMoveSent = [&] {
    return std::any_of(
        Site.SentOrders.begin(), Site.SentOrders.end(), [](const order &Order) {
          return std::holds_alternative<move_host_order>(Order.Body);
        });
  };
  for (int Second = 0; Second != 60 && !WasMoveSent(); ++Second)
    Site.run(1000);
  REQUIRE(WasMoveSent());
  auto Step = makeStep(6, 1000);
  Step.IsLongRunning = true;
  Step.MaxPerEndpoint = 1;
  Site.apply(submission(makeJob("j", {Step})));
  // 3 s in which the order may take effect, and a second attempt of other
  // hosts.
  Site.run(7000);
  for (std::uint32_t Index = 0; Index != 6; ++Index)
    CHECK(Site.runsOn(Index) == 1);
}
