#ifndef LYCHEETRESTLE_SCHEDULING_PLACEMENT_REPORT_H
#define LYCHEETRESTLE_SCHEDULING_PLACEMENT_REPORT_H

#include "scheduling/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace lycheetrestle::scheduling {

/// Why a round of placement left a waiting task without an endpoint. The
/// reasons are checked in this order; the one named is that of the endpoint
/// that came closest.
enum class placement_failure : std::uint8_t {
  NoEndpoint,     ///< The pool has no endpoint that accepts new runs.
  Size,           ///< No endpoint has room for a task of this size.
  Label,          ///< No endpoint with room has the required label.
  Reserved,       ///< Only endpoints reserved for suspects have room.
  Spread,         ///< The limit of tasks of the step on each endpoint.
  OrderedHost,    ///< An order may still interrupt each host with room.
  Contact,        ///< An endpoint with room has not answered recently.
  Advice,         ///< No valid ticket of the adviser.
  GangRoom,       ///< Not all members of the gang fit at the same time.
  Deferred,       ///< Waits after a refused start.
  Trial,          ///< A suspect that waits for a trial.
  WorkspaceLimit, ///< The workspace of the job is at its limit.
  Skipped,        ///< The round ended before it was tried.
  Count
};

/// What a round of placement did with the waiting steps of a pool.
struct placement_counts {
  std::size_t Tried = 0;  ///< Steps that were looked at.
  std::size_t Placed = 0; ///< Tasks.
  /// Steps that ended with a task without a place, by reason.
  std::array<std::size_t, static_cast<std::size_t>(placement_failure::Count)>
      Failed{};
  std::size_t &operator[](placement_failure Reason) {
    return Failed[static_cast<std::size_t>(Reason)];
  }
};

/// Result of a round of placement, for the log.
struct placement_report {
  std::map<std::string, placement_counts> Pools; ///< By name.
  /// Why a long-running step was not placed, by its first waiting task.
  std::map<task_key, placement_failure> LongRunning;
};

} // namespace lycheetrestle::scheduling

#endif
