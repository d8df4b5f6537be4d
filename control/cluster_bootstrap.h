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

/// Asks the peers of a new replica whether they belong to a formed cluster.
class cluster_check {
public:
  explicit cluster_check(const control_settings &Settings);

  /// \returns a query for every peer that has not answered.
  std::vector<link_message> queries() const;
  /// Takes a message of a peer in.
  /// \returns the reply to a peer that checks at the same time.
  std::optional<link_message> receive(const std::string &Peer,
                                      std::string_view Bytes);
  /// \returns whether every peer answered.
  bool isComplete() const { return Answered.size() == Peers.size(); }
  /// \returns the peer that belongs to a formed cluster, or empty.
  const std::string &formedPeer() const { return FormedPeer; }

private:
  std::string Cluster;
  replication::replica_id Self;
  std::set<std::string> Peers;
  std::set<std::string> Answered;
  std::string FormedPeer;
};

/// \param Settings the settings.
/// \param Initialize whether the replica founds a new cluster.
/// \param Random a random number for the incarnation of a replica that joins.
/// \returns the identity for an empty data folder.
storage::folder_identity newIdentity(const control_settings &Settings,
                                     bool Initialize, std::uint64_t Random);

/// Checks that a data folder belongs to this replica.
/// \param Found the identity in the folder.
/// \param Settings the settings.
/// \param Initialize refused, because the folder is not empty.
core::result<void> checkIdentity(const storage::folder_identity &Found,
                                 const control_settings &Settings,
                                 bool Initialize);

} // namespace lycheetrestle::control

#endif
