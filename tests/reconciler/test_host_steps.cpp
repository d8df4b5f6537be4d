#include "reconciler/reconciler.h"
#include "tests/reconciler/deployments.h"
#include "tests/reconciler/fleet_run.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::testing;
using fleet::host_state;

namespace {

core::time_point at(std::int64_t Ms) {
  return core::time_point(std::chrono::milliseconds(Ms));
}

// A fleet whose host w100 is cordoned; the tests set the reports of its
// entries.
struct cordon_fixture {
  fleet::fleet_state State;
  std::vector<platform::host_report> Reports;
  std::vector<reconciler::entry_status> Entries;
  reconciler::reconciler Reconciler{{}};
  std::uint64_t Index = 0;

  cordon_fixture() : Entries(12) {
    auto Declaration = declarationOf(threeZones());
    for (const auto &Host : Declaration.Hosts)
      Reports.push_back(
          {Host.Name, Host.HomePool, platform::host_condition::Up, 0, {}});
    commit(fleet::submit_declaration{Declaration});
    commit(fleet::request_host_goal{"w100", fleet::host_goal::Reboot, ""});
    Reconciler.reset(at(0));
    run(0);
    REQUIRE(state() == host_state::Cordoned);
  }

  void commit(fleet::command_body Body) {
    fleet::command Command;
    Command.Actor = "test";
    Command.TimeMs = 1000;
    Command.Body = std::move(Body);
    State.apply(Command, ++Index);
  }
  host_state state() const { return State.hosts().at("w100").State; }
  std::vector<platform::order> run(std::int64_t Ms) {
    auto Output = Reconciler.plan(State, Reports, Entries, at(Ms), 1000 + Ms);
    for (auto &Command : Output.Commands)
      commit(std::move(Command));
    return Output.Orders;
  }
  // The first Count entries report at Ms with the newest view.
  void confirm(std::size_t Count, std::int64_t Ms) {
    for (std::size_t Number = 0; Number < Count; ++Number) {
      Entries[Number].HasReported = true;
      Entries[Number].LastReportAt = at(Ms);
      Entries[Number].ViewIndex = State.viewIndex();
    }
  }
};

} // namespace

// Guards against a drain that interrupts requests of an entry that has not
// received the cordon yet.
TEST_CASE("a cordon waits for every entry's confirmation") {
  cordon_fixture F;
  F.confirm(11, 100);
  F.run(200);
  CHECK(F.state() == host_state::Cordoned);
  F.confirm(12, 300);
  F.Entries[3].InFlightByHost["w100"] = 1;
  F.run(400);
  CHECK(F.state() == host_state::Cordoned);
  F.Entries[3].InFlightByHost["w100"] = 0;
  F.run(500);
  CHECK(F.state() == host_state::Draining);
}

// Guards against a drain while an entry that has stopped reporting still
// serves.
TEST_CASE("a cordon waits for a silent entry as long as it may serve") {
  cordon_fixture F;
  for (std::int64_t Ms = 200; Ms <= 3600; Ms += 200) {
    F.confirm(11, Ms);
    F.run(Ms);
    CHECK(F.state() == host_state::Cordoned);
  }
  F.confirm(11, 3900);
  F.run(3900);
  CHECK(F.state() == host_state::Draining);
}

// Entries without control serve as long as they reach a majority of their
// peers, so silence of most entries does not show that they have stopped.
TEST_CASE("a cordon does not end while most entries are silent") {
  cordon_fixture F;
  for (std::int64_t Ms = 200; Ms <= 20'000; Ms += 200) {
    F.confirm(6, Ms);
    F.run(Ms);
  }
  CHECK(F.state() == host_state::Cordoned);
}

TEST_CASE(
    "orders to an unreachable platform are repeated and nothing new starts") {
  cordon_fixture F;
  F.confirm(12, 100);
  F.run(200);
  REQUIRE(F.state() == host_state::Draining);
  F.commit(fleet::request_host_goal{"w101", fleet::host_goal::Reboot, ""});
  for (std::int64_t Ms = 400; Ms < 20'000; Ms += 200) {
    auto Output =
        F.Reconciler.plan(F.State, std::nullopt, F.Entries, at(Ms), Ms);
    CHECK(Output.Commands.empty());
    REQUIRE(Output.Orders.size() == 1);
    CHECK(Output.Orders[0].Kind == platform::order_kind::Drain);
    CHECK(Output.Orders[0].Epoch == F.State.hosts().at("w100").Epoch);
  }
}

// Reports under an older epoch describe the host before the order.
TEST_CASE("a report under an old epoch completes no step") {
  cordon_fixture F;
  F.confirm(12, 100);
  F.run(200);
  auto Epoch = F.State.hosts().at("w100").Epoch;
  F.Reports[0].Condition = platform::host_condition::Drained;
  F.Reports[0].Epoch = Epoch - 1;
  F.run(400);
  CHECK(F.state() == host_state::Draining);
  F.Reports[0].Epoch = Epoch;
  F.Reports[0].Tasks.push_back({7, 1, fleet::job_state::Running, {}, 0, ""});
  F.run(600);
  CHECK(F.state() == host_state::Draining);
  F.Reports[0].Tasks.clear();
  F.run(800);
  CHECK(F.state() == host_state::Drained);
}

// Guards against a drain that never ends: a host that restarts by itself during
// the drain is up again, and the platform repeats the result of the drain order
// without executing it.
TEST_CASE("a drain lost by a restart of the host fails after the timeout") {
  cordon_fixture F;
  F.confirm(12, 100);
  F.run(200);
  REQUIRE(F.state() == host_state::Draining);
  F.Reports[0].Epoch = F.State.hosts().at("w100").Epoch;
  F.run(590'000);
  CHECK(F.state() == host_state::Draining);
  F.run(601'000);
  CHECK(F.state() == host_state::Failed);
  F.run(601'200);
  CHECK(F.state() == host_state::Returning);
}

TEST_CASE("only a long outage counts as a failure") {
  cordon_fixture F;
  F.Reports[1].Condition = platform::host_condition::Down;
  F.run(1000);
  F.run(5500);
  CHECK(F.State.hosts().at("w101").State == host_state::InService);
  F.run(6100);
  CHECK(F.State.hosts().at("w101").State == host_state::Failed);
  F.Reports[1].Condition = platform::host_condition::Up;
  F.run(6300);
  CHECK(F.State.hosts().at("w101").State == host_state::Returning);
}

// Guards against a planned step that takes the pool under its minimum once a
// host that is down, but not failed yet, counts as lost.
TEST_CASE("a host reported down already counts against the budget") {
  cordon_fixture F;
  const auto &Hosts = F.State.hosts();
  auto Pool = Hosts.at("w100").Pool;
  std::uint32_t Slack = 0;
  for (const auto &Summary : F.State.pools())
    if (Summary.Name == Pool)
      Slack = Summary.Available - Summary.Minimum;
  std::vector<std::string> Rest;
  for (auto &Report : F.Reports) {
    if (Report.Pool != Pool || Report.Host == "w100")
      continue;
    if (Slack > 0) {
      Report.Condition = platform::host_condition::Down;
      --Slack;
    } else {
      Rest.push_back(Report.Host);
    }
  }
  F.commit(
      fleet::request_host_goal{Rest.front(), fleet::host_goal::Reboot, ""});
  F.run(1000);
  CHECK(Hosts.at(Rest.front()).State == host_state::InService);
}

// The losses are committed only after this round, so the state alone would let
// the wave go on.
TEST_CASE("a wave takes no host in the round that finds its second loss") {
  cordon_fixture F;
  F.commit(fleet::start_wave{});
  F.run(200);
  int Lost = 0;
  for (auto &Report : F.Reports)
    if (F.State.hosts().at(Report.Host).Wave != 0 && Lost < 2) {
      Report.Condition = platform::host_condition::Down;
      ++Lost;
    }
  REQUIRE(Lost == 2);
  F.run(1000);
  // The limit of parallel hosts rises before the same round.
  auto Declaration = F.State.currentDeclaration();
  Declaration.Number = 2;
  Declaration.Maintenance.MaxParallelHosts = 12;
  F.commit(fleet::submit_declaration{Declaration});
  auto Output =
      F.Reconciler.plan(F.State, F.Reports, F.Entries, at(6200), 7200);
  int Failed = 0;
  for (const auto &Command : Output.Commands)
    if (const auto *Change = std::get_if<fleet::change_host_state>(&Command)) {
      CHECK(Change->To != host_state::Cordoned);
      Failed += Change->To == host_state::Failed ? 1 : 0;
    }
  CHECK(Failed == 2);
}

TEST_CASE("a host whose declared home changes is moved there once") {
  fleet_run Run(threeZones(), 11);
  auto Declaration = declarationOf(threeZones());
  Declaration.Number = 2;
  auto &Spec = Declaration.Hosts[0];
  auto Target = Spec.HomePool == "plots" ? "water" : "plots";
  Spec.HomePool = Target;
  REQUIRE_FALSE(Run.commit(fleet::submit_declaration{Declaration}).Failure);
  for (int Round = 0; Round < 600 && Run.Violation.empty(); ++Round) {
    Run.round();
    if (Round == 40)
      Run.changeLeader();
  }
  INFO(Run.dump());
  CHECK(Run.Violation == "");
  CHECK(Run.State.hosts().at(Spec.Name).Pool == Target);
  CHECK(Run.allInService());
  CHECK(Run.Moves == 1);
}
