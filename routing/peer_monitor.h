#ifndef LYCHEETRESTLE_ROUTING_PEER_MONITOR_H
#define LYCHEETRESTLE_ROUTING_PEER_MONITOR_H

#include "core/clock.h"
#include "routing/endpoint_registry.h"
#include "routing/entry_router.h"
#include "routing/fleet_view.h"
#include "routing/freshness_guard.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::routing {

/// Probes the other entries and control, and exchanges gossip with the entries.
/// Tracks the live entries and the leader of control, and applies the view
/// changes and announcements that peers send.
class peer_monitor {
public:
  /// Keeps references to all arguments. Messages of peers update View, Guard
  /// and Registry.
  peer_monitor(const router_settings &Settings, fleet_view &View,
               freshness_guard &Guard, endpoint_registry &Registry);

  /// The link to a peer went up or down.
  void onPeerChange(const std::string &Peer, bool IsUp, core::time_point Now);
  void onProbeReply(const std::string &Peer, const probe_reply &Reply,
                    core::time_point Now);
  void onPeerProbe(const std::string &Peer, const peer_probe &Probe,
                   core::time_point Now);
  void onPeerReply(const std::string &Peer, const peer_reply &Reply,
                   core::time_point Now);
  void onAnnouncements(const std::string &Peer, const announcements &Batch,
                       core::time_point Now);
  /// A peer returned a request because it is shutting down.
  void onPeerStopping(const std::string &Peer);
  void beginShutdown() { IsStopping = true; }
  /// Sends the probes and the gossip that are due.
  void tick(core::time_point Now);
  /// Sends gossip at once if it reports a leaving endpoint.
  void sendUrgentGossip(core::time_point Now);

  /// \returns the entries that can own services: the peers that serve and
  /// answer probes, and this entry when it serves. An entry that is shutting
  /// down and fresh is included only when there is no other.
  std::set<std::string> liveEntries(core::time_point Now) const;
  /// \returns the control replica that leads, or an empty string.
  std::string leader(core::time_point Now) const;
  bool isServing(core::time_point Now) const {
    return !IsStopping && Guard.isFresh(Now);
  }
  bool isEntry(std::string_view Peer) const {
    return Entries.find(Peer) != Entries.end();
  }
  bool isControl(std::string_view Peer) const {
    return Controls.find(Peer) != Controls.end();
  }
  std::vector<outgoing> takeMessages();

private:
  struct peer_state {
    bool IsUp = false;
    bool IsServing = false;
    std::optional<core::time_point>
        AnsweredProbeSent;       ///< Newest answered probe.
    std::uint64_t LastNonce = 0; ///< Newest nonce received from the peer.
  };
  void sendPeerProbes(core::time_point Now);
  void sendControlProbes(core::time_point Now);
  void sendGossip(core::time_point Now);

  const router_settings &Settings;
  fleet_view &View;
  freshness_guard &Guard;
  endpoint_registry &Registry;
  std::map<std::string, peer_state, std::less<>> Entries; ///< Other entries.
  /// Whether the link to each control replica is up.
  std::map<std::string, bool, std::less<>> Controls;
  std::string Leader;
  std::optional<core::time_point> LeaderProbeSent;
  std::optional<core::time_point> LastConfirmed;
  std::optional<core::time_point> LastControlProbes;
  std::optional<core::time_point> LastPeerProbes;
  std::optional<core::time_point> LastGossip;
  bool IsStopping = false;
  std::vector<outgoing> Messages;
};

} // namespace lycheetrestle::routing

#endif
