#include "tests/transport/hub_fixture.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle::transport;
using namespace lycheetrestle::transport::test;

namespace {

std::vector<std::string> numbered(int Count) {
  std::vector<std::string> Messages;
  for (int I = 0; I < Count; ++I)
    Messages.push_back("message " + std::to_string(I));
  return Messages;
}

} // namespace

// Guards against reordering, loss and duplication on a link that stays up.
TEST_CASE("messages arrive both ways, in order and once") {
  test_hub Left("left");
  test_hub Right("right", {Left.asPeer()});
  REQUIRE(Left.Seen.waitForUp("right"));
  REQUIRE(Right.Seen.waitForUp("left"));
  auto Expected = numbered(2000);
  for (const auto &Message : Expected) {
    REQUIRE(Left.sendSurely("right", Message));
    REQUIRE(Right.sendSurely("left", Message));
  }
  REQUIRE(Left.Seen.waitForMessages(Expected.size()));
  REQUIRE(Right.Seen.waitForMessages(Expected.size()));
  CHECK(Left.Seen.messages() == Expected);
  CHECK(Right.Seen.messages() == Expected);
}
