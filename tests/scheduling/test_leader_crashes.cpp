#include "schedule_fixture.h"
#include "scheduling/leader.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// Guards against a leader that takes a planned end, a cut or the failure of a
// rack for the crash of an endpoint, or that misses a crash; against suspect
// tasks that start beside others; and against a verdict on their jobs.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

/// A leader with endpoints `e1`, `e2` and so on, on the hosts `h1`, `h2` and so
/// on; the test plays endpoints and platform.
class crash_site {
public:
  explicit crash_site(std::uint32_t Endpoints,
                      std::vector<std::string> Racks = {}) {
    State.apply(set_configuration{makeConfiguration(1)}, wallMs());
    changeLeader();
    for (std::uint32_t Number = 1; Number <= Endpoints; ++Number) {
      auto Name = std::to_string(Number);
      auto Facts = makeEndpoint("e" + Name);
      Facts.Rack = Racks.empty() ? "r" + Name : Racks[Number - 1];
      Facts.Labels = {Facts.Rack};
      apply(record_endpoint{Facts});
      host_row Row;
      Row.Name = "h" + Name;
      Row.Pool = "a";
      Row.State = host_state::Up;
      Row.Capacity = Facts.Capacity;
      Row.EndpointId = Facts.Id;
      Rows[Row.Name] = Row;
    }
    beat();
    list();
  }

  void changeLeader() {
    leader_settings Settings;
    Settings.HasPlatform = true;
    Leader.emplace(Settings, ++Term, State, Metrics, Now);
    Pending.clear();
  }
  std::int64_t wallMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               Now.time_since_epoch())
        .count();
  }
  void apply(const command &Command) {
    Leader->recordApplied(Command, State.apply(Command, wallMs()), Now);
  }
  /// Sends a heartbeat of all endpoints.
  void beat() {
    for (const auto &[Number, Endpoint] : core::indexed_map(State.endpoints()))
      beat(Endpoint.Facts);
  }
  void beat(const endpoint_facts &Facts) {
    endpoint_heartbeat Heartbeat;
    Heartbeat.Facts = Facts;
    Heartbeat.ClockMs = ++Clock;
    Heartbeat.Sequence = Clock;
    if (!Leader->recordHeartbeat(Heartbeat, Now))
      apply(Leader->describeEndpoint(Facts, Now));
    proveIncarnation(Facts);
    Leader->recordHeartbeat(Heartbeat, Now);
  }
  /// Answers the probe of an incarnation that is not recorded yet, and commits.
  void proveIncarnation(const endpoint_facts &Facts) {
    if (State.findEndpoint(Facts.Id, Facts.IncarnationMs))
      return;
    takeOrders();
    auto Answer = accepted();
    Answer.IncarnationMs = Facts.IncarnationMs;
    for (const auto &Order : std::exchange(Pending, {}))
      if (std::holds_alternative<poll_order>(Order.Body) &&
          State.endpoints().count(Order.Endpoint) == 0 &&
          Order.EndpointId == Facts.Id)
        Leader->finishOrder({Order.Id, Answer}, Now);
      else
        Pending.push_back(Order);
    commit();
  }
  /// Commits what the leader proposes and accepts its starts and stops.
  void commit() {
    Now += 50ms;
    Committed = Leader->takeCommands(Now, wallMs());
    for (const auto &Command : Committed)
      apply(Command);
    takeOrders();
    for (const auto &Order : Starts)
      Leader->finishOrder({Order.Id, accepted()}, Now);
  }
  void takeOrders() {
    Starts.clear();
    Stops.clear();
    for (auto &Order : Leader->takeOrders(Now)) {
      if (std::holds_alternative<start_order>(Order.Body))
        Starts.push_back(Order);
      else if (std::holds_alternative<stop_order>(Order.Body))
        Stops.push_back(Order);
      else
        Pending.push_back(Order);
    }
  }
  /// Answers the requests for the list of hosts, and commits.
  void list() {
    Now += 600ms;
    apply(record_endpoint{State.endpoints().begin()->second.Facts});
    takeOrders();
    answerLists();
    commit();
  }
  void answerLists() {
    for (const auto &Order : std::exchange(Pending, {}))
      if (std::holds_alternative<list_hosts_order>(Order.Body)) {
        std::vector<host_row> List;
        for (const auto &[Name, Row] : Rows)
          List.push_back(Row);
        Leader->finishOrder({Order.Id, hosts_answer{List, ""}}, Now);
      } else {
        Pending.push_back(Order);
      }
  }
  /// Answers the open polls of an endpoint, or lets them fail.
  void answerPolls(std::uint32_t Number, const order_answer &Answer) {
    takeOrders();
    for (const auto &Order : std::exchange(Pending, {}))
      if (std::holds_alternative<poll_order>(Order.Body) &&
          Order.Endpoint == Number)
        Leader->finishOrder({Order.Id, Answer}, Now);
      else
        Pending.push_back(Order);
  }
  void submit(const std::string &Id, step_spec Step = makeStep(1)) {
    apply(submission(makeJob(Id, {Step})));
  }
  /// Starts a task on an endpoint without the leader's placement.
  void start(const std::string &Job, std::uint32_t Endpoint,
             std::uint32_t Index = 0) {
    task_key Key{Job, 0, 0, Index};
    apply(start_run{Key, State.findTask(Key)->Attempt + 1, Endpoint});
    takeOrders();
    for (const auto &Order : Starts)
      Leader->finishOrder({Order.Id, accepted()}, Now);
  }
  void takeDown(std::uint32_t Host) {
    auto &Row = Rows["h" + std::to_string(Host)];
    Row.State = host_state::Down;
    Row.EndpointId.clear();
  }
  /// Starts the next endpoint of a host that is down, under the same id.
  void bringUp(std::uint32_t Host, std::uint64_t IncarnationMs,
               const std::string &Rack) {
    auto Name = std::to_string(Host);
    auto Facts = makeEndpoint("e" + Name, IncarnationMs);
    Facts.Rack = Rack;
    auto &Row = Rows["h" + Name];
    Row.State = host_state::Up;
    Row.EndpointId = Facts.Id;
    beat(Facts);
  }
  /// \returns the cause with which the incarnation was ended last.
  std::optional<end_cause> causeOf(std::uint32_t Number) const {
    for (const auto &Command : Committed)
      if (const auto *End = std::get_if<end_endpoint>(&Command);
          End && End->Endpoint == Number)
        return End->End.Cause;
    return std::nullopt;
  }
  std::size_t crashes(const std::string &Job, std::uint32_t Index = 0) const {
    const auto *Suspect = State.findJob(Job)->findSuspect({Job, 0, 0, Index});
    return Suspect ? Suspect->Crashes.size() : 0;
  }
  std::uint32_t placeOf(const std::string &Job, std::uint32_t Index = 0) const {
    return State.findTask({Job, 0, 0, Index})->Endpoint;
  }
  static endpoint_answer accepted() {
    endpoint_answer Answer;
    Answer.Verdict = endpoint_verdict::Accepted;
    Answer.ClockMs = 1;
    return Answer;
  }

  schedule_state State;
  core::metrics_registry Metrics;
  std::optional<leader> Leader;
  core::time_point Now{100s};
  std::uint64_t Term = 4;
  std::uint64_t Clock = 1;
  std::map<std::string, host_row> Rows;
  std::vector<command> Committed;
  std::vector<order> Starts;
  std::vector<order> Stops;
  std::vector<order> Pending;
};

} // namespace

TEST_CASE("a host that is listed as down without an order proves a crash") {
  crash_site Site(3);
  Site.submit("j");
  Site.start("j", 1);
  Site.takeDown(1);
  Site.list();
  CHECK(Site.causeOf(1) == end_cause::Crashed);
  REQUIRE(Site.crashes("j") == 1);
  CHECK(Site.State.findJob("j")->Suspects[0].Crashes[0].Host == "h1");
}

TEST_CASE("a host with an endpoint of another id proves a crash") {
  crash_site Site(3);
  Site.submit("j");
  Site.start("j", 1);
  Site.Rows["h1"].EndpointId = "later";
  Site.list();
  CHECK(Site.causeOf(1) == end_cause::Crashed);
  CHECK(Site.crashes("j") == 1);
}

TEST_CASE("the list of hosts ends an endpoint that does not answer before its "
          "lease expires") {
  crash_site Site(3);
  // With one pool no host moves, so no list is due for other reasons.
  auto Configuration = makeConfiguration(2);
  Configuration.Pools.resize(1);
  Site.apply(set_configuration{Configuration});
  Site.submit("j");
  Site.list();
  Site.answerLists();
  Site.start("j", 1);
  auto LeaseExpiry = Site.Now + leader_settings().Lease;
  Site.answerPolls(1, no_answer{true, "timeout"});
  Site.takeDown(1);
  while (Site.Now < LeaseExpiry && Site.State.endpoints().count(1) > 0) {
    Site.commit();
    Site.answerLists();
  }
  CHECK(Site.State.endpoints().count(1) == 0);
}

TEST_CASE("a list of hosts that is older than an incarnation does not end it") {
  crash_site Site(3);
  Site.Now += 600ms;
  Site.apply(record_endpoint{Site.State.endpoints().begin()->second.Facts});
  Site.takeOrders();
  Site.takeDown(1);
  auto Facts = makeEndpoint("e1", 9);
  Site.beat(Facts);
  REQUIRE(Site.State.findEndpoint("e1", 9));
  Site.answerLists();
  Site.commit();
  CHECK(Site.State.findEndpoint("e1", 9));
}

TEST_CASE("a heartbeat with a later start time under the same id proves a "
          "crash") {
  crash_site Site(3);
  Site.submit("j");
  Site.start("j", 1);
  auto Facts = makeEndpoint("e1", 9);
  Facts.Rack = "r1";
  Site.beat(Facts);
  CHECK(Site.crashes("j") == 1);
  Site.beat(Facts);
  CHECK(Site.crashes("j") == 1);
}

TEST_CASE("a run whose start was not sent is not blamed for a crash") {
  crash_site Site(3);
  Site.submit("j");
  Site.submit("k");
  Site.start("j", 1);
  Site.apply(start_run{{"k", 0, 0, 0}, 1, 1});
  Site.takeOrders();
  REQUIRE(Site.Starts.size() == 1);
  // A refused connection: the order was not executed.
  Site.Leader->finishOrder({Site.Starts[0].Id, no_answer{false, "refused"}},
                           Site.Now);
  Site.takeDown(1);
  Site.list();
  CHECK(Site.crashes("j") == 1);
  CHECK(Site.crashes("k") == 0);
}

// A crash counts against a run by when it happened, not by when it was learnt:
// a sound job was given up for two crashes, of which the second came before the
// start of its run.
TEST_CASE(
    "a run that was ordered after the last sign of life of an endpoint is "
    "not blamed for its crash") {
  struct silence {
    core::duration BeforeOrder;
    bool IsHeardAfterwards;
    std::size_t Crashes;
  };
  // A task that crashes its endpoint at once is told by a short silence only.
  for (const auto &[BeforeOrder, IsHeardAfterwards, Crashes] :
       {silence{3050ms, false, 0}, silence{3050ms, true, 1},
        silence{1000ms, false, 1}}) {
    CAPTURE(BeforeOrder.count(), IsHeardAfterwards);
    crash_site Site(3);
    Site.submit("j");
    Site.submit("k");
    Site.start("j", 1);
    Site.Now += BeforeOrder;
    Site.apply(start_run{{"k", 0, 0, 0}, 1, 1});
    Site.takeOrders();
    REQUIRE(Site.Starts.size() == 1);
    Site.Leader->finishOrder({Site.Starts[0].Id, no_answer{true, "timeout"}},
                             Site.Now);
    Site.Now += 100ms;
    if (IsHeardAfterwards)
      Site.beat(Site.State.endpoints().at(1).Facts);
    Site.takeDown(1);
    Site.list();
    CHECK(Site.crashes("j") == 1);
    CHECK(Site.crashes("k") == Crashes);
  }
}

TEST_CASE("the end of an endpoint that drains or deregistered is planned") {
  crash_site Site(3);
  Site.submit("j");
  Site.submit("k");
  Site.start("j", 1);
  Site.start("k", 2);
  auto Facts = Site.State.endpoints().at(1).Facts;
  Facts.IsDraining = true;
  Site.apply(record_endpoint{Facts});
  Site.Leader->recordDeregistration("e2", Site.Now);
  Site.takeDown(1);
  Site.takeDown(2);
  Site.list();
  CHECK(Site.causeOf(1) == end_cause::Planned);
  CHECK(Site.crashes("j") == 0);
  CHECK(Site.crashes("k") == 0);
}

TEST_CASE("maintenance explains the end of an endpoint, also to a later "
          "leader") {
  crash_site Site(3);
  Site.submit("j");
  Site.start("j", 1);
  Site.apply(start_wave{1, {"h1"}, 20'000, 1});
  Site.apply(order_maintenance{1, "h1"});
  Site.changeLeader();
  Site.takeDown(1);
  Site.list();
  CHECK(Site.causeOf(1) == end_cause::Planned);
  CHECK(Site.crashes("j") == 0);
}

TEST_CASE("a move to another pool explains the end of an endpoint") {
  crash_site Site(3);
  Site.submit("j");
  Site.start("j", 1);
  Site.Rows["h1"].State = host_state::Moving;
  Site.list();
  CHECK(Site.causeOf(1) == end_cause::Planned);
  Site.start("j", 2);
  Site.Rows["h2"].Pool = "b";
  Site.Rows["h2"].EndpointId = "later";
  Site.changeLeader();
  Site.list();
  CHECK(Site.causeOf(2) == end_cause::Planned);
  CHECK(Site.crashes("j") == 0);
}

TEST_CASE("a leader that was elected after a crash learns of it from the list "
          "of hosts") {
  crash_site Site(3);
  Site.submit("j");
  Site.start("j", 1);
  Site.takeDown(1);
  Site.changeLeader();
  Site.list();
  CHECK(Site.causeOf(1) == end_cause::Crashed);
  CHECK(Site.crashes("j") == 1);
}

TEST_CASE("an endpoint that answers again after its runs were lost has not "
          "crashed") {
  crash_site Site(3);
  Site.submit("j");
  Site.start("j", 1);
  Site.commit();
  Site.answerPolls(1, no_answer{true, "timeout"});
  Site.Now += 6s;
  Site.commit();
  REQUIRE(Site.State.endpoints().at(1).LostRuns.size() == 1);
  Site.Now += 1s;
  Site.beat();
  Site.answerPolls(1, crash_site::accepted());
  Site.commit();
  CHECK(Site.State.endpoints().at(1).LostRuns.empty());
  CHECK(Site.crashes("j") == 0);
}

TEST_CASE("a rack that goes dark says nothing about the tasks on it") {
  crash_site Site(6, {"r", "r", "r", "r", "s", "s"});
  for (std::uint32_t Number = 1; Number <= 3; ++Number) {
    auto Job = "j" + std::to_string(Number);
    Site.submit(Job);
    Site.start(Job, Number);
    Site.takeDown(Number);
  }
  Site.list();
  for (std::uint32_t Number = 1; Number <= 3; ++Number) {
    CHECK(Site.causeOf(Number) == end_cause::FailedWithRack);
    CHECK(Site.crashes("j" + std::to_string(Number)) == 0);
  }
}

TEST_CASE("hosts that crash together with whole racks are not avoided") {
  const std::vector<std::string> Racks{"r", "r", "r", "r", "s", "s"};
  crash_site Site(6, Racks);
  for (auto IncarnationMs : {9u, 10u}) {
    for (std::uint32_t Number = 1; Number <= 6; ++Number)
      Site.takeDown(Number);
    Site.list();
    auto Earlier = 6 * (IncarnationMs - 9);
    CHECK(Site.causeOf(1 + Earlier) == end_cause::FailedWithRack);
    CHECK(Site.causeOf(5 + Earlier) == end_cause::Crashed);
    Site.Now += 5s;
    for (std::uint32_t Number = 1; Number <= 6; ++Number)
      if (IncarnationMs == 9 || Number == 5)
        Site.bringUp(Number, IncarnationMs, Racks[Number - 1]);
    Site.list();
  }
  Site.submit("j");
  Site.commit();
  CHECK(Site.placeOf("j") != 0);
}

TEST_CASE("two endpoints of a rack are no failure of the rack") {
  crash_site Site(6, {"r", "r", "r", "r", "s", "s"});
  Site.submit("j");
  Site.start("j", 1);
  Site.takeDown(1);
  Site.takeDown(2);
  Site.list();
  CHECK(Site.causeOf(1) == end_cause::Crashed);
  CHECK(Site.crashes("j") == 1);
}

TEST_CASE("a suspect starts alone and nothing is placed beside it before its "
          "trial is over") {
  crash_site Site(4);
  Site.submit("j");
  Site.start("j", 1);
  Site.submit("k");
  Site.start("k", 2);
  Site.takeDown(1);
  Site.list();
  Site.commit();
  auto Place = Site.placeOf("j");
  REQUIRE(Place >= 3);
  Site.submit("other", makeStep(20));
  Site.commit();
  for (std::uint32_t Index = 0; Index != 20; ++Index)
    CHECK(Site.placeOf("other", Index) != Place);
  // The trial is over; the endpoint takes part again.
  Site.Now += trialTime(SoundRunMs);
  Site.beat();
  Site.commit();
  Site.commit();
  CHECK(Site.State.endpoints().at(Place).Runs.size() > 1);
}

TEST_CASE("the suspect members of a gang start together on one endpoint") {
  // Placed one by one the gang would never be complete.
  crash_site Site(4);
  auto Step = makeStep(2);
  Step.IsGang = true;
  Site.submit("j", Step);
  Site.start("j", 1);
  Site.start("j", 1, 1);
  Site.takeDown(1);
  Site.list();
  REQUIRE(Site.crashes("j", 0) == 1);
  REQUIRE(Site.crashes("j", 1) == 1);
  Site.commit();
  CHECK(Site.placeOf("j", 0) != 0);
  CHECK(Site.placeOf("j", 1) == Site.placeOf("j", 0));
}

TEST_CASE("a backlog that does not fit does not hold up a suspect") {
  // A round gives up on a pool after 24 failed placements. The endpoint that is
  // reserved for the suspect would stay empty.
  crash_site Site(4);
  Site.submit("j");
  Site.start("j", 1);
  Site.takeDown(1);
  for (int Number = 0; Number != 30; ++Number)
    Site.submit("a" + std::to_string(Number), makeStep(1, 9000, 1));
  Site.list();
  Site.commit();
  CHECK(Site.placeOf("j") != 0);
}

TEST_CASE("a busy endpoint is reserved for a suspect until it is empty") {
  crash_site Site(2);
  Site.submit("j");
  Site.submit("busy");
  Site.start("j", 1);
  Site.start("busy", 2);
  Site.takeDown(1);
  Site.list();
  Site.commit();
  CHECK(Site.placeOf("j") == 0);
  Site.submit("other");
  Site.commit();
  CHECK(Site.placeOf("other") == 0);
  Site.apply(end_run{{"busy", 0, 0, 0}, 1, run_end::Done, ""});
  Site.commit();
  CHECK(Site.placeOf("j") == 2);
  CHECK(Site.placeOf("other") == 0);
}

// A sound job was shown as failed because two endpoints crashed under it.
TEST_CASE("a job goes on and completes although endpoints crashed under its "
          "task while it was alone") {
  crash_site Site(6);
  Site.submit("j", makeStep(2));
  Site.start("j", 1);
  Site.start("j", 5, 1);
  Site.takeDown(1);
  Site.list();
  for (std::size_t Crashes = 2; Crashes <= 3; ++Crashes) {
    for (int Round = 0; Site.placeOf("j") == 0 && Round != 20; ++Round) {
      Site.commit();
      CHECK(Site.Stops.empty());
    }
    auto Place = Site.placeOf("j");
    REQUIRE(Place != 0);
    Site.takeDown(Place);
    Site.list();
    CHECK(Site.crashes("j") == Crashes);
    CHECK(Site.State.findJob("j")->State == job_state::Running);
    CHECK(Site.placeOf("j", 1) == 5);
  }
  CHECK(Site.Metrics.counter("endpoint_crashes_total{cause=\"crashed\"}") == 3);
  CHECK(Site.Metrics.counter("crash_backoffs_total{evidence=\"weak\"}") == 1);
  CHECK(Site.Metrics.counter("crash_backoffs_total{evidence=\"strong\"}") == 1);
  // The rest of its pause of two minutes, also under the next leader.
  auto CrashedAt = Site.Now;
  Site.Now += 4s;
  Site.beat();
  Site.changeLeader();
  Site.beat();
  Site.list();
  bool IsNamed = false;
  while (Site.placeOf("j") == 0 && Site.Now - CrashedAt < 150s) {
    Site.beat();
    Site.commit();
    for (const auto &Task : Site.Leader->unservedTasks(Site.Now, 0, false))
      IsNamed |= Task.WaitsFor == "crash_backoff" && Task.PauseLeft > 0s &&
                 Task.PauseLeft <= 116s;
  }
  CHECK(IsNamed);
  CHECK(Site.Now - CrashedAt > 119s);
  CHECK(Site.Now - CrashedAt < 122s);
  REQUIRE(Site.placeOf("j") != 0);
  const task_key First{"j", 0, 0, 0};
  const task_key Second{"j", 0, 0, 1};
  Site.apply(
      end_run{First, Site.State.findTask(First)->Attempt, run_end::Done, ""});
  Site.apply(
      end_run{Second, Site.State.findTask(Second)->Attempt, run_end::Done, ""});
  CHECK(Site.State.findJob("j")->State == job_state::Complete);
}

TEST_CASE("a leader that takes over continues the quarantine") {
  crash_site Site(4);
  Site.submit("j");
  Site.start("j", 1);
  Site.takeDown(1);
  Site.list();
  Site.commit();
  auto Place = Site.placeOf("j");
  REQUIRE(Place != 0);
  Site.changeLeader();
  Site.list();
  Site.beat();
  Site.submit("other", makeStep(20));
  Site.commit();
  Site.commit();
  CHECK(Site.placeOf("other") != 0);
  CHECK(Site.State.endpoints().at(Place).Runs.size() == 1);
}
