#include "core/phase_timer.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace std::chrono_literals;

namespace {

struct manual_clock {
  using time_point = std::chrono::time_point<manual_clock, core::duration>;
  static inline time_point Time{};
  static time_point now() { return Time; }
};

} // namespace

TEST_CASE("time is assigned to the phase that it passed in, and the longest "
          "iteration is kept until it is taken") {
  core::phase_timer<manual_clock, 2> Timer;
  auto Iterate = [&](core::duration First, core::duration Second) {
    manual_clock::Time += 1s; // Outside an iteration.
    Timer.beginIteration();
    manual_clock::Time += First;
    Timer.finishPhase(0);
    manual_clock::Time += Second;
    Timer.finishPhase(1);
    Timer.finishIteration();
  };
  Iterate(2ms, 5ms);
  Iterate(1ms, 1ms);
  auto Totals = Timer.take();
  CHECK(Totals.Iterations == 2);
  CHECK(Totals.Phases[0] == 3ms);
  CHECK(Totals.Phases[1] == 6ms);
  CHECK(Totals.Longest == 7ms);
  CHECK(Timer.take().Iterations == 0);
}
