#include "scheduling/workspace_shares.h"

namespace lycheetrestle::scheduling {

namespace {

// Short compared to the window of the shares. An update takes time for each
// workspace with runs or waiting work.
constexpr core::duration UpdateInterval = std::chrono::milliseconds(200);

} // namespace

void workspace_shares::update(const schedule_state &State,
                              const waiting_index &Waiting,
                              core::time_point Now) {
  if (Now < NextUpdate)
    return;
  NextUpdate = Now + UpdateInterval;
  std::erase_if(Policies,
                [&](const auto &Item) { return !State.findPool(Item.first); });
  for (const auto &Pool : State.currentConfiguration().Pools)
    Policies.try_emplace(Pool.Name);
  for (auto &[Pool, Policy] : Policies)
    Policy.beginRound(Now);
  // Jobs of a pool that was removed have no share.
  auto Find = [this](const std::string &Pool) {
    auto Found = Policies.find(Pool);
    return Found == Policies.end() ? nullptr : &Found->second;
  };
  for (const auto &[Workspace, Usage] : State.workspaceUsage())
    for (const auto &[Pool, Use] : Usage.ByPool)
      if (auto *Policy = Find(Pool))
        Policy->recordUse(Workspace, Use);
  for (const auto &[Pool, Classes] : Waiting.classes())
    if (auto *Policy = Find(Pool))
      for (const auto &[Class, Steps] : Classes)
        if (const auto *Spec = State.findWorkspaceByName(Class.Workspace))
          Policy->recordAsking(Class.Workspace, Spec->Weight);
  for (auto &[Pool, Policy] : Policies)
    Policy.finishRound();
}

workspaces::share_level
workspace_shares::levelOf(std::string_view Pool,
                          std::string_view Workspace) const {
  auto Found = Policies.find(Pool);
  return Found == Policies.end() ? workspaces::share_level::Within
                                 : Found->second.levelOf(Workspace);
}

double workspace_shares::dominantShareOf(std::string_view Pool,
                                         std::string_view Workspace) const {
  auto Found = Policies.find(Pool);
  return Found == Policies.end() ? 0 : Found->second.dominantShareOf(Workspace);
}

} // namespace lycheetrestle::scheduling
