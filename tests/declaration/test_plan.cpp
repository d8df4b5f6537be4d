#include "declaration/declaration.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace lycheetrestle;
using namespace lycheetrestle::declaration;

namespace {

/// \returns a declaration with 8 hosts in `gate` and 4 in `records`, each pool
/// with a budget of 50 %.
fleet::declaration baseDeclaration(std::uint64_t Number) {
  fleet::declaration Next;
  Next.Number = Number;
  Next.Pools = {{"gate", {std::nullopt, 50}, false, false},
                {"records", {std::nullopt, 50}, false, false}};
  for (int Index = 0; Index < 12; ++Index)
    Next.Hosts.push_back({"w" + std::to_string(Index),
                          Index < 8 ? "gate" : "records",
                          "z",
                          "r",
                          {8, 1024, 0}});
  return Next;
}

fleet::fleet_state acceptedState() {
  fleet::fleet_state State;
  auto Result = State.apply(
      {"", "ann", 1000, fleet::submit_declaration{baseDeclaration(1)}}, 1);
  REQUIRE(!Result.Failure);
  return State;
}

declaration_plan planOrFail(const fleet::fleet_state &State,
                            const fleet::declaration &Next) {
  auto Outcome = core::capture([&] { return planDeclaration(State, Next); });
  REQUIRE(Outcome.index() == 0);
  return std::get<0>(Outcome);
}

std::map<std::uint32_t, int> hostsByBatch(const declaration_plan &Plan) {
  std::map<std::uint32_t, int> Counts;
  for (const auto &Step : Plan.Steps)
    ++Counts[Step.Batch];
  return Counts;
}

} // namespace

TEST_CASE("a plan lists additions, removals and moves") {
  auto State = acceptedState();
  State.apply({"", "system", 1000,
               fleet::change_host_state{
                   "w7", 1, fleet::host_state::Failed, {}, "", 0, "lost"}},
              2);
  auto Next = baseDeclaration(2);
  Next.Hosts.erase(Next.Hosts.begin() + 7);
  Next.Hosts.push_back({"w12", "records", "z", "r", {8, 1024, 0}});
  Next.Hosts[0].HomePool = "records";
  auto Plan = planOrFail(State, Next);
  REQUIRE(Plan.Steps.size() == 3);
  CHECK(Plan.Steps[0].Action == "add");
  CHECK(Plan.Steps[0].Host == "w12");
  CHECK(Plan.Steps[1].Action == "remove");
  CHECK(Plan.Steps[1].Host == "w7");
  CHECK(Plan.Steps[2].Action == "move");
  CHECK(Plan.Steps[2].FromPool == "gate");
  CHECK(Plan.Steps[2].ToPool == "records");
  CHECK(Plan.Steps[2].Batch == 2);
  CHECK(State.currentDeclaration().Number == 1);
}

// Guards against a plan whose moves the state machine would refuse.
TEST_CASE("the batches of a plan keep every pool within its budget") {
  auto State = acceptedState();
  auto Next = baseDeclaration(2);
  Next.Maintenance.MaxParallelHosts = 100;
  for (int Index = 0; Index < 4; ++Index)
    Next.Hosts[static_cast<std::size_t>(Index)].HomePool = "records";
  for (int Index = 8; Index < 12; ++Index)
    Next.Hosts[static_cast<std::size_t>(Index)].HomePool = "gate";
  auto Plan = planOrFail(State, Next);
  CHECK(hostsByBatch(Plan) == std::map<std::uint32_t, int>{{1, 6}, {2, 2}});
  for (const auto &Budget : Plan.Budgets)
    CHECK(Budget.LowestAvailable >= Budget.Minimum);
  CHECK(Plan.Budgets[0].LowestAvailable == 4);
  CHECK(Plan.Budgets[1].LowestAvailable == 2);
}

TEST_CASE("a plan moves at most the declared number of hosts at once") {
  auto State = acceptedState();
  auto Next = baseDeclaration(2);
  Next.Maintenance.MaxParallelHosts = 1;
  Next.Hosts[0].HomePool = Next.Hosts[1].HomePool = "records";
  CHECK(hostsByBatch(planOrFail(State, Next)) ==
        std::map<std::uint32_t, int>{{1, 1}, {2, 1}});
}

TEST_CASE("moves that the budgets do not allow now get batch 0") {
  auto State = acceptedState();
  for (int Index = 4; Index < 8; ++Index)
    State.apply({"", "system", 1000,
                 fleet::change_host_state{"w" + std::to_string(Index),
                                          1,
                                          fleet::host_state::Failed,
                                          {},
                                          "",
                                          0,
                                          "lost"}},
                static_cast<std::uint64_t>(Index));
  auto Next = baseDeclaration(2);
  Next.Hosts[0].HomePool = "records";
  auto Plan = planOrFail(State, Next);
  REQUIRE(Plan.Steps.size() == 1);
  CHECK(Plan.Steps[0].Batch == 0);
}

TEST_CASE("a plan is refused for the same reason as its declaration") {
  auto State = acceptedState();
  auto Same =
      core::capture([&] { return planDeclaration(State, baseDeclaration(1)); });
  CHECK(std::get<1>(Same).Code == core::error_code::Conflict);
  auto Smaller = baseDeclaration(2);
  Smaller.Hosts.pop_back();
  auto Removal = core::capture([&] { return planDeclaration(State, Smaller); });
  CHECK(std::get<1>(Removal).Code == core::error_code::Conflict);
}
