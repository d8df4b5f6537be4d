#include "routing/retry_budget.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::routing;
using namespace std::chrono_literals;

namespace {

core::time_point at(core::duration Time) { return core::time_point(Time); }

int countRetries(retry_budget &Budget, core::duration Time) {
  int Retries = 0;
  while (Retries < 1000 && Budget.tryRetry(at(Time)))
    ++Retries;
  return Retries;
}

} // namespace

// Unlimited retries multiply the load of a failing service.
TEST_CASE("retries are a share of recent requests above a floor") {
  retry_budget Budget(0.1);
  CHECK(countRetries(Budget, 1s) == 3);
  for (int Count = 0; Count < 100; ++Count)
    Budget.recordRequest(at(2s));
  CHECK(countRetries(Budget, 2s) == 10);
  CHECK(countRetries(Budget, 5s) == 0);
  CHECK(countRetries(Budget, 30s) == 3);
}
