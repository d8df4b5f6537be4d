#include "scheduling/job_order.h"

#include <boost/container_hash/hash.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace lycheetrestle::scheduling {

namespace {

// Share of the expected remaining time that decides whether a job counts as
// late. Estimates are off by nearly their own size; counting them in full would
// treat too many jobs as late that can still be in time.
constexpr std::int64_t CountedEstimatePercent = 80;
// Limits of the time allowed for a job, about 30,000 years, and of its work.
// Products of large estimates, sizes and slack factors exceed 64 bits.
constexpr double MaxObjectiveMs = 1e15;
constexpr double MaxWork = 1e18;
// Largest draw of a lottery, below the largest 64-bit number.
constexpr double MaxTicket = 9e18;

/// \param IsDone predicate on the index of a step; steps for which it returns
/// true count as zero.
/// \returns the expected duration in milliseconds of the longest chain of
/// dependent steps.
template <typename Predicate>
std::int64_t longestPathMs(const job_spec &Spec, const duration_model &Model,
                           Predicate &&IsDone) {
  std::vector<std::int64_t> EndMs(Spec.Steps.size(), 0);
  std::int64_t Longest = 0;
  for (std::size_t Step = 0; Step != Spec.Steps.size(); ++Step) {
    std::int64_t StartMs = 0;
    for (auto Earlier : Spec.Steps[Step].DependsOn)
      StartMs = std::max(StartMs, EndMs[Earlier]);
    EndMs[Step] = StartMs;
    if (!IsDone(Step))
      EndMs[Step] += static_cast<std::int64_t>(
          Model.predictMs(Spec.Steps[Step].EstimateMs));
    Longest = std::max(Longest, EndMs[Step]);
  }
  return Longest;
}

} // namespace

std::int64_t remainingCriticalPathMs(const job_spec &Spec,
                                     const occurrence_record &Occurrence,
                                     const duration_model &Model) {
  return longestPathMs(Spec, Model, [&](std::size_t Step) {
    return Occurrence.Steps[Step].Done == Spec.Steps[Step].Count;
  });
}

std::int64_t criticalPathMs(const job_spec &Spec, const duration_model &Model) {
  return longestPathMs(Spec, Model, [](std::size_t) { return false; });
}

bool hasLongRunningStep(const job_spec &Spec) {
  return std::any_of(Spec.Steps.begin(), Spec.Steps.end(),
                     [](const step_spec &Step) { return Step.IsLongRunning; });
}

std::int64_t objectiveMs(const job_spec &Spec, const queue_spec *Queue,
                         const duration_model &Model) {
  double Slack = Queue ? Queue->SlackThousandths : 1000;
  std::int64_t Target = Queue ? Queue->TargetLatencyMs : 0;
  auto AllowedMs =
      static_cast<double>(criticalPathMs(Spec, Model)) * Slack / 1000;
  return static_cast<std::int64_t>(std::min(AllowedMs, MaxObjectiveMs)) +
         Target;
}

std::int64_t countedPathMs(std::int64_t PathMs) {
  return PathMs * CountedEstimatePercent / 100;
}

double workCoreSeconds(const job_spec &Spec, const duration_model &Model) {
  double Work = 0;
  for (const auto &Step : Spec.Steps)
    if (!Step.IsLongRunning)
      Work += Step.Count * (Step.Size.MilliCores / 1000.0) *
              Model.predictMs(Step.EstimateMs) / 1000.0;
  return Work;
}

std::int64_t remainingWork(const job_spec &Spec,
                           const occurrence_record &Occurrence,
                           const duration_model &Model) {
  double Work = 0;
  for (std::size_t Step = 0; Step != Spec.Steps.size(); ++Step) {
    const auto &Current = Spec.Steps[Step];
    Work += (Current.Count - Occurrence.Steps[Step].Done) *
            (Current.Size.MilliCores / 1000.0) *
            Model.predictMs(Current.EstimateMs);
  }
  return static_cast<std::int64_t>(std::min(Work, MaxWork));
}

std::int64_t ticketOf(std::string_view JobId, std::uint32_t Occurrence,
                      std::int64_t RemainingWork) {
  auto Hash = std::hash<std::string_view>()(JobId);
  boost::hash_combine(Hash, Occurrence);
  // In (0, 1], so that the logarithm is finite.
  double Luck = (static_cast<double>(Hash) + 1) /
                static_cast<double>(std::numeric_limits<std::size_t>::max());
  double Work = static_cast<double>(std::max<std::int64_t>(RemainingWork, 1));
  return static_cast<std::int64_t>(
      std::min(-std::log(std::min(Luck, 1.0)) * Work, MaxTicket));
}

job_rank rankOf(const job_record &Job, const occurrence_record &Occurrence,
                const queue_spec *Queue, const duration_model &Model,
                std::int64_t NowMs) {
  job_rank Rank;
  Rank.Priority = Queue ? Queue->Priority : 0;
  std::int64_t ReleaseMs =
      Job.Spec.RepeatCount == 0
          ? Job.SubmittedMs
          : Job.Spec.StartAtMs + Occurrence.Number * Job.Spec.IntervalMs;
  if (hasLongRunningStep(Job.Spec)) {
    Rank.LatestStartMs = ReleaseMs;
    return Rank;
  }
  auto ObjectiveMs = objectiveMs(Job.Spec, Queue, Model);
  auto RemainingMs =
      countedPathMs(remainingCriticalPathMs(Job.Spec, Occurrence, Model));
  Rank.LatestStartMs = ReleaseMs + ObjectiveMs - RemainingMs;
  Rank.LatestUsefulStartMs =
      ReleaseMs + static_cast<std::int64_t>(UsefulFactor * ObjectiveMs) -
      RemainingMs;
  Rank.IsOverRate = Job.IsOverRate;
  Rank.Group = groupAt(Rank, NowMs);
  Rank.RemainingWork = remainingWork(Job.Spec, Occurrence, Model);
  Rank.Ticket = ticketOf(Job.Spec.Id, Occurrence.Number, Rank.RemainingWork);
  return Rank;
}

} // namespace lycheetrestle::scheduling
