#include "schedule_fixture.h"
#include "scheduling/leader.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

// Guards against accepted jobs that end as failed, never end, or start without
// a ticket because a configuration removed their queue.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t MaxAttempts = 3;
const task_key Task{"j", 0, 0, 0};

/// \returns a state with a queue of three attempts and the job `j` of one step.
schedule_state makeStateWithJob(step_spec Step) {
  auto State = makeState(2);
  State.apply(set_configuration{makeConfiguration(2, MaxAttempts)}, 0);
  State.apply(submission(makeJob("j", {std::move(Step)})), 0);
  return State;
}

void removeQueue(schedule_state &State) {
  auto Next = State.currentConfiguration();
  ++Next.Version;
  Next.Queues.clear();
  REQUIRE(State.apply(set_configuration{Next}, 0) == apply_outcome::Accepted);
}

/// Starts all members of the step and lets the first one fail.
void failOnce(schedule_state &State, std::uint32_t Attempt,
              std::uint32_t Members = 1) {
  for (std::uint32_t Index = 0; Index != Members; ++Index)
    REQUIRE(State.apply(start_run{{"j", 0, 0, Index}, Attempt, 1}, 1) ==
            apply_outcome::Accepted);
  for (std::uint32_t Index = 0; Index != Members; ++Index)
    State.apply(end_run{{"j", 0, 0, Index},
                        Attempt,
                        Index == 0 ? run_end::Failed : run_end::GangMemberEnded,
                        ""},
                2);
}

schedule_state copyOf(const schedule_state &State) {
  auto Bytes = State.snapshot();
  auto Restored = core::capture([&] { return schedule_state::restore(Bytes); });
  REQUIRE(Restored.index() == 0);
  CHECK(std::get<0>(Restored).snapshot() == Bytes);
  return std::move(std::get<0>(Restored));
}

} // namespace

TEST_CASE("a run that fails after its queue was removed fails the job only "
          "with the attempts that the queue had") {
  bool IsRestored = GENERATE(false, true);
  auto State = makeStateWithJob(makeStep(1));
  REQUIRE(State.apply(start_run{Task, 1, 1}, 1) == apply_outcome::Accepted);
  removeQueue(State);
  if (IsRestored)
    State = copyOf(State);
  State.apply(end_run{Task, 1, run_end::Failed, ""}, 2);
  CHECK(State.findJob("j")->State == job_state::Running);
  failOnce(State, 2);
  CHECK(State.findJob("j")->State == job_state::Running);
  failOnce(State, 3);
  CHECK(State.findJob("j")->State == job_state::Failed);
}

TEST_CASE("a task or a gang that failed once starts again after its queue was "
          "removed") {
  std::uint32_t Members = GENERATE(1u, 3u);
  auto Step = makeStep(Members);
  Step.IsGang = Members > 1;
  auto State = makeStateWithJob(Step);
  failOnce(State, 1, Members);
  removeQueue(State);
  for (std::uint32_t Index = 0; Index != Members; ++Index)
    CHECK(State.apply(start_run{{"j", 0, 0, Index}, 2, 1}, 1) ==
          apply_outcome::Accepted);
}

TEST_CASE("a job has the attempts of its queue again when the queue returns") {
  auto State = makeStateWithJob(makeStep(1));
  removeQueue(State);
  State = copyOf(State);
  State.apply(set_configuration{makeConfiguration(9, 1)}, 0);
  REQUIRE(State.queueOf(*State.findJob("j")));
  CHECK(State.queueOf(*State.findJob("j"))->MaxAttempts == 1);
  failOnce(State, 1);
  CHECK(State.findJob("j")->State == job_state::Failed);
}

TEST_CASE("a job of a removed queue that requires advice starts with a ticket "
          "only") {
  schedule_state State = makeState(1);
  auto Advised = makeConfiguration(2);
  Advised.Queues[0].Advice = advice_terms{20, 1, 5000};
  State.apply(set_configuration{Advised}, 0);
  State.apply(submission(makeJob("j", {makeStep(1)})), 1000);
  removeQueue(State);
  core::metrics_registry Metrics;
  core::time_point Now(1s);
  leader_settings Settings;
  Settings.HasAdviser = true;
  leader Leader(Settings, 2, State, Metrics, Now);
  endpoint_heartbeat Heartbeat;
  Heartbeat.Facts = makeEndpoint("e1");
  Heartbeat.ClockMs = 1;
  Leader.recordHeartbeat(Heartbeat, Now);
  bool IsAdvised = false;
  std::optional<start_order> Start;
  for (int Step = 0; Step != 50 && !Start; ++Step) {
    Now += 20ms;
    for (const auto &Command : Leader.takeCommands(Now, 1000))
      Leader.recordApplied(Command, State.apply(Command, 1000), Now);
    for (const auto &Order : Leader.takeOrders(Now)) {
      if (const auto *Begin = std::get_if<start_order>(&Order.Body))
        Start = *Begin;
      const auto *Advise = std::get_if<advise_order>(&Order.Body);
      if (!Advise)
        continue;
      IsAdvised = true;
      advice_answer Answer;
      Answer.Allowed.push_back({"e1", "ticket"});
      Leader.finishOrder({Order.Id, Answer}, Now);
    }
  }
  CHECK(IsAdvised);
  REQUIRE(Start);
  CHECK(Start->Ticket == "ticket");
}
