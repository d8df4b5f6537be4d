#include "restartable_scheduler.h"
#include "schedule_fixture.h"
#include "scheduling/commands.h"
#include "scheduling/leader.h"
#include "scheduling/schedule_views.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <utility>
#include <variant>

// Records of endpoints that have ended and are kept for runs whose start orders
// a later incarnation may still execute (issue 51).

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr std::int64_t WallMs = 1'700'000'000'000;
const task_key First{"j", 0, 0, 0};
const task_key Second{"j", 0, 0, 1};
const incarnation_end Crash{end_cause::Crashed, 5, {}};

/// Indexes of the parts of a snapshot and of the fields of an endpoint.
constexpr std::size_t EndpointsPart = 4;
constexpr std::size_t OldFields = 6;
/// Type of end_endpoint in a log entry.
const std::size_t EndEndpointType = command(end_endpoint{}).index();

std::string toBytes(const json &Value) {
  std::string Bytes;
  json::to_cbor(Value, Bytes);
  return Bytes;
}

/// \returns the command in a log entry, as a record of CBOR.
json recordOf(const command &Command) {
  return json::from_cbor(encodeBatch(command_batch{1, {Command}}))[2];
}

std::optional<command_batch> decodeEnd(const json &Record) {
  return decodeBatch(toBytes({1, EndEndpointType, Record}));
}

json endpointsOf(const schedule_state &State) {
  return json::from_cbor(State.snapshot())[EndpointsPart];
}

schedule_state restored(const std::string &Bytes) {
  auto Outcome = core::capture([&] { return schedule_state::restore(Bytes); });
  REQUIRE(Outcome.index() == 0);
  return std::move(std::get<0>(Outcome));
}

/// \returns a state with two endpoints and two runs on the first of them.
schedule_state makeBusyState() {
  auto State = makeState(2);
  State.apply(submission(makeJob("j", {makeStep(2)})), WallMs);
  for (const auto &Task : {First, Second})
    REQUIRE(State.apply(start_run{Task, 1, 1}, WallMs) ==
            apply_outcome::Accepted);
  return State;
}

/// The first endpoint has ended, and the start of the first task is open.
schedule_state makeEndedState() {
  auto State = makeBusyState();
  REQUIRE(State.apply(end_endpoint{1, Crash, {First}}, WallMs) ==
          apply_outcome::Accepted);
  return State;
}

} // namespace

// Guards against replicas of an earlier version that stop at a log entry, and
// against snapshots that differ between replicas of two versions.
TEST_CASE("records without open starts have the bytes of earlier versions") {
  CHECK(recordOf(end_endpoint{7, {end_cause::Crashed, 5, {First}}}) ==
        json({7, {2, 5, {{"j", 0, 0, 0}}}}));
  CHECK(encodeBatch(command_batch{1, {end_endpoint{7, Crash}}}) ==
        std::string("\x9a\0\0\0\x03\x01", 6) + toBytes(EndEndpointType) +
            "\x82\x07\x83\x02\x05\x80");
  auto State = makeBusyState();
  for (const auto &Endpoint : endpointsOf(State))
    CHECK(Endpoint.size() == OldFields);
  State.apply(record_deregistration{1}, WallMs);
  auto Endpoints = endpointsOf(State);
  REQUIRE(Endpoints[0].size() == OldFields + 1);
  CHECK(Endpoints[0][OldFields] == true);
  CHECK(Endpoints[1].size() == OldFields);
}

TEST_CASE("log entries of earlier versions without the new fields are read") {
  auto Entry = decodeEnd({7});
  REQUIRE(Entry);
  CHECK(std::get<end_endpoint>(Entry->Commands.at(0)) == end_endpoint{7});
  Entry = decodeEnd({7, {2, 5, json::array()}});
  REQUIRE(Entry);
  CHECK(std::get<end_endpoint>(Entry->Commands.at(0)) ==
        end_endpoint{7, Crash});
  end_endpoint Open{7, Crash, {First, Second}};
  auto Batch = decodeBatch(encodeBatch(command_batch{1, {Open}}));
  REQUIRE(Batch);
  CHECK(std::get<end_endpoint>(Batch->Commands.at(0)) == Open);
}

TEST_CASE("snapshots of earlier versions without the new fields are read") {
  auto Snapshot = json::from_cbor(makeBusyState().snapshot());
  auto &Endpoint = Snapshot[EndpointsPart][0];
  REQUIRE(Endpoint.size() == OldFields);
  auto IsEnded = [&] {
    return restored(toBytes(Snapshot)).endpoints().at(1).HasEnded;
  };
  CHECK_FALSE(IsEnded());
  Endpoint.push_back(true);
  CHECK(restored(toBytes(Snapshot)).endpoints().at(1).HasDeregistered);
  CHECK_FALSE(IsEnded());
  // The oldest ones end after the runs.
  Endpoint = {Endpoint[0], Endpoint[1], Endpoint[2]};
  CHECK_FALSE(IsEnded());
}

// Guards against a process that ends because of an odd entry or snapshot.
TEST_CASE("odd values of the new fields are refused") {
  const json End = {2, 5, json::array()};
  REQUIRE(decodeEnd({7, End, json::array()}));
  for (const json &Odd :
       {json(nullptr), json(true), json("j"), json({1}), json({{"j"}}),
        json({{"j", 0, 0, -1}}), json({{"j", 0, 0, 0, 0}}),
        json({{7, 0, 0, 0}}), json::object({{"j", 0}})})
    CHECK_FALSE(decodeEnd({7, End, Odd}));
  CHECK_FALSE(decodeEnd({7, End, json::array(), json::array()}));
  auto Snapshot = json::from_cbor(makeEndedState().snapshot());
  auto &Endpoint = Snapshot[EndpointsPart][0];
  REQUIRE(Endpoint.size() == OldFields + 2);
  for (const json &Odd : {json(nullptr), json(1), json("x"), json::array()}) {
    Endpoint.back() = Odd;
    auto Bytes = toBytes(Snapshot);
    CHECK(core::capture([&] {
            return schedule_state::restore(Bytes);
          }).index() == 1);
  }
}

TEST_CASE("open starts that are not runs of the endpoint change nothing") {
  auto State = makeBusyState();
  task_key Unknown{"k", 3, 4, 5};
  task_key Waiting{"w", 0, 0, 0};
  State.apply(submission(makeJob("w", {makeStep(1)})), WallMs);
  CHECK(State.apply(end_endpoint{2, Crash, {First, Unknown, Waiting}},
                    WallMs) == apply_outcome::Accepted);
  CHECK(State.endpoints().count(2) == 0);
  CHECK(State.findTask(First)->Endpoint == 1);
  CHECK(State.apply(end_endpoint{1, Crash, {Unknown, Waiting}}, WallMs) ==
        apply_outcome::Accepted);
  CHECK(State.endpoints().empty());
  CHECK(State.findTask(First)->isWaiting());
  CHECK(State.findTask(Waiting)->isWaiting());
}

// Guards against an endpoint that has left and is in use again after a restart.
TEST_CASE("an ended endpoint is still ended after a snapshot") {
  auto State = makeEndedState();
  for (int Round = 0; Round != 2; ++Round) {
    const auto &Endpoint = State.endpoints().at(1);
    CHECK(Endpoint.HasEnded);
    CHECK_FALSE(Endpoint.Facts.Address);
    CHECK(Endpoint.Runs == std::vector<task_key>{First});
    CHECK(State.findTask(First)->Endpoint == 1);
    CHECK(State.findTask(Second)->isWaiting());
    CHECK(State.apply(start_run{Second, 2, 1}, WallMs) == apply_outcome::Stale);
    CHECK(State.crashCensus().Endpoints.at("a") == 1);
    auto Bytes = State.snapshot();
    State = restored(Bytes);
    CHECK(State.snapshot() == Bytes);
  }
}

// The next incarnation may have executed the order.
TEST_CASE("the next incarnation takes the open starts over after a snapshot") {
  auto State = restored(makeEndedState().snapshot());
  REQUIRE(State.apply(record_endpoint{makeEndpoint("e1", 2)}, WallMs) ==
          apply_outcome::Accepted);
  const auto *Next = State.findEndpoint("e1");
  REQUIRE(Next);
  CHECK(Next->Number == 3);
  CHECK_FALSE(Next->HasEnded);
  CHECK(Next->Runs == std::vector<task_key>{First});
  CHECK(State.findTask(First)->Endpoint == 3);
  CHECK(State.endpoints().count(1) == 0);
  CHECK(endpointsOf(State)[0].size() == OldFields);
}

TEST_CASE("an ended endpoint that answers again under the same incarnation is "
          "in use again") {
  auto State = restored(makeEndedState().snapshot());
  REQUIRE(State.apply(record_endpoint{makeEndpoint("e1")}, WallMs) ==
          apply_outcome::Accepted);
  CHECK_FALSE(State.findEndpoint("e1")->HasEnded);
  CHECK_FALSE(restored(State.snapshot()).endpoints().at(1).HasEnded);
  CHECK(State.apply(start_run{Second, 2, 1}, WallMs) ==
        apply_outcome::Accepted);
}

TEST_CASE("a leader that starts from a snapshot sends an ended endpoint "
          "nothing and places nothing there") {
  auto State = restored(makeEndedState().snapshot());
  core::metrics_registry Metrics;
  leader Leader({}, 5, State, Metrics, core::time_point(1000s));
  endpoint_heartbeat Heartbeat;
  Heartbeat.Facts = makeEndpoint("e2");
  auto Now = core::time_point(1000s);
  auto Ended = State.endpoints().at(1).Facts.Id;
  std::size_t Starts = 0;
  for (int Step = 0; Step != 100; ++Step) {
    Now += 50ms;
    Heartbeat.ClockMs = static_cast<std::uint64_t>(Step) * 50 + 1;
    ++Heartbeat.Sequence;
    CHECK(Leader.recordHeartbeat(Heartbeat, Now));
    for (const auto &Command : Leader.takeCommands(Now, WallMs + Step * 50)) {
      if (const auto *Start = std::get_if<start_run>(&Command)) {
        ++Starts;
        CHECK(Start->Endpoint == 2);
      }
      auto Outcome = State.apply(Command, WallMs + Step * 50);
      Leader.recordApplied(Command, Outcome, Now);
    }
    for (const auto &Order : Leader.takeOrders(Now)) {
      CHECK(Order.EndpointId != Ended);
      endpoint_answer Answer;
      Answer.Verdict = endpoint_verdict::Accepted;
      Answer.ClockMs = Heartbeat.ClockMs;
      Answer.IncarnationMs = 1;
      Leader.finishOrder({Order.Id, Answer}, Now);
    }
  }
  CHECK(Starts > 0);
  // The open start is still awaited.
  CHECK(State.endpoints().at(1).HasEnded);
  CHECK(State.findTask(First)->Endpoint == 1);
}

// Guards against a process that, started again from its disk, takes the ended
// endpoint for a live one, or its task for one that may start elsewhere.
TEST_CASE("an ended endpoint is still ended after a restart of the scheduler") {
  restartable_scheduler Site(true);
  Site.beat("e1");
  Site.run(500ms);
  Site.cutOff("e1");
  Site.call(submit_call{Host, Prefix + "j", makeJob("j", {makeStep(1)})});
  Site.run(900ms);
  REQUIRE(Site.Node->state().findTask(First)->Endpoint == 1);
  // The start order that it was sent has no answer.
  Site.exit("e1");
  auto Beats = [&](core::duration Time) {
    for (auto End = Site.Now + Time; Site.Now < End;) {
      Site.beat("e2");
      Site.run(100ms);
    }
  };
  auto IsEnded = [&] {
    const auto &Endpoints = Site.Node->state().endpoints();
    auto Found = Endpoints.find(1);
    return Found != Endpoints.end() && Found->second.HasEnded;
  };
  for (int Round = 0; Round != 60 && !IsEnded(); ++Round)
    Beats(100ms);
  REQUIRE(IsEnded());
  CHECK_FALSE(Site.isRunning(First));
  // An operator must see which endpoints are not in use.
  auto View = [&](std::string_view Path) {
    return json::parse(viewOf(*Site.Node, Path).value());
  };
  CHECK(View("/v1/schedule")["endpoints"] == 1);
  std::map<std::string, json> Shown;
  const auto Endpoints = View("/v1/schedule/endpoints");
  for (const auto &Row : Endpoints["endpoints"])
    Shown[Row["name"]] = Row.value("ended", json());
  CHECK(Shown == std::map<std::string, json>{{"e1", true}, {"e2", false}});
  Site.restart(1s);
  Site.runUntilLeading();
  CHECK(IsEnded());
  CHECK(Site.Node->state().findTask(First)->Endpoint == 1);
  Beats(1s);
  CHECK(IsEnded());
  CHECK_FALSE(Site.isRunning(First));
  // It does not wait for ever.
  Beats(60s);
  CHECK(Site.isRunning(First, "e2"));
  CHECK(Site.Node->state().endpoints().count(1) == 0);
}

// Guards against a crash that counts twice: a late answer shows that another
// endpoint has the address of one whose end is recorded.
TEST_CASE("the crash of an ended endpoint counts once") {
  auto State = makeState(2);
  core::metrics_registry Metrics;
  auto Now = core::time_point(1000s);
  leader Leader({}, 5, State, Metrics, Now);
  auto Apply = [&](const command &Command) {
    auto Outcome = State.apply(Command, WallMs);
    Leader.recordApplied(Command, Outcome, Now);
  };
  endpoint_heartbeat Heartbeat;
  std::vector<order> Unanswered;
  auto Step = [&] {
    Now += 50ms;
    ++Heartbeat.Sequence;
    Heartbeat.ClockMs += 50;
    for (const char *Id : {"e1", "e2"}) {
      Heartbeat.Facts = makeEndpoint(Id);
      Leader.recordHeartbeat(Heartbeat, Now);
    }
    for (const auto &Command : Leader.takeCommands(Now, WallMs))
      Apply(Command);
    for (auto &Order : Leader.takeOrders(Now)) {
      if (Order.EndpointId == "e1" && State.findJob("j")) {
        Unanswered.push_back(std::move(Order));
        continue;
      }
      endpoint_answer Answer;
      Answer.Verdict = endpoint_verdict::Accepted;
      Answer.ClockMs = Heartbeat.ClockMs;
      Answer.IncarnationMs = 1;
      Leader.finishOrder({Order.Id, Answer}, Now);
    }
  };
  for (int Round = 0; Round != 20; ++Round)
    Step();
  Apply(submission(makeJob("j", {makeStep(2, 8000)})));
  for (int Round = 0; Round != 4; ++Round)
    Step();
  const auto Runs = State.endpoints().at(1).Runs;
  REQUIRE(Runs.size() == 1);
  REQUIRE_FALSE(Unanswered.empty());
  Apply(end_endpoint{1, Crash, Runs});
  REQUIRE(State.endpoints().at(1).HasEnded);
  REQUIRE(State.crashCensus().Unexplained.size() == 1);
  for (const auto &Order : std::exchange(Unanswered, {})) {
    endpoint_answer Answer;
    Answer.Verdict = endpoint_verdict::OtherIncarnation;
    Leader.finishOrder({Order.Id, Answer}, Now);
  }
  for (int Round = 0; Round != 4; ++Round)
    Step();
  CHECK(State.endpoints().count(1) == 0);
  CHECK(State.crashCensus().Unexplained.size() == 1);
}

// Guards against a cancelled job that stays for ever, with its endpoint.
TEST_CASE("a job that is cancelled while its start is open is removed from the "
          "ended endpoint") {
  restartable_scheduler Site(true);
  Site.beat("e1");
  Site.run(500ms);
  Site.cutOff("e1");
  Site.call(submit_call{Host, Prefix + "j", makeJob("j", {makeStep(1)})});
  Site.run(900ms);
  Site.exit("e1");
  Site.run(6s);
  const auto &Endpoints = Site.Node->state().endpoints();
  REQUIRE(Endpoints.count(1) == 1);
  REQUIRE(Endpoints.at(1).HasEnded);
  Site.call(cancel_call{Host, Prefix + "j", "j"});
  Site.run(60s);
  CHECK(Endpoints.count(1) == 0);
  CHECK(Site.Node->state().findJob("j")->RunsLeft == 0);
}

// Guards against a next leader that takes an order on its way for executed.
TEST_CASE("an answered start is recorded unless another copy may be open") {
  auto State = makeBusyState();
  CHECK(State.apply(record_answered_start{First, 2}, WallMs) ==
        apply_outcome::Stale);
  CHECK(State.apply(record_answered_start{{"k", 0, 0, 0}, 1}, WallMs) ==
        apply_outcome::Stale);
  CHECK(State.apply(record_answered_start{First, 1}, WallMs) ==
        apply_outcome::Accepted);
  CHECK(State.apply(record_answered_start{First, 1}, WallMs) ==
        apply_outcome::Unchanged);
  CHECK(State.findTask(First)->IsStartAnswered);
  CHECK_FALSE(State.findTask(Second)->IsStartAnswered);
  SECTION("a copy without an answer") {
    CHECK(State.apply(record_open_start{First, 1}, WallMs) ==
          apply_outcome::Accepted);
    CHECK_FALSE(State.findTask(First)->IsStartAnswered);
    CHECK(State.apply(record_answered_start{First, 1}, WallMs) ==
          apply_outcome::Stale);
  }
  SECTION("an open start of an ended incarnation") {
    State.apply(end_endpoint{1, Crash, {First}}, WallMs);
    CHECK_FALSE(State.findTask(First)->IsStartAnswered);
    CHECK(State.apply(record_answered_start{First, 1}, WallMs) ==
          apply_outcome::Stale);
  }
  SECTION("the next incarnation takes the run over") {
    State.apply(record_endpoint{makeEndpoint("e1", 2)}, WallMs);
    CHECK_FALSE(State.findTask(First)->IsStartAnswered);
    CHECK(State.apply(record_answered_start{First, 1}, WallMs) ==
          apply_outcome::Accepted);
  }
  SECTION("the next run") {
    State.apply(end_run{First, 1, run_end::Lost, ""}, WallMs);
    CHECK_FALSE(State.findTask(First)->IsStartAnswered);
    CHECK(State.apply(record_answered_start{First, 1}, WallMs) ==
          apply_outcome::Stale);
    State.apply(start_run{First, 2, 1}, WallMs);
    CHECK_FALSE(State.findTask(First)->IsStartAnswered);
  }
}

// Guards against snapshots that differ between replicas of two versions while
// no answer is recorded, and against a process that ends because of an odd
// snapshot or entry.
TEST_CASE("a recorded answer to a start is kept in a snapshot and adds no "
          "bytes to other tasks") {
  auto State = makeBusyState();
  auto TaskOf = [](json &Snapshot, std::size_t Index) -> json & {
    constexpr std::size_t JobsPart = 2, OccurrencesField = 9;
    return Snapshot[JobsPart][0][OccurrencesField][0][1][0][0][Index];
  };
  constexpr std::size_t OldTaskFields = 6;
  auto Snapshot = json::from_cbor(State.snapshot());
  CHECK(TaskOf(Snapshot, 0).size() == OldTaskFields);
  State.apply(record_answered_start{First, 1}, WallMs);
  auto Bytes = State.snapshot();
  Snapshot = json::from_cbor(Bytes);
  REQUIRE(TaskOf(Snapshot, 0).size() == OldTaskFields + 2);
  CHECK(TaskOf(Snapshot, 0).back() == true);
  CHECK(TaskOf(Snapshot, 1).size() == OldTaskFields);
  auto Restored = restored(Bytes);
  CHECK(Restored.findTask(First)->IsStartAnswered);
  CHECK_FALSE(Restored.findTask(Second)->IsStartAnswered);
  CHECK(Restored.snapshot() == Bytes);
  for (const json &Odd : {json(nullptr), json(1), json("x"), json::array()}) {
    TaskOf(Snapshot, 0).back() = Odd;
    auto OddBytes = toBytes(Snapshot);
    CHECK(core::capture([&] {
            return schedule_state::restore(OddBytes);
          }).index() == 1);
  }
  State.apply(end_run{First, 1, run_end::Lost, ""}, WallMs);
  Snapshot = json::from_cbor(State.snapshot());
  CHECK(TaskOf(Snapshot, 0).size() == OldTaskFields);
}

TEST_CASE("odd entries for answered starts are refused") {
  const std::size_t Type = command(record_answered_start{}).index();
  // The index is part of the log format.
  CHECK(Type == 16);
  const json Key{"j", 0, 0, 0};
  auto Entry = decodeBatch(toBytes({1, Type, {Key, 1}}));
  REQUIRE(Entry);
  CHECK(std::get<record_answered_start>(Entry->Commands.at(0)) ==
        record_answered_start{First, 1});
  for (const json &Odd :
       {json(nullptr), json("j"), json::array(), json({Key}), json({Key, -1}),
        json({Key, "1"}), json({Key, 1, 1}), json({1, Key}),
        json({{"j", 0, 0}, 1}), json({{7, 0, 0, 0}, 1})})
    CHECK_FALSE(decodeBatch(toBytes({1, Type, Odd})));
}
