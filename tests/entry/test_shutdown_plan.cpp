#include "entry/shutdown_plan.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::entry;
using namespace std::chrono_literals;

namespace {

core::time_point at(core::duration Time) { return core::time_point(Time); }

shutdown_plan makePlan() { return shutdown_plan({2000ms, 30000ms, 200ms}); }

} // namespace

TEST_CASE("without a stop request it serves") {
  auto Plan = makePlan();
  CHECK(Plan.advance(0, true, at(1s)) == shutdown_phase::Serving);
  CHECK(Plan.advance(0, true, at(100s)) == shutdown_phase::Serving);
}

// The load balancer needs the linger time to stop sending callers here.
TEST_CASE("it lingers even when it is idle") {
  auto Plan = makePlan();
  CHECK(Plan.advance(1, true, at(10s)) == shutdown_phase::Lingering);
  CHECK(Plan.advance(1, true, at(11999ms)) == shutdown_phase::Lingering);
  CHECK(Plan.advance(1, true, at(12s)) == shutdown_phase::Refusing);
}

TEST_CASE("it ends only after it was idle for the quiet time") {
  auto Plan = makePlan();
  Plan.advance(1, false, at(0s));
  CHECK(Plan.advance(1, false, at(2s)) == shutdown_phase::Refusing);
  CHECK(Plan.advance(1, false, at(20s)) == shutdown_phase::Refusing);
  CHECK(Plan.advance(1, true, at(21s)) == shutdown_phase::Refusing);
  // A request that arrives late starts the quiet time again.
  CHECK(Plan.advance(1, false, at(21100ms)) == shutdown_phase::Refusing);
  CHECK(Plan.advance(1, true, at(21250ms)) == shutdown_phase::Refusing);
  CHECK(Plan.advance(1, true, at(21449ms)) == shutdown_phase::Refusing);
  CHECK(Plan.advance(1, true, at(21450ms)) == shutdown_phase::Finished);
}

TEST_CASE("a second request or the timeout ends it at once") {
  auto Second = makePlan();
  Second.advance(1, false, at(0s));
  CHECK(Second.advance(2, false, at(1ms)) == shutdown_phase::Aborted);
  auto Timeout = makePlan();
  Timeout.advance(1, false, at(0s));
  CHECK(Timeout.advance(1, false, at(29999ms)) == shutdown_phase::Refusing);
  CHECK(Timeout.advance(1, false, at(30s)) == shutdown_phase::Aborted);
}
