#include "fleet/state_data.h"

#include "core/invariant.h"

namespace lycheetrestle::fleet {

void resource_sum::add(const resources &Use) {
  Cores += Use.Cores;
  MemoryMb += Use.MemoryMb;
  Accelerators += Use.Accelerators;
}

void resource_sum::subtract(const resources &Use) {
  Cores -= Use.Cores;
  MemoryMb -= Use.MemoryMb;
  Accelerators -= Use.Accelerators;
}

bool resource_sum::fitsWith(const resources &Use,
                            const resources &Limit) const {
  return Cores + Use.Cores <= Limit.Cores &&
         MemoryMb + Use.MemoryMb <= Limit.MemoryMb &&
         Accelerators + Use.Accelerators <= Limit.Accelerators;
}

void state_data::countHost(const host_record &Host) {
  auto Pool = Pools.find(Host.Pool);
  core::checkInvariant(Pool != Pools.end(),
                       "every host belongs to one existing pool");
  if (Pool != Pools.end()) {
    ++Pool->second.Hosts;
    Pool->second.Available += Host.State == host_state::InService ? 1 : 0;
  }
  if (auto Home = Pools.find(Host.Spec.HomePool); Home != Pools.end())
    ++Home->second.HomeHosts;
  for (const auto *Target : {&Host.TargetPool, &Host.NextTargetPool})
    if (auto Found = Pools.find(*Target); Found != Pools.end())
      ++Found->second.Targets;
}

void state_data::uncountHost(const host_record &Host) {
  if (auto Pool = Pools.find(Host.Pool); Pool != Pools.end()) {
    --Pool->second.Hosts;
    Pool->second.Available -= Host.State == host_state::InService ? 1 : 0;
  }
  if (auto Home = Pools.find(Host.Spec.HomePool); Home != Pools.end())
    --Home->second.HomeHosts;
  for (const auto *Target : {&Host.TargetPool, &Host.NextTargetPool})
    if (auto Found = Pools.find(*Target); Found != Pools.end())
      --Found->second.Targets;
}

void state_data::countJob(const job_record &Job) {
  if (hasEnded(Job.State))
    EndedJobs.emplace(Job.EndedIndex, Job.Id);
  if (!holdsLease(Job.State))
    return;
  auto Use = effectiveUse(Job);
  Teams[Job.Team].Use.add(Use);
  auto &Load = Loads[Job.Host];
  bool Inserted = Load.Jobs.insert(Job.Id).second;
  core::checkInvariant(Inserted, "a job is on one host at most");
  Load.Use.add(Use);
  ++LeasedJobs;
}

void state_data::uncountJob(const job_record &Job) {
  if (hasEnded(Job.State))
    EndedJobs.erase({Job.EndedIndex, Job.Id});
  if (!holdsLease(Job.State))
    return;
  auto Use = effectiveUse(Job);
  auto Team = Teams.find(Job.Team);
  Team->second.Use.subtract(Use);
  if (!Team->second.Declared && Team->second.Use == resource_sum())
    Teams.erase(Team);
  auto Load = Loads.find(Job.Host);
  Load->second.Jobs.erase(Job.Id);
  Load->second.Use.subtract(Use);
  if (Load->second.Jobs.empty())
    Loads.erase(Load);
  --LeasedJobs;
}

bool state_data::hasJobs(std::string_view Host) const {
  return Loads.find(Host) != Loads.end();
}

void state_data::indexDeclaration() {
  name_map<pool_entry> NewPools;
  for (const auto &Pool : Current->Pools) {
    auto Old = Pools.find(Pool.Name);
    auto &Entry = NewPools[Pool.Name];
    if (Old != Pools.end())
      Entry = Old->second;
    Entry.Budget = Pool.Budget;
  }
  Pools = std::move(NewPools);

  for (auto &[Name, Team] : Teams)
    Team.Declared = false;
  for (const auto &Team : Current->Teams) {
    auto &Entry = Teams[Team.Name];
    Entry.Quota = Team.Quota;
    Entry.Declared = true;
  }
  std::erase_if(Teams, [](const auto &Item) {
    return !Item.second.Declared && Item.second.Use == resource_sum();
  });
}

} // namespace lycheetrestle::fleet
