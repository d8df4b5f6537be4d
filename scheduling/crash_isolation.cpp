#include "scheduling/crash_isolation.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

// Share of the endpoints of a pool that may be kept for long-running suspects.
constexpr std::size_t MaxShareDivisor = 3;

} // namespace

quarantine_plan planIsolation(
    std::span<const quarantine_endpoint> Endpoints,
    std::span<const quarantined_task> Tasks,
    const std::function<bool(const task_key &, std::uint32_t)> &MayRun) {
  quarantine_plan Plan;
  auto Limit = Endpoints.size() / MaxShareDivisor;
  for (const auto &Task : Tasks)
    for (auto Endpoint : Task.Endpoints)
      if (Plan.Reserved.size() < Limit)
        Plan.Reserved.insert(Endpoint);
  for (const auto &Task : Tasks) {
    if (!Task.Endpoints.empty())
      continue;
    if (Plan.Reserved.size() >= Limit)
      break;
    // Runs that are not long-running may be the cause of the next crash.
    auto Cost = [&](const quarantine_endpoint &Endpoint) {
      return std::tuple(
          !Endpoint.Host.empty() && Task.CrashedHosts.count(Endpoint.Host) > 0,
          Endpoint.Runs - Endpoint.LongRunning, Endpoint.LongRunning);
    };
    const quarantine_endpoint *Best = nullptr;
    for (const auto &Endpoint : Endpoints)
      if (Plan.Reserved.count(Endpoint.Endpoint) == 0 &&
          MayRun(Task.Task, Endpoint.Endpoint) &&
          (!Best || Cost(Endpoint) < Cost(*Best)))
        Best = &Endpoint;
    if (!Best)
      continue;
    Plan.Reserved.insert(Best->Endpoint);
    Plan.Starts[Task.Task] = Best->Endpoint;
  }
  return Plan;
}

} // namespace lycheetrestle::scheduling
