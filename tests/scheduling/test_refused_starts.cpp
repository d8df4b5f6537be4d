#include "schedule_fixture.h"
#include "scheduling/leader.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <vector>

// Guards against runs that are recorded as refused on the ground of an answer
// that does not tell whether an earlier leader started them.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

const task_key Task{"j", 0, 0, 0};

/// A leader that finds a run on e1 which an earlier leader assigned.
class restored_run {
public:
  restored_run() : State(makeState(2)) {
    State.apply(submission(makeJob("j", {makeStep(1)})), 1000);
    State.apply(start_run{Task, 1, 1}, 1000);
    Leader.emplace(leader_settings(), 2, State, Metrics, Now);
    for (const auto *Id : {"e1", "e2"}) {
      endpoint_heartbeat Heartbeat;
      Heartbeat.Facts = makeEndpoint(Id);
      Heartbeat.ClockMs = 1;
      Leader->recordHeartbeat(Heartbeat, Now);
    }
    takeOrders();
    // The list does not show the run, and it is committed that the order of the
    // earlier leader may have no answer.
    answer<poll_order>(withVerdict(endpoint_verdict::Accepted));
    Now += 60ms;
    takeOrders();
    commit();
  }

  /// Answers the oldest unanswered order of this kind.
  template <typename Body> void answer(endpoint_answer Answer) {
    Now += 60ms;
    takeOrders();
    auto Found =
        std::find_if(Pending.begin(), Pending.end(), [](const order &Order) {
          return Order.Endpoint == 1 &&
                 std::holds_alternative<Body>(Order.Body);
        });
    REQUIRE(Found != Pending.end());
    auto Id = Found->Id;
    Pending.erase(Found);
    Leader->finishOrder({Id, std::move(Answer)}, Now);
  }
  /// Answers the poll that is under way and one sent after it with empty lists.
  void answerNewPoll() {
    for (int Poll = 0; Poll != 2; ++Poll)
      answer<poll_order>(withVerdict(endpoint_verdict::Accepted));
  }
  /// Commits what the leader decides.
  /// \returns the ends of runs among it.
  std::vector<end_run> commit() {
    std::vector<end_run> Ends;
    for (const auto &Command : Leader->takeCommands(Now, 1000)) {
      if (const auto *End = std::get_if<end_run>(&Command))
        Ends.push_back(*End);
      Leader->recordApplied(Command, State.apply(Command, 1000), Now);
    }
    return Ends;
  }
  /// \returns the newest poll that was sent to e1.
  poll_order nextPoll() {
    for (int Step = 0; Step != 20; ++Step) {
      Now += 60ms;
      takeOrders();
      for (const auto &Order : Pending)
        if (const auto *Poll = std::get_if<poll_order>(&Order.Body);
            Poll && Order.Endpoint == 1)
          return *Poll;
    }
    return {};
  }
  bool isStopSent() {
    Now += 300ms;
    takeOrders();
    return std::any_of(Pending.begin(), Pending.end(), [](const order &Order) {
      return std::holds_alternative<stop_order>(Order.Body);
    });
  }

  static endpoint_answer withVerdict(endpoint_verdict Verdict) {
    endpoint_answer Answer;
    Answer.Verdict = Verdict;
    Answer.ClockMs = 1;
    return Answer;
  }

  schedule_state State;
  core::metrics_registry Metrics;
  core::time_point Now = core::time_point(1s);
  std::optional<leader> Leader;

private:
  void takeOrders() {
    for (auto &Order : Leader->takeOrders(Now))
      Pending.push_back(std::move(Order));
  }
  std::vector<order> Pending;
};

} // namespace

TEST_CASE("a run of an earlier leader is not recorded as refused because its "
          "endpoint refuses to look at the repeated start") {
  auto Verdict =
      GENERATE(endpoint_verdict::Unhealthy, endpoint_verdict::BadOrder,
               endpoint_verdict::BadTicket);
  restored_run Site;
  Site.answer<start_order>(restored_run::withVerdict(Verdict));
  CHECK(Site.commit().empty());

  SECTION("the list shows its end") {
    auto List = restored_run::withVerdict(endpoint_verdict::Accepted);
    List.Ended.push_back({1, Task, 1, run_end::Done, ""});
    Site.answer<poll_order>(List);
    auto Ends = Site.commit();
    REQUIRE(Ends.size() == 1);
    CHECK(Ends[0].Outcome == run_end::Done);
  }
  SECTION("the list shows that it runs") {
    auto List = restored_run::withVerdict(endpoint_verdict::Accepted);
    List.Running.push_back({Task, 1, "", 50, std::nullopt});
    Site.answer<poll_order>(List);
    CHECK(Site.commit().empty());
    CHECK(!Site.isStopSent());
  }
  SECTION("a stop keeps a late start from a task that is not listed") {
    Site.answerNewPoll();
    CHECK(Site.commit().empty());
    Site.answer<stop_order>(
        restored_run::withVerdict(endpoint_verdict::Accepted));
    Site.answerNewPoll();
    auto Ends = Site.commit();
    REQUIRE(Ends.size() == 1);
    CHECK(Ends[0].Outcome == run_end::Refused);
  }
}

TEST_CASE("a start whose answer cannot be read may have been executed") {
  restored_run Site;
  Site.State.apply(submission(makeJob("k", {makeStep(1)})), 1000);
  const task_key Second{"k", 0, 0, 0};
  start_run Start{Second, 1, 1};
  Site.Leader->recordApplied(Start, Site.State.apply(Start, 1000), Site.Now);
  // The first start is that of the earlier leader's run.
  Site.answer<start_order>(
      restored_run::withVerdict(endpoint_verdict::Accepted));
  Site.answer<start_order>(
      restored_run::withVerdict(endpoint_verdict::BadOrder));
  CHECK(Site.commit().empty());
  auto List = restored_run::withVerdict(endpoint_verdict::Accepted);
  List.Running.push_back({Task, 1, "", 50, std::nullopt});
  List.Ended.push_back({1, Second, 1, run_end::Done, ""});
  Site.answer<poll_order>(List);
  auto Ends = Site.commit();
  REQUIRE(Ends.size() == 1);
  CHECK(Ends[0].Task == Second);
  CHECK(Ends[0].Outcome == run_end::Done);
}

TEST_CASE("the runs of an endpoint that refuses every poll are lost once their "
          "lease has expired") {
  restored_run Site;
  Site.answer<start_order>(
      restored_run::withVerdict(endpoint_verdict::Unhealthy));
  std::vector<end_run> Ends;
  for (int Poll = 0; Poll != 30 && Ends.empty(); ++Poll) {
    Site.Now += 500ms;
    Site.answer<poll_order>(
        restored_run::withVerdict(endpoint_verdict::Unhealthy));
    Ends = Site.commit();
  }
  REQUIRE(Ends.size() == 1);
  CHECK(Ends[0].Outcome == run_end::Lost);
}

TEST_CASE("a poll of an endpoint that may have restarted confirms no ends") {
  restored_run Site;
  Site.answer<start_order>(
      restored_run::withVerdict(endpoint_verdict::Accepted));
  auto List = restored_run::withVerdict(endpoint_verdict::Accepted);
  List.Ended.push_back({7, Task, 1, run_end::Done, ""});
  Site.answer<poll_order>(List);
  REQUIRE(Site.commit().size() == 1);
  Site.commit();
  CHECK(Site.nextPoll().Cursor == 7);
  Site.answer<poll_order>(
      restored_run::withVerdict(endpoint_verdict::Unhealthy));
  CHECK(Site.nextPoll().Cursor == 0);
}

TEST_CASE("a run of an earlier leader for which its endpoint has no capacity "
          "is placed again at once") {
  // The endpoint looked for the run and obeys this leader's fencing token.
  restored_run Site;
  Site.answer<start_order>(
      restored_run::withVerdict(endpoint_verdict::NoCapacity));
  auto Ends = Site.commit();
  REQUIRE(Ends.size() == 1);
  CHECK(Ends[0].Outcome == run_end::Refused);
}

TEST_CASE("a list that shows a run which was recorded in another way is "
          "counted with the verdict that it contradicts") {
  restored_run Site;
  Site.answer<start_order>(
      restored_run::withVerdict(endpoint_verdict::NoCapacity));
  Site.commit();
  auto List = restored_run::withVerdict(endpoint_verdict::Accepted);
  List.Ended.push_back({1, Task, 1, run_end::Done, ""});
  Site.answer<poll_order>(List);
  CHECK(Site.Metrics.counter("contradicted_verdicts_total{verdict=\"refused\","
                             "listed=\"done\"}") == 1);
}
