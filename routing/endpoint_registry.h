#ifndef LYCHEETRESTLE_ROUTING_ENDPOINT_REGISTRY_H
#define LYCHEETRESTLE_ROUTING_ENDPOINT_REGISTRY_H

#include "core/clock.h"
#include "routing/messages.h"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::routing {

struct registry_settings {
  core::duration Lease = std::chrono::milliseconds(3000);
  /// Records are kept this long after their lease expires, so that a late
  /// announcement cannot revive an endpoint that has stopped.
  core::duration Retention = std::chrono::seconds(60);
  std::size_t MaxEndpoints = 20000;
};

enum class announcement_result : std::uint8_t {
  Accepted,
  Outdated, ///< An equal or higher (incarnation, sequence) is known.
  Full,     ///< The registry holds its maximum of endpoints.
};

/// The endpoints that announced themselves, each with a lease.
class endpoint_registry {
public:
  explicit endpoint_registry(registry_settings Settings);

  /// Records an announcement. A repeated one can only extend the lease.
  /// \param Sent a lower bound of the time when the endpoint sent it; the lease
  /// counts from it.
  /// \param Now the current time.
  announcement_result apply(const announcement &Announcement,
                            core::time_point Sent, core::time_point Now);
  /// \returns the endpoint when its lease is valid and it is not leaving.
  const announcement *findUsable(std::string_view Endpoint,
                                 core::time_point Now) const;
  /// Calls a function with every usable endpoint of a service.
  void forEachUsable(
      std::string_view Service, core::time_point Now,
      const std::function<void(const announcement &)> &Function) const;
  /// \returns the newest announcement of each endpoint that was passed to
  /// addGossip() since the last call, with its age, for the other entries.
  std::vector<announcement> takeGossip(core::time_point Now);
  /// \returns whether a leaving endpoint is in the next gossip, which must then
  /// be sent at once.
  bool hasUrgentGossip() const { return UrgentGossip; }
  /// Adds an endpoint that announced itself at this entry to the next gossip.
  void addGossip(const announcement &Announcement);
  /// Removes records whose lease and retention have expired.
  void expire(core::time_point Now);
  std::size_t size() const { return Records.size(); }
  std::size_t usableCount(core::time_point Now) const;

private:
  struct record {
    announcement Last;
    core::time_point Sent;
  };
  bool isUsable(const record &Record, core::time_point Now) const;

  registry_settings Settings;
  std::map<std::string, record, std::less<>> Records;
  std::map<std::string, std::set<std::string>, std::less<>> ByService;
  std::set<std::string> Gossip;
  bool UrgentGossip = false;
};

} // namespace lycheetrestle::routing

#endif
