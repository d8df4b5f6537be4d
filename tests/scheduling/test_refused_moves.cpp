#include "schedule_fixture.h"
#include "scheduling/leader.h"

#include <catch2/catch.hpp>

#include <optional>
#include <set>
#include <string>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

constexpr int HostCount = 6;

/// A leader whose platform lists all hosts as up and gives the same answer to
/// every move. Endpoints accept all orders.
class refusing_site {
public:
  /// \param HasOtherPools whether there are pools to which hosts may move.
  explicit refusing_site(order_answer Answer, bool HasOtherPools = true)
      : MoveAnswer(std::move(Answer)) {
    auto Configuration = makeConfiguration(1);
    if (!HasOtherPools)
      Configuration.Pools.resize(1);
    State.apply(set_configuration{Configuration}, 0);
    leader_settings Settings;
    Settings.HasPlatform = true;
    Leader.emplace(Settings, 5, State, Metrics, Now);
    for (int Index = 1; Index <= HostCount; ++Index)
      apply(record_endpoint{makeEndpoint(id(Index))});
  }

  /// Simulates the given time in steps of 50 ms.
  void run(core::duration Time) {
    for (auto End = Now + Time; Now < End; Now += 50ms) {
      ++Sequence;
      for (int Index = 1; Index <= HostCount; ++Index) {
        endpoint_heartbeat Heartbeat;
        Heartbeat.Facts = makeEndpoint(id(Index));
        Heartbeat.Sequence = Sequence;
        Heartbeat.ClockMs = 50 * Sequence;
        Leader->recordHeartbeat(Heartbeat, Now);
      }
      for (const auto &Command : Leader->takeCommands(Now, 1000))
        apply(Command);
      for (const auto &Order : Leader->takeOrders(Now))
        Leader->finishOrder({Order.Id, answer(Order)}, Now);
    }
  }
  /// Submits a job with one task for each host.
  void submitSpreadJob() {
    auto Step = makeStep(HostCount, 1000);
    Step.IsLongRunning = true;
    Step.MaxPerEndpoint = 1;
    apply(submission(makeJob("j1", {Step})));
  }

  std::set<std::string> MovedHosts; ///< Hosts for which a move was ordered.
  std::size_t MoveOrders = 0;
  std::set<std::uint32_t> StartedTasks;

private:
  static std::string id(int Index) { return "e" + std::to_string(Index); }

  order_answer answer(const order &Order) {
    if (std::holds_alternative<list_hosts_order>(Order.Body)) {
      hosts_answer Page;
      for (int Index = 1; Index <= HostCount; ++Index) {
        host_row Row;
        Row.Name = "h" + std::to_string(Index);
        Row.Pool = "a";
        Row.State = host_state::Up;
        Row.Capacity = {8000, 10'000, 0};
        Row.EndpointId = id(Index);
        Page.Hosts.push_back(Row);
      }
      return Page;
    }
    if (const auto *Move = std::get_if<move_host_order>(&Order.Body)) {
      MovedHosts.insert(Move->Host);
      ++MoveOrders;
      return MoveAnswer;
    }
    endpoint_answer Accepted;
    Accepted.Verdict = endpoint_verdict::Accepted;
    Accepted.ClockMs = 50 * Sequence;
    if (const auto *Start = std::get_if<start_order>(&Order.Body))
      StartedTasks.insert(Start->Task.Index);
    return Accepted;
  }
  void apply(const command &Command) {
    auto Outcome = State.apply(Command, 1000);
    if (Leader)
      Leader->recordApplied(Command, Outcome, Now);
  }

  order_answer MoveAnswer;
  schedule_state State;
  core::metrics_registry Metrics;
  core::time_point Now{1000s};
  std::uint64_t Sequence = 0;
  std::optional<leader> Leader;
};

const no_answer FailedMove{
    .MayHaveRun = true, .Reason = "status 503", .HasResponse = true};

void checkHostsAreUsed(order_answer Answer) {
  refusing_site Site(std::move(Answer));
  Site.run(10s); // Idle hosts are to move to another pool or to standby.
  REQUIRE(Site.MovedHosts.size() >= 3);
  Site.submitSpreadJob();
  Site.run(3s);
  CHECK(Site.StartedTasks.size() == HostCount);
}

} // namespace

// Shows that only the moves keep the tasks of the other cases from starting.
TEST_CASE("hosts that are not to move get work") {
  refusing_site Site(host_verdict::Busy, false);
  Site.run(10s);
  REQUIRE(Site.MovedHosts.empty());
  Site.submitSpreadJob();
  Site.run(3s);
  CHECK(Site.StartedTasks.size() == HostCount);
}

// Guards against hosts that are up and idle in their pool and get no work, for
// the whole term of a leader, because a move that was chosen does not begin.
TEST_CASE("a host gets work while the platform refuses its move as busy") {
  checkHostsAreUsed(host_verdict::Busy);
}

TEST_CASE("a host gets work while the platform refuses the token of its move") {
  checkHostsAreUsed(host_verdict::Fenced);
}

TEST_CASE("a host gets work while the platform throttles its move") {
  checkHostsAreUsed(host_verdict::Throttled);
}

TEST_CASE("a host gets work while the platform does not answer its move") {
  checkHostsAreUsed(no_answer{true, "timeout"});
}

TEST_CASE("a host gets work while the platform answers its move with a server "
          "error") {
  checkHostsAreUsed(FailedMove);
}

// Guards against hosts that get no work for as long as an unanswered order may
// take effect, although the platform answered and lists them as unchanged.
TEST_CASE("hosts whose moves failed get work as soon as a list shows them") {
  refusing_site Site(FailedMove);
  while (Site.MovedHosts.empty())
    Site.run(50ms);
  REQUIRE(Site.MovedHosts.size() >= 3);
  Site.submitSpreadJob();
  Site.run(1500ms);
  CHECK(Site.StartedTasks.size() == HostCount);
}

// Guards against a pool whose idle hosts all wait for moves that do not begin,
// again and again.
TEST_CASE("one host at a time waits for a move while moves do not begin") {
  refusing_site Site(no_answer{true, "timeout"});
  while (Site.MovedHosts.empty())
    Site.run(50ms);
  REQUIRE(Site.MovedHosts.size() >= 3);
  Site.run(4s);
  auto Orders = Site.MoveOrders;
  while (Site.MoveOrders == Orders)
    Site.run(50ms);
  Site.submitSpreadJob();
  Site.run(1s);
  CHECK(Site.StartedTasks.size() + 1 >= HostCount);
}
