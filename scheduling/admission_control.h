#ifndef LYCHEETRESTLE_SCHEDULING_ADMISSION_CONTROL_H
#define LYCHEETRESTLE_SCHEDULING_ADMISSION_CONTROL_H

#include "core/clock.h"
#include "scheduling/waiting_index.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace lycheetrestle::scheduling {

/// How long the jobs of a queue may wait for their first start.
struct wait_limits {
  core::duration InTime{};   ///< To be in time.
  core::duration OfAnyUse{}; ///< To be of use at all.
};

/// Refuses jobs that a pool cannot serve while they are of use.
///
/// Designed for a queue that is offered several times what its pool, or the
/// scheduler, can start for some seconds. A job that has no chance costs the
/// time that others need, and its caller learns of it only after its deadline.
/// A job is refused when neither the tasks that are in time leave it a start in
/// time, nor all waiting tasks a start while it is of use: the late ones stand
/// behind it until it is late itself. The limits are those of the queue's
/// typical job, so that no size is refused before another.
/// A pool refuses only behind a backlog that has lasted for some time, so that
/// hosts that move to it can work that off, and only while tasks are started.
class admission_control {
public:
  /// Why a job is refused.
  struct refusal {
    waiting_tasks Ahead;
    double StartsPerS = 0;
    core::duration ExpectedWait{};
    core::duration RetryAfter{}; ///< By then a job would be accepted.
  };

  /// Records that a task of the pool that is not long-running was started.
  void recordStart(const std::string &Pool, core::time_point Now);
  /// Records whether tasks of the pool wait. Call it for each round of
  /// placement.
  void recordBacklog(const std::string &Pool, bool HasWaiting,
                     core::time_point Now);
  /// \param Priority of the job's queue.
  /// \param Limits of the queue's typical job.
  /// \returns why the job is to be refused, or nothing when it is accepted.
  std::optional<refusal> check(const std::string &Pool,
                               const task_backlog &Backlog,
                               std::uint32_t Priority,
                               const wait_limits &Limits,
                               core::time_point Now) const;

private:
  struct interval {
    core::time_point Begin{};
    std::uint64_t Starts = 0;
  };
  struct pool_record {
    std::deque<interval> Intervals; ///< Oldest first.
    std::optional<core::time_point> WaitingSince;
  };

  /// \returns the highest rate of the last seconds, or 0.
  static double startsPerS(const pool_record &Pool, core::time_point Now);

  std::map<std::string, pool_record> Pools;
};

} // namespace lycheetrestle::scheduling

#endif
