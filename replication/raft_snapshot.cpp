#include "core/invariant.h"
#include "replication/raft_node_implementation.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::replication {

void raft_node::implementation::sendSnapshotPart(const replica_id &To,
                                                 progress &Progress) {
  const snapshot &Snapshot = *Progress.PendingSnapshot;
  snapshot_part Part;
  Part.Term = Hard.Term;
  Part.Round = Round;
  Part.LastIndex = Snapshot.LastIndex;
  Part.LastTerm = Snapshot.LastTerm;
  Part.Members = Snapshot.Members;
  Part.Total = Snapshot.State.size();
  Part.Offset = Progress.Offset;
  Part.Bytes =
      Snapshot.State.substr(Progress.Offset, Settings.SnapshotPartBytes);
  Progress.PartSent = true;
  send(To, std::move(Part));
}

void raft_node::implementation::onBody(const replica_id &From,
                                       const snapshot_part &Part,
                                       core::time_point Now) {
  if (Part.Total > Settings.MaxSnapshotBytes) {
    ++DroppedMessages;
    return;
  }
  if (Part.LastIndex <= Log.commitIndex() &&
      Log.termAt(Part.LastIndex).value_or(Part.LastTerm) != Part.LastTerm) {
    ++ConflictingMessages;
    return;
  }
  if (Part.Term > Hard.Term)
    becomeFollower(Part.Term, From, Now);
  if (!acceptLeader(From, Now))
    return;
  LeaderRound = std::max(LeaderRound, Part.Round);
  // The log already holds the entries that the snapshot covers, and they match
  // the leader's, so there is nothing to install.
  if (Part.LastIndex <= Log.commitIndex() ||
      Log.termAt(Part.LastIndex) == Part.LastTerm) {
    Incoming.reset();
    commitTo(Part.LastIndex);
    Matched = std::max(Matched, Part.LastIndex);
    replyMatch(Part.Round);
    return;
  }
  const auto IsSame = [&] {
    return Incoming && Incoming->Snapshot.LastIndex == Part.LastIndex &&
           Incoming->Snapshot.LastTerm == Part.LastTerm &&
           Incoming->Total == Part.Total;
  };
  if (!IsSame()) {
    Incoming.emplace();
    Incoming->Snapshot.LastIndex = Part.LastIndex;
    Incoming->Snapshot.LastTerm = Part.LastTerm;
    Incoming->Snapshot.Members = Part.Members;
    Incoming->Total = Part.Total;
  }
  // An early or duplicate part is ignored; the reply carries the next offset.
  std::string &State = Incoming->Snapshot.State;
  if (Part.Offset == State.size())
    State += Part.Bytes;
  // While the disk is full, each further snapshot would add a write with a copy
  // of the state. The leader sends the end of the snapshot, which has no bytes,
  // with each heartbeat until the disk has room.
  if (State.size() < Incoming->Total || isStorageBlocked()) {
    send(From,
         snapshot_reply{Hard.Term, Part.Round, Part.LastIndex, State.size()});
    return;
  }
  Log.install(std::move(Incoming->Snapshot));
  Incoming.reset();
  Matched = std::max(Matched, Part.LastIndex);
  replyMatch(Part.Round);
}

void raft_node::implementation::onBody(const replica_id &From,
                                       const snapshot_reply &Reply,
                                       core::time_point Now) {
  const auto Found = Followers.find(From);
  if (Role != raft_role::Leader || Found == Followers.end())
    return;
  progress &Progress = Found->second;
  if (!recordReply(Progress, Reply.Round, Now) ||
      Progress.Mode != progress_mode::Snapshot ||
      Reply.LastIndex != Progress.PendingSnapshot->LastIndex)
    return;
  if (Reply.NextOffset > Progress.PendingSnapshot->State.size()) {
    ++DroppedMessages;
    return;
  }
  if (Reply.NextOffset == Progress.Offset && Progress.PartSent)
    return; // Outdated; the part in flight is not sent twice.
  // A smaller offset means that the follower lost the parts that it had.
  Progress.Offset = Reply.NextOffset;
  Progress.PartSent = false;
}

} // namespace lycheetrestle::replication
