#ifndef LYCHEETRESTLE_CONTROL_CONTROL_FRAMES_H
#define LYCHEETRESTLE_CONTROL_CONTROL_FRAMES_H

#include "core/failure.h"
#include "replication/types.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lycheetrestle::control {

enum class frame_kind : std::uint8_t {
  Replication,  ///< Bytes are a message of raft_node.
  Join,         ///< The sender asks the leader to add it.
  ClusterQuery, ///< Asks whether the receiver belongs to a formed cluster.
  ClusterReply, ///< IsFormed answers it.
};

/// A message between two control replicas.
struct control_frame {
  frame_kind Kind = frame_kind::Replication;
  std::string Cluster;
  replication::replica_id From;
  /// Receiver of a Replication frame. A replica drops frames for an earlier
  /// incarnation of its name, because that one's votes and log are gone.
  replication::replica_id To;
  bool IsFormed = false;
  std::string Bytes;
};

/// \param Bytes a message from a link.
/// \returns whether it is a control frame. Frames are CBOR arrays, the messages
/// of entries are CBOR maps, so the first byte separates them.
bool isControlFrame(std::string_view Bytes);

/// \param Frame the frame to write.
/// \returns its CBOR bytes.
std::string encodeFrame(const control_frame &Frame);

/// \param Bytes bytes from a link.
/// \returns the frame, or Corrupt.
core::result<control_frame> decodeFrame(std::string_view Bytes);

} // namespace lycheetrestle::control

#endif
