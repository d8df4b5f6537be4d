#include "fake_site.h"
#include "schedule_fixture.h"

#include <catch2/catch.hpp>

#include <optional>
#include <set>
#include <utility>
#include <vector>

// Guards against stops that end long-running tasks at work although nobody
// asked for it, and against runs that outlive the cancellation or the retention
// of their job.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

/// \returns the tasks of which a stop was sent.
std::set<task_key> stoppedTasks(const fake_site &Site) {
  std::set<task_key> Tasks;
  for (const auto &Order : Site.SentOrders)
    if (const auto *Stop = std::get_if<stop_order>(&Order.Body))
      Tasks.insert(Stop->Task);
  return Tasks;
}

/// A job with three long-running tasks, of which the first crashes its
/// endpoints.
class deadly_job {
public:
  deadly_job() : Site(6, 1, {}, true) {
    Site.formRacks();
    auto Step = makeStep(3);
    Step.IsLongRunning = true;
    Step.MaxPerEndpoint = 1;
    Step.MaxUnavailable = 1;
    Site.markDeadly(Deadly);
    Site.apply(submission(makeJob("l", {Step})));
    Site.run(60'000);
    REQUIRE(Site.TaskCrashes[Deadly].Crashes >= 3);
  }

  const job_record &job() const { return *Site.State.findJob("l"); }
  bool isAtWork(std::uint32_t Index) const {
    return Site.State.findTask({"l", 0, 0, Index})->Endpoint != 0;
  }

  const task_key Deadly{"l", 0, 0, 0};
  fake_site Site;
};

/// A leader with one endpoint that is played by the test.
class start_harness {
public:
  start_harness() : State(makeState(1)) {
    Leader.emplace(leader_settings{}, 5, State, Metrics, Now);
    endpoint_heartbeat Heartbeat;
    Heartbeat.Facts = State.endpoints().begin()->second.Facts;
    Heartbeat.ClockMs = Heartbeat.Sequence = 1;
    Leader->recordHeartbeat(Heartbeat, Now);
    auto Step = makeStep(1);
    Step.IsLongRunning = true;
    submit_job Submit = submission(makeJob("l", {Step}));
    Leader->recordApplied(Submit, State.apply(Submit, 1000), Now);
    commit();
    // A long-running task starts only on an endpoint that has answered.
    advance(20ms);
    answer<poll_order>(listing({}));
    commit();
    REQUIRE(State.findTask(Task)->Endpoint != 0);
  }

  /// Commits what the leader decides.
  void commit() {
    for (const auto &Command : Leader->takeCommands(Now, 1000))
      Leader->recordApplied(Command, State.apply(Command, 1000), Now);
  }

  /// Advances the time and collects the orders.
  void advance(core::duration Time) {
    Now += Time;
    for (auto &Order : Leader->takeOrders(Now))
      Orders.push_back(std::move(Order));
  }
  /// Answers all open orders of a kind.
  /// \returns how many there were.
  template <typename Body> std::size_t answer(const order_answer &Answer) {
    std::size_t Count = 0;
    for (auto &Order : std::exchange(Orders, {}))
      if (std::holds_alternative<Body>(Order.Body)) {
        ++Count;
        Leader->finishOrder({Order.Id, Answer}, Now);
      } else {
        Orders.push_back(std::move(Order));
      }
    return Count;
  }
  static endpoint_answer verdict(endpoint_verdict Verdict) {
    endpoint_answer Answer;
    Answer.Verdict = Verdict;
    Answer.ClockMs = 2;
    return Answer;
  }
  static endpoint_answer listing(std::vector<run_row> Rows) {
    auto Answer = verdict(endpoint_verdict::Accepted);
    Answer.Running = std::move(Rows);
    return Answer;
  }
  /// Lets the first start order time out and the second one be rejected.
  void rejectRepeatedStart() {
    advance(10ms);
    answer<poll_order>(listing({}));
    REQUIRE(answer<start_order>(no_answer{true, "timeout"}) == 1);
    commit();
    advance(10ms);
    answer<poll_order>(listing({}));
    advance(300ms);
    REQUIRE(answer<start_order>(verdict(endpoint_verdict::Unhealthy)) == 1);
  }

  const task_key Task{"l", 0, 0, 0};
  schedule_state State;
  core::metrics_registry Metrics;
  core::time_point Now{100s};
  std::optional<leader> Leader;
  std::vector<order> Orders;
};

} // namespace

TEST_CASE("crashes under a long-running task leave the others of its step at "
          "work until the job is cancelled") {
  deadly_job Play;
  CHECK(Play.job().State == job_state::Running);
  CHECK(Play.isAtWork(1));
  CHECK(Play.isAtWork(2));
  CHECK(stoppedTasks(Play.Site).empty());
  Play.Site.changeLeader();
  Play.Site.run(10'000);
  CHECK(Play.job().State == job_state::Running);
  CHECK(Play.isAtWork(1));
  CHECK(Play.isAtWork(2));
  CHECK(stoppedTasks(Play.Site).empty());
  auto Starts = Play.Site.TaskCrashes[Play.Deadly].Starts;
  Play.Site.apply(cancel_job{Host, Prefix + "l", "l"});
  CHECK(Play.job().State == job_state::Cancelled);
  // A later leader knows of the cancellation.
  Play.Site.changeLeader();
  Play.Site.run(2000);
  CHECK(Play.job().RunsLeft == 0);
  CHECK(stoppedTasks(Play.Site).size() >= 2);
  Play.Site.run(static_cast<int>(JobRetentionMs));
  CHECK(Play.Site.TaskCrashes[Play.Deadly].Starts == Starts);
}

TEST_CASE("a long-running task that crashes its endpoints starts once in 5 s") {
  deadly_job Play;
  auto Starts = Play.Site.TaskCrashes[Play.Deadly].Starts;
  Play.Site.run(50'000);
  CHECK(Play.Site.TaskCrashes[Play.Deadly].Starts <= Starts + 10);
}

TEST_CASE("a long-running task whose repeated start was rejected is not "
          "stopped when the first one was executed") {
  start_harness Play;
  Play.rejectRepeatedStart();
  Play.advance(10ms);
  CHECK(Play.answer<stop_order>(Play.verdict(endpoint_verdict::Accepted)) == 0);
  Play.answer<poll_order>(Play.listing({}));
  Play.advance(10ms);
  REQUIRE(Play.answer<poll_order>(
              Play.listing({{Play.Task, 1, "", 100, std::nullopt}})) == 1);
  Play.advance(300ms);
  CHECK(Play.answer<stop_order>(Play.verdict(endpoint_verdict::Accepted)) == 0);
  CHECK(Play.State.findTask(Play.Task)->Endpoint != 0);
}

TEST_CASE("a long-running task whose repeated start was rejected is stopped "
          "when the endpoint does not list it") {
  start_harness Play;
  Play.rejectRepeatedStart();
  for (int Round = 0; Round != 3; ++Round) {
    Play.advance(10ms);
    Play.answer<poll_order>(Play.listing({}));
  }
  Play.advance(10ms);
  CHECK(Play.answer<stop_order>(Play.verdict(endpoint_verdict::Accepted)) == 1);
}

TEST_CASE("a run that is listed for seconds after its stop was acknowledged is "
          "stopped again") {
  start_harness Play;
  Play.advance(10ms);
  REQUIRE(Play.answer<start_order>(Play.verdict(endpoint_verdict::Accepted)) ==
          1);
  cancel_job Cancel{Host, Prefix + "l", "l"};
  Play.Leader->recordApplied(Cancel, Play.State.apply(Cancel, 1000), Play.Now);
  std::size_t Stops = 0;
  for (int Round = 0; Round != 100; ++Round) {
    Play.advance(100ms);
    Play.answer<poll_order>(
        Play.listing({{Play.Task, 1, "", 100, std::nullopt}}));
    Stops += Play.answer<stop_order>(Play.verdict(endpoint_verdict::Accepted));
  }
  // 10 s, and one more after each 3 s.
  CHECK(Stops >= 3);
  CHECK(Stops <= 4);
}
