#ifndef LYCHEETRESTLE_ROUTING_ENDPOINT_SOURCE_H
#define LYCHEETRESTLE_ROUTING_ENDPOINT_SOURCE_H

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::routing {

/// An endpoint and the number of requests that it executes at once.
struct endpoint_slots {
  std::string Endpoint;
  std::uint32_t Slots = 0;
};

/// Supplies a broker with the endpoints that may get new work.
class endpoint_source {
public:
  virtual ~endpoint_source() = default;
  /// \returns the endpoints of a service that have a valid lease, are not
  /// leaving, and run on a host that accepts work.
  virtual std::vector<endpoint_slots> eligible(std::string_view Service,
                                               core::time_point Now) const = 0;
};

} // namespace lycheetrestle::routing

#endif
