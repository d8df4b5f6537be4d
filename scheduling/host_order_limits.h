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
/// How long a list is awaited that shows whether an unanswered order took
/// effect; lists follow each other within half of it while the platform
/// answers.
constexpr core::duration MaxListWait = std::chrono::seconds(1);

} // namespace lycheetrestle::scheduling

#endif
