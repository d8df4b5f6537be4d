#ifndef LYCHEETRESTLE_STORAGE_RECORD_CODEC_H
#define LYCHEETRESTLE_STORAGE_RECORD_CODEC_H

#include "replication/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::storage {

struct folder_identity;

/// Stored in the frame of each record.
enum class record_type : std::uint8_t {
  SegmentHeader = 1,
  Write = 2,
  Snapshot = 3,
  Identity = 4,
};

/// A record whose frame and checksum are valid.
struct framed_record {
  record_type Type;
  std::string_view Payload;
  std::uint64_t Size = 0; ///< Bytes, including the frame.
};

/// Refers to a snapshot file. A LastIndex of 0 means that there is none.
struct snapshot_reference {
  std::uint64_t LastIndex = 0;
  std::uint64_t LastTerm = 0;
  bool operator==(const snapshot_reference &) const = default;
};

/// First record of a segment: the state when the segment was started.
struct segment_header {
  /// Valid bytes of the previous segment. Any bytes after them are from failed
  /// writes that were repeated in this segment.
  std::uint64_t PreviousSize = 0;
  replication::hard_state Hard;
  snapshot_reference Snapshot;
  std::uint64_t LastIndex = 0;
};

/// The durable part of one storage_write. It is one record, so that a crash
/// leaves all of the write or nothing.
struct log_change {
  std::optional<replication::hard_state> Hard;
  std::optional<snapshot_reference> Snapshot;
  std::optional<std::uint64_t> TruncateFrom;
  std::vector<replication::log_entry> Append;
};

/// Frames a payload with magic number, checksum, file number, offset, length
/// and type. The checksum covers file number and offset, so that a copy of a
/// record within another record's payload is not mistaken for a record.
/// \param File number of the segment, or 0 outside segments.
/// \param Offset where the record starts in its file.
std::string frameRecord(record_type Type, std::uint64_t File,
                        std::uint64_t Offset, std::string_view Payload);

/// \param Bytes the whole file.
/// \param File number of the segment, or 0 outside segments.
/// \param Offset where the record starts.
/// \returns the record, or nothing when its frame or checksum is wrong.
std::optional<framed_record>
readRecord(std::string_view Bytes, std::uint64_t File, std::uint64_t Offset);

/// \returns the offset of the first valid record at or after From.
std::optional<std::uint64_t> findRecord(std::string_view Bytes,
                                        std::uint64_t File, std::uint64_t From);

/// Payloads are CBOR. Each decoder returns nothing for a payload that is
/// malformed or of another format version.
std::string encodeHeader(const segment_header &Header);
std::optional<segment_header> decodeHeader(std::string_view Payload);
/// \param Write the write; its snapshot is stored as a reference only.
std::string encodeChange(const replication::storage_write &Write);
std::optional<log_change> decodeChange(std::string_view Payload);
std::string encodeSnapshot(const replication::snapshot &Snapshot);
std::optional<replication::snapshot> decodeSnapshot(std::string_view Payload);
std::string encodeIdentity(const folder_identity &Identity);
std::optional<folder_identity> decodeIdentity(std::string_view Payload);

} // namespace lycheetrestle::storage

#endif
