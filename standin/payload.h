#ifndef LYCHEETRESTLE_STANDIN_PAYLOAD_H
#define LYCHEETRESTLE_STANDIN_PAYLOAD_H

#include <cstddef>
#include <string>
#include <string_view>

namespace lycheetrestle::standin {

/// \param Id correlation id of the request that the response belongs to.
/// \param Size length of the payload in bytes.
/// \returns a body of the form `id=... length=... crc=...` and the payload,
/// whose content depends on the id.
std::string makePayload(std::string_view Id, std::size_t Size);

/// Result of checking a response body.
enum class payload_check {
  Good,
  Corrupt, ///< The form, length or checksum is wrong.
  Foreign, ///< Intact, but of another request.
};

/// \param Body the received body.
/// \param Id correlation id of the request that was sent.
payload_check checkPayload(std::string_view Body, std::string_view Id);

} // namespace lycheetrestle::standin

#endif
