#ifndef LYCHEETRESTLE_PLACEMENT_FAILURE_COUNTS_H
#define LYCHEETRESTLE_PLACEMENT_FAILURE_COUNTS_H

#include "placement/placer.h"

#include <set>
#include <span>
#include <string_view>

namespace lycheetrestle::placement {

/// Jobs that fail wherever they run, and workers that fail whatever they run.
struct failure_verdicts {
  std::set<std::string_view> BadWorkers;
  std::set<std::uint64_t> BadJobs;
};

/// Tells bad jobs from bad workers: a failure on a bad worker says nothing
/// about the job, and the failure of a bad job nothing about the worker.
/// Jobs that were submitted before a worker's last return to service do not
/// count against it, because it may have been repaired since they failed.
/// \param Workers every worker.
/// \param Jobs every known job; they must outlive the result.
/// \param Settings thresholds of distinct workers and jobs.
failure_verdicts classifyFailures(std::span<const worker_view> Workers,
                                  std::span<const fleet::job_record> Jobs,
                                  const placer_settings &Settings);

} // namespace lycheetrestle::placement

#endif
