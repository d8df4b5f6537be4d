#include "fleet_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace lycheetrestle::fleet;
using lycheetrestle::core::error_code;

namespace {

declaration withoutHost(declaration Next, const std::string &Name) {
  std::erase_if(Next.Hosts,
                [&](const auto &Host) { return Host.Name == Name; });
  return Next;
}

} // namespace

TEST_CASE("new hosts start in their home pool and in service") {
  fleet_fixture Fleet;
  REQUIRE(Fleet.declare(smallDeclaration(1)) == "accepted");
  CHECK(Fleet.State.hosts().size() == 12);
  CHECK(Fleet.host("w1").Pool == "gate");
  CHECK(Fleet.host("w1").State == host_state::InService);
  CHECK(Fleet.pool("gate").Available == 8);
  CHECK(Fleet.pool("gate").Minimum == 4);
  CHECK(Fleet.State.viewIndex() == 1);
}

// Guards against accepting both declarations when two operators race with one
// number.
TEST_CASE("of two declarations with equal numbers exactly one is accepted") {
  fleet_fixture Fleet;
  auto Second = smallDeclaration(1);
  Second.Maintenance.MaxParallelHosts = 1;
  REQUIRE(Fleet.declare(smallDeclaration(1), "s1", "ann") == "accepted");
  auto Result = Fleet.run(submit_declaration{Second}, "s2", "bob");
  REQUIRE(Result.Failure);
  CHECK(Result.Failure->Code == error_code::Conflict);
  CHECK(Result.Failure->Message ==
        "declaration 1 was already accepted from submission s1 of actor ann");
  CHECK(Fleet.State.currentDeclaration() == smallDeclaration(1));
  CHECK(Fleet.declare(smallDeclaration(5)) == "accepted");
  CHECK(Fleet.declare(smallDeclaration(3)) == "conflict");
}

// After a lost response, the resend of an accepted declaration must not be
// refused because its number is taken.
TEST_CASE("a resend gets the first result again") {
  fleet_fixture Fleet;
  auto First = Fleet.run(submit_declaration{smallDeclaration(1)}, "s1", "ann");
  REQUIRE(!First.Failure);
  Fleet.declare(smallDeclaration(2), "s2", "bob");
  auto Again = Fleet.run(submit_declaration{smallDeclaration(1)}, "s1", "ann");
  CHECK(!Again.Failure);
  CHECK(Again.Response == First.Response);
  CHECK(Fleet.State.currentDeclaration().Number == 2);
  CHECK(Fleet.State.findSubmission("s1")->Response == First.Response);
}

// When two pipelines share a submission id, the second command must not get
// the result of the first.
TEST_CASE("a submission cannot be used for another command") {
  fleet_fixture Fleet;
  Fleet.declare(smallDeclaration(1), "s1", "ann");
  CHECK(Fleet.declare(smallDeclaration(2), "s1", "ann") == "conflict");
  CHECK(Fleet.declare(smallDeclaration(1), "s1", "bob") == "conflict");
  CHECK(Fleet.State.currentDeclaration().Number == 1);
}

TEST_CASE("a host in service cannot be removed") {
  fleet_fixture Fleet;
  Fleet.declare(smallDeclaration(1));
  CHECK(Fleet.declare(withoutHost(smallDeclaration(2), "w8")) == "conflict");
  Fleet.step("w8", host_state::Failed);
  CHECK(Fleet.declare(withoutHost(smallDeclaration(2), "w8")) == "accepted");
  CHECK(Fleet.State.hosts().size() == 11);
  CHECK(Fleet.pool("gate").Hosts == 7);
}

// The platform refuses older epochs, so a name that is declared again needs a
// larger one.
TEST_CASE("a host that is removed and added again gets a larger epoch") {
  fleet_fixture Fleet;
  Fleet.declare(smallDeclaration(1));
  Fleet.step("w8", host_state::Failed);
  auto Epoch = Fleet.host("w8").Epoch;
  Fleet.declare(withoutHost(smallDeclaration(2), "w8"));
  Fleet.declare(smallDeclaration(3));
  CHECK(Fleet.host("w8").Epoch > Epoch);
}

TEST_CASE("a pool that still has hosts cannot be removed") {
  fleet_fixture Fleet;
  Fleet.declare(smallDeclaration(1));
  auto Next = smallDeclaration(2);
  Next.Pools.pop_back();
  for (auto &Host : Next.Hosts)
    Host.HomePool = "gate";
  CHECK(Fleet.declare(Next) == "conflict");
  CHECK(Fleet.State.pools().size() == 2);
}

TEST_CASE("a new home pool changes only the specification") {
  fleet_fixture Fleet;
  Fleet.declare(smallDeclaration(1));
  auto Next = smallDeclaration(2);
  Next.Hosts[0].HomePool = "records";
  REQUIRE(Fleet.declare(Next) == "accepted");
  CHECK(Fleet.host("w1").Pool == "gate");
  CHECK(Fleet.host("w1").Spec.HomePool == "records");
  CHECK(Fleet.host("w1").State == host_state::InService);
  CHECK(Fleet.pool("gate").HomeHosts == 7);
  CHECK(Fleet.pool("gate").Hosts == 8);
}

TEST_CASE("a refused declaration changes nothing but the audit trail") {
  fleet_fixture Fleet;
  Fleet.declare(smallDeclaration(1));
  auto Next = smallDeclaration(2);
  Next.Hosts[3].HomePool = "absent";
  CHECK(Fleet.declare(Next, "s2", "ann") == "bad-input");
  CHECK(Fleet.State.currentDeclaration() == smallDeclaration(1));
  CHECK(Fleet.State.viewIndex() == 1);
  auto Records = Fleet.State.audit({"ann", "declaration", "2", 0, 10});
  REQUIRE(Records.size() == 1);
  CHECK(Records[0].Result == "bad-input");
}

TEST_CASE("old declarations can be read by number") {
  fleet_fixture Fleet;
  Fleet.declare(smallDeclaration(1));
  Fleet.declare(smallDeclaration(4));
  CHECK(Fleet.State.declarationNumbers() == std::vector<std::uint64_t>{1, 4});
  CHECK(Fleet.State.declarationByNumber(1) == smallDeclaration(1));
  CHECK(!Fleet.State.declarationByNumber(2));
}
