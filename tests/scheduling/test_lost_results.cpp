#include "fake_site.h"
#include "schedule_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// Guards against an order whose result is lost within a process: it was pending
// for good, so that its endpoint was never polled again, its run got no further
// order, or no list of hosts and no advice came any more.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

/// A leader of one endpoint whose orders the test answers or not.
class leader_harness {
public:
  leader_harness() {
    auto Configuration = makeConfiguration(1);
    Configuration.Queues[0].Advice = advice_terms{};
    Configuration.Queues[0].Advice->ValidMs = 60'000;
    State.apply(set_configuration{Configuration}, 0);
    leader_settings Settings;
    Settings.HasPlatform = true;
    Settings.HasAdviser = true;
    Leader.emplace(Settings, 5, State, Metrics, Now);
    apply(record_endpoint{makeEndpoint("e1")});
    sendHeartbeat();
  }

  void apply(const command &Command) {
    Leader->recordApplied(Command, State.apply(Command, 1000), Now);
  }
  void sendHeartbeat() {
    endpoint_heartbeat Heartbeat;
    Heartbeat.Facts = makeEndpoint("e1");
    Heartbeat.Sequence = ++Sequence;
    Heartbeat.ClockMs = clockMs();
    Leader->recordHeartbeat(Heartbeat, Now);
  }
  std::uint64_t clockMs() const {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Now.time_since_epoch())
            .count());
  }

  /// Simulates the given time and answers all orders but those of one kind.
  template <typename Body> void runWithout(core::duration Time) {
    for (auto End = Now + Time; Now < End; Now += 20ms) {
      if (clockMs() % 1500 == 0)
        sendHeartbeat();
      for (const auto &Command : Leader->takeCommands(Now, 1000))
        apply(Command);
      for (auto &Order : Leader->takeOrders(Now)) {
        if (std::holds_alternative<Body>(Order.Body)) {
          Unanswered.push_back(std::move(Order));
          continue;
        }
        Leader->finishOrder({Order.Id, answerOf(Order)}, Now);
      }
    }
  }
  order_answer answerOf(const order &Order) {
    endpoint_answer Answer;
    Answer.Verdict = endpoint_verdict::Accepted;
    Answer.ClockMs = clockMs();
    Answer.IncarnationMs = 1;
    if (const auto *Start = std::get_if<start_order>(&Order.Body))
      Running = run_row{Start->Task, Start->Attempt, "", 100, std::nullopt};
    if (std::holds_alternative<poll_order>(Order.Body) && Running)
      Answer.Running.push_back(*Running);
    if (const auto *Advise = std::get_if<advise_order>(&Order.Body)) {
      advice_answer Advice;
      for (const auto &Id : Advise->Endpoints)
        Advice.Allowed.push_back({Id, "ticket"});
      Advice.ValidMs = 60'000;
      return Advice;
    }
    if (Order.Endpoint == 0)
      return hosts_answer{{}, ""};
    return Answer;
  }
  void submit() {
    auto Step = makeStep(1);
    Step.IsLongRunning = true;
    apply(submission(makeJob("j", {Step})));
  }
  std::size_t metric(const std::string &Name) {
    auto Text = Metrics.expose();
    // The name also precedes the type.
    auto Found = Text.rfind(Name + " ");
    return Found == std::string::npos
               ? 0
               : std::stoul(Text.substr(Found + Name.size() + 1));
  }

  schedule_state State;
  core::metrics_registry Metrics;
  core::time_point Now = core::time_point(1500ms);
  std::optional<leader> Leader;
  std::vector<order> Unanswered;
  std::uint64_t Sequence = 0;
  std::optional<run_row> Running;
};

} // namespace

TEST_CASE("a start whose result is lost is sent again") {
  leader_harness Harness;
  Harness.runWithout<stop_order>(1s);
  Harness.submit();
  // A list would show the run.
  Harness.runWithout<start_order>(10s);
  REQUIRE(Harness.Unanswered.size() >= 2);
  CHECK(Harness.Leader->load(Harness.Now, 1000).PendingStarts <= 1);
  Harness.runWithout<stop_order>(6s);
  CHECK(Harness.Leader->load(Harness.Now, 1000).PendingStarts == 0);
  CHECK(Harness.Running);
}

TEST_CASE("an endpoint is polled again after the result of a poll is lost") {
  leader_harness Harness;
  Harness.submit();
  Harness.runWithout<poll_order>(20s);
  CHECK(Harness.Unanswered.size() >= 2);
}

TEST_CASE("a stop whose result is lost is sent again") {
  leader_harness Harness;
  Harness.submit();
  Harness.runWithout<stop_order>(1s);
  REQUIRE(Harness.Running);
  Harness.apply(cancel_job{Host, Prefix + "j", "j"});
  Harness.runWithout<stop_order>(10s);
  CHECK(Harness.Unanswered.size() >= 2);
}

TEST_CASE("the adviser is asked again after the result of a call is lost") {
  leader_harness Harness;
  Harness.submit();
  Harness.runWithout<advise_order>(20s);
  REQUIRE(Harness.Unanswered.size() >= 2);
  Harness.runWithout<stop_order>(20s);
  CHECK(Harness.Running);
}

TEST_CASE("hosts are listed again after the result of a list is lost") {
  leader_harness Harness;
  Harness.runWithout<list_hosts_order>(20s);
  CHECK(Harness.Unanswered.size() >= 2);
}

TEST_CASE("a result after the deadline of its order is ignored") {
  leader_harness Harness;
  Harness.runWithout<stop_order>(1s);
  Harness.submit();
  Harness.runWithout<start_order>(6s);
  REQUIRE(Harness.Unanswered.size() >= 2);
  endpoint_answer Refusal;
  Refusal.Verdict = endpoint_verdict::NoCapacity;
  Refusal.ClockMs = Harness.clockMs();
  Refusal.IncarnationMs = 1;
  Harness.Leader->finishOrder({Harness.Unanswered[0].Id, Refusal}, Harness.Now);
  CHECK(Harness.State.findTask({"j", 0, 0, 0})->Endpoint == 1);
  Harness.runWithout<stop_order>(6s);
  CHECK(Harness.State.findTask({"j", 0, 0, 0})->Endpoint == 1);
  CHECK(Harness.metric("orders_expired_total") >= 1);
}

TEST_CASE("orders are not taken for lost while the process was suspended") {
  leader_harness Harness;
  Harness.runWithout<stop_order>(1s);
  Harness.submit();
  Harness.runWithout<start_order>(200ms);
  REQUIRE(Harness.Unanswered.size() == 1);
  Harness.Now += 60s;
  Harness.Leader->takeOrders(Harness.Now);
  CHECK(Harness.metric("orders_expired_total") == 0);
  Harness.runWithout<stop_order>(1s);
  CHECK(Harness.metric("orders_expired_total") > 0);
}
