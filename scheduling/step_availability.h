#ifndef LYCHEETRESTLE_SCHEDULING_STEP_AVAILABILITY_H
#define LYCHEETRESTLE_SCHEDULING_STEP_AVAILABILITY_H

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace lycheetrestle::scheduling {

/// Which tasks of a long-running step are unavailable, at one moment.
///
/// Designed for a wave over hundreds of hosts with a few long-running tasks
/// each: the budget of a step is asked for each host that runs one of its
/// tasks, and this answers it without a pass over the other tasks.
class step_availability {
public:
  /// Adds the next task of the step.
  /// \param Endpoint number of the endpoint that it is assigned to, or 0.
  /// \param IsUnavailable whether it counts against the budget of the others.
  void add(std::uint32_t Endpoint, bool IsUnavailable);
  /// \param Index a task that was added.
  /// \returns how many of the other tasks are unavailable.
  std::uint32_t unavailablePeers(std::uint32_t Index) const;
  /// \param Index a task that was added.
  /// \returns how many of the other tasks are unavailable when all tasks on the
  /// endpoint of this one are interrupted.
  std::uint32_t unavailablePeersWithout(std::uint32_t Index) const;

private:
  struct task {
    std::uint32_t Endpoint = 0;
    bool IsUnavailable = false;
  };

  std::vector<task> Tasks;
  std::uint32_t Unavailable = 0;
  /// Number of available tasks by endpoint.
  std::unordered_map<std::uint32_t, std::uint32_t> AvailableOn;
};

} // namespace lycheetrestle::scheduling

#endif
