#include "capacity/pool_sizer.h"

#include <algorithm>
#include <cmath>

namespace lycheetrestle::capacity {

namespace {

// Smoothing factor for rising demand: two rounds cover most of a rise, and a
// single outlier does not move hosts.
constexpr double RiseSmoothing = 0.5;
// Demand that lasts this many rounds of one second is not a peak; peaks last a
// few seconds.
constexpr std::uint32_t SustainedRounds = 60;
// Weights outside this range would disable the sizing rules.
constexpr double MinWeight = 0.1;
constexpr double MaxWeight = 10;

// Keeps rounding errors from adding a whole host.
constexpr double RoundingTolerance = 1e-6;

double clampWeight(double Value) {
  return std::clamp(Value, MinWeight, MaxWeight);
}

// Hosts above both Floor and the minimum of the pool, which it can release.
std::uint32_t slackOf(const pool_load &Pool, std::uint32_t Floor) {
  auto Lowest = std::max(Pool.Minimum, Floor);
  return Pool.Available > Lowest ? Pool.Available - Lowest : 0;
}

} // namespace

pool_sizer::pool_sizer(sizer_settings Settings) : Settings(Settings) {}

std::vector<host_transfer> pool_sizer::plan(std::span<const pool_load> Pools,
                                            core::time_point Now) {
  // A higher buffer cost shrinks the buffer and the time for which an idle host
  // is kept. A higher move cost lengthens that time and the delay before
  // lending.
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
  // One host above the minimum lets a wave proceed in a pool that has no other
  // slack.
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
      // Demand falls to a twentieth between peaks, so the smoothed demand
      // decays exponentially and keeps the hosts for the next peak.
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
        std::ceil(std::max(0.0, History.SmoothedDemand) * BufferFactor -
                  RoundingTolerance));
    Targets.push_back(std::max(Target, Pool.Minimum + RolloutHosts));
    auto CurrentHosts = Pool.Available + Pool.Arriving;
    // A shortfall by smoothed demand alone keeps the count without raising it,
    // so that a single outlier moves no host and repeated peaks do.
    bool HasCurrentShortfall =
        std::max(Pool.DemandHosts * BufferFactor,
                 double(Pool.Minimum + RolloutHosts)) > CurrentHosts;
    if (Targets.back() <= CurrentHosts)
      History.ShortfallRounds = 0;
    else if (HasCurrentShortfall)
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
  // The spare pool covers its own load before it lends.
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
  // Pools peak one after the other, so a pool that has borrowed hosts leaves
  // one host for each pool that has none, unless its demand outlasts a peak.
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
  // Hosts go one at a time to the pool with the largest shortfall relative to
  // its target, so that one pool cannot take all of them.
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
