#ifndef LYCHEETRESTLE_SCHEDULING_TRACKED_ENDPOINT_H
#define LYCHEETRESTLE_SCHEDULING_TRACKED_ENDPOINT_H

#include "core/clock.h"
#include "scheduling/commands.h"
#include "scheduling/endpoint_health.h"
#include "scheduling/orders.h"
#include "scheduling/placer.h"
#include "scheduling/throttle_controller.h"
#include "scheduling/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::scheduling {

enum class run_phase : std::uint8_t {
  Committed,   ///< Start committed; this leader has not sent the order yet.
  Starting,    ///< Start order sent, not accepted yet.
  Unconfirmed, ///< The next poll shows whether the run exists.
  Running,     ///< Accepted or listed by the endpoint.
  Stopping,    ///< A stop order is due, sent or acknowledged.
};

/// Why a run is being stopped; for the log.
enum class stop_reason : std::uint8_t {
  JobOver,       ///< Its job was cancelled, failed or completed.
  Draining,      ///< Its endpoint drains.
  Evacuated,     ///< Its host is cordoned for maintenance.
  Stalled,       ///< It made no progress.
  NotListed,     ///< The endpoint does not list it any more.
  StartRejected, ///< A repeated start was rejected; an earlier one may follow.
};

std::string_view toText(stop_reason Reason);

/// State that the leader keeps of one run on an endpoint.
struct tracked_run {
  std::uint32_t Attempt = 0;
  /// When this leader first knew of it on this endpoint.
  core::time_point TrackedSince{};
  run_phase Phase = run_phase::Committed;
  bool IsOrderPending = false; ///< An order for this run is unanswered.
  /// An earlier leader may have sent a start order.
  bool MayBeStartedByOther = true;
  /// Start orders without an answer; the endpoint may still execute each of
  /// them.
  std::uint32_t UnansweredStarts = 0;
  /// When the newest of them was sent.
  core::time_point UnansweredSentAt{};
  /// A start order without an answer may be executed until then, also by a
  /// later incarnation with the endpoint's id; zero without one. See
  /// leader::openUntil().
  core::time_point OpenUntil{};
  core::time_point
      AcceptedAt{}; ///< When an answer accepted the start, or zero.
  /// OpenUntil is set and only assumed: an earlier leader committed the start
  /// shortly before its end, and nothing says that the order had no answer.
  bool IsOpenAssumed = false;
  /// That a copy of the start order may have no answer was proposed to the log.
  bool IsOpenProposed = false;
  /// When the log said so; zero again once the next copy is sent.
  core::time_point OpenRecordedAt{};
  /// That no copy of the start order is on its way was proposed to the log.
  bool IsAnswerProposed = false;
  /// When this leader first sent a start order, or zero.
  core::time_point FirstSentAt{};
  core::time_point NextOrder{};    ///< Earliest time of the next order.
  core::time_point VisibleSince{}; ///< Polls sent later must list the run.
  /// When the start was accepted; empty after a change of leader.
  std::optional<core::time_point> StartedAt;
  /// While unconfirmed: a start order for an earlier incarnation may still
  /// start the run on this one.
  bool MayStartLate = false;
  bool IsStopSent = false;
  bool IsStopAcknowledged = false;
  core::time_point StopAcknowledgedAt{};         ///< While acknowledged.
  stop_reason StopReason = stop_reason::JobOver; ///< While stopping.
  core::time_point StopDecidedAt{};              ///< While stopping.
  bool IsEnded = false; ///< The end is about to be proposed or was proposed.
  std::string Checkpoint;
  std::uint32_t Percent = 0;           ///< Progress.
  core::time_point PercentChangedAt{}; ///< When Percent last changed.
  /// Rate of a best-effort task; empty when an order that this leader knows
  /// nothing of may have set it.
  std::optional<std::uint32_t> ThrottlePercent = 100;
  std::uint64_t ListedIn = 0; ///< Newest list of the endpoint that shows it.
  /// Since when its start waits for a heartbeat with the endpoint's capacity.
  std::optional<core::time_point> HeldSince;

  /// \returns whether the endpoint may have started it.
  bool mayHaveStarted() const {
    return MayBeStartedByOther || IsOrderPending || UnansweredStarts > 0 ||
           (Phase != run_phase::Committed && Phase != run_phase::Starting);
  }
  /// \returns whether a start order that this leader has sent has no answer.
  bool hasOpenStart() const {
    return UnansweredStarts > 0 ||
           (Phase == run_phase::Starting && IsOrderPending);
  }
  /// \param LastAlive the latest time at which its endpoint, which has crashed,
  /// may have been alive.
  /// \returns whether it may have caused the crash: one whose order was first
  /// sent after that time, and has no answer, was sent to an endpoint that had
  /// crashed before.
  bool mayHaveCrashed(core::time_point LastAlive) const {
    bool IsUnanswered =
        !MayBeStartedByOther &&
        (Phase == run_phase::Committed || Phase == run_phase::Starting);
    return mayHaveStarted() && !(IsUnanswered && FirstSentAt >= LastAlive);
  }
};

/// A run that the endpoint lists although it was recorded as lost or never
/// assigned to it. It is stopped and takes up capacity until it is not listed.
struct orphaned_run {
  std::uint32_t Attempt = 0;
  std::uint32_t Percent = 0;   ///< Progress.
  core::time_point NextStop{}; ///< Earliest time of the next stop order.
  core::time_point ListedSince{};
};

/// Unreplicated state that the leader keeps of one incarnation of an endpoint.
/// A new leader rebuilds it from the replicated state, heartbeats and polls.
struct tracked_endpoint {
  std::uint32_t Endpoint = 0;
  core::time_point TrackedSince{}; ///< When this leader first knew of it.
  bool HadRunsAtStart = false;     ///< When this leader began to lead.
  std::map<task_key, tracked_run> Runs;
  std::map<task_key, orphaned_run> OrphanedRuns; ///< In its newest list.
  bool HasList = false;       ///< This leader has read a list of its runs.
  std::uint64_t Sequence = 0; ///< Of the newest heartbeat.
  std::uint64_t HeartbeatClockMs = 0; ///< Of the newest heartbeat.
  core::time_point LastHeartbeat{};
  /// Capacity in the newest heartbeat that this leader received.
  resource_amounts AnnouncedCapacity;
  core::time_point AnnouncedAt{}; ///< Zero when there is no heartbeat yet.
  core::time_point LastAnswer{};
  bool IsSuspect = false; ///< An order got no answer, and none has come since.
  core::time_point SuspectedAt{}; ///< While suspect.
  /// When runs were recorded as lost, until it is known to be alive again.
  std::optional<core::time_point> RunsLostAt;
  /// It has not obeyed an order yet, so that one for an earlier incarnation
  /// with its id would still be executed.
  bool MayObeyEarlier = false;
  /// When the endpoint answered that it obeys a higher fencing token.
  std::optional<core::time_point> FencedAt;
  /// Another endpoint answers at its address.
  bool IsAddressTaken = false;
  /// When the list of hosts was requested that shows its end, or zero.
  core::time_point EndListedAt{};
  /// Recorded as ended; its runs wait until no later incarnation can start
  /// them.
  bool HasEnded = false;
  bool IsReplaced = false; ///< Another incarnation answers under this id.
  bool IsVerificationDue = false; ///< A poll is due although it is idle.
  core::time_point NextVerification{};
  /// Time that was left to drain at RemainingAt.
  std::optional<std::uint32_t> RemainingMs;
  core::time_point RemainingAt{};
  /// When its newest deregistration was received or committed. Until it hears
  /// an acknowledgement, it may run on for seconds.
  std::optional<core::time_point> DeregisteredAt;
  /// When a connection to it was refused, because nothing listened at its
  /// address; zero after any other contact or failure.
  core::time_point RefusedAt{};

  // Newest sample of the endpoint's clock.
  std::uint64_t ClockMs = 0;
  core::time_point ClockAt{};    ///< Zero when there is no sample yet.
  bool IsClockConfirmed = false; ///< An answer had a sample.
  /// All leases issued to the endpoint have expired by then, also when its
  /// clock is as slow as allowed.
  core::time_point LeaseExpiry{};
  /// LeaseExpiry allows for late polls for an incarnation that ended before
  /// this one was recorded; until this one has obeyed a poll.
  bool MayHoldEarlierLease = false;
  /// LeaseExpiry allows for another incarnation at the same address; once since
  /// the last answer.
  bool IsLeaseProlonged = false;

  std::uint64_t Cursor = 0;        ///< Ends up to this number are committed.
  std::uint64_t LastEndNumber = 0; ///< Largest number of an end listed so far.
  std::uint64_t ConfirmedCursor = 0; ///< Largest cursor in an answered poll.
  /// Its newest list shows ends up to ConfirmedCursor, so that it has not
  /// obeyed that cursor.
  bool ListsConfirmedEnds = false;
  /// Ends to be proposed by the next takeCommands().
  std::vector<end_run> PendingEnds;
  std::optional<std::uint64_t> PendingPoll; ///< Id of the unanswered order.
  core::time_point NextPoll{};
  /// A long-running task waits for an answer, see leader::requestContact().
  bool IsContactCheckDue = false;
  std::optional<std::uint64_t> PendingContactCheck; ///< Id of the order.
  core::time_point ContactCheckSentAt{};            ///< While it is pending.
  /// When the newest contact check that was answered was sent, or zero.
  core::time_point LastContact{};

  /// When orders are collected next; an event makes it earlier.
  core::time_point DueAt{};
  placement_target FreeCapacity; ///< Valid unless IsCapacityStale.
  bool IsCapacityStale = true;
  /// A wave still had to interrupt its host when candidates were last found.
  bool IsMaintenanceDue = false;

  throttle_controller Throttle;
  /// Latency-sensitive and best-effort tasks run on it.
  bool MayInterfere = false;
  endpoint_health Health;

  std::string Id;
  /// Number of the incarnation with the same id that was tracked before it, or
  /// 0. It may have ended.
  std::uint32_t Earlier = 0;
  std::string Rack;
  std::string Host; ///< Empty until a list of hosts shows it.
};

} // namespace lycheetrestle::scheduling

#endif
