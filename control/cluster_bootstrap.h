#ifndef LYCHEETRESTLE_CONTROL_CLUSTER_BOOTSTRAP_H
#define LYCHEETRESTLE_CONTROL_CLUSTER_BOOTSTRAP_H

#include "control/control_settings.h"
#include "control/control_types.h"
#include "core/failure.h"
#include "storage/log_store.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::control {

/// Determines whether a peer of a new replica already belongs to a formed
/// cluster. Performs no I/O: the caller sends and receives the messages.
class cluster_check {
public:
  /// \param Settings the settings; every other control replica is a peer.
  explicit cluster_check(const control_settings &Settings);

  /// \returns a query for every peer that has not answered.
  std::vector<link_message> queries() const;
  /// Processes a message of a peer; bytes that are not a valid frame of this
  /// cluster are ignored.
  /// \param Peer name of the sender as the link reports it.
  /// \returns the reply to the query of a peer that bootstraps at the same
  /// time, or nothing.
  std::optional<link_message> receive(const std::string &Peer,
                                      std::string_view Bytes);
  /// \returns whether every peer answered.
  bool isComplete() const { return Answered.size() == Peers.size(); }
  /// \returns the name of a peer that belongs to a formed cluster, or empty.
  const std::string &formedPeer() const { return FormedPeer; }

private:
  std::string Cluster;
  replication::replica_id Self;
  std::set<std::string> Peers;
  std::set<std::string> Answered;
  std::string FormedPeer;
};

/// Creates the identity of a replica whose data folder is empty.
/// \param Settings the settings.
/// \param Initialize whether the replica bootstraps a new cluster.
/// \param Random a random number for the incarnation of a replica that joins.
/// \returns the identity to write into the folder.
storage::folder_identity newIdentity(const control_settings &Settings,
                                     bool Initialize, std::uint64_t Random);

/// Checks that a non-empty data folder belongs to this replica.
/// \param Found the identity in the folder.
/// \param Settings the settings.
/// \param Initialize whether the replica was started with --init, which needs
/// an empty folder.
/// \returns success, or Conflict with the setting that does not match.
core::result<void> checkIdentity(const storage::folder_identity &Found,
                                 const control_settings &Settings,
                                 bool Initialize);

} // namespace lycheetrestle::control

#endif
