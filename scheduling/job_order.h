#ifndef LYCHEETRESTLE_SCHEDULING_JOB_ORDER_H
#define LYCHEETRESTLE_SCHEDULING_JOB_ORDER_H

#include "scheduling/duration_models.h"
#include "scheduling/schedule_state.h"

#include <compare>
#include <cstdint>
#include <string_view>

namespace lycheetrestle::scheduling {

/// Place of a job in the order of service: smaller goes first.
///
/// Answers the load of a pool that is asked for twice its capacity for some
/// seconds: work that can still be in time goes before work that cannot, and
/// long-running tasks, which are few and serve others, go before both.
struct job_rank {
  std::uint8_t Group = 0; ///< 0 long-running, 1 in time, 2 late.
  std::uint32_t Priority = 0;
  std::int64_t RemainingWork = 0; ///< Core-milliseconds.
  std::int64_t LatestStartMs = 0; ///< Wall time.
  // clang-tidy 14 reports a variable inside the generated function.
  // NOLINTNEXTLINE(readability-identifier-naming)
  auto operator<=>(const job_rank &) const = default;
};

/// \returns the group at a time of a rank that is not long-running.
constexpr std::uint8_t groupAt(const job_rank &Rank, std::int64_t NowMs) {
  return NowMs <= Rank.LatestStartMs ? 1 : 2;
}

/// Duration of the longest chain of steps from a step on.
/// \param Occurrence what is done already; its steps no longer count.
/// \returns milliseconds by the expected durations.
std::int64_t remainingCriticalPathMs(const job_spec &Spec,
                                     const occurrence_record &Occurrence,
                                     const duration_model &Model);

/// \param Spec the job.
/// \returns the longest chain of all its steps in milliseconds.
std::int64_t criticalPathMs(const job_spec &Spec, const duration_model &Model);

/// \returns the work of one occurrence by the expected durations, without
/// long-running steps.
double workCoreSeconds(const job_spec &Spec, const duration_model &Model);

/// \returns the work that is not done, in core-milliseconds.
std::int64_t remainingWork(const job_spec &Spec,
                           const occurrence_record &Occurrence,
                           const duration_model &Model);

/// \param Job the job that Occurrence belongs to.
/// \param Queue its queue, or null when it was removed.
/// \param Model how long its tasks take.
/// \param NowMs wall time.
/// \returns the rank of the occurrence's waiting tasks.
job_rank rankOf(const job_record &Job, const occurrence_record &Occurrence,
                const queue_spec *Queue, const duration_model &Model,
                std::int64_t NowMs);

} // namespace lycheetrestle::scheduling

#endif
