#include "fleet_fixture.h"

#include <catch2/catch.hpp>

#include <random>

using namespace lycheetrestle;
using namespace lycheetrestle::fleet;

namespace {

/// \returns a state with at least one record of every kind.
fleet_fixture populatedFleet() {
  fleet_fixture Fleet;
  Fleet.declare(smallDeclaration(1), "s1", "ann");
  Fleet.declare(smallDeclaration(1), "s2", "bob");
  Fleet.step("w8", host_state::Failed);
  auto Smaller = smallDeclaration(2);
  Smaller.Hosts.erase(Smaller.Hosts.begin() + 7);
  Fleet.declare(Smaller, "s3", "ann");
  Fleet.code(start_wave{}, "s4", "ann");
  Fleet.step("w1", host_state::Cordoned, host_goal::Reboot, "", 1);
  Fleet.code(request_host_goal{"w2", host_goal::Move, "records"}, "s5", "ann");
  for (int Job = 1; Job <= 3; ++Job)
    Fleet.code(submit_job{"planning", "gate", {}, {8, 1024, 0}, 60});
  Fleet.code(start_job{1, "w3", 1, Fleet.TimeMs + 1'000});
  Fleet.code(cancel_job{2});
  for (const auto *Key : {"k1", "k2", "k3", "k4"})
    Fleet.code(reserve_key{Key, 7, "e1"});
  for (const auto *Key : {"k3", "k1"})
    Fleet.code(complete_key{Key, "e1", 200, "text/plain", "body", false});
  return Fleet;
}

core::outcome<fleet_state> restore(std::string_view Bytes) {
  return core::capture([&] { return fleet_state::restore(Bytes); });
}

} // namespace

TEST_CASE("a restored state equals the original and continues identically") {
  auto Fleet = populatedFleet();
  auto Bytes = Fleet.State.snapshot();
  auto Outcome = restore(Bytes);
  REQUIRE(Outcome.index() == 0);
  auto &Restored = std::get<0>(Outcome);
  CHECK(Restored.snapshot() == Bytes);
  CHECK(Restored.digest() == Fleet.State.digest());
  CHECK(Restored.hosts() == Fleet.State.hosts());
  CHECK(Restored.jobs() == Fleet.State.jobs());
  CHECK(Restored.findSubmission("s2")->Failure->Message ==
        Fleet.State.findSubmission("s2")->Failure->Message);
  CHECK(Restored.audit({}) == Fleet.State.audit({}));
  for (const command_body &Body : std::vector<command_body>{
           start_job{3, "w3", 1, Fleet.TimeMs + 1'000},
           change_job_state{1, 1, job_state::Succeeded, {}, ""}, start_wave{},
           finish_wave{1},
           change_host_state{"w1", 2, host_state::Failed, {}, "", 0, ""},
           submit_declaration{smallDeclaration(3)}}) {
    ++Fleet.Index;
    command Command{"", "ann", Fleet.TimeMs, Body};
    auto First = Fleet.State.apply(Command, Fleet.Index);
    auto Second = Restored.apply(Command, Fleet.Index);
    CHECK(First.Response == Second.Response);
    CHECK(First.Failure.has_value() == Second.Failure.has_value());
  }
  // The last declaration adds w8 again, with an epoch above its former one.
  CHECK(Fleet.host("w8").Epoch == 3);
  CHECK(Restored.digest() == Fleet.State.digest());
}

TEST_CASE("an empty state round-trips") {
  fleet_state State;
  auto Outcome = restore(State.snapshot());
  REQUIRE(Outcome.index() == 0);
  CHECK(std::get<0>(Outcome).digest() == State.digest());
}

TEST_CASE("truncated and extended snapshots are refused") {
  auto Bytes = populatedFleet().State.snapshot();
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    REQUIRE(restore(std::string_view(Bytes).substr(0, Size)).index() == 1);
  CHECK(restore(Bytes + '\0').index() == 1);
  CHECK(restore(std::string(3u << 20, '\x81')).index() == 1);
}

// A corrupted snapshot must be refused or give a state that keeps its
// invariants; a broken invariant would abort this test.
TEST_CASE("random changes of a snapshot never break an invariant") {
  std::mt19937_64 Random(20261204);
  auto Bytes = populatedFleet().State.snapshot();
  int Accepted = 0;
  for (int Round = 0; Round < 3'000; ++Round) {
    auto Changed = Bytes;
    Changed[Random() % Changed.size()] = static_cast<char>(Random());
    auto Outcome = restore(Changed);
    if (Outcome.index() == 1)
      continue;
    ++Accepted;
    auto &State = std::get<0>(Outcome);
    auto Index = State.appliedIndex() + 1;
    if (Index == 0)
      continue;
    State.apply({"", "ann", 0, start_job{3, "w3", 1, INT64_MAX}}, Index);
    State.apply({"", "ann", 0, cancel_job{1}}, Index + 1);
  }
  INFO("accepted " << Accepted);
  CHECK(Accepted > 0);
}
