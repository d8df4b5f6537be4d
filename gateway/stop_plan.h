#ifndef LYCHEETRESTLE_GATEWAY_STOP_PLAN_H
#define LYCHEETRESTLE_GATEWAY_STOP_PLAN_H

#include "core/clock.h"

#include <cstdint>
#include <string_view>

namespace lycheetrestle::gateway {

/// Phases of a stop, in order.
enum class stop_phase : std::uint8_t {
  Serving,   ///< No stop was requested.
  Lingering, ///< Not ready, but serving; responses close their connections.
  Refusing,  ///< New requests are refused as not run; open ones are finished.
  Finished,  ///< Requests that are still open get their last answer.
};

/// \returns the name of the phase for the log.
std::string_view toString(stop_phase Phase);

/// Bounds of a stop.
struct stop_timing {
  core::duration Linger; ///< Duration of the phase Lingering.
  core::duration Drain;  ///< Longest duration of the phase Refusing.
};

/// Decides when a gateway enters the phases of its stop. It reads no clock.
class stop_plan {
public:
  explicit stop_plan(stop_timing Timing) : Timing(Timing) {}

  /// \param StopRequests number of stop requests so far; the second one ends
  /// the wait for open requests.
  /// \param HasOpenRequests whether a request that was read has no response.
  /// \param Now the current time; must not decrease between calls.
  /// \returns the phase, which never goes back.
  stop_phase advance(int StopRequests, bool HasOpenRequests,
                     core::time_point Now);

private:
  stop_timing Timing;
  stop_phase Phase = stop_phase::Serving;
  core::time_point StoppedAt{};
};

} // namespace lycheetrestle::gateway

#endif
