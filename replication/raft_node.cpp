#include "replication/raft_node.h"

#include "core/checksum.h"
#include "core/invariant.h"
#include "replication/membership_rules.h"
#include "replication/raft_node_implementation.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::replication {

namespace {

static_assert(MaxEntryBytes < MaxMessageBytes, "an entry fits into a message");

// Every election raises the term by one, so no correct replica sends a larger
// jump. Accepting it would exhaust the range of terms.
constexpr std::uint64_t MaxTermJump = std::uint64_t{1} << 32u;

template <typename Body>
constexpr bool IsFromLeader =
    std::is_same_v<Body, append_message> || std::is_same_v<Body, snapshot_part>;

} // namespace

raft_node::implementation::implementation(raft_settings TheSettings,
                                          persistent_state Persisted,
                                          membership Initial,
                                          core::time_point Now)
    : Settings(std::move(TheSettings)),
      Random(Settings.Seed ^ core::stableHash(Settings.Self.Name) ^
             Settings.Self.Incarnation),
      Log(persistent_state{Persisted.Hard, std::move(Persisted.Snapshot),
                           std::move(Persisted.Entries)},
          std::move(Initial)),
      Hard(Persisted.Hard), Clock(Now) {
  core::checkInvariant(Hard.Term >= Log.lastTerm(),
                       "the stored term covers the stored entries");
  resetElectionTimer(Now);
}

bool raft_node::implementation::bootstrap(const membership &Voters) {
  if (Log.lastIndex() != 0 || !isValidMembership(Voters))
    return false;
  // A candidate raises its term first, so no leader has this one.
  constexpr std::uint64_t FirstTerm = 1;
  if (Hard.Term < FirstTerm) {
    Hard = {FirstTerm, std::nullopt};
    HardDirty = true;
  }
  Log.append({1, FirstTerm, entry_kind::Membership, encodeMembership(Voters)});
  return true;
}

void raft_node::implementation::resetElectionTimer(core::time_point Now) {
  std::uniform_int_distribution<core::duration::rep> Extra(
      0, Settings.ElectionTimeout.count() - 1);
  ElectionDeadline =
      Now + Settings.ElectionTimeout + core::duration(Extra(Random));
}

bool raft_node::implementation::isMember(const replica_id &Id) const {
  return findMember(Log.members(), Id) != nullptr;
}

void raft_node::implementation::tick(core::time_point Now) {
  Clock = std::max(Clock, Now);
  if (Role == raft_role::Leader) {
    checkQuorum(Clock);
    if (Role == raft_role::Leader && Clock >= NextHeartbeat)
      startRound(Clock);
    return;
  }
  if (Clock < ElectionDeadline)
    return;
  resetElectionTimer(Clock);
  if (isVoter(Log.members(), Settings.Self) && !Removed && !StorageFailing)
    startPreVote(Clock);
}

core::time_point raft_node::implementation::nextTick() const {
  return Role == raft_role::Leader ? NextHeartbeat : ElectionDeadline;
}

void raft_node::implementation::receive(const replica_id &From,
                                        std::string_view Bytes,
                                        core::time_point Now) {
  // After a process pause, timeouts must expire before messages that were
  // queued meanwhile are handled.
  tick(Now);
  const std::optional<message> Message = decodeMessage(Bytes);
  if (!Message || Message->From.Name != From.Name ||
      (From.Incarnation != 0 &&
       Message->From.Incarnation != From.Incarnation) ||
      Message->From == Settings.Self) {
    ++DroppedMessages;
    return;
  }
  // Addressed to another incarnation of this name; legitimate, so not counted.
  if (Message->To != Settings.Self)
    return;
  if (!acceptTerm(*Message, Clock))
    return;
  std::visit([&](const auto &Body) { onBody(Message->From, Body, Clock); },
             Message->Body);
}

bool raft_node::implementation::acceptTerm(const message &Message,
                                           core::time_point Now) {
  const replica_id &From = Message.From;
  return std::visit(
      [&](const auto &Body) {
        using body_type = std::decay_t<decltype(Body)>;
        if (Body.Term == 0 || Body.Term > Hard.Term + MaxTermJump) {
          ++DroppedMessages;
          return false;
        }
        if constexpr (std::is_same_v<body_type, vote_request> ||
                      std::is_same_v<body_type, vote_reply>) {
          return true; // these handlers check the term themselves
        } else if constexpr (IsFromLeader<body_type>) {
          if (Body.Term < Hard.Term) {
            // Makes a leader of an older term step down.
            send(From, append_reply{.Term = Hard.Term, .Round = Body.Round});
            return false;
          }
          return true;
        } else {
          // Only a member may make this leader step down by a newer term.
          if (Body.Term > Hard.Term && isMember(From))
            becomeFollower(Body.Term, std::nullopt, Now);
          return Body.Term == Hard.Term;
        }
      },
      Message.Body);
}

void raft_node::implementation::becomeFollower(
    std::uint64_t NewTerm, std::optional<replica_id> NewLeader,
    core::time_point Now) {
  core::checkInvariant(NewTerm >= Hard.Term, "the term never decreases");
  if (NewTerm > Hard.Term) {
    Hard = {NewTerm, std::nullopt};
    HardDirty = true;
  }
  if (Role == raft_role::Leader)
    Reads.failAll(ReadResults);
  Role = raft_role::Follower;
  Leader = std::move(NewLeader);
  Votes.clear();
  RefusedVotes.clear();
  Followers.clear();
  TransferTarget.reset();
  Matched = ReportedMatch = LeaderRound = 0;
  Incoming.reset();
  resetElectionTimer(Now);
}

void raft_node::implementation::send(const replica_id &To, message_body Body) {
  const std::uint64_t Ticket = HardDirty ? NextTicket : HardTicket;
  Outbox.add({To, encodeMessage({Settings.Self, To, std::move(Body)})}, Ticket);
}

void raft_node::implementation::commitTo(std::uint64_t Index) {
  if (Index > Log.commitIndex())
    Log.commitTo(Index);
}

void raft_node::implementation::stored(std::uint64_t Ticket,
                                       core::time_point Now) {
  Clock = std::max(Clock, Now);
  core::checkInvariant(Ticket < NextTicket, "only issued writes are stored");
  StoredTicket = std::max(StoredTicket, Ticket);
  StorageFailing = false;
  Log.stored(StoredTicket);
  if (Role == raft_role::Candidate && !PreVoting &&
      StoredTicket >= SelfVoteTicket) {
    Votes.insert(Settings.Self);
    countVotes(Clock);
  }
  if (Role == raft_role::Leader)
    advanceCommit();
  else if (Leader && std::min(Matched, Log.durableIndex()) > ReportedMatch)
    replyMatch(LeaderRound);
}

void raft_node::implementation::storageFailed(core::time_point Now) {
  Clock = std::max(Clock, Now);
  StorageFailing = true;
  if (Role != raft_role::Follower)
    becomeFollower(Hard.Term, std::nullopt, Clock);
}

void raft_node::implementation::compact(std::uint64_t Index,
                                        std::string State) {
  Log.compact(Index, std::move(State));
}

void raft_node::implementation::checkInvariants() const {
  core::checkInvariant(Log.snapshotIndex() <= Log.commitIndex() &&
                           Log.commitIndex() <= Log.lastIndex(),
                       "snapshot, commit and last index are in order");
  core::checkInvariant(Log.lastTerm() <= Hard.Term,
                       "no entry is of a newer term than the replica");
  core::checkInvariant(Log.durableIndex() <= Log.lastIndex(),
                       "only entries of the log are counted as synced");
  core::checkInvariant(Matched <= Log.lastIndex(),
                       "only entries of the log match the leader's");
  core::checkInvariant(Role != raft_role::Leader ||
                           (Hard.Vote == Settings.Self &&
                            Leader == Settings.Self &&
                            TermStartIndex <= Log.lastIndex()),
                       "a leader voted for itself and leads its own term");
}

raft_output raft_node::implementation::takeOutput() {
  checkInvariants();
  if (Role == raft_role::Leader)
    for (auto &[Id, Progress] : Followers)
      sendPending(Id, Progress);
  raft_output Output;
  if (HardDirty || Log.isDirty()) {
    Output.Write.emplace();
    Output.Write->Ticket = NextTicket++;
    if (HardDirty) {
      Output.Write->Hard = Hard;
      HardTicket = Output.Write->Ticket;
      HardDirty = false;
    }
    Log.fillWrite(*Output.Write);
  }
  Output.Messages = Outbox.take(StoredTicket);
  Output.Restore = Log.takeRestore();
  Output.Committed = Log.takeCommitted();
  Output.Reads = std::exchange(ReadResults, {});
  return Output;
}

raft_status raft_node::implementation::status() const {
  raft_status Status;
  Status.Role = Role;
  if (Role == raft_role::Follower && !isVoter(Log.members(), Settings.Self))
    Status.Role = raft_role::Learner;
  Status.Term = Hard.Term;
  Status.Leader = Leader;
  Status.CommitIndex = Log.commitIndex();
  Status.LastIndex = Log.lastIndex();
  Status.SnapshotIndex = Log.snapshotIndex();
  Status.Members = Log.members();
  Status.DroppedMessages = DroppedMessages;
  Status.ConflictingMessages = ConflictingMessages;
  Status.StorageFailing = StorageFailing;
  Status.IsRemoved = Removed;
  if (Role == raft_role::Candidate) {
    Status.IsPreVoting = PreVoting;
    Status.GrantedBy.assign(Votes.begin(), Votes.end());
    Status.RefusedBy.assign(RefusedVotes.begin(), RefusedVotes.end());
  }
  return Status;
}

std::vector<follower_status>
raft_node::implementation::followers(core::time_point Now) const {
  std::vector<follower_status> Result;
  for (const auto &[Id, Progress] : Followers)
    Result.push_back({Id, isVoter(Log.members(), Id),
                      Now - Progress.LastReplyTime, Progress.Match,
                      Progress.IsBlocked});
  return Result;
}

raft_node::raft_node(raft_settings Settings, persistent_state Persisted,
                     membership Initial, core::time_point Now)
    : Impl(std::make_unique<implementation>(
          std::move(Settings), std::move(Persisted), std::move(Initial), Now)) {
}

raft_node::~raft_node() = default;

bool raft_node::bootstrap(const membership &Voters) {
  return Impl->bootstrap(Voters);
}

void raft_node::tick(core::time_point Now) { Impl->tick(Now); }

void raft_node::receive(const replica_id &From, std::string_view Bytes,
                        core::time_point Now) {
  Impl->receive(From, Bytes, Now);
}

void raft_node::stored(std::uint64_t Ticket, core::time_point Now) {
  Impl->stored(Ticket, Now);
}

void raft_node::storageFailed(core::time_point Now) {
  Impl->storageFailed(Now);
}

core::result<std::uint64_t> raft_node::propose(std::string Payload) {
  return Impl->propose(std::move(Payload));
}

core::result<std::uint64_t> raft_node::proposeMembership(membership Target) {
  return Impl->proposeMembership(Target);
}

core::result<std::uint64_t> raft_node::requestRead(core::time_point Now) {
  return Impl->requestRead(Now);
}

void raft_node::transferLeadership(core::time_point Now) {
  Impl->transferLeadership(Now);
}

void raft_node::compact(std::uint64_t Index, std::string State) {
  Impl->compact(Index, std::move(State));
}

bool raft_node::hasCaughtUp(const replica_id &Learner) const {
  return Impl->hasCaughtUp(Learner);
}

raft_output raft_node::takeOutput() { return Impl->takeOutput(); }

raft_status raft_node::status() const { return Impl->status(); }

std::vector<follower_status> raft_node::followers(core::time_point Now) const {
  return Impl->followers(Now);
}

core::time_point raft_node::nextTick() const { return Impl->nextTick(); }

} // namespace lycheetrestle::replication
