#include "schedule_fixture.h"
#include "scheduling/leader.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

// Orders whose receiver can be replaced under the same name: the next
// incarnation of an endpoint executes polls, paces and starts that were meant
// for the one before.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

/// A leader of the endpoint e1, which the test simulates.
class endpoint_harness {
public:
  explicit endpoint_harness(bool HasAdviser = false) {
    auto Configuration = makeConfiguration(1);
    if (HasAdviser) {
      Configuration.Queues[0].Advice = advice_terms{};
      Configuration.Queues[0].Advice->ValidMs = 60'000;
    }
    State.apply(set_configuration{Configuration}, 0);
    Settings.HasAdviser = HasAdviser;
    changeLeader(5);
  }

  void changeLeader(std::uint64_t Fence) {
    Pending.clear();
    Leader.emplace(Settings, Fence, State, Metrics, Now);
  }
  void apply(const command &Command) {
    Leader->recordApplied(Command, State.apply(Command, 1000), Now);
  }
  /// Records an incarnation of the endpoint after its first heartbeat.
  void record(std::uint64_t IncarnationMs) {
    Incarnation = IncarnationMs;
    BornAt = Now - 1ms;
    apply(record_endpoint{makeEndpoint("e1", IncarnationMs)});
    sendHeartbeat();
  }
  void sendHeartbeat() {
    endpoint_heartbeat Heartbeat;
    Heartbeat.Facts = makeEndpoint("e1", Incarnation);
    Heartbeat.Sequence = clockMs();
    Heartbeat.ClockMs = clockMs();
    Leader->recordHeartbeat(Heartbeat, Now);
  }
  std::uint32_t number() const {
    return State.findEndpoint("e1", Incarnation)->Number;
  }
  std::uint64_t clockMs() const {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(Now - BornAt)
            .count());
  }

  endpoint_answer accepted() const {
    endpoint_answer Answer;
    Answer.Verdict = endpoint_verdict::Accepted;
    Answer.ClockMs = clockMs();
    Answer.IncarnationMs = Incarnation;
    return Answer;
  }
  endpoint_answer list(std::vector<run_row> Running,
                       std::vector<end_row> Ended = {}) const {
    auto Answer = accepted();
    Answer.Running = std::move(Running);
    Answer.Ended = std::move(Ended);
    return Answer;
  }

  void collect() {
    Now += 20ms;
    for (auto &Order : Leader->takeOrders(Now))
      Pending.push_back(std::move(Order));
  }
  /// \returns the next order of a kind, or nothing without one within 1 s.
  template <typename Body> std::optional<order> take() {
    for (int Round = 0; Round != 50; ++Round) {
      collect();
      for (auto Order = Pending.begin(); Order != Pending.end(); ++Order)
        if (std::holds_alternative<Body>(Order->Body)) {
          auto Result = std::move(*Order);
          Pending.erase(Order);
          return Result;
        }
    }
    return std::nullopt;
  }
  void answer(const order &Order, order_answer Answer) {
    Leader->finishOrder({Order.Id, std::move(Answer)}, Now);
  }
  void answerStart() {
    auto Start = take<start_order>();
    REQUIRE(Start);
    answer(*Start, accepted());
  }
  /// Answers the next poll.
  /// \returns its cursor.
  std::uint64_t answerPoll(const endpoint_answer &Answer) {
    auto Poll = take<poll_order>();
    REQUIRE(Poll);
    answer(*Poll, Answer);
    return std::get<poll_order>(Poll->Body).Cursor;
  }
  /// Commits what the leader proposes, but starts of runs.
  std::vector<command> commit() {
    auto Commands = Leader->takeCommands(Now, 1000);
    std::erase_if(Commands, [](const command &Command) {
      return std::holds_alternative<start_run>(Command);
    });
    for (const auto &Command : Commands)
      apply(Command);
    return Commands;
  }

  leader_settings Settings;
  schedule_state State;
  core::metrics_registry Metrics;
  core::time_point Now{1000s};
  core::time_point BornAt{};
  std::uint64_t Incarnation = 0;
  std::optional<leader> Leader;
  std::vector<order> Pending;
};

const task_key First{"j", 0, 0, 0};
const task_key Second{"j", 0, 0, 1};

run_row atWork(const task_key &Task, std::uint32_t Attempt = 1) {
  return {Task, Attempt, "", 50, std::nullopt};
}

/// An endpoint whose first task is done, and whose end is recorded; the second
/// task is at work.
class ended_run_harness : public endpoint_harness {
public:
  ended_run_harness() {
    record(1);
    apply(submission(makeJob("j", {makeStep(2)})));
    for (const auto &Task : {First, Second}) {
      apply(start_run{Task, 1, number()});
      answerStart();
    }
    CHECK(answerPoll(
              list({atWork(Second)}, {{1, First, 1, run_end::Done, ""}})) == 0);
    commit();
    commit();
  }
};

} // namespace

// Guards against late polls that made the next incarnation of an endpoint
// forget ends that nobody had read.
TEST_CASE("a poll carries no cursor that the endpoint has obeyed already") {
  ended_run_harness Site;
  CHECK(Site.answerPoll(Site.list({atWork(Second)})) == 1);
  CHECK(Site.answerPoll(Site.list({atWork(Second)})) == 0);
}

TEST_CASE("a cursor is sent until a poll that carries it is answered") {
  ended_run_harness Site;
  auto Poll = Site.take<poll_order>();
  REQUIRE(Poll);
  CHECK(std::get<poll_order>(Poll->Body).Cursor == 1);
  Site.answer(*Poll, no_answer{true, "the process is overloaded", true});
  CHECK(Site.answerPoll(Site.list({atWork(Second)})) == 1);
}

// Guards against an endpoint that lists an end for ever because the only poll
// with its number was answered by another incarnation.
TEST_CASE("a cursor is sent again when the endpoint lists a confirmed end") {
  ended_run_harness Site;
  CHECK(Site.answerPoll(Site.list({atWork(Second)})) == 1);
  CHECK(Site.answerPoll(Site.list({atWork(Second)},
                                  {{1, First, 1, run_end::Done, ""}})) == 0);
  CHECK(Site.answerPoll(Site.list({atWork(Second)})) == 1);
  CHECK(Site.answerPoll(Site.list({atWork(Second)})) == 0);
}

namespace {

/// An endpoint of a queue with advice that has started the first task of a
/// step and has capacity for the second one.
class advice_harness : public endpoint_harness {
public:
  advice_harness() : endpoint_harness(true) {
    record(1);
    apply(submission(makeJob("j", {makeStep(2)})));
  }

  /// Lets the leader look for endpoints for the waiting tasks.
  void place() {
    for (int Round = 0; Round != 10; ++Round) {
      collect();
      commit();
    }
  }
  void answerAdvice(const std::string &Ticket) {
    std::erase_if(Pending, [&](const order &Order) {
      const auto *Advise = std::get_if<advise_order>(&Order.Body);
      if (!Advise)
        return false;
      advice_answer Advice;
      for (const auto &Id : Advise->Endpoints)
        Advice.Allowed.push_back({Id, Ticket});
      Advice.ValidMs = 60'000;
      answer(Order, Advice);
      return true;
    });
  }
  /// \returns the ticket of the start order of a task.
  std::string ticketOf(const task_key &Task) {
    apply(start_run{Task, 1, number()});
    auto Start = take<start_order>();
    REQUIRE(Start);
    answer(*Start, accepted());
    return std::get<start_order>(Start->Body).Ticket;
  }
};

} // namespace

// Guards against starts that the next incarnation of an endpoint refuses for a
// ticket of the one before, and against the pause of the task after each.
TEST_CASE("a ticket is not used for the next incarnation of an endpoint") {
  advice_harness Site;
  // The leader may ask once more for what it asked while a call was pending.
  for (int Call = 0; Call != 2; ++Call) {
    Site.place();
    Site.answerAdvice("life-1");
  }
  CHECK(Site.ticketOf(First) == "life-1");
  Site.record(2);
  Site.place();
  Site.answerAdvice("life-2");
  CHECK(Site.ticketOf(Second) == "life-2");
}

TEST_CASE("advice that was requested for an earlier incarnation of an endpoint "
          "is not used") {
  advice_harness Site;
  Site.place();
  Site.record(2);
  Site.answerAdvice("life-1");
  CHECK(Site.ticketOf(First).empty());
}

// Guards against two runs of a task: a late poll for an incarnation that has
// ended gave the next one a lease that the leader did not know of.
TEST_CASE("runs of an incarnation that became silent are not lost while a late "
          "poll for the one before may have prolonged their lease") {
  endpoint_harness Site;
  Site.record(1);
  Site.apply(submission(makeJob("j", {makeStep(1)})));
  Site.apply(start_run{First, 1, Site.number()});
  Site.answerStart();
  Site.answerPoll(Site.list({atWork(First)}));
  auto Late = Site.take<poll_order>();
  REQUIRE(Late);
  REQUIRE(std::get<poll_order>(Late->Body).LeaseExpiryMs);
  Site.apply(end_endpoint{Site.number()});
  REQUIRE(Site.State.findTask(First)->Endpoint == 0);
  Site.Now += 300ms;
  Site.record(2);
  // Its clock starts anew, so that the late poll gives it the longest lease.
  REQUIRE(*std::get<poll_order>(Late->Body).LeaseExpiryMs >= 5000);
  auto Obeyed = Site.Now;
  Site.answerPoll(Site.accepted());
  Site.apply(start_run{First, 2, Site.number()});
  Site.answerStart();
  std::optional<core::time_point> LostAt;
  while (!LostAt && Site.Now < Obeyed + 60s) {
    Site.collect();
    for (const auto &Order : std::exchange(Site.Pending, {}))
      Site.answer(Order, no_answer{true, "timeout"});
    for (const auto &Command : Site.commit())
      if (std::holds_alternative<end_run>(Command))
        LostAt = Site.Now;
  }
  REQUIRE(LostAt);
  auto LongestLease = Site.Settings.MaxLease * 102 / 100;
  CHECK(*LostAt >= Obeyed + LongestLease);
  // The lease that the leader issued and the longest one of the late poll
  // bound the wait; no poll for the earlier incarnation is obeyed any more.
  CHECK(*LostAt <= Obeyed + LongestLease + 2s);
}

namespace {

/// An endpoint with a best-effort task and a latency-sensitive one.
class shared_endpoint_harness : public endpoint_harness {
public:
  shared_endpoint_harness() {
    auto Filling = makeStep(1);
    Filling.IsBestEffort = true;
    auto Serving = makeStep(1);
    Serving.IsLongRunning = true;
    Serving.TargetMs = 100;
    record(1);
    apply(submission(makeJob("j", {Filling, Serving})));
    for (const auto &Task : {Filler, Server}) {
      apply(start_run{Task, 1, number()});
      answerStart();
    }
  }

  /// Answers a poll that lists both runs.
  /// \param LatencyMs tail latency of the latency-sensitive one.
  void answerList(std::uint32_t LatencyMs) {
    auto Serving = atWork(Server);
    Serving.Percent = 100;
    Serving.Load = LatencyMs;
    answerPoll(list({filling(), Serving}));
  }
  /// \returns the run of the best-effort task, which makes progress.
  run_row filling() {
    auto Row = atWork(Filler);
    Row.Percent = ++Progress;
    return Row;
  }
  /// \returns the percentage of the next throttle order, answered as accepted,
  /// or nothing without one within 1 s.
  std::optional<std::uint32_t> takeThrottle() {
    auto Order = take<throttle_order>();
    if (!Order)
      return std::nullopt;
    answer(*Order, accepted());
    return std::get<throttle_order>(Order->Body).Percent;
  }

  const task_key Filler{"j", 0, 0, 0};
  const task_key Server{"j", 0, 1, 0};
  std::uint32_t Progress = 0;
};

} // namespace

// Guards against a best-effort task that stays throttled for good, or is
// stopped as stalled, because a throttle order for the earlier incarnation
// reached the next one, of which the leader assumed the full rate.
TEST_CASE("the rate of a best-effort task that the next incarnation took over "
          "is set once") {
  shared_endpoint_harness Site;
  Site.answerList(10);
  Site.record(2);
  SECTION("beside a latency-sensitive task") { Site.answerList(10); }
  SECTION("alone") { Site.answerPoll(Site.list({Site.filling()})); }
  CHECK(Site.takeThrottle() == 100u);
  CHECK_FALSE(Site.takeThrottle());
}

// Guards against a new leader that assumes the full rate of a task which its
// predecessor throttled.
TEST_CASE("a new leader sets the rate of a best-effort task once") {
  shared_endpoint_harness Site;
  Site.answerList(200);
  CHECK(Site.takeThrottle() == 0u);
  Site.changeLeader(6);
  Site.sendHeartbeat();
  // The leader cannot know whether its predecessor sent them.
  Site.answerPoll(Site.list({}));
  Site.collect();
  Site.commit();
  for (int Start = 0; Start != 2; ++Start)
    Site.answerStart();
  Site.answerList(70);
  CHECK(Site.takeThrottle() == 100u);
  CHECK_FALSE(Site.takeThrottle());
}

// Guards against a rate that was set by an order without an answer and differs
// from what the leader assumes.
TEST_CASE("the rate of a task is set again after a throttle order without an "
          "answer") {
  shared_endpoint_harness Site;
  Site.answerList(90);
  auto Throttle = Site.take<throttle_order>();
  REQUIRE(Throttle);
  CHECK(std::get<throttle_order>(Throttle->Body).Percent == 50);
  for (int Round = 0; Round != 3; ++Round) {
    Site.Now += 700ms;
    Site.answerList(10);
  }
  Site.answer(*Throttle, no_answer{true, "timeout"});
  CHECK(Site.takeThrottle() == 100u);
  CHECK_FALSE(Site.takeThrottle());
}

// Guards against a best-effort task that stays throttled although it shares
// its endpoint with no latency-sensitive task any more.
TEST_CASE("a best-effort task gets the full rate when the last "
          "latency-sensitive task has left its endpoint") {
  shared_endpoint_harness Site;
  Site.answerList(200);
  CHECK(Site.takeThrottle() == 0u);
  Site.answerPoll(
      Site.list({Site.filling()}, {{1, Site.Server, 1, run_end::Failed, ""}}));
  Site.commit();
  Site.Now += 5s;
  auto Filling = atWork(Site.Filler);
  Filling.Percent = Site.Progress;
  Site.answerPoll(Site.list({Filling}));
  CHECK(Site.takeThrottle() == 100u);
  // It made no progress while it was throttled, which is no stall.
  Site.answerPoll(Site.list({Filling}));
  CHECK_FALSE(Site.take<stop_order>());
  CHECK_FALSE(Site.takeThrottle());
}
