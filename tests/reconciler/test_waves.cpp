#include "tests/reconciler/fleet_run.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::testing;

namespace {

const fleet::wave_record &lastWave(const fleet_run &Run) {
  return Run.State.waves().rbegin()->second;
}

void runFor(fleet_run &Run, std::int64_t Ms) {
  for (auto End = Run.NowMs + Ms; Run.NowMs < End && Run.Violation.empty();)
    Run.round();
}

} // namespace

// A new leader has only the replicated log: it must neither reboot a host again
// nor skip one.
TEST_CASE("a wave continues under new leaders and reboots each host once") {
  for (const auto &Shape : {threeZones(), fourZones()}) {
    fleet_run Run(Shape, 7);
    Run.commit(fleet::start_wave{});
    for (int Round = 0; Round < 6000 && Run.Violation.empty() &&
                        lastWave(Run).State != fleet::wave_state::Finished;
         ++Round) {
      Run.round();
      if (Round % 47 == 46)
        Run.changeLeader();
    }
    INFO(Run.dump());
    CHECK(Run.Violation == "");
    CHECK(lastWave(Run).State == fleet::wave_state::Finished);
    CHECK(Run.allInService());
    CHECK(Run.Reboots.size() == Shape.Hosts);
    for (const auto &[Host, Count] : Run.Reboots)
      CHECK(Count == 1);
  }
}

TEST_CASE("hosts that do not return from a reboot pause the wave") {
  fleet_run Run(threeZones(), 3);
  for (const auto &[Name, Host] : Run.State.hosts())
    Run.setFaults(Name, {false, true, false, false});
  Run.commit(fleet::start_wave{});
  runFor(Run, 60'000);
  INFO(Run.dump());
  CHECK(Run.Violation == "");
  CHECK(lastWave(Run).State == fleet::wave_state::Paused);
  // The only further losses are hosts that were already out of service when the
  // first two failed.
  CHECK(Run.Reboots.size() <= 8);
  for (const auto &Pool : Run.State.pools())
    CHECK(Pool.Available >= Pool.Minimum);
}

// Unplanned losses use up the budget, so the wave must wait.
TEST_CASE("a lost zone leaves no budget for a wave") {
  fleet_run Run(threeZones(), 5);
  for (const auto &[Name, Host] : Run.State.hosts())
    if (Host.Spec.Zone == "k1")
      Run.setFaults(Name, {true, false, false, false});
  Run.commit(fleet::start_wave{});
  runFor(Run, 30'000);
  INFO(Run.dump());
  CHECK(Run.Violation == "");
  CHECK(Run.Reboots.empty());
  for (const auto &[Name, Host] : Run.State.hosts())
    Run.setFaults(Name, {});
  runFor(Run, 300'000);
  if (lastWave(Run).State == fleet::wave_state::Paused) {
    Run.commit(fleet::resume_wave{lastWave(Run).Id});
    runFor(Run, 300'000);
  }
  INFO(Run.dump());
  CHECK(lastWave(Run).State == fleet::wave_state::Finished);
  CHECK(Run.allInService());
}

TEST_CASE("an operator's goal has priority over the wave") {
  fleet_run Run(fourZones(), 9);
  Run.commit(fleet::start_wave{});
  Run.commit(fleet::request_host_goal{"w100", fleet::host_goal::Drain, ""});
  runFor(Run, 200'000);
  INFO(Run.dump());
  CHECK(Run.State.hosts().at("w100").State == fleet::host_state::Drained);
  CHECK(lastWave(Run).State == fleet::wave_state::Running);
  CHECK(Run.Reboots.count("w100") == 0);
  Run.commit(fleet::request_host_goal{"w100", fleet::host_goal::None, ""});
  runFor(Run, 30'000);
  CHECK(Run.Violation == "");
  CHECK(lastWave(Run).State == fleet::wave_state::Finished);
  CHECK(Run.Reboots["w100"] == 1);
}
