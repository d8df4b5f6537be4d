#ifndef LYCHEETRESTLE_PLACEMENT_PLACER_H
#define LYCHEETRESTLE_PLACEMENT_PLACER_H

#include "fleet/types.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::placement {

/// The state of a worker on which placement depends.
struct worker_view {
  std::string_view Host, Pool, Zone, Rack;
  fleet::resources Size;
  std::uint64_t Epoch = 0;
  bool InService = false;
  /// Wall time of the worker's last return to service. Failures of jobs that
  /// were submitted earlier do not count against it, because it may have been
  /// repaired since.
  std::int64_t InServiceSinceMs = 0;
};

/// What the placer proposes for a job or a worker.
enum class action_kind : std::uint8_t {
  Start,       ///< Start the job on Host under HostEpoch.
  Checkpoint,  ///< Checkpoint the job to free resources.
  Throttle,    ///< Never proposed; the reconciler treats it as Checkpoint.
  Impossible,  ///< The job can never run; Reason holds the cause.
  SetAside,    ///< Take Host out of service: distinct jobs failed on it.
  Retry,       ///< Queue the failed job for another worker.
  ExpireLease, ///< The lease and its margin have passed; queue the job again.
};

/// One proposal of the placer.
struct placement_action {
  action_kind Kind = action_kind::Start;
  std::uint64_t Job = 0;
  std::string Host;
  std::uint64_t HostEpoch = 0; ///< Set for Start and SetAside.
  std::string Reason;
};

/// Lease times and failure thresholds of the placer.
struct placer_settings {
  std::int64_t LeaseMs = 10000;
  /// Time after LeaseUntilMs during which a lease still counts as live.
  std::int64_t LeaseMarginMs = 2000;
  /// Reserves less than the declared size for a job without reported usage
  /// when the other jobs of its team use less than they declare. When they use
  /// more, more is reserved in any case. The reconciler leaves this off:
  /// fleet_state reserves the declared size for such jobs and refuses a start
  /// that does not fit by it.
  bool ScaleDownByTeamUsage = false;
  /// Distinct workers on which a job must fail to count as bad.
  std::uint32_t FailedWorkersForBadJob = 3;
  /// Distinct jobs that must fail on a worker for it to count as bad.
  std::uint32_t FailedJobsForBadWorker = 3;
};

/// Decides where jobs run. The result depends on the arguments only.
/// \param Workers every worker.
/// \param Jobs every job that has not ended, and recently failed ones.
/// \param Teams quotas of the teams. Jobs of a team that is not listed are
/// impossible.
/// \param NowMs wall time, on the clock of LeaseUntilMs.
/// \param Settings lease times and failure thresholds.
/// \returns actions whose starts keep every worker within its size, every job
/// on one worker at most, and every team within its quota.
std::vector<placement_action>
planPlacement(std::span<const worker_view> Workers,
              std::span<const fleet::job_record> Jobs,
              std::span<const fleet::team_spec> Teams, std::int64_t NowMs,
              const placer_settings &Settings);

/// Baseline for comparisons: first fit on declared sizes, in order of
/// submission, without priorities or preemption. The parameters are those of
/// planPlacement.
std::vector<placement_action>
planPlacementFirstFit(std::span<const worker_view> Workers,
                      std::span<const fleet::job_record> Jobs,
                      std::span<const fleet::team_spec> Teams,
                      std::int64_t NowMs, const placer_settings &Settings);

} // namespace lycheetrestle::placement

#endif
