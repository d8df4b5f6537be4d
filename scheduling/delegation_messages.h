#ifndef LYCHEETRESTLE_SCHEDULING_DELEGATION_MESSAGES_H
#define LYCHEETRESTLE_SCHEDULING_DELEGATION_MESSAGES_H

#include "http/client.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheetrestle::scheduling {

/// Calls that the sender delegates to the receiver.
struct delegated_calls {
  std::vector<http::client_call> Calls;
};

/// Results of delegated calls.
struct delegated_results {
  std::vector<http::client_result> Results;
};

using delegation_message = std::variant<delegated_calls, delegated_results>;

/// \returns a CBOR map, which distinguishes it from a control frame.
std::string encodeDelegation(const delegation_message &Message);
/// \returns the message, or nothing when the bytes are malformed. The `Issued`
/// times of the calls are not transferred.
std::optional<delegation_message> decodeDelegation(std::string_view Bytes);

} // namespace lycheetrestle::scheduling

#endif
