#include "maintenance/wave_planner.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace lycheetrestle::maintenance;

namespace {

// Two zones with two racks of two hosts each.
std::vector<wave_host> eightHosts() {
  return {{"a1", "gate", "z1", "r1"}, {"a2", "gate", "z1", "r1"},
          {"a3", "gate", "z1", "r2"}, {"a4", "gate", "z1", "r2"},
          {"b1", "gate", "z2", "r3"}, {"b2", "gate", "z2", "r3"},
          {"b3", "gate", "z2", "r4"}, {"b4", "gate", "z2", "r4"}};
}

} // namespace

// Guards against a wave that takes more hosts than the budget allows.
TEST_CASE("a step takes exactly what budgets and the limit allow") {
  auto Hosts = eightHosts();
  std::vector<wave_pool> Pools = {{"gate", 8, 5}};
  CHECK(planWaveStep(Pools, Hosts, {8, 2, 0}).Start.size() == 3);
  CHECK(planWaveStep(Pools, Hosts, {2, 2, 0}).Start.size() == 2);
  Hosts[0].Phase = Hosts[1].Phase = host_phase::Busy;
  Pools[0].Available = 6;
  CHECK(planWaveStep(Pools, Hosts, {8, 2, 0}).Start.size() == 1);
  // Unplanned losses use up the budget first.
  Pools[0].Available = 5;
  CHECK(planWaveStep(Pools, Hosts, {8, 2, 0}).Start.empty());
  Pools[0].Available = 3;
  CHECK(planWaveStep(Pools, Hosts, {8, 2, 0}).Start.empty());
}

// Guards against reducing several racks at once, which leaves less capacity
// when another rack is lost.
TEST_CASE("a started rack and zone are finished first") {
  auto Hosts = eightHosts();
  std::vector<wave_pool> Pools = {{"gate", 7, 5}};
  Hosts[6].Phase = host_phase::Busy;
  auto Step = planWaveStep(Pools, Hosts, {8, 2, 0});
  REQUIRE(Step.Start.size() == 2);
  CHECK(Step.Start[0] == "b4");
  CHECK(Step.Start[1] == "b1");
}

TEST_CASE("the pool with the most remaining rounds starts the next host") {
  std::vector<wave_host> Hosts = {{"g1", "gate", "z", "r"},
                                  {"x1", "desk", "z", "r"},
                                  {"x2", "desk", "z", "r"},
                                  {"x3", "desk", "z", "r"}};
  std::vector<wave_pool> Pools = {{"gate", 1, 0}, {"desk", 3, 2}};
  auto Step = planWaveStep(Pools, Hosts, {1, 2, 0});
  REQUIRE(Step.Start.size() == 1);
  CHECK(Step.Start[0] == "x1");
}

TEST_CASE("a wave pauses on failures and finishes without lost hosts") {
  auto Hosts = eightHosts();
  std::vector<wave_pool> Pools = {{"gate", 8, 5}};
  auto Paused = planWaveStep(Pools, Hosts, {8, 2, 2});
  CHECK(Paused.Pause);
  CHECK(Paused.Start.empty());
  CHECK_FALSE(Paused.Reason.empty());
  CHECK_FALSE(planWaveStep(Pools, Hosts, {8, 2, 1}).Pause);
  for (auto &Host : Hosts)
    Host.Phase = host_phase::Done;
  Hosts[3].Phase = host_phase::Lost;
  CHECK(planWaveStep(Pools, Hosts, {8, 2, 0}).Finished);
  Hosts[4].Phase = host_phase::Busy;
  CHECK_FALSE(planWaveStep(Pools, Hosts, {8, 2, 0}).Finished);
}

TEST_CASE("the baseline takes at most one host of each pool") {
  auto Hosts = eightHosts();
  Hosts.push_back({"x1", "desk", "z", "r"});
  std::vector<wave_pool> Pools = {{"gate", 8, 2}, {"desk", 1, 0}};
  CHECK(planWaveStepOneByOne(Pools, Hosts, {8, 2, 0}).Start.size() == 2);
  Pools[1].Minimum = 1;
  CHECK(planWaveStepOneByOne(Pools, Hosts, {8, 2, 0}).Start.size() == 1);
}
