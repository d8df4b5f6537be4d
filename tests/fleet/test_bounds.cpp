#include "fleet_fixture.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle::fleet;

// Guards against a state that outgrows the 32 MB limit of its process.
TEST_CASE("submissions and audit records are kept up to their bounds") {
  fleet_fixture Fleet;
  Fleet.declare(smallDeclaration(1), "first", "ann");
  for (int Count = 0; Count < 9'999; ++Count)
    Fleet.code(cancel_job{1}, "s" + std::to_string(Count), "ann");
  CHECK(Fleet.State.findSubmission("first"));
  Fleet.code(cancel_job{1}, "last", "ann");
  CHECK(!Fleet.State.findSubmission("first"));
  CHECK(Fleet.State.findSubmission("s0"));
  for (int Count = 0; Count < 10'002; ++Count)
    Fleet.code(cancel_job{1});
  audit_filter All;
  All.Limit = 100'000;
  auto Records = Fleet.State.audit(All);
  CHECK(Records.size() == 20'000);
  CHECK(Records.front().Index == 4);
  CHECK(Records.back().Index == Fleet.Index);
}

TEST_CASE("the audit trail is filtered and read from an index on") {
  fleet_fixture Fleet;
  Fleet.declare(smallDeclaration(1), "", "ann");
  Fleet.step("w1", host_state::Failed);
  Fleet.step("w2", host_state::Failed);
  Fleet.code(request_host_goal{"w1", host_goal::None, ""}, "", "bob");
  CHECK(Fleet.State.audit({"bob", "", "", 0, 10}).size() == 1);
  CHECK(Fleet.State.audit({"", "host", "w1", 0, 10}).size() == 2);
  CHECK(Fleet.State.audit({"", "host", "", 2, 10}).size() == 2);
  CHECK(Fleet.State.audit({"", "", "", 0, 3}).size() == 3);
}

TEST_CASE("long names of submissions and actors are refused") {
  fleet_fixture Fleet;
  CHECK(Fleet.declare(smallDeclaration(1), std::string(129, 's')) ==
        "bad-input");
  CHECK(Fleet.declare(smallDeclaration(1), "s", std::string(129, 'a')) ==
        "bad-input");
  CHECK(Fleet.State.currentDeclaration().Number == 0);
}

TEST_CASE("old declaration bodies are dropped but their numbers are kept") {
  fleet_fixture Fleet;
  // Each declaration has 18 elements, so 25,000 elements hold 1,388 of them.
  for (std::uint64_t Number = 1; Number <= 1'500; ++Number)
    Fleet.declare(smallDeclaration(Number));
  CHECK(Fleet.State.declarationNumbers().size() == 1'500);
  CHECK(!Fleet.State.declarationByNumber(1));
  CHECK(Fleet.State.declarationByNumber(1'500) == smallDeclaration(1'500));
  auto Bytes = Fleet.State.snapshot();
  auto Restored =
      lycheetrestle::core::capture([&] { return fleet_state::restore(Bytes); });
  REQUIRE(Restored.index() == 0);
  CHECK(std::get<0>(Restored).snapshot() == Bytes);
}
