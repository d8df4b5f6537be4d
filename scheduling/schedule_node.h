#ifndef LYCHEETRESTLE_SCHEDULING_SCHEDULE_NODE_H
#define LYCHEETRESTLE_SCHEDULING_SCHEDULE_NODE_H

#include "control/control_frames.h"
#include "core/clock.h"
#include "core/metrics.h"
#include "core/phase_timer.h"
#include "replication/raft_node.h"
#include "scheduling/ahead_decoder.h"
#include "scheduling/calls.h"
#include "scheduling/departure_memory.h"
#include "scheduling/founding_acceptor.h"
#include "scheduling/founding_proposer.h"
#include "scheduling/leader.h"
#include "scheduling/membership_manager.h"
#include "scheduling/open_changes.h"
#include "scheduling/proposal_queue.h"
#include "scheduling/replication_load.h"
#include "scheduling/run_log.h"
#include "scheduling/schedule_state.h"
#include "scheduling/scheduler_settings.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::scheduling {

/// A message to another scheduler.
struct peer_message {
  std::string Peer;
  std::string Bytes;
};

/// What the driver of a schedule_node must do.
struct node_actions {
  std::vector<peer_message> Messages;
  std::vector<replication::storage_write> Writes; ///< To be done in this order.
  std::vector<reply> Replies;
  std::vector<order> Orders;
  std::vector<std::string> NewPeers; ///< IP addresses to connect to.
};

/// One scheduler replica: replication, the state machine, replies to calls,
/// membership and, while it leads, the decisions of `leader`. Single-threaded
/// and without input or output; the driver executes the node_actions.
class schedule_node {
public:
  /// \param Self the identity of this replica; its name is its IP address.
  /// \param Persisted replication state read from the disk.
  /// \param Initial voters according to a data folder of an earlier version of
  /// this program; empty for a replica that takes part in the founding of the
  /// cluster or waits until the leader adds it.
  schedule_node(scheduler_settings Settings, replication::replica_id Self,
                replication::persistent_state Persisted,
                replication::membership Initial,
                core::metrics_registry &Metrics, core::time_point Now);

  /// Handles time-outs; due at nextTick() at the latest.
  void tick(core::time_point Now);
  /// Adds schedulers to connect to. None is ever removed.
  void addPeers(std::span<const std::string> Addresses);
  /// Handles a control frame.
  /// \param Peer name of the sending replica according to the link.
  void receive(const std::string &Peer, std::string_view Bytes,
               core::time_point Now);
  /// Handles a call; the reply is part of a later takeActions().
  void handle(call Call, core::time_point Now);
  /// Handles the answer to an order.
  void orderFinished(order_result Result, core::time_point Now);
  /// Handles that all writes up to a ticket are synced.
  void stored(std::uint64_t Ticket, core::time_point Now);
  /// Handles that a write failed.
  void storageFailed(core::time_point Now);
  /// Sets the size of the files in the data folder.
  void setStoredBytes(std::uint64_t Bytes);
  /// Starts to transfer leadership and rejects calls from now on.
  void beginShutdown(core::time_point Now);
  /// \returns whether the replica can stop: shutdown has begun, all writes are
  /// done and leadership is transferred or cannot be.
  bool isDrained(core::time_point Now) const;

  /// \returns what to do since the last call.
  node_actions takeActions(core::time_point Now);
  core::time_point nextTick(core::time_point Now) const;

  replication::raft_status status() const { return Raft.status(); }
  const schedule_state &state() const { return State; }
  /// \returns whether this replica leads and has applied all entries of earlier
  /// terms.
  bool isLeading() const { return Leader.has_value(); }
  /// \returns the work that waits at this leader, or nothing for a follower.
  std::optional<leader_load> load(core::time_point Now) const;
  /// \returns what waits for a commit at this leader, or nothing for a
  /// follower.
  std::optional<replication_load> replicationLoad(core::time_point Now) const;
  /// \returns why there is no leader, or nothing while this replica knows one.
  std::optional<leaderless_state> leaderless(core::time_point Now) const;
  /// \returns the age of the oldest write that is not synced, or zero.
  core::duration oldestWrite(core::time_point Now) const;
  std::size_t pendingWrites() const { return PendingWrites.size(); }
  /// \returns the long-running tasks without a run at work, at a leader.
  std::vector<unserved_task> unservedTasks(core::time_point Now);
  /// Called after unservedTasks().
  /// \returns what holds the pools whose work waits for long, at a leader.
  std::vector<pool_blockage> blockedPools(core::time_point Now);
  /// \returns why hosts of running waves wait, by wave, or null for a follower.
  const std::map<std::uint64_t, wave_delay> *waveDelays() const {
    return Leader ? &Leader->waveDelays() : nullptr;
  }
  /// \returns leader::outlookOf(), or nothing for a follower.
  std::optional<job_outlook> outlookOf(const job_record &Job,
                                       const occurrence_record &Occurrence,
                                       core::time_point Now);
  /// \returns leader::estimate(), or nothing for a follower.
  std::optional<admission::decision> estimate(const submit_job &Submit) const;
  /// \returns leader::wouldExceedRate(), or false for a follower.
  bool wouldExceedRate(const workspaces::workspace_spec &Workspace,
                       core::time_point Now) const;
  /// \returns the IP address of the leader, or an empty string.
  std::string leaderAddress() const;

  /// Phases of takeActions().
  enum phase : std::size_t { Propose, Replicate, Apply, Orders, PhaseCount };
  using phase_times = core::phase_timer<core::thread_cpu_clock, PhaseCount>;
  /// \returns the processor time of the phases since the previous call.
  phase_times::totals takeTimes() { return Timer.take(); }
  /// \returns the same of this leader's decisions, or nothing for a follower.
  std::optional<leader::phase_times::totals> takeLeaderTimes();

private:
  /// A log entry that this leader proposed and that is not applied yet.
  struct proposed_entry {
    std::uint64_t Term = 0;
    command_batch Batch;
    std::vector<std::uint64_t> Calls; ///< One for each command, or 0.
    /// Contains the last command of a batch that `leader` decided.
    bool IsLeaderBatch = false;
    core::time_point Since{};
  };
  /// What one takeActions() may still apply. The last entry may exceed it.
  struct apply_budget {
    std::size_t Commands = 0;
    std::size_t Bytes = 0; ///< Of payload.
    bool isSpent() const { return Commands == 0 || Bytes == 0; }
  };
  /// Reads that share one confirmation of leadership.
  struct read_group {
    std::vector<call> Calls;
    std::uint64_t Index = 0; ///< Must be applied before the reads are answered.
    core::time_point Since{};
  };

  // schedule_node.cpp
  void observeRole(core::time_point Now);
  void handleLeadershipLoss();
  /// \returns whether the first change must wait because replicas that are to
  /// become voters are joining: it would be on fewer disks than wanted.
  bool isForming(core::time_point Now) const;
  void propose(core::time_point Now);
  /// \returns whether the state has the job or the configuration, or a newer
  /// configuration.
  bool isApplied(const command &Command) const;
  /// Answers the calls of queued changes for which the disk has no space.
  void refuseForSpace();
  /// Answers the call of a command that exceeds the largest entry.
  void refuseOversized(const queued_command &Command);
  void process(replication::raft_output Output, node_actions &Actions,
               core::time_point Now);
  /// Applies committed entries until the budget is spent.
  void applyCommitted(apply_budget &Budget, core::time_point Now);
  /// \returns the number of commands in the entry.
  std::size_t applyEntry(const replication::log_entry &Entry,
                         core::time_point Now);
  /// \returns the endpoint of the run that the command ends, or 0.
  std::uint32_t endpointOf(const command &Command) const;
  void logApplied(const command &Command, apply_outcome Outcome,
                  std::uint64_t Index, std::uint32_t Endpoint);
  void compactWhenDue(core::time_point Now);
  bool isSnapshotDue(core::time_point Now) const;
  /// \returns whether the data folder has no space for further configurations
  /// and jobs, which includes that the next snapshot may not fit.
  bool isStorageNearlyFull() const;
  void expirePendingCalls(core::time_point Now);

  // schedule_node_calls.cpp
  void queue(command Command, std::uint64_t Call, core::time_point Now);
  /// Refuses the job on overload if the leader decides so, once its leadership
  /// is confirmed.
  /// \returns false when the job is to be queued.
  bool refuseOverload(std::uint64_t Call, const submit_job &Submit,
                      core::time_point Now);
  /// \returns whether a copy of the job was accepted or may still be committed.
  bool isKnownOrOpen(const std::string &JobId) const;
  /// \returns the answer to a refused job after leadership was confirmed.
  reply confirmRefusal(const submit_call &Call) const;
  void answer(std::uint64_t Call, reply_kind Kind);
  void answer(std::span<const std::uint64_t> Calls, reply_kind Kind);
  /// Answers a call whose command was dropped before the log accepted it, and
  /// those that waited for this copy.
  void answerDropped(std::uint64_t Call, const command &Command,
                     reply_kind Kind);
  void answerNotLeader(std::uint64_t Call);
  /// Tells a new leader which endpoints this scheduler knows to have exited.
  void reportDepartures(core::time_point Now);
  void answerApplied(std::uint64_t Call, const command &Command,
                     apply_outcome Outcome);
  /// Answers the call from the state once leadership is confirmed.
  void read(call Call, core::time_point Now);
  void flushReads(core::time_point Now);
  /// Answers a call that requires a key from the state, once leadership is
  /// confirmed unless that was done lately.
  void readWithKey(call Call, core::time_point Now);
  void finishReads();
  void answerRead(const call &Call);
  /// \param Job id of the job that the call names.
  caller_access accessOf(std::string_view KeyDigest, std::string_view HostName,
                         std::string_view Path, std::string_view Job) const;
  /// Answers the calls of the group with NotLeader.
  void refuse(read_group &Group);
  void handleCall(std::uint64_t Id, submit_call Call, core::time_point Now);
  void handleCall(std::uint64_t Id, job_state_call Call, core::time_point Now);
  void handleCall(std::uint64_t Id, cancel_call Call, core::time_point Now);
  void handleCall(std::uint64_t Id, queue_length_call Call,
                  core::time_point Now);
  void handleCall(std::uint64_t Id, heartbeat_call Call, core::time_point Now);
  void handleCall(std::uint64_t Id, deregister_call Call, core::time_point Now);
  void handleCall(std::uint64_t Id, configure_call Call, core::time_point Now);
  void handleCall(std::uint64_t Id, read_configuration_call Call,
                  core::time_point Now);
  void handleCall(std::uint64_t Id, start_wave_call Call, core::time_point Now);
  void handleCall(std::uint64_t Id, wave_state_call Call, core::time_point Now);

  // schedule_node_members.cpp
  void sendFrame(const std::string &Peer, std::string Bytes,
                 const replication::replica_id &To);
  void sendFrame(const std::string &Peer, control::frame_kind Kind,
                 std::string Bytes);
  void receiveJoin(const std::string &Peer, const control::control_frame &Frame,
                   std::string_view Bytes, core::time_point Now);
  void receiveFounding(const std::string &Peer, std::string_view Bytes,
                       core::time_point Now);
  /// Takes part in the choice of the initial voters while the log is empty.
  void found(core::time_point Now);
  /// Sends the leader and the members to a scheduler without a disk.
  void sendStatus(const std::string &Peer);
  /// Connects to a scheduler without a disk, so that it finds the leader after
  /// a restart although its settings may name none of the replicas.
  void linkObserver(const std::string &Address);
  void requestJoin(core::time_point Now);
  void changeMembers(core::time_point Now);
  void linkMembers();

  scheduler_settings Settings;
  replication::replica_id Self;
  core::metrics_registry &Metrics;
  phase_times Timer;
  run_log Runs;
  replication::raft_node Raft;
  schedule_state State;
  std::uint64_t AppliedIndex = 0;
  std::uint64_t CompactedIndex = 0;
  std::size_t CommandsSinceCompaction = 0;
  std::uint64_t BytesSinceCompaction = 0; ///< Of payload.
  core::time_point LastCompaction{};
  std::uint64_t SnapshotBytes = 0; ///< Size of the newest snapshot.
  std::uint64_t StoredBytes = 0;
  bool WasNearlyFull = false; ///< At the last setStoredBytes().
  std::deque<replication::log_entry> CommittedEntries; ///< Not applied yet.
  ahead_decoder Ahead{{}};      ///< Of the log that was read from the disk.
  std::uint64_t LeaderTerm = 0; ///< Term in which this replica leads, or 0.
  std::uint64_t LeaderStartIndex = 0; ///< Last index when it was elected.
  core::time_point ElectedAt{};       ///< While it leads.
  /// Since when no leader is known.
  std::optional<core::time_point> LeaderlessSince;
  std::optional<leader> Leader;
  bool IsLeaderBatchOpen = false;
  proposal_queue Queued;
  std::string ProposalRefusal; ///< Why the log refused the oldest command.
  std::map<std::uint64_t, proposed_entry> ProposedEntries; ///< By index.
  open_changes OpenChanges; ///< Of Queued and ProposedEntries.
  std::map<std::uint64_t, core::time_point> PendingWrites; ///< By ticket.
  read_group PendingReads;                            ///< Not requested yet.
  std::map<std::uint64_t, read_group> RequestedReads; ///< By token.
  std::vector<read_group> ConfirmedReads;             ///< Wait for their index.
  /// When the newest confirmation of leadership began.
  core::time_point LeadershipConfirmedAt{};
  departure_memory Departures; ///< While it does not lead.
  membership_manager Members;
  std::optional<founding_acceptor> Acceptor;
  std::optional<founding_proposer> Proposer; ///< While the log is empty.
  std::vector<std::string> LinkedPeers;
  std::set<std::string> LinkedObservers; ///< They get no requests to join.
  std::vector<std::string> NewPeers;
  std::vector<peer_message> Messages;
  std::vector<reply> Replies;
  core::time_point NextJoin{};
  std::optional<core::time_point> ShutdownSince;
  core::time_point NextTransfer{};
};

} // namespace lycheetrestle::scheduling

#endif
