#include "entry/shutdown_plan.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::entry;
using namespace std::chrono_literals;

namespace {

core::time_point at(core::duration Time) { return core::time_point(Time); }

shutdown_plan makePlan() { return shutdown_plan({2000ms, 30000ms, 200ms}); }

} // namespace

TEST_CASE("the entry serves until a stop is requested") {
  auto Plan = makePlan();
  CHECK(Plan.advance(0, true, true, at(1s)) == shutdown_phase::Serving);
  CHECK(Plan.advance(0, true, true, at(100s)) == shutdown_phase::Serving);
}

// The load balancer needs the linger time to stop routing callers to the entry.
TEST_CASE("an idle entry also lingers") {
  auto Plan = makePlan();
  CHECK(Plan.advance(1, true, true, at(10s)) == shutdown_phase::Lingering);
  CHECK(Plan.advance(1, true, true, at(11999ms)) == shutdown_phase::Lingering);
  CHECK(Plan.advance(1, true, true, at(12s)) == shutdown_phase::Refusing);
}

TEST_CASE("the listener stays open until no accepted request is in flight") {
  auto Plan = makePlan();
  Plan.advance(1, false, false, at(0s));
  CHECK(Plan.advance(1, false, false, at(2s)) == shutdown_phase::Refusing);
  CHECK(Plan.advance(1, false, true, at(20s)) == shutdown_phase::Refusing);
  // Unwritten responses of refused requests do not delay it.
  CHECK(Plan.advance(1, true, false, at(21s)) == shutdown_phase::Closing);
}

TEST_CASE("shutdown finishes only after the quiet time, idle and flushed") {
  auto Plan = makePlan();
  Plan.advance(1, true, true, at(0s));
  Plan.advance(1, true, true, at(2s));
  CHECK(Plan.advance(1, true, true, at(3s)) == shutdown_phase::Closing);
  CHECK(Plan.advance(1, true, true, at(3050ms)) == shutdown_phase::Closing);
  // A late request or an unwritten response restarts the quiet time.
  auto [IsIdle, IsFlushed] =
      GENERATE(table<bool, bool>({{true, false}, {false, true}}));
  CHECK(Plan.advance(1, IsIdle, IsFlushed, at(3100ms)) ==
        shutdown_phase::Closing);
  CHECK(Plan.advance(1, true, true, at(3250ms)) == shutdown_phase::Closing);
  CHECK(Plan.advance(1, true, true, at(3449ms)) == shutdown_phase::Closing);
  CHECK(Plan.advance(1, true, true, at(3450ms)) == shutdown_phase::Finished);
}

TEST_CASE("a second stop request or the timeout aborts the shutdown") {
  auto Second = makePlan();
  Second.advance(1, false, false, at(0s));
  CHECK(Second.advance(2, false, false, at(1ms)) == shutdown_phase::Aborted);
  auto Timeout = makePlan();
  Timeout.advance(1, false, false, at(0s));
  CHECK(Timeout.advance(1, false, false, at(29999ms)) ==
        shutdown_phase::Refusing);
  CHECK(Timeout.advance(1, false, false, at(30s)) == shutdown_phase::Aborted);
}
