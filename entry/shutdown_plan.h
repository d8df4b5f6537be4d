#ifndef LYCHEETRESTLE_ENTRY_SHUTDOWN_PLAN_H
#define LYCHEETRESTLE_ENTRY_SHUTDOWN_PLAN_H

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace lycheetrestle::entry {

/// Phases of a graceful shutdown, in order.
enum class shutdown_phase : std::uint8_t {
  Serving,   ///< No stop was requested.
  Lingering, ///< Not ready, but serving, until the load balancer stops routing.
  Refusing,  ///< New requests are refused; those in flight finish.
  Closing,   ///< No new connections; the last responses are written.
  Finished,  ///< Nothing is in flight.
  Aborted,   ///< Ended by a second stop request or the timeout.
};

/// \returns the name of the phase for the log.
std::string_view toString(shutdown_phase Phase);

/// Durations of a graceful shutdown.
struct shutdown_timing {
  core::duration Linger;  ///< Duration of the phase Lingering.
  core::duration Timeout; ///< From the first stop request to the end.
  /// Time without accepted requests in flight and without unwritten responses
  /// after which the phase Closing ends. A request may still arrive on an open
  /// connection.
  core::duration Quiet = std::chrono::milliseconds(200);
};

/// State machine of a graceful shutdown. It reads no clock and has no side
/// effects, so that tests can use virtual time.
class shutdown_plan {
public:
  explicit shutdown_plan(shutdown_timing Timing) : Timing(Timing) {}

  /// \param StopRequests the number of stop requests so far.
  /// \param IsIdle whether no accepted request is in flight. Refused requests
  /// do not count: otherwise callers that ignore the readiness could prevent
  /// the process from ending.
  /// \param IsFlushed whether all responses have been written.
  /// \param Now the current time; must not decrease between calls.
  /// \returns the new phase.
  shutdown_phase advance(std::uint32_t StopRequests, bool IsIdle,
                         bool IsFlushed, core::time_point Now);

private:
  shutdown_timing Timing;
  shutdown_phase Phase = shutdown_phase::Serving;
  core::time_point StoppedAt;
  std::optional<core::time_point> QuietSince;
};

} // namespace lycheetrestle::entry

#endif
