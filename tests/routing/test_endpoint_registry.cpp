#include "routing/endpoint_registry.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::routing;
using namespace std::chrono_literals;

namespace {

core::time_point at(core::duration Time) { return core::time_point(Time); }

announcement makeAnnouncement(std::uint64_t Incarnation, std::uint64_t Sequence,
                              bool Leaving = false,
                              std::string Endpoint = "ep1") {
  announcement Announcement;
  Announcement.Endpoint = std::move(Endpoint);
  Announcement.Incarnation = Incarnation;
  Announcement.Sequence = Sequence;
  Announcement.Service = "plots";
  Announcement.Leaving = Leaving;
  return Announcement;
}

std::size_t usable(const endpoint_registry &Registry, core::duration Time) {
  std::size_t Count = 0;
  Registry.forEachUsable("plots", at(Time),
                         [&](const announcement &) { ++Count; });
  return Count;
}

} // namespace

TEST_CASE("a lease counts from the send time and expires after 3 s") {
  endpoint_registry Registry({});
  Registry.apply(makeAnnouncement(1, 1), at(10s), at(11s));
  CHECK(Registry.findUsable("ep1", at(13s)));
  CHECK_FALSE(Registry.findUsable("ep1", at(13001ms)));
  CHECK(usable(Registry, 13s) == 1);
  CHECK(usable(Registry, 14s) == 0);
}

// Announcements reach an entry over several paths and out of order.
TEST_CASE("only a higher incarnation and sequence changes an endpoint") {
  endpoint_registry Registry({});
  Registry.apply(makeAnnouncement(2, 5), at(0s), at(0s));
  CHECK(Registry.apply(makeAnnouncement(2, 4, true), at(1s), at(1s)) ==
        announcement_result::Outdated);
  CHECK(Registry.apply(makeAnnouncement(1, 9, true), at(1s), at(1s)) ==
        announcement_result::Outdated);
  CHECK(Registry.findUsable("ep1", at(1s)));
  CHECK(Registry.apply(makeAnnouncement(3, 1), at(2s), at(2s)) ==
        announcement_result::Accepted);
}

TEST_CASE(
    "leaving takes effect at once and older announcements do not undo it") {
  endpoint_registry Registry({});
  Registry.apply(makeAnnouncement(1, 1), at(0s), at(0s));
  Registry.apply(makeAnnouncement(1, 3, true), at(100ms), at(100ms));
  CHECK_FALSE(Registry.findUsable("ep1", at(100ms)));
  Registry.apply(makeAnnouncement(1, 2), at(200ms), at(200ms));
  Registry.apply(makeAnnouncement(1, 3), at(200ms), at(200ms));
  CHECK_FALSE(Registry.findUsable("ep1", at(200ms)));
}

// A delayed batch must not revive an endpoint that has stopped.
TEST_CASE("records outlive their lease") {
  endpoint_registry Registry({});
  Registry.apply(makeAnnouncement(1, 5, true), at(0s), at(0s));
  Registry.expire(at(30s));
  CHECK(Registry.apply(makeAnnouncement(1, 4), at(30s), at(30s)) ==
        announcement_result::Outdated);
  Registry.expire(at(64s));
  CHECK(Registry.size() == 0);
}

TEST_CASE("the registry is bounded") {
  registry_settings Settings;
  Settings.MaxEndpoints = 2;
  endpoint_registry Registry(Settings);
  Registry.apply(makeAnnouncement(1, 1, false, "a"), at(0s), at(0s));
  Registry.apply(makeAnnouncement(1, 1, false, "b"), at(60s), at(60s));
  CHECK(Registry.apply(makeAnnouncement(1, 1, false, "c"), at(60s), at(60s)) ==
        announcement_result::Full);
  CHECK(Registry.apply(makeAnnouncement(1, 2, false, "b"), at(61s), at(61s)) ==
        announcement_result::Accepted);
  // The record of the first is old enough to be removed.
  CHECK(Registry.apply(makeAnnouncement(1, 1, false, "c"), at(64s), at(64s)) ==
        announcement_result::Accepted);
}

TEST_CASE("gossip contains the announcements received here, with their ages") {
  endpoint_registry Registry({});
  Registry.apply(makeAnnouncement(1, 1, false, "a"), at(0s), at(0s));
  Registry.apply(makeAnnouncement(1, 1, true, "b"), at(1s), at(1s));
  Registry.addGossip(makeAnnouncement(1, 1, false, "a"));
  CHECK_FALSE(Registry.hasUrgentGossip());
  Registry.addGossip(makeAnnouncement(1, 1, true, "b"));
  CHECK(Registry.hasUrgentGossip());
  auto List = Registry.takeGossip(at(1050ms));
  REQUIRE(List.size() == 2);
  CHECK(List[0].AgeMs == 1050);
  CHECK(List[1].Leaving);
  CHECK(Registry.takeGossip(at(2s)).empty());
}
