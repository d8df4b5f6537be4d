#include "schedule_fixture.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <vector>

// Guards against a task that crashes every endpoint that starts it: nothing
// bounded how often it started again, and each crash lost the other runs of the
// endpoint. Guards as well against a verdict on its job.

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

TEST_CASE("a job is not shown as failed although endpoints crashed under its "
          "task") {
  // Only ends as failed count as attempts.
  crash_harness Site;
  const std::uint32_t Last = MaxCrashRecords + 3;
  for (std::uint32_t Endpoint = 1; Endpoint <= Last; ++Endpoint) {
    REQUIRE(Site.start(Task, Endpoint) == Endpoint);
    Site.NowMs += 10;
    Site.crash(Endpoint);
    CHECK(Site.stateOf() == job_state::Running);
    CHECK(Site.State.findTask(Task)->Failures == 0);
    CHECK(Site.crashes() == std::min<std::size_t>(Endpoint, MaxCrashRecords));
    CHECK(Site.State.suspectJobs().count("j") == 1);
    CHECK(Site.State.newlyCounted().size() == (Endpoint > 1 ? 1 : 0));
  }
  const auto &Suspect = *Site.State.findJob("j")->findSuspect(Task);
  auto History = Suspect.history();
  CHECK(History.Alone == MaxCrashRecords);
  CHECK(History.NewestMs == Site.NowMs);
  CHECK(Suspect.Crashes.back().EndpointId == "e" + std::to_string(Last));
  CHECK(Suspect.Crashes.front().EndpointId == "e4");
  // The next command counts none.
  Site.submit("k");
  CHECK(Site.State.newlyCounted().empty());
  REQUIRE(Site.start(Task, Last + 1) == Last + 1);
  Site.State.apply(end_run{Task, Last + 1, run_end::Done, ""}, Site.NowMs);
  CHECK(Site.stateOf() == job_state::Complete);
}

TEST_CASE("a job is not shown as failed although endpoints crashed under its "
          "task beside other runs") {
  crash_harness Site;
  for (std::uint32_t Endpoint = 1; Endpoint <= 3; ++Endpoint) {
    auto Other = "n" + std::to_string(Endpoint);
    Site.submit(Other);
    REQUIRE(Site.start(Task, Endpoint) == Endpoint);
    Site.start({Other, 0, 0, 0}, Endpoint);
    Site.crash(Endpoint);
    CHECK(Site.stateOf(Other) == job_state::Running);
    CHECK(Site.stateOf() == job_state::Running);
    CHECK(Site.crashes() == Endpoint);
    CHECK(Site.crashes({Other, 0, 0, 0}) == 1);
  }
  CHECK(Site.State.findJob("j")->findSuspect(Task)->history().Alone == 0);
}

TEST_CASE("a crash counts as explained from the second crash of a task on, if "
          "it was alone once") {
  // Sound tasks that crash together explain nothing.
  crash_harness Site;
  auto Unexplained = [&] {
    return Site.State.crashCensus().Unexplained.size();
  };
  const task_key Other{"k", 0, 0, 0};
  Site.submit("k");
  for (std::uint32_t Endpoint = 1; Endpoint <= 2; ++Endpoint) {
    Site.start(Task, Endpoint);
    Site.start(Other, Endpoint);
    Site.NowMs += ShortRunMs + 1;
    Site.crash(Endpoint);
    CHECK(Unexplained() == Endpoint);
  }
  Site.start(Task, 3);
  Site.crash(3);
  CHECK(Unexplained() == 0);
  CHECK(Site.State.crashCensus().Endpoints.begin()->second == 17);
  Site.crash(4, 0, end_cause::FailedWithRack);
  CHECK(Unexplained() == 1);
  Site.crash(5, 0, end_cause::Planned);
  CHECK(Unexplained() == 1);
  // A new leader judges in the same way.
  Site.restore();
  CHECK(Unexplained() == 1);
  // Not when the task is known to be sound.
  Site.start(Task, 6);
  Site.State.apply(end_run{Task, 4, run_end::Done, ""}, Site.NowMs);
  CHECK(Unexplained() == 4);
  // Old crashes are dropped.
  Site.NowMs += RecentCrashMs + 1;
  Site.crash(6);
  CHECK(Unexplained() == 1);
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
  const auto &Suspect = *Site.State.findJob("k")->findSuspect({"k", 0, 0, 0});
  REQUIRE(Suspect.Crashes.size() == 2);
  CHECK(Suspect.Crashes[1].IsAlone);
  CHECK(Site.crashes() == 0);
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
  REQUIRE(Site.crashes() == 2);
  CHECK(Site.State.findJob("j")->findSuspect(Task)->Crashes[1].IsAlone);
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
  CHECK(Site.crashes() == 2);
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
  CHECK(Site.crashes() == 2);
  CHECK(Site.stateOf() == job_state::Running);
  CHECK(Site.State.findJob("j")->RunsLeft == 1);
  CHECK(Site.State.endpoints().at(22).Runs == std::vector<task_key>{Task});
}

TEST_CASE("the failure of a rack says nothing about a task, the second one "
          "under it does") {
  crash_harness Site;
  for (std::uint32_t Endpoint = 1; Endpoint <= 4; ++Endpoint) {
    REQUIRE(Site.start(Task, Endpoint) == Endpoint);
    Site.crash(Endpoint, 0, end_cause::FailedWithRack);
    CHECK(Site.stateOf() == job_state::Running);
    CHECK(Site.crashes() == Endpoint - 1);
  }
  CHECK(Site.State.findJob("j")->findSuspect(Task)->history().Alone == 0);
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
  // Alone together, they do not clear each other.
  for (const auto &Member : {Task, Second}) {
    REQUIRE(Site.crashes(Member) == 2);
    CHECK(Site.State.findJob("j")->findSuspect(Member)->history().Alone == 2);
  }
  CHECK(Site.crashes(Third) == 0);
  CHECK(Site.State.findJob("j")->RunsLeft == 1);
}

TEST_CASE("no crash counts for a job that was cancelled") {
  crash_harness Site;
  Site.start(Task, 1);
  Site.crash(1);
  Site.start(Task, 2);
  Site.State.apply(cancel_job{Host, Prefix + "j", "j"}, Site.NowMs);
  Site.crash(2);
  CHECK(Site.stateOf() == job_state::Cancelled);
  CHECK(Site.crashes() == 0);
  CHECK(Site.State.suspectJobs().empty());
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

TEST_CASE("a second crash alone takes the explained crashes off the "
          "neighbours, once for each task") {
  crash_harness Site;
  const task_key Other{"k", 0, 0, 0};
  Site.submit("k");
  Site.start(Task, 1);
  Site.start(Other, 1);
  Site.crash(1);
  CHECK(Site.crashes(Other) == 1);
  Site.start(Task, 2);
  Site.crash(2);
  REQUIRE(Site.crashes() == 2);
  CHECK(Site.crashes(Other) == 0);
  CHECK(Site.State.suspectJobs() == std::set<std::string>{"j"});
  // Two tasks that crash endpoints must not clear each other for ever.
  Site.submit("l");
  const task_key Third{"l", 0, 0, 0};
  Site.start(Third, 3);
  Site.start(Other, 3);
  Site.crash(3);
  Site.start(Third, 4);
  Site.crash(4);
  REQUIRE(Site.crashes(Third) == 2);
  CHECK(Site.crashes(Other) == 1);
}

TEST_CASE("counts and lost runs survive a snapshot") {
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
  REQUIRE(Site.crashes() == 2);
  auto History = Site.State.findJob("j")->findSuspect(Task)->history();
  CHECK(History.Alone == 2);
  CHECK(History.NewestMs == Site.NowMs);
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
    CutBy(Job, 1);
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

TEST_CASE("a job that an earlier version ended because of crashes stays ended, "
          "and its suspects are read") {
  crash_harness Site;
  Site.submit("k");
  Site.start(Task, 1);
  Site.start({"k", 0, 0, 0}, 1);
  Site.crash(1);
  Site.start({"k", 0, 0, 0}, 2);
  // An earlier version would have stored the task that it gave up as the last
  // field of the job, and no recent crashes.
  auto Parts = nlohmann::json::from_cbor(Site.State.snapshot());
  REQUIRE(Parts.size() == 7);
  Parts.erase(Parts.end() - 1);
  for (auto &Job : Parts[2]) {
    REQUIRE(Job.size() == 12);
    for (auto &Suspect : Job[11])
      for (auto &Crash : Suspect[4]) {
        REQUIRE(Crash.size() == 7);
        Crash.erase(Crash.end() - 4, Crash.end());
      }
    if (Job[0][0] == "j") {
      Job.push_back(Job[11][0]);
      Job[11] = nlohmann::json::array();
      Job[4] = static_cast<int>(job_state::Failed);
      Job[6] = Site.NowMs;
      Job[9] = nlohmann::json::array();
    } else {
      Job.push_back(nullptr);
    }
  }
  std::string Old;
  nlohmann::json::to_cbor(Parts, Old);
  auto Copy = core::capture([&] { return schedule_state::restore(Old); });
  REQUIRE(Copy.index() == 0);
  Site.State = std::get<0>(Copy);
  CHECK(Site.stateOf() == job_state::Failed);
  CHECK(Site.start(Task, 3) == 0);
  CHECK(Site.State.crashCensus().Unexplained.empty());
  REQUIRE(Site.crashes({"k", 0, 0, 0}) == 1);
  Site.restore();
  Site.crash(2);
  CHECK(Site.crashes({"k", 0, 0, 0}) == 2);
  CHECK(Site.stateOf("k") == job_state::Running);
}
