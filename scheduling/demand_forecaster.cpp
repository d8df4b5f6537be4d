#include "scheduling/demand_forecaster.h"

#include <algorithm>

namespace lycheetrestle::scheduling {

namespace {

// Level and trend are computed from two consecutive windows of this length.
// Shorter windows follow single large jobs; longer ones miss the rise of a peak
// that lasts a few seconds.
constexpr core::duration Window = std::chrono::milliseconds(1000);
// Upper limit of the ratio of the forecast to the level.
constexpr double MaxGrowth = 1.8;
// Number of jobs in both windows at which the newer window has the same weight
// as the mean of both; the work of single jobs differs by several times.
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
  // With few jobs, the difference between the windows is mostly noise.
  double TrendWeight = static_cast<double>(Count) /
                       (static_cast<double>(Count) + HalfWeightCount);
  double Mean = (Recent + Earlier) / 2;
  double Level =
      (TrendWeight * Recent + (1 - TrendWeight) * Mean) / seconds(Window);
  double Trend =
      TrendWeight * (Recent - Earlier) / seconds(Window) / seconds(Window);
  // The newer window is centered half a window before Now.
  return std::clamp(Level + Trend * seconds(Horizon + Window / 2), 0.0,
                    MaxGrowth * Level);
}

} // namespace lycheetrestle::scheduling
