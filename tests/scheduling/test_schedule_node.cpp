#include "schedule_fixture.h"
#include "scheduling/schedule_node.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

/// The only scheduler of its cluster, started with a log; its writes finish
/// immediately.
class restarted_scheduler {
public:
  /// \param Entries number of log entries, each with CommandsPerEntry commands
  /// that record an endpoint.
  restarted_scheduler(std::size_t Entries, std::size_t CommandsPerEntry)
      : Node(makeNode(Entries, CommandsPerEntry)) {}

  void advance() {
    Now += 10ms;
    Node.tick(Now);
    for (const auto &Write : Node.takeActions(Now).Writes) {
      HasSnapshot |= Write.Snapshot.has_value();
      Node.stored(Write.Ticket, Now);
    }
  }

  core::metrics_registry Metrics;
  core::time_point Now{1s};
  schedule_node Node;
  bool HasSnapshot = false;

private:
  schedule_node makeNode(std::size_t Entries, std::size_t CommandsPerEntry) {
    scheduler_settings Settings;
    Settings.Address = "10.0.0.1";
    replication::replica_id Self{Settings.Address, 1};
    replication::membership Initial;
    Initial.Members.push_back({Self, true});
    replication::persistent_state Persisted;
    Persisted.Hard.Term = 1;
    std::size_t Endpoint = 0;
    for (std::size_t Index = 1; Index <= Entries; ++Index) {
      command_batch Batch;
      for (std::size_t Command = 0; Command != CommandsPerEntry; ++Command)
        Batch.Commands.emplace_back(
            record_endpoint{makeEndpoint("e" + std::to_string(++Endpoint))});
      Persisted.Entries.push_back(
          {Index, 1, replication::entry_kind::Command, encodeBatch(Batch)});
    }
    return {Settings, Self, std::move(Persisted), Initial, Metrics, Now};
  }
};

} // namespace

TEST_CASE("a restarted scheduler replays its log in steps that are short "
          "compared to the election time-out") {
  // 5,000 commands take 35 ms at a third of a core; the time-out is 600 ms.
  constexpr std::size_t MaxCommandsPerStep = 5000;
  constexpr std::size_t Commands = 40 * 500;
  restarted_scheduler Scheduler(40, 500);
  std::size_t Largest = 0;
  while (!Scheduler.Node.isLeading()) {
    auto Before = Scheduler.Node.state().endpoints().size();
    Scheduler.advance();
    REQUIRE(Scheduler.Now < core::time_point(60s));
    Largest =
        std::max(Largest, Scheduler.Node.state().endpoints().size() - Before);
  }
  CHECK(Scheduler.Node.state().endpoints().size() == Commands);
  CHECK(Largest <= MaxCommandsPerStep);
}

TEST_CASE("a log of few entries with many commands is compacted, so that a "
          "restart does not replay all of them") {
  restarted_scheduler Scheduler(120, 500);
  while (!Scheduler.Node.isLeading())
    Scheduler.advance();
  Scheduler.advance();
  CHECK(Scheduler.HasSnapshot);
}
