#include "control/entry_tracker.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using control::entry_tracker;
using std::chrono::milliseconds;

namespace {

const core::time_point Start{std::chrono::hours(1)};

routing::entry_report reportOf(std::uint64_t Number) {
  routing::entry_report Report;
  Report.DeclarationNumber = Number;
  Report.Serving = true;
  return Report;
}

entry_tracker threeEntries() {
  entry_tracker Tracker({"e1", "e2", "e3"});
  Tracker.reset(Start);
  return Tracker;
}

} // namespace

// Guards against reporting a declaration as in force while a silent entry may
// still serve an earlier one.
TEST_CASE("a silent entry delays in-force until the silence bound has passed") {
  auto Tracker = threeEntries();
  auto Changed = Start + std::chrono::seconds(60);
  Tracker.update(7, Changed, 1000);
  Tracker.recordReport("e1", reportOf(7), Changed);
  Tracker.recordReport("e2", reportOf(7), Changed);
  Tracker.update(7, Changed + milliseconds(3499), 1001);
  CHECK(Tracker.inForce().Number == 0);
  CHECK(Tracker.inForce().Waiting == std::vector<std::string>{"e3"});
  Tracker.update(7, Changed + milliseconds(3501), 1002);
  CHECK(Tracker.inForce().Number == 7);
  CHECK(Tracker.inForce().SinceMs == 1002);
  CHECK(Tracker.inForce().Waiting.empty());
}

// Guards against treating an entry as silent when only its reports are lost:
// each confirmed probe allows it to serve for another 3 s.
TEST_CASE("the silence of an entry counts from its last confirmed probe") {
  auto Tracker = threeEntries();
  Tracker.update(7, Start, 1000);
  Tracker.recordReport("e1", reportOf(7), Start);
  Tracker.recordReport("e2", reportOf(7), Start);
  Tracker.recordConfirmedProbe("e3", Start + milliseconds(2000));
  Tracker.update(7, Start + milliseconds(4000), 1001);
  CHECK(Tracker.inForce().Waiting == std::vector<std::string>{"e3"});
  Tracker.update(7, Start + milliseconds(5501), 1002);
  CHECK(Tracker.inForce().Number == 7);
}

// Guards against an entry that control cannot reach but that is connected to a
// majority of the entries: until these have the new declaration, each message
// from them allows it to serve the earlier one for the freshness bound.
TEST_CASE("the silence of an entry counts from the majority's confirmation") {
  auto Tracker = threeEntries();
  Tracker.update(7, Start, 1000);
  Tracker.recordReport("e1", reportOf(7), Start);
  Tracker.recordReport("e2", reportOf(6), Start + milliseconds(100));
  Tracker.recordReport("e2", reportOf(7), Start + milliseconds(3400));
  Tracker.update(7, Start + milliseconds(6900), 1001);
  CHECK(Tracker.inForce().Number == 0);
  CHECK(Tracker.inForce().Waiting == std::vector<std::string>{"e3"});
  Tracker.update(7, Start + milliseconds(6901), 1002);
  CHECK(Tracker.inForce().Number == 7);
}

TEST_CASE("in-force needs a majority of the entries, however long the others "
          "are silent") {
  auto Tracker = threeEntries();
  Tracker.update(7, Start, 1000);
  Tracker.recordReport("e1", reportOf(7), Start);
  Tracker.recordReport("e2", reportOf(6), Start);
  Tracker.update(7, Start + std::chrono::hours(1), 1001);
  CHECK(Tracker.inForce().Number == 0);
  CHECK(Tracker.inForce().Waiting == std::vector<std::string>{"e2", "e3"});
}

TEST_CASE("in-force is immediate when all entries have reported") {
  auto Tracker = threeEntries();
  Tracker.update(7, Start, 1000);
  for (const char *Name : {"e1", "e2", "e3"})
    Tracker.recordReport(Name, reportOf(7), Start);
  Tracker.update(7, Start, 1001);
  CHECK(Tracker.inForce().Number == 7);
  Tracker.update(8, Start + milliseconds(1), 1002);
  CHECK(Tracker.inForce().Number == 7);
  CHECK(Tracker.inForce().Waiting.size() == 3);
}

TEST_CASE("a majority is fresh only within the bound") {
  auto Tracker = threeEntries();
  CHECK_FALSE(Tracker.hasFreshMajority(Start));
  Tracker.recordReport("e1", reportOf(1), Start);
  CHECK_FALSE(Tracker.hasFreshMajority(Start));
  Tracker.recordReport("e2", reportOf(1), Start);
  CHECK(Tracker.hasFreshMajority(Start + milliseconds(3000)));
  CHECK_FALSE(Tracker.hasFreshMajority(Start + milliseconds(3001)));
  Tracker.reset(Start);
  CHECK_FALSE(Tracker.hasFreshMajority(Start));
}

TEST_CASE("reports of unknown entries are ignored") {
  auto Tracker = threeEntries();
  Tracker.recordReport("e9", reportOf(1), Start);
  CHECK(Tracker.entries().size() == 3);
}
