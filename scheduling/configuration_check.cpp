#include "scheduling/configuration_check.h"

#include <map>
#include <set>
#include <span>
#include <string_view>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

// A job has to fit into one log entry, whose size is limited.
constexpr std::size_t MaxSteps = 256;
constexpr std::size_t MaxTasks = 10'000;

core::failure violation(std::string Field, std::string Value,
                        std::string Rule) {
  return {core::error_code::BadInput, std::move(Rule), std::move(Field),
          std::move(Value), core::verdict::NotRun};
}

std::string pathOf(const char *List, std::size_t Index, const char *Field) {
  return std::string(List) + "[" + std::to_string(Index) + "]." + Field;
}

/// The value of an error about a key is the name of a workspace: a key must not
/// stand in responses and logs.
std::optional<core::failure>
checkWorkspaces(std::span<const workspaces::workspace_spec> Workspaces) {
  std::set<std::string_view> Names;
  std::map<std::string_view, std::string_view> Owners; // By digest of a key.
  for (std::size_t Index = 0; Index != Workspaces.size(); ++Index) {
    const auto &Workspace = Workspaces[Index];
    if (!Names.insert(Workspace.Name).second)
      return violation(pathOf("workspaces", Index, "name"), Workspace.Name,
                       "must be unique among the workspaces");
    for (const auto &Key : Workspace.Keys) {
      auto [Owner, IsNew] = Owners.emplace(Key, Workspace.Name);
      if (!IsNew)
        return violation(pathOf("workspaces", Index, "keys"),
                         std::string(Owner->second),
                         "must share no key with the named workspace, nor "
                         "hold a key twice");
    }
    if (Owners.size() > workspaces::MaxKeys)
      return violation(
          pathOf("workspaces", Index, "keys"), std::to_string(Owners.size()),
          "must be at most " + std::to_string(workspaces::MaxKeys) +
              " in all workspaces");
  }
  return std::nullopt;
}

} // namespace

std::optional<core::failure>
checkConfiguration(const configuration &Configuration) {
  std::set<std::string> Pools;
  for (std::size_t Index = 0; Index != Configuration.Pools.size(); ++Index) {
    const auto &Pool = Configuration.Pools[Index];
    if (!Pools.insert(Pool.Name).second)
      return violation(pathOf("pools", Index, "name"), Pool.Name,
                       "must be unique among the pools");
  }
  std::set<std::pair<std::string, std::string>> QueueKeys;
  for (std::size_t Index = 0; Index != Configuration.Queues.size(); ++Index) {
    const auto &Queue = Configuration.Queues[Index];
    if (Pools.find(Queue.Pool) == Pools.end())
      return violation(pathOf("queues", Index, "pool"), Queue.Pool,
                       "must name a pool of the configuration");
    if (!QueueKeys.insert({Queue.HostName, Queue.PathPrefix}).second)
      return violation(pathOf("queues", Index, "path_prefix"),
                       Queue.HostName + Queue.PathPrefix,
                       "must differ from every other queue of the host name");
    if (Queue.TimeoutMs == 0)
      return violation(pathOf("queues", Index, "timeout_ms"), "0",
                       "must be at least 1");
  }
  return checkWorkspaces(Configuration.Workspaces);
}

std::optional<core::failure> checkJob(const job_spec &Job) {
  if (Job.Steps.empty() || Job.Steps.size() > MaxSteps)
    return violation("steps", std::to_string(Job.Steps.size()),
                     "must have 1 to 256 elements");
  std::size_t Tasks = 0;
  for (std::size_t Index = 0; Index != Job.Steps.size(); ++Index) {
    const auto &Step = Job.Steps[Index];
    Tasks += Step.Count;
    if (Step.Count == 0 || Tasks > MaxTasks)
      return violation(pathOf("steps", Index, "count"),
                       std::to_string(Step.Count),
                       "must be at least 1, and at most 10000 in all steps");
    for (auto Earlier : Step.DependsOn)
      if (Earlier >= Index)
        return violation(pathOf("steps", Index, "depends_on"),
                         std::to_string(Earlier), "must name an earlier step");
  }
  return std::nullopt;
}

} // namespace lycheetrestle::scheduling
