#include "schedule_fixture.h"
#include "scheduling/configuration_check.h"
#include "scheduling/demand_forecaster.h"
#include "scheduling/demand_smoother.h"
#include "scheduling/endpoint_health.h"
#include "scheduling/job_order.h"
#include "scheduling/maintenance_planner.h"
#include "scheduling/membership_manager.h"
#include "scheduling/placer.h"
#include "scheduling/pool_rebalancer.h"
#include "scheduling/throttle_controller.h"

#include <catch2/catch.hpp>

#include <set>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

core::time_point at(core::duration Time) { return core::time_point(Time); }

std::vector<placement_target> makeTargets(std::uint32_t Count,
                                          std::uint32_t MilliCores = 8000) {
  std::vector<placement_target> Targets;
  for (std::uint32_t Index = 1; Index <= Count; ++Index) {
    placement_target Target;
    Target.Endpoint = Index;
    Target.Pool = "a";
    Target.Free = {MilliCores, 10'000, 0};
    Target.Rack = Index % 2 == 0 ? "rack-1" : "rack-2";
    Target.Labels = {"kind-a", Target.Rack};
    Targets.push_back(Target);
  }
  return Targets;
}

/// Places the waiting tasks of a state.
/// \param Checks counts how often an endpoint is considered for a task.
std::vector<placement> place(const schedule_state &State,
                             std::vector<placement_target> &Targets,
                             std::int64_t NowMs = 0,
                             std::uint64_t *Checks = nullptr) {
  static const duration_models NothingLearned;
  rank_cache Ranks(NothingLearned);
  placement_request Request;
  Request.MaxStarts = 1000;
  if (Checks)
    Request.IsAllowed = [Checks](const task_key &, const job_record &,
                                 std::uint32_t) {
      ++*Checks;
      return true;
    };
  std::vector<placement_target *> Pointers;
  for (auto &Target : Targets)
    Pointers.push_back(&Target);
  return placeRuns(waitingSteps(State, Ranks, NowMs), Pointers, Request);
}

maintenance_host idleHost(std::string Name) {
  maintenance_host Host;
  Host.Name = std::move(Name);
  Host.IsUp = true;
  return Host;
}

rebalance_host movable(std::string Name, std::string Pool,
                       std::int64_t IdleMs) {
  rebalance_host Host;
  Host.Name = std::move(Name);
  Host.Pool = std::move(Pool);
  Host.Cores = 64;
  Host.MayMove = true;
  Host.AcceptsWork = Host.Pool != "spare";
  Host.IdleMs = IdleMs;
  return Host;
}

} // namespace

// Each interruption uses up the budget of a step; a wave over half of the hosts
// that interrupts the same tasks again and again does not end in time.
TEST_CASE("long-running tasks avoid hosts that a wave still has to interrupt") {
  auto Targets = makeTargets(3);
  Targets[0].LongRunning = 3;
  Targets[0].Free.MilliCores = 2000;
  Targets[0].IsMaintenanceDue = true;
  Targets[1].IsMaintenanceDue = true;
  auto Step = makeStep(1);
  Step.IsLongRunning = true;
  auto State = makeState(0);
  State.apply(submission(makeJob("long", {Step})), 0);
  auto Placements = place(State, Targets);
  REQUIRE(Placements.size() == 1);
  CHECK(Placements[0].Start.Endpoint == 3);
  // A short task ends before the host is interrupted, or is drained.
  auto ShortTargets = makeTargets(2);
  ShortTargets[0].Free.MilliCores = 2000;
  ShortTargets[0].IsMaintenanceDue = true;
  auto ShortState = makeState(0);
  ShortState.apply(submission(makeJob("short", {makeStep(1)})), 0);
  auto Short = place(ShortState, ShortTargets);
  REQUIRE(Short.size() == 1);
  CHECK(Short[0].Start.Endpoint == 1);
}

TEST_CASE("jobs that can meet their objective are placed before late jobs") {
  auto State = makeState(1);
  // Objective: 1.6 x 500 ms + 600 ms after the submission.
  State.apply(submission(makeJob("late", {makeStep(1)})), 0);
  State.apply(submission(makeJob("fresh", {makeStep(1)})), 2000);
  auto Targets = makeTargets(1, 1000);
  auto Placed = place(State, Targets, 2000);
  REQUIRE(Placed.size() == 1);
  CHECK(Placed[0].Start.Task.Job == "fresh");
}

TEST_CASE("a step waits for the steps that it depends on") {
  auto State = makeState(1);
  auto Second = makeStep(1);
  Second.DependsOn = {0};
  State.apply(submission(makeJob("j", {makeStep(1), Second})), 0);
  auto Targets = makeTargets(2);
  auto Placed = place(State, Targets);
  REQUIRE(Placed.size() == 1);
  CHECK(Placed[0].Start.Task.Step == 0);
}

TEST_CASE("placements never exceed the free capacity of an endpoint") {
  auto State = makeState(1);
  State.apply(submission(makeJob("j", {makeStep(20, 3000)})), 0);
  auto Targets = makeTargets(3);
  auto Placed = place(State, Targets);
  CHECK(Placed.size() == 6);
  for (const auto &Target : Targets)
    CHECK(Target.Free.MilliCores == 2000);
}

TEST_CASE("placement respects labels and the limit of a step per endpoint") {
  auto State = makeState(1);
  auto Step = makeStep(6);
  Step.RequiredLabel = "rack-2";
  Step.MaxPerEndpoint = 1;
  State.apply(submission(makeJob("j", {Step})), 0);
  auto Targets = makeTargets(4);
  auto Placed = place(State, Targets);
  std::set<std::uint32_t> Used;
  for (const auto &Placement : Placed)
    Used.insert(Placement.Start.Endpoint);
  CHECK(Placed.size() == 2);
  CHECK(Used == std::set<std::uint32_t>{1, 3});
}

TEST_CASE("a gang starts as a whole with one attempt number, or not at all") {
  auto State = makeState(1);
  auto Step = makeStep(4, 3000);
  Step.IsGang = true;
  State.apply(submission(makeJob("j", {Step})), 0);
  auto Small = makeTargets(1);
  CHECK(place(State, Small).empty());
  CHECK(Small[0].Free.MilliCores == 8000);
  auto Large = makeTargets(2);
  auto Placed = place(State, Large);
  REQUIRE(Placed.size() == 4);
  for (const auto &Placement : Placed)
    CHECK(Placement.Start.Attempt == 1);
}

TEST_CASE(
    "a gang that prefers one rack gets it when the rack has the capacity") {
  auto State = makeState(1);
  auto Step = makeStep(4, 4000);
  Step.IsGang = true;
  Step.PrefersSameRack = true;
  State.apply(submission(makeJob("j", {Step})), 0);
  auto Targets = makeTargets(4);
  std::set<std::uint32_t> Racks;
  for (const auto &Placement : place(State, Targets))
    Racks.insert(Placement.Start.Endpoint % 2);
  CHECK(Racks.size() == 1);
}

TEST_CASE(
    "best-effort tasks reserve no cores and avoid latency-sensitive tasks") {
  auto State = makeState(1);
  auto LatencySensitive = makeStep(1);
  LatencySensitive.IsLongRunning = true;
  LatencySensitive.TargetMs = 50;
  auto BestEffort = makeStep(1, 6000);
  BestEffort.IsLongRunning = true;
  BestEffort.IsBestEffort = true;
  State.apply(submission(makeJob("s", {LatencySensitive})), 0);
  State.apply(submission(makeJob("t", {BestEffort})), 1);
  auto Targets = makeTargets(2);
  auto Placed = place(State, Targets, 1);
  REQUIRE(Placed.size() == 2);
  CHECK(Placed[0].Start.Endpoint != Placed[1].Start.Endpoint);
  CHECK(Placed[1].Size.MilliCores == 0);
}

TEST_CASE("long-running tasks are packed on few endpoints") {
  auto State = makeState(1);
  auto Step = makeStep(4, 1000);
  Step.IsLongRunning = true;
  State.apply(submission(makeJob("j", {Step})), 0);
  auto Targets = makeTargets(4);
  std::set<std::uint32_t> Used;
  for (const auto &Placement : place(State, Targets))
    Used.insert(Placement.Start.Endpoint);
  CHECK(Used.size() == 1);
}

TEST_CASE("the remaining critical path leaves out steps that are done") {
  auto Second = makeStep(1, 1000, 300);
  Second.DependsOn = {0};
  auto Job = makeJob("j", {makeStep(1, 1000, 500), Second, makeStep(1)});
  const duration_model Model;
  CHECK(criticalPathMs(Job, Model) == 800);
  occurrence_record Occurrence;
  for (const auto &Step : Job.Steps)
    Occurrence.Steps.emplace_back().Tasks.resize(Step.Count);
  Occurrence.Steps[0].Done = 1;
  CHECK(remainingCriticalPathMs(Job, Occurrence, Model) == 500);
}

TEST_CASE(
    "estimates without correlation are replaced by the mean of the queue") {
  duration_model Noisy;
  duration_model Exact;
  for (int Index = 0; Index != 400; ++Index) {
    // Estimates from 100 to 3200 ms; the first queue's tasks all take 600 ms.
    double Estimate = 100.0 * (1 << (Index % 6));
    Noisy.record(Estimate, 600);
    Exact.record(Estimate, Estimate * 1.2);
  }
  CHECK(Noisy.predictMs(100) == Approx(600).epsilon(0.15));
  CHECK(Noisy.predictMs(3200) == Approx(600).epsilon(0.15));
  CHECK(Exact.predictMs(100) == Approx(120).epsilon(0.15));
  CHECK(Exact.predictMs(3200) == Approx(3840).epsilon(0.15));
}

TEST_CASE("the prediction is the estimate until enough tasks have ended") {
  duration_model Model;
  Model.record(100, 5000);
  CHECK(Model.predictMs(100) == 100);
}

TEST_CASE("the forecast of rising demand exceeds the current level") {
  demand_forecaster Forecaster;
  for (int Ms = 0; Ms < 1000; Ms += 20)
    Forecaster.record("a", 2, at(std::chrono::milliseconds(Ms)));
  for (int Ms = 1000; Ms < 2000; Ms += 10)
    Forecaster.record("a", 2, at(std::chrono::milliseconds(Ms)));
  auto Expected = Forecaster.expectedCores("a", at(2s), 1500ms);
  CHECK(Expected > 200);
  CHECK(Expected <= 1.8 * 200);
  CHECK(Forecaster.expectedCores("b", at(2s), 1500ms) == 0);
}

TEST_CASE("a single large job does not count as a trend") {
  demand_forecaster Forecaster;
  Forecaster.record("a", 300, at(1900ms));
  CHECK(Forecaster.expectedCores("a", at(2s), 1500ms) < 300);
}

TEST_CASE(
    "idle hosts move from a pool with a surplus to the pool with a deficit") {
  std::vector<pool_view> Pools{
      {"a", false, 200}, {"b", false, 0}, {"spare", true, 0}};
  std::vector<rebalance_host> Hosts{
      movable("a1", "a", 0), movable("b1", "b", 100), movable("b2", "b", 300),
      movable("b3", "b", 200)};
  auto Moves = planMoves(Pools, Hosts, 8);
  REQUIRE(Moves.size() == 1);
  CHECK(Moves[0].Host == "b2");
  CHECK(Moves[0].Pool == "a");
}

TEST_CASE("standby hosts move to a pool when no other pool has a surplus") {
  std::vector<pool_view> Pools{{"a", false, 100}, {"spare", true, 0}};
  std::vector<rebalance_host> Hosts{movable("a1", "a", 0),
                                    movable("s1", "spare", 0),
                                    movable("s2", "spare", 0)};
  auto Moves = planMoves(Pools, Hosts, 8);
  REQUIRE(Moves.size() == 1);
  CHECK(Moves[0].Pool == "a");
}

TEST_CASE("hosts move to standby only after an idle time, and the last host "
          "never does") {
  std::vector<pool_view> Pools{{"a", false, 0}, {"spare", true, 0}};
  std::vector<rebalance_host> Fresh{movable("a1", "a", 500),
                                    movable("a2", "a", 500)};
  CHECK(planMoves(Pools, Fresh, 8).empty());
  std::vector<rebalance_host> Idle{movable("a1", "a", 60'000),
                                   movable("a2", "a", 60'000),
                                   movable("a3", "a", 60'000)};
  auto Moves = planMoves(Pools, Idle, 8);
  CHECK(Moves.size() == 1);
  for (const auto &Move : Moves)
    CHECK(Move.Pool == "spare");
}

TEST_CASE("a busy host never moves") {
  std::vector<pool_view> Pools{{"a", false, 500}, {"b", false, 0}};
  auto Busy = movable("b1", "b", 0);
  Busy.MayMove = false;
  std::vector<rebalance_host> Hosts{Busy, Busy};
  CHECK(planMoves(Pools, Hosts, 8).empty());
}

TEST_CASE("a wave never has more hosts down than its limit") {
  wave_record Wave;
  Wave.MaxCount = 2;
  Wave.DeadlineMs = 20'000;
  std::vector<maintenance_host> Hosts;
  for (const char *Name : {"h1", "h2", "h3", "h4"}) {
    Hosts.push_back(idleHost(Name));
    Hosts.back().IsSurplus = true;
  }
  Hosts[0].IsInMaintenance = true;
  auto Plan = planMaintenance(Wave, Hosts, 0, 2000);
  CHECK(Plan.Order.size() == 1);
  Hosts[1].IsInMaintenance = true;
  CHECK(planMaintenance(Wave, Hosts, 0, 2000).Order.empty());
}

TEST_CASE("maintenance never interrupts a task whose budget is used up") {
  wave_record Wave;
  Wave.MaxCount = 4;
  Wave.DeadlineMs = 1;
  auto Host = idleHost("h");
  Host.LongRuns = 1;
  Host.MayInterrupt = false;
  Host.IsCordoned = true;
  Host.CordonedMs = 60'000;
  std::vector<maintenance_host> Hosts{Host};
  CHECK(planMaintenance(Wave, Hosts, 60'000, 2000).Order.empty());
}

TEST_CASE("a busy host drains before its maintenance for a limited time") {
  wave_record Wave;
  Wave.MaxCount = 1;
  Wave.DeadlineMs = 3000;
  auto Host = idleHost("h");
  Host.ShortRuns = 3;
  std::vector<maintenance_host> Hosts{Host};
  auto Plan = planMaintenance(Wave, Hosts, 0, 2000);
  CHECK(Plan.Order.empty());
  CHECK(Plan.Cordon == std::vector<std::string>{"h"});
  Hosts[0].IsCordoned = true;
  Hosts[0].CordonedMs = 2000;
  CHECK(planMaintenance(Wave, Hosts, 2000, 2000).Order.size() == 1);
}

TEST_CASE("the throttle drops at once and recovers in steps") {
  throttle_controller Throttle;
  CHECK(Throttle.update(0.9, at(1s)) == 50);
  CHECK(Throttle.update(0.9, at(1100ms)) == 50);
  CHECK(Throttle.update(1.2, at(2s)) == 0);
  CHECK(Throttle.update(0.3, at(3s)) == 20);
  CHECK(Throttle.update(0.7, at(4s)) == 20);
}

TEST_CASE("an endpoint is not avoided for failures of a single job") {
  endpoint_health Health;
  for (int Index = 0; Index != 6; ++Index)
    Health.record("bad", false, at(1s));
  CHECK(!Health.isAvoided(at(1s)));
}

TEST_CASE("an endpoint is avoided for a while after failures of several jobs") {
  endpoint_health Health;
  for (const char *Job : {"a", "b", "c"})
    Health.record(Job, false, at(1s));
  CHECK(Health.isAvoided(at(2s)));
  CHECK(!Health.isAvoided(at(5s)));
}

TEST_CASE(
    "an endpoint with mostly successes is not avoided for some failures") {
  endpoint_health Health;
  for (int Index = 0; Index != 10; ++Index)
    Health.record("good", true, at(1s));
  for (const char *Job : {"a", "b", "c"})
    Health.record(Job, false, at(1s));
  CHECK(!Health.isAvoided(at(1s)));
}

TEST_CASE("an invalid configuration is refused with the name of the field") {
  auto Unknown = makeConfiguration(1);
  Unknown.Queues[0].Pool = "none";
  REQUIRE(checkConfiguration(Unknown));
  CHECK(checkConfiguration(Unknown)->Field == "queues[0].pool");
  auto Twice = makeConfiguration(1);
  Twice.Queues.push_back(Twice.Queues[0]);
  REQUIRE(checkConfiguration(Twice));
  CHECK(checkConfiguration(Twice)->Field == "queues[1].path_prefix");
  auto NoTime = makeConfiguration(1);
  NoTime.Queues[0].TimeoutMs = 0;
  REQUIRE(checkConfiguration(NoTime));
  CHECK(!checkConfiguration(makeConfiguration(1)));
}

TEST_CASE("a job that depends on a later step is refused") {
  auto Step = makeStep(1);
  Step.DependsOn = {0};
  REQUIRE(checkJob(makeJob("j", {Step})));
  CHECK(checkJob(makeJob("j", {Step}))->Field == "steps[0].depends_on");
  CHECK(checkJob(makeJob("j", {})));
  CHECK(!checkJob(makeJob("j", {makeStep(1)})));
}

namespace {

replication::membership voters(std::initializer_list<const char *> Names) {
  replication::membership Members;
  for (const char *Name : Names)
    Members.Members.push_back({{Name, 1}, true});
  return Members;
}

bool never(const replication::replica_id &) { return false; }
bool always(const replication::replica_id &) { return true; }

/// \returns the membership with a learner of incarnation 9.
replication::membership withLearner(replication::membership Members,
                                    const char *Name) {
  Members.Members.push_back({{Name, 9}, false});
  return Members;
}

const replication::replica_id Leader{"a", 1};

membership_manager makeManager(std::size_t WantedVoters) {
  membership_manager Manager(WantedVoters);
  Manager.reset(Leader, "", at(0s));
  return Manager;
}

} // namespace

// Guards against a cluster that stops for good when the disk of another voter
// is lost between the two changes: of two voters, both are needed.
TEST_CASE("a silent voter is removed after a learner has taken its place") {
  auto Manager = makeManager(3);
  auto Members = withLearner(voters({"a", "b", "c"}), "d");
  Manager.recordHeard({"b", 1}, at(10s));
  Manager.recordHeard({"d", 9}, at(10s));
  auto Change = Manager.next(Members, Leader, at(10s), always);
  REQUIRE(Change);
  CHECK(Change->Kind == "promote");
  CHECK(Change->Replica.Name == "d");
  Change = Manager.next(Change->Target, Leader, at(10s), always);
  REQUIRE(Change);
  CHECK(Change->Kind == "remove_gone");
  CHECK(Change->Replica.Name == "c");
  CHECK(!Manager.next(Change->Target, Leader, at(10s), always));
}

TEST_CASE("a spare takes the place of a voter that lost its disk") {
  auto Manager = makeManager(3);
  Manager.recordJoinRequest({"b", 7}, "", at(1s));
  Manager.recordHeard({"c", 1}, at(1s));
  Manager.recordHeard({"d", 9}, at(1s));
  std::vector<std::string> Kinds;
  auto Members = withLearner(voters({"a", "b", "c"}), "d");
  while (auto Change = Manager.next(Members, Leader, at(1s), always)) {
    Kinds.emplace_back(Change->Kind);
    Members = Change->Target;
    REQUIRE(Kinds.size() < 9);
  }
  CHECK(Kinds ==
        std::vector<std::string>{"promote", "remove_gone", "add_learner"});
  CHECK(Members.Members.back() == replication::member{{"b", 7}, false});
}

// Guards against a lost voter that stays beside its replacement, so that three
// of four voters are needed.
TEST_CASE("a voter that failed just before its replacement joined is removed "
          "once it is silent") {
  auto Manager = makeManager(3);
  auto Members = withLearner(voters({"a", "b", "c"}), "d");
  Manager.recordHeard({"b", 1}, at(5s));
  Manager.recordHeard({"d", 9}, at(5s));
  Manager.recordHeard({"c", 1}, at(4s));
  CHECK(!Manager.next(Members, Leader, at(5s), always));
  Manager.recordHeard({"b", 1}, at(9s));
  Manager.recordHeard({"d", 9}, at(9s));
  auto Change = Manager.next(Members, Leader, at(9s), always);
  REQUIRE(Change);
  CHECK(Change->Kind == "promote");
  Change = Manager.next(Change->Target, Leader, at(9s), always);
  REQUIRE(Change);
  CHECK(Change->Kind == "remove_gone");
  CHECK(Change->Replica.Name == "c");
  CHECK(!Manager.next(Change->Target, Leader, at(60s), always));
}

// Guards against changes that are on fewer disks than wanted while suspended
// voters keep theirs.
TEST_CASE("a silent voter is not removed while there are too few voters") {
  auto Manager = makeManager(5);
  auto Members = withLearner(voters({"a", "b", "c", "d"}), "e");
  for (const char *Name : {"b", "c"})
    Manager.recordHeard({Name, 1}, at(10s));
  Manager.recordHeard({"e", 9}, at(10s));
  auto Change = Manager.next(Members, Leader, at(10s), always);
  REQUIRE(Change);
  CHECK(Change->Kind == "promote");
  CHECK(!Manager.next(Change->Target, Leader, at(10s), always));
}

// A cluster of an earlier version may have more voters than wanted, and a
// silent voter may answer again after a spare was promoted.
TEST_CASE("more voters than wanted are reduced, the silent ones first") {
  auto Members = voters({"a", "b", "c", "d"});
  auto Manager = makeManager(3);
  for (const char *Name : {"b", "c"})
    Manager.recordHeard({Name, 1}, at(10s));
  auto Change = Manager.next(Members, Leader, at(10s), always);
  REQUIRE(Change);
  CHECK(Change->Replica.Name == "d");
  CHECK(!Manager.next(Change->Target, Leader, at(60s), always));
  auto Other = makeManager(3);
  Other.recordJoinRequest({"b", 1}, "z1", at(2s));
  Other.recordJoinRequest({"c", 1}, "z2", at(2s));
  CHECK(!Other.next(Members, Leader, at(2s), always)); // d may become silent.
  Other.recordJoinRequest({"d", 1}, "z2", at(2s));
  Change = Other.next(Members, Leader, at(2s), always);
  REQUIRE(Change);
  CHECK(Change->Kind == "remove_surplus");
  CHECK(Change->Replica.Name == "c");
}

TEST_CASE("a silent voter stays while there is no replacement") {
  auto Manager = makeManager(3);
  CHECK(!Manager.next(voters({"a", "b", "c"}), Leader, at(60s), always));
}

// Guards against a voter that is removed for a replica that has no copy yet.
TEST_CASE("a silent voter stays while its replacement is not caught up or is "
          "silent too") {
  auto Manager = makeManager(3);
  auto Members = withLearner(voters({"a", "b", "c"}), "d");
  Manager.recordHeard({"b", 1}, at(10s));
  CHECK(!Manager.next(Members, Leader, at(10s), always));
  Manager.recordHeard({"d", 9}, at(10s));
  CHECK(!Manager.next(Members, Leader, at(10s), never));
}

// Guards against more voters than wanted, each of which makes every commit
// slower.
TEST_CASE("a learner beyond the wanted voters stays a spare") {
  auto Manager = makeManager(3);
  auto Members = withLearner(voters({"a", "b", "c"}), "d");
  for (const char *Name : {"b", "c"})
    Manager.recordHeard({Name, 1}, at(1s));
  Manager.recordHeard({"d", 9}, at(1s));
  CHECK(!Manager.next(Members, Leader, at(1s), always));
  auto Larger = makeManager(5);
  Larger.recordHeard({"d", 9}, at(1s));
  auto Change = Larger.next(Members, Leader, at(1s), always);
  REQUIRE(Change);
  CHECK(Change->Kind == "promote");
}

// Guards against voters that are all lost with one availability zone.
TEST_CASE("the learner of the availability zone with the fewest voters is "
          "promoted first") {
  auto Manager = makeManager(5);
  Manager.reset(Leader, "z1", at(0s));
  Manager.recordJoinRequest({"b", 1}, "z2", at(1s));
  Manager.recordJoinRequest({"c", 1}, "z2", at(1s));
  Manager.recordJoinRequest({"d", 9}, "z2", at(1s));
  Manager.recordJoinRequest({"e", 9}, "z3", at(1s));
  auto Members = withLearner(withLearner(voters({"a", "b", "c"}), "d"), "e");
  auto Change = Manager.next(Members, Leader, at(1s), always);
  REQUIRE(Change);
  CHECK(Change->Kind == "promote");
  CHECK(Change->Replica.Name == "e");
}

// Guards against the loss of the majority with one availability zone, after an
// earlier loss of another one.
TEST_CASE("a voter of the availability zone with the most voters is replaced "
          "by a spare of the one with the fewest") {
  auto Manager = makeManager(3);
  Manager.reset(Leader, "z1", at(0s));
  auto Members = withLearner(voters({"a", "b", "c"}), "d");
  auto Record = [&](core::time_point Now, const char *ZoneOfLearner) {
    Manager.recordJoinRequest({"b", 1}, "z2", Now);
    Manager.recordJoinRequest({"c", 1}, "z2", Now);
    Manager.recordJoinRequest({"d", 9}, ZoneOfLearner, Now);
  };
  Record(at(20s), "");
  CHECK(!Manager.next(Members, Leader, at(20s), always));
  Record(at(20s), "z1");
  CHECK(!Manager.next(Members, Leader, at(20s), always));
  Record(at(20s), "z3");
  CHECK(!Manager.next(Members, Leader, at(20s), never));
  auto Change = Manager.next(Members, Leader, at(20s), always);
  REQUIRE(Change);
  CHECK(Change->Kind == "promote");
  Change = Manager.next(Change->Target, Leader, at(20s), always);
  REQUIRE(Change);
  CHECK(Change->Kind == "remove_surplus");
  CHECK(Change->Replica.Name == "b");
  CHECK(!Manager.next(Change->Target, Leader, at(20s), always));
}

// Guards against a delayed request of an earlier incarnation that removes the
// present one.
TEST_CASE("a replica that still answers is not removed for a request of "
          "another incarnation") {
  auto Manager = makeManager(3);
  Manager.recordJoinRequest({"b", 7}, "", at(1s));
  Manager.recordHeard({"b", 1}, at(1s));
  auto Members = voters({"a", "b", "c"});
  CHECK(!Manager.next(Members, Leader, at(1s), never));
  CHECK(!Manager.next(Members, Leader, at(5s), never));
}

TEST_CASE("a cluster grows while a replica that is to become a voter is in "
          "contact") {
  auto Manager = makeManager(3);
  auto Members = voters({"a"});
  CHECK(!Manager.isGrowing(Members, at(1s)));
  Manager.recordJoinRequest({"d", 9}, "", at(1s));
  CHECK(Manager.isGrowing(Members, at(2s)));
  CHECK(!Manager.isGrowing(Members, at(5s)));
  CHECK(!Manager.isGrowing(voters({"a", "b", "c"}), at(2s)));
  Manager.recordHeard({"d", 9}, at(5s));
  CHECK(Manager.isGrowing(withLearner(Members, "d"), at(5s)));
}

TEST_CASE("smoothed demand rises at once and halves in a second") {
  // Without smoothing the demand drops as soon as waiting jobs become late, and
  // hosts leave the pool while the peak still grows.
  demand_smoother Smoother;
  auto At = [](int Ms) {
    return core::time_point(std::chrono::milliseconds(Ms));
  };
  CHECK(Smoother.update(100, At(1000)) == Approx(100));
  CHECK(Smoother.update(0, At(2000)) == Approx(50));
  CHECK(Smoother.update(80, At(2100)) == Approx(80));
  CHECK(Smoother.update(10, At(12'000)) == Approx(10));
}

// Guards against a gang that never fits and keeps each leader busy for longer
// than the election time-out: the checks of one round are counted.
TEST_CASE("a gang that does not fit costs one pass over the endpoints for each "
          "rack") {
  auto Targets = makeTargets(100, 16'000);
  for (std::size_t Index = 0; Index != Targets.size(); ++Index) {
    Targets[Index].Rack = "rack-" + std::to_string(Index / 10);
    Targets[Index].Free.MemoryMb = 1'000'000;
  }
  auto State = makeState(0);
  // 99 tasks fit on each endpoint.
  auto Step = makeStep(10'000, 160);
  Step.Size.MemoryMb = 10'000;
  Step.IsGang = true;
  Step.PrefersSameRack = true;
  SECTION("too little room") {
    Step.Size.MilliCores = 161;
    State.apply(submission(makeJob("g", {Step})), 0);
    std::uint64_t Checks = 0;
    CHECK(place(State, Targets, 0, &Checks).empty());
    CHECK(Checks <= 11 * Targets.size());
  }
  SECTION("just enough room") {
    State.apply(submission(makeJob("g", {Step})), 0);
    CHECK(place(State, Targets).size() == 10'000);
  }
  SECTION("the limit per endpoint leaves too little room") {
    Step.MaxPerEndpoint = 99;
    State.apply(submission(makeJob("g", {Step})), 0);
    CHECK(place(State, Targets).empty());
  }
}

// Guards against overflow, after which a job with extreme estimates would
// precede all others.
TEST_CASE("ranks of jobs with extreme estimates stay in order") {
  constexpr std::uint32_t Largest = 2'147'483'647;
  auto State = makeState(1);
  std::vector<step_spec> Steps;
  for (std::uint32_t Index = 0; Index != 256; ++Index) {
    Steps.push_back(makeStep(39, Largest, Largest));
    if (Index > 0)
      Steps.back().DependsOn = {Index - 1};
  }
  State.apply(submission(makeJob("extreme", Steps)), 1000);
  State.apply(submission(makeJob("plain", {makeStep(1)})), 1000);
  duration_model Model;
  for (int Count = 0; Count != 200; ++Count)
    Model.record(1 + Count % 3, Count % 2 == 0 ? 1 : 1e9);
  auto Configuration = makeConfiguration(2);
  auto &Queue = Configuration.Queues[0];
  Queue.SlackThousandths = 1'000'000'000;
  auto Rank = [&](const char *Id, const duration_model &Used) {
    const auto &Job = *State.findJob(Id);
    return rankOf(Job, Job.OpenOccurrences[0], &Queue, Used, 2000);
  };
  for (const auto &Used : {duration_model(), Model}) {
    CHECK(Rank("extreme", Used).LatestStartMs >= 1000);
    CHECK(Rank("extreme", Used).RemainingWork >
          Rank("plain", Used).RemainingWork);
  }
  CHECK(Rank("plain", Model).Group == groupAt(Rank("plain", Model), 2000));
}
