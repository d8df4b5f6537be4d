#include "storage/log_store_impl.h"
#include "tests/storage/fake_files.h"
#include "tests/storage/store_model.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::storage;
using namespace lycheetrestle::storage::test;

namespace {

constexpr auto NoLimit = std::numeric_limits<std::uint64_t>::max();
constexpr int Refusals = 3; ///< Attempts before the disk has room again.

enum class refused_write { Append, Truncate, Segment, Snapshot, Compaction };

/// A store with some segments, and the write that the disk refuses.
class full_disk_run {
public:
  full_disk_run(refused_write Kind, std::uint64_t Seed)
      : Disk(std::make_shared<fake_disk>(Seed)) {
    Settings.SegmentBytes = 1000;
    Store.emplace(fake_files(Disk), Settings);
    must([&] { return Store->load(); });
    replication::storage_write First;
    First.Hard = replication::hard_state{1, std::nullopt};
    acknowledge(First);
    while (segments() < 3)
      append();
    // The next append starts a segment only for refused_write::Segment.
    if (Kind != refused_write::Segment)
      append();
    else
      while (segmentIsOpen())
        append();
    Write = makeWrite(Kind);
  }

  /// \returns the operations of the refused write on a disk with room, by
  /// running it on a copy of the files.
  std::vector<operation> operations() const {
    auto Copy = std::make_shared<fake_disk>(1);
    Copy->restore(Disk->contents());
    log_store<fake_files> Other(fake_files(Copy), Settings);
    must([&] { return Other.load(); });
    std::vector<operation> Result;
    Copy->Plan = [&](operation Operation, std::string_view) {
      Result.push_back(Operation);
      return fault::None;
    };
    mustSucceed([&] { return Other.execute(Write); });
    return Result;
  }

  /// Refuses the operation at the position, and in each further attempt the
  /// first one of its kind; then gives room again.
  void refuse(std::size_t Position, fault Fault) {
    std::size_t Count = 0;
    std::optional<operation> Refused;
    bool IsRefused = false;
    Disk->Plan = [&](operation Operation, std::string_view) {
      bool IsNext = Refused ? Operation == *Refused : Count == Position;
      ++Count;
      if (IsRefused || !IsNext)
        return fault::None;
      Refused = Operation;
      IsRefused = true;
      return Fault;
    };
    for (int Attempt = 0; Attempt != Refusals; ++Attempt) {
      IsRefused = false;
      execute();
    }
    Disk->Plan = {};
  }

  /// Refuses appends beyond some free bytes, and gives room again.
  void fill(std::uint64_t FreeBytes) {
    Disk->Capacity = Disk->usedBytes() + FreeBytes;
    for (int Attempt = 0; Attempt != Refusals; ++Attempt)
      execute();
    Disk->Capacity = NoLimit;
  }

  /// Checks that the same write, later writes and a reload succeed.
  void checkRecovered() {
    if (!IsStored)
      acknowledge(Write);
    CHECK(Disk->contents().count("temporary") == 0);
    for (int Count = 0; Count != 30; ++Count)
      append();
    log_store<fake_files> Reloaded(fake_files(Disk), Settings);
    CHECK(isSame(must([&] { return Reloaded.load(); }), State));
  }

  bool isStored() const { return IsStored; }
  bool hasTemporaryFile() const {
    return Disk->contents().count("temporary") != 0;
  }

private:
  void acknowledge(const replication::storage_write &Next) {
    mustSucceed([&] { return Store->execute(Next); });
    State = applyWrite(std::move(State), Next);
  }

  void append() { acknowledge(appendWrite(State, 1, 100)); }

  void execute() {
    if (IsStored || core::captureFailure([&] { return Store->execute(Write); }))
      return;
    IsStored = true;
    State = applyWrite(std::move(State), Write);
  }

  std::size_t segments() const {
    std::size_t Count = 0;
    for (const auto &[Name, Bytes] : Disk->contents())
      Count += Name.starts_with("segment-") ? 1 : 0;
    return Count;
  }

  bool segmentIsOpen() const {
    std::size_t Last = 0;
    for (const auto &[Name, Bytes] : Disk->contents())
      if (Name.starts_with("segment-"))
        Last = Bytes.size();
    return Last < Settings.SegmentBytes;
  }

  replication::storage_write makeWrite(refused_write Kind) const {
    auto LastIndex = State.Entries.back().Index;
    replication::storage_write Result = appendWrite(State, 2, 100);
    switch (Kind) {
    case refused_write::Append:
    case refused_write::Segment:
      break;
    case refused_write::Truncate:
      Result.Hard = replication::hard_state{2, std::nullopt};
      Result.TruncateFrom = LastIndex;
      Result.Append = {{LastIndex, 2, replication::entry_kind::Noop, ""}};
      break;
    case refused_write::Snapshot:
      // Beyond the log, as a follower receives it.
      Result.Snapshot = replication::snapshot{
          LastIndex + 10, 1, {{{{"a", 1}, true}}}, std::string(500, 's')};
      Result.Append.clear();
      break;
    case refused_write::Compaction:
      Result.Snapshot = replication::snapshot{
          LastIndex - 1, 1, {{{{"a", 1}, true}}}, std::string(500, 's')};
      break;
    }
    return Result;
  }

  std::shared_ptr<fake_disk> Disk;
  log_store_settings Settings;
  std::optional<log_store<fake_files>> Store;
  replication::persistent_state State; ///< Acknowledged.
  replication::storage_write Write;
  bool IsStored = false;
};

constexpr auto Kinds = {refused_write::Append, refused_write::Truncate,
                        refused_write::Segment, refused_write::Snapshot,
                        refused_write::Compaction};

} // namespace

// Guards against a store that stays failed, or refuses the same write for
// another reason, after the disk has room again.
TEST_CASE("a write that was refused at any operation succeeds when it is "
          "repeated") {
  for (auto Kind : Kinds)
    for (auto Fault : {fault::Fail, fault::FailPartly, fault::FailAfter}) {
      auto Operations = full_disk_run(Kind, 1).operations();
      REQUIRE(Operations.size() >= 2);
      for (std::size_t Position = 0; Position != Operations.size();
           ++Position) {
        INFO("write " << static_cast<int>(Kind) << ", operation " << Position
                      << " of kind " << static_cast<int>(Operations[Position])
                      << ", fault " << static_cast<int>(Fault));
        full_disk_run Run(Kind, Position + 1);
        Run.refuse(Position, Fault);
        // Obsolete files that cannot be removed do not fail a write.
        CHECK((!Run.isStored() || Operations[Position] == operation::Remove));
        Run.checkRecovered();
      }
    }
}

// Guards against an incomplete file that occupies the space which others could
// use, and against a part of a write that is counted as stored.
TEST_CASE("a write that did not fit succeeds when the disk has room, and holds "
          "no space until then") {
  for (auto Kind : Kinds)
    for (std::uint64_t FreeBytes = 0; FreeBytes < 1500; FreeBytes += 7) {
      INFO("write " << static_cast<int>(Kind) << ", free " << FreeBytes);
      full_disk_run Run(Kind, FreeBytes + 1);
      Run.fill(FreeBytes);
      CHECK(!Run.hasTemporaryFile());
      Run.checkRecovered();
    }
}
