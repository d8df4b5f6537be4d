#ifndef LYCHEETRESTLE_ADMISSION_ADMISSION_H
#define LYCHEETRESTLE_ADMISSION_ADMISSION_H

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace lycheetrestle::admission {

/// Groups of committed work in the order in which it is started.
enum class work_group : std::uint8_t { InTime, Late, OverRate, Expired };

/// What sorts committed work before the lottery of its jobs.
struct work_class {
  work_group Group = work_group::InTime;
  std::uint32_t Priority = 0; ///< 0 is the highest priority.
  // clang-tidy 14 reports a variable inside the generated function.
  // NOLINTNEXTLINE(readability-identifier-naming)
  auto operator<=>(const work_class &) const = default;
};

/// Work of some jobs that is not running.
struct work_sum {
  std::int64_t CoreMs = 0;
  std::int64_t Jobs = 0;
};

/// Work to which a pool is committed. Work of accepted jobs is never given up.
struct committed_work {
  std::map<work_class, work_sum> Waiting; ///< No entry is empty.
  /// Expected rest of what is running, without long-running tasks.
  std::int64_t RunningCoreMs = 0;

  /// Adds the work of a job, or removes it with negative amounts.
  void add(work_class Class, std::int64_t CoreMs, std::int64_t Jobs);
  committed_work &operator+=(const committed_work &Other);
  committed_work &operator-=(const committed_work &Other);
};

/// State of a pool for the decision on a job.
struct pool_load {
  bool IsKnown = false; ///< Otherwise every job is accepted.
  /// Cores of the endpoints that accept runs, in thousandths, without those of
  /// long-running tasks.
  std::int64_t MilliCores = 0;
  std::int64_t FreeMilliCores = 0;
  /// Cores of the hosts that move to the pool or can be moved to it, and the
  /// earliest time at which they can run tasks.
  std::int64_t JoiningMilliCores = 0;
  std::int64_t JoiningMs = 0;
  committed_work Committed;
  /// Factor from predicted completion times to the earliest likely ones, see
  /// completion_calibration::lowRatio().
  double LowRatio = 1;
};

/// What a submitted job asks for.
struct job_demand {
  std::string_view Id;
  std::int64_t CoreMs = 0; ///< Work by the expected durations.
  /// Expected duration of the longest chain of dependent steps.
  std::int64_t CriticalPathMs = 0;
  /// Cores of its widest step with all tasks at once, in thousandths.
  std::int64_t WidthMilliCores = 0;
  std::int64_t LatestInTimeStartMs = 0; ///< Wall time; it counts as late after.
  /// Wall time after which its completion is of no use to the caller.
  std::int64_t LatestUsefulEndMs = 0;
  std::uint32_t Priority = 0; ///< 0 is the highest priority.
  /// Its draw in the lottery that orders jobs of one group and priority.
  std::int64_t Ticket = 0;
  bool IsOverRate = false;
  bool IsLongRunning = false; ///< Never refused.
};

enum class refusal_reason : std::uint8_t {
  TooLate,  ///< It would end after it is of any use.
  OverRate, ///< It exceeds its workspace's rate and would delay other work.
};

/// \returns a fixed name for logs and metrics.
std::string_view toString(refusal_reason Reason);

/// Decision on a job.
struct decision {
  std::optional<refusal_reason> Refusal; ///< Empty: accept.
  std::uint32_t RetryAfterS = 0;         ///< Of a refusal.
  /// Time from now to its end as estimated, without calibration.
  std::int64_t PredictedMs = 0;
  std::int64_t WaitMs = 0; ///< The part of PredictedMs before its first start.
};

/// Limits of decision::RetryAfterS.
constexpr std::uint32_t MinRetryAfterS = 1;
constexpr std::uint32_t MaxRetryAfterS = 33;

/// \returns the time in milliseconds in which the pool, with the hosts that
/// join it, completes the work.
std::int64_t drainMs(const pool_load &Load, std::int64_t CoreMs);

/// Decides whether to accept a job.
///
/// Designed for pools that get several times their capacity for some seconds.
/// A job is refused only when it would certainly end after it is of any use:
/// the work that is ordered before it now, without what is submitted later,
/// takes until then even if it completes as early as calibration makes likely.
/// Priority, deadline and work decide through the order: what is placed last,
/// and so refused first, has the lowest priority, the most work or the shortest
/// deadline. A job above the rate of its workspace is refused as soon as other
/// work waits that it would delay.
/// \param NowMs wall time.
decision decide(const pool_load &Load, const job_demand &Job,
                std::int64_t NowMs);

} // namespace lycheetrestle::admission

#endif
