#include "placement/failure_counts.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <vector>

namespace lycheetrestle::placement {

namespace {

// A pass can only add bad workers and remove bad jobs. Two passes are usually
// enough.
constexpr int MaxIterations = 4;

// Returns whether a worker other than those of FailedOn runs the job or has run
// it without a failure. Such a job is never bad.
bool hasRunElsewhere(const fleet::job_record &Job) {
  return Job.State == fleet::job_state::Running ||
         Job.State == fleet::job_state::Succeeded ||
         Job.State == fleet::job_state::Checkpointed;
}

} // namespace

failure_verdicts classifyFailures(std::span<const worker_view> Workers,
                                  std::span<const fleet::job_record> Jobs,
                                  const placer_settings &Settings) {
  std::unordered_map<std::string_view, std::int64_t> InServiceSinceMs;
  std::vector<const fleet::job_record *> JobsWithFailures;
  for (const auto &Job : Jobs)
    if (!Job.FailedOn.empty())
      JobsWithFailures.push_back(&Job);
  failure_verdicts Verdicts;
  if (JobsWithFailures.empty())
    return Verdicts;
  for (const auto &Worker : Workers)
    InServiceSinceMs[Worker.Host] = Worker.InServiceSinceMs;
  // The first count of the workers leaves out jobs that have failed on enough
  // workers and run on no other, because such a job may be the cause itself.
  for (const auto *Job : JobsWithFailures)
    if (Job->FailedOn.size() >= Settings.FailedWorkersForBadJob &&
        !hasRunElsewhere(*Job))
      Verdicts.BadJobs.insert(Job->Id);
  for (int Iteration = 0; Iteration < MaxIterations; ++Iteration) {
    std::map<std::string_view, std::uint32_t> FailureCounts;
    for (const auto *Job : JobsWithFailures)
      if (Verdicts.BadJobs.count(Job->Id) == 0)
        for (const auto &Host : Job->FailedOn)
          if (Job->SubmittedMs >= InServiceSinceMs[Host])
            ++FailureCounts[Host];
    failure_verdicts Next;
    for (const auto &[Host, Count] : FailureCounts)
      if (Count >= Settings.FailedJobsForBadWorker)
        Next.BadWorkers.insert(Host);
    for (const auto *Job : JobsWithFailures) {
      auto GoodWorkers =
          std::count_if(Job->FailedOn.begin(), Job->FailedOn.end(),
                        [&](const std::string &Host) {
                          return Next.BadWorkers.count(Host) == 0;
                        });
      if (std::uint32_t(GoodWorkers) >= Settings.FailedWorkersForBadJob &&
          !hasRunElsewhere(*Job))
        Next.BadJobs.insert(Job->Id);
    }
    bool Settled = Next.BadWorkers == Verdicts.BadWorkers &&
                   Next.BadJobs == Verdicts.BadJobs;
    Verdicts = std::move(Next);
    if (Settled)
      break;
  }
  return Verdicts;
}

} // namespace lycheetrestle::placement
