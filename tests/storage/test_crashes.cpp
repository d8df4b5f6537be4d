#include "storage/log_store_impl.h"
#include "tests/storage/fake_files.h"
#include "tests/storage/store_model.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace lycheetrestle;
using namespace lycheetrestle::storage;
using namespace lycheetrestle::storage::test;

namespace {

std::uint64_t fromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? Default : std::strtoull(Value, nullptr, 10);
}

std::string describe(const replication::persistent_state &State) {
  std::string Text = "term " + std::to_string(State.Hard.Term);
  if (State.Snapshot)
    Text += " snapshot " + std::to_string(State.Snapshot->LastIndex);
  if (!State.Entries.empty())
    Text += " entries " + std::to_string(State.Entries.front().Index) + " to " +
            std::to_string(State.Entries.back().Index);
  return Text;
}

constexpr auto NoLimit = std::numeric_limits<std::uint64_t>::max();

/// A store on a disk with faults, and the states it may have after a crash.
class crash_run {
public:
  explicit crash_run(std::uint64_t Seed)
      : Random(Seed), Disk(std::make_shared<fake_disk>(Random())),
        FullDisk(Seed % 4 == 0) {
    Disk->Plan = [this](operation Operation, std::string_view) {
      return plan(Operation);
    };
    // Small segments, so that many steps start a new segment.
    Settings.SegmentBytes = 200 + Random() % 2000;
  }

  void run(int Steps) {
    open();
    for (int Step = 0; Step < Steps; ++Step) {
      if (Random() % 3 == 0)
        OperationsToFault = 1 + Random() % 12;
      if (FullDisk)
        Disk->Capacity =
            Random() % 3 == 0 ? Disk->usedBytes() + Random() % 200 : NoLimit;
      // A failed write is usually repeated; after a crash a new one is drawn.
      if (!Pending || Random() % 5 == 0)
        Pending = randomWrite(Acknowledged, Random);
      bool Crashed = execute();
      if (Crashed || Random() % 10 == 0)
        reopen();
    }
    reopen();
  }

private:
  fault plan(operation Operation) {
    if (OperationsToFault == 0 || --OperationsToFault != 0)
      return fault::None;
    auto Fault = static_cast<fault>(1 + Random() % (FaultCount - 1));
    // A failed sync followed by a kill and a full disk loses that write, as
    // log_store documents, so full-disk runs have no failing sync.
    if (FullDisk && Operation == operation::Sync && Fault < fault::CrashBefore)
      return fault::None;
    ++Faults;
    return Fault;
  }

  bool execute() {
    auto After = applyWrite(Acknowledged, *Pending);
    auto FaultsBefore = Faults;
    auto Failure =
        core::captureFailure([&] { return Store->execute(*Pending); });
    bool Crashed = Disk->takeCrash();
    // A crash while obsolete files are removed does not fail the write.
    if (Failure) {
      // A write fails only because of a fault or a full disk.
      INFO(Failure->Message);
      REQUIRE((Faults != FaultsBefore || Disk->Capacity != NoLimit));
      Possible.push_back(std::move(After));
      return Crashed;
    }
    Acknowledged = std::move(After);
    // An empty write touches no file, so an earlier failed write may still
    // appear.
    if (Pending->Hard || Pending->Snapshot || Pending->TruncateFrom ||
        !Pending->Append.empty())
      Possible.clear();
    Pending.reset();
    return Crashed;
  }

  void reopen() {
    Store.reset();
    Pending.reset();
    if (Random() % 3 != 0)
      Disk->cutPower();
    open();
  }

  /// Opens the store, repeatedly while faults make it fail.
  void open() {
    for (int Attempt = 0; Attempt < 20; ++Attempt) {
      OperationsToFault =
          Attempt < 10 && Random() % 3 == 0 ? 1 + Random() % 8 : 0;
      Store.emplace(fake_files(Disk), Settings);
      bool IsOpen = tryOpen();
      if (Disk->takeCrash()) {
        if (Random() % 2 == 0)
          Disk->cutPower();
        continue;
      }
      if (IsOpen)
        return;
    }
    FAIL("the store does not open without faults");
  }

  bool tryOpen() {
    folder_identity Identity{"cluster", {"control-1", 7}, {}};
    bool IsNew = false;
    replication::persistent_state Found;
    auto Failure = core::captureFailure([&]() -> core::result<void> {
      BOOST_LEAF_AUTO(Known, Store->readIdentity());
      IsNew = !Known;
      if (IsNew)
        BOOST_LEAF_CHECK(Store->writeIdentity(Identity));
      BOOST_LEAF_ASSIGN(Found, Store->load());
      return {};
    });
    if (Failure) {
      INFO(Failure->Message);
      REQUIRE(Failure->Code != core::error_code::Corrupt);
      REQUIRE(Failure->Code != core::error_code::Conflict);
      return false;
    }
    // An identity that was once synced is never missing again.
    REQUIRE(!(IsNew && HasIdentity));
    HasIdentity = true;
    bool IsExpected = isSame(Found, Acknowledged);
    for (const auto &State : Possible)
      IsExpected = IsExpected || isSame(Found, State);
    if (!IsExpected)
      FAIL("found " << describe(Found) << ", acknowledged "
                    << describe(Acknowledged)
                    << ", others possible: " << Possible.size());
    // The loaded state is durable from here on.
    Acknowledged = std::move(Found);
    Possible.clear();
    return true;
  }

  std::mt19937_64 Random;
  std::shared_ptr<fake_disk> Disk;
  bool FullDisk;
  log_store_settings Settings;
  std::optional<log_store<fake_files>> Store;
  replication::persistent_state Acknowledged;
  std::vector<replication::persistent_state> Possible; ///< Not acknowledged.
  std::optional<replication::storage_write> Pending;
  std::uint64_t OperationsToFault = 0;
  std::uint64_t Faults = 0;
  bool HasIdentity = false;
};

} // namespace

// Guards against loss of an acknowledged write, a partial write, a changed
// order and a crash that is reported as corruption. LT_FIRST_SEED and LT_SEEDS
// choose the seeds.
TEST_CASE("a crash at any point keeps acknowledged writes intact") {
  auto First = fromEnvironment("LT_FIRST_SEED", 1);
  auto Count = fromEnvironment("LT_SEEDS", 300);
  for (auto Seed = First; Seed < First + Count; ++Seed) {
    INFO("LT_FIRST_SEED=" << Seed << " LT_SEEDS=1");
    crash_run(Seed).run(60);
  }
}
