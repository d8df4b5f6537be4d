#include "scheduling/need_hold.h"

#include <algorithm>
#include <cmath>

namespace lycheetrestle::scheduling {

namespace {

// About as long as a host needs to arrive.
constexpr double HalfLifeSeconds = 1.0;

} // namespace

double need_hold::update(double Cores, core::time_point Now) {
  auto Passed = std::chrono::duration<double>(Now - UpdatedAt).count();
  UpdatedAt = Now;
  Held = std::max(Cores, Held * std::exp2(-Passed / HalfLifeSeconds));
  return Held;
}

} // namespace lycheetrestle::scheduling
