#ifndef LYCHEETRESTLE_SCHEDULING_OBSERVER_NODE_H
#define LYCHEETRESTLE_SCHEDULING_OBSERVER_NODE_H

#include "control/control_frames.h"
#include "core/clock.h"
#include "gateway/messages.h"
#include "scheduling/founding_acceptor.h"
#include "scheduling/schedule_node.h"
#include "scheduling/scheduler_settings.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::scheduling {

/// What the driver of an observer_node must do.
struct observer_actions {
  std::vector<peer_message> Messages;
  std::vector<std::string> NewPeers; ///< IP addresses to connect to.
};

/// A scheduler on a host without a disk. It is no replica: it has no log and no
/// state, never votes and acknowledges nothing. It knows the leader, forwards
/// requests to join, and may take part as a seed in the choice of the initial
/// voters. Single-threaded and without input or output; the driver executes
/// the observer_actions.
class observer_node {
public:
  /// Interval of the requests for a status.
  static constexpr core::duration ObserveInterval =
      std::chrono::milliseconds(500);
  /// A leader that has not said for this time that it leads is not known.
  static constexpr core::duration LeaderTimeout =
      std::chrono::milliseconds(1500);

  explicit observer_node(const scheduler_settings &Settings);

  /// Adds schedulers to connect to. None is ever removed.
  void addPeers(std::span<const std::string> Addresses);
  /// Adds schedulers with a disk that another process knows.
  void addReplicas(std::span<const std::string> Addresses);
  /// Handles that the link to a scheduler came up or went down. A scheduler
  /// that opened the link itself is asked for its status, too.
  void linkChanged(const std::string &Peer, bool IsUp);
  /// Handles a control frame.
  /// \param Peer name of the sending scheduler according to the link.
  void receive(const std::string &Peer, std::string_view Bytes,
               core::time_point Now);
  /// Handles time-outs; due at nextTick() at the latest.
  void tick(core::time_point Now);
  core::time_point nextTick() const { return NextObserve; }
  /// \returns what to do since the last call.
  observer_actions takeActions();

  /// \returns the IP address of the leader, or an empty string.
  std::string leader(core::time_point Now) const;
  /// \returns the IP addresses of all schedulers that are known to have a disk.
  std::vector<std::string> replicas() const;

private:
  struct replica_view {
    gateway::status_message Status;
    core::time_point At{};
  };

  void send(const std::string &Peer, control::frame_kind Kind,
            std::string Bytes);
  void receiveJoin(const std::string &Peer, const control::control_frame &Frame,
                   std::string_view Bytes, core::time_point Now);

  replication::replica_id Self;
  std::optional<founding_acceptor> Acceptor;
  std::vector<std::string> Peers;
  std::set<std::string> LinkedPeers;
  std::map<std::string, replica_view> Replicas; ///< By IP address.
  core::time_point NextObserve{};
  observer_actions Actions;
};

} // namespace lycheetrestle::scheduling

#endif
