#include "placement/placer.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace lycheetrestle;
using namespace lycheetrestle::placement;
using fleet::job_record;
using fleet::job_state;
using fleet::work_class;

namespace {

std::vector<worker_view> workers(std::size_t Count) {
  static const std::vector<std::string> Names = {"w0", "w1", "w2", "w3", "w4"};
  std::vector<worker_view> Result;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Result.push_back({Names[Index], "gate", "z", "r", {8, 8000, 0}, 3, true});
  return Result;
}

job_record waiting(std::uint64_t Id, work_class Class, std::uint32_t Cores) {
  job_record Job;
  Job.Id = Id;
  Job.Team = "team";
  Job.Pool = "gate";
  Job.Class = Class;
  Job.Declared = {Cores, 1000, 0};
  Job.SubmittedMs = std::int64_t(Id);
  return Job;
}

job_record running(std::uint64_t Id, work_class Class, std::uint32_t Cores,
                   std::string Host) {
  auto Job = waiting(Id, Class, Cores);
  Job.State = job_state::Running;
  Job.Host = std::move(Host);
  Job.Lease = 1;
  Job.LeaseUntilMs = 10000;
  return Job;
}

std::vector<fleet::team_spec> oneTeam(std::uint32_t Cores = 1000) {
  return {{"team", {Cores, 1000000, 100}}};
}

std::vector<placement_action> plan(const std::vector<worker_view> &Workers,
                                   const std::vector<job_record> &Jobs,
                                   std::uint32_t QuotaCores = 1000,
                                   std::int64_t NowMs = 5000) {
  placer_settings Settings;
  Settings.ScaleDownByTeamUsage = true;
  return planPlacement(Workers, Jobs, oneTeam(QuotaCores), NowMs, Settings);
}

const placement_action *find(const std::vector<placement_action> &Actions,
                             action_kind Kind, std::uint64_t Job) {
  for (const auto &Action : Actions)
    if (Action.Kind == Kind && Action.Job == Job)
      return &Action;
  return nullptr;
}

} // namespace

TEST_CASE("urgent jobs are placed first and starts carry the epoch") {
  auto Actions = plan(workers(1), {waiting(1, work_class::Batch, 6),
                                   waiting(2, work_class::Urgent, 6)});
  REQUIRE(Actions.size() == 1);
  CHECK(Actions[0].Job == 2);
  CHECK(Actions[0].Host == "w0");
  CHECK(Actions[0].HostEpoch == 3);
}

// Declared sizes are often far too large: reported usage must replace them when
// a worker is filled, and a declaration beyond any worker must not make a job
// impossible.
TEST_CASE("reported usage replaces declared sizes") {
  std::vector<job_record> Jobs;
  for (std::uint64_t Id = 1; Id <= 4; ++Id) {
    Jobs.push_back(running(Id, work_class::Normal, 8, "w0"));
    Jobs.back().Learned = {1, 250, 0};
  }
  CHECK(plan(workers(1), Jobs).empty());
  Jobs.push_back(waiting(5, work_class::Normal, 8));
  Jobs[0].Learned = Jobs[1].Learned = {2, 250, 0};
  // Reserved: 3 + 3 + 2 + 2 cores of 8.
  CHECK(find(plan(workers(1), Jobs), action_kind::Start, 5) == nullptr);
  Jobs[0].Learned = Jobs[1].Learned = {1, 250, 0};
  CHECK(find(plan(workers(1), Jobs), action_kind::Start, 5) == nullptr);
  Jobs.erase(Jobs.begin());
  CHECK(find(plan(workers(1), Jobs), action_kind::Start, 5) != nullptr);
  Jobs.push_back(waiting(6, work_class::Normal, 20));
  CHECK(find(plan(workers(1), Jobs), action_kind::Impossible, 6) == nullptr);
}

TEST_CASE(
    "urgent work checkpoints as few batch jobs as possible, the latest first") {
  std::vector<job_record> Jobs = {running(1, work_class::Batch, 4, "w0"),
                                  running(2, work_class::Batch, 4, "w0"),
                                  running(3, work_class::Normal, 8, "w1"),
                                  waiting(4, work_class::Urgent, 3)};
  auto Actions = plan(workers(2), Jobs);
  REQUIRE(Actions.size() == 1);
  CHECK(Actions[0].Kind == action_kind::Checkpoint);
  CHECK(Actions[0].Job == 2);
  // The next round repeats the choice while the checkpoint is under way.
  CHECK(plan(workers(2), Jobs)[0].Job == 2);
  // No other job takes the capacity that the checkpoint frees.
  Jobs.push_back(waiting(5, work_class::Batch, 1));
  Jobs[1].State = job_state::Checkpointed;
  auto After = plan(workers(2), Jobs);
  REQUIRE(find(After, action_kind::Start, 4) != nullptr);
  CHECK(find(After, action_kind::Start, 2) == nullptr);
}

TEST_CASE("a quota limits a team and only a job larger than it is impossible") {
  std::vector<job_record> Jobs = {running(1, work_class::Normal, 4, "w0"),
                                  waiting(2, work_class::Normal, 4)};
  CHECK(plan(workers(2), Jobs, 7).empty());
  CHECK(plan(workers(2), Jobs, 8).size() == 1);
  auto Rejected = plan(workers(2), Jobs, 3);
  REQUIRE(Rejected.size() == 1);
  CHECK(Rejected[0].Kind == action_kind::Impossible);
  CHECK(Rejected[0].Reason.find("quota") != std::string::npos);
}

TEST_CASE("a job that fits no worker is reported with the reason") {
  auto Workers = workers(2);
  Workers[0].InService = Workers[1].InService = false;
  auto Actions = plan(Workers, {waiting(1, work_class::Normal, 9),
                                waiting(2, work_class::Normal, 8)});
  REQUIRE(Actions.size() == 1);
  CHECK(Actions[0].Kind == action_kind::Impossible);
  CHECK(Actions[0].Reason.find("9 cores") != std::string::npos);
}

// Guards against a job that runs twice, because it is started elsewhere before
// its old lease and the margin have passed.
TEST_CASE("a lease is live until its margin has passed") {
  std::vector<job_record> Jobs = {running(1, work_class::Normal, 4, "w0")};
  CHECK(plan(workers(1), Jobs, 1000, 11999).empty());
  auto Actions = plan(workers(1), Jobs, 1000, 12000);
  REQUIRE(Actions.size() == 1);
  CHECK(Actions[0].Kind == action_kind::ExpireLease);
}

TEST_CASE(
    "a job avoids workers on which it failed, and a bad worker is set aside") {
  std::vector<job_record> Jobs = {waiting(1, work_class::Normal, 1)};
  Jobs[0].FailedOn = {"w0"};
  CHECK(find(plan(workers(2), Jobs), action_kind::Start, 1)->Host == "w1");
  for (std::uint64_t Id = 2; Id <= 3; ++Id) {
    Jobs.push_back(waiting(Id, work_class::Normal, 1));
    Jobs.back().FailedOn = {"w0"};
  }
  Jobs.push_back(waiting(9, work_class::Normal, 1));
  auto Actions = plan(workers(2), Jobs);
  CHECK(std::any_of(Actions.begin(), Actions.end(), [](const auto &Action) {
    return Action.Kind == action_kind::SetAside && Action.Host == "w0" &&
           Action.HostEpoch == 3;
  }));
  CHECK(find(Actions, action_kind::Start, 9)->Host == "w1");
}

// Guards against starts of one round that together exceed a worker's size.
TEST_CASE("a round keeps workers within their size") {
  std::vector<job_record> Jobs;
  for (std::uint64_t Id = 1; Id <= 60; ++Id)
    Jobs.push_back(waiting(Id, work_class(Id % 3), std::uint32_t(1 + Id % 7)));
  std::map<std::string, std::uint32_t> Cores;
  for (const auto &Action : plan(workers(5), Jobs)) {
    REQUIRE(Action.Kind == action_kind::Start);
    Cores[Action.Host] += Jobs[Action.Job - 1].Declared.Cores;
  }
  REQUIRE(Cores.size() == 5);
  for (const auto &[Host, Used] : Cores)
    CHECK(Used == 8);
}

// fleet_state reserves the declared size for a job without reported usage, and
// refuses a start that fits only by the team's usage ratio.
TEST_CASE(
    "without scaling a job without reported usage keeps its declared size") {
  std::vector<job_record> Jobs;
  for (std::uint64_t Id = 1; Id <= 3; ++Id) {
    Jobs.push_back(running(Id, work_class::Normal, 8, "w0"));
    Jobs.back().Learned = {1, 250, 0};
  }
  Jobs.push_back(waiting(4, work_class::Normal, 3));
  CHECK(planPlacement(workers(1), Jobs, oneTeam(), 5000, {}).empty());
  Jobs.back().Declared.Cores = 2;
  CHECK(planPlacement(workers(1), Jobs, oneTeam(), 5000, {}).size() == 1);
}

TEST_CASE("a failed job is retried elsewhere until it counts as bad") {
  std::vector<job_record> Jobs = {waiting(1, work_class::Normal, 1)};
  Jobs[0].State = job_state::Failed;
  Jobs[0].FailedOn = {"w0", "w1"};
  auto Retried = plan(workers(3), Jobs);
  REQUIRE(Retried.size() == 1);
  CHECK(Retried[0].Kind == action_kind::Retry);
  Jobs[0].FailedOn.push_back("w2");
  auto Rejected = plan(workers(3), Jobs);
  REQUIRE(Rejected.size() == 1);
  CHECK(Rejected[0].Kind == action_kind::Impossible);
}

TEST_CASE("batch jobs of an overcommitted worker are checkpointed") {
  std::vector<job_record> Jobs = {running(1, work_class::Batch, 2, "w0"),
                                  running(2, work_class::Normal, 2, "w0")};
  Jobs[1].Learned = {7, 500, 0};
  auto Actions = plan(workers(1), Jobs);
  REQUIRE(Actions.size() == 1);
  CHECK(Actions[0].Kind == action_kind::Checkpoint);
  CHECK(Actions[0].Job == 1);
}

// The state machine refuses a start on capacity that a checkpoint has not freed
// yet.
TEST_CASE("capacity of a preempted job is not used in the same round") {
  std::vector<job_record> Jobs = {running(1, work_class::Batch, 8, "w0"),
                                  waiting(2, work_class::Urgent, 4),
                                  waiting(3, work_class::Normal, 3)};
  auto Actions = plan(workers(1), Jobs);
  REQUIRE(Actions.size() == 1);
  CHECK(Actions[0].Kind == action_kind::Checkpoint);
}

// Guards against checkpointing such a job and restarting it on another worker
// endlessly.
TEST_CASE("a job that outgrows its worker keeps running when it is alone") {
  std::vector<job_record> Jobs = {running(1, work_class::Batch, 2, "w0")};
  Jobs[0].Learned = {9, 500, 0};
  CHECK(plan(workers(1), Jobs).empty());
}

TEST_CASE("the baseline places by declared size in order of submission") {
  auto Jobs = std::vector<job_record>{waiting(1, work_class::Batch, 6),
                                      waiting(2, work_class::Urgent, 6),
                                      waiting(3, work_class::Normal, 2)};
  auto Actions = planPlacementFirstFit(workers(1), Jobs, oneTeam(), 0, {});
  REQUIRE(Actions.size() == 2);
  CHECK(Actions[0].Job == 1);
  CHECK(Actions[1].Job == 3);
}
