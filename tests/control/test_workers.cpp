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

/// Log store that takes 5 ms for each sync.
struct slow_store {
  std::shared_ptr<std::vector<std::uint64_t>> Indices =
      std::make_shared<std::vector<std::uint64_t>>();
  std::shared_ptr<int> Syncs = std::make_shared<int>(0);

  core::result<void> execute(const replication::storage_write &Write) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    ++*Syncs;
    for (const auto &Entry : Write.Append)
      Indices->push_back(Entry.Index);
    return {};
  }
  std::uint64_t sizeBytes() const { return Indices->size(); }
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

replication::storage_write appendOf(std::uint64_t Ticket,
                                    std::size_t Bytes = 1) {
  auto Write = writeOf(Ticket);
  Write.Append.push_back(
      {Ticket, 1, replication::entry_kind::Command, std::string(Bytes, 'x')});
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

// Guards against a disk that falls behind: with a sync for each write, 500
// writes that arrive within some milliseconds are stored after 2.5 s.
TEST_CASE("writes that arrive during a sync share the next one") {
  constexpr std::uint64_t Count = 500;
  core::metrics_registry Metrics;
  core::ring_signal Signal;
  slow_store Store;
  storage_worker<slow_store> Worker(Store, Signal, Metrics);
  Worker.start();
  std::vector<std::uint64_t> Expected;
  for (std::uint64_t Ticket = 1; Ticket <= Count; ++Ticket) {
    Expected.push_back(Ticket);
    REQUIRE(Worker.writes().push(appendOf(Ticket)));
  }
  std::uint64_t Stored = 0;
  auto End = core::boot_clock::now() + std::chrono::seconds(10);
  while (Stored < Count && core::boot_clock::now() < End) {
    Worker.results().drain([&](storage_result &&Result) {
      CHECK(Result.Stored);
      CHECK(Result.Ticket > Stored);
      Stored = Result.Ticket;
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  Worker.stop();
  CHECK(Stored == Count);
  CHECK(*Store.Indices == Expected);
  CHECK(*Store.Syncs < 100);
}

TEST_CASE("a batch of writes has the parts of all of them") {
  write_batch Batch(appendOf(1));
  auto Vote = writeOf(2);
  Vote.Hard = replication::hard_state{7, std::nullopt};
  auto Next = appendOf(3);
  REQUIRE(Batch.add(Vote));
  REQUIRE(Batch.add(Next));
  CHECK(Batch.write().Ticket == 3);
  REQUIRE(Batch.write().Hard);
  CHECK(Batch.write().Hard->Term == 7);
  REQUIRE(Batch.write().Append.size() == 2);
  CHECK(Batch.write().Append.back().Index == 3);
}

// Guards against a combination that would store the parts in another order: a
// truncation or a snapshot applies before the entries of its own write only.
TEST_CASE("a write with a truncation or a snapshot is executed alone") {
  auto Other = appendOf(2);
  if (GENERATE(false, true))
    Other.TruncateFrom = 2;
  else
    Other.Snapshot = replication::snapshot{1, 1, {}, "state"};
  auto Append = appendOf(3);
  write_batch After(Other);
  CHECK_FALSE(After.add(Append));
  CHECK(Append.Append.size() == 1);
  write_batch Before(appendOf(1));
  CHECK_FALSE(Before.add(Other));
  CHECK(Before.write().Ticket == 1);
}

TEST_CASE("a batch is bounded, but a single write may be larger") {
  write_batch Batch(appendOf(1, write_batch::MaxBytes / 2));
  auto Large = appendOf(2, write_batch::MaxBytes / 2);
  CHECK_FALSE(Batch.add(Large));
  CHECK(Large.Append.front().Payload.size() == write_batch::MaxBytes / 2);
  write_batch Oversized(appendOf(1, 2 * write_batch::MaxBytes));
  CHECK(Oversized.write().Append.size() == 1);
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
