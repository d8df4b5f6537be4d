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

struct worker_view {
  std::string_view Host, Pool, Zone, Rack;
  fleet::resources Size;
  std::uint64_t Epoch = 0;
  bool InService = false;
  /// Since when the worker is in service; what failed on it before says
  /// nothing about it now.
  std::int64_t InServiceSinceMs = 0;
};

enum class action_kind : std::uint8_t {
  Start,       ///< Start the job on Host under HostEpoch.
  Checkpoint,  ///< Checkpoint the job to make room for urgent work.
  Throttle,    ///< Throttle the job to make room for urgent work.
  Impossible,  ///< No worker of the pool can ever run it; Reason says why.
  SetAside,    ///< Host fails distinct jobs that run elsewhere.
  Retry,       ///< The job failed and may wait for another worker.
  ExpireLease, ///< The lease and its margin are over; the job may wait again.
};

struct placement_action {
  action_kind Kind = action_kind::Start;
  std::uint64_t Job = 0;
  std::string Host;
  std::uint64_t HostEpoch = 0;
  std::string Reason;
};

struct placer_settings {
  std::int64_t LeaseMs = 10000;
  std::int64_t LeaseMarginMs = 2000; ///< After LeaseUntilMs, still live.
  /// Reserves less than the declared size for a job without reports when its
  /// team uses less. fleet_state reserves the declared size for such jobs and
  /// refuses a start that does not fit by it, so the reconciler leaves it off.
  bool ScaleByTeamUsage = false;
  std::uint32_t FailedWorkersForBadJob = 3;
  std::uint32_t FailedJobsForBadWorker = 3;
};

/// Decides where jobs run. Pure: everything it knows is passed in.
/// \param Workers every worker.
/// \param Jobs every job that has not ended, and recently failed ones.
/// \param Teams quotas.
/// \param NowMs the state machine's time.
/// \param Settings leases and thresholds.
/// \returns actions that keep every worker within its size, every job on one
/// worker at most, and every team within its quota.
std::vector<placement_action>
planPlacement(std::span<const worker_view> Workers,
              std::span<const fleet::job_record> Jobs,
              std::span<const fleet::team_spec> Teams, std::int64_t NowMs,
              const placer_settings &Settings);

/// Baseline: first fit on declared sizes, in order of submission.
std::vector<placement_action>
planPlacementFirstFit(std::span<const worker_view> Workers,
                      std::span<const fleet::job_record> Jobs,
                      std::span<const fleet::team_spec> Teams,
                      std::int64_t NowMs, const placer_settings &Settings);

} // namespace lycheetrestle::placement

#endif
