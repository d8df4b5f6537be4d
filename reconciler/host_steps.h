#ifndef LYCHEETRESTLE_RECONCILER_HOST_STEPS_H
#define LYCHEETRESTLE_RECONCILER_HOST_STEPS_H

#include "reconciler/round.h"

namespace lycheetrestle::reconciler {

/// Observations of hosts that are not replicated; a new leader rebuilds them.
struct host_tracking {
  /// Since when the platform has reported the host Down or not at all, by host.
  std::map<std::string, core::time_point, std::less<>> DownSince;
  struct confirmation {
    std::uint64_t Epoch = 0;
    core::time_point Since{};
  };
  /// Since when a majority of the entries has confirmed the cordon under Epoch,
  /// by host.
  std::map<std::string, confirmation, std::less<>> ConfirmedSince;
};

/// Proposes the state Failed for hosts that were lost or whose operation timed
/// out. It must run before all planned steps, because losses use up the budget
/// first.
void planLosses(round &Round, host_tracking &Tracking);

/// Proposes the next state of each host that is out of service, or repeats the
/// order of its present state.
void planLifeCycle(round &Round, host_tracking &Tracking);

/// Repeats the orders of the present states. Used while the platform is
/// unreachable and no new operation may start.
void repeatOrders(round &Round, host_tracking &Tracking);

/// Starts the operations that operators requested, and moves hosts whose
/// declared home is another pool, up to the limit of parallel hosts.
void planGoals(round &Round);

} // namespace lycheetrestle::reconciler

#endif
