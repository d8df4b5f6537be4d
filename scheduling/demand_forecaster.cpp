#include "scheduling/demand_forecaster.h"

#include <algorithm>

namespace lycheetrestle::scheduling {

namespace {

// Two windows of this length give level and trend. Shorter ones follow single
// large jobs, longer ones miss the rise of a peak that lasts some seconds.
constexpr core::duration Window = std::chrono::milliseconds(1000);
// A trend may at most multiply the level by this.
constexpr double MaxGrowth = 1.8;
// Jobs in both windows at which the newer one counts as much as their mean; the
// work of single jobs differs by a factor of several.
constexpr double HalfWeightCount = 20;

double seconds(core::duration Duration) {
  return std::chrono::duration<double>(Duration).count();
}

} // namespace

void demand_forecaster::record(const std::string &Pool, double CoreSeconds,
                               core::time_point Now) {
  auto &List = Arrivals[Pool];
  List.push_back({Now, CoreSeconds});
  while (List.front().At + 2 * Window < Now)
    List.pop_front();
}

double demand_forecaster::expectedCores(const std::string &Pool,
                                        core::time_point Now,
                                        core::duration Horizon) const {
  auto Found = Arrivals.find(Pool);
  if (Found == Arrivals.end())
    return 0;
  double Recent = 0;
  double Earlier = 0;
  std::size_t Count = 0;
  for (const auto &Arrival : Found->second) {
    if (Arrival.At + 2 * Window < Now)
      continue;
    ++Count;
    (Arrival.At + Window >= Now ? Recent : Earlier) += Arrival.CoreSeconds;
  }
  // With few jobs in the windows, their difference is mostly chance.
  double TrendWeight = static_cast<double>(Count) /
                       (static_cast<double>(Count) + HalfWeightCount);
  double Mean = (Recent + Earlier) / 2;
  double Level =
      (TrendWeight * Recent + (1 - TrendWeight) * Mean) / seconds(Window);
  double Trend =
      TrendWeight * (Recent - Earlier) / seconds(Window) / seconds(Window);
  return std::clamp(Level + Trend * seconds(Horizon + Window / 2), 0.0,
                    MaxGrowth * Level);
}

} // namespace lycheetrestle::scheduling
