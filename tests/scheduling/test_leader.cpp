#include "fake_site.h"
#include "schedule_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

template <typename Body> std::size_t countOrders(const fake_site &Site) {
  return static_cast<std::size_t>(std::count_if(
      Site.SentOrders.begin(), Site.SentOrders.end(), [](const order &Order) {
        return std::holds_alternative<Body>(Order.Body);
      }));
}

core::time_point at(core::duration Time) { return core::time_point(Time); }

/// A leader whose platform and endpoints are simulated by the test.
class host_harness {
public:
  host_harness() {
    State.apply(set_configuration{makeConfiguration(1)}, 0);
    leader_settings Settings;
    Settings.HasPlatform = true;
    Leader.emplace(Settings, 5, State, Metrics, at(1s));
  }

  void apply(const command &Command) {
    Leader->recordApplied(Command, State.apply(Command, 1000), Now);
  }
  void advanceTime(core::duration Time) { Now += Time; }
  void commit() {
    for (const auto &Command : Leader->takeCommands(Now, 1000))
      apply(Command);
  }
  template <typename Body> std::vector<order> take() {
    for (auto &Order : Leader->takeOrders(Now))
      PendingOrders.push_back(std::move(Order));
    std::vector<order> Result;
    std::erase_if(PendingOrders, [&](const order &Order) {
      if (!std::holds_alternative<Body>(Order.Body))
        return false;
      Result.push_back(Order);
      return true;
    });
    return Result;
  }
  void answerLists(std::vector<host_row> Rows) {
    for (auto &Order : take<list_hosts_order>())
      Leader->finishOrder({Order.Id, hosts_answer{Rows, ""}}, Now);
  }

  schedule_state State;
  core::metrics_registry Metrics;
  std::optional<leader> Leader;
  core::time_point Now = at(1s);
  std::vector<order> PendingOrders;
};

host_row hostRow(std::string Name, std::string EndpointId,
                 host_state HostState = host_state::Up) {
  host_row Row;
  Row.Name = std::move(Name);
  Row.Pool = "a";
  Row.State = HostState;
  Row.Capacity = {8000, 10'000, 0};
  Row.EndpointId = std::move(EndpointId);
  return Row;
}

/// A long-running step with two tasks, one on e1 and one on e2, of which one
/// may be unavailable. e3 has capacity for another one.
class budget_harness : public host_harness {
public:
  budget_harness() {
    auto Step = makeStep(2);
    Step.IsLongRunning = true;
    Step.MaxUnavailable = 1;
    Step.MaxPerEndpoint = 1;
    for (std::uint32_t Number = 1; Number <= 3; ++Number) {
      auto Id = "e" + std::to_string(Number);
      apply(record_endpoint{makeEndpoint(Id)});
      endpoint_heartbeat Heartbeat;
      Heartbeat.Facts = makeEndpoint(Id);
      Heartbeat.ClockMs = 1;
      Leader->recordHeartbeat(Heartbeat, Now);
    }
    apply(submission(makeJob("j", {Step})));
    for (std::uint32_t Number = 1; Number <= 2; ++Number)
      apply(start_run{{"j", 0, 0, Number - 1}, 1, Number});
    for (auto &Order : take<start_order>())
      Leader->finishOrder({Order.Id, accepted()}, Now);
    advanceTime(10ms);
    for (std::uint32_t Number = 1; Number <= 2; ++Number)
      answerPoll(Number, running(Number));
    answerLists(rows());
  }

  static endpoint_answer accepted() {
    endpoint_answer Answer;
    Answer.Verdict = endpoint_verdict::Accepted;
    Answer.ClockMs = 1;
    return Answer;
  }
  static endpoint_answer running(std::uint32_t Number,
                                 std::uint32_t Attempt = 1) {
    auto Answer = accepted();
    Answer.Running.push_back(
        {{"j", 0, 0, Number - 1}, Attempt, "", 100, std::nullopt});
    return Answer;
  }
  /// Answers the polls of an endpoint and takes those of the others.
  void answerPoll(std::uint32_t Number, const order_answer &Answer) {
    advanceTime(60ms);
    for (auto &Order : take<poll_order>())
      Polls[Order.Endpoint] = Order.Id;
    auto Found = Polls.find(Number);
    if (Found == Polls.end())
      return;
    auto Id = Found->second;
    Polls.erase(Found);
    Leader->finishOrder({Id, Answer}, Now);
  }
  /// Ends the run on an endpoint, as reported by its poll.
  void endRun(std::uint32_t Number) {
    auto Answer = accepted();
    Answer.Ended.push_back(
        {1, {"j", 0, 0, Number - 1}, 1, run_end::Failed, ""});
    answerPoll(Number, Answer);
    apply(end_run{{"j", 0, 0, Number - 1}, 1, run_end::Failed, ""});
  }
  void startWave() { apply(start_wave{1, {"h1"}, 20'000, 2}); }
  /// Plans hosts; the leader's own starts are not committed.
  void plan() {
    advanceTime(200ms);
    answerLists(rows());
    for (const auto &Command : Leader->takeCommands(Now, 2000))
      if (std::holds_alternative<order_maintenance>(Command))
        apply(Command);
  }
  std::vector<order> waitForMaintenance() {
    std::vector<order> Orders;
    for (int Round = 0; Round != 20 && Orders.empty(); ++Round) {
      plan();
      Orders = take<maintenance_order>();
      for (std::uint32_t Number = 1; Number <= 2; ++Number)
        answerPoll(Number, running(Number, Attempts[Number]));
    }
    return Orders;
  }

private:
  static std::vector<host_row> rows() {
    return {hostRow("h1", "e1"), hostRow("h2", "e2"), hostRow("h3", "e3")};
  }

  std::map<std::uint32_t, std::uint64_t> Polls; ///< Open ones by endpoint.
  std::map<std::uint32_t, std::uint32_t> Attempts{{1, 1}, {2, 1}};
};

} // namespace

TEST_CASE("a new endpoint gets work after its first heartbeat") {
  fake_site Site(1, 1, {});
  Site.apply(submission(makeJob("j", {makeStep(1)})));
  // The first heartbeat arrives within 1.5 s; a second one would take 3 s.
  Site.run(1700);
  CHECK(Site.Starts == 1);
}

TEST_CASE("an unanswered start is repeated only to the same endpoint") {
  fake_site Site(2, 1, {});
  Site.run(1600);
  Site.setReachable(0, false);
  Site.apply(submission(makeJob("j", {makeStep(1)})));
  Site.run(1000);
  std::set<std::string> Addresses;
  for (const auto &Order : Site.SentOrders)
    if (std::holds_alternative<start_order>(Order.Body))
      Addresses.insert(core::toText(Order.Address));
  CHECK(Addresses.size() == 1);
}

TEST_CASE("runs of a silent endpoint start elsewhere after its lease expired") {
  fake_site Site(2, 1, {});
  Site.run(1600);
  Site.apply(submission(makeJob("j", {makeStep(1, 1000, 5000)})));
  Site.run(100);
  REQUIRE(Site.Starts == 1);
  for (std::uint32_t Index = 0; Index != 2; ++Index)
    if (!Site.State.endpoints().at(Index + 1).Runs.empty())
      Site.setReachable(Index, false);
  Site.run(10'000);
  CHECK(Site.MaxConcurrentRuns == 1);
  CHECK(Site.State.findJob("j")->State == job_state::Complete);
}

TEST_CASE("a new leader takes over running tasks without starting them again") {
  fake_site Site(2, 1, {});
  Site.run(1600);
  Site.apply(submission(makeJob("j", {makeStep(4)})));
  Site.run(100);
  REQUIRE(Site.Starts == 4);
  Site.changeLeader();
  Site.run(5000);
  CHECK(Site.Starts == 4);
  CHECK(Site.State.findJob("j")->State == job_state::Complete);
}

TEST_CASE("the runs of a cancelled job are stopped") {
  fake_site Site(1, 1, {});
  Site.run(1600);
  Site.apply(submission(makeJob("j", {makeStep(3)})));
  Site.run(100);
  Site.apply(cancel_job{Host, Prefix + "j", "j"});
  Site.run(100);
  CHECK(countOrders<stop_order>(Site) == 3);
  Site.run(200);
  CHECK(Site.State.findJob("j")->RunsLeft == 0);
}

TEST_CASE("an idle endpoint is not polled") {
  fake_site Site(3, 1, {});
  Site.run(1600);
  Site.apply(submission(makeJob("j", {makeStep(1)})));
  Site.run(8000);
  auto Before = countOrders<poll_order>(Site);
  Site.run(10'000);
  CHECK(countOrders<poll_order>(Site) == Before);
}

TEST_CASE("recorded ends are confirmed to an endpoint without further work") {
  fake_site Site(1, 1, {});
  Site.run(1600);
  Site.apply(submission(makeJob("j", {makeStep(1)})));
  Site.run(8000);
  std::uint64_t Cursor = 0;
  for (const auto &Order : Site.SentOrders)
    if (const auto *Poll = std::get_if<poll_order>(&Order.Body))
      Cursor = std::max(Cursor, Poll->Cursor);
  CHECK(Cursor == 1);
}

TEST_CASE("maintenance is ordered only after the command for it is committed") {
  host_harness Harness;
  Harness.answerLists({hostRow("h1", "")});
  Harness.apply(start_wave{1, {"h1"}, 20'000, 1});
  CHECK(Harness.take<maintenance_order>().empty());
  auto Commands = Harness.Leader->takeCommands(Harness.Now, 1000);
  CHECK(Harness.take<maintenance_order>().empty());
  for (const auto &Command : Commands)
    Harness.apply(Command);
  CHECK(Harness.take<maintenance_order>().size() == 1);
}

TEST_CASE(
    "an accepted maintenance order does not end the current incarnation on "
    "the host") {
  host_harness Harness;
  Harness.apply(record_endpoint{makeEndpoint("old")});
  Harness.answerLists({hostRow("h1", "old")});
  Harness.apply(start_wave{1, {"h1"}, 20'000, 1});
  Harness.commit();
  auto Orders = Harness.take<maintenance_order>();
  REQUIRE(Orders.size() == 1);
  // The answer is lost, and the host comes back with a new endpoint before the
  // repeated order is answered with Accepted.
  Harness.Leader->finishOrder({Orders[0].Id, no_answer{true, "timeout"}},
                              Harness.Now);
  Harness.apply(record_endpoint{makeEndpoint("new", 9)});
  Harness.advanceTime(600ms);
  Harness.answerLists({hostRow("h1", "new")});
  Orders = Harness.take<maintenance_order>();
  REQUIRE(Orders.size() == 1);
  Harness.Leader->finishOrder({Orders[0].Id, host_verdict::Accepted},
                              Harness.Now);
  Harness.commit();
  Harness.commit();
  CHECK(Harness.State.findEndpoint("new", 9));
  CHECK(!Harness.State.findEndpoint("old", 1));
}

TEST_CASE(
    "an incarnation ends when the platform lists another one on its host") {
  host_harness Harness;
  Harness.apply(record_endpoint{makeEndpoint("old")});
  Harness.answerLists({hostRow("h1", "old")});
  Harness.advanceTime(600ms);
  Harness.apply(record_endpoint{makeEndpoint("other", 9)});
  Harness.answerLists({hostRow("h1", "other")});
  Harness.commit();
  CHECK(!Harness.State.findEndpoint("old", 1));
}

TEST_CASE("a run is not recorded as lost before its start order is sent") {
  fake_site Site(2, 1, {});
  Site.run(1600);
  Site.apply(submission(makeJob("j", {makeStep(4)})));
  Site.run(100);
  for (std::uint32_t Index = 0; Index != 4; ++Index)
    CHECK(Site.State.findTask({"j", 0, 0, Index})->Attempt == 1);
}

TEST_CASE("a long-running task is evacuated only when it fits elsewhere") {
  host_harness Harness;
  Harness.apply(record_endpoint{makeEndpoint("e1")});
  auto Step = makeStep(2);
  Step.IsLongRunning = true;
  Step.MaxUnavailable = 1;
  Harness.apply(submission(makeJob("j", {Step})));
  endpoint_heartbeat Heartbeat;
  Heartbeat.Facts = makeEndpoint("e1");
  Heartbeat.ClockMs = 1;
  Harness.Leader->recordHeartbeat(Heartbeat, Harness.Now);
  endpoint_answer Answer;
  Answer.Verdict = endpoint_verdict::Accepted;
  for (std::uint32_t Index = 0; Index != 2; ++Index) {
    Harness.apply(start_run{{"j", 0, 0, Index}, 1, 1});
    Answer.Running.push_back({{"j", 0, 0, Index}, 1, "", 100, std::nullopt});
  }
  for (auto &Order : Harness.take<poll_order>())
    Harness.Leader->finishOrder({Order.Id, Answer}, Harness.Now);
  Harness.answerLists({hostRow("h1", "e1")});
  Harness.apply(start_wave{1, {"h1"}, 1, 1});
  for (int Round = 0; Round != 3; ++Round)
    Harness.Leader->takeCommands(Harness.Now, 1000);
  CHECK(Harness.take<stop_order>().empty());
  Harness.apply(record_endpoint{makeEndpoint("e2", 2)});
  Heartbeat.Facts = makeEndpoint("e2", 2);
  Harness.Leader->recordHeartbeat(Heartbeat, Harness.Now);
  Harness.advanceTime(100ms); // Hosts are planned at intervals.
  for (int Round = 0; Round != 3; ++Round)
    Harness.Leader->takeCommands(Harness.Now, 1000);
  // One run at a time, because MaxUnavailable is 1.
  for (auto &Order : Harness.take<start_order>())
    Harness.Leader->finishOrder({Order.Id, Answer}, Harness.Now);
  CHECK(Harness.take<stop_order>().size() == 1);
  CHECK(Harness.take<maintenance_order>().empty());
}

TEST_CASE("a stop that was held back is not sent when the budget of its step "
          "is used up meanwhile") {
  budget_harness Harness;
  // A short task on e1 delays its maintenance, so that e1 is evacuated first.
  Harness.apply(submission(makeJob("s", {makeStep(1)})));
  Harness.apply(start_run{{"s", 0, 0, 0}, 1, 1});
  Harness.take<start_order>();
  Harness.startWave();
  Harness.plan();
  // An order to e1 is not answered, so a stop is held back.
  Harness.answerPoll(1, no_answer{true, "timeout"});
  Harness.plan();
  Harness.endRun(2);
  // e1 answers again.
  Harness.answerPoll(1, Harness.running(1));
  Harness.plan();
  CHECK(Harness.take<stop_order>().empty());
}

TEST_CASE("a maintenance order is not repeated while the budget of a step on "
          "the host is used up") {
  budget_harness Harness;
  Harness.startWave();
  auto Orders = Harness.waitForMaintenance();
  REQUIRE(Orders.size() == 1);
  Harness.Leader->finishOrder({Orders[0].Id, host_verdict::Throttled},
                              Harness.Now);
  Harness.endRun(2);
  for (int Round = 0; Round != 10; ++Round) {
    Harness.plan();
    Harness.answerPoll(1, Harness.running(1));
  }
  CHECK(Harness.take<maintenance_order>().empty());
  Harness.apply(start_run{{"j", 0, 0, 1}, 2, 2});
  for (auto &Order : Harness.take<start_order>())
    Harness.Leader->finishOrder({Order.Id, Harness.accepted()}, Harness.Now);
  Harness.answerPoll(2, Harness.running(2, 2));
  CHECK(Harness.waitForMaintenance().size() == 1);
}

TEST_CASE("an endpoint whose delegate failed keeps its lease and gets work") {
  budget_harness Harness;
  Harness.answerPoll(1, no_answer{true, "delegate disconnected", true});
  Harness.advanceTime(200ms);
  bool HasLease = false;
  for (const auto &Order : Harness.take<poll_order>())
    if (Order.Endpoint == 1)
      HasLease = std::get<poll_order>(Order.Body).LeaseExpiryMs.has_value();
  CHECK(HasLease);
  Harness.apply(submission(makeJob("s", {makeStep(3, 6500)})));
  std::set<std::uint32_t> Endpoints;
  for (const auto &Command : Harness.Leader->takeCommands(Harness.Now, 2000))
    if (const auto *Start = std::get_if<start_run>(&Command))
      Endpoints.insert(Start->Endpoint);
  CHECK(Endpoints.count(1) == 1);
}

// Guards against a task without a run for as long as the leader stays: it sent
// nothing to such an endpoint and waited for its runs without a bound.
TEST_CASE("the runs of an endpoint are lost when another incarnation answers "
          "under its id and never sends a heartbeat") {
  budget_harness Harness;
  auto Answer = Harness.running(1);
  Answer.IncarnationMs = 99;
  Harness.answerPoll(1, Answer);
  auto Since = Harness.Now;
  task_key Task{"j", 0, 0, 0};
  while (Harness.State.findTask(Task)->Endpoint == 1 &&
         Harness.Now - Since < 60s) {
    Harness.answerPoll(2, Harness.running(2));
    Harness.commit();
  }
  CHECK(Harness.State.findTask(Task)->isWaiting());
  // An order in flight may be executed after 12 s with a lease of 10 s.
  CHECK(Harness.Now - Since > 22s);
  CHECK(Harness.Now - Since < 25s);
  CHECK(Harness.State.findTask({"j", 0, 0, 1})->Endpoint == 2);
}

// Guards against an endpoint that gets no polls and no work any more although
// it sends heartbeats.
TEST_CASE("an endpoint whose heartbeats continue after an answer of another "
          "incarnation is polled again") {
  budget_harness Harness;
  auto Answer = Harness.running(1);
  Answer.IncarnationMs = 99;
  Harness.answerPoll(1, Answer);
  Harness.advanceTime(100ms);
  auto IsPolled = [&] {
    auto Polls = Harness.take<poll_order>();
    return std::any_of(Polls.begin(), Polls.end(),
                       [](const order &Order) { return Order.Endpoint == 1; });
  };
  CHECK_FALSE(IsPolled());
  endpoint_heartbeat Heartbeat;
  Heartbeat.Facts = makeEndpoint("e1");
  Heartbeat.ClockMs = 100;
  Heartbeat.Sequence = 1;
  CHECK(Harness.Leader->recordHeartbeat(Heartbeat, Harness.Now));
  Harness.advanceTime(100ms);
  CHECK(IsPolled());
}

TEST_CASE("tasks on an endpoint that has not answered for seconds count "
          "against the budget of their step") {
  budget_harness Harness;
  // The poll of e2 stays open, as when the leader is too slow to see its end.
  Harness.advanceTime(4s);
  Harness.answerPoll(1, Harness.running(1));
  Harness.startWave();
  Harness.plan();
  CHECK(Harness.take<stop_order>().empty());
  CHECK(Harness.take<maintenance_order>().empty());
}

TEST_CASE("runs of an endpoint that failed with the leader start elsewhere") {
  fake_site Site(2, 1, {});
  Site.run(1600);
  Site.apply(submission(makeJob("j", {makeStep(1, 1000, 5000)})));
  Site.run(100);
  REQUIRE(Site.Starts == 1);
  for (std::uint32_t Index = 0; Index != 2; ++Index)
    if (!Site.State.endpoints().at(Index + 1).Runs.empty())
      Site.setReachable(Index, false);
  // The next leader gets no heartbeat or answer from the endpoint, so it has no
  // sample of its clock.
  Site.changeLeader();
  Site.run(15'000);
  CHECK(Site.MaxConcurrentRuns == 1);
  CHECK(Site.State.findJob("j")->State == job_state::Complete);
}

TEST_CASE("a new leader polls the clocks of the endpoints at once") {
  fake_site Site(2, 1, {});
  Site.run(1600);
  Site.changeLeader();
  Site.apply(submission(makeJob("j", {makeStep(1)})));
  Site.run(200);
  CHECK(Site.Starts == 1);
}

TEST_CASE("a host that is missing from the list still gets its maintenance") {
  host_harness Harness;
  Harness.answerLists({});
  Harness.apply(start_wave{1, {"h1"}, 20'000, 1});
  Harness.commit();
  auto Orders = Harness.take<maintenance_order>();
  REQUIRE(Orders.size() == 1);
  CHECK(!Harness.State.waves().at(1).isComplete());
  Harness.Leader->finishOrder({Orders[0].Id, host_verdict::Accepted},
                              Harness.Now);
  Harness.commit();
  CHECK(Harness.State.waves().at(1).isComplete());
}

// Guards against waves and moves that wait for ever for a list of hosts,
// because the platform no longer knows the token of the list's next page.
TEST_CASE("a list of hosts whose next page is refused starts again") {
  host_harness Harness;
  std::map<std::string, int> Calls;
  bool IsListed = false;
  for (int Round = 0; Round != 100 && !IsListed; ++Round) {
    Harness.advanceTime(100ms);
    for (auto &Order : Harness.take<list_hosts_order>()) {
      auto Token = std::get<list_hosts_order>(Order.Body).PageToken;
      bool IsFirst = Token.empty();
      ++Calls[Token];
      order_answer Answer = no_answer{true, "status 400", false};
      if (IsFirst || Token == "new")
        Answer = hosts_answer{{hostRow(IsFirst ? "h1" : "h2", "")},
                              !IsFirst         ? ""
                              : Calls[""] == 1 ? "old"
                                               : "new"};
      IsListed = Token == "new";
      Harness.Leader->finishOrder({Order.Id, std::move(Answer)}, Harness.Now);
    }
  }
  CHECK(IsListed);
  CHECK(Calls[""] == 2);
  // A page that fails for a short time does not discard those before it.
  CHECK(Calls["old"] > 5);
}

// Without its row, the runs on the host would not count for any budget.
TEST_CASE("a host whose row cannot be read gets no maintenance beyond the "
          "budgets of its runs") {
  for (bool IsIncomplete : {false, true}) {
    budget_harness Harness;
    Harness.endRun(2);
    Harness.startWave();
    for (int Round = 0; Round != 20; ++Round) {
      Harness.advanceTime(200ms);
      hosts_answer Page;
      Page.Hosts = {hostRow("h2", "e2"), hostRow("h3", "e3")};
      // The second page of an incomplete list has its own token again.
      if (IsIncomplete)
        Page.NextToken = "t";
      else
        Page.UnreadableHosts = {"h1"};
      for (int Number = 0; Number != 3; ++Number)
        for (auto &Order : Harness.take<list_hosts_order>())
          Harness.Leader->finishOrder({Order.Id, Page}, Harness.Now);
      for (const auto &Command :
           Harness.Leader->takeCommands(Harness.Now, 2000))
        if (std::holds_alternative<order_maintenance>(Command))
          Harness.apply(Command);
      CHECK(Harness.take<maintenance_order>().empty());
      Harness.answerPoll(1, budget_harness::running(1));
    }
  }
}

// Guards against more hosts under maintenance than a wave allows, because one
// that is missing from a list with a row without a name counts as back.
TEST_CASE("a host in maintenance is not back while its row may be one without "
          "a name") {
  host_harness Harness;
  Harness.answerLists({hostRow("h1", ""), hostRow("h2", "")});
  Harness.apply(start_wave{1, {"h1", "h2"}, 20'000, 1});
  Harness.commit();
  auto Orders = Harness.take<maintenance_order>();
  REQUIRE(Orders.size() == 1);
  auto First = std::get<maintenance_order>(Orders[0].Body).Host;
  std::string Second = First == "h1" ? "h2" : "h1";
  Harness.Leader->finishOrder({Orders[0].Id, host_verdict::Accepted},
                              Harness.Now);
  Harness.commit();
  bool IsBack = false;
  bool IsOrdered = false;
  for (int Round = 0; Round != 20; ++Round) {
    if (Round == 10) {
      CHECK(!IsOrdered);
      IsBack = true;
    }
    Harness.advanceTime(600ms);
    hosts_answer Page;
    Page.Hosts = {hostRow(Second, "")};
    if (IsBack)
      Page.Hosts.push_back(hostRow(First, ""));
    else
      Page.UnreadableHosts = {""};
    for (auto &Order : Harness.take<list_hosts_order>())
      Harness.Leader->finishOrder({Order.Id, Page}, Harness.Now);
    Harness.commit();
    IsOrdered |= !Harness.take<maintenance_order>().empty();
  }
  CHECK(IsOrdered);
}

// Guards against an endpoint that forgets ends which were never read.
TEST_CASE("an end whose number is far beyond the others is not confirmed") {
  budget_harness Harness;
  auto Answer = budget_harness::running(1);
  Answer.Ended.push_back({1, {"x", 0, 0, 0}, 1, run_end::Done, ""});
  Answer.Ended.push_back({9'000'000'000, {"x", 0, 0, 1}, 1, run_end::Done, ""});
  auto CursorAfter = [&](const endpoint_answer &Poll) {
    Harness.answerPoll(1, Poll);
    for (int Batch = 0; Batch != 2; ++Batch)
      Harness.Leader->takeCommands(Harness.Now, 2000);
    Harness.advanceTime(60ms);
    std::uint64_t Cursor = 0;
    for (const auto &Order : Harness.take<poll_order>())
      if (Order.Endpoint == 1) {
        Cursor = std::get<poll_order>(Order.Body).Cursor;
        Harness.Leader->finishOrder({Order.Id, budget_harness::running(1)},
                                    Harness.Now);
      }
    return Cursor;
  };
  CHECK(CursorAfter(Answer) == 1);
  // The next end is confirmed although the odd row is listed first.
  std::swap(Answer.Ended[0], Answer.Ended[1]);
  Answer.Ended[1].Number = 2;
  CHECK(CursorAfter(Answer) == 2);
}

TEST_CASE("maintenance is skipped only for a host that the platform keeps "
          "reporting as unknown") {
  host_harness Harness;
  Harness.answerLists({});
  Harness.apply(start_wave{1, {"h1"}, 20'000, 1});
  Harness.commit();
  for (int Round = 0; Round != 6; ++Round) {
    for (auto &Order : Harness.take<maintenance_order>())
      Harness.Leader->finishOrder({Order.Id, host_verdict::NoSuchHost},
                                  Harness.Now);
    Harness.commit();
    CHECK(Harness.State.waves().at(1).isComplete() == (Round == 5));
    Harness.advanceTime(700ms);
  }
}

TEST_CASE("the number of unanswered starts stays bounded in a peak") {
  // Without a bound, hundreds of orders queue in the process until they time
  // out, and each is sent again on a new connection.
  fake_site Site(40, 1, {});
  Site.run(1600);
  for (int Job = 0; Job != 100; ++Job)
    Site.apply(
        submission(makeJob("j" + std::to_string(Job), {makeStep(8, 100)})));
  std::size_t MaxPending = 0;
  for (int Ms = 0; Ms < 10'000; Ms += 10) {
    auto Before = countOrders<start_order>(Site);
    Site.run(10);
    // All starts sent in one step of 10 ms are unanswered at its end, because
    // the round trip to an endpoint takes longer.
    MaxPending = std::max(MaxPending, countOrders<start_order>(Site) - Before);
  }
  CHECK(MaxPending <= 256);
  CHECK(Site.Starts == 800);
}

TEST_CASE("an unanswered start is not sent again to a draining endpoint") {
  fake_site Site(2, 1, {});
  Site.run(1600);
  Site.setFaults({1000, 0, 0, 0});
  Site.apply(submission(makeJob("j", {makeStep(1)})));
  Site.run(300);
  auto Number = Site.State.findTask({"j", 0, 0, 0})->Endpoint;
  REQUIRE(Number != 0);
  auto Facts = Site.State.endpoints().at(Number).Facts;
  Facts.IsDraining = true;
  Site.apply(record_endpoint{Facts});
  auto Before = Site.SentOrders.size();
  Site.setFaults({});
  Site.run(10'000);
  CHECK(Site.State.findJob("j")->State == job_state::Complete);
  for (auto Index = Before; Index != Site.SentOrders.size(); ++Index)
    CHECK(!(Site.SentOrders[Index].Address == Facts.Address &&
            std::holds_alternative<start_order>(Site.SentOrders[Index].Body)));
}

TEST_CASE("order ids of two leaders in one process differ") {
  // The same process may lead again while answers to orders of its earlier
  // leadership are in flight; these must not match new orders.
  schedule_state State;
  core::metrics_registry Metrics;
  State.apply(set_configuration{makeConfiguration(1)}, 0);
  State.apply(record_endpoint{makeEndpoint("e1")}, 0);
  std::set<std::uint64_t> Ids;
  std::size_t Orders = 0;
  for (std::uint64_t Fence : {1, 2}) {
    leader Leader({}, Fence, State, Metrics, at(1s));
    for (const auto &Order : Leader.takeOrders(at(1s))) {
      Ids.insert(Order.Id);
      ++Orders;
    }
  }
  CHECK(Orders == 2);
  CHECK(Ids.size() == Orders);
}

// Guards against a job that passes all checks and then fills the memory of each
// replica with occurrences: its interval is 0, or its start is far in the past.
TEST_CASE("a job has a bounded number of open occurrences") {
  host_harness Harness;
  auto Count = GENERATE(1u, 3000u);
  auto Job = makeJob("r", {makeStep(Count)});
  Job.RepeatCount = 2'147'483'647;
  Job.IntervalMs = GENERATE(0, 1);
  Harness.apply(submission(Job));
  auto Advance = [&] {
    for (int Round = 0; Round != 600; ++Round) {
      Harness.advanceTime(20ms);
      Harness.commit();
    }
  };
  Advance();
  const auto &Record = *Harness.State.findJob("r");
  auto Open = Record.OpenOccurrences.size();
  CHECK(Open == (Count == 1 ? 256 : 3));
  // The next one opens when one has ended.
  Harness.apply(record_endpoint{makeEndpoint("e1")});
  for (std::uint32_t Index = 0; Index != Count; ++Index) {
    Harness.apply(start_run{{"r", 0, 0, Index}, 1, 1});
    Harness.apply(end_run{{"r", 0, 0, Index}, 1, run_end::Done, ""});
  }
  Advance();
  CHECK(Record.OpenOccurrences.size() == Open);
  CHECK(Record.NextOccurrence == Open + 1);
}

// Guards against a null job: the job of a completed gang is kept for three
// minutes, and an endpoint may list its member for longer.
TEST_CASE("a run whose job is no longer kept is stopped") {
  budget_harness Harness;
  auto Step = makeStep(2, 100);
  Step.IsGang = true;
  Harness.apply(submission(makeJob("g", {Step})));
  for (std::uint32_t Number = 1; Number <= 2; ++Number)
    Harness.apply(start_run{{"g", 0, 0, Number - 1}, 1, Number});
  for (auto &Order : Harness.take<start_order>())
    Harness.Leader->finishOrder({Order.Id, Harness.accepted()}, Harness.Now);
  Harness.apply(end_run{{"g", 0, 0, 0}, 1, run_end::Done, ""});
  REQUIRE(Harness.State.findJob("g")->State == job_state::Complete);
  auto Lists = [&](std::uint32_t Step) {
    auto Answer = Harness.running(2);
    Answer.Running.push_back({{"g", 0, Step, 1}, 1, "", 50, std::nullopt});
    Answer.Ended.push_back({1, {"g", 0, Step, 0}, 1, run_end::Done, ""});
    return Answer;
  };
  Harness.answerPoll(2, Lists(0));
  Harness.State.apply(submission(makeJob("next", {makeStep(1)})), 400'000);
  REQUIRE_FALSE(Harness.State.findJob("g"));
  SECTION("the endpoint keeps listing it") {
    std::size_t Stops = 0;
    for (int Round = 0; Round != 100; ++Round) {
      Harness.answerPoll(2, Lists(0));
      for (const auto &Order : Harness.take<stop_order>())
        Stops += std::get<stop_order>(Order.Body).Task.Job == "g";
    }
    CHECK(Stops > 0);
  }
  SECTION("the endpoint drains") {
    auto Facts = makeEndpoint("e2");
    Facts.IsDraining = true;
    Harness.apply(record_endpoint{Facts});
    Harness.advanceTime(60ms);
    CHECK(Harness.take<stop_order>().size() == 2);
  }
  SECTION("its host gets maintenance") {
    Harness.apply(start_wave{1, {"h2"}, 20'000, 2});
    for (int Round = 0; Round != 5; ++Round)
      Harness.plan();
  }
}

// Guards against one answer that causes tens of thousands of orders.
TEST_CASE(
    "an endpoint that lists unknown runs gets a bounded number of stops") {
  budget_harness Harness;
  auto Answer = Harness.running(1);
  for (std::uint32_t Index = 0; Index != 20'000; ++Index)
    Answer.Running.push_back(
        {{"unknown", Index, Index, Index}, 1, "", 5, std::nullopt});
  Answer.Running.push_back({{"j", 0, 9, 0}, 1, "", 5, std::nullopt});
  Answer.Running.push_back({{"j", 9, 0, 0}, 1, "", 5, std::nullopt});
  Harness.answerPoll(1, Answer);
  auto Stops = Harness.take<stop_order>().size();
  CHECK(Stops > 0);
  CHECK(Stops <= 256);
}

// Guards against a job whose payload fills the memory of the leader, and then
// of the next one: the starts of a gang are committed together.
TEST_CASE("the starts of a large gang are sent in parts") {
  budget_harness Harness;
  auto Step = makeStep(3000, 0);
  Step.IsGang = true;
  Harness.apply(submission(makeJob("g", {Step})));
  for (std::uint32_t Index = 0; Index != 3000; ++Index)
    Harness.apply(start_run{{"g", 0, 0, Index}, 1, 3});
  std::set<task_key> Started;
  std::size_t Largest = 0;
  for (int Round = 0; Round != 10; ++Round) {
    Harness.advanceTime(60ms);
    auto Orders = Harness.take<start_order>();
    Largest = std::max(Largest, Orders.size());
    for (auto &Order : Orders) {
      Started.insert(std::get<start_order>(Order.Body).Task);
      Harness.Leader->finishOrder({Order.Id, Harness.accepted()}, Harness.Now);
    }
  }
  CHECK(Largest <= 1024);
  CHECK(Started.size() == 3000);
}

// Guards against a wave that keeps each leader busy with commands and calls for
// all of its hosts at once.
TEST_CASE("a wave of 20,000 hosts is worked off in parts") {
  host_harness Harness;
  start_wave Wave;
  Wave.Wave = 1;
  Wave.DeadlineMs = 1;
  Wave.MaxCount = 20'000;
  for (int Host = 0; Host != 20'000; ++Host)
    Wave.Hosts.push_back("machine-" + std::to_string(100'000 + Host));
  Harness.apply(Wave);
  std::size_t Largest = 0;
  std::size_t Sent = 0;
  for (int Round = 0; Round != 40; ++Round) {
    Harness.advanceTime(110ms);
    Harness.answerLists({});
    auto Commands = Harness.Leader->takeCommands(Harness.Now, 1000);
    Largest = std::max(Largest, Commands.size());
    for (const auto &Command : Commands)
      Harness.apply(Command);
    auto Orders = Harness.take<maintenance_order>();
    Sent += Orders.size();
    Largest = std::max(Largest, Orders.size());
    for (auto &Order : Orders)
      Harness.Leader->finishOrder({Order.Id, host_verdict::Accepted},
                                  Harness.Now);
  }
  CHECK(Largest <= 2 * 256);
  CHECK(Sent > 256);
  CHECK(Harness.State.waves().at(1).Begun.size() > 256);
}

namespace {

/// One endpoint of a pool that enforces no limits, and a job with one task.
class unguarded_harness : public host_harness {
public:
  unguarded_harness() {
    auto Configuration = makeConfiguration(2);
    Configuration.Pools[0].EnforcesLimits = false;
    apply(set_configuration{Configuration});
    apply(record_endpoint{Facts});
    apply(submission(makeJob("j", {makeStep(1, 5000)})));
  }
  /// Receives a heartbeat and commits the new facts.
  void announce(std::uint32_t MilliCores) {
    Facts.Capacity.MilliCores = MilliCores;
    endpoint_heartbeat Heartbeat;
    Heartbeat.Facts = Facts;
    Heartbeat.Sequence = ++Sequence;
    Heartbeat.ClockMs = Sequence;
    if (!Leader->recordHeartbeat(Heartbeat, Now))
      apply(record_endpoint{Facts});
  }
  void answerPolls(const std::vector<run_row> &Running,
                   const std::vector<end_row> &Ended = {}) {
    advanceTime(60ms);
    for (auto &Order : take<poll_order>()) {
      endpoint_answer Answer;
      Answer.Verdict = endpoint_verdict::Accepted;
      Answer.ClockMs = 1;
      Answer.Running = Running;
      Answer.Ended = Ended;
      Leader->finishOrder({Order.Id, Answer}, Now);
    }
  }

private:
  endpoint_facts Facts = makeEndpoint("e1");
  std::uint64_t Sequence = 0;
};

} // namespace

TEST_CASE("a run that was never assigned takes up capacity until the endpoint "
          "does not list it") {
  // Its stop takes a while, and an endpoint without limits would be brought
  // over its capacity meanwhile.
  unguarded_harness Harness;
  Harness.apply(submission(makeJob("o", {makeStep(1, 4000)})));
  Harness.apply(cancel_job{Host, Prefix + "o", "o"});
  run_row Orphan{{"o", 0, 0, 0}, 1, "", 10, std::nullopt};
  Harness.answerPolls({Orphan});
  Harness.announce(8000);
  for (int Round = 0; Round != 5; ++Round) {
    Harness.commit();
    CHECK(Harness.take<start_order>().empty());
    Harness.advanceTime(300ms);
    CHECK(!Harness.take<stop_order>().empty());
    Harness.answerPolls({Orphan});
  }
  Harness.answerPolls({}, {{1, Orphan.Task, 1, run_end::Stopped, ""}});
  Harness.advanceTime(20ms);
  Harness.commit();
  CHECK(Harness.take<start_order>().size() == 1);
}

TEST_CASE("a start is not sent to an endpoint without limits whose capacity "
          "shrank after the placement") {
  unguarded_harness Harness;
  Harness.announce(8000);
  Harness.commit();
  REQUIRE(Harness.State.findTask({"j", 0, 0, 0})->Endpoint == 1);
  Harness.announce(4000);
  CHECK(Harness.take<start_order>().empty());
  Harness.advanceTime(20ms);
  Harness.commit();
  CHECK(Harness.State.findTask({"j", 0, 0, 0})->isWaiting());
  Harness.announce(8000);
  Harness.advanceTime(300ms);
  Harness.commit();
  CHECK(Harness.take<start_order>().size() == 1);
}

TEST_CASE("an endpoint without limits gets no start before a recent heartbeat "
          "announced its capacity") {
  // The recorded capacity may have shrunk while no leader heard the endpoint.
  unguarded_harness Harness;
  Harness.answerPolls({});
  Harness.commit();
  CHECK(Harness.take<start_order>().empty());
  Harness.announce(8000);
  Harness.advanceTime(4600ms);
  Harness.commit();
  CHECK(Harness.take<start_order>().empty());
  Harness.announce(8000);
  Harness.advanceTime(200ms);
  Harness.commit();
  CHECK(Harness.take<start_order>().size() == 1);
}
