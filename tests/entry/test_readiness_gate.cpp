#include "entry/readiness_gate.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::entry;
using namespace std::chrono_literals;

namespace {

core::time_point at(core::duration Time) { return core::time_point(Time); }

// Updates the gate every 10 ms and returns the first time at which it is ready.
core::duration firstReady(readiness_gate &Gate, core::duration From) {
  for (auto Time = From; Time < From + 10s; Time += 10ms)
    if (Gate.update(true, at(Time)))
      return Time;
  return core::duration::max();
}

} // namespace

// An entry without known endpoints refuses every request, so it must not be
// ready before it has received their announcements.
TEST_CASE("readiness waits for one round of announcements after a start") {
  readiness_gate Gate;
  CHECK(firstReady(Gate, 100s) == 101200ms);
}

// Endpoint leases may have expired during a suspension of the process.
TEST_CASE("readiness waits again after a suspension, not after a short gap") {
  readiness_gate Gate;
  firstReady(Gate, 100s);
  CHECK(Gate.update(true, at(102s)));
  CHECK_FALSE(Gate.update(true, at(105s)));
  CHECK(firstReady(Gate, 105s) == 106200ms);
}

TEST_CASE("the gate is not ready while the router is not") {
  readiness_gate Gate;
  firstReady(Gate, 100s);
  CHECK_FALSE(Gate.update(false, at(101300ms)));
  CHECK(Gate.update(true, at(101310ms)));
}
