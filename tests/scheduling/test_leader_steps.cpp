#include "scheduling/schedule_node.h"
#include "tests/scheduling/schedule_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t DocumentBytes = 600u << 10;

/// \returns a scheduler whose log holds configurations of more than
/// DocumentBytes and that is the only voter.
schedule_node makeRestartedNode(std::uint64_t Configurations,
                                core::metrics_registry &Metrics,
                                core::time_point Now) {
  scheduler_settings Settings;
  Settings.Address = "10.0.0.1";
  replication::replica_id Self{Settings.Address, 1};
  replication::membership Initial;
  Initial.Members.push_back({Self, true});
  replication::persistent_state Persisted;
  Persisted.Hard.Term = 1;
  for (std::uint64_t Index = 1; Index <= Configurations; ++Index) {
    auto Configuration = makeConfiguration(Index);
    Configuration.Text.assign(DocumentBytes, 'x');
    Persisted.Entries.push_back(
        {Index, 1, replication::entry_kind::Command,
         encodeBatch(command_batch{
             1000, {set_configuration{std::move(Configuration)}}})});
  }
  return {Settings, Self, std::move(Persisted), Initial, Metrics, Now};
}

} // namespace

// Six configurations of 1 MB among 470 entries were replayed in one step: that
// is fewer commands than its limit, but took 110 ms of processor time, or up to
// a second on a host with a small share of a core. Followers that get no
// heartbeat for 600 ms elect another leader.
TEST_CASE("a restarted scheduler replays at most one large configuration in a "
          "step") {
  core::metrics_registry Metrics;
  core::time_point Now{1s};
  constexpr std::uint64_t Configurations = 8;
  auto Node = makeRestartedNode(Configurations, Metrics, Now);
  std::uint64_t Largest = 0;
  for (int Step = 0; !Node.isLeading() && Step != 10'000; ++Step) {
    Now += 10ms;
    auto Before = Node.state().currentConfiguration().Version;
    Node.tick(Now);
    for (const auto &Write : Node.takeActions(Now).Writes)
      Node.stored(Write.Ticket, Now);
    Largest =
        std::max(Largest, Node.state().currentConfiguration().Version - Before);
    // The rest is due at once.
    if (Before > 0 && !Node.isLeading())
      CHECK(Node.nextTick(Now) <= Now);
  }
  REQUIRE(Node.isLeading());
  CHECK(Node.state().currentConfiguration().Version == Configurations);
  CHECK(Largest == 1);
}
