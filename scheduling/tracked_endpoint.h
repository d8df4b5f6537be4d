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
#include <vector>

namespace lycheetrestle::scheduling {

enum class run_phase : std::uint8_t {
  Unsent,      ///< Committed, the order was not sent by this leader.
  Sent,        ///< The order was sent and not answered.
  Unconfirmed, ///< The next list decides whether it is there.
  Present,
  Stopping,
};

/// What the leader knows about one run at an endpoint.
struct tracked_run {
  std::uint32_t Attempt = 0;
  run_phase Phase = run_phase::Unsent;
  bool IsOrderOpen = false; ///< An order for it has no answer yet.
  /// Start orders without an answer; each may still be carried out.
  std::uint32_t UnansweredStarts = 0;
  core::time_point NextOrder{};    ///< Not before.
  core::time_point VisibleSince{}; ///< A list asked for later must show it.
  /// When its start was accepted; unknown after a change of the leader.
  std::optional<core::time_point> StartedAt;
  bool IsStopAcknowledged = false;
  bool IsEnded = false; ///< Its end is on the way into the log.
  std::string Checkpoint;
  std::uint32_t Percent = 0;
  core::time_point PercentChangedAt{}; ///< When the share of work last changed.
  std::uint32_t ThrottlePercent = 100;
};

/// What the leader knows about one life of an endpoint beyond the replicated
/// facts. All of it can be lost.
struct tracked_endpoint {
  std::uint32_t Endpoint = 0;
  std::map<task_key, tracked_run> Runs;
  /// Listed as running, but given up or never assigned; by attempt.
  std::map<task_key, std::uint32_t> OrphanedRuns;
  std::uint64_t Sequence = 0;
  core::time_point LastHeartbeat{};
  core::time_point LastAnswer{};
  bool IsSuspect = false;  ///< An order got no answer, and nothing since.
  bool IsFenced = false;   ///< It obeys a later leader.
  bool IsReplaced = false; ///< A later life answers under its id.
  std::optional<std::uint32_t> RemainingMs; ///< While it drains.
  core::time_point RemainingAt{};
  std::optional<core::time_point> RemoveAt; ///< It said that it ends.

  // Its clock, from the newest sample.
  std::uint64_t ClockMs = 0;
  core::time_point ClockAt{};
  /// No lease that was issued to it lasts longer, whatever its clock does.
  core::time_point LeaseExpiry{};

  std::uint64_t Cursor = 0;      ///< Ends up to it are recorded.
  std::uint64_t LastEndSeen = 0; ///< Largest number of an end in its lists.
  std::uint64_t CursorSent = 0;
  std::vector<end_run> NewEnds;
  std::optional<std::uint64_t> OpenPoll; ///< Order without an answer.
  core::time_point NextPoll{};

  /// Orders are looked for at this time; any news makes it earlier.
  core::time_point DueAt{};
  placement_target
      FreeCapacity; ///< Without IsCapacityStale: what is free there.
  bool IsCapacityStale = true;

  throttle_controller Throttle;
  bool MayInterfere = false; ///< Tasks that serve and that fill share it.
  endpoint_health Health;
};

} // namespace lycheetrestle::scheduling

#endif
