#include "fake_site.h"
#include "schedule_fixture.h"
#include "scheduling/placer.h"
#include "scheduling/waiting_index.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// Guards against workspaces that run more than their limit, or that wait for a
// limit which they have not reached.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

// A run whose progress stays the same for long looks stalled.
constexpr int ForeverMs = 60'000;

/// \param MilliCores limit, or 0 for none.
workspaces::workspace_spec makeWorkspace(std::string Name,
                                         std::uint32_t MilliCores) {
  workspaces::workspace_spec Spec;
  Spec.Keys = {workspaces::digestOf(Name)};
  Spec.Name = std::move(Name);
  Spec.Weight = 1000;
  Spec.Limit.MilliCores = MilliCores;
  return Spec;
}

set_configuration
withWorkspaces(const schedule_state &State,
               std::vector<workspaces::workspace_spec> Workspaces) {
  auto Configuration = State.currentConfiguration();
  ++Configuration.Version;
  Configuration.Workspaces = std::move(Workspaces);
  Configuration.RequiresKeys = true;
  return {Configuration};
}

submit_job submissionOf(const std::string &Workspace, job_spec Job) {
  auto Submit = submission(std::move(Job));
  Submit.KeyDigest = workspaces::digestOf(Workspace);
  return Submit;
}

step_spec gang(std::uint32_t Count, std::uint32_t MilliCores) {
  auto Step = makeStep(Count, MilliCores);
  Step.IsGang = true;
  return Step;
}

core::time_point now(const fake_site &Site) {
  return core::time_point(std::chrono::milliseconds(Site.wallMs()));
}

/// Workspace `w` with a limit and `v` without one, on endpoints with far more
/// room than the limit. Runs do not end by themselves.
class limited_site : public fake_site {
public:
  explicit limited_site(std::uint32_t MilliCores) : fake_site(6, 1, {}) {
    setLimit(MilliCores);
    setRunTimes(ForeverMs, 1);
    run(1600);
  }
  void setLimit(std::uint32_t MilliCores) {
    apply(withWorkspaces(
        State, {makeWorkspace("w", MilliCores), makeWorkspace("v", 0)}));
  }
  void submit(const std::string &Id, step_spec Step,
              const std::string &Workspace = "w") {
    apply(submissionOf(Workspace, makeJob(Id, {std::move(Step)})));
  }
  void cancel(const std::string &Id) {
    auto Job = State.findJob(Id);
    REQUIRE(Job);
    cancel_job Cancel{Host, Prefix + Id, Id};
    Cancel.KeyDigest = workspaces::digestOf(Job->Workspace);
    apply(Cancel);
  }
  std::uint64_t running(const std::string &Workspace = "w") const {
    return runningMilliCores()[Workspace];
  }
  std::uint32_t runsOf(const std::string &Id) const {
    return State.findJob(Id)->RunsLeft;
  }
  job_state stateOf(const std::string &Id) const {
    return State.findJob(Id)->State;
  }
};

std::uint64_t usageIn(const schedule_state &State, const std::string &Pool) {
  auto Found = State.workspaceUsage().find("w");
  if (Found == State.workspaceUsage().end())
    return 0;
  auto InPool = Found->second.ByPool.find(Pool);
  return InPool == Found->second.ByPool.end() ? 0 : InPool->second.MilliCores;
}

std::uint64_t totalOf(const schedule_state &State) {
  auto Found = State.workspaceUsage().find("w");
  return Found == State.workspaceUsage().end() ? 0
                                               : Found->second.Total.MilliCores;
}

} // namespace

TEST_CASE("workspaces: a backlog uses its limit up and no more") {
  limited_site Site(4500);
  Site.submit("j", makeStep(20, 1000));
  Site.run(2000);
  CHECK(Site.running() == 4000);
  // A smaller task fits what is left.
  Site.submit("k", makeStep(2, 500));
  Site.run(1000);
  CHECK(Site.running() == 4500);
}

TEST_CASE("workspaces: one at its limit keeps no other from starting") {
  limited_site Site(1000);
  for (int Job = 0; Job != 100; ++Job)
    Site.submit("j" + std::to_string(Job), makeStep(3, 1000));
  Site.run(1000);
  Site.submit("o", makeStep(4, 1000), "v");
  Site.run(200);
  CHECK(Site.running("v") == 4000);
  CHECK(Site.running() == 1000);
}

TEST_CASE("workspaces: a gang fits the limit as a whole or waits") {
  limited_site Site(4000);
  Site.submit("a", makeStep(1, 1000));
  Site.submit("b", makeStep(1, 1000));
  Site.run(1000);
  Site.submit("large", gang(3, 1000));
  Site.run(1000);
  CHECK(Site.stateOf("large") == job_state::Queued);
  CHECK(Site.running() == 2000);
  // A gang that is complete takes a second or two.
  Site.cancel("a");
  auto Starts = Site.Starts;
  Site.run(3000);
  CHECK(Site.stateOf("large") == job_state::Complete);
  CHECK(Site.Starts == Starts + 3);
}

// Guards against steps behind a gang that is larger than what its workspace has
// left: they ask for the same size on an endpoint.
TEST_CASE("workspaces: a gang that waits for the limit holds no smaller step") {
  limited_site Site(8000);
  for (int Job = 0; Job != 40; ++Job)
    Site.submit("large" + std::to_string(Job), gang(9, 1000));
  Site.run(500);
  Site.submit("small", gang(3, 1000));
  auto Spread = makeStep(1, 1000);
  Spread.MaxPerEndpoint = 1;
  Site.submit("spread", Spread);
  Site.run(1000);
  CHECK(Site.stateOf("small") != job_state::Queued);
  CHECK(Site.runsOf("spread") == 1);
  CHECK(Site.stateOf("large0") == job_state::Queued);
}

// Guards against members of a gang without room that count although they were
// taken back in the round.
TEST_CASE("workspaces: a gang without room uses nothing of the limit") {
  limited_site Site(60'000);
  Site.submit("fill", makeStep(6, 6000), "v");
  Site.run(500);
  // Each endpoint has room for one member at most.
  Site.submit("gang", gang(7, 2000));
  Site.submit("j", makeStep(6, 2000));
  Site.run(1000);
  CHECK(Site.runsOf("gang") == 0);
  CHECK(Site.runsOf("j") == 6);
}

TEST_CASE("workspaces: a lowered limit starts nothing more and stops nothing") {
  limited_site Site(4000);
  for (int Job = 0; Job != 8; ++Job)
    Site.submit("j" + std::to_string(Job), makeStep(1, 1000));
  Site.run(1000);
  REQUIRE(Site.running() == 4000);
  std::vector<std::string> Running;
  for (const auto &[Id, Job] : Site.State.jobs())
    if (Job.RunsLeft > 0)
      Running.push_back(Id);
  Site.setLimit(2000);
  auto Starts = Site.Starts;
  Site.run(1000);
  CHECK(Site.running() == 4000);
  Site.cancel(Running[0]);
  Site.cancel(Running[1]);
  Site.run(2000);
  CHECK(Site.running() == 2000);
  CHECK(Site.Starts == Starts);
  Site.cancel(Running[2]);
  Site.run(2000);
  CHECK(Site.running() == 2000);
  CHECK(Site.Starts == Starts + 1);
  Site.setLimit(0);
  Site.run(1000);
  CHECK(Site.running() == 5000);
}

TEST_CASE("workspaces: a new leader derives the same usage before it starts "
          "anything") {
  limited_site Site(3000);
  Site.submit("j", makeStep(6, 1000));
  Site.run(1000);
  for (int Leader = 0; Leader != 3; ++Leader) {
    Site.changeLeader();
    Site.run(500);
    CHECK(Site.running() == 3000);
    CHECK(totalOf(Site.State) == 3000);
  }
  auto Restored = schedule_state::restore(Site.State.snapshot());
  REQUIRE(Restored);
  CHECK(totalOf(*Restored) == 3000);
  CHECK(usageIn(*Restored, "a") == usageIn(Site.State, "a"));
}

// Guards against a usage that stays in the pool that a job has left, or that
// becomes negative there.
TEST_CASE("workspaces: usage follows a job to the pool of its queue") {
  auto State = makeState(2);
  State.apply(withWorkspaces(State, {makeWorkspace("w", 0)}), 1000);
  auto Idle = makeStep(1, 0);
  Idle.Size.MemoryMb = 0;
  State.apply(submissionOf("w", makeJob("j", {makeStep(2, 1000), Idle})), 1000);
  for (std::uint32_t Index = 0; Index != 2; ++Index)
    State.apply(start_run{{"j", 0, 0, Index}, 1, 1}, 1000);
  State.apply(start_run{{"j", 0, 1, 0}, 1, 1}, 1000);
  CHECK(usageIn(State, "a") == 2000);
  auto Configuration = State.currentConfiguration();
  ++Configuration.Version;
  Configuration.Queues[0].Pool = "b";
  State.apply(set_configuration{Configuration}, 2000);
  CHECK(usageIn(State, "a") == 0);
  CHECK(usageIn(State, "b") == 2000);
  State.apply(end_run{{"j", 0, 0, 0}, 1, run_end::Done, ""}, 2000);
  State.apply(end_run{{"j", 0, 1, 0}, 1, run_end::Done, ""}, 2000);
  CHECK(usageIn(State, "b") == 1000);
  // The job ends before its last run.
  cancel_job Cancel{Host, Prefix + "j", "j"};
  Cancel.KeyDigest = workspaces::digestOf("w");
  State.apply(Cancel, 2000);
  Configuration.Queues[0].Pool = "a";
  ++Configuration.Version;
  State.apply(set_configuration{Configuration}, 3000);
  CHECK(totalOf(State) == 1000);
  State.apply(end_run{{"j", 0, 0, 1}, 1, run_end::Stopped, ""}, 3000);
  CHECK(State.workspaceUsage().empty());
}

TEST_CASE("workspaces: a task that waits for the limit is reported with it") {
  limited_site Site(4000);
  auto Step = makeStep(2, 3000);
  Step.IsLongRunning = true;
  Site.submit("j", Step);
  Site.run(1000);
  auto Tasks = Site.current().unservedTasks(now(Site), Site.wallMs(), false);
  CHECK(std::count_if(Tasks.begin(), Tasks.end(), [](const auto &Task) {
          return Task.Endpoint == 0 && Task.WaitsFor == "workspace_limit";
        }) == 1);
}

TEST_CASE("workspaces: the report of a round counts steps held by a limit") {
  auto State = makeState(0);
  State.apply(withWorkspaces(State, {makeWorkspace("w", 4000)}), 1000);
  State.apply(submissionOf("w", makeJob("j", {makeStep(3, 1500)})), 1000);
  State.apply(submissionOf("w", makeJob("k", {makeStep(1, 1500)})), 1000);
  duration_models Durations;
  rank_cache Ranks(Durations);
  waiting_index Index(State, Ranks);
  Index.update(2000);
  placement_target Target;
  Target.Endpoint = 1;
  Target.Pool = "a";
  Target.Free = {64'000, 100'000, 0};
  std::vector<placement_target *> Targets{&Target};
  workspaces::start_budget Budget([&](std::string_view Name) {
    return workspaces::start_budget::account{
        {}, State.findWorkspaceByName(Name)->Limit};
  });
  placement_report Report;
  placement_request Request;
  Request.MaxStarts = 100;
  Request.Budget = &Budget;
  Request.Report = &Report;
  CHECK(placeRuns(Index, {}, Targets, Request).size() == 2);
  CHECK(Report.Pools["a"][placement_failure::WorkspaceLimit] >= 1);
  CHECK(Report.Pools["a"][placement_failure::Size] == 0);
}

namespace {

/// One endpoint whose answers the test gives, and workspace `w` with a limit of
/// 4,000 thousandths of a core.
class orphan_harness {
public:
  orphan_harness() {
    State.apply(set_configuration{makeConfiguration(1)}, 0);
    State.apply(withWorkspaces(State, {makeWorkspace("w", 4000)}), 0);
    Leader.emplace(leader_settings(), 5, State, Metrics, Now);
    apply(record_endpoint{makeEndpoint("e1")});
  }
  void apply(const command &Command) {
    Leader->recordApplied(Command, State.apply(Command, 1000), Now);
  }
  void heartbeat() {
    endpoint_heartbeat Heartbeat;
    Heartbeat.Facts = makeEndpoint("e1");
    Heartbeat.Sequence = ++Sequence;
    Heartbeat.ClockMs = Sequence;
    Leader->recordHeartbeat(Heartbeat, Now);
  }
  void answerPolls(const std::vector<run_row> &Running,
                   const std::vector<end_row> &Ended = {}) {
    Now += 60ms;
    for (auto &Order : Leader->takeOrders(Now)) {
      if (!std::holds_alternative<poll_order>(Order.Body))
        continue;
      endpoint_answer Answer;
      Answer.Verdict = endpoint_verdict::Accepted;
      Answer.ClockMs = 1;
      Answer.Running = Running;
      Answer.Ended = Ended;
      Leader->finishOrder({Order.Id, Answer}, Now);
    }
  }
  void commit() {
    for (const auto &Command : Leader->takeCommands(Now, 1000))
      apply(Command);
  }
  std::uint32_t runsOf(const std::string &Id) const {
    return State.findJob(Id)->RunsLeft;
  }

  schedule_state State;
  core::metrics_registry Metrics;
  core::time_point Now{1s};
  std::optional<leader> Leader;

private:
  std::uint64_t Sequence = 0;
};

} // namespace

// Guards against an endpoint that is still at work on a run which was recorded
// as over: its workspace would exceed the limit meanwhile.
TEST_CASE("workspaces: a run that an endpoint lists counts although it is not "
          "assigned") {
  orphan_harness Harness;
  Harness.apply(submissionOf("w", makeJob("o", {makeStep(1, 3000)})));
  cancel_job Cancel{Host, Prefix + "o", "o"};
  Cancel.KeyDigest = workspaces::digestOf("w");
  Harness.apply(Cancel);
  run_row Orphan{{"o", 0, 0, 0}, 1, "", 10, std::nullopt};
  Harness.heartbeat();
  Harness.answerPolls({Orphan});
  Harness.apply(submissionOf("w", makeJob("j", {makeStep(1, 2000)})));
  for (int Round = 0; Round != 5; ++Round) {
    Harness.commit();
    CHECK(Harness.runsOf("j") == 0);
    Harness.Now += 300ms;
    Harness.heartbeat();
    Harness.answerPolls({Orphan});
  }
  Harness.answerPolls({}, {{1, Orphan.Task, 1, run_end::Stopped, ""}});
  Harness.Now += 20ms;
  Harness.commit();
  CHECK(Harness.runsOf("j") == 1);
}
