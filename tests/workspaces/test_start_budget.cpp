#include "workspaces/start_budget.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle::workspaces;

namespace {

start_budget::account accountWith(std::uint64_t Used, std::uint32_t Limit) {
  return {{Used, 0, 0}, {Limit, 0, 0}};
}

} // namespace

// Guards against a round that starts several tasks which fit only one by one.
TEST_CASE("placements of a round count against the limit") {
  start_budget Budget([](std::string_view) { return accountWith(1000, 4000); });
  CHECK(Budget.allows("w", {3000, 0, 0}));
  Budget.add("w", {2000, 0, 0});
  CHECK(Budget.allows("w", {1000, 0, 0}));
  CHECK_FALSE(Budget.allows("w", {1001, 0, 0}));
  CHECK(Budget.allows("other", {3000, 0, 0}));
}

// Guards against a gang without a place that uses up the limit.
TEST_CASE("a placement that is taken back no longer counts") {
  start_budget Budget([](std::string_view) { return accountWith(0, 4000); });
  Budget.add("w", {4000, 0, 0});
  CHECK_FALSE(Budget.allows("w", {1, 0, 0}));
  Budget.remove("w", {4000, 0, 0});
  CHECK(Budget.allows("w", {4000, 0, 0}));
}

// Guards against a lookup for each of thousands of waiting tasks.
TEST_CASE("the account of a workspace is found once in a round") {
  int Calls = 0;
  start_budget Budget([&](std::string_view) {
    ++Calls;
    return accountWith(0, 4000);
  });
  for (int Index = 0; Index != 100; ++Index)
    Budget.allows("w", {1, 0, 0});
  CHECK(Calls == 1);
}

// Guards against limits on the jobs of queues that need no key.
TEST_CASE("jobs without a workspace have no limit") {
  start_budget Budget([](std::string_view) { return accountWith(1, 1); });
  Budget.add("", {1000, 0, 0});
  CHECK(Budget.allows("", {1000, 0, 0}));
  Budget.remove("", {1000, 0, 0});
}
