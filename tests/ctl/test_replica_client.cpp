#include "ctl/replica_client.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle::ctl;

// When the X-Leader header is not parsed, finding the leader takes a round over
// all replicas.
TEST_CASE("the leader's address is found in every form of the header") {
  CHECK(leaderAddress("control-2 10.0.0.2:7101") == "10.0.0.2:7101");
  CHECK(leaderAddress("name=control-2; address=10.0.0.2:7101") ==
        "10.0.0.2:7101");
  CHECK(leaderAddress("10.0.0.2:7101") == "10.0.0.2:7101");
}

TEST_CASE("a header without a valid address gives no leader") {
  CHECK(leaderAddress("") == "");
  CHECK(leaderAddress("control-2") == "");
  CHECK(leaderAddress("control-2 10.0.0.2:") == "");
  CHECK(leaderAddress("control-2 :7101") == "");
  CHECK(leaderAddress("control-2 10.0.0.2:71011234") == "");
  CHECK(leaderAddress("control-2 10.0.0.2:http") == "");
  CHECK(leaderAddress("control-2 other.example:7101") == "");
  CHECK(leaderAddress("control-2 u@10.0.0.2:7101") == "");
  CHECK(leaderAddress("control-2 0.0.0.0:7101") == "");
}
