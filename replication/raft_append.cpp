#include "core/invariant.h"
#include "replication/raft_node_implementation.h"

#include <algorithm>

namespace lycheetrestle::replication {

bool raft_node::implementation::acceptLeader(const replica_id &From,
                                             core::time_point Now) {
  // A term has at most one leader, so the sender is faulty or malicious.
  if (Role == raft_role::Leader || (Leader && *Leader != From)) {
    ++ConflictingMessages;
    return false;
  }
  if (Role == raft_role::Candidate || !Leader)
    becomeFollower(Hard.Term, From, Now);
  LastLeaderMessage = Now;
  Removed = false;
  resetElectionTimer(Now);
  return true;
}

void raft_node::implementation::onBody(const replica_id &From,
                                       const append_message &Append,
                                       core::time_point Now) {
  // Rejects contradictions of committed entries before any state changes.
  if (Append.PrevIndex <= Log.commitIndex()) {
    const auto Conflicts = [this](std::uint64_t Index, std::uint64_t Term) {
      return Index <= Log.commitIndex() &&
             Log.termAt(Index).value_or(Term) != Term;
    };
    bool Conflict = Conflicts(Append.PrevIndex, Append.PrevTerm);
    for (const log_entry &Entry : Append.Entries)
      Conflict = Conflict || Conflicts(Entry.Index, Entry.Term);
    if (Conflict) {
      ++ConflictingMessages;
      return;
    }
  }
  if (Append.Term > Hard.Term)
    becomeFollower(Append.Term, From, Now);
  if (!acceptLeader(From, Now))
    return;
  LeaderRound = std::max(LeaderRound, Append.Round);
  const std::optional<std::uint64_t> Received = acceptEntries(Append);
  if (!Received) {
    replyRejected(Append);
    return;
  }
  Matched = std::max(Matched, *Received);
  commitTo(std::min(Append.Commit, *Received));
  replyMatch(Append.Round);
}

bool raft_node::implementation::isStorageBlocked() const {
  return StorageFailing || Log.unstoredBytes() > Settings.MaxUnstoredBytes;
}

std::optional<std::uint64_t>
raft_node::implementation::acceptEntries(const append_message &Append) {
  if (Append.PrevIndex > Log.lastIndex())
    return std::nullopt;
  // Up to the commit index the logs are equal, even where they are compacted.
  if (Append.PrevIndex > Log.commitIndex() &&
      Log.termAt(Append.PrevIndex) != Append.PrevTerm)
    return std::nullopt;
  std::uint64_t Received = Append.PrevIndex;
  for (const log_entry &Entry : Append.Entries) {
    if (Entry.Index > Log.commitIndex()) {
      const auto Term = Log.termAt(Entry.Index);
      if (Term && *Term != Entry.Term)
        Log.truncateFrom(Entry.Index);
      if (Entry.Index > Log.lastIndex()) {
        // The leader resends the rest once the disk has caught up.
        if (isStorageBlocked())
          break;
        Log.append(Entry);
      }
    }
    Received = Entry.Index;
  }
  return Received;
}

void raft_node::implementation::replyMatch(std::uint64_t AckedRound) {
  ReportedMatch = std::min(Matched, Log.durableIndex());
  send(*Leader, append_reply{.Term = Hard.Term,
                             .Round = AckedRound,
                             .Accepted = true,
                             .Blocked = isStorageBlocked(),
                             .Match = ReportedMatch,
                             .Received = Matched});
}

void raft_node::implementation::replyRejected(const append_message &Append) {
  const std::uint64_t Hint =
      Append.PrevIndex > Log.lastIndex()
          ? Log.lastIndex()
          : Log.lastIndexNotAfter(Append.PrevIndex - 1, Append.PrevTerm);
  send(*Leader, append_reply{.Term = Hard.Term,
                             .Round = Append.Round,
                             .Rejected = Append.PrevIndex,
                             .HintIndex = Hint,
                             .HintTerm = Log.termAt(Hint).value_or(0)});
}

} // namespace lycheetrestle::replication
