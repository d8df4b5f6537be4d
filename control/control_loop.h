#ifndef LYCHEETRESTLE_CONTROL_CONTROL_LOOP_H
#define LYCHEETRESTLE_CONTROL_CONTROL_LOOP_H

#include "control/control_frames.h"
#include "control/control_settings.h"
#include "control/control_types.h"
#include "control/entry_tracker.h"
#include "control/pending_operations.h"
#include "core/clock.h"
#include "core/metrics.h"
#include "fleet/fleet_state.h"
#include "reconciler/reconciler.h"
#include "replication/raft_node.h"
#include "routing/messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::control {

/// Output that the caller of a control_loop must execute.
struct control_actions {
  std::vector<link_message> Messages;
  std::vector<replication::storage_write> Writes; ///< To be executed in order.
  std::vector<control_answer> Answers;
  std::optional<platform_round> Platform; ///< Execute its orders, then report.
};

/// Event-driven core of one control replica: replication, the state machine,
/// answers to operators and entries, membership and the reconciler. It performs
/// no I/O and is used by one thread: the caller passes events in and executes
/// the result of takeActions() after each batch of events.
class control_loop {
public:
  /// \param Settings the settings of the process.
  /// \param Self the identity of this replica.
  /// \param Found the state read from the disk.
  /// \param Initial voters of a new cluster; empty for a replica that waits
  /// until the leader adds it.
  /// \param Metrics receives the metrics; must outlive the loop.
  /// \param Now the current time.
  control_loop(control_settings Settings, replication::replica_id Self,
               replication::persistent_state Found,
               replication::membership Initial, core::metrics_registry &Metrics,
               core::time_point Now);

  /// Runs everything that depends on time: elections, timeouts, join requests,
  /// membership changes and the reconciler.
  void tick(core::time_point Now);
  /// Processes a message of a control replica or of an entry. Invalid ones are
  /// dropped and counted.
  /// \param Peer name of the sender as the link reports it.
  void receive(const std::string &Peer, std::string_view Bytes,
               core::time_point Now);
  /// Processes an operator's request; its answer is among the actions of this
  /// or a later takeActions().
  void handle(control_request Request, core::time_point Now);
  /// Reports that the write with this ticket is synced.
  void stored(std::uint64_t Ticket, core::time_point Now);
  /// Reports a failed write; the storage thread retries it.
  void storageFailed(core::time_point Now);
  /// \param Reports the hosts, or nothing when the platform is unreachable.
  void
  platformReported(std::optional<std::vector<platform::host_report>> Reports,
                   core::time_point Now);
  /// Refuses new requests, completes pending ones and transfers leadership.
  void beginShutdown(core::time_point Now);
  /// \returns whether a shutdown has begun, no proposal or write is pending and
  /// this replica no longer leads. The last condition is waived for the only
  /// replica and after two election timeouts.
  bool isDrained(core::time_point Now) const;

  /// Proposes the queued changes, starts the collected reads and applies newly
  /// committed entries.
  /// \returns the output since the last call.
  control_actions takeActions(core::time_point Now);
  /// \returns the time at which tick() must run next.
  core::time_point nextTick() const;

  replication::raft_status status() const { return Raft.status(); }
  const fleet::fleet_state &state() const { return State; }
  std::uint64_t appliedIndex() const { return AppliedIndex; }
  /// \returns whether requests can be answered: a leader is known and no
  /// shutdown has begun.
  bool isReady() const;
  /// \returns whether this replica's cluster exists: its log has entries.
  bool isFormed() const;

private:
  // control_loop.cpp
  void observeRole(core::time_point Now);
  void loseLeadership();
  void process(replication::raft_output Output, control_actions &Actions,
               core::time_point Now);
  void applyEntry(const replication::log_entry &Entry, core::time_point Now);
  void compactWhenDue();
  void proposeQueued(core::time_point Now);
  void failProposal(const proposal &Proposal, const core::failure &Failure);
  /// Removes the oldest change that is not in the log.
  void removeFirstQueued();
  void expireWaiting(core::time_point Now);
  void reconcile(core::time_point Now);
  bool isLeader() const { return LeaderTerm != 0; }
  std::string leaderHeader() const;
  core::failure notLeader() const;
  void answerFailure(std::uint64_t Id, const core::failure &Failure);
  const replica_settings *findReplica(std::string_view Name) const;

  // control_requests.cpp
  void submit(std::uint64_t Id, submit_operation Operation,
              core::time_point Now);
  /// Checks the preconditions of an operator's change that only the leader can
  /// check before the change is proposed, and replaces wave 0 by the number of
  /// the latest wave.
  /// \returns the reason to refuse the change, or nothing.
  std::optional<core::failure> resolve(fleet::command_body &Body, bool IsResend,
                                       core::time_point Now) const;
  void receiveEntryMessage(const std::string &Peer, std::string_view Bytes,
                           core::time_point Now);
  void queueKey(const std::string &Peer, std::uint64_t RequestId,
                fleet::command_body Body, core::time_point Now);
  void replyToKey(const key_waiter &Waiter, const fleet::command_body &Body,
                  const fleet::apply_result &Result);
  void sendToEntry(const std::string &Peer, const routing::message &Message);
  void startReads(core::time_point Now);
  void finishReads(core::time_point Now);
  void refuseReads(read_group &Group);
  void answerProbe(const probe_waiter &Waiter, core::time_point Now);
  void answerQuery(const control_request &Request, core::time_point Now);
  /// \returns the hosts that changed after a view index, or the whole view when
  /// the index is 0 or older than the current declaration.
  routing::view_delta viewSince(std::uint64_t Known) const;

  // control_members.cpp
  void receiveFrame(const std::string &Peer, std::string_view Bytes,
                    core::time_point Now);
  void sendFrame(const std::string &Peer, control_frame Frame);
  void requestJoin(core::time_point Now);
  void changeMembers(core::time_point Now);
  void proposeMembers(const replication::membership &Target,
                      std::string_view Change,
                      const replication::replica_id &Replica);

  control_settings Settings;
  replication::replica_id Self;
  core::metrics_registry &Metrics;
  replication::raft_node Raft;
  fleet::fleet_state State;
  std::uint64_t AppliedIndex = 0; ///< Includes entries without a command.
  std::uint64_t CompactedIndex = 0;

  std::uint64_t LeaderTerm = 0; ///< Term in which this replica leads, or 0.
  /// Last log index at the election. Entries up to it may stem from earlier
  /// leaders; the reconciler and membership changes wait until they are
  /// applied.
  std::uint64_t LeaderStartIndex = 0;
  std::deque<proposal> QueuedProposals; ///< Not yet in the log.
  std::map<std::uint64_t, proposal>
      LoggedProposals;               ///< By log index, not yet committed.
  std::set<std::string> BusyObjects; ///< With a pending reconciler command.
  read_group CollectedReads;         ///< Confirmed by the next majority round.
  std::map<std::uint64_t, read_group> UnconfirmedReads; ///< By Raft read token.
  std::vector<read_group>
      ConfirmedReads; ///< Wait until their index is applied.
  std::map<std::uint64_t, core::time_point>
      PendingWrites; ///< Time at which each write was issued, by ticket.
  std::map<std::string, replication::replica_id>
      Joining; ///< Replicas to be added, by name.

  entry_tracker Entries;
  reconciler::reconciler Reconciler;
  std::optional<std::vector<platform::host_report>> PlatformReports;
  core::time_point PlatformReportedAt{};
  core::time_point NextReconcile{};
  core::time_point NextJoin{};
  std::optional<core::time_point> ShutdownSince;
  core::time_point NextTransfer{};
  std::vector<link_message> Messages;
  std::vector<control_answer> Answers;
  std::optional<platform_round> Platform;
  core::time_point LastTime{};
};

} // namespace lycheetrestle::control

#endif
