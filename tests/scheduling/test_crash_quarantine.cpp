#include "scheduling/crash_quarantine.h"
#include "scheduling/host_crash_log.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

// Guards against suspect tasks that start beside other runs, which the next
// crash loses, and against suspects that take a pool from its other tasks.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace std::chrono_literals;

namespace {

core::time_point at(core::duration Time) { return core::time_point(Time); }

std::vector<quarantine_endpoint> endpoints(std::uint32_t Count,
                                           std::uint32_t Runs = 0) {
  std::vector<quarantine_endpoint> List;
  for (std::uint32_t Number = 1; Number <= Count; ++Number)
    List.push_back({Number, "h" + std::to_string(Number), Runs, 0});
  return List;
}

quarantined_task suspect(const std::string &Job, std::int64_t RanMs = 0) {
  quarantined_task Task;
  Task.Task.Job = Job;
  Task.RanMs = RanMs;
  return Task;
}

bool anywhere(const task_key &, std::uint32_t) { return true; }

using place = std::map<task_key, std::uint32_t>;

} // namespace

TEST_CASE("a suspect starts on an empty endpoint that is reserved for it") {
  crash_quarantine Quarantine;
  auto Endpoints = endpoints(4, 3);
  Endpoints[2].Runs = 0;
  std::vector List{suspect("j")};
  auto Plan = Quarantine.plan(Endpoints, List, anywhere, at(1s));
  CHECK(Plan.Starts == place{{List[0].Task, 3}});
  CHECK(Plan.Reserved == std::set<std::uint32_t>{3});
}

TEST_CASE("at most a third of the endpoints hold suspects, those that ran for "
          "the shortest time first") {
  crash_quarantine Quarantine;
  std::vector List{suspect("a", 900), suspect("b", 10), suspect("c", 300),
                   suspect("d", 20)};
  auto Plan = Quarantine.plan(endpoints(8), List, anywhere, at(1s));
  CHECK(Plan.Starts.size() == 2);
  CHECK(Plan.Starts.count(List[1].Task) == 1);
  CHECK(Plan.Starts.count(List[3].Task) == 1);
  CHECK(Plan.Reserved.size() == 2);
  // Suspects on trial count.
  List[1].Endpoints = {1};
  List[3].Endpoints = {2};
  Plan = Quarantine.plan(endpoints(8), List, anywhere, at(1s));
  CHECK(Plan.Starts.empty());
  CHECK(Plan.Reserved == std::set<std::uint32_t>{1, 2});
  // A small pool has room for one.
  Plan = Quarantine.plan(endpoints(2), std::vector{suspect("a"), suspect("b")},
                         anywhere, at(1s));
  CHECK(Plan.Starts.size() == 1);
}

TEST_CASE("one suspect of a job starts at a time") {
  crash_quarantine Quarantine;
  std::vector List{suspect("j"), suspect("j")};
  List[1].Task.Index = 1;
  CHECK(Quarantine.plan(endpoints(12), List, anywhere, at(1s)).Starts.size() ==
        1);
  List[0].Endpoints = {4};
  CHECK(Quarantine.plan(endpoints(12), List, anywhere, at(1s)).Starts.empty());
}

TEST_CASE("a suspect avoids hosts on which it crashed while others exist") {
  crash_quarantine Quarantine;
  std::vector List{suspect("j")};
  List[0].CrashedHosts = {"h1"};
  auto Endpoints = endpoints(2, 5);
  Endpoints[0].Runs = 0;
  auto Plan = Quarantine.plan(Endpoints, List, anywhere, at(1s));
  CHECK(Plan.Starts.empty());
  CHECK(Plan.Reserved == std::set<std::uint32_t>{2});
  Endpoints.resize(1);
  Plan = Quarantine.plan(Endpoints, List, anywhere, at(1s));
  CHECK(Plan.Starts == place{{List[0].Task, 1}});
}

TEST_CASE("without an empty endpoint the one with the fewest short runs is "
          "reserved until it is empty") {
  crash_quarantine Quarantine;
  std::vector List{suspect("j")};
  auto Endpoints = endpoints(4, 5);
  Endpoints[0].Runs = 1;
  Endpoints[0].LongRunning = 1;
  Endpoints[2].Runs = 2;
  auto Plan = Quarantine.plan(Endpoints, List, anywhere, at(1s));
  CHECK(Plan.Starts.empty());
  CHECK(Plan.Reserved == std::set<std::uint32_t>{3});
  // The choice is kept, so that the wait for an empty endpoint ends.
  Endpoints[1].Runs = 1;
  Plan = Quarantine.plan(Endpoints, List, anywhere, at(2s));
  CHECK(Plan.Reserved == std::set<std::uint32_t>{3});
  Endpoints[2].Runs = 0;
  Plan = Quarantine.plan(Endpoints, List, anywhere, at(2s));
  CHECK(Plan.Starts == place{{List[0].Task, 3}});
}

TEST_CASE(
    "a suspect starts beside other runs when no endpoint becomes empty in "
    "time") {
  crash_quarantine Quarantine;
  std::vector List{suspect("j")};
  auto Endpoints = endpoints(4, 5);
  CHECK(Quarantine.plan(Endpoints, List, anywhere, at(1s)).Starts.empty());
  auto Plan = Quarantine.plan(Endpoints, List, anywhere, at(2900ms));
  CHECK(Plan.Starts.empty());
  CHECK(Plan.Spread.empty());
  CHECK(Plan.Reserved == std::set<std::uint32_t>{1});
  Plan = Quarantine.plan(Endpoints, List, anywhere, at(3s));
  CHECK(Plan.Spread == std::set<task_key>{List[0].Task});
  CHECK(Plan.Reserved.empty());
  // Long runs on all endpoints: there is nothing to wait for.
  crash_quarantine Busy;
  for (auto &Endpoint : Endpoints)
    Endpoint.LongRunning = 1;
  Endpoints[3].Runs = 2;
  CHECK(Busy.plan(Endpoints, List, anywhere, at(1s)).Starts ==
        place{{List[0].Task, 4}});
}

// After a crash of many endpoints trials one after the other held sound tasks
// for up to 35 s.
TEST_CASE("a suspect that waited for a trial too long is spread, also beside a "
          "trial of its job") {
  crash_quarantine Quarantine;
  std::vector List{suspect("j"), suspect("j"), suspect("j")};
  List[0].Endpoints = {4};
  List[1].Task.Index = 1;
  List[2].Task.Index = 2;
  auto Plan = Quarantine.plan(endpoints(12), List, anywhere, at(1s));
  CHECK(Plan.Spread.empty());
  CHECK(Plan.Waiting == 2);
  CHECK(Plan.OnTrial == 1);
  CHECK(Quarantine.waitsForTrial(List[1].Task));
  Plan = Quarantine.plan(endpoints(12), List, anywhere, at(3s));
  CHECK(Plan.Spread == std::set<task_key>{List[1].Task, List[2].Task});
  CHECK(Plan.OldestWait == MaxTrialWait);
  CHECK(!Quarantine.waitsForTrial(List[1].Task));
  // Spread tasks have no endpoint of their own and hold up no trial.
  List[0].Endpoints.clear();
  List[0].Attempt = 1;
  List[1].Endpoints = {5};
  List[2].Endpoints = {6};
  Plan = Quarantine.plan(endpoints(12), List, anywhere, at(3100ms));
  CHECK(Plan.Starts == place{{List[0].Task, 1}});
  CHECK(Plan.Reserved == std::set<std::uint32_t>{1});
}

TEST_CASE(
    "the wait for a trial counts from when the task could run, anew after "
    "each run") {
  crash_quarantine Quarantine;
  std::vector List{suspect("j"), suspect("j")};
  List[0].Endpoints = {1};
  List[1].Task.Index = 1;
  auto Nowhere = [](const task_key &, std::uint32_t) { return false; };
  Quarantine.plan(endpoints(4), List, Nowhere, at(1s));
  Quarantine.plan(endpoints(4), List, anywhere, at(5s));
  CHECK(
      Quarantine.plan(endpoints(4), List, anywhere, at(6900ms)).Spread.empty());
  List[1].Attempt = 2;
  CHECK(Quarantine.plan(endpoints(4), List, anywhere, at(7s)).Spread.empty());
  CHECK(
      Quarantine.plan(endpoints(4), List, anywhere, at(8900ms)).Spread.empty());
  CHECK(Quarantine.plan(endpoints(4), List, anywhere, at(9s)).Spread.size() ==
        1);
}

TEST_CASE("the wait of a gang for a trial includes the time in which its crash "
          "was not proved yet") {
  std::vector List{suspect("j")};
  List[0].Silence = 800ms;
  auto Endpoints = endpoints(4, 5);
  crash_quarantine Quarantine;
  Quarantine.recordCrash(at(1s));
  Quarantine.plan(Endpoints, List, anywhere, at(1050ms));
  CHECK(Quarantine.plan(Endpoints, List, anywhere, at(2490ms)).Spread.empty());
  CHECK(Quarantine.plan(Endpoints, List, anywhere, at(2510ms)).Spread.size() ==
        1);
  // It could not run when it crashed.
  crash_quarantine Late;
  Late.recordCrash(at(1s));
  Late.plan(Endpoints, List, anywhere, at(3s));
  CHECK(Late.plan(Endpoints, List, anywhere, at(4900ms)).Spread.empty());
  CHECK(Late.plan(Endpoints, List, anywhere, at(5s)).Spread.size() == 1);
}

// Deadly tasks that were spread beside others crashed more endpoints than
// before the wait was bounded.
TEST_CASE(
    "suspects are not spread while endpoints of the pool go on crashing") {
  crash_quarantine Quarantine;
  std::vector List{suspect("j"), suspect("j")};
  List[0].Endpoints = {1};
  List[1].Task.Index = 1;
  Quarantine.plan(endpoints(4), List, anywhere, at(1s));
  for (auto Time : {1s, 2s, 3s, 4s, 5s}) {
    Quarantine.recordCrash(at(Time));
    CHECK(Quarantine.plan(endpoints(4), List, anywhere, at(Time + 1400ms))
              .Spread.empty());
  }
  CHECK(
      Quarantine.plan(endpoints(4), List, anywhere, at(6500ms)).Spread.size() ==
      1);
}

// Of two endpoints that are left one is reserved, for up to 10 s.
TEST_CASE("a reservation ends when it has held up other tasks too long") {
  crash_quarantine Quarantine;
  std::vector List{suspect("j")};
  List[0].Endpoints = {1};
  const std::set<std::uint32_t> First{1};
  Quarantine.plan(endpoints(2), List, anywhere, at(1s));
  Quarantine.recordPlacement(true, at(1s));
  CHECK(Quarantine.plan(endpoints(2), List, anywhere, at(2900ms)).Reserved ==
        First);
  Quarantine.recordPlacement(true, at(2900ms));
  CHECK(Quarantine.plan(endpoints(2), List, anywhere, at(3s)).Reserved.empty());
  Quarantine.recordPlacement(false, at(3s));
  CHECK(Quarantine.plan(endpoints(2), List, anywhere, at(3100ms)).Reserved ==
        First);
}

TEST_CASE(
    "a reservation that holds up tasks ends in time although some of them "
    "find room elsewhere meanwhile") {
  crash_quarantine Quarantine;
  std::vector List{suspect("j")};
  List[0].Endpoints = {1};
  const std::set<std::uint32_t> First{1};
  Quarantine.plan(endpoints(2), List, anywhere, at(1s));
  Quarantine.recordPlacement(true, at(1s));
  Quarantine.recordPlacement(true, at(1900ms));
  Quarantine.recordPlacement(false, at(2s));
  Quarantine.recordPlacement(true, at(2100ms));
  CHECK(Quarantine.plan(endpoints(2), List, anywhere, at(3s)).Reserved.empty());
  // The next time counts from its own begin.
  Quarantine.recordPlacement(true, at(3100ms));
  CHECK(Quarantine.plan(endpoints(2), List, anywhere, at(5s)).Reserved ==
        First);
  // A longer time without tasks that are held up ends the count.
  Quarantine.recordPlacement(false, at(5s));
  Quarantine.recordPlacement(true, at(5050ms));
  CHECK(Quarantine.plan(endpoints(2), List, anywhere, at(6s)).Reserved ==
        First);
}

TEST_CASE("a suspect that fits no endpoint reserves none and does not hold up "
          "the others") {
  crash_quarantine Quarantine;
  std::vector List{suspect("a", 1), suspect("b", 2)};
  auto Plan = Quarantine.plan(
      endpoints(4), List,
      [](const task_key &Task, std::uint32_t) { return Task.Job == "b"; },
      at(1s));
  CHECK(Plan.Starts.size() == 1);
  CHECK(Plan.Starts.count(List[1].Task) == 1);
}

TEST_CASE("a trial lasts longer than the time to the earlier crash") {
  CHECK(trialTime(0) == 1s);
  CHECK(trialTime(700) == 2400ms);
  CHECK(trialTime(SoundRunMs) == std::chrono::milliseconds(SoundRunMs));
}

TEST_CASE("a host is avoided for a while when endpoints crash on it under "
          "different tasks") {
  host_crash_log Log;
  const task_key First{"a", 0, 0, 0};
  const task_key Second{"b", 0, 0, 0};
  Log.record("h1", 1, {First}, at(1s));
  CHECK(!Log.isAvoided("h1", at(1s)));
  Log.record("h1", 2, {Second}, at(20s));
  CHECK(Log.isAvoided("h1", at(21s)));
  CHECK(!Log.isAvoided("h2", at(21s)));
  CHECK(!Log.isAvoided("h1", at(36s)));
  // One task ran at both crashes: the task may be at fault.
  Log.record("h3", 3, {First, Second}, at(40s));
  Log.record("h3", 4, {First}, at(41s));
  CHECK(!Log.isAvoided("h3", at(41s)));
  // Crashes that lie far apart do not add up.
  Log.record("h1", 5, {First}, at(60s));
  CHECK(!Log.isAvoided("h1", at(60s)));
}

TEST_CASE("a task that explains crashes takes them off the hosts") {
  host_crash_log Log;
  Log.record("h1", 1, {{"a", 0, 0, 0}}, at(1s));
  Log.record("h1", 2, {{"b", 0, 0, 0}}, at(2s));
  REQUIRE(Log.isAvoided("h1", at(2s)));
  Log.forgive(2);
  CHECK(!Log.isAvoided("h1", at(2s)));
}

// After a second crash of a whole pool no host accepted work for 15 s.
TEST_CASE("hosts that crash together with many others are not avoided") {
  host_crash_log Log;
  const task_key First{"a", 0, 0, 0};
  const task_key Second{"b", 0, 0, 0};
  const std::vector<std::string> Hosts{"h1", "h2", "h3"};
  for (const auto &Host : Hosts)
    Log.record(Host, 1, {First}, at(1s));
  for (const auto &Host : Hosts)
    Log.record(Host, 2, {Second}, at(10s));
  CHECK(!Log.isAvoided("h1", at(11s)));
  CHECK(!Log.hasCrashed("h1", at(11s)));
  // Crashes of its own still count.
  Log.record("h1", 3, {First}, at(20s));
  CHECK(Log.hasCrashed("h1", at(20s)));
  Log.record("h1", 4, {Second}, at(25s));
  CHECK(Log.isAvoided("h1", at(26s)));
  CHECK(!Log.isAvoided("h2", at(26s)));
}
