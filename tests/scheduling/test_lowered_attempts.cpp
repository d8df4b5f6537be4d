#include "restartable_scheduler.h"
#include "schedule_fixture.h"

#include <catch2/catch.hpp>

#include <string>

// Guards against a job that neither starts again nor ends, because a
// configuration lowered the attempts of its queue below its failures.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

const task_key Task{"j", 0, 0, 0};

/// \returns a state with a queue of three attempts and the job `j` of one step,
/// whose first task has failed once.
schedule_state makeStateWithFailure(step_spec Step) {
  auto State = makeState(2);
  State.apply(set_configuration{makeConfiguration(2, 3)}, 0);
  auto Count = Step.Count;
  State.apply(submission(makeJob("j", {std::move(Step)})), 0);
  for (std::uint32_t Index = 0; Index != Count; ++Index)
    State.apply(start_run{{"j", 0, 0, Index}, 1, 1}, 1);
  for (std::uint32_t Index = 0; Index != Count; ++Index)
    State.apply(end_run{{"j", 0, 0, Index},
                        1,
                        Index == 0 ? run_end::Failed : run_end::GangMemberEnded,
                        ""},
                2);
  return State;
}

/// Applies what the leader proposes in the given time.
class single_leader {
public:
  explicit single_leader(schedule_state &State)
      : State(State), Leader({}, 2, State, Metrics, Now) {}

  void apply(const command &Command) {
    Leader.recordApplied(Command, State.apply(Command, 1000), Now);
  }
  void run(core::duration Time) {
    for (auto End = Now + Time; Now < End; Now += 20ms)
      for (const auto &Command : Leader.takeCommands(Now, 1000)) {
        Proposals += std::holds_alternative<start_run>(Command);
        apply(Command);
      }
  }
  /// Announces an endpoint with room for all tasks.
  void beat() {
    endpoint_heartbeat Heartbeat;
    Heartbeat.Facts = makeEndpoint("e1");
    Heartbeat.ClockMs = 1;
    Leader.recordHeartbeat(Heartbeat, Now);
  }

  std::size_t Proposals = 0; ///< Of starts.

private:
  schedule_state &State;
  core::metrics_registry Metrics;
  core::time_point Now{1s};
  leader Leader;
};

} // namespace

TEST_CASE("a job fails when a configuration lowers the attempts to the "
          "failures of a waiting task") {
  std::uint32_t Members = GENERATE(1u, 3u);
  auto Step = makeStep(Members);
  Step.IsGang = Members > 1;
  auto State = makeStateWithFailure(Step);
  single_leader Leader(State);
  Leader.apply(set_configuration{makeConfiguration(3, 2)});
  Leader.run(100ms);
  CHECK(State.findJob("j")->State == job_state::Running);
  Leader.apply(set_configuration{makeConfiguration(4, 1)});
  // Also without an endpoint.
  Leader.run(100ms);
  CHECK(State.findJob("j")->State == job_state::Failed);
}

TEST_CASE("a job fails when its queue returns with fewer attempts, also under "
          "the next leader") {
  auto State = makeStateWithFailure(makeStep(1));
  auto Removed = makeConfiguration(3);
  Removed.Queues.clear();
  State.apply(set_configuration{Removed}, 3);
  State.apply(set_configuration{makeConfiguration(4, 1)}, 4);
  CHECK(State.findJob("j")->State == job_state::Running);
  single_leader Leader(State);
  Leader.run(100ms);
  CHECK(State.findJob("j")->State == job_state::Failed);
  CHECK(State.liveJobs().empty());
}

TEST_CASE("a task at work may still be done after the attempts were lowered") {
  auto State = makeStateWithFailure(makeStep(1));
  State.apply(start_run{Task, 2, 1}, 3);
  single_leader Leader(State);
  Leader.apply(set_configuration{makeConfiguration(3, 1)});
  Leader.run(100ms);
  CHECK(State.findJob("j")->State == job_state::Running);
  SECTION("it is done") {
    Leader.apply(end_run{Task, 2, run_end::Done, ""});
    CHECK(State.findJob("j")->State == job_state::Complete);
  }
  SECTION("it is lost, and never starts again") {
    Leader.apply(end_run{Task, 2, run_end::Lost, ""});
    Leader.beat();
    Leader.run(500ms);
    CHECK(State.findJob("j")->State == job_state::Failed);
    // The second one is in the batch that fails the job.
    CHECK(Leader.Proposals <= 2);
  }
}

TEST_CASE("a long-running task has no attempts that could be lowered") {
  auto Step = makeStep(1);
  Step.IsLongRunning = true;
  auto State = makeStateWithFailure(Step);
  single_leader Leader(State);
  Leader.apply(set_configuration{makeConfiguration(3, 1)});
  Leader.run(100ms);
  CHECK(State.findJob("j")->State == job_state::Running);
  CHECK(State.apply(fail_job{"j"}, 1000) == apply_outcome::Stale);
}

TEST_CASE("only a job with a task that never starts again can be failed") {
  auto State = makeStateWithFailure(makeStep(1));
  CHECK(State.apply(fail_job{"j"}, 3) == apply_outcome::Stale);
  CHECK(State.apply(fail_job{"unknown"}, 3) == apply_outcome::Stale);
  State.apply(set_configuration{makeConfiguration(3, 1)}, 4);
  CHECK(State.apply(fail_job{"j"}, 5) == apply_outcome::Accepted);
  CHECK(State.apply(fail_job{"j"}, 6) == apply_outcome::Stale);
}
