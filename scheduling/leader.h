#ifndef LYCHEETRESTLE_SCHEDULING_LEADER_H
#define LYCHEETRESTLE_SCHEDULING_LEADER_H

#include "core/clock.h"
#include "core/metrics.h"
#include "scheduling/advice_cache.h"
#include "scheduling/demand_forecaster.h"
#include "scheduling/duration_models.h"
#include "scheduling/host_inventory.h"
#include "scheduling/orders.h"
#include "scheduling/placer.h"
#include "scheduling/pool_rebalancer.h"
#include "scheduling/rank_cache.h"
#include "scheduling/schedule_state.h"
#include "scheduling/tracked_endpoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lycheetrestle::scheduling {

struct leader_settings {
  core::duration Lease = std::chrono::milliseconds(5000);
  /// Time that an earlier leader may still have issued leases after this one
  /// was elected.
  core::duration PreviousLeaderGrace = std::chrono::milliseconds(2000);
  core::duration HeartbeatInterval = std::chrono::milliseconds(1500);
  std::int64_t MaintenanceMs =
      2000;                   ///< How long a host is down for its upkeep.
  std::int64_t MoveMs = 1500; ///< How long a host is away when it moves.
  bool HasPlatform = false;
  bool HasAdviser = false;
  double PlatformCallsPerSecond = 64.0;
};

/// Decisions of the scheduler that leads: which runs start and stop, leases,
/// lost endpoints, upkeep. Single-threaded and without input or output. It
/// proposes commands and sees them again through recordApplied() once they are
/// committed; a run is ordered only after its start is committed.
class leader {
public:
  /// \param Fence token of all orders, larger than that of earlier leaders.
  /// \param State the replicated state; must outlive this object.
  leader(leader_settings Settings, std::uint64_t Fence,
         const schedule_state &State, core::metrics_registry &Metrics,
         core::time_point Now);

  /// Tells that a command was applied to the state.
  void recordApplied(const command &Command, apply_outcome Outcome,
                     core::time_point Now);
  /// \returns whether the announcement needs no command: it says nothing new.
  bool recordHeartbeat(const endpoint_heartbeat &Heartbeat,
                       core::time_point Now);
  /// Tells that every life with this id says that it ends.
  void recordDeregistration(std::string_view Id, core::time_point Now);
  void finishOrder(order_result Result, core::time_point Now);

  /// \param WallMs wall time.
  /// \returns commands to propose as one batch. Call it again only after the
  /// earlier batch was applied.
  std::vector<command> takeCommands(core::time_point Now, std::int64_t WallMs);
  /// \returns orders to send now.
  std::vector<order> takeOrders(core::time_point Now);
  /// \returns the earliest time at which there may be something to do.
  core::time_point nextTime(core::time_point Now) const;

private:
  // leader.cpp
  tracked_endpoint &trackEndpoint(std::uint32_t Endpoint, core::time_point Now);
  void restoreRuns(core::time_point Now);
  /// Takes over the runs of an earlier life under the same id.
  void transferRuns(tracked_endpoint &Tracked, const endpoint_record &Endpoint,
                    core::time_point Now);
  void applyFirstHeartbeat(tracked_endpoint &Tracked,
                           const endpoint_facts &Facts);
  void removeRun(const task_key &Task, std::uint32_t Attempt);
  void stopRunsOf(const job_record &Job, core::time_point Now);
  void collectEnds(std::vector<command> &Commands);
  void collectLost(std::vector<command> &Commands, core::time_point Now);
  void collectOccurrences(std::vector<command> &Commands, std::int64_t WallMs);
  void collectStarts(std::vector<command> &Commands, core::time_point Now,
                     std::int64_t WallMs);
  /// Notes pools in which a long-running task finds no place.
  void recordUnplaceableTasks(const std::set<task_key> &Placed,
                              core::time_point Now);
  std::vector<placement_target> targets(core::time_point Now);
  void computeFreeCapacity(tracked_endpoint &Tracked,
                           const endpoint_record &Endpoint) const;
  /// Makes orders be looked for at once.
  void markDue(tracked_endpoint &Tracked);
  /// Notes that the runs of a life have changed.
  void recordRunsChanged(std::uint32_t Endpoint);
  bool isSchedulable(const endpoint_record &Endpoint,
                     const tracked_endpoint &Tracked,
                     core::time_point Now) const;

  // leader_advice.cpp
  /// Asks for advice on steps that wait and whose queue wants it.
  void requestAdvice(std::span<const placement_target> Targets,
                     core::time_point Now);
  bool isAllowed(const task_key &Key, const job_record &Job,
                 std::uint32_t Endpoint, core::time_point Now) const;
  void orderAdvice(std::vector<order> &Orders, core::time_point Now);
  void finishAdvice(const advise_order &Order, const order_result &Result,
                    core::time_point Now);

  // leader_orders.cpp
  void collectOrders(tracked_endpoint &Tracked, std::vector<order> &Orders,
                     core::time_point Now);
  void orderRuns(tracked_endpoint &Tracked, std::vector<order> &Orders,
                 core::time_point Now);
  void orderPoll(tracked_endpoint &Tracked, std::vector<order> &Orders,
                 core::time_point Now);
  void orderThrottle(tracked_endpoint &Tracked, std::vector<order> &Orders,
                     core::time_point Now);
  order &addOrder(std::vector<order> &Orders, const tracked_endpoint *Tracked,
                  order_body Body, core::duration Timeout,
                  core::time_point Now);
  core::time_point nextOrderTime(const tracked_endpoint &Tracked,
                                 core::time_point Now) const;
  std::uint64_t issueLease(tracked_endpoint &Tracked, core::time_point Now);
  void stopDrainingRuns(tracked_endpoint &Tracked, core::time_point Now);

  // leader_results.cpp
  void finishStart(tracked_endpoint &Tracked, const start_order &Order,
                   const order_result &Result, core::time_point Now);
  void finishStop(tracked_endpoint &Tracked, const stop_order &Order,
                  const order_result &Result, core::time_point Now);
  void finishPoll(tracked_endpoint &Tracked, const poll_order &Order,
                  const order_result &Result, core::time_point SentAt,
                  core::time_point Now);
  void reconcileRuns(tracked_endpoint &Tracked, const endpoint_answer &Answer,
                     core::time_point SentAt, core::time_point Now);
  bool recordAnswer(tracked_endpoint &Tracked, const endpoint_answer &Answer,
                    core::time_point Now);
  void recordNoAnswer(tracked_endpoint &Tracked, std::string_view What,
                      std::string_view Reason, core::time_point Now);
  void endUnstartedRun(tracked_endpoint &Tracked, const task_key &Task,
                       std::string_view Why, core::time_point Now);
  void recordDuration(const task_key &Task, core::duration Took);
  void updateThrottle(tracked_endpoint &Tracked, const endpoint_answer &Answer,
                      core::time_point Now);

  // leader_hosts.cpp
  void planHosts(std::vector<command> &Commands, core::time_point Now,
                 std::int64_t WallMs);
  void evacuate(core::time_point Now);
  bool fitsElsewhere(const task_key &Task, std::uint32_t Endpoint,
                     std::span<const placement_target> Targets) const;
  void orderHosts(std::vector<order> &Orders, core::time_point Now);
  void finishHosts(const order &Order, const order_result &Result,
                   core::time_point Now);
  void finishPage(const hosts_answer &Page);
  void endReplacedIncarnations();
  std::vector<maintenance_host> maintenanceHosts(const wave_record &Wave,
                                                 core::time_point Now) const;
  bool mayInterrupt(const tracked_endpoint &Tracked) const;
  /// \param CountsColocated whether tasks on the same endpoint count as away.
  std::uint32_t unavailablePeers(const task_key &Task,
                                 bool CountsColocated) const;
  const tracked_endpoint *trackedOnHost(const std::string &Host) const;

  // leader_moves.cpp
  void planHostMoves(core::time_point Now, std::int64_t WallMs);
  void logPools(std::span<const pool_view> Pools,
                std::span<const rebalance_host> View, core::time_point Now);
  /// \returns cores to add to a pool's need when a task found no place there.
  double extraCores(const std::string &Pool,
                    std::span<const rebalance_host> View,
                    core::time_point Now) const;
  std::map<std::string, double> requiredCores(core::time_point Now,
                                              std::int64_t WallMs);

  struct sent_order {
    order Order;
    core::time_point SentAt{};
  };

  leader_settings Settings;
  std::uint64_t Fence = 0;
  const schedule_state &State;
  core::metrics_registry &Metrics;
  core::time_point StartedAt{};
  /// Begins at a number that no earlier leader reached, because an answer to
  /// an order of an earlier leader in this process may still arrive.
  std::uint64_t LastOrder = 0;
  std::map<std::uint32_t, tracked_endpoint> TrackedEndpoints;
  /// The life that each run was given to.
  std::unordered_map<task_key, std::uint32_t, task_key_hash> EndpointOfRun;
  /// Announcements of lives that are not committed yet, by id.
  std::map<std::string, std::pair<endpoint_heartbeat, core::time_point>>
      UncommittedHeartbeats;
  std::vector<std::uint32_t>
      DueEndpoints; ///< Lives with news since takeOrders().
  core::time_point NextSweep{};
  std::vector<std::uint32_t> PolledEndpoints; ///< Lives whose lists were read.
  std::map<std::uint64_t, sent_order> SentOrders;
  std::map<task_key, core::time_point> DeferredTasks; ///< Not placed before.
  std::vector<end_run> UnstartedRuns; ///< Runs that certainly did not start.
  std::set<std::uint32_t>
      EndedIncarnations; ///< Lives that answered as another one.
  std::map<std::uint32_t, std::uint64_t> CursorAfterBatch;
  bool IsPlacementDue = true;
  core::time_point NextPlacement{}; ///< Also without any news.
  core::time_point EarliestPlacement{};
  core::time_point NextLostCheck{};
  std::size_t OpenStarts = 0; ///< Start orders without a result.
  host_inventory Hosts;
  demand_forecaster Demand;
  duration_models Durations;
  rank_cache Ranks{Durations};
  advice_cache Advice;
  core::time_point NextAdvice{};
  core::time_point NextPrune{};
};

} // namespace lycheetrestle::scheduling

#endif
