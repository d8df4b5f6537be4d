#ifndef LYCHEETRESTLE_BENCH_PLACEMENT_RUN_H
#define LYCHEETRESTLE_BENCH_PLACEMENT_RUN_H

#include "bench/seed_summary.h"
#include "placement/placer.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace lycheetrestle::bench {

/// A placement function: the planner or its baseline.
using placer = std::vector<placement::placement_action> (*)(
    std::span<const placement::worker_view>, std::span<const fleet::job_record>,
    std::span<const fleet::team_spec>, std::int64_t,
    const placement::placer_settings &);

/// Results of one simulated run.
struct placement_outcome {
  std::vector<double> UrgentDelaySeconds; ///< From submission to first start.
  double UrgentWaiting = 0; ///< Urgent jobs that had not started at the end.
  double CoreHoursDone = 0; ///< Work of running jobs, by actual usage.
  double Preemptions = 0;
  /// Share of the worker time in which jobs use more than the worker's size.
  double OvercommittedShare = 0;
  /// Largest usage of a worker, relative to its size.
  double WorstOvercommit = 0;
};

/// Simulates one placer for 3 min under random job arrivals. The declared sizes
/// of jobs are wrong by up to ten times, and their usage is reported late.
class placement_run {
public:
  placement_run(const deployment_shape &Shape, std::uint64_t Seed, placer Plan,
                placement::placer_settings Settings);
  placement_outcome run();

private:
  struct simulated_task {
    fleet::resources Used;
    std::int64_t RemainingMs = 0;
    std::int64_t StartedMs = 0;
    std::int64_t CheckpointAtMs = -1;
    bool HasStarted = false;
  };

  void submit();
  void advance();
  void apply(const placement::placement_action &Action);
  void measure();
  double uniform(double Low, double High);
  double logUniform(double Low, double High);

  std::mt19937_64 Random;
  placer Plan;
  placement::placer_settings Settings;
  std::vector<std::string> Names;
  std::vector<placement::worker_view> Workers;
  std::vector<fleet::team_spec> Teams;
  std::vector<double> TeamFactor; ///< Actual size over declared size.
  std::map<std::uint64_t, fleet::job_record> Jobs;
  std::map<std::uint64_t, simulated_task> Tasks;
  std::uint64_t NextJob = 1;
  std::int64_t NowMs = 0;
  double WorkerRounds = 0;
  double OvercommittedRounds = 0;
  placement_outcome Outcome;
};

} // namespace lycheetrestle::bench

#endif
