#ifndef LYCHEETRESTLE_STORAGE_LOG_REPLAY_H
#define LYCHEETRESTLE_STORAGE_LOG_REPLAY_H

#include "core/failure.h"
#include "replication/types.h"
#include "storage/record_codec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::storage {

/// State of the log without its entries.
struct log_position {
  replication::hard_state Hard;
  snapshot_reference Snapshot;
  std::uint64_t LastIndex = 0;

  /// Checks that the indices of a write are contiguous with this state.
  /// \returns BadInput that names the field, when they are not.
  core::result<void> check(const replication::storage_write &Write) const;
  /// Applies a write that check() accepted.
  void apply(const replication::storage_write &Write);
};

/// A replayed segment.
struct segment_info {
  std::uint64_t Number = 0;
  std::uint64_t Size = 0;      ///< Valid bytes.
  std::uint64_t LastIndex = 0; ///< Last index when the segment was started.
};

/// \returns the file name of a segment.
std::string segmentName(std::uint64_t Number);
/// \returns the file name of a snapshot.
std::string snapshotName(std::uint64_t LastIndex);
/// \returns the number in a file name that consists of this prefix and 20
/// digits, or nothing for other names.
std::optional<std::uint64_t> parseNumber(std::string_view Prefix,
                                         std::string_view Name);

/// \returns a failure with code Corrupt that names the file and the offset.
boost::leaf::error_id failCorrupt(std::string_view File, std::uint64_t Offset,
                                  std::string_view What);

/// Rebuilds the log from its segments, which are added in order.
class log_replay {
public:
  /// \param Number number of the segment.
  /// \param Bytes its contents.
  /// \param NextSegment contents of the following segment, or nothing for the
  /// last segment, whose tail may be torn.
  /// \returns Corrupt with file and offset when a record is damaged.
  core::result<void> addSegment(std::uint64_t Number, std::string_view Bytes,
                                std::optional<std::string_view> NextSegment);
  /// Checks that no entry after the snapshot is missing.
  core::result<void> finish();

  const log_position &position() const { return Position; }
  const std::vector<segment_info> &segments() const { return Segments; }
  /// \returns the entries after the snapshot, moved out of the replay.
  std::vector<replication::log_entry> takeEntries();

private:
  core::result<void> start(std::uint64_t Number, const segment_header &Header);
  core::result<void> applyChange(std::string_view File, std::uint64_t Offset,
                                 log_change Change);
  void discardThrough(std::uint64_t Index);
  void discardFrom(std::uint64_t Index);

  log_position Position;
  std::vector<segment_info> Segments;
  /// Contiguous; ends with Position.LastIndex. Until finish(), it may lack
  /// entries after the current snapshot, because the segments of entries that a
  /// later snapshot covers are removed.
  std::vector<replication::log_entry> Entries;
};

} // namespace lycheetrestle::storage

#endif
