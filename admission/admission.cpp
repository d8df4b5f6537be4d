#include "admission/admission.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace lycheetrestle::admission {

namespace {

// Waiting work of others that a pool completes within this time does not count
// as a backlog: a round of placement and a commit take about as long.
constexpr std::int64_t MinBacklogMs = 250;
// Longest drain time: a longer one comes from a pool that has lost most of its
// hosts, and these may return at any time.
constexpr std::int64_t MaxDrainMs = 30'000;
// Refused clients return within this time after the backlog has drained.
constexpr double RetrySpreadS = 4;
// Parts of that time that chance, work and priority decide. Half by chance is
// enough that clients do not return at once when all jobs are alike.
constexpr double ChanceShare = 0.5;
constexpr double WorkShare = 0.25;
constexpr double PriorityShare = 0.25;
// Without any capacity, work never completes; a century in milliseconds.
constexpr std::int64_t NeverMs = 3'000'000'000'000;

/// \returns the share of the work with the job's group and priority that the
/// lottery places before it: draws are exponentially distributed with the work
/// of each job as their mean.
double shareBefore(const job_demand &Job, const work_sum &Sum) {
  double Mean = std::max(
      1.0, static_cast<double>(Sum.CoreMs) /
               static_cast<double>(std::max<std::int64_t>(Sum.Jobs, 1)));
  return 1 - std::exp(-static_cast<double>(Job.Ticket) / Mean);
}

/// \returns the work of the group that is placed before the job.
std::int64_t workBefore(const committed_work &Work, work_group Group,
                        const job_demand &Job) {
  std::int64_t Before = 0;
  for (auto Item = Work.Waiting.lower_bound({Group, 0});
       Item != Work.Waiting.end() && Item->first.Group == Group &&
       Item->first.Priority <= Job.Priority;
       ++Item) {
    double Share = Item->first.Priority == Job.Priority
                       ? shareBefore(Job, Item->second)
                       : 1;
    Before += std::llround(Share * static_cast<double>(Item->second.CoreMs));
  }
  return Before;
}

std::int64_t workOf(const committed_work &Work, work_group Group) {
  std::int64_t Sum = 0;
  for (const auto &[Class, Item] : Work.Waiting)
    if (Class.Group == Group)
      Sum += Item.CoreMs;
  return Sum;
}

/// \returns the work that is completed before the job gets its first core.
std::int64_t workAhead(const pool_load &Load, const job_demand &Job,
                       std::int64_t NowMs) {
  const auto &Work = Load.Committed;
  if (Job.IsOverRate)
    return Work.RunningCoreMs + workOf(Work, work_group::InTime) +
           workOf(Work, work_group::Late) +
           workBefore(Work, work_group::OverRate, Job);
  auto Ahead = Work.RunningCoreMs + workBefore(Work, work_group::InTime, Job);
  // A job that becomes late while it waits gets its place among the late ones.
  if (NowMs + drainMs(Load, Ahead) > Job.LatestInTimeStartMs)
    Ahead += workBefore(Work, work_group::Late, Job);
  return Ahead;
}

std::uint32_t retryAfterS(const pool_load &Load, const job_demand &Job,
                          std::int64_t AheadCoreMs) {
  double Chance =
      static_cast<double>(std::hash<std::string_view>()(Job.Id) % 1024) / 1024;
  std::int64_t Total = 0;
  std::int64_t Higher = 0;
  std::int64_t Jobs = 0;
  for (const auto &[Class, Sum] : Load.Committed.Waiting) {
    Total += Sum.CoreMs;
    Jobs += Sum.Jobs;
    if (Class.Priority < Job.Priority)
      Higher += Sum.CoreMs;
  }
  double Mean = static_cast<double>(Total) /
                static_cast<double>(std::max<std::int64_t>(Jobs, 1));
  double Own = static_cast<double>(std::max<std::int64_t>(Job.CoreMs, 1));
  double Size = Own / (Own + Mean);
  double Rank =
      Total == 0 ? 0 : static_cast<double>(Higher) / static_cast<double>(Total);
  double Spread = RetrySpreadS * (ChanceShare * Chance + WorkShare * Size +
                                  PriorityShare * Rank);
  double DrainedS =
      static_cast<double>(std::min(drainMs(Load, AheadCoreMs), MaxDrainMs)) /
      1000;
  return std::clamp(
      static_cast<std::uint32_t>(std::ceil(DrainedS) + std::floor(Spread)),
      MinRetryAfterS, MaxRetryAfterS);
}

} // namespace

void committed_work::add(work_class Class, std::int64_t CoreMs,
                         std::int64_t Jobs) {
  auto Found = Waiting.try_emplace(Class).first;
  Found->second.CoreMs += CoreMs;
  Found->second.Jobs += Jobs;
  if (Found->second.CoreMs == 0 && Found->second.Jobs == 0)
    Waiting.erase(Found);
}

committed_work &committed_work::operator+=(const committed_work &Other) {
  for (const auto &[Class, Sum] : Other.Waiting)
    add(Class, Sum.CoreMs, Sum.Jobs);
  RunningCoreMs += Other.RunningCoreMs;
  return *this;
}

committed_work &committed_work::operator-=(const committed_work &Other) {
  for (const auto &[Class, Sum] : Other.Waiting)
    add(Class, -Sum.CoreMs, -Sum.Jobs);
  RunningCoreMs -= Other.RunningCoreMs;
  return *this;
}

std::string_view toString(refusal_reason Reason) {
  return Reason == refusal_reason::TooLate ? "too_late" : "over_rate";
}

std::int64_t drainMs(const pool_load &Load, std::int64_t CoreMs) {
  if (CoreMs <= 0)
    return 0;
  double Work = static_cast<double>(CoreMs);
  double Cores = static_cast<double>(Load.MilliCores) / 1000;
  double JoinedCores =
      Cores +
      static_cast<double>(std::max<std::int64_t>(Load.JoiningMilliCores, 0)) /
          1000;
  auto JoiningMs = static_cast<double>(Load.JoiningMs);
  double Ms = JoinedCores <= 0 ? static_cast<double>(NeverMs)
              : Work <= Cores * JoiningMs || JoinedCores <= Cores
                  ? Work / Cores
                  : JoiningMs + (Work - Cores * JoiningMs) / JoinedCores;
  return static_cast<std::int64_t>(std::min(Ms, static_cast<double>(NeverMs)));
}

decision decide(const pool_load &Load, const job_demand &Job,
                std::int64_t NowMs) {
  decision Decision;
  if (Job.IsLongRunning || !Load.IsKnown || Load.MilliCores <= 0)
    return Decision;
  auto Ahead = workAhead(Load, Job, NowMs);
  Decision.WaitMs = drainMs(Load, Ahead);
  Decision.PredictedMs =
      Decision.WaitMs +
      std::max(Job.CriticalPathMs,
               drainMs(Load, Ahead + Job.CoreMs) - Decision.WaitMs);
  if (Job.WidthMilliCores <= Load.FreeMilliCores)
    return Decision;
  auto OthersCoreMs = workOf(Load.Committed, work_group::InTime) +
                      workOf(Load.Committed, work_group::Late);
  double EarliestMs = Load.LowRatio * static_cast<double>(Decision.PredictedMs);
  if (Job.IsOverRate && drainMs(Load, OthersCoreMs) >= MinBacklogMs)
    Decision.Refusal = refusal_reason::OverRate;
  else if (Decision.WaitMs >= MinBacklogMs &&
           EarliestMs > static_cast<double>(Job.LatestUsefulEndMs - NowMs))
    Decision.Refusal = refusal_reason::TooLate;
  if (Decision.Refusal)
    Decision.RetryAfterS = retryAfterS(Load, Job, Ahead);
  return Decision;
}

} // namespace lycheetrestle::admission
