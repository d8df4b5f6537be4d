#ifndef LYCHEETRESTLE_CONTROL_CONTROL_FRAMES_H
#define LYCHEETRESTLE_CONTROL_CONTROL_FRAMES_H

#include "core/failure.h"
#include "replication/types.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lycheetrestle::control {

/// Kind of a control_frame; its number is sent on the link.
enum class frame_kind : std::uint8_t {
  Replication,  ///< Bytes holds a message of raft_node.
  Join,         ///< Requests that the leader adds the sender as a member.
  ClusterQuery, ///< Queries whether the receiver is in a formed cluster.
  ClusterReply, ///< Reply to a ClusterQuery: IsFormed.
  Founding,     ///< Bytes holds a message about the initial voters.
  Observe,      ///< Requests a Status.
  Status,       ///< Bytes holds the sender's view of leader and members.
};

/// A message between two control replicas.
struct control_frame {
  frame_kind Kind = frame_kind::Replication;
  std::string Cluster; ///< Name of the sender's cluster.
  replication::replica_id From;
  /// Receiver of a Replication frame. A replica drops frames for an earlier
  /// incarnation of its name, because the votes and the log of that
  /// incarnation are lost.
  replication::replica_id To;
  /// Only in a ClusterReply, and in a Join of a scheduler that has a log.
  bool IsFormed = false;
  /// The message of the kind; the availability zone in a Join of a scheduler.
  std::string Bytes;
};

/// \param Bytes a message from a link.
/// \returns whether it is a control frame. Frames are CBOR arrays and messages
/// of entries are CBOR maps, so the first byte distinguishes them.
bool isControlFrame(std::string_view Bytes);

/// \param Frame the frame to write.
/// \returns its CBOR bytes.
std::string encodeFrame(const control_frame &Frame);

/// \param Bytes a message from a link.
/// \returns the frame, or Corrupt when the bytes are not a valid frame.
core::result<control_frame> decodeFrame(std::string_view Bytes);

} // namespace lycheetrestle::control

#endif
