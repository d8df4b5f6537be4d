#include "storage/log_store_impl.h"
#include "tests/storage/fake_files.h"
#include "tests/storage/store_model.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace lycheetrestle;
using namespace lycheetrestle::storage;
using namespace lycheetrestle::storage::test;

namespace {

using file_map = std::map<std::string, std::string>;
using load_outcome = core::outcome<replication::persistent_state>;

constexpr log_store_settings SmallSegments{300};

/// Files of a store with an identity, a snapshot and three segments.
struct written_store {
  written_store() {
    auto Disk = std::make_shared<fake_disk>(1);
    log_store<fake_files> Store(fake_files(Disk), SmallSegments);
    mustSucceed([&] {
      return Store.writeIdentity({"cluster", {"control-1", 7}, {}});
    });
    must([&] { return Store.load(); });
    replication::storage_write First = appendWrite(State, 1, 40);
    First.Snapshot =
        replication::snapshot{3, 1, {{{{"control-1", 7}, true}}}, "state"};
    First.Append[0].Index = 4;
    execute(Store, First);
    for (int I = 0; I < 11; ++I) {
      BeforeLast = State;
      execute(Store, appendWrite(State, 2, 20));
    }
    Files = Disk->contents();
    for (const auto &[Name, Bytes] : Files)
      if (parseNumber("segment-", Name))
        LastSegment = Name;
    const auto &Bytes = Files[LastSegment];
    auto Number = *parseNumber("segment-", LastSegment);
    std::uint64_t Offset = 0;
    int Records = 0;
    while (auto Record = readRecord(Bytes, Number, Offset)) {
      LastRecord = Offset;
      Offset += Record->Size;
      ++Records;
    }
    // The tests damage records of the last segment that are not its last.
    REQUIRE(Records >= 4);
  }

  void execute(log_store<fake_files> &Store,
               const replication::storage_write &Write) {
    mustSucceed([&] { return Store.execute(Write); });
    State = applyWrite(State, Write);
  }

  replication::persistent_state State;
  replication::persistent_state BeforeLast; ///< Without the last write.
  file_map Files;
  std::string LastSegment;
  std::uint64_t LastRecord = 0; ///< Its offset in the last segment.
};

load_outcome loadFrom(const file_map &Files) {
  auto Disk = std::make_shared<fake_disk>(1);
  Disk->restore(Files);
  return core::capture([&]() -> core::result<replication::persistent_state> {
    log_store<fake_files> Store(fake_files(Disk), SmallSegments);
    BOOST_LEAF_AUTO(Identity, Store.readIdentity());
    if (!Identity)
      return core::failInput("identity", "", "must exist");
    return Store.load();
  });
}

void requireCorrupt(const load_outcome &Outcome, const std::string &File,
                    std::uint64_t MaxOffset) {
  const auto *Failure = std::get_if<core::failure>(&Outcome);
  REQUIRE(Failure != nullptr);
  INFO(Failure->Message);
  REQUIRE(Failure->Code == core::error_code::Corrupt);
  REQUIRE(Failure->Field == File);
  REQUIRE(Failure->Message.find(File) != std::string::npos);
  REQUIRE(std::stoull(Failure->Value) <= MaxOffset);
}

} // namespace

// Guards against truncating acknowledged writes as if they were a torn tail,
// and against using damaged bytes. Only the last record of the last segment can
// be a torn write.
TEST_CASE("a flipped bit is reported with file and offset") {
  written_store Written;
  REQUIRE(std::holds_alternative<replication::persistent_state>(
      loadFrom(Written.Files)));
  for (const auto &[Name, Bytes] : Written.Files)
    for (std::size_t At = 0; At < Bytes.size(); ++At) {
      INFO(Name << " byte " << At);
      auto Files = Written.Files;
      Files[Name][At] ^= static_cast<char>(1 << At % 8);
      auto Outcome = loadFrom(Files);
      if (Name == Written.LastSegment && At >= Written.LastRecord)
        REQUIRE(isSame(std::get<0>(Outcome), Written.BeforeLast));
      else
        requireCorrupt(Outcome, Name, At);
    }
}

// Guards against a store that starts with a part of its log missing.
TEST_CASE("a missing or shortened file is reported") {
  written_store Written;
  for (const auto &[Name, Bytes] : Written.Files) {
    INFO(Name);
    // The loss of the newest segment cannot be distinguished from a store that
    // never had it.
    if (Name == Written.LastSegment)
      continue;
    auto Files = Written.Files;
    Files.erase(Name);
    auto Outcome = loadFrom(Files);
    const auto *Failure = std::get_if<core::failure>(&Outcome);
    REQUIRE(Failure != nullptr);
    REQUIRE(Failure->Code == core::error_code::Corrupt);
    Files[Name] = Bytes.substr(0, Bytes.size() - 1);
    requireCorrupt(loadFrom(Files), Name, Bytes.size());
  }
}

// Guards against a payload that looks like a record and makes a torn tail look
// like damage, which would stop the replica.
TEST_CASE("a record inside a torn payload is not mistaken for a record") {
  written_store Written;
  auto &Last = Written.Files[Written.LastSegment];
  auto Number = *parseNumber("segment-", Written.LastSegment);
  auto Write = appendWrite(Written.State, 1, 0);
  Write.Append[0].Payload = Last;
  auto Record =
      frameRecord(record_type::Write, Number, Last.size(), encodeChange(Write));
  Last += Record.substr(0, Record.size() - 1);
  CHECK(isSame(std::get<0>(loadFrom(Written.Files)), Written.State));
}

// Guards against a full disk that stops a replica permanently: the write fails
// with Overloaded, the store loads, and the same write succeeds once there is
// free space.
TEST_CASE("a store on a full disk loads, refuses writes and recovers") {
  auto Disk = std::make_shared<fake_disk>(1);
  std::optional<log_store<fake_files>> Store(std::in_place, fake_files(Disk));
  must([&] { return Store->load(); });
  replication::persistent_state State;
  auto Write = appendWrite(State, 3, 50);
  mustSucceed([&] { return Store->execute(Write); });
  State = applyWrite(State, Write);
  Write = appendWrite(State, 3, 50);
  Disk->Capacity = Disk->usedBytes() + 10;
  for (int I = 0; I < 3; ++I) {
    auto Failure = core::captureFailure([&] { return Store->execute(Write); });
    REQUIRE(Failure);
    CHECK(Failure->Code == core::error_code::Overloaded);
    Store.emplace(fake_files(Disk));
    CHECK(isSame(must([&] { return Store->load(); }), State));
  }
  Disk->Capacity = std::numeric_limits<std::uint64_t>::max();
  mustSucceed([&] { return Store->execute(Write); });
  Store.emplace(fake_files(Disk));
  CHECK(isSame(must([&] { return Store->load(); }), applyWrite(State, Write)));
}

// Guards against a gap or an overlap in the stored log caused by a faulty
// caller.
TEST_CASE("writes that are not contiguous with the log are refused") {
  auto Disk = std::make_shared<fake_disk>(1);
  log_store<fake_files> Store{fake_files(Disk)};
  auto CodeOf = [&](const replication::storage_write &Write) {
    auto Failure = core::captureFailure([&] { return Store.execute(Write); });
    return Failure ? Failure->Code : core::error_code::NotFound;
  };
  replication::persistent_state State;
  auto Write = appendWrite(State, 2, 1);
  CHECK(CodeOf(Write) == core::error_code::BadInput); // Not loaded yet.
  must([&] { return Store.load(); });
  mustSucceed([&] { return Store.execute(Write); });
  CHECK(CodeOf(Write) == core::error_code::BadInput);
  Write.Append = {{4, 1, replication::entry_kind::Noop, ""}};
  CHECK(CodeOf(Write) == core::error_code::BadInput);
  Write = {};
  Write.Snapshot = replication::snapshot{2, 1, {}, ""};
  Write.TruncateFrom = 2;
  CHECK(CodeOf(Write) == core::error_code::BadInput);
}

// Guards against unbounded disk use and against a wrong size in the status.
TEST_CASE("covered segments and snapshots are removed") {
  auto Disk = std::make_shared<fake_disk>(1);
  log_store<fake_files> Store(fake_files(Disk), SmallSegments);
  must([&] { return Store.load(); });
  replication::persistent_state State;
  for (int I = 0; I < 100; ++I) {
    auto Write = appendWrite(State, 2, 20);
    if (I % 10 == 9)
      Write.Snapshot = replication::snapshot{
          State.Entries.back().Index, 1, {}, std::string(50, 's')};
    mustSucceed([&] { return Store.execute(Write); });
    State = applyWrite(State, Write);
  }
  CHECK(Disk->usedBytes() < 2000);
  CHECK(Store.sizeBytes() == Disk->usedBytes());
}
