#include "control/control_frames.h"
#include "core/event_log.h"
#include "core/network_address.h"
#include "scheduling/schedule_node.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

constexpr core::duration JoinInterval = std::chrono::milliseconds(500);
// All schedulers of a deployment belong to one cluster.
constexpr const char *ClusterName = "schedulers";

bool isMember(const replication::membership &Members,
              const replication::replica_id &Id) {
  return std::any_of(Members.Members.begin(), Members.Members.end(),
                     [&](const auto &Member) { return Member.Id == Id; });
}

} // namespace

void schedule_node::sendFrame(const std::string &Peer, std::string Bytes,
                              const replication::replica_id &To) {
  control::control_frame Frame;
  Frame.Cluster = ClusterName;
  Frame.From = Self;
  Frame.To = To;
  Frame.Bytes = std::move(Bytes);
  Messages.push_back({Peer, control::encodeFrame(Frame)});
}

void schedule_node::receive(const std::string &Peer, std::string_view Bytes,
                            core::time_point Now) {
  auto Outcome = core::capture([&] { return control::decodeFrame(Bytes); });
  const auto *Frame = std::get_if<0>(&Outcome);
  bool IsJoin = Frame && Frame->Kind == control::frame_kind::Join;
  // Only a request to join may be forwarded by another replica.
  if (!Frame || Frame->Cluster != ClusterName ||
      (Frame->From.Name != Peer && !IsJoin)) {
    Metrics.add("messages_dropped_total");
    return;
  }
  Members.recordHeard(Peer, Now);
  if (IsJoin) {
    receiveJoin(Peer, Frame->From, Bytes, Now);
    return;
  }
  if (Frame->Kind != control::frame_kind::Replication || Frame->To != Self) {
    Metrics.add("messages_dropped_total");
    return;
  }
  Raft.receive(Frame->From, Frame->Bytes, Now);
  observeRole(Now);
}

void schedule_node::receiveJoin(const std::string &Peer,
                                const replication::replica_id &Replica,
                                std::string_view Bytes, core::time_point Now) {
  // All replicas connect to the name of a member.
  if (!core::isIpAddress(Replica.Name)) {
    Metrics.add("messages_dropped_total");
    return;
  }
  if (LeaderTerm != 0) {
    Members.recordJoinRequest(Replica, Now);
    return;
  }
  // The new replica may not be connected to the leader: forward its request.
  auto Known = leaderAddress();
  if (Replica.Name == Peer && !Known.empty() && Known != Self.Name)
    Messages.push_back({Known, std::string(Bytes)});
}

void schedule_node::requestJoin(core::time_point Now) {
  if (Now < NextJoin || LeaderTerm != 0)
    return;
  NextJoin = Now + JoinInterval;
  auto Status = Raft.status();
  if (isMember(Status.Members, Self) && !Status.IsRemoved)
    return;
  control::control_frame Frame;
  Frame.Kind = control::frame_kind::Join;
  Frame.Cluster = ClusterName;
  Frame.From = Self;
  for (const auto &Peer : LinkedPeers)
    Messages.push_back({Peer, control::encodeFrame(Frame)});
}

void schedule_node::changeMembers(core::time_point Now) {
  if (!Leader || ShutdownSince)
    return;
  auto Change = Members.next(Raft.status().Members, Self, Now,
                             [this](const replication::replica_id &Id) {
                               return Raft.hasCaughtUp(Id);
                             });
  if (!Change)
    return;
  // This fails while an earlier change is in progress; the next tick retries.
  auto Outcome =
      core::capture([&] { return Raft.proposeMembership(Change->Target); });
  if (const auto *Index = std::get_if<0>(&Outcome))
    core::logEvent(core::log_level::Info, "membership_proposed",
                   {{"change", Change->Kind},
                    {"replica", Change->Replica.Name},
                    {"incarnation", Change->Replica.Incarnation},
                    {"index", *Index}});
  else
    core::logEvent(core::log_level::Debug, "membership_not_proposed",
                   {{"change", Change->Kind},
                    {"replica", Change->Replica.Name},
                    {"reason", std::get<core::failure>(Outcome).Message}});
}

void schedule_node::addPeers(std::span<const std::string> Addresses) {
  for (const auto &Address : Addresses) {
    if (Address == Self.Name ||
        std::find(LinkedPeers.begin(), LinkedPeers.end(), Address) !=
            LinkedPeers.end())
      continue;
    LinkedPeers.push_back(Address);
    NewPeers.push_back(Address);
  }
}

void schedule_node::linkMembers() {
  std::vector<std::string> Names;
  for (const auto &Member : Raft.status().Members.Members)
    Names.push_back(Member.Id.Name);
  addPeers(Names);
}

} // namespace lycheetrestle::scheduling
