#include "scheduling/leader.h"
#include "tests/scheduling/schedule_fixture.h"

#include <catch2/catch.hpp>

#include <deque>
#include <string>
#include <vector>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Endpoints = 400;
constexpr core::duration StepTime = 10ms;
// What a commit and an order take at full load, when each step of their way
// waits for a batch.
constexpr core::duration CommitTime = 40ms;
constexpr core::duration AnswerTime = 60ms;

/// A leader with many endpoints, whose commits and orders take their time. The
/// endpoints accept every start and list no end.
class delayed_leader {
public:
  explicit delayed_leader(leader_settings Settings)
      : State(makeState(Endpoints)), Leader(Settings, 1, State, Metrics, Now) {
    for (std::uint32_t Number = 1; Number <= Endpoints; ++Number) {
      endpoint_heartbeat Heartbeat;
      Heartbeat.Facts = State.endpoints().find(Number)->second.Facts;
      Heartbeat.Sequence = 1;
      Heartbeat.ClockMs = 1000;
      Leader.recordHeartbeat(Heartbeat, Now);
    }
    for (int Job = 0; Job != 400; ++Job) {
      command Submit = submission(
          makeJob("job" + std::to_string(1000 + Job), {makeStep(20, 100)}));
      Leader.recordApplied(Submit, State.apply(Submit, WallMs), Now);
    }
  }

  /// \returns the start orders that were sent in the time.
  std::size_t starts(core::duration Time) {
    std::size_t Starts = 0;
    for (auto End = Now + Time; Now < End; Now += StepTime) {
      for (; !Answers.empty() && Answers.front().At <= Now; Answers.pop_front())
        Leader.finishOrder(std::move(Answers.front().Result), Now);
      // As in schedule_node: a batch is decided before the one that was just
      // committed is applied and its orders are sent.
      if (Batch.empty()) {
        Batch = Leader.takeCommands(Now, WallMs);
        CommitAt = Now + CommitTime;
      } else if (Now >= CommitAt) {
        for (auto &Command : std::exchange(Batch, {}))
          Leader.recordApplied(Command, State.apply(Command, WallMs), Now);
      }
      for (const auto &Order : Leader.takeOrders(Now)) {
        bool IsStart = std::holds_alternative<start_order>(Order.Body);
        Starts += IsStart;
        if (!IsStart)
          continue;
        endpoint_answer Answer;
        Answer.Verdict = endpoint_verdict::Accepted;
        Answer.ClockMs = 1000;
        Answers.push_back({Now + AnswerTime, {Order.Id, Answer}});
      }
    }
    return Starts;
  }

private:
  struct pending_answer {
    core::time_point At{};
    order_result Result;
  };

  static constexpr std::int64_t WallMs = 1'000'000;
  core::time_point Now{10s};
  core::metrics_registry Metrics;
  schedule_state State;
  leader Leader;
  std::vector<command> Batch;
  core::time_point CommitAt{};
  std::deque<pending_answer> Answers;
};

} // namespace

// Guards against SHORT of docs/incidents/starts-at-size.md: too few starts.
TEST_CASE("a leader with delegates starts what a full turn asks for although "
          "each start takes a tenth of a second") {
  constexpr std::size_t AskedPerSecond = 3400;
  CHECK(delayed_leader({}).starts(1s) >= AskedPerSecond);
}

// Orders that one process has to send would time out behind each other.
TEST_CASE("a leader without delegates bounds the starts it has to send") {
  leader_settings Settings;
  Settings.OwnEndpoints = Endpoints;
  CHECK(delayed_leader(Settings).starts(50ms) <= 256);
}
