#include "fleet_fixture.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle::fleet;

namespace {

fleet_fixture startedFleet() {
  fleet_fixture Fleet;
  REQUIRE(Fleet.declare(smallDeclaration(1)) == "accepted");
  return Fleet;
}

std::string request(fleet_fixture &Fleet, const std::string &Host,
                    host_goal Goal, std::string Pool = "") {
  return Fleet.code(request_host_goal{Host, Goal, std::move(Pool)}, "", "ann");
}

/// Brings a host in service to Drained for a goal.
void drain(fleet_fixture &Fleet, const std::string &Name, host_goal Goal,
           const std::string &Pool = "") {
  REQUIRE(Fleet.step(Name, host_state::Cordoned, Goal, Pool) == "accepted");
  REQUIRE(Fleet.step(Name, host_state::Draining) == "accepted");
  REQUIRE(Fleet.step(Name, host_state::Drained) == "accepted");
}

} // namespace

TEST_CASE("a reboot takes a host through its whole life cycle") {
  auto Fleet = startedFleet();
  drain(Fleet, "w1", host_goal::Reboot);
  CHECK(Fleet.pool("gate").Available == 7);
  for (auto To :
       {host_state::Rebooting, host_state::Returning, host_state::InService})
    CHECK(Fleet.step("w1", To) == "accepted");
  CHECK(Fleet.host("w1").Epoch == 7);
  CHECK(Fleet.host("w1").Goal == host_goal::None);
  CHECK(Fleet.pool("gate").Available == 8);
  CHECK(Fleet.State.viewIndex() == Fleet.Index);
}

TEST_CASE("the pool changes only when a move ends") {
  auto Fleet = startedFleet();
  drain(Fleet, "w1", host_goal::Move, "records");
  REQUIRE(Fleet.step("w1", host_state::Moving) == "accepted");
  CHECK(Fleet.host("w1").Pool == "gate");
  REQUIRE(Fleet.step("w1", host_state::Returning) == "accepted");
  CHECK(Fleet.host("w1").Pool == "records");
  CHECK(Fleet.pool("gate").Hosts == 7);
  CHECK(Fleet.pool("records").Hosts == 5);
  CHECK(Fleet.host("w1").TargetPool.empty());
}

// The platform has not moved a host that failed before its move ended.
TEST_CASE("a host that is lost before its move ends keeps its pool") {
  auto Fleet = startedFleet();
  drain(Fleet, "w1", host_goal::Move, "records");
  Fleet.step("w1", host_state::Moving);
  Fleet.step("w1", host_state::Failed);
  REQUIRE(Fleet.step("w1", host_state::Returning) == "accepted");
  CHECK(Fleet.host("w1").Pool == "gate");
  CHECK(Fleet.host("w1").Goal == host_goal::Move);
}

// The decision of a former leader must not apply to a host whose state has
// changed since.
TEST_CASE("a transition from an older epoch is refused") {
  auto Fleet = startedFleet();
  drain(Fleet, "w1", host_goal::Reboot);
  CHECK(Fleet.code(change_host_state{
            "w1", 3, host_state::Rebooting, {}, "", 0, ""}) == "stale-epoch");
  CHECK(Fleet.code(change_host_state{
            "w1", 5, host_state::Rebooting, {}, "", 0, ""}) == "stale-epoch");
  CHECK(Fleet.host("w1").State == host_state::Drained);
}

TEST_CASE("illegal transitions are refused") {
  auto Fleet = startedFleet();
  for (auto To :
       {host_state::InService, host_state::Draining, host_state::Drained,
        host_state::Rebooting, host_state::Moving, host_state::Returning})
    CHECK(Fleet.step("w1", To, host_goal::Reboot) == "conflict");
  CHECK(Fleet.step("w1", host_state::Cordoned) == "bad-input");
  CHECK(Fleet.step("w1", host_state::Cordoned, host_goal::Move, "absent") ==
        "not-found");
  CHECK(Fleet.step("w1", host_state::Cordoned, host_goal::Move, "gate") ==
        "conflict");
  CHECK(Fleet.step("absent", host_state::Failed) == "not-found");
  drain(Fleet, "w1", host_goal::Reboot);
  CHECK(Fleet.step("w1", host_state::Moving) == "conflict");
  CHECK(Fleet.host("w1").Epoch == 4);
}

// The budget must hold whatever a leader decides, so the state machine checks
// it.
TEST_CASE("a planned transition that would break the budget is refused") {
  auto Fleet = startedFleet();
  for (int Host = 1; Host <= 4; ++Host)
    CHECK(Fleet.step("w" + std::to_string(Host), host_state::Cordoned,
                     host_goal::Reboot) == "accepted");
  CHECK(Fleet.step("w5", host_state::Cordoned, host_goal::Reboot) ==
        "budget-exceeded");
  CHECK(Fleet.step("w5", host_state::Cordoned, host_goal::Move, "records") ==
        "budget-exceeded");
  CHECK(Fleet.pool("gate").Available == 4);
}

TEST_CASE("lost hosts count against the budget") {
  auto Fleet = startedFleet();
  for (int Host = 1; Host <= 3; ++Host)
    CHECK(Fleet.step("w" + std::to_string(Host), host_state::Failed) ==
          "accepted");
  CHECK(Fleet.step("w4", host_state::SetAside) == "accepted");
  CHECK(Fleet.step("w5", host_state::Cordoned, host_goal::Drain) ==
        "budget-exceeded");
  CHECK(Fleet.step("w5", host_state::Failed) == "accepted");
  CHECK(Fleet.pool("gate").Available == 3);
}

// A pool that failures left below its budget needs its drained hosts back.
TEST_CASE("a host does not leave a pool that is below its budget") {
  auto Fleet = startedFleet();
  drain(Fleet, "r1", host_goal::Move, "gate");
  Fleet.step("r2", host_state::Failed);
  Fleet.step("r3", host_state::Failed);
  CHECK(Fleet.step("r1", host_state::Moving) == "budget-exceeded");
  CHECK(request(Fleet, "r1", host_goal::None) == "accepted");
  CHECK(Fleet.step("r1", host_state::Returning) == "accepted");
  CHECK(Fleet.step("r1", host_state::InService) == "accepted");
  CHECK(Fleet.pool("records").Available == 2);
}

TEST_CASE("a requested goal is kept until it is carried out") {
  auto Fleet = startedFleet();
  CHECK(request(Fleet, "w1", host_goal::Reboot) == "accepted");
  CHECK(Fleet.host("w1").Goal == host_goal::Reboot);
  CHECK(Fleet.host("w1").State == host_state::InService);
  CHECK(Fleet.host("w1").Epoch == 1);
  // A decision of the system must not replace the operator's request.
  CHECK(Fleet.step("w1", host_state::Cordoned, host_goal::Move, "records") ==
        "conflict");
  drain(Fleet, "w1", host_goal::Reboot);
  Fleet.step("w1", host_state::Failed);
  CHECK(Fleet.host("w1").Goal == host_goal::Reboot);
  Fleet.step("w1", host_state::Returning);
  Fleet.step("w1", host_state::InService);
  CHECK(Fleet.host("w1").Goal == host_goal::Reboot);
  drain(Fleet, "w1", host_goal::Reboot);
  Fleet.step("w1", host_state::Rebooting);
  Fleet.step("w1", host_state::Returning);
  CHECK(Fleet.host("w1").Goal == host_goal::None);
}

TEST_CASE("a goal requested during a reboot takes effect after it") {
  auto Fleet = startedFleet();
  drain(Fleet, "w1", host_goal::Reboot);
  Fleet.step("w1", host_state::Rebooting);
  CHECK(request(Fleet, "w1", host_goal::Move, "records") == "accepted");
  CHECK(Fleet.host("w1").Goal == host_goal::Reboot);
  Fleet.step("w1", host_state::Returning);
  CHECK(Fleet.host("w1").Goal == host_goal::Move);
  CHECK(Fleet.host("w1").TargetPool == "records");
}

TEST_CASE("a drained host stays out until its return is requested") {
  auto Fleet = startedFleet();
  drain(Fleet, "w1", host_goal::Drain);
  CHECK(Fleet.step("w1", host_state::Returning) == "conflict");
  CHECK(request(Fleet, "w1", host_goal::None) == "accepted");
  CHECK(Fleet.step("w1", host_state::Returning) == "accepted");
}

TEST_CASE("a host that is set aside stays out until its return is requested") {
  auto Fleet = startedFleet();
  Fleet.step("w1", host_state::SetAside);
  CHECK(Fleet.step("w1", host_state::Returning) == "conflict");
  CHECK(request(Fleet, "w1", host_goal::None) == "accepted");
  CHECK(Fleet.step("w1", host_state::Returning) == "accepted");
}

TEST_CASE("a pool that is the target of a requested move cannot be removed") {
  auto Fleet = startedFleet();
  auto Next = smallDeclaration(2);
  Next.Pools.push_back({"new", {0, std::nullopt}, false, false});
  REQUIRE(Fleet.declare(Next) == "accepted");
  REQUIRE(request(Fleet, "w1", host_goal::Move, "new") == "accepted");
  CHECK(Fleet.declare(smallDeclaration(3)) == "conflict");
  request(Fleet, "w1", host_goal::None);
  CHECK(Fleet.declare(smallDeclaration(3)) == "accepted");
}
