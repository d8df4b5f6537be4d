#ifndef LYCHEETRESTLE_SCHEDULING_LEADER_H
#define LYCHEETRESTLE_SCHEDULING_LEADER_H

#include "admission/admission.h"
#include "admission/completion_calibration.h"
#include "core/clock.h"
#include "core/indexed_map.h"
#include "core/metrics.h"
#include "core/phase_timer.h"
#include "scheduling/advice_cache.h"
#include "scheduling/crash_quarantine.h"
#include "scheduling/demand_forecaster.h"
#include "scheduling/due_queue.h"
#include "scheduling/duration_models.h"
#include "scheduling/end_proof.h"
#include "scheduling/host_crash_log.h"
#include "scheduling/host_inventory.h"
#include "scheduling/job_outlook.h"
#include "scheduling/leader_load.h"
#include "scheduling/orders.h"
#include "scheduling/placement_bound.h"
#include "scheduling/placement_report.h"
#include "scheduling/placer.h"
#include "scheduling/poll_pacer.h"
#include "scheduling/pool_blockage.h"
#include "scheduling/pool_rebalancer.h"
#include "scheduling/queue_load.h"
#include "scheduling/rank_cache.h"
#include "scheduling/refusal_log.h"
#include "scheduling/schedule_state.h"
#include "scheduling/step_availability.h"
#include "scheduling/tracked_endpoint.h"
#include "scheduling/verdict_log.h"
#include "scheduling/waiting_index.h"
#include "scheduling/workspace_shares.h"
#include "workspaces/rate_meter.h"
#include "workspaces/start_budget.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace lycheetrestle::scheduling {

/// Timing of leases and hosts, and the services that a leader can call.
struct leader_settings {
  /// Duration of a lease in the endpoint's clock.
  core::duration Lease = std::chrono::milliseconds(5000);
  /// Endpoints shorten longer leases to this duration.
  core::duration MaxLease = std::chrono::milliseconds(10'000);
  /// How long a previous leader may still issue leases once this one decides:
  /// schedule_node subtracts the time since the election.
  core::duration PreviousLeaderGrace = std::chrono::milliseconds(2000);
  /// Interval at which endpoints send heartbeats.
  core::duration HeartbeatInterval = std::chrono::milliseconds(1500);
  std::int64_t MaintenanceMs = 2000; ///< Downtime of a host in maintenance.
  std::int64_t MoveMs = 1500; ///< Downtime of a host that changes its pool.
  bool HasPlatform = false;
  bool HasAdviser = false;
  /// Refuse jobs on overload also where the configuration requires no keys.
  bool RefusesOverload = false;
  double PlatformCallsPerSecond = 64.0;
  /// Ends that an endpoint lists in one answer. It keeps the others until the
  /// cursor confirms those.
  std::size_t MaxEndsPerAnswer = 500;
  /// Number of endpoints up to which this process sends their orders itself;
  /// with more, delegates do.
  std::size_t OwnEndpoints = 60;
};

/// Decision logic of the leading scheduler: starts and stops of runs, leases,
/// detection of lost endpoints, host maintenance and moves between pools.
///
/// Single-threaded and free of input and output. The leader proposes commands
/// with takeCommands(); the caller reports each committed command with
/// recordApplied(). The order that starts a run is sent only after the start is
/// committed.
class leader {
public:
  /// \param Fence fencing token of this leader, larger than that of any earlier
  /// one; at most MaxFence.
  /// \param State the replicated state; must outlive this object.
  leader(leader_settings Settings, std::uint64_t Fence,
         const schedule_state &State, core::metrics_registry &Metrics,
         core::time_point Now);

  /// Records that a command was applied to the state.
  void recordApplied(const command &Command, apply_outcome Outcome,
                     core::time_point Now);
  /// \returns true when no command has to be proposed for the heartbeat: it
  /// changes no replicated fact, or it names another incarnation than the
  /// recorded one, which takes its place only when it has answered a probe.
  bool recordHeartbeat(const endpoint_heartbeat &Heartbeat,
                       core::time_point Now);
  /// \param Facts facts of a heartbeat that recordHeartbeat() did not settle.
  /// \returns the command to propose for them. It tells why an earlier
  /// incarnation with the same id ended.
  record_endpoint describeEndpoint(endpoint_facts Facts,
                                   core::time_point Now) const;
  /// Records that the endpoint with this id deregistered.
  /// \param IncarnationMs the incarnation that did, if known; a late call of an
  /// earlier one does not end the recorded one.
  /// \returns the command to commit before the call is acknowledged, or nothing
  /// when there is nothing to commit.
  std::optional<record_deregistration>
  recordDeregistration(std::string_view Id, core::time_point Now,
                       std::optional<std::uint64_t> IncarnationMs = {});
  /// \returns whether jobs are refused on overload.
  bool hasAdmissionControl() const;
  /// Decides on a job that is neither known nor proposed.
  /// \param WallMs wall time.
  /// \returns the Retry-After in seconds when the job is refused because of
  /// overload, or nothing when it is accepted.
  std::optional<std::uint32_t>
  refuse(const submit_job &Submit, core::time_point Now, std::int64_t WallMs);
  /// Processes the answer to an order, or its absence.
  void finishOrder(order_result Result, core::time_point Now);

  /// \param WallMs wall time.
  /// \returns commands to propose as one batch. Call it again only after the
  /// previous batch was applied.
  std::vector<command> takeCommands(core::time_point Now, std::int64_t WallMs);
  /// \returns orders to send now.
  std::vector<order> takeOrders(core::time_point Now);
  /// \returns the time of the next call to takeCommands() and takeOrders() when
  /// no event comes before.
  core::time_point nextTime(core::time_point Now) const;
  /// \param WallMs wall time.
  /// \returns the work that waits for a decision or an answer.
  leader_load load(core::time_point Now, std::int64_t WallMs) const;
  /// Called regularly; the time since when a task is unserved is that of the
  /// first call that found it so.
  /// \param WallMs wall time.
  /// \param IsBatchOpen whether decisions of this leader are not committed yet.
  /// \returns the long-running tasks that are not at work, the suspect tasks
  /// that wait for a run, and what each of them waits for.
  std::vector<unserved_task>
  unservedTasks(core::time_point Now, std::int64_t WallMs, bool IsBatchOpen);
  /// \returns why hosts of running waves wait, by wave.
  const std::map<std::uint64_t, wave_delay> &waveDelays() const {
    return Hosts.WaveDelays;
  }
  /// Called after unservedTasks().
  /// \param WallMs wall time.
  /// \returns what keeps the work of pools from being started in which a task
  /// has been unserved, or a job without a run, for seconds. The pools with
  /// the oldest such work come first, and others than these are left out.
  std::vector<pool_blockage> blockedPools(core::time_point Now,
                                          std::int64_t WallMs);
  /// \returns the endpoints of the pool and the room on them as this leader
  /// believes, without orders and waiting work.
  pool_blockage describeRoom(const std::string &Pool, core::time_point Now);

  /// Takes a job of the workspace into account.
  /// \returns whether the workspace submits more jobs than its rate allows.
  bool isOverRate(const workspaces::workspace_spec &Workspace,
                  core::time_point Now);

  /// \returns whether a job that the workspace submitted now would exceed its
  /// rate.
  bool wouldExceedRate(const workspaces::workspace_spec &Workspace,
                       core::time_point Now) const;

  // leader_outlook.cpp
  /// \param Job an accepted job, or the record that a job would get.
  /// \param Occurrence one of its occurrences.
  /// \param WallMs wall time.
  /// \returns where its tasks would start now. Nothing is started or counted.
  job_outlook outlookOf(const job_record &Job,
                        const occurrence_record &Occurrence,
                        core::time_point Now, std::int64_t WallMs);
  /// \param WallMs wall time.
  /// \returns the decision of refuse() on the job, or nothing without admission
  /// control. Nothing is counted.
  std::optional<admission::decision> estimate(const submit_job &Submit,
                                              std::int64_t WallMs) const;

  /// Phases of takeCommands().
  enum phase : std::size_t { Ends, Losses, HostPlans, Starts, PhaseCount };
  using phase_times = core::phase_timer<core::thread_cpu_clock, PhaseCount>;
  /// \returns the processor time of the phases since the previous call.
  phase_times::totals takeTimes() { return Timer.take(); }

  /// Largest fencing token of a leader, so that those of endpoints stay below
  /// 2^53.
  static constexpr std::uint64_t MaxFence = (std::uint64_t(1) << 25) - 1;

private:
  /// Another incarnation than the recorded one, according to a heartbeat.
  struct incarnation_candidate {
    endpoint_heartbeat Heartbeat;
    core::time_point HeardAt{};
    std::uint64_t PendingProbe = 0; ///< Id of the unanswered order, or 0.
    core::time_point ProbedAt{};
  };

  // leader_incarnations.cpp
  void recordCandidate(const endpoint_heartbeat &Heartbeat,
                       core::time_point Now);
  void addProbes(std::vector<order> &Orders, core::time_point Now);
  void finishProbe(const order &Order, const order_result &Result,
                   core::time_point Now);
  /// \returns whether an incarnation that answered may take the place of the
  /// recorded one.
  bool mayReplace(const endpoint_facts &Facts, core::time_point Now);
  /// Proposes the incarnations that were proven.
  void collectIncarnations(std::vector<command> &Commands,
                           core::time_point Now);
  void pruneCandidates(core::time_point Now);
  /// \returns whether an unproven incarnation with the endpoint's id may answer
  /// at its address.
  bool hasCandidateAtAddress(const tracked_endpoint &Tracked) const;
  /// \returns whether the heartbeat may be the endpoint's newest one.
  static bool isInOrder(const tracked_endpoint &Tracked,
                        const endpoint_heartbeat &Heartbeat,
                        core::time_point Now);
  /// \returns the latest clock that the endpoint can have now.
  static std::uint64_t latestClock(const tracked_endpoint &Tracked,
                                   core::time_point Now);
  /// Records the clock in an answer of the endpoint.
  static void confirmClock(tracked_endpoint &Tracked, std::uint64_t ClockMs,
                           core::time_point Now);
  /// Polls the endpoint, at most once in each heartbeat interval, because
  /// heartbeats contradict each other.
  void verify(tracked_endpoint &Tracked, core::time_point Now);

  // leader_contact.cpp
  /// \returns whether the endpoint has answered recently enough for the start
  /// of a long-running task.
  bool isInContact(const tracked_endpoint &Tracked, core::time_point Now) const;
  /// \returns whether the endpoint has not answered a contact check in time, so
  /// that another one is asked.
  bool isUnanswered(const tracked_endpoint &Tracked,
                    core::time_point Now) const;
  /// Makes the next takeOrders() ask the endpoint for an answer.
  void requestContact(tracked_endpoint &Tracked);
  /// Takes out the placements of long-running tasks on endpoints that have not
  /// answered recently, and all members of their gangs, and asks these
  /// endpoints for an answer.
  /// \param [in,out] Placements what a round decided.
  /// \returns the tasks that were taken out.
  std::vector<task_key> holdForContact(std::vector<placement> &Placements,
                                       core::time_point Now);
  void addContactCheck(tracked_endpoint &Tracked, std::vector<order> &Orders,
                       core::time_point Now);
  void finishContactCheck(tracked_endpoint &Tracked, const order_result &Result,
                          core::time_point SentAt, core::time_point Now);

  // leader_load.cpp
  /// Whether a pool has an endpoint that accepts new runs, by pool.
  using pool_flags = std::map<std::string, bool>;
  /// \returns what a task that is not at work waits for, for the log.
  std::string_view waitsFor(const task_key &Task, const task_record &Record,
                            const job_record &Job, bool IsBatchOpen,
                            pool_flags &HasEndpoint,
                            core::time_point Now) const;

  /// \returns why the last round of placement left the step of a long-running
  /// task without an endpoint, or nothing when it has not.
  std::optional<placement_failure> failureOf(task_key Task) const;
  /// Adds to a task that is not at work what is known about the endpoint of its
  /// run.
  void describeEndpointOf(unserved_task &Task, const tracked_endpoint &Tracked,
                          core::time_point Now) const;

  // leader_blockage.cpp
  /// \returns whether the endpoint accepts new runs, or why it does not.
  endpoint_use useOf(const endpoint_record &Endpoint,
                     const tracked_endpoint &Tracked,
                     core::time_point Now) const;
  /// Adds what an endpoint of the pool contributes.
  void addEndpoint(pool_blockage &Blockage, tracked_endpoint &Tracked,
                   const endpoint_record &Endpoint, core::time_point Now) const;

  // leader.cpp
  tracked_endpoint &trackEndpoint(std::uint32_t Endpoint, core::time_point Now);
  /// Tracks the endpoints and runs of the replicated state after a change of
  /// leader, and stops the runs of jobs that are over.
  void restoreRuns(core::time_point Now);
  /// Assigns the runs of an earlier incarnation with the same id to the new
  /// one, which may have received their start orders.
  void transferRuns(tracked_endpoint &Tracked, const endpoint_record &Endpoint,
                    core::time_point Now);
  /// Records the clock sample of the heartbeat that announced a new
  /// incarnation, so that it can get leases at once.
  void applyFirstHeartbeat(tracked_endpoint &Tracked,
                           const endpoint_facts &Facts);
  /// \returns the step of the task, or null when the state has no such job or
  /// step, for example because it no longer keeps the job.
  const step_spec *findStep(const task_key &Task) const;
  /// Notes that an order for an earlier incarnation, or of an earlier leader,
  /// may have throttled the run.
  void forgetThrottle(const task_key &Task, tracked_run &Run) const;
  void removeRun(const task_key &Task, std::uint32_t Attempt);
  /// Stops the runs of a job that is over.
  void stopRunsOf(const job_record &Job, core::time_point Now);
  /// Makes the next takeOrders() send a stop of the run.
  static void beginStop(tracked_run &Run, stop_reason Reason,
                        core::time_point Now);
  void collectEnds(std::vector<command> &Commands);
  void collectLosses(std::vector<command> &Commands, core::time_point Now);
  /// Looks for a proof that an endpoint that deregistered has ended.
  /// \returns whether there is one, so that its end is proposed.
  bool collectDeparture(const tracked_endpoint &Tracked,
                        std::vector<command> &Commands, core::time_point Now);
  void collectOccurrences(std::vector<command> &Commands, std::int64_t WallMs);
  void collectStarts(std::vector<command> &Commands, core::time_point Now,
                     std::int64_t WallMs);
  /// \returns the checks of a round of placement, without the limits of
  /// workspaces and without suspects.
  placement_request placementRequest(core::time_point Now) const;
  // leader_outlook.cpp
  step_outlook describe(const placement_outlook &Found, const job_record &Job,
                        const occurrence_record &Occurrence, std::uint32_t Step,
                        core::time_point Now) const;
  // leader_workspaces.cpp
  using workspace_use =
      std::map<std::string, workspaces::resource_usage, std::less<>>;
  /// \returns what the runs use that are listed by an endpoint to which they
  /// are not assigned, by workspace.
  workspace_use orphanedUse(core::time_point Now) const;
  /// \param Orphaned result of orphanedUse().
  /// \returns what a workspace uses, with the orphaned runs, and its limit.
  workspaces::start_budget::account
  accountOf(std::string_view Workspace, const workspace_use &Orphaned) const;

  /// Records the pools in which a long-running task could not be placed.
  void recordUnplaceableTasks(const std::set<task_key> &Placed,
                              core::time_point Now);
  /// \returns the endpoints of the pool that accepted new runs lately, with
  /// their free capacity. isSchedulable() tells whether one still does. Valid
  /// until the next change of the tracked endpoints; a caller that changes the
  /// free capacity calls recordRunsChanged().
  std::span<tracked_endpoint *const> candidateTargets(const std::string &Pool,
                                                      core::time_point Now);
  /// Finds the candidates of all pools.
  void refreshCandidates(core::time_point Now);
  /// Forgets an endpoint that is not tracked any more.
  void removeCandidate(const tracked_endpoint &Tracked);
  void computeFreeCapacity(tracked_endpoint &Tracked,
                           const endpoint_record &Endpoint) const;
  /// \returns whether only the scheduler protects the endpoint from overload.
  bool isUnguarded(const endpoint_record &Endpoint) const;
  /// \returns whether a recent heartbeat announced the endpoint's capacity.
  bool isCapacityKnown(const tracked_endpoint &Tracked,
                       core::time_point Now) const;
  void recordCapacity(tracked_endpoint &Tracked,
                      const endpoint_heartbeat &Heartbeat,
                      core::time_point ReceivedAt);
  /// Makes the next takeOrders() collect the orders of the endpoint.
  void markDue(tracked_endpoint &Tracked);
  /// Marks the free capacity of an endpoint as stale and its orders as due
  /// after a change of its runs.
  void recordRunsChanged(std::uint32_t Endpoint);
  /// \returns whether new runs may be placed on the endpoint.
  bool isSchedulable(const endpoint_record &Endpoint,
                     const tracked_endpoint &Tracked,
                     core::time_point Now) const;
  bool isSchedulable(const tracked_endpoint &Tracked,
                     core::time_point Now) const;

  // leader_advice.cpp
  /// Requests advice for waiting steps whose queue requires it.
  void requestAdvice(std::span<placement_target *const> Targets,
                     core::time_point Now);
  /// \returns whether the adviser, when the queue requires one, allows the task
  /// on the endpoint.
  bool isAllowed(const task_key &Key, const job_record &Job,
                 std::uint32_t Endpoint, core::time_point Now) const;
  void addAdviceOrder(std::vector<order> &Orders, core::time_point Now);
  void finishAdvice(const advise_order &Order, const order_result &Result,
                    core::time_point Now);

  // leader_orders.cpp
  /// Treats orders whose result is overdue as unanswered, at most twice a
  /// second. A result that comes later is ignored.
  void expireOrders(core::time_point Now);
  void collectOrders(tracked_endpoint &Tracked, std::vector<order> &Orders,
                     core::time_point Now);
  void collectDueOrders(tracked_endpoint &Tracked, std::vector<order> &Orders,
                        core::time_point Now);
  void addRunOrders(tracked_endpoint &Tracked, std::vector<order> &Orders,
                    core::time_point Now);
  void stopOrphanedRuns(tracked_endpoint &Tracked, std::vector<order> &Orders,
                        core::time_point Now);
  /// Checks the start of a run on an endpoint that does not enforce its limits.
  /// A start that never was sent ends as refused when its capacity is gone; any
  /// other one waits for the endpoint's next list.
  /// \returns whether the start may be sent now.
  bool maySendStart(tracked_endpoint &Tracked, const task_key &Key,
                    tracked_run &Run, core::time_point Now);
  void addPollOrder(tracked_endpoint &Tracked, std::vector<order> &Orders,
                    core::time_point Now);
  void addThrottleOrders(tracked_endpoint &Tracked, std::vector<order> &Orders,
                         core::time_point Now);
  order &addOrder(std::vector<order> &Orders, const tracked_endpoint *Tracked,
                  order_body Body, core::duration Timeout,
                  core::time_point Now);
  /// \returns when the orders of the endpoint are to be collected next, if no
  /// event comes before.
  core::time_point nextOrderTime(const tracked_endpoint &Tracked,
                                 const endpoint_record &Endpoint,
                                 core::time_point Now) const;
  /// \returns the fencing token of orders to an incarnation. It rises with the
  /// leader and, under one leader, with each incarnation. An endpoint checks
  /// its id only, so that without this a late order for an earlier incarnation
  /// with the same id would be executed: a start of a task that is done, or a
  /// poll whose cursor confirms ends that nobody has read.
  std::uint64_t fenceOf(std::uint32_t Endpoint) const;
  /// \returns the end of a new lease in milliseconds of the endpoint's clock.
  std::uint64_t issueLease(tracked_endpoint &Tracked, core::time_point Now);
  /// Remembers that polls for an incarnation that ends may prolong the lease of
  /// the next one with its id.
  void rememberLeases(const tracked_endpoint &Tracked, core::time_point Now);
  /// Allows for such polls.
  /// \param Tracked an incarnation that was recorded just now.
  void inheritLeases(tracked_endpoint &Tracked);

  // leader_results.cpp
  void finishStart(tracked_endpoint &Tracked, const start_order &Order,
                   const order_result &Result, core::time_point SentAt,
                   core::time_point Now);
  void finishStop(tracked_endpoint &Tracked, const stop_order &Order,
                  const order_result &Result, core::time_point Now);
  /// Records the answer to a poll, or that there is none.
  /// \param What the kind of the poll, for the log.
  /// \returns the answer if the tracked incarnation has obeyed the poll, or
  /// null.
  const endpoint_answer *recordPollAnswer(tracked_endpoint &Tracked,
                                          std::string_view What,
                                          const order_result &Result,
                                          core::time_point Now);
  void finishPoll(tracked_endpoint &Tracked, const poll_order &Order,
                  const order_result &Result, core::time_point SentAt,
                  core::time_point Now);
  /// Compares the endpoint's list of runs with the runs recorded here.
  void reconcileRuns(tracked_endpoint &Tracked, const endpoint_answer &Answer,
                     core::time_point SentAt, core::time_point Now);
  /// Records that another incarnation answers under the endpoint's id.
  void recordReplacement(tracked_endpoint &Tracked, core::time_point Now);
  /// \returns whether the answer comes from the tracked incarnation and the
  /// endpoint obeys this leader.
  bool recordAnswer(tracked_endpoint &Tracked, const endpoint_answer &Answer,
                    core::time_point Now);
  /// \param What the kind of the order, for the log.
  void recordNoAnswer(tracked_endpoint &Tracked, std::string_view What,
                      const no_answer &NoAnswer, core::time_point Now);
  /// Ends a run that certainly did not start and defers the task.
  void endUnstartedRun(tracked_endpoint &Tracked, const task_key &Task,
                       std::string_view Why, core::time_point Now);
  void recordDuration(const task_key &Task, core::duration Elapsed);
  void updateThrottle(tracked_endpoint &Tracked, const endpoint_answer &Answer,
                      core::time_point Now);

  // leader_open_starts.cpp
  /// \returns until when a start order of the run that has no answer may be
  /// executed, also by a later incarnation with the endpoint's id, or zero.
  static core::time_point openUntil(const tracked_run &Run,
                                    core::time_point Now);
  /// Sets until when the start of a run of an earlier leader may be executed.
  void inheritOpenStart(tracked_run &Run, const task_record &Task,
                        bool HasEnded, core::time_point Now) const;
  /// Takes the run in a list for that of the only copy of its start order.
  /// Each further copy is sent only after the log says that an earlier one may
  /// have no answer, see mayRepeatStart().
  static void settleAssumedStart(tracked_run &Run);
  /// Proposes to record that an earlier copy of the start order may have no
  /// answer, unless the next list may show that it was executed.
  /// \returns whether the log says so since the newest copy was sent, or there
  /// is no earlier copy.
  bool mayRepeatStart(const tracked_endpoint &Tracked, const task_key &Task,
                      const task_record &Record, tracked_run &Run,
                      core::time_point Now);
  /// Notes that the log says so.
  void recordOpenStart(const record_open_start &Record, core::time_point Now);
  /// Proposes to record that the only copy of the start order was executed, if
  /// the step is long-running and no other copy may exist. Called when an
  /// answer accepts the order or a list of the incarnation shows the run.
  void proposeAnsweredStart(const tracked_endpoint &Tracked,
                            const task_key &Task, tracked_run &Run);
  /// \param TimeMs wall time of an earlier command.
  /// \returns the time from it to the newest command, which passes no faster
  /// than the time of the leaders, or zero.
  core::duration logTimeSince(std::int64_t TimeMs) const;
  /// \returns the end of the longest lease of a run that starts at the time.
  core::time_point endOfLongestLease(core::time_point Start) const;
  /// \returns the command that records the end of the incarnation, with the
  /// runs that have open starts.
  end_endpoint describeEnd(const tracked_endpoint &Tracked, incarnation_end End,
                           core::time_point Now) const;
  /// Makes the runs that the incarnation has left wait for the next one.
  void keepOpenStarts(tracked_endpoint &Tracked, core::time_point Now);
  /// Ends the runs of an ended incarnation whose starts can no longer be
  /// executed.
  void collectOpenStarts(tracked_endpoint &Tracked,
                         std::vector<command> &Commands, core::time_point Now);
  /// \returns whether no later incarnation can have the endpoint's id, because
  /// another endpoint took its address or its host.
  bool isSucceeded(const tracked_endpoint &Tracked) const;
  /// \returns what is known about the end of the endpoint.
  end_evidence evidenceOf(const tracked_endpoint &Tracked) const;
  /// \returns why no incarnation with the id of an endpoint that has ended runs
  /// the run or will run it, or None when one may.
  end_proof mayStartElsewhere(const tracked_endpoint &Tracked,
                              const tracked_run &Run,
                              core::time_point Now) const;
  /// Proposes the run as lost, or as refused when it cannot have started.
  void loseRun(const tracked_endpoint &Tracked, const task_key &Task,
               tracked_run &Run, std::string_view Reason,
               std::vector<command> &Commands, core::time_point Now);

  // leader_verdicts.cpp
  /// Remembers why a run is recorded as ended without an end in a list.
  void recordVerdict(const tracked_endpoint &Tracked, const task_key &Task,
                     const tracked_run &Run, run_end Outcome,
                     std::string_view Reason, core::time_point Now);
  /// Logs a start order that got no answer, a limited number each second.
  void logUnansweredStart(const tracked_endpoint &Tracked,
                          const start_order &Order, const no_answer &NoAnswer,
                          core::time_point SentAt, core::time_point Now);
  /// Logs the runs that an incarnation has lost with its end although their
  /// start orders have no answer.
  void logRunsOfEnded(const tracked_endpoint &Tracked, end_cause Cause,
                      core::time_point Now) const;
  /// Logs and counts that the endpoint lists a run as running or done although
  /// it was recorded as ended in another way.
  /// \param Listed what the list shows, for the log.
  void checkVerdict(const tracked_endpoint &Tracked, const task_key &Task,
                    std::uint32_t Attempt, std::string_view Listed,
                    core::time_point Now);

  // leader_hosts.cpp
  void planHosts(std::vector<command> &Commands, core::time_point Now,
                 std::int64_t WallMs);
  host_operation &addMaintenance(const std::string &Host, std::uint64_t Wave,
                                 core::time_point Now);
  /// Stops long-running tasks on cordoned hosts, within their budgets, when
  /// another endpoint has capacity for them.
  void evacuate(core::time_point Now);
  /// Sizes for which no endpoint of a pool has room, by pool.
  using full_pools = std::map<std::string, std::vector<resource_amounts>>;
  /// \param Full what the earlier calls of the same pass have found.
  bool fitsElsewhere(const task_key &Task, std::uint32_t Endpoint,
                     full_pools &Full, core::time_point Now);
  void addHostOrders(std::vector<order> &Orders, core::time_point Now);
  void finishHostOrder(const order &Order, const order_result &Result,
                       core::time_point Now);
  void finishHostPage(const hosts_answer &Page);
  void beginHostList(core::time_point Now);
  /// Makes the next list start this long after the newest one started, or
  /// earlier.
  void requestHostList(core::duration Interval);
  /// \param IsWhole whether all pages were received. The hosts that an
  /// incomplete list does not name keep their earlier rows.
  void finishHostList(bool IsWhole);
  /// Ends incarnations that the platform no longer lists on their host.
  void endReplacedIncarnations();
  /// Hosts of a wave that have not begun and have tasks of one step.
  struct step_hosts {
    std::uint32_t Hosts = 0;
    std::uint32_t LastEndpoint = 0; ///< Counted last.
    std::uint32_t Number = 0;       ///< Of the step, among those of the wave.
  };
  /// By the first task of the step.
  using budget_rounds = std::unordered_map<task_key, step_hosts, task_key_hash>;
  budget_rounds budgetRounds(const wave_record &Wave) const;
  /// Logs, at most once a second, why the hosts of the wave that is nearest to
  /// its deadline wait.
  void logWaveDelay(core::time_point Now);
  std::vector<maintenance_host> maintenanceHosts(const wave_record &Wave,
                                                 core::time_point Now) const;
  const tracked_endpoint *trackedOnHost(const std::string &Host) const;

  // leader_budget.cpp
  /// What an order ends beside the task whose budget is asked.
  enum class interruption : std::uint8_t {
    Run,         ///< Nothing.
    DrainingRun, ///< Nothing, and the task's endpoint drains.
    Endpoint,    ///< All tasks on the same endpoint.
  };
  /// Other tasks of a step.
  struct peer_counts {
    /// Not running, below 100 percent, or on an endpoint that does not answer,
    /// drains or has a host operation that may take effect. For the stop of a
    /// draining run, tasks at work on endpoints that drain are not among them,
    /// because the same check comes before their stops.
    std::uint32_t Unavailable = 0;
    /// Among them, tasks at work on a host whose operation may take effect.
    std::uint32_t Ordered = 0;
  };
  /// How a task of a long-running step counts for the budget of its peers.
  struct peer_availability {
    bool IsAvailable = false; ///< At work on an endpoint that answers.
    bool IsOrdered = false;   ///< Its host's operation may take effect.
    bool IsDraining = false;  ///< Its endpoint drains.
    bool IsLeaving = false;   ///< Its endpoint has another end than a drain.
    /// \param CountsDrains whether tasks on endpoints that drain count.
    bool isUnavailable(bool CountsDrains) const {
      return !IsAvailable || IsOrdered || IsLeaving ||
             (CountsDrains && IsDraining);
    }
  };
  /// The steps whose availability was determined at one moment, by their first
  /// task. A step whose tasks have changed since has to be erased.
  using step_availabilities =
      std::unordered_map<task_key, step_availability, task_key_hash>;
  /// \param Key a task of a long-running step.
  /// \param Number number of the endpoint that it is assigned to, or 0.
  peer_availability availabilityOf(const task_key &Key, std::uint32_t Number,
                                   core::time_point Now) const;
  peer_counts countPeers(const task_key &Task, interruption Interruption,
                         core::time_point Now) const;
  /// \returns whether the unavailability budget allows to end this task.
  bool isWithinBudget(const task_key &Task, interruption Interruption,
                      core::time_point Now) const;
  /// \returns the task's step when it has an unavailability budget, or null.
  const step_spec *findBudgetedStep(const task_key &Task) const;
  /// \returns the availability of the task's step, from Known if it is there,
  /// or null when the task has no open occurrence.
  const step_availability *findAvailability(const task_key &Task,
                                            step_availabilities &Known,
                                            core::time_point Now) const;
  /// \returns whether the unavailability budget allows to stop the task, as
  /// isWithinBudget() does; for many tasks at one moment.
  bool mayStop(const task_key &Task, step_availabilities &Known,
               core::time_point Now) const;
  /// \returns whether the unavailability budgets allow to interrupt all runs of
  /// the endpoint.
  bool mayInterrupt(const tracked_endpoint &Tracked, step_availabilities &Known,
                    core::time_point Now) const;
  bool mayInterrupt(const tracked_endpoint &Tracked,
                    core::time_point Now) const;
  /// \returns whether no list of hosts has shown yet on which host the endpoint
  /// runs, since it is tracked.
  bool isUnlisted(const tracked_endpoint &Tracked) const;
  /// \returns whether an endpoint runs on the host that the newest list shows
  /// on it. Otherwise a later incarnation may run on it.
  bool hasListedEndpoint(const std::string &Host) const;
  /// \returns whether an order to the host may end long-running tasks on an
  /// endpoint that no list has shown yet.
  bool mayEndUnlistedRuns(const std::string &Host) const;
  /// \returns whether no list has shown the endpoint yet, and an order that may
  /// still take effect was sent to a host on which it may run.
  bool mayBeOnOrderedHost(std::uint32_t Endpoint, core::time_point Now) const;
  /// \returns whether an earlier leader may have ordered to move the host of
  /// the endpoint, and the move may still take effect. Moves are not in the
  /// log; only hosts without runs are moved.
  bool mayBeMovedByEarlierLeader(std::uint32_t Endpoint,
                                 core::time_point Now) const;
  /// \returns whether the orders to hosts of earlier leaders that may still
  /// take effect are known: they follow from the first list of hosts.
  bool knowsEarlierHostOrders() const;
  /// \returns whether a draining endpoint may end its runs before a later
  /// decision.
  bool isDrainNearEnd(const tracked_endpoint &Tracked,
                      core::time_point Now) const;
  /// Stops long-running tasks within their budgets, and all runs shortly before
  /// the endpoint ends them.
  void stopDrainingRuns(tracked_endpoint &Tracked, core::time_point Now);
  /// Logs the inputs of the unavailability budget when a long-running task is
  /// stopped.
  void logStop(const tracked_endpoint &Tracked, const task_key &Key,
               const tracked_run &Run, core::time_point Now) const;
  /// Logs the same for each long-running task that an order to a host ends.
  void logInterruptions(const tracked_endpoint &Tracked,
                        const std::string &Host, core::time_point Now) const;

  // leader_orphans.cpp
  /// Replaces the endpoint's orphaned runs by those of its newest list.
  void recordOrphans(tracked_endpoint &Tracked,
                     std::map<task_key, orphaned_run> Orphans);
  /// \returns whether an endpoint lists an earlier run of the task, which is
  /// not assigned to it and may be at work.
  bool isOrphaned(const task_key &Task, core::time_point Now) const;
  /// \returns whether the endpoint may still execute its orphaned runs.
  bool mayRunOrphans(const tracked_endpoint &Tracked,
                     core::time_point Now) const;
  /// Proposes an end as done of a run that is not assigned to the endpoint for
  /// its task, unless a later run of it may have been started, or the verdict
  /// on the run was that its lease had expired.
  void claimDone(tracked_endpoint &Tracked, const end_row &Row,
                 core::time_point Now);
  /// Ends a run that has been committed but not sent because its task is done.
  void withdrawClaimed(tracked_endpoint &Tracked, const task_key &Task,
                       core::time_point Now);

  // leader_stops.cpp
  /// Makes the next poll tell whether the run is at work before it is stopped.
  static void verifyStart(tracked_run &Run, core::time_point Now);
  /// Logs the stop of a run that the endpoint lists although it is not assigned
  /// to it.
  void logOrphanStop(const tracked_endpoint &Tracked, const task_key &Key,
                     const orphaned_run &Run, core::time_point Now) const;

  // leader_attempts.cpp
  /// Makes the job fail if one of its waiting tasks never starts again.
  void noteExhausted(const job_record &Job);
  /// Does so for all live jobs.
  void noteExhaustedJobs();
  void collectExhausted(std::vector<command> &Commands);

  // leader_crashes.cpp
  /// The time after a crash in which a waiting task may not start.
  struct start_pause {
    std::int64_t CrashMs = 0; ///< Wall time of the crash.
    core::time_point CrashedAt{};
    core::time_point Until{};
  };
  /// \returns what is known about the end of an incarnation that has ended.
  incarnation_end endOf(const endpoint_record &Endpoint,
                        core::time_point Now) const;
  end_cause causeOfEnd(const endpoint_record &Endpoint,
                       core::time_point Now) const;
  /// \returns the host that the endpoint runs or ran on, or an empty string.
  const std::string &hostOf(const endpoint_record &Endpoint) const;
  /// \returns whether an order to its host explains the end of the incarnation.
  bool isEndOrdered(const endpoint_record &Endpoint,
                    core::time_point Now) const;
  /// \returns whether most of its rack went down at the same time.
  bool failedWithRack(const endpoint_record &Endpoint,
                      core::time_point Now) const;
  /// Proposes the hosts of incarnations that the newest list shows.
  void collectHosts(std::vector<command> &Commands);
  /// Decides where suspect tasks may start, and reserves endpoints for them.
  /// \param Targets the endpoints that accept new runs.
  /// \returns for each waiting suspect task the endpoint on which it may start
  /// now, AnyEndpoint, or 0; all suspect members of a gang have the same one.
  std::unordered_map<task_key, std::uint32_t, task_key_hash>
  planSuspects(std::span<placement_target *const> Targets, core::time_point Now,
               std::int64_t WallMs);
  /// Records how long a waiting task may not start after a crash.
  /// \param Earlier the pauses before this round.
  /// \returns whether it may not start now.
  bool recordPause(const task_key &Key, const crash_history &History,
                   const crash_pause &Pause,
                   const std::map<task_key, start_pause> &Earlier,
                   core::time_point Now, std::int64_t WallMs);
  /// \returns how long the task may not start because of crashes, or 0.
  core::duration pauseLeft(const task_key &Key, core::time_point Now) const;
  /// Logs and counts the crashes that the newest command has counted against
  /// tasks, and takes those that are explained off the hosts.
  void recordCountedCrashes();
  /// Logs, at most once a second and pool, that suspects wait.
  void logSuspects(const std::string &Pool, const quarantine_plan &Plan,
                   core::time_point Now);
  /// \returns the incarnations that crashed under the task.
  std::vector<std::uint32_t> crashesOf(const task_key &Key) const;
  /// \returns 2 when the endpoint's host crashed under the suspect, 1 when it
  /// crashed lately, or 0.
  std::uint32_t hostRisk(const task_key &Key, std::uint32_t Endpoint,
                         core::time_point Now) const;
  /// \returns whether the task waits for a trial.
  bool waitsForTrial(const task_key &Key, const job_record &Job) const;
  /// \returns whether the running suspect may not have neighbours yet.
  bool isOnTrial(const task_key &Key, const suspect_record &Suspect,
                 const task_record &Task, core::time_point Now) const;
  /// \returns whether the task may run on the endpoint when that is empty.
  bool mayHoldAlone(const task_key &Key, std::uint32_t Endpoint,
                    core::time_point Now) const;
  /// Logs and counts the crash of an incarnation, and what it says about tasks.
  /// \param Tracked the incarnation, or the one that took its place.
  /// \param Number number of the incarnation that ended.
  void recordEnd(const tracked_endpoint &Tracked, std::uint32_t Number,
                 const incarnation_end &End, core::time_point Now);

  // leader_queues.cpp
  /// Counts a command for the log of queues.
  void countQueueLoad(const command &Command, apply_outcome Outcome);
  /// Logs once a second what each queue was offered and what it got.
  void logQueues(core::time_point Now, std::int64_t WallMs);

  // leader_admission.cpp
  /// Completion time that was predicted for an accepted job.
  struct completion_prediction {
    core::time_point SubmittedAt{};
    std::int64_t PredictedMs = 0;
    std::uint32_t Priority = 0;
  };
  /// Brings the loads of all pools up to date, a few times a second.
  void refreshPoolLoads(core::time_point Now);
  /// \returns the cores of hosts that move to a pool or can be moved to it, in
  /// thousandths, by pool.
  std::map<std::string, std::int64_t> joiningMilliCores() const;
  /// Records the completion time of a job that is over.
  void recordCompletion(const job_record &Job, core::time_point Now);
  /// Logs refusals, at most one line a second.
  void logRefusal(const submit_job &Submit, const queue_spec &Queue,
                  const admission::decision &Decision, core::time_point Now);

  // leader_moves.cpp
  /// Ends moves that the platform has not accepted in time, once no order for
  /// them can take effect any more, so that their hosts get work again.
  void dropMovesThatDidNotBegin(core::time_point Now);
  /// \param Move its newest order was answered with a failure.
  /// \returns whether a later list shows that the order did nothing.
  bool isShownUnmoved(const std::string &Host,
                      const host_operation &Move) const;
  /// Keeps the host from being chosen for a move for a while.
  void delayNextMove(const std::string &Host, core::time_point Now);
  /// \returns the hosts that must not move, because their wave is due.
  std::unordered_set<std::string_view>
  hostsThatStayUp(std::int64_t WallMs) const;
  void planHostMoves(core::time_point Now, std::int64_t WallMs);
  void logPools(std::span<const pool_view> Pools,
                std::span<const rebalance_host> View, core::time_point Now);
  /// \returns cores to add to the demand of a pool in which a long-running task
  /// could not be placed; zero for any other pool and while a host moves to it.
  double extraCores(const std::string &Pool,
                    std::span<const rebalance_host> View,
                    core::time_point Now) const;
  /// \returns the expected demand of each pool, in cores, at the time when
  /// hosts that are moved now arrive.
  std::map<std::string, double> requiredCores(core::time_point Now,
                                              std::int64_t WallMs);

  /// Bits of an endpoint's fencing token that hold the number of its
  /// incarnation. JSON readers keep integers below 2^53 exactly.
  static constexpr unsigned IncarnationBits = 28;
  /// Longest time until a lease expires, in percent of leader_settings::Lease:
  /// an endpoint's clock may be 2 % slow.
  static constexpr int MaxLeasePercent = 103;
  /// An endpoint may execute an order without an answer this much later.
  static constexpr core::duration MaxOrderDelay = std::chrono::seconds(12);
  /// Within this time of the commit of a start, its order has an answer, or it
  /// is committed that it has none: the time-out of an order and a commit.
  static constexpr core::duration MaxStartTime =
      std::chrono::milliseconds(1200);
  /// Number of the endpoint in orders to incarnations that are not recorded.
  static constexpr std::uint32_t ProbedEndpoint =
      std::numeric_limits<std::uint32_t>::max();

  struct pending_order {
    order Order;
    core::time_point SentAt{};
  };

  leader_settings Settings;
  std::uint64_t Fence = 0;
  const schedule_state &State;
  core::metrics_registry &Metrics;
  phase_times Timer;
  core::time_point StartedAt{};
  /// An earlier leader knew endpoints, so that it may have moved their hosts.
  bool MayFollowMoves = false;
  /// Starts above the order ids of all earlier leaders, because answers to
  /// orders of an earlier leader in this process may still arrive.
  std::uint64_t LastOrder = 0;
  core::indexed_map<std::uint32_t, tracked_endpoint> TrackedEndpoints;
  /// Number of the incarnation that was tracked last, by id. It may have ended.
  std::unordered_map<std::string, std::uint32_t> NewestTracked;
  /// When incarnations with these ids ended whose polls may still be executed.
  std::unordered_map<std::string, core::time_point> EndsWithLeases;
  /// By pool, ordered by number.
  std::map<std::string, std::vector<tracked_endpoint *>, std::less<>>
      CandidateTargets;
  core::time_point NextCandidates{};
  /// Number of the endpoint that each run was assigned to.
  std::unordered_map<task_key, std::uint32_t, task_key_hash> EndpointOfRun;
  /// Heartbeats of incarnations that are not committed yet, by endpoint id.
  std::map<std::string, std::pair<endpoint_heartbeat, core::time_point>>
      UncommittedHeartbeats;
  std::map<std::string, std::vector<incarnation_candidate>> Candidates;
  std::set<std::string> DueProbes; ///< Ids with candidates to be probed.
  std::size_t PendingProbes = 0;   ///< Probes without a result.
  std::vector<endpoint_facts> ProvenIncarnations; ///< To be proposed.
  refusal_log Unproven;
  core::time_point NextStartLines{}; ///< When StartLinesLeft is renewed.
  std::size_t StartLinesLeft = 0;    ///< Lines start_unanswered.
  /// Endpoints with events since the last takeOrders().
  std::vector<std::uint32_t> DueEndpoints;
  /// When the orders of endpoints without events are due.
  due_queue DueTimes;
  /// Endpoints that answered a poll since the last takeCommands().
  std::vector<std::uint32_t> PolledEndpoints;
  std::unordered_map<std::uint64_t, pending_order> PendingOrders;
  core::time_point NextOrderExpiry{};
  bool WasExpiryPutOff = false; ///< By the newest expireOrders().
  poll_pacer PollPacer;
  std::uint64_t LastList = 0; ///< Number of lists compared so far.
  verdict_log Verdicts;
  std::set<std::uint32_t> OrphanEndpoints; ///< Those with orphaned runs.
  /// Tasks with an end of claimDone() that is not proposed yet.
  std::set<task_key> ClaimedTasks;
  /// Earliest time of the next placement of tasks whose start was refused.
  std::map<task_key, core::time_point> DeferredTasks;
  /// Ends to propose for runs that certainly did not start.
  std::vector<end_run> UnstartedRuns;
  std::vector<record_open_start> OpenStarts;         ///< To be proposed.
  std::vector<record_answered_start> AnsweredStarts; ///< To be proposed.
  std::set<std::string> ExhaustedJobs; ///< To be proposed as failed.
  /// Endpoints whose incarnation was replaced or left its host.
  std::set<std::uint32_t> EndedIncarnations;
  /// Cursor of each endpoint once the proposed batch is applied.
  std::map<std::uint32_t, std::uint64_t> CursorAfterBatch;
  bool IsPlacementDue = true;
  core::time_point NextPlacement{}; ///< Due even without an event.
  core::time_point EarliestPlacement{};
  core::time_point LastPlacement{};   ///< Of the present or last round.
  core::time_point PlacementBefore{}; ///< Of the round before that.
  core::time_point NextLostCheck{};
  /// An incarnation that ended without an order.
  struct unplanned_end {
    std::string Rack;
    core::time_point At{};
  };
  std::vector<unplanned_end> UnplannedEnds; ///< Recent ones.
  host_crash_log HostCrashes;
  std::map<std::string, crash_quarantine> Quarantines; ///< By pool.
  std::map<task_key, start_pause> StartPauses;         ///< Of waiting tasks.
  bool HasSuspectMarks = false; ///< Some target may be reserved or hold some.
  /// By pool, when a line about its suspects may be logged again.
  std::map<std::string, core::time_point> NextSuspectLog;
  std::size_t PendingStarts = 0; ///< Start orders without a result.
  /// Since when the tasks of unservedTasks() are not at work, by task.
  std::map<task_key, core::time_point> UnservedSince;
  host_inventory Hosts;
  demand_forecaster Demand;
  duration_models Durations;
  rank_cache Ranks{Durations};
  waiting_index Waiting{State, Ranks};
  workspaces::rate_meter Rates;
  workspace_shares Shares;
  placement_bounds PlacementBounds;
  placement_report LastRound; ///< Of the last round of placement.
  queue_load_counter QueueLoad{Durations};
  core::time_point NextQueueLog{};
  std::map<std::string, admission::pool_load> PoolLoads; ///< By pool.
  core::time_point NextPoolLoads{};
  /// By priority: work of a higher one that is submitted later overtakes that
  /// of a lower one, so that predictions are too short by different factors.
  std::map<std::uint32_t, admission::completion_calibration> Calibrations;
  /// Of accepted jobs that may end near the limit of their use, by id.
  std::unordered_map<std::string, completion_prediction> Predictions;
  core::time_point NextRefusalLog{};
  std::size_t UnloggedRefusals = 0;
  advice_cache Advice;
  core::time_point NextAdvice{};
  core::time_point NextPrune{};
};

} // namespace lycheetrestle::scheduling

#endif
