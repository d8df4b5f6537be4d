#include "placement/worker_capacity.h"

#include <algorithm>

namespace lycheetrestle::placement {

std::vector<placement_action>
planPlacementFirstFit(std::span<const worker_view> Workers,
                      std::span<const fleet::job_record> Jobs,
                      std::span<const fleet::team_spec> Teams,
                      std::int64_t NowMs, const placer_settings &Settings) {
  std::vector<placement_action> Actions;
  capacity_map Capacities(Workers);
  quota_ledger Quotas(Teams);
  std::vector<const fleet::job_record *> Waiting;
  for (const auto &Job : Jobs) {
    if (isBound(Job)) {
      if (isExpired(Job, NowMs, Settings))
        Actions.push_back({action_kind::ExpireLease, Job.Id, Job.Host, 0,
                           "the lease expired"});
      Quotas.charge(Job.Team, Job.Declared);
      if (auto *Capacity = Capacities.find(Job.Host))
        Capacity->Free -= resource_vector(Job.Declared);
    } else if ((Job.State == fleet::job_state::Waiting ||
                Job.State == fleet::job_state::Checkpointed) &&
               !Job.CancelRequested) {
      Waiting.push_back(&Job);
    }
  }
  std::sort(Waiting.begin(), Waiting.end(),
            [](const auto *Left, const auto *Right) {
              return Left->SubmittedMs != Right->SubmittedMs
                         ? Left->SubmittedMs < Right->SubmittedMs
                         : Left->Id < Right->Id;
            });
  for (const auto *Job : Waiting) {
    if (!Capacities.couldEverFit(Job->Pool, Job->Declared)) {
      Actions.push_back({action_kind::Impossible, Job->Id, "", 0,
                         "no worker of the pool has the declared size"});
      continue;
    }
    if (!Quotas.allows(Job->Team, Job->Declared))
      continue;
    for (auto *Capacity : Capacities.poolCapacities(Job->Pool)) {
      if (!Capacity->Worker->InService ||
          !resource_vector(Job->Declared).fitsIn(Capacity->Free))
        continue;
      Capacity->Free -= resource_vector(Job->Declared);
      Quotas.charge(Job->Team, Job->Declared);
      Actions.push_back({action_kind::Start, Job->Id,
                         std::string(Capacity->Worker->Host),
                         Capacity->Worker->Epoch, ""});
      break;
    }
  }
  return Actions;
}

} // namespace lycheetrestle::placement
