#include "scheduling/ahead_decoder.h"
#include "scheduling/schedule_node.h"
#include "tests/scheduling/schedule_fixture.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t EntryCount = 100;

/// \returns a log whose entries record endpoints.
std::vector<replication::log_entry> makeLog(std::uint64_t Term) {
  std::vector<replication::log_entry> Entries;
  for (std::uint64_t Index = 1; Index <= EntryCount; ++Index)
    Entries.push_back(
        {Index, Term, replication::entry_kind::Command,
         encodeBatch(command_batch{
             1000,
             {record_endpoint{makeEndpoint("e" + std::to_string(Index))}}})});
  return Entries;
}

} // namespace

// An entry that another leader wrote at the same index has other commands.
TEST_CASE("an entry that was decoded ahead has the index and term of the "
          "committed one") {
  auto Log = makeLog(4);
  ahead_decoder Decoder(Log);
  Decoder.decode(1u << 20);
  CHECK(Decoder.isDone());
  auto First = Decoder.take(1, 4);
  REQUIRE(First);
  CHECK(*First == *decodeBatch(Log[0].Payload));
  CHECK(!Decoder.take(1, 4));
  CHECK(!Decoder.take(2, 5));
  CHECK(!Decoder.take(2, 4));
  CHECK(Decoder.take(4, 4));
  CHECK(!Decoder.take(3, 4));
  CHECK(!Decoder.take(EntryCount + 1, 4));
  CHECK(!Decoder.take(EntryCount, 4));
}

// Heartbeats and votes wait while a step decodes.
TEST_CASE("a step decodes no more ahead than the given size") {
  auto Log = makeLog(4);
  auto Size = Log.front().Payload.size();
  ahead_decoder Decoder(Log);
  Decoder.decode(2 * Size);
  CHECK(!Decoder.isDone());
  CHECK(Decoder.take(2, 4));
  CHECK(!Decoder.take(4, 4));
  Decoder.clear();
  CHECK(Decoder.isDone());
}

// After a loss of power a new leader decoded its whole log while everyone
// waited for it, although it had waited itself for the election before.
TEST_CASE("a restarted scheduler decodes its log before it is elected") {
  scheduler_settings Settings;
  Settings.Address = "10.0.0.1";
  replication::replica_id Self{Settings.Address, 1};
  replication::membership Initial;
  Initial.Members.push_back({Self, true});
  replication::persistent_state Persisted;
  Persisted.Hard.Term = 1;
  Persisted.Entries = makeLog(1);
  core::metrics_registry Metrics;
  core::time_point Now{1s};
  schedule_node Node(Settings, Self, std::move(Persisted), Initial, Metrics,
                     Now);
  for (int Step = 0; !Node.isLeading() && Step != 10'000; ++Step) {
    Now += 10ms;
    Node.tick(Now);
    for (const auto &Write : Node.takeActions(Now).Writes)
      Node.stored(Write.Ticket, Now);
  }
  REQUIRE(Node.isLeading());
  CHECK(Node.state().endpoints().size() == EntryCount);
  CHECK(Metrics.counter("entries_decoded_when_applied_total") == 0);
}
