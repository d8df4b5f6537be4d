#include "schedule_fixture.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;

namespace {

apply_outcome start(schedule_state &State, const task_key &Task,
                    std::uint32_t Attempt, std::uint32_t Endpoint = 1) {
  return State.apply(start_run{Task, Attempt, Endpoint}, 1);
}

apply_outcome end(schedule_state &State, const task_key &Task,
                  std::uint32_t Attempt, run_end Outcome,
                  std::string Checkpoint = "") {
  return State.apply(end_run{Task, Attempt, Outcome, std::move(Checkpoint)}, 2);
}

job_state stateOf(const schedule_state &State, const std::string &Job) {
  REQUIRE(State.findJob(Job));
  return State.findJob(Job)->State;
}

} // namespace

TEST_CASE("a job that is submitted twice is accepted once") {
  auto State = makeState(1);
  auto Job = makeJob("j", {makeStep(1)});
  CHECK(State.apply(submission(Job), 5) == apply_outcome::Accepted);
  CHECK(State.apply(submission(Job), 9) == apply_outcome::Unchanged);
  CHECK(State.findJob("j")->SubmittedMs == 5);
  CHECK(State.liveJobs().size() == 1);
}

TEST_CASE("a submission selects its queue from the configuration in force when "
          "the command is applied") {
  auto State = makeState(1);
  auto Next = makeConfiguration(2);
  Next.Queues.clear();
  State.apply(set_configuration{Next}, 0);
  CHECK(State.apply(submission(makeJob("j", {makeStep(1)})), 0) ==
        apply_outcome::NoSuchQueue);
  CHECK(!State.findJob("j"));
}

TEST_CASE("an older or equal configuration changes nothing") {
  auto State = makeState(0);
  State.apply(set_configuration{makeConfiguration(7)}, 0);
  auto Other = makeConfiguration(7, 9);
  Other.Text = "other";
  CHECK(State.apply(set_configuration{Other}, 0) == apply_outcome::Unchanged);
  CHECK(State.apply(set_configuration{makeConfiguration(3)}, 0) ==
        apply_outcome::Unchanged);
  CHECK(State.currentConfiguration().Text == "{}");
}

TEST_CASE("the longest matching prefix selects the queue") {
  schedule_state State;
  auto Configuration = makeConfiguration(1);
  auto Longer = Configuration.Queues[0];
  Longer.PathPrefix = "/jobs/special/";
  Longer.Pool = "b";
  Configuration.Queues.push_back(Longer);
  State.apply(set_configuration{Configuration}, 0);
  CHECK(State.findQueue(Host, "/jobs/x")->Pool == "a");
  CHECK(State.findQueue(Host, "/jobs/special/x")->Pool == "b");
  CHECK(!State.findQueue("other.example", "/jobs/x"));
  CHECK(!State.findQueue(Host, "/job"));
}

TEST_CASE("a job is complete when every task of every step is done") {
  auto State = makeState(1);
  auto Second = makeStep(1);
  Second.DependsOn = {0};
  State.apply(submission(makeJob("j", {makeStep(2), Second})), 0);
  start(State, {"j", 0, 0, 0}, 1);
  start(State, {"j", 0, 0, 1}, 1);
  CHECK(stateOf(State, "j") == job_state::Running);
  end(State, {"j", 0, 0, 0}, 1, run_end::Done);
  end(State, {"j", 0, 0, 1}, 1, run_end::Done);
  start(State, {"j", 0, 1, 0}, 1);
  CHECK(stateOf(State, "j") == job_state::Running);
  end(State, {"j", 0, 1, 0}, 1, run_end::Done);
  CHECK(stateOf(State, "j") == job_state::Complete);
  CHECK(State.endpoints().at(1).Runs.empty());
}

TEST_CASE("a task that is running or done is not started again") {
  auto State = makeState(2);
  State.apply(submission(makeJob("j", {makeStep(2)})), 0);
  task_key Task{"j", 0, 0, 0};
  CHECK(start(State, Task, 1) == apply_outcome::Accepted);
  CHECK(start(State, Task, 2, 2) == apply_outcome::Stale);
  end(State, Task, 1, run_end::Done);
  CHECK(start(State, Task, 2, 2) == apply_outcome::Stale);
}

TEST_CASE("only failed runs count as attempts") {
  auto State = makeState(1);
  State.apply(submission(makeJob("j", {makeStep(1)})), 0);
  task_key Task{"j", 0, 0, 0};
  std::uint32_t Attempt = 0;
  for (auto Outcome : {run_end::Lost, run_end::Expired, run_end::Stopped,
                       run_end::Refused, run_end::Failed}) {
    REQUIRE(start(State, Task, ++Attempt) == apply_outcome::Accepted);
    end(State, Task, Attempt, Outcome);
  }
  CHECK(stateOf(State, "j") == job_state::Running);
  REQUIRE(start(State, Task, ++Attempt) == apply_outcome::Accepted);
  end(State, Task, Attempt, run_end::Failed);
  CHECK(stateOf(State, "j") == job_state::Failed);
  CHECK(start(State, Task, ++Attempt) == apply_outcome::Stale);
}

TEST_CASE("a long-running task is started again however it ended") {
  auto State = makeState(1);
  auto Step = makeStep(1);
  Step.IsLongRunning = true;
  State.apply(submission(makeJob("j", {Step})), 0);
  task_key Task{"j", 0, 0, 0};
  for (std::uint32_t Attempt = 1; Attempt <= 5; ++Attempt) {
    REQUIRE(start(State, Task, Attempt) == apply_outcome::Accepted);
    end(State, Task, Attempt,
        Attempt % 2 == 0 ? run_end::Done : run_end::Failed);
  }
  CHECK(stateOf(State, "j") == job_state::Running);
}

TEST_CASE("the end of an earlier attempt changes nothing") {
  auto State = makeState(2);
  State.apply(submission(makeJob("j", {makeStep(1)})), 0);
  task_key Task{"j", 0, 0, 0};
  start(State, Task, 1);
  end(State, Task, 1, run_end::Lost, "saved");
  start(State, Task, 2, 2);
  CHECK(end(State, Task, 1, run_end::Done) == apply_outcome::Stale);
  CHECK(stateOf(State, "j") == job_state::Running);
  CHECK(State.findTask(Task)->Checkpoint == "saved");
}

TEST_CASE(
    "after a cancellation no task starts, and runs are kept until they end") {
  auto State = makeState(1);
  State.apply(submission(makeJob("j", {makeStep(2)})), 0);
  task_key Running{"j", 0, 0, 0};
  start(State, Running, 1);
  cancel_job Cancel{Host, Prefix + "j", "j"};
  CHECK(State.apply(Cancel, 3) == apply_outcome::Accepted);
  CHECK(State.apply(Cancel, 4) == apply_outcome::Unchanged);
  CHECK(start(State, {"j", 0, 0, 1}, 1) == apply_outcome::Stale);
  CHECK(State.endpoints().at(1).Runs.size() == 1);
  end(State, Running, 1, run_end::Done);
  CHECK(stateOf(State, "j") == job_state::Cancelled);
  CHECK(State.endpoints().at(1).Runs.empty());
  CHECK(State.apply(cancel_job{Host, Prefix + "x", "x"}, 5) ==
        apply_outcome::NoSuchJob);
}

TEST_CASE("a gang is done when one of its members reports that it is done") {
  auto State = makeState(2);
  auto Step = makeStep(3);
  Step.IsGang = true;
  State.apply(submission(makeJob("j", {Step})), 0);
  for (std::uint32_t Index = 0; Index != 3; ++Index)
    start(State, {"j", 0, 0, Index}, 1, 1 + Index % 2);
  end(State, {"j", 0, 0, 1}, 1, run_end::Done);
  CHECK(stateOf(State, "j") == job_state::Complete);
  CHECK(State.endpoints().at(1).Runs.empty());
  CHECK(State.endpoints().at(2).Runs.empty());
}

TEST_CASE("failures of a gang add up, and its members share a checkpoint") {
  auto State = makeState(1);
  auto Step = makeStep(2);
  Step.IsGang = true;
  State.apply(submission(makeJob("j", {Step})), 0);
  for (std::uint32_t Attempt = 1; Attempt <= 2; ++Attempt) {
    for (std::uint32_t Index = 0; Index != 2; ++Index)
      REQUIRE(start(State, {"j", 0, 0, Index}, Attempt) ==
              apply_outcome::Accepted);
    end(State, {"j", 0, 0, Attempt - 1}, Attempt, run_end::Failed, "save");
    end(State, {"j", 0, 0, 2 - Attempt}, Attempt, run_end::GangMemberEnded);
    if (Attempt == 1)
      CHECK(State.findTask({"j", 0, 0, 1})->Checkpoint == "save");
  }
  CHECK(stateOf(State, "j") == job_state::Failed);
}

// Guards against a gang that is given up before it has used its attempts.
TEST_CASE("members of a gang that fail in the same attempt count as one failed "
          "attempt") {
  auto State = makeState(1);
  State.apply(set_configuration{makeConfiguration(2, 3)}, 0);
  auto Step = makeStep(4);
  Step.IsGang = true;
  State.apply(submission(makeJob("j", {Step})), 0);
  for (std::uint32_t Attempt = 1; Attempt <= 3; ++Attempt) {
    CHECK(stateOf(State, "j") != job_state::Failed);
    for (std::uint32_t Index = 0; Index != 4; ++Index)
      REQUIRE(start(State, {"j", 0, 0, Index}, Attempt) ==
              apply_outcome::Accepted);
    for (std::uint32_t Index = 0; Index != 4; ++Index) {
      end(State, {"j", 0, 0, Index}, Attempt, run_end::Failed);
      auto Bytes = State.snapshot();
      auto Restored =
          core::capture([&] { return schedule_state::restore(Bytes); });
      REQUIRE(Restored.index() == 0);
      CHECK(std::get<0>(Restored).snapshot() == Bytes);
      State = std::move(std::get<0>(Restored));
    }
  }
  CHECK(stateOf(State, "j") == job_state::Failed);
}

// Guards against a gang of which a part starts and waits for the others.
TEST_CASE("no member of a gang starts when the gang has used the attempts of a "
          "later configuration") {
  auto State = makeState(1);
  State.apply(set_configuration{makeConfiguration(2, 3)}, 0);
  auto Step = makeStep(2);
  Step.IsGang = true;
  State.apply(submission(makeJob("j", {Step})), 0);
  for (std::uint32_t Index = 0; Index != 2; ++Index)
    start(State, {"j", 0, 0, Index}, 1);
  end(State, {"j", 0, 0, 0}, 1, run_end::Failed);
  end(State, {"j", 0, 0, 1}, 1, run_end::GangMemberEnded);
  State.apply(set_configuration{makeConfiguration(3, 1)}, 0);
  for (std::uint32_t Index = 0; Index != 2; ++Index)
    CHECK(start(State, {"j", 0, 0, Index}, 2) == apply_outcome::Stale);
}

TEST_CASE("occurrences open in order and the job completes with the last") {
  auto State = makeState(1);
  auto Job = makeJob("j", {makeStep(1)});
  Job.RepeatCount = 2;
  Job.StartAtMs = 100;
  Job.IntervalMs = 50;
  State.apply(submission(Job), 0);
  CHECK(start(State, {"j", 0, 0, 0}, 1) == apply_outcome::Stale);
  CHECK(State.apply(open_occurrence{"j", 1}, 0) == apply_outcome::Stale);
  for (std::uint32_t Number = 0; Number != 2; ++Number) {
    CHECK(stateOf(State, "j") != job_state::Complete);
    CHECK(State.apply(open_occurrence{"j", Number}, 0) ==
          apply_outcome::Accepted);
    start(State, {"j", Number, 0, 0}, 1);
    end(State, {"j", Number, 0, 0}, 1, run_end::Done);
  }
  CHECK(stateOf(State, "j") == job_state::Complete);
  CHECK(State.apply(open_occurrence{"j", 2}, 0) == apply_outcome::Stale);
}

TEST_CASE("a new incarnation takes over the runs of the earlier one, because a "
          "start order for that one may have reached the new one") {
  auto State = makeState(2);
  State.apply(submission(makeJob("j", {makeStep(1)})), 0);
  task_key Task{"j", 0, 0, 0};
  start(State, Task, 1);
  CHECK(State.apply(record_endpoint{makeEndpoint("e1", 9)}, 0) ==
        apply_outcome::Accepted);
  const auto *Later = State.findEndpoint("e1", 9);
  REQUIRE(Later);
  CHECK(!State.findEndpoint("e1", 1));
  CHECK(Later->Runs == std::vector<task_key>{Task});
  CHECK(start(State, Task, 2, 2) == apply_outcome::Stale);
  CHECK(State.apply(record_endpoint{makeEndpoint("e1", 1)}, 0) ==
        apply_outcome::Stale);
  end(State, Task, 1, run_end::Refused);
  CHECK(start(State, Task, 2, 2) == apply_outcome::Accepted);
}

TEST_CASE("a draining incarnation never accepts work again") {
  auto State = makeState(1);
  auto Draining = makeEndpoint("e1");
  Draining.IsDraining = true;
  State.apply(record_endpoint{Draining}, 0);
  State.apply(record_endpoint{makeEndpoint("e1")}, 0);
  CHECK(State.endpoints().at(1).Facts.IsDraining);
}

TEST_CASE("pending jobs are those of which no task has started") {
  auto State = makeState(1);
  State.apply(submission(makeJob("j1", {makeStep(1)})), 0);
  State.apply(submission(makeJob("j2", {makeStep(1)})), 0);
  CHECK(State.pendingJobs(Host, Prefix) == 2);
  start(State, {"j1", 0, 0, 0}, 1);
  CHECK(State.pendingJobs(Host, Prefix) == 1);
}

// Guards against jobs that have not begun and that callers do not see as
// pending, because an endpoint refused their start.
TEST_CASE("a job of which all starts were refused is pending again") {
  bool IsRestored = GENERATE(false, true);
  auto State = makeState(1);
  State.apply(submission(makeJob("j", {makeStep(2)})), 0);
  auto Restore = [&] {
    auto Bytes = State.snapshot();
    auto Restored =
        core::capture([&] { return schedule_state::restore(Bytes); });
    REQUIRE(Restored.index() == 0);
    CHECK(std::get<0>(Restored).snapshot() == Bytes);
    if (IsRestored)
      State = std::move(std::get<0>(Restored));
  };
  for (std::uint32_t Attempt = 1; Attempt <= 3; ++Attempt) {
    CHECK(State.pendingJobs(Host, Prefix) == 1);
    start(State, {"j", 0, 0, 0}, Attempt);
    start(State, {"j", 0, 0, 1}, Attempt);
    Restore();
    CHECK(State.pendingJobs(Host, Prefix) == 0);
    CHECK(stateOf(State, "j") == job_state::Running);
    end(State, {"j", 0, 0, 0}, Attempt, run_end::Refused);
    CHECK(State.pendingJobs(Host, Prefix) == 0);
    end(State, {"j", 0, 0, 1}, Attempt, run_end::Refused);
    CHECK(State.pendingJobs(Host, Prefix) == 1);
    CHECK(stateOf(State, "j") == job_state::Queued);
    Restore();
  }
  State.apply(cancel_job{Host, Prefix + "j", "j"}, 3);
  CHECK(State.pendingJobs(Host, Prefix) == 0);
}

TEST_CASE("a job of which a run has begun is not pending again after a refused "
          "start") {
  auto Outcome =
      GENERATE(run_end::Lost, run_end::Failed, run_end::Stopped, run_end::Done);
  auto State = makeState(1);
  State.apply(submission(makeJob("j", {makeStep(2)})), 0);
  start(State, {"j", 0, 0, 0}, 1);
  end(State, {"j", 0, 0, 0}, 1, Outcome);
  start(State, {"j", 0, 0, 1}, 1);
  end(State, {"j", 0, 0, 1}, 1, run_end::Refused);
  CHECK(State.pendingJobs(Host, Prefix) == 0);
  CHECK(stateOf(State, "j") == job_state::Running);
}

TEST_CASE("a wave is complete when the maintenance of every host has begun") {
  auto State = makeState(0);
  State.apply(start_wave{3, {"h1", "h2"}, 1000, 1}, 0);
  CHECK(State.apply(order_maintenance{3, "other"}, 0) == apply_outcome::Stale);
  State.apply(order_maintenance{3, "h1"}, 0);
  State.apply(record_maintenance{3, "h1"}, 0);
  State.apply(record_maintenance{3, "h1"}, 0);
  CHECK(!State.waves().at(3).isComplete());
  State.apply(record_maintenance{3, "h2"}, 0);
  CHECK(State.waves().at(3).isComplete());
}

TEST_CASE("ended jobs are evicted after their retention time") {
  auto State = makeState(1);
  State.apply(submission(makeJob("j", {makeStep(1)})), 1000);
  State.apply(cancel_job{Host, Prefix + "j", "j"}, 1000);
  State.apply(submission(makeJob("k", {makeStep(1)})), 1000 + JobRetentionMs);
  CHECK(State.findJob("j"));
  State.apply(submission(makeJob("l", {makeStep(1)})), 1001 + JobRetentionMs);
  CHECK(!State.findJob("j"));
}

TEST_CASE("a restored snapshot equals the original state") {
  auto State = makeState(2);
  auto Job = makeJob("j", {makeStep(2)});
  State.apply(submission(Job), 10);
  start(State, {"j", 0, 0, 0}, 1, 2);
  State.apply(start_wave{3, {"h1"}, 1000, 1}, 0);
  State.apply(submission(makeJob("c", {makeStep(1)})), 10);
  State.apply(cancel_job{Host, Prefix + "c", "c"}, 11);
  auto Bytes = State.snapshot();
  auto Restored = core::capture([&] { return schedule_state::restore(Bytes); });
  REQUIRE(Restored.index() == 0);
  auto &Copy = std::get<0>(Restored);
  CHECK(Copy.snapshot() == Bytes);
  CHECK(Copy.liveJobs() == State.liveJobs());
  CHECK(Copy.findTask({"j", 0, 0, 0})->Endpoint == 2);
  CHECK(core::captureFailure([&]() -> core::result<void> {
    BOOST_LEAF_CHECK(schedule_state::restore(Bytes.substr(1)));
    return {};
  }));
}

TEST_CASE("a batch of every kind of command survives encoding") {
  command_batch Batch;
  Batch.TimeMs = 1234;
  auto Step = makeStep(2);
  Step.DependsOn = {0};
  Step.Image = "image";
  Batch.Commands = {set_configuration{makeConfiguration(4)},
                    submission(makeJob("j", {makeStep(1), Step})),
                    cancel_job{Host, Prefix, "j"},
                    open_occurrence{"j", 3},
                    start_run{{"j", 1, 2, 3}, 4, 5},
                    end_run{{"j", 1, 2, 3}, 4, run_end::Expired, "c"},
                    record_endpoint{makeEndpoint("e")},
                    end_endpoint{7},
                    end_endpoint{8, {end_cause::Crashed, 30, {{"j", 1, 2, 3}}}},
                    record_host{7, "h"},
                    record_contact{7},
                    start_wave{1, {"h"}, 2, 3},
                    order_maintenance{1, "h"},
                    record_maintenance{1, "h"},
                    fail_job{"j"}};
  auto Bytes = encodeBatch(Batch);
  auto Decoded = decodeBatch(Bytes);
  REQUIRE(Decoded);
  CHECK(*Decoded == Batch);
  CHECK(!decodeBatch(Bytes.substr(0, Bytes.size() - 1)));
}

TEST_CASE("a job keeps its own queue when a configuration reorders the queues "
          "and after a restore") {
  // Jobs refer to queues by position. A wrong position gives a job the pool and
  // the attempts of another queue. Names too long for the small-string buffer
  // let a sanitizer detect an index that refers to destroyed strings.
  const std::string LongHost = "queues-of-a-long-name.example";
  auto State = makeState(2);
  auto Initial = makeConfiguration(2, 1);
  Initial.Queues.back().HostName = LongHost;
  State.apply(set_configuration{Initial}, 5);
  State.apply(submit_job{LongHost, Prefix + "j", makeJob("j", {makeStep(1)})},
              10);
  auto Changed = makeConfiguration(3, 5);
  Changed.Queues.back().HostName = LongHost;
  for (int Index = 0; Index != 3; ++Index) {
    auto Other = Changed.Queues.back();
    Other.PathPrefix =
        "/a-longer-prefix-of-another-queue/" + std::to_string(Index) + "/";
    Other.Pool = "b";
    Other.MaxAttempts = 1;
    Changed.Queues.insert(Changed.Queues.begin(), Other);
  }
  State.apply(set_configuration{Changed}, 20);
  auto Check = [](const schedule_state &Checked) {
    const auto &Job = *Checked.findJob("j");
    REQUIRE(Checked.queueOf(Job));
    CHECK(Checked.queueOf(Job)->PathPrefix == Prefix);
    CHECK(Checked.queueOf(Job)->MaxAttempts == 5);
    CHECK(Job.Pool == "a");
  };
  Check(State);
  auto Restored =
      core::capture([&] { return schedule_state::restore(State.snapshot()); });
  REQUIRE(Restored.index() == 0);
  Check(std::get<0>(Restored));
  Changed.Version = 4;
  Changed.Queues.pop_back();
  State.apply(set_configuration{Changed}, 30);
  // The job keeps the terms that its queue had last.
  Check(State);
  Restored =
      core::capture([&] { return schedule_state::restore(State.snapshot()); });
  REQUIRE(Restored.index() == 0);
  Check(std::get<0>(Restored));
}

// Guards against an entry that its leader accepts and applies, and that every
// other replica, and the leader after a restart, cannot decode and stops at.
TEST_CASE("commands of every length survive encoding") {
  // More than a reader of link messages accepts; not all of it is UTF-8.
  const std::string Long(2u << 20, '\xff');
  auto Facts = makeEndpoint(Long);
  Facts.Labels.assign(30'000, "label");
  auto Configuration = makeConfiguration(1);
  Configuration.Text = Long;
  auto Job = makeJob(Long, {makeStep(1)});
  Job.Payload = Long;
  Job.Steps[0].Image = Long;
  command_batch Batch;
  Batch.Commands = {record_endpoint{Facts},
                    set_configuration{Configuration},
                    submit_job{Host, Prefix + Long, Job},
                    end_run{{Long, 0, 0, 0}, 1, run_end::Done, Long},
                    start_wave{1, std::vector<std::string>(30'000, "h"), 1, 1},
                    order_maintenance{1, Long}};
  auto Bytes = encodeBatch(Batch);
  auto Decoded = decodeBatch(Bytes);
  REQUIRE(Decoded);
  CHECK(Decoded->Commands.size() == Batch.Commands.size());
  CHECK(encodeBatch(*Decoded) == Bytes);
}

// Guards against a snapshot that no replica can restore.
TEST_CASE("a snapshot with long texts and lists is restored") {
  auto State = makeState(1);
  auto Facts = makeEndpoint("e1");
  Facts.Labels.push_back(std::string(10'000, 'l'));
  State.apply(record_endpoint{Facts}, 0);
  // 25,000 runs of tasks without a size share one endpoint.
  for (const char *Id : {"a", "b", "c"}) {
    auto Job = makeJob(Id, {makeStep(10'000, 0)});
    Job.Steps[0].DataRack = std::string(5000, 'r');
    State.apply(submission(Job), 1);
    for (std::uint32_t Index = 0; Index != 8400; ++Index)
      REQUIRE(start(State, {Id, 0, 0, Index}, 1) == apply_outcome::Accepted);
  }
  auto Bytes = State.snapshot();
  auto Restored = core::capture([&] { return schedule_state::restore(Bytes); });
  REQUIRE(Restored.index() == 0);
  CHECK(std::get<0>(Restored).snapshot() == Bytes);
}

// Guards against an entry at which every replica stops for ever: a start of a
// task whose earlier steps are not done has no effect.
TEST_CASE("a start that contradicts the state is skipped") {
  auto State = makeState(1);
  auto Job = makeJob("j", {makeStep(1), makeStep(1)});
  Job.Steps[1].DependsOn = {0};
  State.apply(submission(Job), 1);
  auto Before = State.snapshot();
  CHECK(start(State, {"j", 0, 1, 0}, 1) == apply_outcome::Invalid);
  CHECK(State.snapshot() == Before);
}

// Guards against a run that stays assigned to an endpoint after its occurrence
// has closed: the end of that endpoint would look for a task that is gone.
TEST_CASE("the end of a gang ends the runs of all its members") {
  auto State = makeState(2);
  auto Job = makeJob("j", {makeStep(2)});
  Job.Steps[0].IsGang = true;
  Job.RepeatCount = 2;
  State.apply(submission(Job), 1);
  State.apply(open_occurrence{"j", 0}, 1);
  start(State, {"j", 0, 0, 0}, 1, 1);
  start(State, {"j", 0, 0, 1}, 2, 2); // Another attempt than its peer.
  end(State, {"j", 0, 0, 0}, 1, run_end::Done);
  CHECK(State.findJob("j")->OccurrencesDone == 1);
  CHECK(State.findJob("j")->RunsLeft == 0);
  for (const auto &[Number, Endpoint] : State.endpoints())
    CHECK(Endpoint.Runs.empty());
  CHECK(State.apply(end_endpoint{2}, 3) == apply_outcome::Accepted);
}

// Guards against a deregistration that the snapshot for a later leader lacks,
// and against snapshots without one that an earlier version cannot read.
TEST_CASE("a snapshot has the deregistration of an endpoint") {
  auto State = makeState(2);
  auto Before = State.snapshot();
  CHECK(State.apply(record_deregistration{1}, 0) == apply_outcome::Accepted);
  CHECK(State.apply(record_deregistration{1}, 0) == apply_outcome::Unchanged);
  CHECK(State.apply(record_deregistration{9}, 0) == apply_outcome::Stale);
  auto Restored =
      core::capture([&] { return schedule_state::restore(State.snapshot()); });
  REQUIRE(Restored.index() == 0);
  CHECK(std::get<0>(Restored).endpoints().at(1).HasDeregistered);
  CHECK(!std::get<0>(Restored).endpoints().at(2).HasDeregistered);
  // One more field, of one byte, in one record.
  CHECK(State.snapshot().size() == Before.size() + 1);
  // A new incarnation has not deregistered.
  State.apply(record_endpoint{makeEndpoint("e1", 9)}, 0);
  CHECK(!State.findEndpoint("e1")->HasDeregistered);
}
