#include "schedule_fixture.h"
#include "scheduling/advice_cache.h"
#include "scheduling/leader.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

core::time_point at(core::duration Time) { return core::time_point(Time); }

const task_key Step{"j", 0, 0, 0};
const advice_terms Terms{10, 1, 1000};

} // namespace

TEST_CASE("a ticket is valid for all tasks of a step until it expires") {
  advice_cache Advice;
  Advice.request(Step, Terms, {"a", "b"}, at(1s));
  auto Call = Advice.nextCall(at(1s));
  REQUIRE(Call);
  CHECK(Call->Endpoints == std::vector<std::string>{"a", "b"});
  advice_answer Answer;
  Answer.Allowed = {{"a", "t"}};
  Advice.recordAnswer(&Answer, at(1100ms));
  CHECK(Advice.ticket({"j", 0, 0, 5}, "a", at(1100ms)) == "t");
  CHECK(!Advice.ticket(Step, "b", at(1100ms)));
  CHECK(!Advice.ticket({"j", 0, 1, 0}, "a", at(1100ms)));
  CHECK(!Advice.ticket(Step, "a", at(2s)));
}

TEST_CASE("the adviser gets one call at a time and none for cached advice") {
  advice_cache Advice;
  Advice.request(Step, Terms, {"a"}, at(1s));
  REQUIRE(Advice.nextCall(at(1s)));
  Advice.request({"k", 0, 0, 0}, Terms, {"a"}, at(1s));
  CHECK(!Advice.nextCall(at(1s)));
  advice_answer Answer;
  Answer.Allowed = {{"a", "t"}};
  Advice.recordAnswer(&Answer, at(1s));
  Advice.request(Step, Terms, {"a"}, at(1s));
  auto Second = Advice.nextCall(at(1s));
  REQUIRE(Second);
  CHECK(Second->Step.Job == "k");
  Advice.recordAnswer(&Answer, at(1s));
  CHECK(!Advice.nextCall(at(1s)));
}

TEST_CASE("a call to a busy or silent adviser is retried after a backoff") {
  advice_cache Advice;
  Advice.request(Step, Terms, {"a"}, at(1s));
  REQUIRE(Advice.nextCall(at(1s)));
  advice_answer Busy;
  Busy.IsBusy = true;
  Advice.recordAnswer(&Busy, at(1s));
  Advice.request(Step, Terms, {"a"}, at(1s));
  CHECK(!Advice.nextCall(at(1s)));
  REQUIRE(Advice.nextCall(at(1200ms)));
  Advice.recordAnswer(nullptr, at(1200ms));
  Advice.request(Step, Terms, {"a"}, at(1200ms));
  CHECK(Advice.nextCall(at(1400ms)));
}

// Guards against a row that replaces a valid ticket of another endpoint, which
// would then refuse the start.
TEST_CASE("a row for an endpoint that was not asked for is ignored") {
  advice_cache Advice;
  advice_answer Answer;
  Advice.request(Step, Terms, {"a"}, at(1s));
  REQUIRE(Advice.nextCall(at(1s)));
  Answer.Allowed = {{"a", "t"}};
  Advice.recordAnswer(&Answer, at(1s));
  Advice.request(Step, Terms, {"b"}, at(1s));
  REQUIRE(Advice.nextCall(at(1s)));
  Answer.Allowed = {{"a", "odd"}, {"b", "u"}};
  Advice.recordAnswer(&Answer, at(1s));
  CHECK(Advice.ticket(Step, "a", at(1s)) == "t");
  CHECK(Advice.ticket(Step, "b", at(1s)) == "u");
}

// Guards against one odd answer that keeps a step waiting for weeks.
TEST_CASE("an answer is not cached for longer than the queue declares") {
  advice_cache Advice;
  Advice.request(Step, Terms, {"a"}, at(1s));
  REQUIRE(Advice.nextCall(at(1s)));
  advice_answer Answer;
  Answer.ValidMs = 2'147'483'647;
  Advice.recordAnswer(&Answer, at(1s));
  Advice.request(Step, Terms, {"a"}, at(3s));
  CHECK(Advice.nextCall(at(3s)));
}

TEST_CASE("tasks of a queue with advice start only on endpoints that the "
          "adviser allows") {
  // An endpoint refuses a start without a ticket, so the job would never start.
  schedule_state State;
  core::metrics_registry Metrics;
  auto Configuration = makeConfiguration(1);
  Configuration.Queues.back().Advice = Terms;
  State.apply(set_configuration{Configuration}, 0);
  leader_settings Settings;
  Settings.HasAdviser = true;
  leader Leader(Settings, 5, State, Metrics, at(1s));
  auto Now = at(1s);
  auto Apply = [&](const command &Command) {
    Leader.recordApplied(Command, State.apply(Command, 1000), Now);
  };
  for (const char *Id : {"e1", "e2"}) {
    Apply(record_endpoint{makeEndpoint(Id)});
    endpoint_heartbeat Heartbeat;
    Heartbeat.Facts = makeEndpoint(Id);
    Heartbeat.ClockMs = 1;
    Leader.recordHeartbeat(Heartbeat, Now);
  }
  Apply(submission(makeJob("j", {makeStep(2)})));
  std::vector<start_order> Starts;
  std::size_t Calls = 0;
  for (int Round = 0; Round != 20; ++Round) {
    for (const auto &Command : Leader.takeCommands(Now, 1000))
      Apply(Command);
    for (const auto &Order : Leader.takeOrders(Now)) {
      if (const auto *Start = std::get_if<start_order>(&Order.Body))
        Starts.push_back(*Start);
      if (!std::holds_alternative<advise_order>(Order.Body))
        continue;
      ++Calls;
      CHECK(Starts.empty());
      advice_answer Answer;
      Answer.Allowed = {{"e2", "ticket"}};
      Leader.finishOrder({Order.Id, Answer}, Now);
    }
    Now += 20ms;
  }
  CHECK(Calls == 1);
  REQUIRE(Starts.size() == 2);
  for (const auto &Start : Starts) {
    CHECK(Start.Ticket == "ticket");
    CHECK(State.findTask(Start.Task)->Endpoint ==
          State.findEndpoint("e2")->Number);
  }
}
