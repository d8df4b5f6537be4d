#ifndef LYCHEETRESTLE_RECONCILER_HOST_STEPS_H
#define LYCHEETRESTLE_RECONCILER_HOST_STEPS_H

#include "reconciler/round.h"

namespace lycheetrestle::reconciler {

/// Memory about hosts that a new leader rebuilds.
struct host_tracking {
  /// Since when the platform has reported the host Down, or not at all.
  std::map<std::string, core::time_point, std::less<>> DownSince;
  struct confirmation {
    std::uint64_t Epoch = 0;
    core::time_point Since{};
  };
  /// Since when a majority of the entries has confirmed a cordon.
  std::map<std::string, confirmation, std::less<>> ConfirmedSince;
};

/// Proposes `failed` for hosts that were lost. It runs before all planned
/// steps, because losses count against the budget first.
void planLosses(round &Round, host_tracking &Tracking);

/// Takes each host that is out of service one step further, and repeats the
/// orders of its state.
void planLifeCycle(round &Round, host_tracking &Tracking);

/// Repeats the orders of the current states; used while the platform cannot be
/// reached and nothing new may start.
void repeatOrders(round &Round, host_tracking &Tracking);

/// Starts what operators asked for, and moves hosts whose declared home is
/// another pool.
void planGoals(round &Round);

} // namespace lycheetrestle::reconciler

#endif
