#ifndef LYCHEETRESTLE_ENTRY_READINESS_GATE_H
#define LYCHEETRESTLE_ENTRY_READINESS_GATE_H

#include "core/clock.h"

#include <optional>

namespace lycheetrestle::entry {

/// Delays readiness after a start or a suspension of the process. The router is
/// ready as soon as its configuration is fresh, but it discovers the endpoints
/// only through their announcements, which arrive once per second; until then
/// it refuses every request.
class readiness_gate {
public:
  /// \param RouterReady whether the router is ready.
  /// \param Now the current time; must not decrease between calls.
  /// \returns whether the load balancer may route callers to this entry.
  bool update(bool RouterReady, core::time_point Now);

private:
  // One announcement interval, plus the delay of forwarding announcements
  // between the entries in batches.
  static constexpr auto WarmUp = std::chrono::milliseconds(1200);
  // Longest time between two calls. After a longer gap, leases may have expired
  // unnoticed.
  static constexpr auto MaxGap = std::chrono::milliseconds(1000);

  std::optional<core::time_point> LastUpdate;
  core::time_point NotReadyUntil;
};

} // namespace lycheetrestle::entry

#endif
