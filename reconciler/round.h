#ifndef LYCHEETRESTLE_RECONCILER_ROUND_H
#define LYCHEETRESTLE_RECONCILER_ROUND_H

#include "reconciler/reconciler.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace lycheetrestle::reconciler {

/// One round: what is known, what was decided so far, and the budgets that the
/// decisions have left. A host takes at most one step in a round.
class round {
public:
  /// \param Reports the platform's report, or null when it is unreachable.
  /// \param StartedAt start of this leadership; silence counts from then.
  /// \param NowMs the leader's wall time.
  round(const fleet::fleet_state &State,
        const std::vector<platform::host_report> *Reports,
        std::span<const entry_status> Entries,
        const reconciler_settings &Settings, core::time_point Now,
        core::time_point StartedAt, std::int64_t NowMs);

  const fleet::fleet_state &State;
  const std::span<const entry_status> Entries;
  const reconciler_settings &Settings;
  const core::time_point Now;
  const std::int64_t NowMs;
  reconciler_output Output;

  bool platformReachable() const { return PlatformIsReachable; }
  /// \returns the platform's report of the host, or null.
  const platform::host_report *report(std::string_view Host) const;
  /// \returns whether the entry was silent for so long that it refuses
  /// requests by itself.
  bool isSilent(const entry_status &Entry) const;

  /// \returns hosts of the pool that are in service after this round's steps.
  std::uint32_t available(std::string_view Pool) const;
  std::uint32_t minimum(std::string_view Pool) const;
  /// \returns whether the host may leave service under the budget of its pool.
  bool mayLeaveService(const fleet::host_record &Host) const;
  /// Counts a host that is in service but reported down as lost already, so
  /// that no planned step uses the budget that it may need.
  void countSuspectedLoss(const fleet::host_record &Host);
  /// \returns whether a job is bound to the host.
  bool hasBoundJobs(std::string_view Host) const;
  /// \returns whether the host has taken its step of this round.
  bool hasStepped(std::string_view Host) const;

  /// Proposes the host's next state.
  /// \returns false when the host has taken its step, or when it would leave
  /// service as planned and the budget forbids it.
  bool step(const fleet::host_record &Host, fleet::host_state To,
            std::string Reason);
  /// Proposes to take the host out of service for a goal.
  bool cordon(const fleet::host_record &Host, fleet::host_goal Goal,
              std::string TargetPool, std::uint64_t Wave, std::string Reason);

  /// \returns hosts of the wave that this round found lost.
  std::uint32_t lossesOf(std::uint64_t Wave) const;

  /// Adds an order under the host's current epoch.
  platform::order &order(const fleet::host_record &Host,
                         platform::order_kind Kind);

private:
  struct pool_ledger {
    std::uint32_t Available = 0;
    std::uint32_t Minimum = 0;
  };
  bool add(const fleet::host_record &Host, fleet::change_host_state Change);

  bool PlatformIsReachable;
  core::time_point StartedAt;
  std::unordered_map<std::string_view, const platform::host_report *>
      ReportByHost;
  std::map<std::string, pool_ledger, std::less<>> Ledger;
  std::unordered_set<std::string_view> SteppedHosts;
  std::unordered_set<std::string_view> SuspectedHosts;
  std::unordered_set<std::string_view> HostsWithJobs;
  std::map<std::uint64_t, std::uint32_t> LossesByWave;
};

/// \returns whether the host runs through a planned step.
bool isInTransit(const fleet::host_record &Host);
/// \returns whether the host is on loan from the spare pool, which is a matter
/// of pool sizing and no reason to move it home.
bool isLent(const fleet::fleet_state &State, const fleet::host_record &Host);
/// \returns the pool that the host will be in when its plan has ended.
std::string_view destinationPool(const fleet::host_record &Host);

} // namespace lycheetrestle::reconciler

#endif
