#include "workspaces/rate_meter.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::workspaces;
using std::chrono::milliseconds;

namespace {

core::time_point at(int Ms) { return core::time_point(milliseconds(Ms)); }

/// Submits at a constant rate for 6 s.
/// \returns how many jobs were within the rate.
int countWithin(rate_meter &Meter, std::uint32_t RatePerS, int JobsPerS,
                int BeginMs = 0) {
  int Within = 0;
  for (int Job = 0; Job != 6 * JobsPerS; ++Job)
    Within += Meter.take("w", RatePerS, at(BeginMs + Job * 1000 / JobsPerS));
  return Within;
}

} // namespace

// Guards against jobs that rank last although their workspace keeps to its
// rate.
TEST_CASE("a workspace within its rate is never over it") {
  rate_meter Meter;
  CHECK(countWithin(Meter, 10, 10) == 60);
}

// Guards against arrivals of one second that come together by chance.
TEST_CASE("the jobs of one second and four standard deviations of their number "
          "may come at once") {
  rate_meter Meter;
  int Within = 0;
  for (int Job = 0; Job != 40; ++Job)
    Within += Meter.take("w", 16, at(0));
  CHECK(Within == 16 + 4 * 4);
}

// Guards against a burst that is served in place of the work of others.
TEST_CASE("at ten times its rate a workspace has its rate within it") {
  rate_meter Meter;
  auto Within = countWithin(Meter, 10, 100);
  CHECK(Within >= 60);
  CHECK(Within <= 60 + 10 + 4 * 4);
}

// Guards against jobs at a rate of 0, for which a bucket would never fill.
TEST_CASE("a rate of 0 has no job within it") {
  rate_meter Meter;
  CHECK(countWithin(Meter, 0, 10) == 0);
  CHECK(Meter.untilToken("w", 0, at(6000)) == milliseconds(1000));
}

// Guards against callers that return too early, or that are told to wait for
// longer than it takes.
TEST_CASE("the time until a token is the time until a job is within the rate") {
  rate_meter Meter;
  CHECK(Meter.untilToken("w", 4, at(0)) == core::duration());
  for (int Job = 0; Job != 4 + 4 * 2; ++Job)
    CHECK(Meter.take("w", 4, at(0)));
  CHECK(Meter.untilToken("w", 4, at(0)) == milliseconds(250));
  CHECK_FALSE(Meter.take("w", 4, at(249)));
  CHECK(Meter.take("w", 4, at(250)));
}

// Guards against tokens from a clock that goes backwards.
TEST_CASE("an earlier time gives no tokens") {
  rate_meter Meter;
  for (int Job = 0; Job != 1 + 4; ++Job)
    CHECK(Meter.take("w", 1, at(5000)));
  CHECK_FALSE(Meter.take("w", 1, at(1000)));
}

// Guards against memory for each name that ever submitted a job, and against a
// workspace that regains a full bucket by being forgotten too early.
TEST_CASE("a workspace is forgotten once its bucket is full again") {
  rate_meter Meter;
  for (int Job = 0; Job != 4; ++Job)
    Meter.take("w", 4, at(0));
  Meter.prune(at(4999));
  CHECK(Meter.size() == 1);
  Meter.prune(at(5000));
  CHECK(Meter.size() == 0);
}

// Guards against a lowered rate that takes effect only after the bucket of the
// earlier rate is empty.
TEST_CASE("a lowered rate is in force at once") {
  rate_meter Meter;
  CHECK(Meter.take("w", 100, at(0)));
  for (int Job = 0; Job != 1 + 4; ++Job)
    CHECK(Meter.take("w", 1, at(1)));
  CHECK_FALSE(Meter.take("w", 1, at(2)));
}
