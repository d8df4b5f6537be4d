#ifndef LYCHEETRESTLE_ROUTING_SERVICE_OWNER_H
#define LYCHEETRESTLE_ROUTING_SERVICE_OWNER_H

#include <set>
#include <string>
#include <string_view>

namespace lycheetrestle::routing {

/// Chooses the entry that brokers a service by rendezvous hashing, so that the
/// loss of an entry moves only the services that it owned.
/// \param Service the service.
/// \param LiveEntries the entries to choose from.
/// \returns the owner, or an empty string without entries.
std::string serviceOwner(std::string_view Service,
                         const std::set<std::string> &LiveEntries);

} // namespace lycheetrestle::routing

#endif
