#include "schedule_fixture.h"
#include "scheduling/leader.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

/// A pool with one host, whose endpoint works until the host leaves, and hosts
/// in standby. One row of each list may have no name.
class shrinking_site {
public:
  explicit shrinking_site(bool HasUnnamedRow) : HasUnnamedRow(HasUnnamedRow) {
    State.apply(set_configuration{makeConfiguration(1)}, 0);
    leader_settings Settings;
    Settings.HasPlatform = true;
    Leader.emplace(Settings, 5, State, Metrics, Now);
    apply(record_endpoint{makeEndpoint("e1")});
  }

  void removeHost() { IsHostThere = false; }
  void submitJob() { apply(submission(makeJob("j", {makeStep(1, 1000)}))); }
  /// Simulates the given time in steps of 50 ms.
  void run(core::duration Time) {
    for (auto End = Now + Time; Now < End; Now += 50ms) {
      ++Sequence;
      if (IsHostThere) {
        endpoint_heartbeat Heartbeat;
        Heartbeat.Facts = makeEndpoint("e1");
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

  bool IsHostOrdered = false; ///< A host was ordered to the pool.

private:
  static host_row row(std::string Name, std::string Pool, std::string Id) {
    host_row Row;
    Row.Name = std::move(Name);
    Row.Pool = std::move(Pool);
    Row.State = host_state::Up;
    Row.Capacity = {8000, 10'000, 0};
    Row.EndpointId = std::move(Id);
    return Row;
  }

  order_answer answer(const order &Order) {
    if (std::holds_alternative<list_hosts_order>(Order.Body)) {
      hosts_answer Page;
      Page.Hosts = {row("h2", "spare", ""), row("h3", "spare", "")};
      if (IsHostThere)
        Page.Hosts.push_back(row("h1", "a", "e1"));
      if (HasUnnamedRow)
        Page.UnreadableHosts = {""};
      return Page;
    }
    if (const auto *Move = std::get_if<move_host_order>(&Order.Body)) {
      IsHostOrdered |= Move->Pool == "a";
      return host_verdict::Accepted;
    }
    if (!IsHostThere)
      return no_answer{true, "timeout"};
    endpoint_answer Accepted;
    Accepted.Verdict = endpoint_verdict::Accepted;
    Accepted.ClockMs = 50 * Sequence;
    return Accepted;
  }
  void apply(const command &Command) {
    auto Outcome = State.apply(Command, 1000);
    if (Leader)
      Leader->recordApplied(Command, Outcome, Now);
  }

  bool HasUnnamedRow;
  bool IsHostThere = true;
  schedule_state State;
  core::metrics_registry Metrics;
  core::time_point Now{1000s};
  std::uint64_t Sequence = 0;
  std::optional<leader> Leader;
};

} // namespace

// Guards against work that waits for ever for a host that is gone: it counted
// as supply of its pool, so that no other host was moved there.
TEST_CASE("a host that is gone is replaced although a row has no name") {
  for (bool HasUnnamedRow : {false, true}) {
    CAPTURE(HasUnnamedRow);
    shrinking_site Site(HasUnnamedRow);
    Site.run(3s);
    REQUIRE(!Site.IsHostOrdered);
    Site.removeHost();
    Site.submitJob();
    Site.run(20s);
    CHECK(Site.IsHostOrdered);
  }
}
