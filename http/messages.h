#ifndef LYCHEETRESTLE_HTTP_MESSAGES_H
#define LYCHEETRESTLE_HTTP_MESSAGES_H

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace lycheetrestle::http {

/// A header field of a request or response.
struct header {
  std::string Name;
  std::string Value;
  bool operator==(const header &) const = default;
};

/// An HTTP request, not yet interpreted by the application.
struct request {
  std::string Method;
  std::string Target; ///< Path and query.
  std::string Host;   ///< Value of the Host header, without a port.
  std::vector<header> Headers;
  std::string Body;
};

/// An HTTP response.
struct response {
  std::uint16_t Status = 0;
  std::vector<header> Headers;
  std::string Body;
};

/// \param Headers the headers of a message.
/// \param Name name of the header; case-insensitive.
/// \returns the value of the first match, or an empty string.
std::string findHeader(const std::vector<header> &Headers, const char *Name);

} // namespace lycheetrestle::http

#endif
