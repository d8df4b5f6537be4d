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
  /// Records are kept so long after their lease, so that late news about an
  /// endpoint that is gone cannot revive it.
  core::duration Retention = std::chrono::seconds(60);
  std::size_t MaxEndpoints = 20000;
};

enum class announcement_result : std::uint8_t {
  Accepted,
  Outdated, ///< A higher (incarnation, sequence) is known.
  Full,     ///< The registry holds its maximum of endpoints.
};

/// The endpoints that announced themselves, each under a lease.
class endpoint_registry {
public:
  explicit endpoint_registry(registry_settings Settings);

  /// \param Announcement the announcement.
  /// \param Sent a time at or before the moment when the endpoint sent it; the
  /// lease counts from it.
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
  /// \returns the endpoints that announced themselves here since the last call,
  /// with their ages, for the other entries.
  std::vector<announcement> takeGossip(core::time_point Now);
  /// \returns whether gossip waits that must not be delayed.
  bool hasUrgentGossip() const { return UrgentGossip; }
  /// Marks an endpoint that announced itself here for the next gossip.
  void addGossip(const announcement &Announcement);
  /// Forgets records that ended long ago.
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
