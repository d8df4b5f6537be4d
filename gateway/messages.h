#ifndef LYCHEETRESTLE_GATEWAY_MESSAGES_H
#define LYCHEETRESTLE_GATEWAY_MESSAGES_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheetrestle::gateway {

/// From a scheduler to each gateway that is linked to it, regularly.
struct status_message {
  bool IsLeading = false; ///< The sender takes calls.
  std::uint64_t Term = 0;
  std::vector<std::string> Schedulers; ///< IP addresses of all schedulers.
  bool operator==(const status_message &) const = default;
};

/// A caller's request, from a gateway to the leader. Every call may be sent
/// again: a job is known by its id.
struct call_message {
  std::uint64_t Id = 0;
  std::string Method;
  std::string HostName;
  std::string Target;
  std::string Body;
  bool operator==(const call_message &) const = default;
};

struct reply_message {
  std::uint64_t Id = 0;
  bool IsHandled = false;  ///< Otherwise another scheduler must be asked.
  bool MayHaveRun = false; ///< Not handled, but it may take effect.
  std::uint16_t Status = 0;
  std::uint32_t RetryAfterS = 0; ///< 0: no such header.
  std::string Body;
  bool operator==(const reply_message &) const = default;
};

using message = std::variant<status_message, call_message, reply_message>;

/// Name of a gateway's link.
std::string linkName(std::string_view Address);
/// \returns whether a link belongs to a gateway.
bool isGateway(std::string_view LinkName);

/// \returns CBOR bytes.
std::string encodeMessage(const message &Message);
/// \returns the message, or nothing when the bytes are malformed.
std::optional<message> decodeMessage(std::string_view Bytes);

} // namespace lycheetrestle::gateway

#endif
