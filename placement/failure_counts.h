#ifndef LYCHEETRESTLE_PLACEMENT_FAILURE_COUNTS_H
#define LYCHEETRESTLE_PLACEMENT_FAILURE_COUNTS_H

#include "placement/placer.h"

#include <set>
#include <span>
#include <string_view>

namespace lycheetrestle::placement {

/// Workers and jobs that are classified as the cause of failures.
struct failure_verdicts {
  std::set<std::string_view> BadWorkers; ///< Host names.
  std::set<std::uint64_t> BadJobs;       ///< Job ids.
};

/// Separates failures caused by a job from failures caused by a worker. A
/// failure on a bad worker is not counted against the job, and a failure of a
/// bad job is not counted against the worker. Jobs that were submitted before a
/// worker last returned to service are not counted against it either, because
/// the worker may have been repaired since they failed. A job that runs on
/// another worker, has succeeded or is checkpointed is never bad.
/// \param Workers every worker.
/// \param Jobs every known job. They must outlive the result.
/// \param Settings the failure thresholds.
/// \returns the bad workers, as views into Jobs, and the bad jobs.
failure_verdicts classifyFailures(std::span<const worker_view> Workers,
                                  std::span<const fleet::job_record> Jobs,
                                  const placer_settings &Settings);

} // namespace lycheetrestle::placement

#endif
