#include "core/invariant.h"
#include "replication/membership_rules.h"
#include "replication/raft_node_implementation.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::replication {

namespace {

boost::leaf::error_id failNotLeader(const std::optional<replica_id> &Leader) {
  return core::fail({core::error_code::NotLeader,
                     Leader ? "the leader is " + Leader->Name
                            : std::string("no leader is known"),
                     "", "", core::verdict::NotRun});
}

boost::leaf::error_id refuse(core::error_code Code, std::string Message) {
  return core::fail({Code, std::move(Message), "", "", core::verdict::NotRun});
}

} // namespace

bool raft_node::implementation::hasCommittedInTerm() const {
  return Role == raft_role::Leader && Log.commitIndex() >= TermStartIndex;
}

std::uint64_t raft_node::implementation::appendEntry(entry_kind Kind,
                                                     std::string Payload) {
  const std::uint64_t Index = Log.lastIndex() + 1;
  Log.append({Index, Hard.Term, Kind, std::move(Payload)});
  if (Kind == entry_kind::Membership)
    refreshProgress(Clock);
  return Index;
}

core::result<std::uint64_t>
raft_node::implementation::propose(std::string Payload) {
  if (Role != raft_role::Leader)
    return failNotLeader(Leader);
  if (TransferTarget)
    return refuse(core::error_code::NotLeader,
                  "leadership is being transferred");
  if (Payload.size() > Settings.MaxPayloadBytes)
    return refuse(core::error_code::TooLarge,
                  "the proposal is larger than " +
                      std::to_string(Settings.MaxPayloadBytes) + " bytes");
  if (Log.uncommittedBytes() + Payload.size() > Settings.MaxUncommittedBytes)
    return refuse(core::error_code::Overloaded,
                  "too many proposals are not committed yet");
  return appendEntry(entry_kind::Command, std::move(Payload));
}

core::result<std::uint64_t>
raft_node::implementation::proposeMembership(const membership &Target) {
  if (Role != raft_role::Leader)
    return failNotLeader(Leader);
  if (TransferTarget)
    return refuse(core::error_code::NotLeader,
                  "leadership is being transferred");
  if (!hasCommittedInTerm())
    return refuse(core::error_code::Conflict,
                  "the leader has not committed an entry of its term yet");
  if (Log.membersIndex() > Log.commitIndex())
    return refuse(core::error_code::Conflict,
                  "another membership change is not committed yet");
  if (!isValidMembership(Target))
    return refuse(
        core::error_code::BadInput,
        "a membership needs at least one voter, unique ids, at most " +
            std::to_string(MaxMembers) + " members and at most " +
            std::to_string(MaxIncarnations) + " of one name");
  if (countDifferences(Log.members(), Target) != 1)
    return refuse(core::error_code::BadInput, "exactly one member must differ");
  return appendEntry(entry_kind::Membership, encodeMembership(Target));
}

core::result<std::uint64_t>
raft_node::implementation::requestRead(core::time_point) {
  if (Role != raft_role::Leader)
    return failNotLeader(Leader);
  if (Reads.full())
    return refuse(core::error_code::Overloaded, "too many reads are pending");
  return Reads.add();
}

bool raft_node::implementation::hasCaughtUp(const replica_id &Learner) const {
  const auto Found = Followers.find(Learner);
  if (Role != raft_role::Leader || Found == Followers.end() ||
      !hasCommittedInTerm())
    return false;
  // A learner that is behind by less than an election timeout delays commits
  // for less than that when it is needed for a majority.
  return Found->second.Match >= Log.commitIndex() ||
         Found->second.Rounds.areWithin(Settings.ElectionTimeout, Clock);
}

void raft_node::implementation::refreshProgress(core::time_point Now) {
  for (auto Item = Followers.begin(); Item != Followers.end();)
    Item = isMember(Item->first) ? std::next(Item) : Followers.erase(Item);
  for (const member &Member : Log.members().Members)
    if (Member.Id != Settings.Self)
      Followers.try_emplace(Member.Id, Log.lastIndex() + 1, Now);
  if (TransferTarget && !isVoter(Log.members(), *TransferTarget))
    TransferTarget.reset();
}

void raft_node::implementation::checkQuorum(core::time_point Now) {
  if (TransferTarget && Now >= TransferDeadline)
    TransferTarget.reset();
  const bool HasQuorum = hasMajority(Log.members(), [&](const replica_id &Id) {
    if (Id == Settings.Self)
      return true;
    return Now - Followers.at(Id).LastReplyTime < Settings.ElectionTimeout;
  });
  if (!HasQuorum)
    becomeFollower(Hard.Term, std::nullopt, Now);
}

void raft_node::implementation::startRound(core::time_point Now) {
  ++Round;
  NextHeartbeat = Now + Settings.Heartbeat;
  // Before an entry of this term is committed, the commit index may lack
  // entries that an earlier leader acknowledged.
  if (hasCommittedInTerm())
    Reads.startRound(Round, Log.commitIndex());
  for (auto &[Id, Progress] : Followers)
    sendHeartbeat(Id, Progress);
  confirmReads();
}

void raft_node::implementation::confirmReads() {
  const std::uint64_t Confirmed =
      majorityValue(Log.members(), [this](const replica_id &Id) {
        return Id == Settings.Self ? Round : Followers.at(Id).AckedRound;
      });
  Reads.confirm(Confirmed, ReadResults);
}

void raft_node::implementation::advanceCommit() {
  const std::uint64_t Index =
      majorityValue(Log.members(), [this](const replica_id &Id) {
        return Id == Settings.Self ? Log.durableIndex()
                                   : Followers.at(Id).Match;
      });
  // Entries of older terms are committed only together with one of this term.
  if (Index <= Log.commitIndex() || Index < TermStartIndex)
    return;
  core::checkInvariant(Log.termAt(Index) == Hard.Term,
                       "a leader commits an entry of its own term");
  commitTo(Index);
  // A leader that removed itself leads until the removal is committed.
  if (Log.membersIndex() <= Log.commitIndex() &&
      !isVoter(Log.members(), Settings.Self)) {
    for (auto &[Id, Progress] : Followers)
      sendHeartbeat(Id, Progress);
    becomeFollower(Hard.Term, std::nullopt, Clock);
  }
}

void raft_node::implementation::transferLeadership(core::time_point Now) {
  Clock = std::max(Clock, Now);
  if (Role != raft_role::Leader || TransferTarget)
    return;
  const progress *Best = nullptr;
  for (const auto &[Id, Progress] : Followers) {
    if (!isVoter(Log.members(), Id) || (Best && Progress.Match <= Best->Match))
      continue;
    Best = &Progress;
    TransferTarget = Id;
  }
  TransferSent = false;
  TransferDeadline = Clock + Settings.ElectionTimeout;
  continueTransfer();
}

void raft_node::implementation::continueTransfer() {
  if (!TransferTarget || TransferSent ||
      Followers.at(*TransferTarget).Match != Log.lastIndex())
    return;
  send(*TransferTarget, transfer_now{Hard.Term});
  TransferSent = true;
}

void raft_node::implementation::sendEntries(const replica_id &To,
                                            progress &Progress) {
  append_message Append;
  Append.Term = Hard.Term;
  Append.Round = Round;
  Append.PrevIndex = Progress.Next - 1;
  Append.PrevTerm = Log.termAt(Append.PrevIndex).value_or(0);
  Append.Commit = Log.commitIndex();
  std::size_t Bytes = 0;
  const bool HasCapacity =
      Progress.hasInFlightCapacity(Settings.MaxInFlightBytes);
  while (HasCapacity && Append.Entries.size() < MaxEntriesPerMessage &&
         Progress.Next + Append.Entries.size() <= Log.lastIndex()) {
    const log_entry &Entry = Log.at(Progress.Next + Append.Entries.size());
    Bytes += raft_log::cost(Entry);
    if (!Append.Entries.empty() && Bytes > Settings.MaxAppendBytes)
      break;
    Append.Entries.push_back(Entry);
  }
  if (Progress.Mode == progress_mode::Probe) {
    Progress.ProbeSent = true;
  } else if (!Append.Entries.empty()) {
    Progress.Next = Append.Entries.back().Index + 1;
    Progress.addInFlight(Append.Entries.back().Index, Bytes);
  }
  send(To, std::move(Append));
}

void raft_node::implementation::sendPending(const replica_id &To,
                                            progress &Progress) {
  if (Progress.Mode != progress_mode::Snapshot &&
      Progress.Next <= Log.snapshotIndex())
    Progress.startSnapshot(Log.latestSnapshot());
  switch (Progress.Mode) {
  case progress_mode::Snapshot:
    if (!Progress.PartSent)
      sendSnapshotPart(To, Progress);
    return;
  case progress_mode::Probe:
    if (!Progress.ProbeSent && Progress.Next <= Log.lastIndex())
      sendEntries(To, Progress);
    return;
  case progress_mode::Replicate:
    while (Progress.Next <= Log.lastIndex() &&
           Progress.hasInFlightCapacity(Settings.MaxInFlightBytes))
      sendEntries(To, Progress);
    return;
  }
}

void raft_node::implementation::sendHeartbeat(const replica_id &To,
                                              progress &Progress) {
  if (Progress.Mode != progress_mode::Snapshot &&
      Progress.Next > Log.snapshotIndex()) {
    sendEntries(To, Progress);
    return;
  }
  // Index 0 matches every log, so a follower whose next entries are compacted
  // accepts this heartbeat. A lost snapshot part is sent again.
  append_message Heartbeat;
  Heartbeat.Term = Hard.Term;
  Heartbeat.Round = Round;
  send(To, std::move(Heartbeat));
  Progress.PartSent = false;
}

bool raft_node::implementation::recordReply(progress &Progress,
                                            std::uint64_t AckedRound,
                                            core::time_point Now) {
  if (AckedRound > Round) {
    ++DroppedMessages;
    return false;
  }
  Progress.LastReplyTime = Now;
  if (AckedRound > Progress.AckedRound) {
    Progress.AckedRound = AckedRound;
    confirmReads();
  }
  return true;
}

void raft_node::implementation::onBody(const replica_id &From,
                                       const append_reply &Reply,
                                       core::time_point Now) {
  const auto Found = Followers.find(From);
  if (Role != raft_role::Leader || Found == Followers.end())
    return;
  progress &Progress = Found->second;
  if (Reply.Received > Log.lastIndex()) {
    ++DroppedMessages;
    return;
  }
  if (!recordReply(Progress, Reply.Round, Now))
    return;
  if (!Reply.Accepted) {
    // Ignores outdated rejections of entries that have matched since.
    if (Progress.Mode == progress_mode::Snapshot ||
        Reply.Rejected <= Progress.Match ||
        (Progress.Mode == progress_mode::Probe &&
         Reply.Rejected + 1 != Progress.Next))
      return;
    const std::uint64_t Hint = std::min(Reply.HintIndex, Reply.Rejected - 1);
    Progress.startProbe(Log.lastIndexNotAfter(Hint, Reply.HintTerm) + 1);
    return;
  }
  Progress.IsBlocked = Reply.Blocked;
  const bool Advanced = Progress.advance(Reply.Match);
  Progress.Rounds.record(Progress.Match, Log.lastIndex(), Now);
  if (Reply.Blocked && Progress.Mode != progress_mode::Snapshot) {
    // Retries with the next heartbeat; sending immediately would repeat the
    // same entries in a loop.
    Progress.startProbe(Reply.Received + 1);
    Progress.ProbeSent = true;
  } else if ((Progress.Mode == progress_mode::Probe &&
              Reply.Received + 1 >= Progress.Next) ||
             (Progress.Mode == progress_mode::Snapshot &&
              Reply.Received >= Progress.PendingSnapshot->LastIndex)) {
    Progress.startReplicate();
  }
  if (Progress.Mode != progress_mode::Probe)
    Progress.Next = std::max(Progress.Next, Reply.Received + 1);
  if (!Advanced)
    return;
  advanceCommit();
  if (Role == raft_role::Leader)
    continueTransfer();
}

} // namespace lycheetrestle::replication
