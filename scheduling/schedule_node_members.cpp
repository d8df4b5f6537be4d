#include "control/control_frames.h"
#include "core/event_log.h"
#include "core/network_address.h"
#include "gateway/messages.h"
#include "replication/membership_rules.h"
#include "scheduling/schedule_node.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

constexpr core::duration JoinInterval = std::chrono::milliseconds(500);
// Until the cluster is founded nothing can be accepted.
constexpr core::duration FoundingInterval = std::chrono::milliseconds(200);
// A new leader waits for this time at most until it knows the availability
// zones of the others.
constexpr core::duration ReportInterval = std::chrono::milliseconds(2000);

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

void schedule_node::sendFrame(const std::string &Peer, control::frame_kind Kind,
                              std::string Bytes) {
  control::control_frame Frame;
  Frame.Kind = Kind;
  Frame.Cluster = ClusterName;
  Frame.From = Self;
  Frame.Bytes = std::move(Bytes);
  Messages.push_back({Peer, control::encodeFrame(Frame)});
}

void schedule_node::receive(const std::string &Peer, std::string_view Bytes,
                            core::time_point Now) {
  auto Outcome = core::capture([&] { return control::decodeFrame(Bytes); });
  const auto *Frame = std::get_if<0>(&Outcome);
  bool IsJoin = Frame && Frame->Kind == control::frame_kind::Join;
  // Only a request to join may be forwarded by another scheduler.
  if (!Frame || Frame->Cluster != ClusterName ||
      (Frame->From.Name != Peer && !IsJoin)) {
    Metrics.add("messages_dropped_total");
    return;
  }
  // After the loss of its disk a replica may have seeds that know no leader,
  // while the members still connect to its address.
  if (Frame->Kind == control::frame_kind::Replication)
    addPeers({&Peer, 1});
  switch (Frame->Kind) {
  case control::frame_kind::Join:
    receiveJoin(Peer, *Frame, Bytes, Now);
    return;
  case control::frame_kind::Founding:
    receiveFounding(Peer, Frame->Bytes, Now);
    return;
  case control::frame_kind::Observe:
    linkObserver(Peer);
    sendStatus(Peer);
    return;
  case control::frame_kind::Replication:
    if (Frame->To != Self)
      break;
    Members.recordHeard(Frame->From, Now);
    Raft.receive(Frame->From, Frame->Bytes, Now);
    observeRole(Now);
    return;
  default:
    break;
  }
  Metrics.add("messages_dropped_total");
}

void schedule_node::receiveJoin(const std::string &Peer,
                                const control::control_frame &Frame,
                                std::string_view Bytes, core::time_point Now) {
  const auto &Replica = Frame.From;
  // All replicas connect to the name of a member.
  if (!core::isIpAddress(Replica.Name)) {
    Metrics.add("messages_dropped_total");
    return;
  }
  bool IsDirect = Replica.Name == Peer;
  if (Acceptor && IsDirect && !Frame.IsFormed) {
    Acceptor->recordCandidate({Replica, Frame.Bytes}, Now);
    sendFrame(Peer, control::frame_kind::Founding,
              encodeFounding(Acceptor->describe(Now)));
  }
  if (LeaderTerm != 0) {
    Members.recordJoinRequest(Replica, Frame.Bytes, Now);
    return;
  }
  // The new replica may not be connected to the leader: forward its request.
  auto Known = leaderAddress();
  if (IsDirect && !Known.empty() && Known != Self.Name)
    Messages.push_back({Known, std::string(Bytes)});
}

void schedule_node::receiveFounding(const std::string &Peer,
                                    std::string_view Bytes,
                                    core::time_point Now) {
  auto Message = decodeFounding(Bytes);
  if (!Message) {
    Metrics.add("messages_dropped_total");
    return;
  }
  if (Acceptor)
    if (auto Answer = Acceptor->receive(*Message))
      sendFrame(Peer, control::frame_kind::Founding, encodeFounding(*Answer));
  if (Proposer) {
    // The settings of a later start may name other seeds than the acceptors.
    if (Message->Seeds.size() <= replication::MaxMembers)
      for (const auto &Seed : Message->Seeds)
        if (core::isIpAddress(Seed))
          addPeers({&Seed, 1});
    Proposer->receive(Peer, *Message, Now);
  }
  found(Now);
}

void schedule_node::found(core::time_point Now) {
  if (!Proposer)
    return;
  if (Raft.status().LastIndex != 0) {
    // The leader has added this replica, or has sent the log of an initial
    // voter that was not told that it is one.
    Proposer.reset();
    return;
  }
  Proposer->tick(Now);
  while (true) {
    auto Outgoing = Proposer->takeMessages();
    if (Outgoing.empty())
      break;
    for (const auto &[Peer, Message] : Outgoing) {
      if (Peer != Self.Name) {
        sendFrame(Peer, control::frame_kind::Founding, encodeFounding(Message));
        continue;
      }
      if (!Acceptor)
        continue;
      if (auto Answer = Acceptor->receive(Message))
        Proposer->receive(Self.Name, *Answer, Now);
    }
  }
  const auto &Voters = Proposer->decided();
  if (!Voters || !isMember(*Voters, Self) || !Raft.bootstrap(*Voters))
    return;
  core::logEvent(
      core::log_level::Info, "cluster_founded",
      {{"voters", Voters->Members.size()}, {"incarnation", Self.Incarnation}});
  Proposer.reset();
}

void schedule_node::sendStatus(const std::string &Peer) {
  auto Current = Raft.status();
  gateway::status_message Status;
  Status.IsLeading = isLeading() && !ShutdownSince;
  Status.Term = Current.Term;
  for (const auto &Member : Current.Members.Members)
    Status.Schedulers.push_back(Member.Id.Name);
  sendFrame(Peer, control::frame_kind::Status, gateway::encodeMessage(Status));
}

void schedule_node::linkObserver(const std::string &Address) {
  if (core::isIpAddress(Address) && LinkedObservers.insert(Address).second)
    NewPeers.push_back(Address);
}

void schedule_node::requestJoin(core::time_point Now) {
  if (Now < NextJoin || LeaderTerm != 0)
    return;
  auto Status = Raft.status();
  control::control_frame Frame;
  Frame.Kind = control::frame_kind::Join;
  Frame.Cluster = ClusterName;
  Frame.From = Self;
  Frame.IsFormed = Status.LastIndex != 0;
  Frame.Bytes = Settings.Zone;
  auto Known = leaderAddress();
  if (isMember(Status.Members, Self) && !Status.IsRemoved && !Known.empty()) {
    // Tells the leader the availability zone.
    NextJoin = Now + ReportInterval;
    Messages.push_back({Known, control::encodeFrame(Frame)});
    return;
  }
  // A replica that was removed while it was down may know no present leader
  // that would tell it so: without a leader it asks to join, too.
  NextJoin = Now + (Proposer ? FoundingInterval : JoinInterval);
  for (const auto &Peer : LinkedPeers)
    Messages.push_back({Peer, control::encodeFrame(Frame)});
  if (!Acceptor || !Proposer)
    return;
  Acceptor->recordCandidate({Self, Settings.Zone}, Now);
  Proposer->receive(Self.Name, Acceptor->describe(Now), Now);
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
