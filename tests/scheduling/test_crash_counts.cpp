#include "schedule_fixture.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

// Guards against a task that crashes every endpoint that starts it: nothing
// bounded how often it started again, and each crash lost the other runs of the
// endpoint.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;

namespace {

const task_key Task{"j", 0, 0, 0};

/// A state with a job `j`, endpoints that crash, and a clock.
class crash_harness {
public:
  explicit crash_harness(step_spec Step = makeStep(1), std::uint32_t Tasks = 1)
      : State(makeState(20)) {
    Step.Count = Tasks;
    State.apply(submission(makeJob("j", {Step})), 0);
  }

  std::uint32_t start(const task_key &Key, std::uint32_t Endpoint) {
    const auto *Record = State.findTask(Key);
    auto Attempt = Record ? Record->Attempt + 1 : 1;
    return State.apply(start_run{Key, Attempt, Endpoint}, NowMs) ==
                   apply_outcome::Accepted
               ? Attempt
               : 0;
  }
  void crash(std::uint32_t Endpoint, std::uint32_t SilentMs = 0,
             end_cause Cause = end_cause::Crashed,
             std::vector<task_key> Unstarted = {}) {
    State.apply(end_endpoint{Endpoint, {Cause, SilentMs, std::move(Unstarted)}},
                NowMs);
  }
  /// Records the run as lost because its lease expired.
  void lose(const task_key &Key) {
    State.apply(end_run{Key, State.findTask(Key)->Attempt, run_end::Lost, ""},
                NowMs);
  }
  std::size_t crashes(const task_key &Key = Task) const {
    const auto *Job = State.findJob(Key.Job);
    const auto *Suspect = Job ? Job->findSuspect(Key) : nullptr;
    return Suspect ? Suspect->Crashes.size() : 0;
  }
  job_state stateOf(const std::string &Job = "j") const {
    return State.findJob(Job)->State;
  }
  void submit(const std::string &Id) {
    State.apply(submission(makeJob(Id, {makeStep(1)})), NowMs);
  }
  /// Replaces the state by its restored snapshot.
  void restore() {
    auto Bytes = State.snapshot();
    auto Copy = core::capture([&] { return schedule_state::restore(Bytes); });
    REQUIRE(Copy.index() == 0);
    State = std::get<0>(Copy);
    REQUIRE(State.snapshot() == Bytes);
  }

  schedule_state State;
  std::int64_t NowMs = 100'000;
};

} // namespace

TEST_CASE("a task under which two endpoints crashed alone is given up") {
  crash_harness Site;
  REQUIRE(Site.start(Task, 1) == 1);
  Site.NowMs += 10;
  Site.crash(1);
  CHECK(Site.crashes() == 1);
  CHECK(Site.stateOf() == job_state::Running);
  CHECK(Site.State.suspectJobs().count("j") == 1);
  REQUIRE(Site.start(Task, 2) == 2);
  Site.crash(2);
  CHECK(Site.stateOf() == job_state::Failed);
  CHECK(Site.State.newlyGivenUp() == std::vector<std::string>{"j"});
  CHECK(Site.start(Task, 3) == 0);
  CHECK(Site.State.suspectJobs().empty());
  const auto &Job = *Site.State.findJob("j");
  REQUIRE(Job.GivenUp);
  REQUIRE(Job.GivenUp->Crashes.size() == 2);
  CHECK(Job.GivenUp->Crashes[0].EndpointId == "e1");
  CHECK(Job.GivenUp->Crashes[1].EndpointId == "e2");
  CHECK(Job.RunsLeft == 0);
  // The next command adds none.
  Site.submit("k");
  CHECK(Site.State.newlyGivenUp().empty());
}

TEST_CASE("with other runs on the endpoint a task is given up at the third "
          "crash") {
  crash_harness Site;
  for (std::uint32_t Endpoint = 1; Endpoint <= 3; ++Endpoint) {
    auto Other = "n" + std::to_string(Endpoint);
    Site.submit(Other);
    REQUIRE(Site.start(Task, Endpoint) == Endpoint);
    Site.start({Other, 0, 0, 0}, Endpoint);
    Site.crash(Endpoint);
    CHECK(Site.stateOf(Other) == job_state::Running);
    CHECK((Site.stateOf() == job_state::Failed) == (Endpoint == 3));
  }
  CHECK(Site.State.findJob("j")->GivenUp);
}

TEST_CASE("a run that has been at work for long is not blamed and clears the "
          "count") {
  // A long-running task would otherwise collect the crashes of its hosts.
  auto Step = makeStep(1);
  Step.IsLongRunning = true;
  crash_harness Site(Step);
  Site.start(Task, 1);
  Site.crash(1);
  CHECK(Site.crashes() == 1);
  Site.start(Task, 2);
  Site.NowMs += SoundRunMs + 50;
  Site.submit("k");
  Site.start({"k", 0, 0, 0}, 2);
  Site.crash(2, 50);
  CHECK(Site.crashes() == 0);
  CHECK(Site.State.suspectJobs() == std::set<std::string>{"k"});
  // Sound runs are no neighbours: the second crash of k counts as alone.
  Site.start(Task, 3);
  Site.NowMs += SoundRunMs;
  Site.start({"k", 0, 0, 0}, 3);
  Site.crash(3);
  CHECK(Site.stateOf("k") == job_state::Failed);
  CHECK(Site.stateOf() == job_state::Running);
}

TEST_CASE("a run is sound only as long as its endpoint was known to be alive") {
  crash_harness Site;
  Site.start(Task, 1);
  Site.NowMs += SoundRunMs + 5000;
  Site.crash(1, 15'000);
  CHECK(Site.crashes() == 1);
}

TEST_CASE("a run that certainly did not start is neither blamed nor a "
          "neighbour") {
  crash_harness Site;
  Site.start(Task, 1);
  Site.crash(1);
  Site.start(Task, 2);
  Site.submit("k");
  const task_key Other{"k", 0, 0, 0};
  Site.start(Other, 2);
  Site.crash(2, 0, end_cause::Crashed, {Other});
  CHECK(Site.crashes(Other) == 0);
  CHECK(Site.stateOf() == job_state::Failed);
}

TEST_CASE("planned ends, unknown ends and expired leases are no crashes") {
  crash_harness Site;
  Site.start(Task, 1);
  Site.crash(1, 0, end_cause::Planned);
  Site.start(Task, 2);
  Site.crash(2, 0, end_cause::Unknown);
  Site.start(Task, 3);
  Site.lose(Task);
  CHECK(Site.crashes() == 0);
  CHECK(Site.State.findTask(Task)->isWaiting());
}

TEST_CASE("a crash that is proved after the lease expired counts once") {
  crash_harness Site;
  Site.start(Task, 1);
  Site.NowMs += 5000;
  Site.lose(Task);
  CHECK(Site.State.endpoints().at(1).LostRuns.size() == 1);
  Site.start(Task, 2);
  Site.restore();
  Site.crash(1, 5000);
  CHECK(Site.crashes() == 1);
  // It counts for the run on the endpoint that crashed; the other one
  // continues.
  CHECK(Site.State.findTask(Task)->Endpoint == 2);
  Site.crash(2);
  CHECK(Site.stateOf() == job_state::Failed);
}

TEST_CASE("an endpoint that answers again after a cut has not crashed") {
  crash_harness Site;
  Site.start(Task, 1);
  Site.lose(Task);
  Site.State.apply(record_contact{1}, Site.NowMs);
  Site.crash(1);
  CHECK(Site.crashes() == 0);
}

TEST_CASE("a crash counts once when the endpoint comes back under its id") {
  crash_harness Site;
  Site.start(Task, 1);
  Site.State.apply(
      record_endpoint{makeEndpoint("e1", 9), {end_cause::Crashed, 0, {}}},
      Site.NowMs);
  CHECK(Site.crashes() == 1);
  auto Later = Site.State.findEndpoint("e1", 9)->Number;
  REQUIRE(Site.State.findTask(Task)->Endpoint == Later);
  // The transferred run is the same one.
  Site.crash(Later);
  CHECK(Site.crashes() == 1);
  CHECK(Site.stateOf() == job_state::Running);
  Site.start(Task, 2);
  Site.State.apply(
      record_endpoint{makeEndpoint("e2", 9), {end_cause::Crashed, 0, {}}},
      Site.NowMs);
  // Its run on the later incarnation is to be stopped.
  CHECK(Site.stateOf() == job_state::Failed);
  CHECK(Site.State.findJob("j")->RunsLeft == 1);
  CHECK(Site.State.endpoints().at(22).Runs == std::vector<task_key>{Task});
}

TEST_CASE("the failure of a rack says nothing about a task, the second one "
          "under it does") {
  crash_harness Site;
  for (std::uint32_t Endpoint = 1; Endpoint <= 4; ++Endpoint) {
    REQUIRE(Site.start(Task, Endpoint) == Endpoint);
    Site.crash(Endpoint, 0, end_cause::FailedWithRack);
    CHECK((Site.stateOf() == job_state::Failed) == (Endpoint == 4));
    if (Endpoint < 4)
      CHECK(Site.crashes() == Endpoint - 1);
  }
}

TEST_CASE("members of a gang count by themselves and are no neighbours of each "
          "other") {
  auto Step = makeStep(3);
  Step.IsGang = true;
  crash_harness Site(Step, 3);
  const task_key Second{"j", 0, 0, 1};
  const task_key Third{"j", 0, 0, 2};
  for (std::uint32_t Round = 1; Round <= 2; ++Round) {
    Site.start(Task, Round);
    Site.start(Second, Round);
    Site.start(Third, 10 + Round);
    Site.crash(Round);
    if (Round == 2)
      break;
    CHECK(Site.crashes(Task) == 1);
    CHECK(Site.crashes(Second) == 1);
    CHECK(Site.crashes(Third) == 0);
    Site.State.apply(end_run{Third, 1, run_end::GangMemberEnded, ""},
                     Site.NowMs);
  }
  CHECK(Site.stateOf() == job_state::Failed);
  // The member elsewhere is to be stopped.
  CHECK(Site.State.findJob("j")->RunsLeft == 1);
}

TEST_CASE("there is no verdict on a job that was cancelled") {
  crash_harness Site;
  Site.start(Task, 1);
  Site.crash(1);
  Site.start(Task, 2);
  Site.State.apply(cancel_job{Host, Prefix + "j", "j"}, Site.NowMs);
  Site.crash(2);
  CHECK(Site.stateOf() == job_state::Cancelled);
  CHECK(!Site.State.findJob("j")->GivenUp);
}

TEST_CASE("a task that ends is no suspect any more") {
  crash_harness Site;
  Site.start(Task, 1);
  Site.crash(1);
  Site.start(Task, 2);
  Site.State.apply(end_run{Task, 2, run_end::Done, ""}, Site.NowMs);
  CHECK(Site.State.suspectJobs().empty());
  CHECK(Site.stateOf() == job_state::Complete);
}

TEST_CASE("a verdict alone takes the explained crashes off the neighbours, "
          "once for each task") {
  crash_harness Site;
  const task_key Other{"k", 0, 0, 0};
  Site.submit("k");
  Site.start(Task, 1);
  Site.start(Other, 1);
  Site.crash(1);
  CHECK(Site.crashes(Other) == 1);
  Site.start(Task, 2);
  Site.crash(2);
  REQUIRE(Site.stateOf() == job_state::Failed);
  CHECK(Site.crashes(Other) == 0);
  CHECK(Site.State.suspectJobs().empty());
  // Two tasks that crash endpoints must not clear each other for ever.
  Site.submit("l");
  const task_key Third{"l", 0, 0, 0};
  Site.start(Third, 3);
  Site.start(Other, 3);
  Site.crash(3);
  Site.start(Third, 4);
  Site.crash(4);
  REQUIRE(Site.stateOf("l") == job_state::Failed);
  CHECK(Site.crashes(Other) == 1);
}

TEST_CASE("counts, lost runs and verdicts survive a snapshot") {
  crash_harness Site;
  Site.State.apply(record_host{1, "h1"}, Site.NowMs);
  Site.start(Task, 1);
  Site.NowMs += 10;
  Site.crash(1);
  Site.restore();
  REQUIRE(Site.crashes() == 1);
  const auto &Suspect = *Site.State.findJob("j")->findSuspect(Task);
  CHECK(Suspect.Crashes[0].Host == "h1");
  CHECK(Suspect.RanMs == 10);
  CHECK(Site.State.suspectJobs().count("j") == 1);
  Site.start(Task, 2);
  Site.restore();
  Site.crash(2);
  Site.restore();
  CHECK(Site.stateOf() == job_state::Failed);
  CHECK(Site.State.givenUpJobs().count("j") == 1);
  CHECK(Site.State.findJob("j")->GivenUp->Crashes.size() == 2);
}

TEST_CASE("maintenance that is ordered for a host explains the end of the "
          "endpoint that it runs") {
  crash_harness Site;
  Site.State.apply(record_host{1, "h1"}, Site.NowMs);
  Site.State.apply(record_host{2, "h2"}, Site.NowMs);
  Site.State.apply(start_wave{3, {"h1"}, 1000, 1}, Site.NowMs);
  Site.State.apply(order_maintenance{3, "h1"}, Site.NowMs);
  Site.restore();
  CHECK(Site.State.endpoints().at(1).IsMaintenanceOrdered);
  CHECK(!Site.State.endpoints().at(2).IsMaintenanceOrdered);
}

TEST_CASE("log entries and snapshots of an earlier version are read") {
  // Version without crash counts: fields were appended to the records.
  auto Entry = nlohmann::json::array();
  Entry.push_back(1234);
  Entry.push_back(command(end_endpoint{}).index());
  Entry.push_back(nlohmann::json::array({7}));
  std::string Bytes;
  nlohmann::json::to_cbor(Entry, Bytes);
  auto Batch = decodeBatch(Bytes);
  REQUIRE(Batch);
  CHECK(Batch->Commands == std::vector<command>{end_endpoint{7}});

  crash_harness Site;
  Site.start(Task, 1);
  auto Parts = nlohmann::json::from_cbor(Site.State.snapshot());
  auto CutBy = [](nlohmann::json &Record, std::size_t Count) {
    Record.erase(Record.end() - static_cast<std::ptrdiff_t>(Count),
                 Record.end());
  };
  for (auto &Endpoint : Parts[4])
    CutBy(Endpoint, 3);
  for (auto &Job : Parts[2]) {
    CutBy(Job, 2);
    for (auto &Occurrence : Job[9])
      for (auto &Step : Occurrence[1])
        for (auto &Record : Step[0])
          CutBy(Record, 1);
  }
  std::string Old;
  nlohmann::json::to_cbor(Parts, Old);
  REQUIRE(Old.size() < Site.State.snapshot().size());
  auto Copy = core::capture([&] { return schedule_state::restore(Old); });
  REQUIRE(Copy.index() == 0);
  auto &State = std::get<0>(Copy);
  CHECK(State.findTask(Task)->Endpoint == 1);
  CHECK(State.findTask(Task)->StartedMs == 0);
  CHECK(State.endpoints().at(1).LostRuns.empty());
  // A record that is shorter than the earlier version is still malformed.
  CutBy(Parts[4][0], 1);
  Old.clear();
  nlohmann::json::to_cbor(Parts, Old);
  CHECK(core::captureFailure([&]() -> core::result<void> {
    BOOST_LEAF_CHECK(schedule_state::restore(Old));
    return {};
  }));
}
