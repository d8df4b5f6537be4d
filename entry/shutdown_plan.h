#ifndef LYCHEETRESTLE_ENTRY_SHUTDOWN_PLAN_H
#define LYCHEETRESTLE_ENTRY_SHUTDOWN_PLAN_H

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace lycheetrestle::entry {

enum class shutdown_phase : std::uint8_t {
  Serving,
  Lingering, ///< Not ready any more, so the load balancer moves callers away.
  Refusing,  ///< New requests are refused; those in flight finish.
  Closing,   ///< No new connections; the last responses are written.
  Finished,  ///< Nothing is in flight.
  Aborted,   ///< A second stop request, or the timeout.
};

std::string_view toString(shutdown_phase Phase);

struct shutdown_timing {
  core::duration Linger;
  core::duration Timeout; ///< From the first stop request to the end.
  /// In the phase Closing it must stay idle for this long, because a request
  /// may be on its way on a connection that is still open.
  core::duration Quiet = std::chrono::milliseconds(200);
};

/// Decides the steps of a graceful shutdown. It is pure, so that tests drive
/// it with a virtual clock.
class shutdown_plan {
public:
  explicit shutdown_plan(shutdown_timing Timing) : Timing(Timing) {}

  /// \param StopRequests the number of stop requests so far.
  /// \param IsIdle whether no accepted request is in flight. A refused one
  /// does not count: callers that ignore the readiness would otherwise keep
  /// the process from ending.
  /// \param IsFlushed whether also all responses are written.
  /// \param Now the time, never earlier than in the last call.
  /// \returns the phase from now on.
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
