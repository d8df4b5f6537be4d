#ifndef LYCHEETRESTLE_SCHEDULING_HOST_ORDER_LIMITS_H
#define LYCHEETRESTLE_SCHEDULING_HOST_ORDER_LIMITS_H

#include "core/clock.h"

namespace lycheetrestle::scheduling {

/// Time-out of a call to the platform.
constexpr core::duration PlatformTimeout = std::chrono::milliseconds(1500);
/// An order to a host without an answer, or of an earlier leader, may still
/// take effect for this time: the time-out of a call, and as long again in
/// queues of the platform.
constexpr core::duration HostOrderLifetime = 2 * PlatformTimeout;

} // namespace lycheetrestle::scheduling

#endif
