#ifndef LYCHEETRESTLE_REPLICATION_RAFT_NODE_H
#define LYCHEETRESTLE_REPLICATION_RAFT_NODE_H

#include "core/clock.h"
#include "core/failure.h"
#include "replication/types.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::replication {

/// Largest payload of an entry. It fits into a message of MaxMessageBytes, with
/// 64 KiB for the names and fields of the message's envelopes.
inline constexpr std::size_t MaxEntryBytes = (4u << 20) - (64u << 10);

/// Identity, timing and limits of a replica.
struct raft_settings {
  replica_id Self;
  /// Interval between two heartbeat rounds.
  core::duration Heartbeat = std::chrono::milliseconds(100);
  /// Shortest election timeout; each timeout is drawn from [this, 2 * this).
  core::duration ElectionTimeout = std::chrono::milliseconds(1000);
  std::size_t MaxAppendBytes = 256u << 10; ///< Per append message.
  std::size_t SnapshotPartBytes = 256u << 10;
  std::size_t MaxUncommittedBytes = 8u << 20;  ///< More is refused.
  std::size_t MaxPayloadBytes = MaxEntryBytes; ///< Larger ones are refused.
  std::size_t MaxInFlightBytes = 1u << 20; ///< Unacknowledged, per follower.
  /// Received entries that are not synced yet; further ones are ignored.
  std::size_t MaxUnstoredBytes = 16u << 20;
  std::size_t MaxSnapshotBytes = 256u << 20; ///< Larger ones are ignored.
  std::uint64_t Seed = 0;                    ///< For the random timeouts.
};

/// An encoded message and its receiver.
struct outgoing_message {
  replica_id To;
  std::string Bytes; ///< CBOR.
};

/// Result of a read request: whether a majority confirmed the leader after it.
struct read_result {
  std::uint64_t Token = 0;
  bool Confirmed = false;  ///< False when leadership was lost; retry.
  std::uint64_t Index = 0; ///< The state must have applied this index.
};

/// What the driver must do, in any order except where stated.
struct raft_output {
  std::vector<outgoing_message> Messages; ///< May be sent immediately.
  std::optional<storage_write> Write;     ///< Sync it, then call stored().
  /// Replace the state machine first. Also set in the first output after a
  /// start with a snapshot.
  std::optional<snapshot> Restore;
  std::vector<log_entry> Committed; ///< Apply in order, each exactly once.
  std::vector<read_result> Reads;
};

/// A learner is a follower that is not a voter.
enum class raft_role : std::uint8_t { Learner, Follower, Candidate, Leader };

/// What a leader knows of another member.
struct follower_status {
  replica_id Id;
  bool IsVoter = false;
  core::duration ReplyAge{}; ///< Since its last reply.
  std::uint64_t Match = 0;   ///< Last index synced there.
  bool IsBlocked = false;    ///< Its storage takes no entries now.
};

/// State of a replica for status reports and decisions of the driver.
struct raft_status {
  raft_role Role = raft_role::Follower;
  std::uint64_t Term = 0;
  std::optional<replica_id> Leader;
  std::uint64_t CommitIndex = 0;
  std::uint64_t LastIndex = 0;
  std::uint64_t SnapshotIndex = 0;
  membership Members;
  std::uint64_t DroppedMessages = 0; ///< Malformed or invalid.
  /// Messages that contradicted committed entries. A nonzero value means that a
  /// replica lost synced data or a peer is malicious.
  std::uint64_t ConflictingMessages = 0;
  bool StorageFailing = false;
  bool IsRemoved = false; ///< A leader reported that it is no longer a member.
  bool IsPreVoting = false; ///< A candidate that asks whether it could win.
  /// Of a candidate: the voters that granted and refused their vote since it
  /// last asked.
  std::vector<replica_id> GrantedBy;
  std::vector<replica_id> RefusedBy;
};

/// One replica of a Raft log with pre-vote, check-quorum (a leader steps down
/// without a majority), reads confirmed by a majority, snapshots, learners, and
/// one membership change at a time. It performs no I/O: the driver passes in
/// time, messages and finished writes, and executes the result of takeOutput().
class raft_node {
public:
  /// \param Settings identity and timing.
  /// \param Persisted the state read from the disk.
  /// \param Initial voters of a new cluster, the same at every start; used as
  /// the membership before the first entry when Persisted has no snapshot. An
  /// empty membership makes this replica wait until a leader adds it.
  /// \param Now the time of the start.
  raft_node(raft_settings Settings, persistent_state Persisted,
            membership Initial, core::time_point Now);
  ~raft_node();

  /// Starts the log of an initial voter with the membership as its first
  /// entry, in a term that no leader has. Every initial voter that is not
  /// started this way receives the entry from the leader.
  /// \param Voters the same at every initial voter of the cluster.
  /// \returns whether the log was empty and the membership is valid.
  bool bootstrap(const membership &Voters);

  /// Advances the clock and handles expired timeouts.
  void tick(core::time_point Now);
  /// Handles a message.
  /// \param From the sender as the transport knows it. Incarnation 0 means
  /// that the transport knows only the name.
  /// \param Bytes a message; malformed ones are dropped and counted.
  void receive(const replica_id &From, std::string_view Bytes,
               core::time_point Now);
  /// Reports that the write with this ticket, and all before it, are synced.
  void stored(std::uint64_t Ticket, core::time_point Now);
  /// Reports that a write failed, for example because the disk is full. A
  /// leader steps down; the driver retries the same write later.
  void storageFailed(core::time_point Now);

  /// \param Payload the command.
  /// \returns the index it will have if it commits, or NotLeader (also while
  /// leadership is being transferred), Overloaded or TooLarge. The entry that
  /// commits at this index is the proposal only if its term is the current
  /// term.
  core::result<std::uint64_t> propose(std::string Payload);
  /// \param Target differs from the current membership in one member.
  /// \returns the index, or NotLeader, Conflict (another change is not
  /// committed yet, or no entry of this term is committed yet), or BadInput
  /// (not exactly one member differs, or the target is not valid).
  core::result<std::uint64_t> proposeMembership(membership Target);
  /// \returns a token that comes back in raft_output::Reads, or NotLeader or
  /// Overloaded. The read waits for the next heartbeat round.
  core::result<std::uint64_t> requestRead(core::time_point Now);
  /// Transfers leadership to the voter with the most synced entries, for a
  /// shutdown.
  void transferLeadership(core::time_point Now);
  /// Discards the log up to an index.
  /// \param Index an applied index.
  /// \param State the state machine at that index, encoded.
  void compact(std::uint64_t Index, std::string State);
  /// \returns for a leader, whether a learner has all committed entries, or
  /// takes less than an election timeout to store what the log holds.
  bool hasCaughtUp(const replica_id &Learner) const;

  /// \returns the work since the last call.
  raft_output takeOutput();
  raft_status status() const;
  /// \returns the other members, at a leader; nothing at any other replica.
  std::vector<follower_status> followers(core::time_point Now) const;
  /// \returns the earliest time at which tick() has something to do.
  core::time_point nextTick() const;

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace lycheetrestle::replication

#endif
