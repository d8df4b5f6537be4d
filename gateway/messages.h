#ifndef LYCHEETRESTLE_GATEWAY_MESSAGES_H
#define LYCHEETRESTLE_GATEWAY_MESSAGES_H

#include "workspaces/key_digest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheetrestle::gateway {

/// Sent periodically by a scheduler to each connected gateway. A gateway sends
/// one, with only the leader's address, to a scheduler whose status lacks the
/// leader.
struct status_message {
  bool IsLeading = false; ///< Whether the sender accepts calls.
  std::uint64_t Term = 0;
  std::vector<std::string> Schedulers; ///< IP addresses of all schedulers.
  bool operator==(const status_message &) const = default;
};

/// A caller's request, sent by a gateway to the leader. Resending a call is
/// safe because jobs are identified by id.
struct call_message {
  std::uint64_t Id = 0; ///< Chosen by the gateway, returned in the reply.
  std::string Method;
  std::string HostName;
  std::string Target; ///< Path and query of the request.
  std::string Body;
  workspaces::key_digest KeyDigest = {}; ///< Of the caller's key, or empty.
  bool operator==(const call_message &) const = default;
};

/// A scheduler's response to a call.
struct reply_message {
  std::uint64_t Id = 0;
  /// If not set, the sender does not lead or the outcome is unknown, and the
  /// call must go to the next leader.
  bool IsHandled = false;
  /// The call was not handled but may still take effect.
  bool MayHaveRun = false;
  std::uint16_t Status = 0;
  std::uint32_t RetryAfterS = 0; ///< Retry-After in seconds; 0 sends none.
  std::string Body;
  bool operator==(const reply_message &) const = default;
};

using message = std::variant<status_message, call_message, reply_message>;

/// \param Address IP address of a gateway.
/// \returns the name under which the gateway connects to schedulers.
std::string linkName(std::string_view Address);
/// \returns whether the name has the prefix that linkName() adds.
bool isGateway(std::string_view LinkName);

/// \returns the message as CBOR.
std::string encodeMessage(const message &Message);
/// \returns the message, or nothing when the bytes are malformed.
std::optional<message> decodeMessage(std::string_view Bytes);

} // namespace lycheetrestle::gateway

#endif
