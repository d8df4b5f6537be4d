#ifndef LYCHEETRESTLE_SCHEDULING_LEADER_H
#define LYCHEETRESTLE_SCHEDULING_LEADER_H

#include "core/clock.h"
#include "core/metrics.h"
#include "scheduling/advice_book.h"
#include "scheduling/contact.h"
#include "scheduling/demand_meter.h"
#include "scheduling/duration_book.h"
#include "scheduling/host_board.h"
#include "scheduling/host_mover.h"
#include "scheduling/orders.h"
#include "scheduling/placer.h"
#include "scheduling/rank_book.h"
#include "scheduling/schedule_state.h"

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
  core::duration EarlierLeader = std::chrono::milliseconds(2000);
  core::duration BeatInterval = std::chrono::milliseconds(1500);
  std::int64_t UpkeepMs = 2000; ///< How long a host is down for its upkeep.
  std::int64_t MoveMs = 1500;   ///< How long a host is away when it moves.
  bool HasPlatform = false;
  bool HasAdviser = false;
  double PlatformCallsPerSecond = 64.0;
};

/// Decisions of the scheduler that leads: which runs start and stop, leases,
/// lost endpoints, upkeep. Single-threaded and without input or output. It
/// proposes commands and sees them again through applied() once they are
/// committed; a run is ordered only after its start is committed.
class leader {
public:
  /// \param Fence token of all orders, larger than that of earlier leaders.
  /// \param State the replicated state; must outlive this object.
  leader(leader_settings Settings, std::uint64_t Fence,
         const schedule_state &State, core::metrics_registry &Metrics,
         core::time_point Now);

  /// Tells that a command was applied to the state.
  void applied(const command &Command, apply_outcome Outcome,
               core::time_point Now);
  /// \returns whether the announcement needs no command: it says nothing new.
  bool noteBeat(const endpoint_beat &Beat, core::time_point Now);
  /// Tells that every life with this id says that it ends.
  void noteLeaving(std::string_view Id, core::time_point Now);
  void finished(order_result Result, core::time_point Now);

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
  contact &contactOf(std::uint32_t Endpoint, core::time_point Now);
  void adoptRuns(core::time_point Now);
  /// Takes over the runs of an earlier life under the same id.
  void inheritRuns(contact &Contact, const endpoint_record &Endpoint,
                   core::time_point Now);
  void adoptFirstBeat(contact &Contact, const endpoint_facts &Facts);
  void forgetRun(const task_key &Task, std::uint32_t Attempt);
  void stopRunsOf(const job_record &Job, core::time_point Now);
  void collectEnds(std::vector<command> &Commands);
  void collectLost(std::vector<command> &Commands, core::time_point Now);
  void collectOccurrences(std::vector<command> &Commands, std::int64_t WallMs);
  void collectStarts(std::vector<command> &Commands, core::time_point Now,
                     std::int64_t WallMs);
  /// Notes pools in which a long-running task finds no place.
  void noteStarvedPools(const std::set<task_key> &Placed, core::time_point Now);
  std::vector<placement_target> targets(core::time_point Now);
  void measureRoom(contact &Contact, const endpoint_record &Endpoint) const;
  /// Makes orders be looked for at once.
  void touch(contact &Contact);
  /// Notes that the runs of a life have changed.
  void runsChanged(std::uint32_t Endpoint);
  bool mayTakeWork(const endpoint_record &Endpoint, const contact &Contact,
                   core::time_point Now) const;

  // leader_advice.cpp
  /// Asks for advice on steps that wait and whose queue wants it.
  void wantAdvice(std::span<const placement_target> Targets,
                  core::time_point Now);
  bool isAllowed(const task_key &Key, const job_record &Job,
                 std::uint32_t Endpoint, core::time_point Now) const;
  void orderAdvice(std::vector<order> &Orders, core::time_point Now);
  void finishAdvice(const advise_order &Order, const order_result &Result,
                    core::time_point Now);

  // leader_orders.cpp
  void orderAt(contact &Contact, std::vector<order> &Orders,
               core::time_point Now);
  void orderRuns(contact &Contact, std::vector<order> &Orders,
                 core::time_point Now);
  void orderHold(contact &Contact, std::vector<order> &Orders,
                 core::time_point Now);
  void orderPace(contact &Contact, std::vector<order> &Orders,
                 core::time_point Now);
  order &addOrder(std::vector<order> &Orders, const contact *Contact,
                  order_body Body, core::duration Timeout,
                  core::time_point Now);
  core::time_point nextOrderTime(const contact &Contact,
                                 core::time_point Now) const;
  std::uint64_t leaseUntil(contact &Contact, core::time_point Now);
  void releaseDraining(contact &Contact, core::time_point Now);

  // leader_results.cpp
  void finishStart(contact &Contact, const start_order &Order,
                   const order_result &Result, core::time_point Now);
  void finishStop(contact &Contact, const stop_order &Order,
                  const order_result &Result, core::time_point Now);
  void finishHold(contact &Contact, const hold_order &Order,
                  const order_result &Result, core::time_point SentAt,
                  core::time_point Now);
  void readLists(contact &Contact, const endpoint_answer &Answer,
                 core::time_point SentAt, core::time_point Now);
  bool noteAnswer(contact &Contact, const endpoint_answer &Answer,
                  core::time_point Now);
  void noteSilence(contact &Contact, std::string_view What,
                   std::string_view Reason, core::time_point Now);
  void refuseRun(contact &Contact, const task_key &Task, std::string_view Why,
                 core::time_point Now);
  void noteDuration(const task_key &Task, core::duration Took);
  void measurePace(contact &Contact, const endpoint_answer &Answer,
                   core::time_point Now);

  // leader_hosts.cpp
  void planHosts(std::vector<command> &Commands, core::time_point Now,
                 std::int64_t WallMs);
  void evacuate(core::time_point Now);
  bool hasPlaceElsewhere(const task_key &Task, std::uint32_t Endpoint,
                         std::span<const placement_target> Targets) const;
  void orderHosts(std::vector<order> &Orders, core::time_point Now);
  void finishHosts(const order &Order, const order_result &Result,
                   core::time_point Now);
  void finishPage(const hosts_answer &Page);
  void endReplacedLives();
  std::vector<upkeep_host> viewWave(const wave_record &Wave,
                                    core::time_point Now) const;
  bool mayInterrupt(const contact &Contact) const;
  /// \param CountsNeighbours whether tasks on the same endpoint count as away.
  std::uint32_t awayFrom(const task_key &Task, bool CountsNeighbours) const;
  const contact *contactOfHost(const std::string &Host) const;

  // leader_moves.cpp
  void planHostMoves(core::time_point Now, std::int64_t WallMs);
  void logPools(std::span<const pool_view> Pools,
                std::span<const mover_host> View, core::time_point Now);
  /// \returns cores to add to a pool's need when a task found no place there.
  double extraCores(const std::string &Pool, std::span<const mover_host> View,
                    core::time_point Now) const;
  std::map<std::string, double> neededCores(core::time_point Now,
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
  std::map<std::uint32_t, contact> Contacts;
  /// The life that each run was given to.
  std::unordered_map<task_key, std::uint32_t, task_key_hash> RunAt;
  /// Announcements of lives that are not committed yet, by id.
  std::map<std::string, std::pair<endpoint_beat, core::time_point>> FirstBeats;
  std::vector<std::uint32_t> Touched; ///< Lives with news since takeOrders().
  core::time_point NextSweep{};
  std::vector<std::uint32_t> Listed; ///< Lives whose lists were read.
  std::map<std::uint64_t, sent_order> Sent;
  std::map<task_key, core::time_point> HeldBack; ///< Not placed before.
  std::vector<end_run> Refused; ///< Runs that certainly did not start.
  std::set<std::uint32_t> Over; ///< Lives that answered as another one.
  std::map<std::uint32_t, std::uint64_t> CursorAfterBatch;
  bool IsPlacementDue = true;
  core::time_point NextPlacement{}; ///< Also without any news.
  core::time_point EarliestPlacement{};
  core::time_point NextLostCheck{};
  std::size_t OpenStarts = 0; ///< Start orders without a result.
  host_board Hosts;
  demand_meter Demand;
  duration_book Durations;
  rank_book Ranks{Durations};
  advice_book Advice;
  core::time_point NextAdvice{};
  core::time_point NextPrune{};
};

} // namespace lycheetrestle::scheduling

#endif
