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

/// One planning round: its inputs, the commands and orders decided so far, and
/// the remaining availability budget of each pool. A host takes at most one
/// step in a round.
class round {
public:
  /// \param Reports the platform's report, or null when it is unreachable.
  /// \param StartedAt start of this leadership; silence of entries is counted
  /// from then at the earliest.
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

  /// \returns whether the platform's report was available.
  bool platformReachable() const { return PlatformIsReachable; }
  /// \returns the platform's report of the host, or null.
  const platform::host_report *report(std::string_view Host) const;
  /// \returns whether the entry has not reported for so long that it refuses
  /// requests by itself.
  bool isSilent(const entry_status &Entry) const;

  /// \returns hosts of the pool that are in service after this round's steps.
  std::uint32_t available(std::string_view Pool) const;
  /// \returns the smallest allowed number of hosts of the pool in service.
  std::uint32_t minimum(std::string_view Pool) const;
  /// \returns whether the host may leave service under the budget of its pool;
  /// true for a host that is already out of service.
  bool mayLeaveService(const fleet::host_record &Host) const;
  /// Counts a host as lost that is in service but reported down, before its
  /// state becomes Failed, so that no planned step uses the budget that the
  /// loss may require.
  void countSuspectedLoss(const fleet::host_record &Host);
  /// \returns whether a job is bound to the host.
  bool hasBoundJobs(std::string_view Host) const;
  /// \returns whether the host has already taken its step in this round.
  bool hasStepped(std::string_view Host) const;

  /// Proposes the host's next state.
  /// \returns false when the host has already taken its step, or when the
  /// budget does not let it leave service. A step to Failed is not bound by the
  /// budget.
  bool step(const fleet::host_record &Host, fleet::host_state To,
            std::string Reason);
  /// Proposes to take the host out of service for a goal.
  /// \param TargetPool the pool to move to, for host_goal::Move.
  /// \param Wave the wave that requests it, or 0.
  /// \returns false when the host has already taken its step, or when the
  /// budget does not let it leave service.
  bool cordon(const fleet::host_record &Host, fleet::host_goal Goal,
              std::string TargetPool, std::uint64_t Wave, std::string Reason);

  /// \returns how many hosts of the wave this round fails or sets aside.
  std::uint32_t lossesOf(std::uint64_t Wave) const;

  /// Adds an order under the host's current epoch.
  /// \returns the order, valid until the next one is added.
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

/// \returns whether the host is out of service with an operation in progress;
/// false for hosts that failed, were set aside or are drained for an operator.
bool isInTransit(const fleet::host_record &Host);
/// \returns whether the host is on loan from the spare pool. Pool sizing
/// returns such hosts, so they are not moved for being outside their declared
/// home.
bool isLent(const fleet::fleet_state &State, const fleet::host_record &Host);
/// \returns the pool of the host after its current operation.
std::string_view destinationPool(const fleet::host_record &Host);

} // namespace lycheetrestle::reconciler

#endif
