#include "capacity/pool_sizer.h"

#include <algorithm>
#include <cmath>

namespace lycheetrestle::capacity {

namespace {

// Share of the way to a higher need that one call takes; two calls cover most
// of a rise, and one odd report does not move hosts.
constexpr double RiseSmoothing = 0.5;
// Rounds of one second; peaks last some seconds.
constexpr std::uint32_t SustainedRounds = 60;
// Weights outside this range would switch the rules off altogether.
constexpr double MinWeight = 0.1;
constexpr double MaxWeight = 10;

double clampWeight(double Value) {
  return std::clamp(Value, MinWeight, MaxWeight);
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
  auto BufferWeight = clampWeight(Settings.BufferCostWeight);
  auto MoveWeight = clampWeight(Settings.MoveWeight);
  auto BufferFactor =
      1 + std::max(0.0, Settings.PeakFactor - 1) / std::sqrt(BufferWeight);
  auto IdleSeconds =
      std::chrono::duration<double>(Settings.IdleBeforeReturn).count() *
      std::sqrt(MoveWeight / BufferWeight);
  auto IdleTime = std::chrono::duration_cast<core::duration>(
      std::chrono::duration<double>(IdleSeconds));
  auto RoundsBeforeLending = std::max<std::uint32_t>(
      1, std::uint32_t(std::lround(Settings.RoundsBeforeLending *
                                   std::sqrt(MoveWeight))));
  // One host above the minimum lets a wave proceed in a pool without slack.
  std::uint32_t RolloutHosts = Settings.RolloutWeight > 1 ? 1 : 0;

  std::vector<std::uint32_t> Targets;
  for (const auto &Pool : Pools) {
    auto Found = Histories.find(Pool.Name);
    if (Found == Histories.end()) {
      Found = Histories.emplace(std::string(Pool.Name), pool_history{}).first;
      Found->second.SmoothedDemand = Pool.DemandHosts;
      Found->second.LastRequired = Now;
      Found->second.LastUpdate = Now;
    }
    auto &History = Found->second;
    if (Pool.DemandHosts > History.SmoothedDemand) {
      History.SmoothedDemand +=
          (Pool.DemandHosts - History.SmoothedDemand) * RiseSmoothing;
    } else if (IdleTime.count() > 0) {
      // Between peaks demand falls to a twentieth for a while, which must not
      // give up what the next peak needs.
      auto Passed =
          std::chrono::duration<double>(Now - History.LastUpdate).count();
      History.SmoothedDemand =
          Pool.DemandHosts + (History.SmoothedDemand - Pool.DemandHosts) *
                                 std::exp(-Passed / IdleSeconds);
    } else {
      History.SmoothedDemand = Pool.DemandHosts;
    }
    History.LastUpdate = Now;
    auto Target = std::uint32_t(
        std::ceil(std::max(0.0, History.SmoothedDemand) * BufferFactor - 1e-6));
    Targets.push_back(std::max(Target, Pool.Minimum + RolloutHosts));
    auto CurrentHosts = Pool.Available + Pool.Arriving;
    // A need that is only remembered keeps the count and does not raise it, so
    // that one odd report moves nothing and repeated peaks do.
    bool IsSustained =
        std::max(Pool.DemandHosts * BufferFactor,
                 double(Pool.Minimum + RolloutHosts)) > CurrentHosts;
    if (Targets.back() <= CurrentHosts)
      History.ShortfallRounds = 0;
    else if (IsSustained)
      ++History.ShortfallRounds;
    bool HasUnmetDemand =
        std::max(Pool.DemandHosts, double(Pool.Minimum)) > CurrentHosts;
    History.UnmetDemandRounds =
        HasUnmetDemand ? History.UnmetDemandRounds + 1 : 0;
    if (Targets.back() >= CurrentHosts)
      History.LastRequired = Now;
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

  std::vector<std::size_t> ShortPools;
  for (std::size_t Index = 0; Index < Pools.size(); ++Index) {
    const auto &Pool = Pools[Index];
    if (Pool.Spare || !Pool.AutoSize)
      continue;
    const auto &History = Histories.find(Pool.Name)->second;
    auto CurrentHosts = Pool.Available + Pool.Arriving;
    if (History.ShortfallRounds >= RoundsBeforeLending) {
      ShortPools.push_back(Index);
      continue;
    }
    if (Pool.Borrowed == 0 || Now - History.LastRequired < IdleTime ||
        CurrentHosts <= Targets[Index])
      continue;
    auto Count = std::min({Pool.Borrowed, CurrentHosts - Targets[Index],
                           slackOf(Pool, Targets[Index])});
    if (Count > 0)
      Transfers.push_back({std::string(Pool.Name), SpareName, Count});
  }
  std::vector<std::uint32_t> Lent(Pools.size(), 0);
  // Queues peak in turn, so after its first host a pool leaves one for each of
  // the others, unless its need outlasts a peak.
  auto PoolsWithoutLoan = [&](std::size_t Except) {
    std::uint32_t Count = 0;
    for (std::size_t Index = 0; Index < Pools.size(); ++Index)
      Count +=
          Index != Except && !Pools[Index].Spare && Pools[Index].AutoSize &&
                  Pools[Index].Borrowed + Pools[Index].Arriving + Lent[Index] ==
                      0
              ? 1
              : 0;
    return Count;
  };
  // The pool that lacks the largest share of its target gets hosts first, one
  // at a time, so that one pool cannot take all.
  auto ShortfallShare = [&](std::size_t Index) {
    auto CurrentHosts =
        Pools[Index].Available + Pools[Index].Arriving + Lent[Index];
    return Targets[Index] > CurrentHosts
               ? double(Targets[Index] - CurrentHosts) / double(Targets[Index])
               : 0.0;
  };
  while (Lendable > 0 && !ShortPools.empty()) {
    auto Neediest =
        *std::max_element(ShortPools.begin(), ShortPools.end(),
                          [&](std::size_t Left, std::size_t Right) {
                            return ShortfallShare(Left) < ShortfallShare(Right);
                          });
    if (ShortfallShare(Neediest) <= 0)
      break;
    const auto &Pool = Pools[Neediest];
    bool HasLoan = Pool.Borrowed + Pool.Arriving + Lent[Neediest] > 0;
    bool IsSustained =
        Histories.find(Pool.Name)->second.UnmetDemandRounds >= SustainedRounds;
    if (HasLoan && !IsSustained && Lendable <= PoolsWithoutLoan(Neediest)) {
      ShortPools.erase(
          std::find(ShortPools.begin(), ShortPools.end(), Neediest));
      continue;
    }
    ++Lent[Neediest];
    --Lendable;
  }
  for (std::size_t Index = 0; Index < Pools.size(); ++Index)
    if (Lent[Index] > 0)
      Transfers.push_back(
          {SpareName, std::string(Pools[Index].Name), Lent[Index]});
  return Transfers;
}

} // namespace lycheetrestle::capacity
