#include "scheduling/crash_isolation.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

// Guards against long-running suspect tasks that wait for a trial, which counts
// against their budget, or that start beside tasks that crash endpoints; and
// against suspects that take a pool from its other tasks.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;

namespace {

std::vector<quarantine_endpoint> endpoints(std::uint32_t Count,
                                           std::uint32_t Runs) {
  std::vector<quarantine_endpoint> List;
  for (std::uint32_t Number = 1; Number <= Count; ++Number)
    List.push_back({Number, "h" + std::to_string(Number), Runs, 0});
  return List;
}

quarantined_task suspect(const std::string &Job) {
  quarantined_task Task;
  Task.Task.Job = Job;
  return Task;
}

bool anywhere(const task_key &, std::uint32_t) { return true; }

using place = std::map<task_key, std::uint32_t>;
using numbers = std::set<std::uint32_t>;

} // namespace

TEST_CASE("a long-running suspect starts at once beside the fewest runs that "
          "are not long-running") {
  auto Endpoints = endpoints(4, 5);
  Endpoints[1].Runs = 4;
  Endpoints[2].LongRunning = 3;
  std::vector List{suspect("j")};
  auto Plan = planIsolation(Endpoints, List, anywhere);
  CHECK(Plan.Starts == place{{List[0].Task, 3}});
  CHECK(Plan.Reserved == numbers{3});
}

TEST_CASE(
    "a long-running suspect avoids hosts on which it crashed while others "
    "exist") {
  auto Endpoints = endpoints(3, 5);
  Endpoints[0].Runs = 0;
  std::vector List{suspect("j")};
  List[0].CrashedHosts = {"h1", "h2"};
  CHECK(planIsolation(Endpoints, List, anywhere).Starts ==
        place{{List[0].Task, 3}});
  List[0].CrashedHosts = {"h1", "h2", "h3"};
  CHECK(planIsolation(Endpoints, List, anywhere).Starts ==
        place{{List[0].Task, 1}});
}

TEST_CASE("at most a third of the endpoints are kept for long-running "
          "suspects") {
  std::vector List{suspect("a"), suspect("b"), suspect("c")};
  auto Plan = planIsolation(endpoints(6, 0), List, anywhere);
  CHECK(Plan.Starts.size() == 2);
  CHECK(Plan.Reserved.size() == 2);
  // Those on trial count, and they are not kept beyond the share.
  for (std::uint32_t Number = 1; Number <= 3; ++Number)
    List[Number - 1].Endpoints = {Number};
  List.push_back(suspect("d"));
  Plan = planIsolation(endpoints(6, 0), List, anywhere);
  CHECK(Plan.Starts.empty());
  CHECK(Plan.Reserved == numbers{1, 2});
  // The only endpoint of a pool is for all tasks.
  Plan = planIsolation(endpoints(1, 0), std::vector{suspect("a")}, anywhere);
  CHECK(Plan.Starts.empty());
  CHECK(Plan.Reserved.empty());
}

TEST_CASE("a long-running suspect that fits no endpoint reserves none") {
  std::vector List{suspect("a"), suspect("b")};
  auto Plan = planIsolation(
      endpoints(4, 0), List,
      [](const task_key &Task, std::uint32_t) { return Task.Job == "b"; });
  CHECK(Plan.Starts == place{{List[1].Task, 1}});
  CHECK(Plan.Reserved == numbers{1});
}
