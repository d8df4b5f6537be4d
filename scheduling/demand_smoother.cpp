#include "scheduling/demand_smoother.h"

#include <algorithm>
#include <cmath>

namespace lycheetrestle::scheduling {

namespace {

// About the time that a host needs to change its pool.
constexpr double HalfLifeSeconds = 1.0;

} // namespace

double demand_smoother::update(double Cores, core::time_point Now) {
  auto Passed = std::chrono::duration<double>(Now - UpdatedAt).count();
  UpdatedAt = Now;
  Smoothed = std::max(Cores, Smoothed * std::exp2(-Passed / HalfLifeSeconds));
  return Smoothed;
}

} // namespace lycheetrestle::scheduling
