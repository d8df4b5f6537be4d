#ifndef LYCHEETRESTLE_ROUTING_FLEET_VIEW_H
#define LYCHEETRESTLE_ROUTING_FLEET_VIEW_H

#include "routing/messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lycheetrestle::routing {

/// The part of the fleet's state that an entry uses. Its version never
/// decreases.
class fleet_view {
public:
  /// Applies changes. The delta must have been requested with an index that
  /// this view has reached; an older delta is ignored.
  /// \returns whether anything changed.
  bool apply(const view_delta &Delta);
  /// \param KnownIndex the index that the requester holds.
  /// \returns the changes since then, full when hosts were removed since.
  view_delta deltaSince(std::uint64_t KnownIndex) const;

  /// \returns the version of the view.
  std::uint64_t index() const { return Index; }
  std::uint64_t declarationNumber() const { return Number; }
  const host_view *findHost(std::string_view Name) const;
  const fleet::service_spec *findService(std::string_view Name) const;
  const std::map<std::string, fleet::service_spec, std::less<>> &
  services() const {
    return Services;
  }
  /// \returns whether an endpoint of the service on the host may get new work:
  /// the host is in service and belongs to the pool of the service.
  bool allowsWork(std::string_view Service, std::string_view Host) const;

private:
  void replaceServices(const std::vector<fleet::service_spec> &List,
                       std::uint64_t AtIndex);

  std::uint64_t Index = 0;
  std::uint64_t Number = 0;
  std::uint64_t ServicesIndex = 0; ///< At or after their last change.
  std::uint64_t RemovalIndex = 0;  ///< At or after the last removal of a host.
  std::map<std::string, host_view, std::less<>> Hosts;
  std::map<std::string, fleet::service_spec, std::less<>> Services;
};

} // namespace lycheetrestle::routing

#endif
