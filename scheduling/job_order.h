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
/// Submitted above the rate of its workspace.
constexpr std::uint8_t OverRateGroup = 3;
constexpr std::uint8_t ExpiredGroup = 4; ///< Of no use to the caller any more.

/// Scheduling rank of a job's occurrence; smaller ranks are placed first. The
/// members are compared in the order of their declaration.
///
/// Designed for a pool whose load is twice its capacity for some seconds, or
/// several times what the scheduler can start: work that can still meet its
/// objective goes before work that cannot, that before work that comes too late
/// to be of use, and long-running tasks, which are few and serve others, before
/// all. What a workspace submits above its rate goes after all that can still
/// be of use, so that it slows nobody else. Within a group, the order is a
/// lottery in which small jobs have more chances, so that every size gets a
/// share: with the smallest job first, large ones never start while small ones
/// keep arriving.
struct job_rank {
  std::uint8_t Group = LongRunningGroup;
  std::uint32_t Priority = 0;
  std::int64_t Ticket = 0;        ///< See ticketOf().
  std::int64_t RemainingWork = 0; ///< Core-milliseconds.
  /// Wall time up to which the occurrence counts as in time; for long-running
  /// jobs the time at which the occurrence was due to start.
  std::int64_t LatestStartMs = 0;
  /// Wall time up to which the occurrence can still be of use.
  std::int64_t LatestUsefulStartMs = 0;
  bool IsOverRate = false; ///< Of the job.
  // clang-tidy 14 reports a variable inside the generated function.
  // NOLINTNEXTLINE(readability-identifier-naming)
  auto operator<=>(const job_rank &) const = default;
};

/// \param Rank rank of an occurrence without long-running steps.
/// \returns its group at a wall time.
constexpr std::uint8_t groupAt(const job_rank &Rank, std::int64_t NowMs) {
  if (Rank.IsOverRate)
    return NowMs <= Rank.LatestUsefulStartMs ? OverRateGroup : ExpiredGroup;
  if (NowMs <= Rank.LatestStartMs)
    return InTimeGroup;
  return NowMs <= Rank.LatestUsefulStartMs ? LateGroup : ExpiredGroup;
}

/// Draws the place of an occurrence in a lottery whose chances are inverse to
/// the work that is left: the draws are exponentially distributed, with that
/// work as their mean. An occurrence keeps its luck until it is complete, so
/// that what was begun is finished first.
/// \returns the draw; smaller ones are placed first.
std::int64_t ticketOf(std::string_view JobId, std::uint32_t Occurrence,
                      std::int64_t RemainingWork);

/// \param Occurrence its completed steps count as zero.
/// \returns the expected duration in milliseconds of the longest chain of
/// dependent steps that are not done.
std::int64_t remainingCriticalPathMs(const job_spec &Spec,
                                     const occurrence_record &Occurrence,
                                     const duration_model &Model);

/// \returns the expected duration in milliseconds of the longest chain of
/// dependent steps.
std::int64_t criticalPathMs(const job_spec &Spec, const duration_model &Model);

/// \returns whether a step of the job is long-running.
bool hasLongRunningStep(const job_spec &Spec);

/// Callers have no use for results after this many times the objective.
constexpr double UsefulFactor = 3;

/// \param Queue queue of the job, or null.
/// \returns the latency objective of the job in milliseconds.
std::int64_t objectiveMs(const job_spec &Spec, const queue_spec *Queue,
                         const duration_model &Model);

/// \param PathMs expected duration of a chain of steps in milliseconds.
/// \returns the part of it that counts when a job is judged to be late.
std::int64_t countedPathMs(std::int64_t PathMs);

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
