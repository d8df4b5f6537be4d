#include "tests/reconciler/fleet_run.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::testing;

namespace {

std::uint32_t hostsOf(const fleet_run &Run, std::string_view Pool) {
  return std::uint32_t(std::count_if(
      Run.State.hosts().begin(), Run.State.hosts().end(),
      [&](const auto &Entry) { return Entry.second.Pool == Pool; }));
}

} // namespace

TEST_CASE("sustained demand borrows from the spare pool, which keeps its "
          "minimum and gets its hosts back") {
  fleet_run Run(threeZones(), 21);
  Run.setBusySlots("gate-service", 92);
  for (int Round = 0; Round < 1000 && Run.Violation.empty(); ++Round)
    Run.round();
  INFO(Run.dump());
  CHECK(hostsOf(Run, "gate") > 10);
  auto MovesAtPeak = Run.Moves;
  for (const auto &Pool : Run.State.pools())
    CHECK(Pool.Available >= Pool.Minimum);
  // Borrowed hosts are not moved home for being outside their declared pool.
  for (int Round = 0; Round < 200 && Run.Violation.empty(); ++Round)
    Run.round();
  CHECK(Run.Moves == MovesAtPeak);
  Run.setBusySlots("gate-service", 2);
  for (int Round = 0; Round < 10000 && Run.Violation.empty(); ++Round)
    Run.round();
  CHECK(Run.Violation == "");
  CHECK(hostsOf(Run, "gate") == 10);
  CHECK(hostsOf(Run, "records") == 10);
  CHECK(Run.Moves == 2 * MovesAtPeak);
}

TEST_CASE("a peak of one second moves no host") {
  fleet_run Run(fourZones(), 22);
  for (int Round = 0; Round < 1200 && Run.Violation.empty(); ++Round) {
    Run.setBusySlots("bookings-service", Round < 10 ? 300 : 40);
    Run.round();
  }
  CHECK(Run.Violation == "");
  CHECK(Run.Moves == 0);
}
