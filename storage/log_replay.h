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

/// State of the log without the contents of its entries.
struct log_position {
  replication::hard_state Hard;
  snapshot_reference Snapshot;
  std::uint64_t LastIndex = 0;

  /// Checks that the parts of a write follow on from this state.
  /// \returns BadInput that names the part, when one does not.
  core::result<void> check(const replication::storage_write &Write) const;
  /// Applies a write that check() accepted.
  void apply(const replication::storage_write &Write);
};

struct segment_info {
  std::uint64_t Number = 0;
  std::uint64_t Size = 0;      ///< Valid bytes.
  std::uint64_t LastIndex = 0; ///< Last index when the segment was started.
};

/// \returns the file name of a segment.
std::string segmentName(std::uint64_t Number);
/// \returns the file name of a snapshot.
std::string snapshotName(std::uint64_t LastIndex);
/// \returns the number in a name that has this prefix and 20 digits.
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
  /// \param NextSegment contents of the segment after it, or nothing for the
  /// last one, whose tail may be torn.
  core::result<void> addSegment(std::uint64_t Number, std::string_view Bytes,
                                std::optional<std::string_view> NextSegment);
  /// Checks that no entry after the snapshot is missing.
  core::result<void> finish();

  const log_position &position() const { return Position; }
  const std::vector<segment_info> &segments() const { return Segments; }
  /// \returns the entries after the snapshot; empties the replay.
  std::vector<replication::log_entry> takeEntries();

private:
  core::result<void> start(std::uint64_t Number, const segment_header &Header);
  core::result<void> applyChange(std::string_view File, std::uint64_t Offset,
                                 log_change Change);
  void discardThrough(std::uint64_t Index);
  void discardFrom(std::uint64_t Index);

  log_position Position;
  std::vector<segment_info> Segments;
  /// Contiguous; ends with Position.LastIndex. It may start after the first
  /// entry that is needed while the replay is not finished, because entries
  /// that a later snapshot covers were removed with their segments.
  std::vector<replication::log_entry> Entries;
};

} // namespace lycheetrestle::storage

#endif
