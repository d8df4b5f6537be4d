#include "scheduling/job_tombstones.h"

namespace lycheetrestle::scheduling {

bool job_tombstones::add(std::string_view Job, std::string_view Workspace,
                         std::int64_t TimeMs) {
  prune(TimeMs);
  key Key{Job, Workspace};
  auto Known = Tombstones.find(Key);
  if (Known == Tombstones.end() && Tombstones.size() >= MaxTombstones)
    return false;
  if (Known != Tombstones.end())
    ByTime.erase({Known->second, Key});
  Tombstones[Key] = TimeMs;
  ByTime.emplace(TimeMs, std::move(Key));
  return true;
}

bool job_tombstones::covers(std::string_view Job, std::string_view Workspace,
                            bool IsShared, std::int64_t TimeMs) const {
  auto Found = Tombstones.lower_bound({std::string(Job), std::string()});
  for (; Found != Tombstones.end() && Found->first.first == Job; ++Found)
    if ((IsShared || Found->first.second == Workspace) &&
        Found->second + RetentionMs >= TimeMs)
      return true;
  return false;
}

void job_tombstones::remove(std::string_view Job) {
  auto Found = Tombstones.lower_bound({std::string(Job), std::string()});
  while (Found != Tombstones.end() && Found->first.first == Job) {
    ByTime.erase({Found->second, Found->first});
    Found = Tombstones.erase(Found);
  }
}

std::vector<job_tombstone> job_tombstones::list() const {
  std::vector<job_tombstone> Result;
  Result.reserve(Tombstones.size());
  for (const auto &[Key, TimeMs] : Tombstones)
    Result.push_back({Key.first, Key.second, TimeMs});
  return Result;
}

void job_tombstones::restore(job_tombstone Tombstone) {
  key Key{std::move(Tombstone.Job), std::move(Tombstone.Workspace)};
  Tombstones[Key] = Tombstone.TimeMs;
  ByTime.emplace(Tombstone.TimeMs, std::move(Key));
}

void job_tombstones::prune(std::int64_t TimeMs) {
  while (!ByTime.empty() && ByTime.begin()->first + RetentionMs < TimeMs) {
    Tombstones.erase(ByTime.begin()->second);
    ByTime.erase(ByTime.begin());
  }
}

} // namespace lycheetrestle::scheduling
