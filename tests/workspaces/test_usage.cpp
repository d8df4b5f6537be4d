#include "workspaces/usage.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle::workspaces;

// Guards against runs beyond a limit, and against a limit that is never used up
// entirely.
TEST_CASE("a limit allows what fits it exactly and nothing more") {
  resource_usage Use{3000, 100, 1};
  resource_limit Limit{4000, 200, 2};
  CHECK(Use.allows({1000, 100, 1}, Limit));
  CHECK_FALSE(Use.allows({1001, 100, 1}, Limit));
  CHECK_FALSE(Use.allows({1000, 101, 1}, Limit));
  CHECK_FALSE(Use.allows({1000, 100, 2}, Limit));
}

// Guards against 0 as a limit of nothing.
TEST_CASE("a limit of 0 is no limit") {
  resource_usage Use{4'000'000'000, 4'000'000'000, 4'000'000'000};
  CHECK(Use.allows({1, 1, 1}, {}));
  CHECK(resource_limit().isUnlimited());
  CHECK_FALSE(resource_limit{0, 0, 1}.isUnlimited());
}

// Guards against a workspace whose accelerators are all in use, or whose limit
// was lowered, and whose tasks without accelerators wait for them.
TEST_CASE("what asks for none of a resource does not wait for it") {
  resource_usage Use{1000, 100, 5};
  resource_limit Limit{4000, 0, 2};
  CHECK(Use.allows({1000, 100, 0}, Limit));
  CHECK_FALSE(Use.allows({1000, 100, 1}, Limit));
}

// Guards against sums of 32 bits: 10,000 hosts have more than 2^32 thousandths
// of a core or megabytes.
TEST_CASE("usage is added, removed and multiplied without overflow") {
  auto Use = resource_usage{64'000, 1'000'000, 8}.times(100'000);
  CHECK(Use == resource_usage{6'400'000'000, 100'000'000'000, 800'000});
  Use.add({1, 2, 3});
  Use.remove(resource_usage{64'000, 1'000'000, 8}.times(100'000));
  CHECK(Use == resource_usage{1, 2, 3});
  Use.remove({1, 2, 3});
  CHECK(Use.isZero());
}
