#ifndef LYCHEETRESTLE_SCHEDULING_HEARTBEAT_RELAY_H
#define LYCHEETRESTLE_SCHEDULING_HEARTBEAT_RELAY_H

#include "core/clock.h"
#include "scheduling/orders.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::scheduling {

/// A heartbeat and its id at the scheduler that received it.
struct relayed_heartbeat {
  std::uint64_t Id = 0;
  endpoint_heartbeat Heartbeat;
};

/// The leader's reply to a relayed heartbeat.
struct relayed_reply {
  std::uint64_t Id = 0;
  bool IsAccepted = false; ///< Otherwise the endpoint has to send it again.
};

/// Passes heartbeats that a scheduler without the lead receives on to the
/// leader, in batches. Without input or output.
///
/// Designed for a thousand endpoints that send a heartbeat every 1.5 s: an HTTP
/// request costs the leader twenty times as much as an item of a batch. A
/// heartbeat is acknowledged only when the leader has accepted it, so that an
/// acknowledgement means the same whoever received the heartbeat.
class heartbeat_relay {
public:
  /// \param IdOffset added to ids in messages. The leader may reply to a
  /// heartbeat of an earlier process with the same name, so each process takes
  /// a random one.
  explicit heartbeat_relay(std::uint64_t IdOffset = 0) : IdOffset(IdOffset) {}

  /// Adds a heartbeat.
  /// \param Id identifies it in this process.
  /// \param Heartbeat moved from if it is added.
  /// \returns false when too many are open; then it is not relayed.
  bool add(std::uint64_t Id, endpoint_heartbeat &Heartbeat,
           core::time_point Now);
  /// Call expire() before it.
  /// \returns the message with the heartbeats to pass on now, if some are due.
  std::optional<std::string> takeBatch(core::time_point Now);
  /// \returns the ids of the heartbeats without a reply in time.
  std::vector<std::uint64_t> expire(core::time_point Now);
  /// Forgets all heartbeats, for example when the leader is lost.
  /// \returns their ids.
  std::vector<std::uint64_t> clear();
  /// \param Reply a reply of the leader.
  /// \returns the id of the heartbeat if it was open; a later or repeated reply
  /// has none.
  std::optional<std::uint64_t> finish(const relayed_reply &Reply);

private:
  std::uint64_t IdOffset;
  std::vector<relayed_heartbeat> Batch;
  core::time_point BatchSince{};
  std::map<std::uint64_t, core::time_point> Open; ///< Since when, by id.
};

/// \returns whether the bytes are a message with heartbeats, valid or not.
bool isHeartbeatMessage(std::string_view Bytes);
/// \returns whether the bytes are a message with replies, valid or not.
bool isReplyMessage(std::string_view Bytes);
std::string encodeHeartbeats(const std::vector<relayed_heartbeat> &Heartbeats);
/// \returns the heartbeats, or nothing when the bytes are no valid message.
std::optional<std::vector<relayed_heartbeat>>
decodeHeartbeats(std::string_view Bytes);
std::string encodeReplies(const std::vector<relayed_reply> &Replies);
/// \returns the replies, or nothing when the bytes are no valid message.
std::optional<std::vector<relayed_reply>> decodeReplies(std::string_view Bytes);

} // namespace lycheetrestle::scheduling

#endif
