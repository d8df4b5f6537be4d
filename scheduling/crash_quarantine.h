#ifndef LYCHEETRESTLE_SCHEDULING_CRASH_QUARANTINE_H
#define LYCHEETRESTLE_SCHEDULING_CRASH_QUARANTINE_H

#include "core/clock.h"
#include "scheduling/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace lycheetrestle::scheduling {

/// An endpoint on which suspect tasks may be placed.
struct quarantine_endpoint {
  std::uint32_t Endpoint = 0;
  std::string Host;
  std::uint32_t Runs = 0;
  std::uint32_t LongRunning = 0; ///< Runs among them that do not end soon.
};

/// A suspect task, or the suspect members of a gang.
struct quarantined_task {
  task_key Task;              ///< Index is 0 for a gang.
  std::int64_t RanMs = 0;     ///< Shortest time from a start to a crash.
  std::uint32_t Crash = 0;    ///< Number of the incarnation that crashed last.
  std::int64_t StartedMs = 0; ///< Wall time of its newest start.
  std::set<std::string> CrashedHosts;
  /// Endpoints on which it is on trial; empty while it waits.
  std::vector<std::uint32_t> Endpoints;
};

struct quarantine_plan {
  /// Where tasks may start now. The others wait.
  std::map<task_key, std::uint32_t> Starts;
  /// Endpoints on which nothing else may be placed.
  std::set<std::uint32_t> Reserved;
};

/// \returns how long a suspect task has to be at work before it may have
/// neighbours.
/// \param RanMs shortest time from its starts to the crashes: a task that
/// crashes endpoints usually does it at the same time after each start.
core::duration trialTime(std::int64_t RanMs);

/// Decides where the suspect tasks of one pool may start.
///
/// Designed for a task that crashes each endpoint within milliseconds of its
/// start, on endpoints with about a dozen runs: the crash makes all of them
/// suspect, one of them rightly. Each suspect starts alone on an endpoint, so
/// that the next crash proves which task it was and loses no other run. At most
/// a third of the endpoints hold suspects at a time, so that many suspects do
/// not take the pool from the other tasks.
class crash_quarantine {
public:
  /// \param Endpoints the endpoints of the pool that accept new runs.
  /// \param Tasks the suspect tasks of the pool that wait or are on trial.
  /// \param MayRun whether the task may run on the endpoint once that is empty.
  quarantine_plan
  plan(std::span<const quarantine_endpoint> Endpoints,
       std::span<const quarantined_task> Tasks,
       const std::function<bool(const task_key &, std::uint32_t)> &MayRun,
       core::time_point Now);

private:
  struct reservation {
    std::uint32_t Endpoint = 0;
    core::time_point Since{};
  };
  /// Endpoints that are to become empty, by the task that waits for them.
  std::map<task_key, reservation> Reservations;
};

} // namespace lycheetrestle::scheduling

#endif
