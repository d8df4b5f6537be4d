#include "scheduling/workspace_load.h"

#include "core/event_log.h"
#include "scheduling/placer.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

double partOf(std::uint64_t Amount, std::uint64_t Total) {
  return Total == 0 ? 0
                    : static_cast<double>(Amount) / static_cast<double>(Total);
}

std::uint64_t countWaiting(const job_record &Job,
                           const occurrence_record &Occurrence,
                           std::uint32_t Step) {
  if (!hasWaitingTask(Job.Spec, Occurrence, Step))
    return 0;
  const auto &Tasks = Occurrence.Steps[Step].Tasks;
  return static_cast<std::uint64_t>(
      std::count_if(Tasks.begin(), Tasks.end(),
                    [](const task_record &Task) { return Task.isWaiting(); }));
}

void addWaiting(workspace_load &Load, const job_record &Job) {
  for (const auto &Occurrence : Job.OpenOccurrences)
    for (std::uint32_t Step = 0; Step != Occurrence.Steps.size(); ++Step) {
      auto Waiting = countWaiting(Job, Occurrence, Step);
      if (Waiting == 0)
        continue;
      const auto &Spec = Job.Spec.Steps[Step];
      auto Size = usageOf(Spec).times(Spec.IsGang ? Spec.Count : 1);
      Load.QueuedTasks += Waiting;
      Load.OverRateTasks += Job.IsOverRate ? Waiting : 0;
      Load.HeldTasks += Load.Use.allows(Size, Load.Limit) ? 0 : Waiting;
    }
}

void addShares(std::span<workspace_load> Loads, const schedule_state &State) {
  workspaces::resource_usage Total;
  std::uint64_t Weights = 0;
  auto WeightOf = [&](const workspace_load &Load) -> std::uint64_t {
    const auto *Spec = State.findWorkspaceByName(Load.Name);
    return Spec ? Spec->Weight : 0;
  };
  for (const auto &Load : Loads) {
    Total.add(Load.Use);
    Weights += WeightOf(Load);
  }
  for (auto &Load : Loads) {
    Load.UsedShare =
        std::max({partOf(Load.Use.MilliCores, Total.MilliCores),
                  partOf(Load.Use.MemoryMb, Total.MemoryMb),
                  partOf(Load.Use.Accelerators, Total.Accelerators)});
    Load.WeightShare = partOf(WeightOf(Load), Weights);
  }
}

void logLoad(const workspace_load &Load) {
  core::logEvent(core::log_level::Info, "workspace_load",
                 {{"workspace", Load.Name},
                  {"queued_tasks", Load.QueuedTasks},
                  {"held_by_limit", Load.HeldTasks},
                  {"over_rate", Load.OverRateTasks},
                  {"running_millicores", Load.Use.MilliCores},
                  {"running_mb", Load.Use.MemoryMb},
                  {"running_accelerators", Load.Use.Accelerators},
                  {"limit_millicores", Load.Limit.MilliCores},
                  {"limit_mb", Load.Limit.MemoryMb},
                  {"limit_accelerators", Load.Limit.Accelerators},
                  {"used_share", Load.UsedShare},
                  {"weight_share", Load.WeightShare}});
}

void setGauges(const workspace_load &Load, const std::string &Rank,
               core::metrics_registry &Metrics) {
  auto Set = [&](std::string_view Name, auto Value) {
    Metrics.set(std::string(Name) + "{rank=\"" + Rank + "\"}",
                static_cast<double>(Value));
  };
  Set("workspace_queued_tasks", Load.QueuedTasks);
  Set("workspace_held_by_limit", Load.HeldTasks);
  Set("workspace_over_rate", Load.OverRateTasks);
  Set("workspace_running_millicores", Load.Use.MilliCores);
  Set("workspace_limit_millicores", Load.Limit.MilliCores);
  Set("workspace_used_share", Load.UsedShare);
  Set("workspace_weight_share", Load.WeightShare);
}

} // namespace

std::vector<workspace_load> workspaceLoads(const schedule_state &State) {
  std::map<std::string_view, workspace_load> Loads;
  auto Find = [&](const std::string &Name) -> workspace_load & {
    auto [Found, IsNew] = Loads.try_emplace(Name);
    auto &Load = Found->second;
    if (!IsNew)
      return Load;
    Load.Name = Name;
    if (const auto *Spec = State.findWorkspaceByName(Name))
      Load.Limit = Spec->Limit;
    return Load;
  };
  for (const auto &[Name, Usage] : State.workspaceUsage())
    Find(Name).Use = Usage.Total;
  for (const auto &[SubmittedMs, Id] : State.liveJobs()) {
    const auto &Job = *State.findJob(Id);
    if (!Job.Workspace.empty())
      addWaiting(Find(Job.Workspace), Job);
  }
  std::vector<workspace_load> Result;
  for (auto &[Name, Load] : Loads)
    if (Load.QueuedTasks > 0 || !Load.Use.isZero())
      Result.push_back(std::move(Load));
  addShares(Result, State);
  std::stable_sort(Result.begin(), Result.end(),
                   [](const workspace_load &Left, const workspace_load &Right) {
                     return std::pair(Left.UsedShare, Left.QueuedTasks) >
                            std::pair(Right.UsedShare, Right.QueuedTasks);
                   });
  return Result;
}

workspace_load sumOf(std::span<const workspace_load> Loads) {
  workspace_load Sum;
  Sum.Name = "(rest)";
  for (const auto &Load : Loads) {
    Sum.QueuedTasks += Load.QueuedTasks;
    Sum.HeldTasks += Load.HeldTasks;
    Sum.OverRateTasks += Load.OverRateTasks;
    Sum.Use.add(Load.Use);
    Sum.UsedShare += Load.UsedShare;
    Sum.WeightShare += Load.WeightShare;
  }
  return Sum;
}

void logWorkspaceLoads(const schedule_state &State,
                       core::metrics_registry &Metrics) {
  if (!State.currentConfiguration().RequiresKeys)
    return;
  auto Loads = workspaceLoads(State);
  auto Named = std::min(Loads.size(), MaxNamedWorkspaces);
  for (std::size_t Rank = 0; Rank != MaxNamedWorkspaces; ++Rank) {
    setGauges(Rank < Named ? Loads[Rank] : workspace_load(),
              std::to_string(Rank + 1), Metrics);
    if (Rank < Named)
      logLoad(Loads[Rank]);
  }
  auto Rest = sumOf(std::span(Loads).subspan(Named));
  setGauges(Rest, "rest", Metrics);
  if (Loads.size() > Named)
    logLoad(Rest);
}

} // namespace lycheetrestle::scheduling
