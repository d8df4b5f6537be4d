#include "capacity/pool_sizer.h"

#include <algorithm>
#include <cmath>

namespace lycheetrestle::capacity {

namespace {

// Share of the way to a higher need that one call takes; two calls cover most
// of a rise, and one odd report does not move hosts.
constexpr double RiseShare = 0.5;
// Rounds of one second; peaks last some seconds.
constexpr std::uint32_t LastingRounds = 60;
// Weights outside this range would switch the rules off altogether.
constexpr double LowestWeight = 0.1;
constexpr double HighestWeight = 10;

double weight(double Value) {
  return std::clamp(Value, LowestWeight, HighestWeight);
}

std::uint32_t slackOf(const pool_load &Pool, std::uint32_t Floor) {
  auto Lowest = std::max(Pool.Minimum, Floor);
  return Pool.Available > Lowest ? Pool.Available - Lowest : 0;
}

} // namespace

pool_sizer::pool_sizer(sizer_settings Settings) : Settings(Settings) {}

std::vector<host_transfer> pool_sizer::plan(std::span<const pool_load> Pools,
                                            core::time_point Now) {
  // A heavier buffer cost shrinks the buffer and the time that an idle host is
  // kept; heavier moves lengthen both that time and the wait before lending.
  auto Cost = weight(Settings.BufferCostWeight);
  auto Moves = weight(Settings.MoveWeight);
  auto Factor = 1 + std::max(0.0, Settings.PeakFactor - 1) / std::sqrt(Cost);
  auto IdleSeconds =
      std::chrono::duration<double>(Settings.IdleBeforeReturn).count() *
      std::sqrt(Moves / Cost);
  auto Idle = std::chrono::duration_cast<core::duration>(
      std::chrono::duration<double>(IdleSeconds));
  auto RoundsShort = std::max<std::uint32_t>(
      1, std::uint32_t(
             std::lround(Settings.RoundsBeforeLending * std::sqrt(Moves))));
  // One host above the minimum lets a wave proceed in a pool without slack.
  std::uint32_t RolloutHosts = Settings.RolloutWeight > 1 ? 1 : 0;

  std::vector<std::uint32_t> Targets;
  for (const auto &Pool : Pools) {
    auto Found = Memory.find(Pool.Name);
    if (Found == Memory.end()) {
      Found = Memory.emplace(std::string(Pool.Name), pool_memory{}).first;
      Found->second.SmoothedNeed = Pool.NeededHosts;
      Found->second.LastNeeded = Now;
      Found->second.LastSeen = Now;
    }
    auto &Known = Found->second;
    if (Pool.NeededHosts > Known.SmoothedNeed) {
      Known.SmoothedNeed += (Pool.NeededHosts - Known.SmoothedNeed) * RiseShare;
    } else if (Idle.count() > 0) {
      // Between peaks demand falls to a twentieth for a while, which must not
      // give up what the next peak needs.
      auto Passed = std::chrono::duration<double>(Now - Known.LastSeen).count();
      Known.SmoothedNeed =
          Pool.NeededHosts + (Known.SmoothedNeed - Pool.NeededHosts) *
                                 std::exp(-Passed / IdleSeconds);
    } else {
      Known.SmoothedNeed = Pool.NeededHosts;
    }
    Known.LastSeen = Now;
    auto Target = std::uint32_t(
        std::ceil(std::max(0.0, Known.SmoothedNeed) * Factor - 1e-6));
    Targets.push_back(std::max(Target, Pool.Minimum + RolloutHosts));
    auto Have = Pool.Available + Pool.Arriving;
    // A need that is only remembered keeps the count and does not raise it, so
    // that one odd report moves nothing and repeated peaks do.
    bool Lasts = std::max(Pool.NeededHosts * Factor,
                          double(Pool.Minimum + RolloutHosts)) > Have;
    if (Targets.back() <= Have)
      Known.RoundsShort = 0;
    else if (Lasts)
      ++Known.RoundsShort;
    bool Lacks = std::max(Pool.NeededHosts, double(Pool.Minimum)) > Have;
    Known.RoundsLacking = Lacks ? Known.RoundsLacking + 1 : 0;
    if (Targets.back() >= Have)
      Known.LastNeeded = Now;
  }

  std::vector<host_transfer> Transfers;
  std::size_t Spare = Pools.size();
  for (std::size_t Index = 0; Index < Pools.size(); ++Index)
    if (Pools[Index].Spare)
      Spare = Index;
  if (Spare == Pools.size())
    return Transfers;
  auto SpareName = std::string(Pools[Spare].Name);
  // The spare pool keeps what its own load needs before it lends.
  auto Lendable = slackOf(Pools[Spare], Targets[Spare]);

  std::vector<std::size_t> Short;
  for (std::size_t Index = 0; Index < Pools.size(); ++Index) {
    const auto &Pool = Pools[Index];
    if (Pool.Spare || !Pool.AutoSize)
      continue;
    const auto &Known = Memory.find(Pool.Name)->second;
    auto Have = Pool.Available + Pool.Arriving;
    if (Known.RoundsShort >= RoundsShort) {
      Short.push_back(Index);
      continue;
    }
    if (Pool.Borrowed == 0 || Now - Known.LastNeeded < Idle ||
        Have <= Targets[Index])
      continue;
    auto Count = std::min(
        {Pool.Borrowed, Have - Targets[Index], slackOf(Pool, Targets[Index])});
    if (Count > 0)
      Transfers.push_back({std::string(Pool.Name), SpareName, Count});
  }
  std::vector<std::uint32_t> Given(Pools.size(), 0);
  // Queues peak in turn, so after its first host a pool leaves one for each of
  // the others, unless its need outlasts a peak.
  auto WithoutLoan = [&](std::size_t Except) {
    std::uint32_t Count = 0;
    for (std::size_t Index = 0; Index < Pools.size(); ++Index)
      Count += Index != Except && !Pools[Index].Spare &&
                       Pools[Index].AutoSize &&
                       Pools[Index].Borrowed + Pools[Index].Arriving +
                               Given[Index] ==
                           0
                   ? 1
                   : 0;
    return Count;
  };
  // The pool that lacks the largest share of its target gets hosts first, one
  // at a time, so that one pool cannot take all.
  auto Missing = [&](std::size_t Index) {
    auto Have = Pools[Index].Available + Pools[Index].Arriving + Given[Index];
    return Targets[Index] > Have
               ? double(Targets[Index] - Have) / double(Targets[Index])
               : 0.0;
  };
  while (Lendable > 0 && !Short.empty()) {
    auto Worst = *std::max_element(Short.begin(), Short.end(),
                                   [&](std::size_t Left, std::size_t Right) {
                                     return Missing(Left) < Missing(Right);
                                   });
    if (Missing(Worst) <= 0)
      break;
    const auto &Pool = Pools[Worst];
    bool HasOne = Pool.Borrowed + Pool.Arriving + Given[Worst] > 0;
    bool Lasts = Memory.find(Pool.Name)->second.RoundsLacking >= LastingRounds;
    if (HasOne && !Lasts && Lendable <= WithoutLoan(Worst)) {
      Short.erase(std::find(Short.begin(), Short.end(), Worst));
      continue;
    }
    ++Given[Worst];
    --Lendable;
  }
  for (std::size_t Index = 0; Index < Pools.size(); ++Index)
    if (Given[Index] > 0)
      Transfers.push_back(
          {SpareName, std::string(Pools[Index].Name), Given[Index]});
  return Transfers;
}

} // namespace lycheetrestle::capacity
