#include "scheduling/upkeep_planner.h"

#include <algorithm>

namespace lycheetrestle::scheduling {

namespace {

// Most short tasks end within this time; longer ones lose less than a host
// that stands idle costs.
constexpr std::int64_t DrainMs = 1500;
// While a host is down, the next one is emptied, so that the slots of the wave
// are never idle.
constexpr std::size_t CordonAhead = 1;

bool isFirst(const upkeep_host &Left, const upkeep_host &Right) {
  if (Left.IsCordoned != Right.IsCordoned)
    return Left.IsCordoned;
  if (Left.MayInterrupt != Right.MayInterrupt)
    return Left.MayInterrupt;
  if (Left.LongRuns != Right.LongRuns)
    return Left.LongRuns < Right.LongRuns;
  if (Left.ShortRuns != Right.ShortRuns)
    return Left.ShortRuns < Right.ShortRuns;
  return Left.Name < Right.Name;
}

} // namespace

upkeep_plan planUpkeep(const wave_record &Wave,
                       std::span<const upkeep_host> Hosts,
                       std::int64_t ElapsedMs, std::int64_t UpkeepMs) {
  upkeep_plan Plan;
  std::vector<upkeep_host> Waiting;
  std::size_t Down = 0;
  for (const auto &Host : Hosts) {
    if (Host.IsInUpkeep)
      ++Down;
    else if (!Host.IsKnown)
      Plan.Dropped.push_back(Host.Name);
    else if (Host.IsUp)
      Waiting.push_back(Host);
  }
  std::sort(Waiting.begin(), Waiting.end(), isFirst);
  std::size_t Slots = Wave.MaxCount > Down ? Wave.MaxCount - Down : 0;
  auto Rounds = static_cast<std::int64_t>(
      (Waiting.size() + Wave.MaxCount - 1) / Wave.MaxCount);
  bool IsUrgent = ElapsedMs + Rounds * (UpkeepMs + DrainMs) >=
                  static_cast<std::int64_t>(Wave.DeadlineMs);
  std::size_t Cordoned = 0;
  for (const auto &Host : Waiting) {
    if (Cordoned >= Slots + CordonAhead)
      break;
    ++Cordoned;
    bool IsEmpty = Host.ShortRuns == 0;
    bool MayGo = Host.MayInterrupt &&
                 (IsEmpty || (Host.IsCordoned &&
                              (IsUrgent || Host.CordonedMs >= DrainMs)));
    if (MayGo && Slots > 0) {
      Plan.Order.push_back(Host.Name);
      --Slots;
      continue;
    }
    if (!Host.IsCordoned)
      Plan.Cordon.push_back(Host.Name);
  }
  return Plan;
}

} // namespace lycheetrestle::scheduling
