#ifndef LYCHEETRESTLE_SCHEDULING_RELAY_MESSAGES_H
#define LYCHEETRESTLE_SCHEDULING_RELAY_MESSAGES_H

#include "http/client.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheetrestle::scheduling {

/// Calls that the receiver makes for the sender.
struct lent_calls {
  std::vector<http::client_call> Calls;
};

/// Results of lent calls, on the way back.
struct lent_results {
  std::vector<http::client_result> Results;
};

using relay_message = std::variant<lent_calls, lent_results>;

/// \returns a CBOR map, which no control frame is.
std::string encodeRelay(const relay_message &Message);
/// \returns the message, or nothing when the bytes are malformed. The time at
/// which a call was issued is not part of it.
std::optional<relay_message> decodeRelay(std::string_view Bytes);

} // namespace lycheetrestle::scheduling

#endif
