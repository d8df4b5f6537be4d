#include "placement/worker_capacity.h"

#include <algorithm>

namespace lycheetrestle::placement {

resource_vector &resource_vector::operator+=(const resource_vector &Other) {
  Cores += Other.Cores;
  MemoryMb += Other.MemoryMb;
  Accelerators += Other.Accelerators;
  return *this;
}

resource_vector &resource_vector::operator-=(const resource_vector &Other) {
  Cores -= Other.Cores;
  MemoryMb -= Other.MemoryMb;
  Accelerators -= Other.Accelerators;
  return *this;
}

bool resource_vector::fitsIn(const resource_vector &Other) const {
  return Cores <= Other.Cores && MemoryMb <= Other.MemoryMb &&
         Accelerators <= Other.Accelerators;
}

resource_vector worker_capacity::freeAfterCheckpoints() const {
  auto Sum = Free;
  Sum += Releasing;
  return Sum;
}

void worker_capacity::reserveAfterCheckpoints(const resource_vector &Size) {
  auto Rest = freeAfterCheckpoints();
  Rest -= Size;
  Free.Cores = std::min(Free.Cores, Rest.Cores);
  Free.MemoryMb = std::min(Free.MemoryMb, Rest.MemoryMb);
  Free.Accelerators = std::min(Free.Accelerators, Rest.Accelerators);
  Releasing = Rest;
  Releasing -= Free;
}

capacity_map::capacity_map(std::span<const worker_view> Workers) {
  Capacities.reserve(Workers.size());
  ByHost.reserve(Workers.size());
  for (const auto &Worker : Workers) {
    worker_capacity Capacity;
    Capacity.Worker = &Worker;
    Capacity.Free = resource_vector(Worker.Size);
    Capacities.push_back(std::move(Capacity));
    auto &Sizes = SizesByPool[Worker.Pool];
    if (std::find(Sizes.begin(), Sizes.end(), Worker.Size) == Sizes.end())
      Sizes.push_back(Worker.Size);
  }
  for (auto &Capacity : Capacities) {
    ByHost[Capacity.Worker->Host] = &Capacity;
    ByPool[Capacity.Worker->Pool].push_back(&Capacity);
  }
}

worker_capacity *capacity_map::find(std::string_view Host) {
  auto Found = ByHost.find(Host);
  return Found == ByHost.end() ? nullptr : Found->second;
}

std::vector<worker_capacity *> &
capacity_map::poolCapacities(std::string_view Pool) {
  return ByPool[Pool];
}

bool capacity_map::couldEverFit(std::string_view Pool,
                                const fleet::resources &Size) const {
  auto Found = SizesByPool.find(Pool);
  // A pool without workers may get some later.
  if (Found == SizesByPool.end())
    return true;
  return std::any_of(Found->second.begin(), Found->second.end(),
                     [&](const fleet::resources &Worker) {
                       return resource_vector(Size).fitsIn(
                           resource_vector(Worker));
                     });
}

quota_ledger::quota_ledger(std::span<const fleet::team_spec> Teams) {
  for (const auto &Team : Teams)
    Accounts[Team.Name] = {resource_vector(Team.Quota),
                           resource_vector(Team.Quota)};
}

void quota_ledger::charge(std::string_view Team, const fleet::resources &Size) {
  if (auto Found = Accounts.find(Team); Found != Accounts.end())
    Found->second.Remaining -= resource_vector(Size);
}

bool quota_ledger::allows(std::string_view Team,
                          const fleet::resources &Size) const {
  auto Found = Accounts.find(Team);
  return Found != Accounts.end() &&
         resource_vector(Size).fitsIn(Found->second.Remaining);
}

bool quota_ledger::couldEverAllow(std::string_view Team,
                                  const fleet::resources &Size) const {
  auto Found = Accounts.find(Team);
  return Found != Accounts.end() &&
         resource_vector(Size).fitsIn(Found->second.Total);
}

bool isBound(const fleet::job_record &Job) {
  return Job.State == fleet::job_state::Starting ||
         Job.State == fleet::job_state::Running;
}

bool isExpired(const fleet::job_record &Job, std::int64_t NowMs,
               const placer_settings &Settings) {
  return NowMs >= Job.LeaseUntilMs + Settings.LeaseMarginMs;
}

} // namespace lycheetrestle::placement
