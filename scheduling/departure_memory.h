#ifndef LYCHEETRESTLE_SCHEDULING_DEPARTURE_MEMORY_H
#define LYCHEETRESTLE_SCHEDULING_DEPARTURE_MEMORY_H

#include "core/clock.h"
#include "scheduling/calls.h"

#include <cstddef>
#include <deque>
#include <utility>
#include <vector>

namespace lycheetrestle::scheduling {

/// Deregistrations that a scheduler refused because it did not lead. An
/// endpoint that gets no acknowledgement exits all the same, so this scheduler
/// needs them if it becomes the leader. They are not acknowledged and not
/// replicated.
class departure_memory {
public:
  /// Limit of the calls; the oldest are forgotten first. A call is below 1 KB.
  static constexpr std::size_t MaxCalls = 1024;
  /// Longer than the leases of a previous leader, which end what is forgotten.
  static constexpr core::duration Retention = std::chrono::seconds(30);

  /// Records a call that names its incarnation; without one it might be of an
  /// earlier incarnation than that at the next election.
  void record(const deregister_call &Call, core::time_point Now);
  /// \returns and forgets the calls, the oldest first.
  std::vector<deregister_call> take(core::time_point Now);

private:
  std::deque<std::pair<core::time_point, deregister_call>> Calls;
};

} // namespace lycheetrestle::scheduling

#endif
