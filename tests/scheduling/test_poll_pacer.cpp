#include "scheduling/poll_pacer.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace std::chrono_literals;

namespace {

/// \returns the wait after the answers of a number of seconds.
core::duration delayAfter(poll_pacer &Pacer, int AnswersPerSecond,
                          core::time_point &Now, int Seconds = 3) {
  for (int Answer = 0; Answer != Seconds * AnswersPerSecond; ++Answer) {
    Now += core::duration(1'000'000 / AnswersPerSecond);
    Pacer.recordAnswer(Now);
  }
  return Pacer.delay(Now);
}

} // namespace

// Guards against capacity that stays unused at a leader that has time.
TEST_CASE("with few answers ends are collected soon") {
  poll_pacer Pacer;
  core::time_point Now{};
  CHECK(Pacer.delay(Now) == poll_pacer::MinDelay);
  CHECK(delayAfter(Pacer, 500, Now) == poll_pacer::MinDelay);
}

// Guards against a leader that spends a peak on answers with one end each.
TEST_CASE("with many answers a second more ends share one") {
  poll_pacer Pacer;
  core::time_point Now{};
  auto Busy = delayAfter(Pacer, 2500, Now);
  CHECK(Busy > 90ms);
  CHECK(Busy < 110ms);
  CHECK(delayAfter(Pacer, 20'000, Now) == poll_pacer::MaxDelay);
  // Soon after the peak the wait is short again.
  CHECK(Pacer.delay(Now + 3s) == poll_pacer::MinDelay);
}
