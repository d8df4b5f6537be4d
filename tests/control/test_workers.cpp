#include "control/platform_worker.h"
#include "control/storage_worker.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace lycheetrestle;
using namespace lycheetrestle::control;

namespace {

/// Log store whose first writes fail as on a full disk.
struct failing_store {
  int Failures = 0;
  std::shared_ptr<std::vector<std::uint64_t>> Written =
      std::make_shared<std::vector<std::uint64_t>>();

  core::result<void> execute(const replication::storage_write &Write) {
    if (Failures-- > 0)
      return core::fail({core::error_code::Overloaded, "the disk is full", "",
                         "", core::verdict::NotRun});
    Written->push_back(Write.Ticket);
    return {};
  }
  std::uint64_t sizeBytes() const { return Written->size(); }
};

/// Platform that does not answer orders for the host `lost` and refuses those
/// for the host `old` because of their epoch.
struct fake_platform {
  std::shared_ptr<std::vector<std::string>> Executed =
      std::make_shared<std::vector<std::string>>();

  core::result<void> execute(const platform::order &Order) {
    Executed->push_back(Order.Host);
    if (Order.Host == "lost")
      return core::fail({core::error_code::Unavailable, "no answer", "", "",
                         core::verdict::MayHaveRun});
    if (Order.Host == "old")
      return core::fail({core::error_code::StaleEpoch, "older epoch", "", "",
                         core::verdict::NotRun});
    return {};
  }
  core::result<std::vector<platform::host_report>> report() {
    return std::vector<platform::host_report>{{"w1", "gate", {}, 1, {}}};
  }
};

replication::storage_write writeOf(std::uint64_t Ticket) {
  replication::storage_write Write;
  Write.Ticket = Ticket;
  return Write;
}

platform_round roundOf(std::initializer_list<std::string> Hosts) {
  platform_round Round;
  for (const auto &Host : Hosts) {
    platform::order Order;
    Order.Host = Host;
    Round.Orders.push_back(std::move(Order));
  }
  return Round;
}

/// Takes items from a ring until there are Count of them, for at most 10 s.
template <typename Item>
std::vector<Item> take(core::bounded_ring<Item> &Ring, std::size_t Count) {
  std::vector<Item> Items;
  auto End = core::boot_clock::now() + std::chrono::seconds(10);
  while (Items.size() < Count && core::boot_clock::now() < End) {
    Ring.drain([&](Item &&Next) { Items.push_back(std::move(Next)); });
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return Items;
}

} // namespace

// Guards against a write that is lost, reordered, or acknowledged although it
// failed.
TEST_CASE("a failed write is reported and retried before later writes") {
  core::metrics_registry Metrics;
  core::ring_signal Signal;
  failing_store Store;
  Store.Failures = 1;
  auto Written = Store.Written;
  storage_worker<failing_store> Worker(Store, Signal, Metrics);
  REQUIRE(Worker.writes().push(writeOf(1)));
  REQUIRE(Worker.writes().push(writeOf(2)));
  Worker.start();
  auto Results = take(Worker.results(), 3);
  Worker.stop();
  REQUIRE(Results.size() == 3);
  CHECK(Results[0].Ticket == 1);
  CHECK_FALSE(Results[0].Stored);
  CHECK(Results[1].Ticket == 1);
  CHECK(Results[1].Stored);
  CHECK(Results[2].Ticket == 2);
  CHECK(*Written == std::vector<std::uint64_t>{1, 2});
  CHECK(Metrics.counter("storage_failures_total") == 1);
}

TEST_CASE("a stop completes queued writes but does not retry failed ones") {
  core::metrics_registry Metrics;
  core::ring_signal Signal;
  failing_store Store;
  Store.Failures = GENERATE(0, 1000);
  auto Written = Store.Written;
  storage_worker<failing_store> Worker(Store, Signal, Metrics);
  REQUIRE(Worker.writes().push(writeOf(1)));
  Worker.start();
  Worker.stop();
  CHECK(Written->size() == (Store.Failures == 0 ? 1 : 0));
}

// Guards against executing old orders after newer ones, and against a round
// that waits for a timeout for each of its orders.
TEST_CASE(
    "the platform thread executes the newest round and then reports hosts") {
  core::metrics_registry Metrics;
  core::ring_signal Signal;
  fake_platform Platform;
  auto Executed = Platform.Executed;
  platform_worker<fake_platform> Worker(Platform, Signal, Metrics);
  REQUIRE(Worker.rounds().push(roundOf({"w9"})));
  REQUIRE(Worker.rounds().push(roundOf({"old", "w1", "lost", "w2"})));
  Worker.start();
  auto Results = take(Worker.results(), 1);
  Worker.stop();
  REQUIRE(Results.size() == 1);
  REQUIRE(Results[0]);
  CHECK(Results[0]->front().Host == "w1");
  CHECK(*Executed == std::vector<std::string>{"old", "w1", "lost"});
  CHECK(Metrics.counter("platform_failures_total") == 2);
}
