#include "scheduling/leader.h"

namespace lycheetrestle::scheduling {

bool leader::isOverRate(const workspaces::workspace_spec &Workspace,
                        core::time_point Now) {
  return !Rates.take(Workspace.Name, Workspace.Weight, Now);
}

bool leader::wouldExceedRate(const workspaces::workspace_spec &Workspace,
                             core::time_point Now) const {
  return Rates.untilToken(Workspace.Name, Workspace.Weight, Now) >
         core::duration();
}

leader::workspace_use leader::orphanedUse(core::time_point Now) const {
  workspace_use Result;
  for (auto Number : OrphanEndpoints) {
    auto Tracked = TrackedEndpoints.find(Number);
    if (Tracked == TrackedEndpoints.end() ||
        !mayRunOrphans(Tracked->second, Now))
      continue;
    for (const auto &[Key, Run] : Tracked->second.OrphanedRuns) {
      const auto *Job = State.findJob(Key.Job);
      if (Job && !Job->Workspace.empty() && Key.Step < Job->Spec.Steps.size())
        Result[Job->Workspace].add(usageOf(Job->Spec.Steps[Key.Step]));
    }
  }
  return Result;
}

workspaces::start_budget::account
leader::accountOf(std::string_view Workspace,
                  const workspace_use &Orphaned) const {
  workspaces::start_budget::account Account;
  if (const auto *Spec = State.findWorkspaceByName(Workspace))
    Account.Limit = Spec->Limit;
  if (Account.Limit.isUnlimited())
    return Account;
  auto Usage = State.workspaceUsage().find(Workspace);
  if (Usage != State.workspaceUsage().end())
    Account.Use = Usage->second.Total;
  if (auto Found = Orphaned.find(Workspace); Found != Orphaned.end())
    Account.Use.add(Found->second);
  return Account;
}

} // namespace lycheetrestle::scheduling
