#ifndef LYCHEETRESTLE_SCHEDULING_POOL_BLOCKAGE_H
#define LYCHEETRESTLE_SCHEDULING_POOL_BLOCKAGE_H

#include "core/clock.h"
#include "scheduling/orders.h"
#include "scheduling/placement_report.h"
#include "scheduling/placer.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lycheetrestle::scheduling {

/// Whether an endpoint accepts new runs; of several reasons against it the
/// first one.
enum class endpoint_use : std::uint8_t {
  Fenced,     ///< It obeys a higher fencing token.
  Replaced,   ///< Another incarnation answers, or its end is to be committed.
  Unanswered, ///< An order got no answer, and none has come since.
  Draining,   ///< It drains or has deregistered.
  Starting,   ///< No sample of its clock, or its capacity is not known yet.
  Silent,     ///< Neither a heartbeat nor an answer for several intervals.
  BadHealth,  ///< Avoided because runs on it failed or stalled.
  BadHost,    ///< Avoided because its host crashed repeatedly.
  Ordered,    ///< Its host is cordoned, or has maintenance or a move.
  Other,      ///< For example the pool is not configured.
  Reserved,   ///< Accepts only the suspect for which it is reserved.
  Schedulable,
  Count
};

/// \returns a fixed name for logs and views.
std::string_view toText(endpoint_use Use);

/// Why a run takes up room, for the log.
enum class room_holder : std::uint8_t {
  Committed,
  Starting,
  Unconfirmed,
  Running,
  Stopping,
  Ended,     ///< Its end is not committed yet.
  Untracked, ///< In the replicated state only.
  Orphaned,  ///< Listed by an endpoint that it is not assigned to.
  Count
};

enum class order_kind : std::uint8_t {
  Start,
  Stop,
  Poll,
  Throttle,
  Advice,    ///< Of all pools.
  HostList,  ///< Of all pools.
  HostOrder, ///< Of all pools.
  Count
};

template <typename Value, typename Kind>
using array_by = std::array<Value, static_cast<std::size_t>(Kind::Count)>;

/// Room that runs of one kind take up.
struct held_room {
  std::size_t Runs = 0;
  capacity_use Size;       ///< Of the runs whose size is known.
  core::duration Oldest{}; ///< Since this leader tracks the oldest of them.
};

/// Orders of one kind without a result.
struct pending_order_age {
  std::size_t Orders = 0;
  core::duration Oldest{};
};

/// What keeps the waiting work of a pool from being started, as this leader
/// sees it.
struct pool_blockage {
  std::string Pool;
  std::size_t UnservedTasks = 0; ///< See leader::unservedTasks().
  std::size_t WaitingJobs = 0;   ///< Of which no task has started for long.
  /// Of these tasks, since this leader found it so, and jobs, since their
  /// submission.
  core::duration OldestWait{};
  array_by<std::size_t, endpoint_use> Endpoints{};
  /// Schedulable endpoints on which no long-running task is placed, because an
  /// order to their host may still take effect.
  std::size_t OrderedHosts = 0;
  capacity_use Free; ///< On the schedulable endpoints.
  array_by<held_room, room_holder> Held{};
  array_by<pending_order_age, order_kind> Orders{};
  placement_counts LastRound;
};

order_kind kindOf(const order_body &Body);
std::string_view toText(order_kind Kind);
std::string_view toText(placement_failure Reason);

/// Writes the line `pool_blocked`.
void logBlockage(const pool_blockage &Blockage);

} // namespace lycheetrestle::scheduling

#endif
