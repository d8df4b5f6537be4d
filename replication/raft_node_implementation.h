#ifndef LYCHEETRESTLE_REPLICATION_RAFT_NODE_IMPLEMENTATION_H
#define LYCHEETRESTLE_REPLICATION_RAFT_NODE_IMPLEMENTATION_H

#include "replication/messages.h"
#include "replication/outbox.h"
#include "replication/progress.h"
#include "replication/raft_log.h"
#include "replication/raft_node.h"
#include "replication/read_queue.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::replication {

/// A partially received snapshot.
struct incoming_snapshot {
  snapshot Snapshot; ///< State holds the bytes received so far.
  std::uint64_t Total = 0;
};

/// The state of one replica. Its parts are in raft_node.cpp (input, output and
/// terms), raft_election.cpp, raft_leader.cpp, raft_append.cpp and
/// raft_snapshot.cpp.
class raft_node::implementation {
public:
  implementation(raft_settings Settings, persistent_state Persisted,
                 membership Initial, core::time_point Now);

  bool bootstrap(const membership &Voters);
  void tick(core::time_point Now);
  void receive(const replica_id &From, std::string_view Bytes,
               core::time_point Now);
  void stored(std::uint64_t Ticket, core::time_point Now);
  void storageFailed(core::time_point Now);
  core::result<std::uint64_t> propose(std::string Payload);
  core::result<std::uint64_t> proposeMembership(const membership &Target);
  core::result<std::uint64_t> requestRead(core::time_point Now);
  void transferLeadership(core::time_point Now);
  void compact(std::uint64_t Index, std::string State);
  bool hasCaughtUp(const replica_id &Learner) const;
  raft_output takeOutput();
  raft_status status() const;
  std::vector<follower_status> followers(core::time_point Now) const;
  core::time_point nextTick() const;

private:
  // raft_node.cpp
  void send(const replica_id &To, message_body Body);
  void becomeFollower(std::uint64_t NewTerm,
                      std::optional<replica_id> NewLeader,
                      core::time_point Now);
  void resetElectionTimer(core::time_point Now);
  bool acceptTerm(const message &Message, core::time_point Now);
  void commitTo(std::uint64_t Index);
  bool isMember(const replica_id &Id) const;
  void checkInvariants() const;

  // raft_election.cpp
  bool hasActiveLeader(core::time_point Now) const;
  bool isUpToDate(const vote_request &Request) const;
  void startPreVote(core::time_point Now);
  void startElection(core::time_point Now, bool Transfer);
  void requestVotes(bool Pre, bool Transfer);
  void countVotes(core::time_point Now);
  void becomeLeader(core::time_point Now);
  void onBody(const replica_id &From, const vote_request &Request,
              core::time_point Now);
  void onBody(const replica_id &From, const vote_reply &Reply,
              core::time_point Now);
  void onBody(const replica_id &From, const transfer_now &Order,
              core::time_point Now);

  // raft_leader.cpp
  void refreshProgress(core::time_point Now);
  void checkQuorum(core::time_point Now);
  void startRound(core::time_point Now);
  void confirmReads();
  void advanceCommit();
  void continueTransfer();
  bool hasCommittedInTerm() const;
  std::uint64_t appendEntry(entry_kind Kind, std::string Payload);
  void sendEntries(const replica_id &To, progress &Progress);
  void sendPending(const replica_id &To, progress &Progress);
  void sendHeartbeat(const replica_id &To, progress &Progress);
  bool recordReply(progress &Progress, std::uint64_t Round,
                   core::time_point Now);
  void onBody(const replica_id &From, const append_reply &Reply,
              core::time_point Now);

  // raft_append.cpp
  void onBody(const replica_id &From, const append_message &Append,
              core::time_point Now);
  bool acceptLeader(const replica_id &From, core::time_point Now);
  std::optional<std::uint64_t> acceptEntries(const append_message &Append);
  bool isStorageBlocked() const;
  void replyMatch(std::uint64_t Round);
  void replyRejected(const append_message &Append);

  // raft_snapshot.cpp
  void sendSnapshotPart(const replica_id &To, progress &Progress);
  void onBody(const replica_id &From, const snapshot_part &Part,
              core::time_point Now);
  void onBody(const replica_id &From, const snapshot_reply &Reply,
              core::time_point Now);

  raft_settings Settings;
  std::mt19937_64 Random;
  raft_log Log;
  hard_state Hard;
  outbox Outbox;
  std::vector<read_result> ReadResults;

  raft_role Role = raft_role::Follower; ///< Never Learner; see status().
  std::optional<replica_id> Leader;
  core::time_point Clock; ///< The latest time passed in.
  core::time_point ElectionDeadline;
  core::time_point LastLeaderMessage;
  bool Removed = false; ///< Reported by a leader; cleared by its next append.

  // Storage.
  std::uint64_t NextTicket = 1;
  std::uint64_t StoredTicket = 0;
  std::uint64_t HardTicket = 0; ///< The write that holds Hard.
  bool HardDirty = false;
  bool StorageFailing = false;

  // Candidate.
  bool PreVoting = false;
  std::set<replica_id> Votes;
  std::set<replica_id> RefusedVotes; ///< For status reports.
  std::uint64_t SelfVoteTicket = 0;

  // Follower: state of the current term's leader.
  std::uint64_t Matched = 0;       ///< Last index that matches the leader's.
  std::uint64_t ReportedMatch = 0; ///< Last match reported to the leader.
  std::uint64_t LeaderRound = 0;   ///< Latest heartbeat round.
  std::optional<incoming_snapshot> Incoming;

  // Leader.
  std::map<replica_id, progress> Followers;
  read_queue Reads;
  std::uint64_t Round = 0;
  std::uint64_t TermStartIndex = 0; ///< Index of this term's first entry.
  core::time_point NextHeartbeat;
  std::optional<replica_id> TransferTarget;
  core::time_point TransferDeadline;
  bool TransferSent = false;

  std::uint64_t DroppedMessages = 0;
  std::uint64_t ConflictingMessages = 0;
};

} // namespace lycheetrestle::replication

#endif
