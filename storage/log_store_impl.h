#ifndef LYCHEETRESTLE_STORAGE_LOG_STORE_IMPL_H
#define LYCHEETRESTLE_STORAGE_LOG_STORE_IMPL_H

#include "core/event_log.h"
#include "storage/log_replay.h"
#include "storage/log_store.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <utility>

// Definitions of log_store. Included only by log_store.cpp and by tests, which
// use a fake file system.
namespace lycheetrestle::storage {

template <file_system Files> class log_store<Files>::implementation {
public:
  implementation(Files Folder, log_store_settings Settings)
      : Folder(std::move(Folder)), Settings(Settings) {}

  core::result<std::optional<folder_identity>> readIdentity() {
    BOOST_LEAF_AUTO(Names, Folder.list());
    if (std::find(Names.begin(), Names.end(), IdentityName) == Names.end()) {
      for (const auto &Name : Names)
        if (isStoreFile(Name))
          return failCorrupt(IdentityName, 0,
                             "the identity is missing although " + Name +
                                 " exists");
      return std::optional<folder_identity>();
    }
    BOOST_LEAF_AUTO(Bytes, Folder.read(IdentityName));
    auto Record = readRecord(Bytes, 0, 0);
    if (!Record || Record->Type != record_type::Identity ||
        Record->Size != Bytes.size())
      return failCorrupt(IdentityName, 0, "the identity is damaged");
    auto Identity = decodeIdentity(Record->Payload);
    if (!Identity)
      return failCorrupt(IdentityName, 0, "the identity cannot be decoded");
    // The process that wrote it may have crashed before it synced the name.
    BOOST_LEAF_CHECK(Folder.syncFolder());
    Sizes[IdentityName] = Bytes.size();
    return Identity;
  }

  core::result<void> writeIdentity(const folder_identity &Identity) {
    auto Bytes =
        frameRecord(record_type::Identity, 0, 0, encodeIdentity(Identity));
    BOOST_LEAF_AUTO(Names, Folder.list());
    for (const auto &Name : Names) {
      // The same identity exists when only the sync of the folder failed.
      if (Name == IdentityName) {
        BOOST_LEAF_AUTO(Existing, Folder.read(IdentityName));
        if (Existing == Bytes)
          continue;
      } else if (!isStoreFile(Name)) {
        continue;
      }
      return core::fail({core::error_code::Conflict,
                         "the data folder already holds " + Name, "folder",
                         Name, core::verdict::NotRun});
    }
    return replaceFile(IdentityName, Bytes);
  }

  core::result<replication::persistent_state> load() {
    Position = {};
    Segments.clear();
    Loaded = NeedsTruncation = NeedsSegment = false;
    std::erase_if(Sizes,
                  [](const auto &File) { return File.first != IdentityName; });
    BOOST_LEAF_AUTO(Names, Folder.list());
    BOOST_LEAF_AUTO(Found, readSegments(Names));
    replication::persistent_state State;
    State.Hard = Position.Hard;
    State.Entries = std::move(Found);
    if (Position.Snapshot.LastIndex != 0) {
      BOOST_LEAF_AUTO(Snapshot, readSnapshot(Names));
      State.Snapshot = std::move(Snapshot);
    }
    Loaded = true;
    removeUnusedFiles(Names);
    return State;
  }

  core::result<void> execute(const replication::storage_write &Write) {
    if (!Loaded)
      return core::failInput("log_store", "", "must be loaded before a write");
    if (!Write.Hard && !Write.Snapshot && !Write.TruncateFrom &&
        Write.Append.empty())
      return {};
    BOOST_LEAF_CHECK(Position.check(Write));
    BOOST_LEAF_CHECK(prepareSegment());
    bool NewSnapshot = Write.Snapshot &&
                       Write.Snapshot->LastIndex > Position.Snapshot.LastIndex;
    if (NewSnapshot)
      BOOST_LEAF_CHECK(
          replaceFile(snapshotName(Write.Snapshot->LastIndex),
                      frameRecord(record_type::Snapshot, 0, 0,
                                  encodeSnapshot(*Write.Snapshot))));
    BOOST_LEAF_CHECK(appendRecord(encodeChange(Write)));
    Position.apply(Write);
    if (NewSnapshot)
      removeObsolete();
    return {};
  }

  std::uint64_t sizeBytes() const {
    return std::accumulate(
        Sizes.begin(), Sizes.end(), std::uint64_t(0),
        [](std::uint64_t Sum, const auto &File) { return Sum + File.second; });
  }

private:
  static constexpr const char *IdentityName = "identity";
  static constexpr const char *TemporaryName = "temporary";

  static bool isStoreFile(const std::string &Name) {
    return Name == IdentityName || parseNumber("segment-", Name) ||
           parseNumber("snapshot-", Name);
  }

  /// Replays the segments and makes the replayed state durable.
  core::result<std::vector<replication::log_entry>>
  readSegments(const std::vector<std::string> &Names) {
    auto Numbers = currentSegments(Names);
    if (Numbers.empty()) {
      for (const auto &Name : Names)
        if (parseNumber("snapshot-", Name))
          return failCorrupt(Name, 0, "a snapshot exists without a segment");
      return std::vector<replication::log_entry>();
    }
    log_replay Replay;
    BOOST_LEAF_AUTO(Bytes, Folder.read(segmentName(Numbers.front())));
    for (auto Number : Numbers) {
      if (Number == Numbers.back()) {
        BOOST_LEAF_CHECK(Replay.addSegment(Number, Bytes, std::nullopt));
        break;
      }
      BOOST_LEAF_AUTO(Next, Folder.read(segmentName(Number + 1)));
      BOOST_LEAF_CHECK(Replay.addSegment(Number, Bytes, Next));
      Bytes = std::move(Next);
    }
    BOOST_LEAF_CHECK(Replay.finish());
    Position = Replay.position();
    Segments = Replay.segments();
    for (const auto &Segment : Segments)
      Sizes[segmentName(Segment.Number)] = Segment.Size;
    BOOST_LEAF_CHECK(rewriteLastSegment(Bytes));
    return Replay.takeEntries();
  }

  /// Rewrites the last segment. A write whose sync failed before this process
  /// started may be readable from the page cache although it never reached the
  /// disk, and a later sync of the same file does not report that.
  core::result<void> rewriteLastSegment(std::string_view Bytes) {
    auto &Last = Segments.back();
    auto Name = segmentName(Last.Number);
    if (Last.Size < Bytes.size())
      core::logEvent(core::log_level::Warning, "log_tail_truncated",
                     {{"file", Name},
                      {"offset", Last.Size},
                      {"bytes", Bytes.size() - Last.Size}});
    auto Failure = core::captureFailure(
        [&] { return replaceFile(Name, Bytes.substr(0, Last.Size)); });
    if (!Failure)
      return {};
    if (Failure->Code != core::error_code::Overloaded)
      return core::fail(std::move(*Failure));
    // The disk is too full for a second copy, but the replica must still start.
    // This syncs everything except a write whose sync failed just before the
    // process was killed.
    BOOST_LEAF_CHECK(Folder.truncate(Name, Last.Size));
    BOOST_LEAF_CHECK(Folder.sync(Name));
    return Folder.syncFolder();
  }

  /// \returns the numbers of the last contiguous segments. Older ones remain
  /// when a crash interrupts a removal.
  static std::vector<std::uint64_t>
  currentSegments(const std::vector<std::string> &Names) {
    std::vector<std::uint64_t> Numbers;
    for (const auto &Name : Names)
      if (auto Number = parseNumber("segment-", Name))
        Numbers.push_back(*Number);
    std::sort(Numbers.begin(), Numbers.end());
    for (auto At = Numbers.size(); At > 1; --At)
      if (Numbers[At - 2] + 1 != Numbers[At - 1]) {
        Numbers.erase(Numbers.begin(), Numbers.begin() + (At - 1));
        break;
      }
    return Numbers;
  }

  core::result<replication::snapshot>
  readSnapshot(const std::vector<std::string> &Names) {
    auto Name = snapshotName(Position.Snapshot.LastIndex);
    if (std::find(Names.begin(), Names.end(), Name) == Names.end())
      return failCorrupt(Name, 0, "the snapshot is missing");
    BOOST_LEAF_AUTO(Bytes, Folder.read(Name));
    auto Record = readRecord(Bytes, 0, 0);
    if (!Record || Record->Type != record_type::Snapshot ||
        Record->Size != Bytes.size())
      return failCorrupt(Name, 0, "the snapshot is damaged");
    auto Snapshot = decodeSnapshot(Record->Payload);
    if (!Snapshot || Snapshot->LastIndex != Position.Snapshot.LastIndex ||
        Snapshot->LastTerm != Position.Snapshot.LastTerm)
      return failCorrupt(Name, 0,
                         "the snapshot has another index or term than the "
                         "log refers to");
    Sizes[Name] = Bytes.size();
    return std::move(*Snapshot);
  }

  /// Prepares the active segment for the next record.
  core::result<void> prepareSegment() {
    if (Segments.empty() || NeedsSegment ||
        Segments.back().Size >= Settings.SegmentBytes)
      return startSegment();
    if (!NeedsTruncation)
      return {};
    const auto &Active = Segments.back();
    BOOST_LEAF_CHECK(Folder.truncate(segmentName(Active.Number), Active.Size));
    NeedsTruncation = false;
    return {};
  }

  core::result<void> startSegment() {
    segment_header Header;
    std::uint64_t Number = 1;
    if (!Segments.empty()) {
      Number = Segments.back().Number + 1;
      Header.PreviousSize = Segments.back().Size;
    }
    Header.Hard = Position.Hard;
    Header.Snapshot = Position.Snapshot;
    Header.LastIndex = Position.LastIndex;
    auto Bytes = frameRecord(record_type::SegmentHeader, Number, 0,
                             encodeHeader(Header));
    BOOST_LEAF_CHECK(replaceFile(segmentName(Number), Bytes));
    Segments.push_back({Number, Bytes.size(), Position.LastIndex});
    NeedsSegment = NeedsTruncation = false;
    return {};
  }

  core::result<void> appendRecord(std::string_view Payload) {
    auto &Active = Segments.back();
    auto Name = segmentName(Active.Number);
    auto Record =
        frameRecord(record_type::Write, Active.Number, Active.Size, Payload);
    if (auto Appended = Folder.append(Name, Record); !Appended) {
      NeedsTruncation = true;
      return Appended.error();
    }
    // After a failed sync the kernel may drop the pages and report success for
    // the next sync, so nothing more is appended to this segment.
    if (auto Synced = Folder.sync(Name); !Synced) {
      NeedsSegment = true;
      return Synced.error();
    }
    Active.Size += Record.size();
    Sizes[Name] = Active.Size;
    return {};
  }

  /// Replaces a file atomically: after a failure or crash the name refers
  /// either to all of the new bytes or to the previous file.
  core::result<void> replaceFile(const std::string &Name,
                                 std::string_view Bytes) {
    auto Failure =
        core::captureFailure([&] { return writeAndRename(Name, Bytes); });
    if (Failure) {
      // Until the write is repeated, an incomplete file would take up space
      // that other files of a full disk need.
      discardTemporary();
      return core::fail(std::move(*Failure));
    }
    Sizes[Name] = Bytes.size();
    return {};
  }

  core::result<void> writeAndRename(const std::string &Name,
                                    std::string_view Bytes) {
    BOOST_LEAF_CHECK(Folder.remove(TemporaryName));
    BOOST_LEAF_CHECK(Folder.append(TemporaryName, Bytes));
    BOOST_LEAF_CHECK(Folder.sync(TemporaryName));
    BOOST_LEAF_CHECK(Folder.rename(TemporaryName, Name));
    return Folder.syncFolder();
  }

  void discardTemporary() {
    // A failure only delays the removal until the next replaceFile().
    core::captureFailure([&] { return Folder.remove(TemporaryName); });
  }

  /// Removes the segments and snapshots that the current snapshot replaces,
  /// oldest first. The removals need no sync: load() removes files that remain.
  void removeObsolete() {
    while (Segments.size() > 1 &&
           Segments[1].LastIndex <= Position.Snapshot.LastIndex) {
      if (!removeFile(segmentName(Segments.front().Number)))
        return;
      Segments.erase(Segments.begin());
    }
    std::vector<std::string> Old;
    for (const auto &[Name, Size] : Sizes)
      if (parseNumber("snapshot-", Name) &&
          Name != snapshotName(Position.Snapshot.LastIndex))
        Old.push_back(Name);
    for (const auto &Name : Old)
      removeFile(Name);
  }

  void removeUnusedFiles(const std::vector<std::string> &Names) {
    for (const auto &Name : Names) {
      auto Segment = parseNumber("segment-", Name);
      auto Snapshot = parseNumber("snapshot-", Name);
      if (Name == TemporaryName ||
          (Segment && *Segment < Segments.front().Number) ||
          (Snapshot && *Snapshot != Position.Snapshot.LastIndex))
        removeFile(Name);
    }
    removeObsolete();
  }

  bool removeFile(const std::string &Name) {
    auto Failure = core::captureFailure([&] { return Folder.remove(Name); });
    if (Failure) {
      core::logEvent(core::log_level::Warning, "file_not_removed",
                     {{"file", Name}, {"reason", Failure->Message}});
      return false;
    }
    Sizes.erase(Name);
    return true;
  }

  Files Folder;
  log_store_settings Settings;
  log_position Position;              ///< Covers acknowledged writes only.
  std::vector<segment_info> Segments; ///< The last one is active.
  std::map<std::string, std::uint64_t> Sizes;
  bool Loaded = false;
  bool NeedsTruncation = false; ///< A failed append may have written a part.
  bool NeedsSegment = false;    ///< A sync of the active segment failed.
};

template <file_system Files>
log_store<Files>::log_store(Files Folder, log_store_settings Settings)
    : Impl(std::make_shared<implementation>(std::move(Folder), Settings)) {}

template <file_system Files>
core::result<std::optional<folder_identity>> log_store<Files>::readIdentity() {
  return Impl->readIdentity();
}

template <file_system Files>
core::result<void>
log_store<Files>::writeIdentity(const folder_identity &Identity) {
  return Impl->writeIdentity(Identity);
}

template <file_system Files>
core::result<replication::persistent_state> log_store<Files>::load() {
  return Impl->load();
}

template <file_system Files>
core::result<void>
log_store<Files>::execute(const replication::storage_write &Write) {
  return Impl->execute(Write);
}

template <file_system Files> std::uint64_t log_store<Files>::sizeBytes() const {
  return Impl->sizeBytes();
}

} // namespace lycheetrestle::storage

#endif
