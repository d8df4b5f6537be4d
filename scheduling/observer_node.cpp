#include "scheduling/observer_node.h"

#include "core/network_address.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

// Belongs to no replica.
constexpr std::uint64_t ObserverIncarnation = 0;

} // namespace

observer_node::observer_node(const scheduler_settings &Settings) {
  Self = {Settings.Address, ObserverIncarnation};
  addPeers(Settings.Seeds);
  bool IsSeed = std::find(Settings.Seeds.begin(), Settings.Seeds.end(),
                          Settings.Address) != Settings.Seeds.end();
  if (Settings.IsFounding && IsSeed)
    Acceptor.emplace(Settings.Seeds);
}

void observer_node::addPeers(std::span<const std::string> Addresses) {
  for (const auto &Address : Addresses) {
    if (Address == Self.Name ||
        std::find(Peers.begin(), Peers.end(), Address) != Peers.end())
      continue;
    Peers.push_back(Address);
    Actions.NewPeers.push_back(Address);
  }
}

void observer_node::addReplicas(std::span<const std::string> Addresses) {
  for (const auto &Address : Addresses) {
    if (!core::isIpAddress(Address) || Address == Self.Name)
      continue;
    addPeers({&Address, 1});
    Replicas.try_emplace(Address);
  }
}

void observer_node::linkChanged(const std::string &Peer, bool IsUp) {
  if (!IsUp) {
    LinkedPeers.erase(Peer);
    return;
  }
  LinkedPeers.insert(Peer);
  send(Peer, control::frame_kind::Observe, "");
}

void observer_node::send(const std::string &Peer, control::frame_kind Kind,
                         std::string Bytes) {
  control::control_frame Frame;
  Frame.Kind = Kind;
  Frame.Cluster = ClusterName;
  Frame.From = Self;
  Frame.Bytes = std::move(Bytes);
  Actions.Messages.push_back({Peer, control::encodeFrame(Frame)});
}

void observer_node::receive(const std::string &Peer, std::string_view Bytes,
                            core::time_point Now) {
  auto Outcome = core::capture([&] { return control::decodeFrame(Bytes); });
  const auto *Frame = std::get_if<0>(&Outcome);
  if (!Frame || Frame->Cluster != ClusterName || Frame->From.Name != Peer)
    return;
  if (Frame->Kind == control::frame_kind::Join) {
    receiveJoin(Peer, *Frame, Bytes, Now);
  } else if (Frame->Kind == control::frame_kind::Founding) {
    auto Message = decodeFounding(Frame->Bytes);
    if (!Acceptor || !Message)
      return;
    if (auto Answer = Acceptor->receive(*Message))
      send(Peer, control::frame_kind::Founding, encodeFounding(*Answer));
  } else if (Frame->Kind == control::frame_kind::Status) {
    auto Message = gateway::decodeMessage(Frame->Bytes);
    auto *Status =
        Message ? std::get_if<gateway::status_message>(&*Message) : nullptr;
    if (!Status)
      return;
    addReplicas(Status->Schedulers);
    if (Frame->From.Incarnation != ObserverIncarnation) {
      addReplicas({&Peer, 1});
      Replicas[Peer] = {std::move(*Status), Now};
    }
  } else if (Frame->Kind == control::frame_kind::Observe) {
    // The seeds of the sender may all be hosts without a disk.
    gateway::status_message Status;
    Status.Schedulers = replicas();
    send(Peer, control::frame_kind::Status, gateway::encodeMessage(Status));
  }
}

void observer_node::receiveJoin(const std::string &Peer,
                                const control::control_frame &Frame,
                                std::string_view Bytes, core::time_point Now) {
  // A host with a disk may know more schedulers than the seeds do.
  addPeers({&Peer, 1});
  if (Acceptor && !Frame.IsFormed) {
    Acceptor->recordCandidate({Frame.From, Frame.Bytes}, Now);
    send(Peer, control::frame_kind::Founding,
         encodeFounding(Acceptor->describe(Now)));
  }
  if (auto Leader = leader(Now); !Leader.empty()) {
    if (Leader != Peer)
      Actions.Messages.push_back({Leader, std::string(Bytes)});
    return;
  }
  for (const auto &[Address, View] : Replicas)
    if (Address != Peer)
      Actions.Messages.push_back({Address, std::string(Bytes)});
}

void observer_node::tick(core::time_point Now) {
  if (Now < NextObserve)
    return;
  NextObserve = Now + ObserveInterval;
  std::set<std::string> Asked(Peers.begin(), Peers.end());
  // Without a leader, any process that is linked may know more than the peers.
  if (leader(Now).empty())
    Asked.insert(LinkedPeers.begin(), LinkedPeers.end());
  for (const auto &Peer : Asked)
    send(Peer, control::frame_kind::Observe, "");
}

observer_actions observer_node::takeActions() {
  return std::exchange(Actions, {});
}

std::string observer_node::leader(core::time_point Now) const {
  std::string Best;
  std::uint64_t Term = 0;
  for (const auto &[Address, View] : Replicas) {
    if (!View.Status.IsLeading || Now - View.At > LeaderTimeout ||
        View.Status.Term < Term)
      continue;
    Best = Address;
    Term = View.Status.Term;
  }
  return Best;
}

std::vector<std::string> observer_node::replicas() const {
  std::vector<std::string> Result;
  for (const auto &[Address, View] : Replicas)
    Result.push_back(Address);
  return Result;
}

} // namespace lycheetrestle::scheduling
