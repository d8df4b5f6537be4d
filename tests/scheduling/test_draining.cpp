#include "fake_site.h"
#include "schedule_fixture.h"

#include <catch2/catch.hpp>

#include <set>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;

namespace {

/// \returns the tasks of which a stop was sent.
std::set<task_key> stoppedTasks(const fake_site &Site) {
  std::set<task_key> Tasks;
  for (const auto &Order : Site.SentOrders)
    if (const auto *Stop = std::get_if<stop_order>(&Order.Body))
      Tasks.insert(Stop->Task);
  return Tasks;
}

} // namespace

// All stops at once, at the start of a drain that lasts seconds, took all tasks
// of a step away together.
TEST_CASE("tasks on endpoints that drain together are stopped within the "
          "budget of their step, and all before the drain ends") {
  fake_site Site(4, 1, {}, true);
  auto Step = makeStep(4);
  Step.IsLongRunning = true;
  Step.MaxPerEndpoint = 1;
  Step.MaxUnavailable = 1;
  Site.apply(submission(makeJob("l", {Step})));
  Site.run(6000);
  for (std::uint32_t Index = 0; Index != 4; ++Index)
    REQUIRE(Site.State.findTask({"l", 0, 0, Index})->Endpoint != 0);
  REQUIRE(stoppedTasks(Site).empty());
  for (std::uint32_t Index = 0; Index != 4; ++Index)
    Site.drain(Index, 5000);
  // No other endpoint can take over a stopped task.
  Site.run(4000);
  CHECK(stoppedTasks(Site).size() == 1);
  Site.run(900);
  CHECK(stoppedTasks(Site).size() == 4);
}
