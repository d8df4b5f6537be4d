#ifndef LYCHEETRESTLE_ENTRY_FRONTEND_MESSAGES_H
#define LYCHEETRESTLE_ENTRY_FRONTEND_MESSAGES_H

#include "routing/entry_router.h"

#include <cstdint>
#include <string>
#include <variant>

namespace lycheetrestle::entry {

/// The caller closed its connection before the router answered its request.
struct caller_disconnected {
  std::uint64_t Id = 0;
};

/// A parsed `POST /v1/announcements`.
struct announcement_call {
  std::uint64_t Id = 0;
  routing::announcement Announcement;
};

/// `GET /v1/status`.
struct status_call {
  std::uint64_t Id = 0;
};

/// A message from the HTTP thread to the routing thread.
using frontend_event =
    std::variant<routing::caller_request, caller_disconnected,
                 announcement_call, status_call>;

/// The response to an announcement_call or a status_call.
struct management_reply {
  std::uint64_t Id = 0;
  std::uint32_t Status = 200;
  std::string Body; ///< JSON.
};

/// A message from the routing thread to the HTTP thread.
using frontend_reply = std::variant<routing::caller_response, management_reply>;

} // namespace lycheetrestle::entry

#endif
