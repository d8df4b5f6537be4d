#include "storage/log_replay.h"

#include <boost/lexical_cast/try_lexical_convert.hpp>

#include <algorithm>

namespace lycheetrestle::storage {

namespace {

constexpr std::size_t NumberDigits = 20;

std::string numberedName(std::string_view Prefix, std::uint64_t Number) {
  auto Digits = std::to_string(Number);
  return std::string(Prefix) + std::string(NumberDigits - Digits.size(), '0') +
         Digits;
}

/// Reads the header of a segment. It is synced before the segment is renamed
/// into place, so a damaged header is never a torn write.
core::result<segment_header> readHeader(std::string_view File,
                                        std::uint64_t Number,
                                        std::string_view Bytes,
                                        std::uint64_t &Size) {
  auto Record = readRecord(Bytes, Number, 0);
  if (!Record || Record->Type != record_type::SegmentHeader)
    return failCorrupt(File, 0, "the segment header is damaged");
  auto Header = decodeHeader(Record->Payload);
  if (!Header)
    return failCorrupt(File, 0, "the segment header cannot be decoded");
  Size = Record->Size;
  return *Header;
}

} // namespace

core::result<void>
log_position::check(const replication::storage_write &Write) const {
  auto After = *this;
  if (Write.Snapshot && Write.Snapshot->LastIndex > After.Snapshot.LastIndex) {
    After.Snapshot.LastIndex = Write.Snapshot->LastIndex;
    After.LastIndex = std::max(After.LastIndex, Write.Snapshot->LastIndex);
  }
  if (Write.TruncateFrom) {
    if (*Write.TruncateFrom <= After.Snapshot.LastIndex)
      return core::failInput("TruncateFrom",
                             std::to_string(*Write.TruncateFrom),
                             "must be after the snapshot");
    After.LastIndex = std::min(After.LastIndex, *Write.TruncateFrom - 1);
  }
  for (const auto &Entry : Write.Append)
    if (Entry.Index != ++After.LastIndex)
      return core::failInput("Append", std::to_string(Entry.Index),
                             "must be index " +
                                 std::to_string(After.LastIndex));
  return {};
}

void log_position::apply(const replication::storage_write &Write) {
  if (Write.Hard)
    Hard = *Write.Hard;
  if (Write.Snapshot && Write.Snapshot->LastIndex > Snapshot.LastIndex) {
    Snapshot = {Write.Snapshot->LastIndex, Write.Snapshot->LastTerm};
    LastIndex = std::max(LastIndex, Snapshot.LastIndex);
  }
  if (Write.TruncateFrom)
    LastIndex = std::min(LastIndex, *Write.TruncateFrom - 1);
  if (!Write.Append.empty())
    LastIndex = Write.Append.back().Index;
}

std::string segmentName(std::uint64_t Number) {
  return numberedName("segment-", Number);
}

std::string snapshotName(std::uint64_t LastIndex) {
  return numberedName("snapshot-", LastIndex);
}

std::optional<std::uint64_t> parseNumber(std::string_view Prefix,
                                         std::string_view Name) {
  if (Name.size() != Prefix.size() + NumberDigits ||
      Name.substr(0, Prefix.size()) != Prefix)
    return std::nullopt;
  Name.remove_prefix(Prefix.size());
  std::uint64_t Number = 0;
  if (Name.find_first_not_of("0123456789") != std::string_view::npos ||
      !boost::conversion::try_lexical_convert(Name.data(), Name.size(), Number))
    return std::nullopt;
  return Number;
}

boost::leaf::error_id failCorrupt(std::string_view File, std::uint64_t Offset,
                                  std::string_view What) {
  return core::fail({core::error_code::Corrupt,
                     "file " + std::string(File) + " at offset " +
                         std::to_string(Offset) + ": " + std::string(What),
                     std::string(File), std::to_string(Offset),
                     core::verdict::NotRun});
}

core::result<void>
log_replay::addSegment(std::uint64_t Number, std::string_view Bytes,
                       std::optional<std::string_view> NextSegment) {
  auto File = segmentName(Number);
  std::uint64_t Offset = 0;
  BOOST_LEAF_AUTO(Header, readHeader(File, Number, Bytes, Offset));
  std::optional<std::uint64_t> Limit;
  if (NextSegment) {
    std::uint64_t Unused = 0;
    BOOST_LEAF_AUTO(Next, readHeader(segmentName(Number + 1), Number + 1,
                                     *NextSegment, Unused));
    Limit = Next.PreviousSize;
    if (Bytes.size() < *Limit)
      return failCorrupt(File, Bytes.size(),
                         "the segment is shorter than the " +
                             std::to_string(*Limit) +
                             " bytes that the next segment header gives");
    Bytes = Bytes.substr(0, *Limit);
  }
  BOOST_LEAF_CHECK(start(Number, Header));
  while (Offset < Bytes.size()) {
    auto Record = readRecord(Bytes, Number, Offset);
    if (!Record) {
      if (Limit)
        return failCorrupt(File, Offset, "a record is damaged");
      if (auto Later = findRecord(Bytes, Number, Offset + 1))
        return failCorrupt(File, Offset,
                           "a record is damaged and a valid one follows at " +
                               std::to_string(*Later));
      break;
    }
    auto Change = Record->Type == record_type::Write
                      ? decodeChange(Record->Payload)
                      : std::nullopt;
    if (!Change)
      return failCorrupt(File, Offset, "a record cannot be decoded");
    BOOST_LEAF_CHECK(applyChange(File, Offset, std::move(*Change)));
    Offset += Record->Size;
  }
  Segments.push_back({Number, Offset, Header.LastIndex});
  return {};
}

core::result<void> log_replay::start(std::uint64_t Number,
                                     const segment_header &Header) {
  if (Segments.empty()) {
    Position = {Header.Hard, Header.Snapshot, Header.LastIndex};
    return {};
  }
  if (Position.Hard != Header.Hard || Position.Snapshot != Header.Snapshot ||
      Position.LastIndex != Header.LastIndex)
    return failCorrupt(segmentName(Number), 0,
                       "the segment header differs from the state after "
                       "the previous segment");
  return {};
}

core::result<void> log_replay::applyChange(std::string_view File,
                                           std::uint64_t Offset,
                                           log_change Change) {
  if (Change.Hard)
    Position.Hard = std::move(*Change.Hard);
  if (Change.Snapshot &&
      Change.Snapshot->LastIndex > Position.Snapshot.LastIndex) {
    Position.Snapshot = *Change.Snapshot;
    discardThrough(Position.Snapshot.LastIndex);
  }
  if (Change.TruncateFrom)
    discardFrom(*Change.TruncateFrom);
  for (auto &Entry : Change.Append) {
    if (Entry.Index != Position.LastIndex + 1)
      return failCorrupt(File, Offset,
                         "entry " + std::to_string(Entry.Index) +
                             " does not follow entry " +
                             std::to_string(Position.LastIndex));
    ++Position.LastIndex;
    Entries.push_back(std::move(Entry));
  }
  return {};
}

core::result<void> log_replay::finish() {
  if (Segments.empty())
    return {};
  auto FirstIndex = Position.LastIndex + 1 - Entries.size();
  if (FirstIndex > Position.Snapshot.LastIndex + 1)
    return failCorrupt(segmentName(Segments.front().Number), 0,
                       "entries " +
                           std::to_string(Position.Snapshot.LastIndex + 1) +
                           " to " + std::to_string(FirstIndex - 1) +
                           " are missing before this segment");
  discardThrough(Position.Snapshot.LastIndex);
  return {};
}

std::vector<replication::log_entry> log_replay::takeEntries() {
  return std::move(Entries);
}

void log_replay::discardThrough(std::uint64_t Index) {
  auto FirstKept = std::partition_point(
      Entries.begin(), Entries.end(),
      [&](const auto &Entry) { return Entry.Index <= Index; });
  Entries.erase(Entries.begin(), FirstKept);
  Position.LastIndex = std::max(Position.LastIndex, Index);
}

void log_replay::discardFrom(std::uint64_t Index) {
  auto FirstDiscarded = std::partition_point(
      Entries.begin(), Entries.end(),
      [&](const auto &Entry) { return Entry.Index < Index; });
  Entries.erase(FirstDiscarded, Entries.end());
  Position.LastIndex = std::min(Position.LastIndex, Index - 1);
}

} // namespace lycheetrestle::storage
