#include "gateway/stop_plan.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::gateway;
using namespace std::chrono_literals;

namespace {

core::time_point at(core::duration Time) { return core::time_point(Time); }

stop_plan makePlan() { return stop_plan({2500ms, 1500ms}); }

} // namespace

TEST_CASE("without a stop request a gateway serves") {
  auto Plan = makePlan();
  CHECK(Plan.advance(0, false, at(100s)) == stop_phase::Serving);
  CHECK(Plan.advance(0, true, at(200s)) == stop_phase::Serving);
}

// The load balancer sends connections until its second failed check.
TEST_CASE("a gateway without open requests serves until the end of the "
          "linger") {
  auto Plan = makePlan();
  CHECK(Plan.advance(1, false, at(100s)) == stop_phase::Lingering);
  CHECK(Plan.advance(1, false, at(102'499ms)) == stop_phase::Lingering);
  CHECK(Plan.advance(1, false, at(102'500ms)) == stop_phase::Refusing);
}

// Guards against a stop on a check that was made before new requests were
// refused: a request may have been read in between.
TEST_CASE("a gateway never finishes before it has refused new requests") {
  auto Plan = makePlan();
  Plan.advance(1, false, at(100s));
  CHECK(Plan.advance(1, false, at(103s)) == stop_phase::Refusing);
  CHECK(Plan.advance(1, false, at(103s)) == stop_phase::Finished);
}

TEST_CASE("open requests delay the end up to the bound") {
  auto Plan = makePlan();
  Plan.advance(1, true, at(100s));
  CHECK(Plan.advance(1, true, at(102'500ms)) == stop_phase::Refusing);
  CHECK(Plan.advance(1, true, at(103'999ms)) == stop_phase::Refusing);
  SECTION("they are answered") {
    CHECK(Plan.advance(1, false, at(103'999ms)) == stop_phase::Finished);
  }
  SECTION("the bound is reached") {
    CHECK(Plan.advance(1, true, at(104s)) == stop_phase::Finished);
  }
}

// A process may be suspended for longer than all its bounds.
TEST_CASE("a gateway that was suspended during its stop ends at once") {
  auto Plan = makePlan();
  Plan.advance(1, true, at(100s));
  CHECK(Plan.advance(1, true, at(110s)) == stop_phase::Finished);
}

TEST_CASE("a second stop request ends the wait in each phase") {
  auto Plan = makePlan();
  SECTION("serving") {}
  SECTION("lingering") { Plan.advance(1, true, at(99s)); }
  SECTION("refusing") {
    Plan.advance(1, true, at(97s));
    CHECK(Plan.advance(1, true, at(99'900ms)) == stop_phase::Refusing);
  }
  CHECK(Plan.advance(2, true, at(100s)) == stop_phase::Finished);
}

TEST_CASE("a finished stop stays finished") {
  auto Plan = makePlan();
  Plan.advance(2, false, at(100s));
  CHECK(Plan.advance(1, true, at(100s)) == stop_phase::Finished);
}
