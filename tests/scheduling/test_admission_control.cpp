#include "scheduling/admission_control.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace std::chrono_literals;

namespace {

core::time_point at(core::duration Time) { return core::time_point(Time); }

/// Plays 100 starts a second of pool `p`, and tasks that wait, for this long.
admission_control startedFor(core::duration Time) {
  admission_control Admission;
  for (core::duration Now{}; Now < Time; Now += 10ms) {
    Admission.recordBacklog("p", true, at(10s + Now));
    Admission.recordStart("p", at(10s + Now));
  }
  return Admission;
}

// Of the typical job of a queue.
constexpr wait_limits Limits{1s, 5s};

} // namespace

TEST_CASE("a job is refused when its pool cannot start it while it is of use") {
  auto Admission = startedFor(3s);
  auto Now = at(13s);
  CHECK_FALSE(Admission.check("p", {{1, {490, 0}}}, 1, Limits, Now));
  auto Refusal = Admission.check("p", {{1, {300, 500}}}, 1, Limits, Now);
  REQUIRE(Refusal);
  CHECK(Refusal->StartsPerS == Approx(100).epsilon(0.03));
  CHECK(Refusal->ExpectedWait > 7500ms);
  CHECK(Refusal->ExpectedWait < 8500ms);
  // By then the tasks in time are few enough.
  CHECK(Refusal->RetryAfter > 1500ms);
  CHECK(Refusal->RetryAfter < 2500ms);
}

// Guards against refusals because of tasks that stand behind the job.
TEST_CASE("a job that can start in time is accepted before any number of late "
          "tasks") {
  auto Admission = startedFor(3s);
  CHECK_FALSE(Admission.check("p", {{1, {90, 100'000}}}, 1, Limits, at(13s)));
  CHECK(Admission.check("p", {{1, {120, 100'000}}}, 1, Limits, at(13s)));
}

TEST_CASE("a job is accepted ahead of a backlog of less urgent queues") {
  auto Admission = startedFor(3s);
  CHECK_FALSE(Admission.check("p", {{2, {8000, 0}}}, 1, Limits, at(13s)));
  CHECK(Admission.check("p", {{0, {8000, 0}}}, 1, Limits, at(13s)));
}

// Guards against refusals while the hosts that a peak needs are on their way.
TEST_CASE("a backlog that has just begun refuses nothing") {
  auto Admission = startedFor(1900ms);
  CHECK_FALSE(
      Admission.check("p", {{1, {100'000, 0}}}, 1, Limits, at(11'900ms)));
  Admission.recordBacklog("p", false, at(12s));
  Admission.recordBacklog("p", true, at(12'100ms));
  CHECK_FALSE(Admission.check("p", {{1, {100'000, 0}}}, 1, Limits, at(14s)));
  CHECK(Admission.check("p", {{1, {100'000, 0}}}, 1, Limits, at(14'200ms)));
}

// Guards against refusals because of a stall of commits, and against those of
// a new leader that has not started anything yet.
TEST_CASE("the rate of a pool is the highest one of the last seconds") {
  auto Admission = startedFor(3s);
  CHECK_FALSE(Admission.check("p", {{1, {490, 0}}}, 1, Limits, at(15s)));
  CHECK_FALSE(Admission.check("p", {{1, {100'000, 0}}}, 1, Limits, at(30s)));
  CHECK_FALSE(Admission.check("q", {{1, {100'000, 0}}}, 1, Limits, at(13s)));
}
