#ifndef LYCHEETRESTLE_SCHEDULING_WORKSPACE_LOAD_H
#define LYCHEETRESTLE_SCHEDULING_WORKSPACE_LOAD_H

#include "core/metrics.h"
#include "scheduling/schedule_state.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace lycheetrestle::scheduling {

/// What a workspace has running and waiting.
struct workspace_load {
  std::string Name;
  std::uint64_t QueuedTasks = 0; ///< Their earlier steps are done.
  /// Queued tasks that the limit holds, because they do not fit what is left of
  /// it.
  std::uint64_t HeldTasks = 0;
  std::uint64_t OverRateTasks = 0; ///< Queued tasks of jobs above the rate.
  workspaces::resource_usage Use;
  workspaces::resource_limit Limit;
  /// Part of the use of all workspaces, of the resource of which it uses the
  /// largest part, from 0 to 1.
  double UsedShare = 0;
  /// Its weight relative to those of the workspaces with use or queued tasks.
  double WeightShare = 0;
};

/// \returns the workspaces with use or queued tasks; those that use the largest
/// share come first.
std::vector<workspace_load> workspaceLoads(const schedule_state &State);

/// Workspaces that lines and gauges name one by one.
inline constexpr std::size_t MaxNamedWorkspaces = 8;

/// \returns the sums of the loads, with the name `(rest)` and no limit.
workspace_load sumOf(std::span<const workspace_load> Loads);

/// Writes a line and sets the gauges of the largest workspaces and of the rest.
/// The gauges are labelled with the rank, so that their number stays bounded
/// while the largest workspaces change.
void logWorkspaceLoads(const schedule_state &State,
                       core::metrics_registry &Metrics);

} // namespace lycheetrestle::scheduling

#endif
