#include "scheduling/demand_meter.h"

#include <algorithm>

namespace lycheetrestle::scheduling {

namespace {

// Two windows of this length give level and trend. Shorter ones follow single
// large jobs, longer ones miss the rise of a peak that lasts some seconds.
constexpr core::duration Window = std::chrono::milliseconds(1000);
// A trend may at most multiply the level by this.
constexpr double MaxGrowth = 1.8;

double seconds(core::duration Duration) {
  return std::chrono::duration<double>(Duration).count();
}

} // namespace

void demand_meter::note(const std::string &Pool, double CoreSeconds,
                        core::time_point Now) {
  auto &List = Arrivals[Pool];
  List.push_back({Now, CoreSeconds});
  while (List.front().At + 2 * Window < Now)
    List.pop_front();
}

double demand_meter::expectedCores(const std::string &Pool,
                                   core::time_point Now,
                                   core::duration Ahead) const {
  auto Found = Arrivals.find(Pool);
  if (Found == Arrivals.end())
    return 0;
  double Recent = 0;
  double Earlier = 0;
  for (const auto &Arrival : Found->second) {
    if (Arrival.At + Window >= Now)
      Recent += Arrival.CoreSeconds;
    else if (Arrival.At + 2 * Window >= Now)
      Earlier += Arrival.CoreSeconds;
  }
  double Level = Recent / seconds(Window);
  double Trend = (Recent - Earlier) / seconds(Window) / seconds(Window);
  return std::clamp(Level + Trend * seconds(Ahead + Window / 2), 0.0,
                    MaxGrowth * Level);
}

} // namespace lycheetrestle::scheduling
