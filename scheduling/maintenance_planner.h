#ifndef LYCHEETRESTLE_SCHEDULING_MAINTENANCE_PLANNER_H
#define LYCHEETRESTLE_SCHEDULING_MAINTENANCE_PLANNER_H

#include "scheduling/schedule_state.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::scheduling {

/// State of a host of a wave.
struct maintenance_host {
  std::string Name;
  std::string Pool;
  bool IsUp = false;            ///< Neither moving nor down.
  bool IsMoving = false;        ///< Ordered to move, not listed as up since.
  bool IsInMaintenance = false; ///< Ordered, not listed as up since.
  /// The platform accepted its maintenance. Hosts that have begun are counted
  /// as down, and do not wait.
  bool HasBegun = false;
  bool IsSurplus = false;      ///< The pool meets its demand without the host.
  bool IsCordoned = false;     ///< Accepts no new work.
  std::int64_t CordonedMs = 0; ///< Time since it was cordoned.
  std::uint32_t ShortRuns = 0; ///< Runs that are not long-running.
  std::uint32_t LongRuns = 0;  ///< Long-running runs.
  bool MayInterrupt = true;    ///< Budgets allow to stop all long-running runs.
  /// Number of times that the budget of a step on the host must become free
  /// until all waiting hosts of the wave with tasks of that step have begun;
  /// the largest of its steps, 0 without long-running runs.
  std::uint32_t BudgetRounds = 0;
  std::uint32_t BudgetGroup = 0;   ///< The same for all hosts of that step.
  std::uint32_t HostsPerRound = 1; ///< Budget of that step.
};

/// Why the maintenance of a host has not begun.
enum class maintenance_blocker : std::uint8_t {
  Availability, ///< The budget of a long-running task is used up.
  Runs,         ///< It is cordoned, and its short runs drain.
  Slot,         ///< The wave's limit, or its turn has not come.
  Move,         ///< It moves to another pool.
  Down,         ///< It is down for another reason.
  Platform,     ///< It is ordered, and the platform has not accepted it yet.
};
constexpr std::size_t MaintenanceBlockerCount = 6;

/// \returns a fixed name for logs and views.
std::string_view toText(maintenance_blocker Blocker);

/// A host whose maintenance has not begun.
struct waiting_host {
  std::string Name;
  maintenance_blocker Blocker = maintenance_blocker::Slot;
};

/// The hosts of a wave that have not begun, and the time that is left for them.
struct wave_delay {
  std::int64_t LeftMs = 0; ///< Until the deadline; negative after it.
  std::vector<waiting_host> Waiting;

  /// \returns the number of hosts for each blocker, as `availability:2,slot:5`.
  std::string counts() const;
  /// \param Limit largest number of hosts to name.
  /// \returns the hosts that wait for something else than a slot first, each
  /// with its blocker, as `h1:availability,h2:slot`.
  std::string names(std::size_t Limit) const;
};

/// Hosts to act on now.
struct maintenance_plan {
  std::vector<std::string> Cordon; ///< Hosts to cordon.
  std::vector<std::string> Order;  ///< Hosts whose maintenance is ordered now.
  /// All other hosts that have not begun.
  std::vector<waiting_host> Waiting;
};

/// Chooses the hosts of one wave whose maintenance begins.
///
/// Designed for a wave over two fifths of all hosts under load. Idle surplus
/// hosts go down at once, up to the wave's limit. Busy hosts go down no faster
/// than the deadline requires, after their short runs have drained, and never
/// while the unavailability budget of a long-running task on them is used up.
/// Near the deadline, hosts are no longer drained first. Hosts with tasks of
/// the same long-running step go down one after another as its budget becomes
/// free, so that they begin as early as that takes, whatever the others need.
/// \param Wave the wave.
/// \param Hosts its hosts that have not begun, and those in maintenance.
/// \param ElapsedMs time since the wave began.
/// \param MaintenanceMs downtime of one host.
/// \returns the hosts to cordon and the hosts whose maintenance to order now.
maintenance_plan planMaintenance(const wave_record &Wave,
                                 std::span<const maintenance_host> Hosts,
                                 std::int64_t ElapsedMs,
                                 std::int64_t MaintenanceMs);

/// A host that moves to another pool near the deadline of its wave is up again
/// too late to be maintained in time.
/// \param ElapsedMs time since the wave began.
/// \param MoveMs duration of a move.
/// \returns whether hosts of the wave that have not begun must stay up: from
/// when all of them are due until the deadline.
bool mustStayUp(const wave_record &Wave, std::int64_t ElapsedMs,
                std::int64_t MoveMs);

} // namespace lycheetrestle::scheduling

#endif
