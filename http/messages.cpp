#include "http/messages.h"

#include <strings.h>

namespace lycheetrestle::http {

std::string findHeader(const std::vector<header> &Headers, const char *Name) {
  for (const auto &Header : Headers)
    if (strcasecmp(Header.Name.c_str(), Name) == 0)
      return Header.Value;
  return {};
}

} // namespace lycheetrestle::http
