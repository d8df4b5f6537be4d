#include "core/metrics.h"
#include "schedule_fixture.h"
#include "scheduling/leader.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Guards against a task that starts elsewhere while an order for an earlier run
// of it may still be executed, or while a list shows that run.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

const task_key Task{"j", 0, 0, 0};

/// A leader, the endpoints e1 on h1 and e2 on h2, and a platform that lists the
/// hosts.
class two_hosts {
public:
  two_hosts() {
    auto Configuration = makeConfiguration(1);
    Configuration.Pools.resize(1); // No host moves.
    State.apply(set_configuration{Configuration}, wallMs());
    lead();
    for (const auto *Id : {"e1", "e2"})
      startIncarnation(Id, 1);
    run(1s);
  }

  /// Starts the task on e1, which does not answer the order if it is silent.
  void startOnFirst(bool IsLongRunning = false) {
    auto Step = makeStep(1);
    Step.IsLongRunning = IsLongRunning;
    apply(submission(makeJob("j", {Step})));
    apply(start_run{Task, 1, State.findEndpoint("e1")->Number});
    run(20ms);
  }
  void apply(const command &Command) {
    Leader->recordApplied(Command, State.apply(Command, wallMs()), Now);
  }
  /// Lets the process of an endpoint end, as the list of hosts shows.
  void crash(const std::string &Id) {
    Live.erase(Id);
    Lists.erase(Id);
    RowIds[Id].clear();
  }
  void startIncarnation(const std::string &Id, std::uint64_t IncarnationMs) {
    restart(Id, IncarnationMs);
    beat(Id);
  }
  /// Starts an incarnation whose first heartbeat comes later.
  void restart(const std::string &Id, std::uint64_t IncarnationMs) {
    Live[Id] = IncarnationMs;
    RowIds[Id] = Id;
    Lists[Id] = {};
  }
  void beat(const std::string &Id) {
    endpoint_heartbeat Heartbeat;
    Heartbeat.Facts = makeEndpoint(Id, Live[Id]);
    Heartbeat.Facts.Address = addressOf(Id);
    Heartbeat.Sequence = ++Sequence;
    Heartbeat.ClockMs = static_cast<std::uint64_t>(wallMs());
    if (!Leader->recordHeartbeat(Heartbeat, Now))
      apply(Leader->describeEndpoint(Heartbeat.Facts, Now));
  }
  /// Replaces the leader by one that has read a snapshot.
  void changeLeader() {
    Leader.reset();
    auto Restored = schedule_state::restore(State.snapshot());
    REQUIRE(Restored);
    State = std::move(*Restored);
    lead();
  }
  void run(core::duration Time) {
    for (auto End = Now + Time; Now < End; Now += 10ms) {
      if (++Steps % 100 == 0)
        for (const auto &[Id, IncarnationMs] : Live)
          if (Mute.count(Id) == 0)
            beat(Id);
      for (auto &Order : Leader->takeOrders(Now))
        send(std::move(Order));
      for (auto Next = TimeOuts.begin();
           Next != TimeOuts.end() && Next->first <= Now;) {
        Leader->finishOrder({Next->second, no_answer{true, "timeout"}}, Now);
        Next = TimeOuts.erase(Next);
      }
      if (!HoldsCommits)
        for (const auto &Command : Leader->takeCommands(Now, wallMs())) {
          AnswersRecorded +=
              std::holds_alternative<record_answered_start>(Command);
          apply(Command);
        }
    }
  }
  const task_record *task() const { return State.findTask(Task); }
  void holdLists() { HoldsLists = true; }
  bool hasHeldList() const { return HeldList.has_value(); }
  void releaseList() {
    HoldsLists = false;
    Leader->finishOrder(std::move(*HeldList), Now);
  }
  /// Makes a commit of the leader's commands last until releaseCommits().
  void holdCommits() { HoldsCommits = true; }
  void releaseCommits() { HoldsCommits = false; }
  bool isAssignedTo(std::string_view Id) const {
    const auto *Endpoint = State.findEndpoint(Id);
    return Endpoint && task() && task()->Endpoint == Endpoint->Number;
  }
  static run_row firstRun() { return {Task, 1, "", 100, std::nullopt}; }

  std::map<std::string, endpoint_answer> Lists; ///< Of runs, by endpoint.
  std::set<std::string> Silent;                 ///< Answer nothing.
  std::set<std::string> Mute;                   ///< Send no heartbeats.
  std::map<std::string, std::string> RowIds;    ///< Endpoint of each host.
  std::set<std::string> HiddenRows;             ///< Endpoints without a row.
  bool HasUnnamedRow = false;                   ///< In each list of hosts.
  std::vector<std::string> Started; ///< Endpoints of the starts of Task.
  int Stops = 0;                    ///< Orders to stop a run.
  int AnswersRecorded = 0;          ///< Commands for answered starts.
  schedule_state State;

private:
  void lead() {
    leader_settings Settings;
    Settings.HasPlatform = true;
    Leader.emplace(Settings, ++Term, State, Metrics, Now);
  }
  std::int64_t wallMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               Now.time_since_epoch())
        .count();
  }
  static core::network_address addressOf(std::string_view Id) {
    return *core::network_address::parse("10.0.0." + std::string(Id.substr(1)) +
                                         ":80");
  }
  void send(order Order) {
    if (std::holds_alternative<list_hosts_order>(Order.Body)) {
      hosts_answer Page;
      if (HasUnnamedRow)
        Page.UnreadableHosts = {""};
      for (const auto &[Id, RowId] : RowIds) {
        if (HiddenRows.count(Id) > 0)
          continue;
        host_row Row;
        Row.Name = "h" + Id.substr(1);
        Row.Pool = "a";
        Row.State = RowId.empty() ? host_state::Down : host_state::Up;
        Row.Capacity = {8000, 10'000, 0};
        Row.EndpointId = RowId;
        Page.Hosts.push_back(std::move(Row));
      }
      if (HoldsLists)
        HeldList = {Order.Id, std::move(Page)};
      else
        Leader->finishOrder({Order.Id, std::move(Page)}, Now);
      return;
    }
    const auto &Id = Order.EndpointId;
    const auto *Start = std::get_if<start_order>(&Order.Body);
    if (Start && Start->Task == Task)
      Started.push_back(Id);
    Stops += std::holds_alternative<stop_order>(Order.Body);
    if (Live.count(Id) == 0 || Silent.count(Id) > 0) {
      TimeOuts.emplace(Now + Order.Timeout, Order.Id);
      return;
    }
    if (Start)
      Lists[Id].Running.push_back(
          {Start->Task, Start->Attempt, "", 100, std::nullopt});
    endpoint_answer Answer;
    if (std::holds_alternative<poll_order>(Order.Body))
      Answer = Lists[Id];
    Answer.Verdict = endpoint_verdict::Accepted;
    Answer.ClockMs = static_cast<std::uint64_t>(wallMs());
    // Answers to other orders do not name the incarnation.
    if (std::holds_alternative<poll_order>(Order.Body))
      Answer.IncarnationMs = Live[Id];
    Leader->finishOrder({Order.Id, std::move(Answer)}, Now);
  }

  core::metrics_registry Metrics;
  core::time_point Now{1000s};
  std::optional<leader> Leader;
  std::uint64_t Term = 0;
  std::uint64_t Sequence = 0;
  int Steps = 0;
  bool HoldsLists = false;
  bool HoldsCommits = false;
  std::optional<order_result> HeldList;      ///< The answer to a list of hosts.
  std::map<std::string, std::uint64_t> Live; ///< Incarnations, by id.
  std::multimap<core::time_point, std::uint64_t> TimeOuts;
};

/// e1 has crashed, and the start of the task has no answer.
class unanswered_start : public two_hosts {
public:
  unanswered_start() {
    Silent = {"e1"};
    startOnFirst();
    REQUIRE(Started == std::vector<std::string>{"e1"});
    crash("e1");
    run(3s);
    Silent.clear();
    REQUIRE(State.findEndpoint("e1"));
    REQUIRE(State.findEndpoint("e1")->HasEnded);
    REQUIRE(isAssignedTo("e1"));
  }
};

} // namespace

TEST_CASE("a task whose start has no answer does not start elsewhere when its "
          "endpoint ends, and continues where the next incarnation runs it") {
  unanswered_start Site;
  Site.startIncarnation("e1", 2);
  Site.Lists["e1"].Running = {Site.firstRun()};
  Site.run(2s);
  CHECK(Site.isAssignedTo("e1"));
  CHECK(Site.task()->Attempt == 1);
  CHECK(Site.Started.size() == 1);
}

TEST_CASE("a task whose start has no answer starts again as soon as the next "
          "incarnation shows that it does not run it") {
  unanswered_start Site;
  Site.startIncarnation("e1", 2);
  Site.run(500ms);
  CHECK(Site.task()->Attempt == 2);
}

TEST_CASE("a task whose start was answered starts elsewhere at once when its "
          "endpoint ends") {
  two_hosts Site;
  Site.startOnFirst();
  REQUIRE(Site.Lists["e1"].Running.size() == 1);
  Site.crash("e1");
  // Until a poll has no answer, a list shows the host, and the pause is over.
  Site.run(4s);
  CHECK_FALSE(Site.State.findEndpoint("e1"));
  CHECK(Site.isAssignedTo("e2"));
}

TEST_CASE(
    "a task that a list shows at work under a new leader starts elsewhere "
    "at once when its endpoint ends") {
  two_hosts Site;
  Site.startOnFirst();
  Site.changeLeader();
  Site.run(1s);
  REQUIRE(Site.Started.size() == 1);
  Site.crash("e1");
  Site.run(4s);
  CHECK_FALSE(Site.State.findEndpoint("e1"));
  CHECK(Site.isAssignedTo("e2"));
}

// Guards against a long-running task that has no run for 12 s because the next
// leader does not know of the answer that its forerunner had.
TEST_CASE("a long-running task whose start was answered starts elsewhere at "
          "once when its endpoint is lost together with the leader") {
  two_hosts Site;
  Site.startOnFirst(true);
  REQUIRE(Site.Lists["e1"].Running.size() == 1);
  Site.run(100ms);
  Site.crash("e1");
  Site.changeLeader();
  Site.run(4s);
  CHECK_FALSE(Site.State.findEndpoint("e1"));
  CHECK(Site.isAssignedTo("e2"));
}

// Guards against a log that grows with each start: the users' bound of other
// tasks allows for the wait.
TEST_CASE("answers to starts are recorded for long-running tasks only") {
  two_hosts Site;
  bool IsLongRunning = GENERATE(false, true);
  Site.startOnFirst(IsLongRunning);
  Site.run(2s);
  CHECK(Site.task()->IsStartAnswered == IsLongRunning);
  CHECK(Site.AnswersRecorded == (IsLongRunning ? 1 : 0));
}

// Guards against a copy whose answer is unknown when the endpoint is lost.
TEST_CASE("the next leader sends no copy of a start that was answered") {
  two_hosts Site;
  Site.startOnFirst(true);
  Site.run(100ms);
  bool IsAtWork = GENERATE(true, false);
  if (!IsAtWork)
    Site.Lists["e1"].Running.clear();
  Site.changeLeader();
  Site.beat("e1");
  Site.run(50ms);
  CHECK(Site.Started.size() == 1);
  Site.run(4s);
  // Stopped and started again if the endpoint does not list it.
  CHECK(Site.task()->Attempt == (IsAtWork ? 1 : 2));
  CHECK(Site.Started.size() == (IsAtWork ? 1 : 2));
}

// Guards against a run without progress yet that counts as stalled since the
// epoch of the clock.
TEST_CASE("the next leader does not take an answered start for stalled") {
  two_hosts Site;
  Site.startOnFirst(true);
  Site.run(100ms);
  Site.Lists["e1"].Running.front().Percent = 0;
  Site.changeLeader();
  Site.run(2s);
  CHECK(Site.task()->Attempt == 1);
  CHECK(Site.Lists["e1"].Running.size() == 1);
  CHECK(Site.Stops == 0);
}

TEST_CASE("a run that is seen at work before its answer was recorded is "
          "recorded by the next leader") {
  two_hosts Site;
  Site.holdCommits();
  Site.startOnFirst(true);
  Site.run(100ms);
  REQUIRE_FALSE(Site.task()->IsStartAnswered);
  Site.changeLeader();
  Site.releaseCommits();
  Site.run(500ms);
  CHECK(Site.task()->IsStartAnswered);
  CHECK(Site.Started.size() == 1);
}

// Guards against a task that runs twice: the answer to one copy says nothing of
// the others.
TEST_CASE("the answer to a further copy of a start is not recorded") {
  two_hosts Site;
  Site.Silent = {"e1"};
  Site.startOnFirst(true);
  Site.run(3s);
  Site.Silent.clear();
  for (int Step = 0; Step != 300 && Site.Started.size() == 1; ++Step)
    Site.run(10ms);
  REQUIRE(Site.Started.size() == 2);
  Site.run(100ms);
  REQUIRE(Site.Lists["e1"].Running.size() == 1);
  CHECK_FALSE(Site.task()->IsStartAnswered);
  Site.crash("e1");
  Site.changeLeader();
  Site.run(4s);
  CHECK(Site.State.findEndpoint("e1"));
  CHECK(Site.isAssignedTo("e1"));
}

// Guards against a task that runs twice: answers to starts do not name the
// incarnation, so that the recorded answer may be that of the next one.
TEST_CASE("a start that the next incarnation has answered is not taken for "
          "lost with the former one by the next leader") {
  two_hosts Site;
  bool HasEarlierList = GENERATE(false, true);
  if (HasEarlierList) {
    // A run on an endpoint that does not answer makes the leader list the
    // hosts.
    Site.startIncarnation("e3", 1);
    Site.run(2s);
    Site.apply(submission(makeJob("k", {makeStep(1)})));
    Site.apply(
        start_run{{"k", 0, 0, 0}, 1, Site.State.findEndpoint("e2")->Number});
    Site.run(20ms);
    Site.Silent = {"e2"};
    Site.run(3s);
  }
  Site.crash("e1");
  if (HasEarlierList) {
    Site.holdLists();
    for (int Step = 0; Step != 300 && !Site.hasHeldList(); ++Step)
      Site.run(10ms);
    REQUIRE(Site.hasHeldList());
  }
  Site.Mute = {"e1"};
  Site.restart("e1", 2);
  Site.startOnFirst(true);
  Site.run(50ms);
  REQUIRE(Site.Lists["e1"].Running.size() == 1);
  REQUIRE(Site.task()->IsStartAnswered);
  Site.changeLeader();
  if (HasEarlierList)
    Site.releaseList();
  Site.run(5s);
  CHECK(Site.Started.size() == 1);
  Site.Mute.clear();
  Site.run(2s);
  CHECK(Site.isAssignedTo("e1"));
  CHECK(Site.task()->Attempt == 1);
  CHECK(Site.Started.size() == 1);
  // Seen in a list of the incarnation that runs it.
  CHECK(Site.task()->IsStartAnswered);
}

TEST_CASE("the wait for an order that an earlier leader may have sent does not "
          "begin anew with the next leader") {
  two_hosts Site;
  Site.startOnFirst();
  Site.Silent = Site.Mute = {"e1"};
  Site.crash("e1");
  Site.changeLeader();
  Site.run(6s);
  REQUIRE(Site.State.findEndpoint("e1")->HasEnded);
  Site.apply(submission(makeJob("k", {makeStep(1)}))); // Has the time.
  Site.changeLeader();
  Site.run(4s);
  CHECK(Site.isAssignedTo("e1"));
  Site.run(5s);
  CHECK_FALSE(Site.isAssignedTo("e1"));
}

TEST_CASE(
    "a start that was seen at work by two leaders in a row starts elsewhere "
    "at once when its endpoint ends") {
  two_hosts Site;
  Site.startOnFirst();
  for (int Change = 0; Change != 2; ++Change) {
    Site.changeLeader();
    // The heartbeat comes before the first list.
    Site.beat("e1");
    Site.run(500ms);
  }
  REQUIRE(Site.Started.size() == 1);
  CHECK(Site.task()->OpenStartMs == 0);
  Site.crash("e1");
  Site.run(4s);
  CHECK(Site.isAssignedTo("e2"));
}

TEST_CASE(
    "a change of leader after an order can no longer be executed does not "
    "begin the wait for it anew") {
  unanswered_start Site;
  Site.RowIds["e1"] = "e1"; // The list shows the ended endpoint as up.
  Site.run(11s);
  REQUIRE(Site.isAssignedTo("e1"));
  Site.apply(submission(makeJob("k", {makeStep(1)}))); // Has the time.
  Site.changeLeader();
  Site.RowIds["e1"].clear();
  Site.run(3s);
  CHECK_FALSE(Site.isAssignedTo("e1"));
}

TEST_CASE(
    "each copy of a start that may have no answer has a record of its own") {
  two_hosts Site;
  Site.Silent = {"e1"};
  Site.startOnFirst();
  Site.run(1s);
  auto First = Site.task()->OpenStartMs;
  REQUIRE(First != 0);
  Site.run(3s);
  Site.Silent.clear();
  for (int Step = 0; Step != 300 && Site.Started.size() == 1; ++Step)
    Site.run(10ms);
  REQUIRE(Site.Started.size() == 2);
  CHECK(Site.task()->OpenStartMs > First + 2000);
}

TEST_CASE(
    "a start that an earlier leader may have sent is not sent again before "
    "the log says so") {
  two_hosts Site;
  Site.startOnFirst();
  Site.Lists["e1"].Running.clear(); // The order is on its way.
  Site.changeLeader();
  Site.holdCommits();
  Site.run(1s);
  CHECK(Site.Started.size() == 1);
  Site.releaseCommits();
  Site.run(100ms);
  CHECK(Site.Started.size() == 2);
  CHECK(Site.task()->OpenStartMs != 0);
}

TEST_CASE(
    "a start without an answer is not sent again before the log says so") {
  two_hosts Site;
  Site.Silent = {"e1"};
  Site.startOnFirst();
  Site.holdCommits();
  Site.run(800ms);
  Site.Silent.clear();
  Site.run(2s);
  CHECK(Site.Started.size() == 1);
  Site.releaseCommits();
  Site.run(1s);
  CHECK(Site.Started.size() == 2);
  CHECK(Site.task()->Attempt == 1);
}

TEST_CASE(
    "a task whose start has no answer waits until the order can no longer "
    "be executed on its host, also under the next leader") {
  unanswered_start Site;
  bool IsReplaced = GENERATE(false, true);
  if (IsReplaced)
    Site.changeLeader();
  Site.run(8s);
  CHECK(Site.isAssignedTo("e1"));
  Site.run(IsReplaced ? 6s : 3s);
  CHECK(Site.isAssignedTo("e2"));
  CHECK_FALSE(Site.State.findEndpoint("e1"));
}

// Guards against a wait for the longest lease, 10 s more, because no list is
// whole.
TEST_CASE("a task whose start has no answer waits for the order and the row of "
          "its host, not for a list without unnamed rows") {
  unanswered_start Site;
  Site.HasUnnamedRow = true;
  SECTION("the lists show the host as down") {
    Site.run(8s);
    CHECK(Site.isAssignedTo("e1"));
    Site.run(3s);
    CHECK(Site.isAssignedTo("e2"));
  }
  SECTION("the row without a name may be that of the host") {
    Site.HiddenRows = {"e1"};
    Site.run(15s);
    CHECK(Site.isAssignedTo("e1"));
  }
}

TEST_CASE("a task whose start has no answer starts elsewhere at once when "
          "another endpoint has taken the host") {
  two_hosts Site;
  Site.Silent = {"e1"};
  Site.startOnFirst();
  Site.crash("e1");
  Site.RowIds["e1"] = "e9";
  Site.run(3s);
  CHECK(Site.isAssignedTo("e2"));
}

TEST_CASE("a start that the next incarnation accepts before its host's earlier "
          "row arrives is not taken for lost with the former incarnation") {
  two_hosts Site;
  // A run on an endpoint that does not answer makes the leader list the hosts.
  Site.startIncarnation("e3", 1);
  Site.run(2s);
  Site.apply(submission(makeJob("k", {makeStep(1)})));
  Site.apply(
      start_run{{"k", 0, 0, 0}, 1, Site.State.findEndpoint("e2")->Number});
  Site.run(20ms);
  Site.Silent = {"e2"};
  Site.run(3s);
  Site.crash("e1");
  Site.holdLists();
  for (int Step = 0; Step != 300 && !Site.hasHeldList(); ++Step)
    Site.run(10ms);
  REQUIRE(Site.hasHeldList());
  Site.Mute = {"e1"};
  Site.restart("e1", 2);
  Site.startOnFirst();
  REQUIRE(Site.Lists["e1"].Running.size() == 1);
  Site.releaseList();
  Site.run(500ms);
  CHECK(Site.Started.size() == 1);
  Site.Mute.clear();
  Site.run(2s);
  CHECK(Site.isAssignedTo("e1"));
  CHECK(Site.Started.size() == 1);
}

TEST_CASE("the next leader allows for leases of the former incarnation when it "
          "was recorded as ended before the present one was recorded") {
  two_hosts Site;
  Site.startOnFirst();
  Site.crash("e1");
  for (int Step = 0; Step != 400 && Site.State.findEndpoint("e1"); ++Step)
    Site.run(10ms);
  REQUIRE_FALSE(Site.State.findEndpoint("e1"));
  // A late poll gives the next incarnation the longest lease at its start.
  Site.startIncarnation("e1", 2);
  Site.apply(submission(makeJob("k", {makeStep(1)})));
  auto Number = Site.State.findEndpoint("e1")->Number;
  const task_key Later{"k", 0, 0, 0};
  Site.apply(start_run{Later, 1, Number});
  Site.run(50ms);
  REQUIRE(Site.Lists["e1"].Running.size() == 1);
  Site.Silent.insert("e1");
  Site.Mute.insert("e1");
  Site.changeLeader();
  Site.run(leader_settings().MaxLease);
  REQUIRE(Site.State.findTask(Later));
  CHECK(Site.State.findTask(Later)->Endpoint == Number);
}

TEST_CASE("an ended incarnation with an open start gets no further run") {
  unanswered_start Site;
  auto Number = Site.State.findEndpoint("e1")->Number;
  Site.State.apply(submission(makeJob("k", {makeStep(1)})), 2'000'000);
  CHECK(Site.State.apply(start_run{{"k", 0, 0, 0}, 1, Number}, 2'000'000) ==
        apply_outcome::Stale);
}

TEST_CASE("a waiting task does not start while a list shows an earlier run of "
          "it, and starts when that has ended") {
  two_hosts Site;
  Site.startOnFirst();
  // Keeps e1 being polled.
  Site.apply(submission(makeJob("k", {makeStep(1)})));
  Site.apply(
      start_run{{"k", 0, 0, 0}, 1, Site.State.findEndpoint("e1")->Number});
  Site.run(20ms);
  Site.apply(end_run{Task, 1, run_end::Lost, ""});
  SECTION("its next run is not decided yet") { Site.run(2s); }
  SECTION("its next run is committed and not sent yet") {
    Site.run(10ms);
    Site.apply(start_run{Task, 2, Site.State.findEndpoint("e2")->Number});
    Site.run(2s);
  }
  CHECK(Site.Started.size() == 1);
  std::erase_if(Site.Lists["e1"].Running,
                [](const run_row &Row) { return Row.Task == Task; });
  Site.run(500ms);
  CHECK(Site.Started.size() == 2);
}

TEST_CASE("an end as done of a run that was taken for lost completes its task "
          "instead of being confirmed for nothing") {
  two_hosts Site;
  Site.startOnFirst();
  Site.crash("e2");          // The task has no other place.
  Site.RowIds["e1"].clear(); // The list of hosts is wrong.
  for (int Step = 0; Step != 120 && Site.isAssignedTo("e1"); ++Step)
    Site.run(100ms);
  REQUIRE(Site.task()->isWaiting());
  Site.RowIds["e1"] = "e1";
  Site.Lists["e1"].Running.clear();
  Site.Lists["e1"].Ended = {{1, Task, 1, run_end::Done, ""}};
  Site.run(2s);
  CHECK(Site.State.findJob("j")->State == job_state::Complete);
  CHECK(Site.Started.size() == 1);
}
