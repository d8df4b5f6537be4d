#include "core/metrics.h"
#include "schedule_fixture.h"
#include "scheduling/leader.h"

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Endpoints that no list of hosts has shown on a host.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

const task_key Task{"j", 0, 0, 0};

host_row hostRow(std::string Name, std::string EndpointId) {
  host_row Row;
  Row.Name = std::move(Name);
  Row.Pool = "a";
  Row.State = EndpointId.empty() ? host_state::Down : host_state::Up;
  Row.Capacity = {8000, 10'000, 0};
  Row.EndpointId = std::move(EndpointId);
  return Row;
}

/// A long-running task at work on e1, whose host no list has shown. e2 has
/// capacity for it and is listed on h2.
class unlisted_endpoint {
public:
  unlisted_endpoint() {
    auto Configuration = makeConfiguration(1);
    Configuration.Pools.resize(1); // No host moves.
    State.apply(set_configuration{Configuration}, wallMs());
    lead();
    Silent = {"e2"};
    beat("e2");
    run(3s);
    beat("e1");
    auto Step = makeStep(1);
    Step.IsLongRunning = true;
    apply(submission(makeJob("j", {Step})));
    run(3s);
    REQUIRE(Lists["e1"].Running.size() == 1);
    Silent.clear();
    run(3s);
    // The next leader finds a start that is older than any open order.
    apply(set_configuration{State.currentConfiguration()});
    REQUIRE(State.findEndpoint("e1")->Host.empty());
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
        for (const auto &[Id, List] : Lists)
          if (Mute.count(Id) == 0)
            beat(Id);
      for (auto &Order : Leader->takeOrders(Now))
        send(std::move(Order));
      for (auto Next = Results.begin();
           Next != Results.end() && Next->first <= Now;) {
        Leader->finishOrder(std::move(Next->second), Now);
        Next = Results.erase(Next);
      }
      for (const auto &Command : Leader->takeCommands(Now, wallMs()))
        apply(Command);
    }
  }
  /// Cuts e1 off: it gets nothing, and nothing comes from it.
  void cutOff() {
    Silent = {"e1"};
    Mute = {"e1"};
  }
  bool isAssignedTo(std::string_view Id) const {
    const auto *Endpoint = State.findEndpoint(Id);
    const auto *Record = State.findTask(Task);
    return Endpoint && Record && Record->Endpoint == Endpoint->Number;
  }

  std::set<std::string> Silent; ///< Answer nothing.
  std::set<std::string> Mute;   ///< Send no heartbeats.
  /// Answer of the platform, which takes this long.
  std::function<hosts_answer()> List = [] {
    return hosts_answer{{hostRow("h1", ""), hostRow("h2", "e2")}, ""};
  };
  core::duration ListDelay{};

private:
  void lead() {
    leader_settings Settings;
    Settings.HasPlatform = true;
    Leader.emplace(Settings, ++Term, State, Metrics, Now);
    Results.clear();
  }
  void apply(const command &Command) {
    Leader->recordApplied(Command, State.apply(Command, wallMs()), Now);
  }
  std::int64_t wallMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               Now.time_since_epoch())
        .count();
  }
  void beat(const std::string &Id) {
    Lists.try_emplace(Id);
    endpoint_heartbeat Heartbeat;
    Heartbeat.Facts = makeEndpoint(Id);
    Heartbeat.Facts.Address =
        core::network_address::parse("10.0.0." + Id.substr(1) + ":80");
    Heartbeat.Sequence = ++Sequence;
    Heartbeat.ClockMs = static_cast<std::uint64_t>(wallMs());
    if (!Leader->recordHeartbeat(Heartbeat, Now))
      apply(Leader->describeEndpoint(Heartbeat.Facts, Now));
  }
  void send(order Order) {
    if (std::holds_alternative<list_hosts_order>(Order.Body)) {
      Results.emplace(Now + ListDelay, order_result{Order.Id, List()});
      return;
    }
    const auto &Id = Order.EndpointId;
    if (Silent.count(Id) > 0) {
      Results.emplace(Now + Order.Timeout,
                      order_result{Order.Id, no_answer{true, "timeout"}});
      return;
    }
    if (const auto *Start = std::get_if<start_order>(&Order.Body))
      Lists[Id].Running.push_back(
          {Start->Task, Start->Attempt, "", 100, std::nullopt});
    endpoint_answer Answer;
    if (std::holds_alternative<poll_order>(Order.Body)) {
      Answer = Lists[Id];
      Answer.IncarnationMs = makeEndpoint(Id).IncarnationMs;
    }
    Answer.Verdict = endpoint_verdict::Accepted;
    Answer.ClockMs = static_cast<std::uint64_t>(wallMs());
    Results.emplace(Now, order_result{Order.Id, std::move(Answer)});
  }

  schedule_state State;
  core::metrics_registry Metrics;
  core::time_point Now{1000s};
  std::optional<leader> Leader;
  std::uint64_t Term = 0;
  std::uint64_t Sequence = 0;
  int Steps = 0;
  std::map<std::string, endpoint_answer> Lists; ///< Of runs, by endpoint.
  std::multimap<core::time_point, order_result> Results;
};

} // namespace

TEST_CASE("the task of an endpoint that ended before a list showed its host "
          "does not wait for the lease, also under the next leader") {
  unlisted_endpoint Site;
  Site.cutOff();
  if (GENERATE(false, true))
    Site.changeLeader();
  Site.run(3500ms);
  CHECK(Site.isAssignedTo("e2"));
}

TEST_CASE("an endpoint that no list has shown is not ended by a list which "
          "may lack its host") {
  unlisted_endpoint Site;
  Site.cutOff();
  SECTION("a page cannot be read") {
    Site.List = [] {
      return hosts_answer{{hostRow("h1", ""), hostRow("h2", "e2")}, "1"};
    };
  }
  SECTION("a row cannot be read") {
    Site.List = [] {
      return hosts_answer{{hostRow("h1", ""), hostRow("h2", "e2")}, "", {"h3"}};
    };
  }
  SECTION("a row without a name cannot be read") {
    Site.List = [] {
      return hosts_answer{{hostRow("h1", ""), hostRow("h2", "e2")}, "", {""}};
    };
  }
  SECTION("a host is up and its endpoint is not named") {
    Site.List = [] {
      auto Unnamed = hostRow("h1", "");
      Unnamed.State = host_state::Up;
      return hosts_answer{{Unnamed, hostRow("h2", "e2")}, ""};
    };
  }
  SECTION("no listed host can have been that of the endpoint") {
    Site.List = [] { return hosts_answer{{hostRow("h2", "e2")}, ""}; };
  }
  SECTION("no host is listed") {
    Site.List = [] { return hosts_answer{}; };
  }
  Site.changeLeader();
  Site.run(6s);
  CHECK(Site.isAssignedTo("e1"));
}

TEST_CASE("an endpoint that no list has shown is not ended while it answers or "
          "sends heartbeats") {
  unlisted_endpoint Site;
  SECTION("it sends no heartbeats") { Site.Mute = {"e1"}; }
  SECTION("it is only heard") {
    Site.Silent = {"e1"};
    // Between two heartbeats.
    Site.ListDelay = 1100ms;
  }
  Site.changeLeader();
  Site.run(6s);
  CHECK(Site.isAssignedTo("e1"));
}

TEST_CASE("a list that was requested before an endpoint was found silent does "
          "not end it") {
  unlisted_endpoint Site;
  Site.ListDelay = 1400ms;
  Site.cutOff();
  Site.changeLeader();
  Site.run(1900ms);
  CHECK(Site.isAssignedTo("e1"));
  Site.run(2s);
  CHECK(Site.isAssignedTo("e2"));
}
