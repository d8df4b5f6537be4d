#ifndef LYCHEETRESTLE_SCHEDULING_JOB_ORDER_H
#define LYCHEETRESTLE_SCHEDULING_JOB_ORDER_H

#include "scheduling/duration_models.h"
#include "scheduling/schedule_state.h"

#include <compare>
#include <cstdint>
#include <string_view>

namespace lycheetrestle::scheduling {

/// Values of job_rank::Group.
constexpr std::uint8_t LongRunningGroup = 0;
constexpr std::uint8_t InTimeGroup = 1;
constexpr std::uint8_t LateGroup = 2;

/// Scheduling rank of a job's occurrence; smaller ranks are placed first. The
/// members are compared in the order of their declaration.
///
/// Designed for a pool whose load is twice its capacity for some seconds: work
/// that can still meet its objective goes before work that cannot, and
/// long-running tasks, which are few and serve others, go before both.
struct job_rank {
  std::uint8_t Group = LongRunningGroup;
  std::uint32_t Priority = 0;
  std::int64_t RemainingWork = 0; ///< Core-milliseconds.
  /// Wall time up to which the occurrence counts as in time; for long-running
  /// jobs the time at which the occurrence was due to start.
  std::int64_t LatestStartMs = 0;
  // clang-tidy 14 reports a variable inside the generated function.
  // NOLINTNEXTLINE(readability-identifier-naming)
  auto operator<=>(const job_rank &) const = default;
};

/// \param Rank rank of an occurrence without long-running steps.
/// \returns its group at a wall time.
constexpr std::uint8_t groupAt(const job_rank &Rank, std::int64_t NowMs) {
  return NowMs <= Rank.LatestStartMs ? InTimeGroup : LateGroup;
}

/// \param Occurrence its completed steps count as zero.
/// \returns the expected duration in milliseconds of the longest chain of
/// dependent steps that are not done.
std::int64_t remainingCriticalPathMs(const job_spec &Spec,
                                     const occurrence_record &Occurrence,
                                     const duration_model &Model);

/// \returns the expected duration in milliseconds of the longest chain of
/// dependent steps.
std::int64_t criticalPathMs(const job_spec &Spec, const duration_model &Model);

/// \returns the work of one occurrence in core-seconds by the expected
/// durations, without long-running steps.
double workCoreSeconds(const job_spec &Spec, const duration_model &Model);

/// \returns the work that is not done, in core-milliseconds by the expected
/// durations.
std::int64_t remainingWork(const job_spec &Spec,
                           const occurrence_record &Occurrence,
                           const duration_model &Model);

/// \param Job the job that Occurrence belongs to.
/// \param Queue its queue, or null when it was removed.
/// \param Model duration model of the queue.
/// \param NowMs wall time.
/// \returns the rank of the occurrence's waiting tasks.
job_rank rankOf(const job_record &Job, const occurrence_record &Occurrence,
                const queue_spec *Queue, const duration_model &Model,
                std::int64_t NowMs);

} // namespace lycheetrestle::scheduling

#endif
