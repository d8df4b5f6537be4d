#ifndef LYCHEETRESTLE_ENTRY_READINESS_GATE_H
#define LYCHEETRESTLE_ENTRY_READINESS_GATE_H

#include "core/clock.h"

#include <optional>

namespace lycheetrestle::entry {

/// Holds the readiness back after a start or a freeze. The router is ready as
/// soon as its configuration is fresh, but it learns of the endpoints only from
/// their announcements, which come each second; until then it refuses every
/// request.
class readiness_gate {
public:
  /// \param RouterReady whether the router may serve.
  /// \param Now the time, never earlier than in the last call.
  /// \returns whether the load balancer may send callers here.
  bool update(bool RouterReady, core::time_point Now);

private:
  // One interval of the announcements, and the batches between the entries.
  static constexpr auto WarmUp = std::chrono::milliseconds(1200);
  // A gap in the calls after which leases may have run out unnoticed.
  static constexpr auto MaxGap = std::chrono::milliseconds(1000);

  std::optional<core::time_point> LastUpdate;
  core::time_point NotReadyUntil;
};

} // namespace lycheetrestle::entry

#endif
