#include "fake_site.h"
#include "schedule_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

// Guards against two faults: work of an endpoint that was only silent for a
// while is started again elsewhere, and the orders of two leaders both take
// effect around a change of leader.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;

namespace {

step_spec spreadStep(std::uint32_t Tasks) {
  auto Step = makeStep(Tasks, 1000);
  Step.IsLongRunning = true;
  Step.MaxPerEndpoint = 1;
  return Step;
}

} // namespace

TEST_CASE("a task on an endpoint that is silent for less than its lease is not "
          "started again") {
  // A lease of 3 s is renewed by polls that wait up to 1.5 s.
  auto SilentMs = GENERATE(100, 400, 800, 1200, 1400);
  bool ChangesLeader = GENERATE(false, true);
  fake_site Site(4, 1, {});
  Site.run(1600);
  Site.apply(submission(makeJob("j", {spreadStep(3)})));
  Site.run(2000);
  REQUIRE(Site.Starts == 3);
  for (int Round = 0; Round != 8; ++Round) {
    auto Index = static_cast<std::uint32_t>(Round % 4);
    Site.setReachable(Index, false);
    Site.run(SilentMs / 2);
    if (ChangesLeader && Round == 4)
      Site.changeLeader();
    Site.run(SilentMs - SilentMs / 2);
    Site.setReachable(Index, true);
    Site.run(2100);
  }
  CHECK(Site.Starts == 3);
  CHECK(Site.State.findJob("j")->State == job_state::Running);
  for (std::uint32_t Index = 0; Index != 3; ++Index)
    CHECK(Site.State.findTask({"j", 0, 0, Index})->Attempt == 1);
}

TEST_CASE("starts of an earlier leader that are executed late start no task a "
          "second time") {
  auto Seed = GENERATE(range(1, 30));
  fault_rates Rates;
  Rates.LateOrders = 700;
  fake_site Site(4, static_cast<std::uint64_t>(Seed), Rates);
  Site.run(1600);
  Site.apply(submission(makeJob("j", {spreadStep(4)})));
  Site.run(60 + Seed * 20);
  Site.changeLeader();
  Site.setFaults({});
  // Late orders are executed up to 12 s after they were sent.
  Site.run(15'000);
  CHECK(Site.MaxConcurrentRuns == 1);
  std::size_t Runs = 0;
  for (std::uint32_t Index = 0; Index != 4; ++Index)
    Runs += Site.runsOn(Index);
  CHECK(Runs == 4);
  for (const auto &[Task, Record] : Site.TaskCrashes)
    CHECK(Record.Starts <= Site.State.findTask(Task)->Attempt);
}
