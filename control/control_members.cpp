#include "control/control_loop.h"

#include "core/event_log.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::control {

namespace {

// Interval of the join requests of a replica that is not a member.
constexpr core::duration JoinInterval = std::chrono::seconds(1);

const replication::member *findMember(const replication::membership &Members,
                                      const replication::replica_id &Id) {
  for (const auto &Member : Members.Members)
    if (Member.Id == Id)
      return &Member;
  return nullptr;
}

} // namespace

void control_loop::sendFrame(const std::string &Peer, control_frame Frame) {
  Frame.Cluster = Settings.Cluster;
  Frame.From = Self;
  Messages.push_back({Peer, encodeFrame(Frame)});
}

void control_loop::receiveFrame(const std::string &Peer, std::string_view Bytes,
                                core::time_point Now) {
  auto Outcome = core::capture([&] { return decodeFrame(Bytes); });
  const auto *Frame = std::get_if<0>(&Outcome);
  if (!Frame || Frame->Cluster != Settings.Cluster ||
      Frame->From.Name != Peer || !findReplica(Peer)) {
    Metrics.add("messages_dropped_total");
    return;
  }
  switch (Frame->Kind) {
  case frame_kind::Replication:
    if (Frame->To != Self) {
      Metrics.add("messages_dropped_total");
      return;
    }
    Raft.receive(Frame->From, Frame->Bytes, Now);
    observeRole(Now);
    return;
  case frame_kind::Join:
    if (isLeader())
      Joining[Peer] = Frame->From;
    return;
  case frame_kind::ClusterQuery: {
    control_frame Reply;
    Reply.Kind = frame_kind::ClusterReply;
    Reply.IsFormed = isFormed();
    sendFrame(Peer, std::move(Reply));
    return;
  }
  case frame_kind::ClusterReply:
    return; // Expected only by cluster_check during a start with --init.
  case frame_kind::Founding:
  case frame_kind::Observe:
  case frame_kind::Status:
    return; // Only between schedulers.
  }
}

void control_loop::requestJoin(core::time_point Now) {
  if (Now < NextJoin || isLeader())
    return;
  NextJoin = Now + JoinInterval;
  if (findMember(Raft.status().Members, Self))
    return;
  for (const auto &Replica : Settings.Controls) {
    if (Replica.Name == Self.Name)
      continue;
    control_frame Frame;
    Frame.Kind = frame_kind::Join;
    sendFrame(Replica.Name, std::move(Frame));
  }
}

void control_loop::changeMembers(core::time_point) {
  if (AppliedIndex < LeaderStartIndex || ShutdownSince)
    return;
  auto Members = Raft.status().Members;
  for (auto Join = Joining.begin(); Join != Joining.end();) {
    const auto &Id = Join->second;
    if (findMember(Members, Id)) {
      Join = Joining.erase(Join);
      continue;
    }
    auto Target = Members;
    auto Earlier = std::find_if(
        Target.Members.begin(), Target.Members.end(),
        [&](const replication::member &M) { return M.Id.Name == Id.Name; });
    // The earlier incarnation lost its disk. It is removed first, so that both
    // incarnations never count in the same quorum.
    if (Earlier != Target.Members.end()) {
      auto Lost = Earlier->Id;
      Target.Members.erase(Earlier);
      proposeMembers(Target, "remove_lost", Lost);
    } else {
      Target.Members.push_back({Id, false});
      proposeMembers(Target, "add_learner", Id);
    }
    return;
  }
  for (std::size_t Index = 0; Index != Members.Members.size(); ++Index) {
    const auto &Member = Members.Members[Index];
    if (Member.Voter || !Raft.hasCaughtUp(Member.Id))
      continue;
    auto Target = Members;
    Target.Members[Index].Voter = true;
    proposeMembers(Target, "promote", Member.Id);
    return;
  }
}

void control_loop::proposeMembers(const replication::membership &Target,
                                  std::string_view Change,
                                  const replication::replica_id &Replica) {
  // Fails with Conflict while an earlier change is pending; the next tick
  // retries.
  auto Outcome = core::capture([&] { return Raft.proposeMembership(Target); });
  const auto *Index = std::get_if<0>(&Outcome);
  if (!Index)
    return;
  core::logEvent(core::log_level::Info, "membership_proposed",
                 {{"change", Change},
                  {"replica", Replica.Name},
                  {"incarnation", Replica.Incarnation},
                  {"index", *Index}});
}

} // namespace lycheetrestle::control
