#ifndef LYCHEETRESTLE_HTTP_MESSAGES_H
#define LYCHEETRESTLE_HTTP_MESSAGES_H

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace lycheetrestle::http {

struct header {
  std::string Name;
  std::string Value;
  bool operator==(const header &) const = default;
};

/// A request as it crosses a socket, without any meaning.
struct request {
  std::string Method;
  std::string Target; ///< Path with the query.
  std::string Host;   ///< Value of the Host header, without a port.
  std::vector<header> Headers;
  std::string Body;
};

struct response {
  std::uint16_t Status = 0;
  std::vector<header> Headers;
  std::string Body;
};

/// \param Headers the headers of a message.
/// \param Name the header's name, compared without regard to case.
/// \returns its value, or an empty string.
std::string findHeader(const std::vector<header> &Headers, const char *Name);

} // namespace lycheetrestle::http

#endif
