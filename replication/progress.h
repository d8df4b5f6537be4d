#ifndef LYCHEETRESTLE_REPLICATION_PROGRESS_H
#define LYCHEETRESTLE_REPLICATION_PROGRESS_H

#include "core/clock.h"
#include "replication/catch_up_rounds.h"
#include "replication/types.h"

#include <cstdint>
#include <deque>
#include <memory>

namespace lycheetrestle::replication {

/// How the leader sends to one follower. Probe: one message at a time until
/// the logs are known to match. Replicate: pipelined. Snapshot: parts of a
/// snapshot, because the entries that the follower needs are compacted.
enum class progress_mode : std::uint8_t { Probe, Replicate, Snapshot };

/// A leader's record of the replication to one other member.
class progress {
public:
  progress(std::uint64_t NextIndex, core::time_point Now)
      : Next(NextIndex), LastReplyTime(Now), Rounds(NextIndex - 1, Now) {}

  progress_mode Mode = progress_mode::Probe;
  std::uint64_t Match = 0;      ///< Last index synced at the follower.
  std::uint64_t Next = 1;       ///< The next index to send.
  std::uint64_t AckedRound = 0; ///< Latest heartbeat round answered.
  core::time_point LastReplyTime;
  catch_up_rounds Rounds; ///< Recorded with each accepted reply.
  bool IsBlocked = false; ///< Its storage takes no entries now.
  bool ProbeSent = false; ///< Probe: wait for a reply or heartbeat.

  std::shared_ptr<const snapshot> PendingSnapshot; ///< Snapshot mode only.
  std::uint64_t Offset = 0; ///< Next byte of the snapshot.
  bool PartSent = false;    ///< Wait for a reply or heartbeat.

  /// Records an append message in flight.
  /// \param LastIndex index of its last entry.
  /// \param Bytes what its entries count for in limits.
  void addInFlight(std::uint64_t LastIndex, std::size_t Bytes);
  /// \returns whether another message fits into the byte limit. One message
  /// always fits, so that a large entry cannot block replication.
  bool hasInFlightCapacity(std::size_t MaxBytes) const;
  /// Records a newly synced index.
  /// \returns whether Match grew.
  bool advance(std::uint64_t Synced);
  /// The next three functions switch the mode and discard the messages in
  /// flight.
  void startProbe(std::uint64_t NextIndex);
  void startReplicate();
  void startSnapshot(std::shared_ptr<const snapshot> Snapshot);

private:
  struct sent_batch {
    std::uint64_t LastIndex;
    std::size_t Bytes;
  };
  std::deque<sent_batch> InFlight;
  std::size_t InFlightBytes = 0;

  void clearInFlight();
};

} // namespace lycheetrestle::replication

#endif
