#include "control/cluster_bootstrap.h"

#include "control/control_frames.h"

namespace lycheetrestle::control {

namespace {

// Incarnation of the initial voters. Replicas that join later get a larger one,
// so that votes of an initial voter are never counted for its replacement.
constexpr std::uint64_t FirstIncarnation = 1;

core::failure conflict(std::string Message, std::string Field,
                       std::string Value) {
  return {core::error_code::Conflict, std::move(Message), std::move(Field),
          std::move(Value), core::verdict::NotRun};
}

} // namespace

cluster_check::cluster_check(const control_settings &Settings)
    : Cluster(Settings.Cluster), Self{Settings.Name, FirstIncarnation} {
  for (const auto &Replica : Settings.Controls)
    if (Replica.Name != Settings.Name)
      Peers.insert(Replica.Name);
}

std::vector<link_message> cluster_check::queries() const {
  std::vector<link_message> Messages;
  control_frame Frame;
  Frame.Kind = frame_kind::ClusterQuery;
  Frame.Cluster = Cluster;
  Frame.From = Self;
  for (const auto &Peer : Peers)
    if (Answered.find(Peer) == Answered.end())
      Messages.push_back({Peer, encodeFrame(Frame)});
  return Messages;
}

std::optional<link_message> cluster_check::receive(const std::string &Peer,
                                                   std::string_view Bytes) {
  if (!isControlFrame(Bytes) || Peers.find(Peer) == Peers.end())
    return std::nullopt;
  auto Outcome = core::capture([&] { return decodeFrame(Bytes); });
  const auto *Frame = std::get_if<0>(&Outcome);
  if (!Frame || Frame->Cluster != Cluster)
    return std::nullopt;
  if (Frame->Kind == frame_kind::ClusterReply) {
    Answered.insert(Peer);
    if (Frame->IsFormed)
      FormedPeer = Peer;
    return std::nullopt;
  }
  if (Frame->Kind != frame_kind::ClusterQuery)
    return std::nullopt;
  control_frame Reply;
  Reply.Kind = frame_kind::ClusterReply;
  Reply.Cluster = Cluster;
  Reply.From = Self;
  return link_message{Peer, encodeFrame(Reply)};
}

storage::folder_identity newIdentity(const control_settings &Settings,
                                     bool Initialize, std::uint64_t Random) {
  storage::folder_identity Identity;
  Identity.ClusterId = Settings.Cluster;
  Identity.Replica.Name = Settings.Name;
  if (!Initialize) {
    Identity.Replica.Incarnation =
        Random > FirstIncarnation ? Random : FirstIncarnation + 1;
    return Identity;
  }
  Identity.Replica.Incarnation = FirstIncarnation;
  for (const auto &Replica : Settings.Controls)
    Identity.Initial.Members.push_back(
        {{Replica.Name, FirstIncarnation}, true});
  return Identity;
}

core::result<void> checkIdentity(const storage::folder_identity &Found,
                                 const control_settings &Settings,
                                 bool Initialize) {
  if (Initialize)
    return core::fail(conflict("--init requires an empty data folder",
                               "data_folder", Settings.DataFolder));
  if (Found.ClusterId != Settings.Cluster)
    return core::fail(
        conflict("the data folder belongs to another cluster than the one in "
                 "the settings",
                 "cluster", Found.ClusterId));
  if (Found.Replica.Name != Settings.Name)
    return core::fail(
        conflict("the data folder belongs to another replica than the one in "
                 "the settings",
                 "name", Found.Replica.Name));
  return {};
}

} // namespace lycheetrestle::control
