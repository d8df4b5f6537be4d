#ifndef LYCHEETRESTLE_SCHEDULING_DELEGATION_MESSAGES_H
#define LYCHEETRESTLE_SCHEDULING_DELEGATION_MESSAGES_H

#include "http/client.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheetrestle::scheduling {

/// Calls that the receiver makes for the sender.
struct delegated_calls {
  std::vector<http::client_call> Calls;
};

/// Results of lent calls, on the way back.
struct delegated_results {
  std::vector<http::client_result> Results;
};

using delegation_message = std::variant<delegated_calls, delegated_results>;

/// \returns a CBOR map, which no control frame is.
std::string encodeDelegation(const delegation_message &Message);
/// \returns the message, or nothing when the bytes are malformed. The time at
/// which a call was issued is not part of it.
std::optional<delegation_message> decodeDelegation(std::string_view Bytes);

} // namespace lycheetrestle::scheduling

#endif
