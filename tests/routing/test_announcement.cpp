#include "routing/entry_router.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::routing;

namespace {

std::string announcementWith(std::string_view Address,
                             std::string_view State = "ready",
                             std::string_view More = "") {
  return R"({"endpoint":"ep1","incarnation":3,"sequence":4,"service":"plots",)"
         R"("pool":"gate","host":"w01","zone":"kv-1","address":")" +
         std::string(Address) + R"(","slots":8,"connections":64,"state":")" +
         std::string(State) + R"(","in_flight":2)" + std::string(More) + "}";
}

core::outcome<announcement> parse(std::string_view Text) {
  return core::capture([&] { return parseAnnouncement(Text); });
}

std::string fieldAtFault(std::string_view Text) {
  auto Outcome = parse(Text);
  auto *Failure = std::get_if<1>(&Outcome);
  return Failure ? Failure->Field : "none";
}

} // namespace

TEST_CASE("every member of a valid announcement is parsed") {
  auto Parsed = std::get<0>(parse(announcementWith("10.0.0.1:80", "leaving")));
  CHECK(Parsed.Endpoint == "ep1");
  CHECK(Parsed.Incarnation == 3);
  CHECK(Parsed.Sequence == 4);
  CHECK(Parsed.Slots == 8);
  CHECK(Parsed.Leaving);
  CHECK(Parsed.InFlight == 2);
  CHECK(fieldAtFault(announcementWith("[::1]:8080")) == "none");
}

// An entry must not resolve names or connect to a port that does not exist.
TEST_CASE("an address that is not an IP address with a port is refused") {
  for (std::string_view Address :
       {"localhost:80", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536",
        "10.0.0.1:80x", "10.0.0.1:", ":80", "10.0.0:80", "::1:80", "[]:80",
        "10.0.0.1:+80", "10.0.0.1:80/x"}) {
    INFO(Address);
    CHECK(fieldAtFault(announcementWith(Address)) == "address");
  }
}

TEST_CASE("unknown members, states and oversized bodies are refused") {
  CHECK(fieldAtFault(announcementWith("10.0.0.1:80", "up")) == "state");
  CHECK(fieldAtFault(announcementWith("10.0.0.1:80", "ready", R"(,"x":1)")) ==
        "x");
  auto Large = parse(std::string(5000, ' '));
  CHECK(std::get<1>(Large).Code == core::error_code::TooLarge);
}
