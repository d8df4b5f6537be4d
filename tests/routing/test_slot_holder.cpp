#include "routing/service_owner.h"
#include "routing/slot_holder.h"

#include <catch2/catch.hpp>

#include <map>

using namespace lycheetrestle;
using namespace lycheetrestle::routing;
using namespace std::chrono_literals;

namespace {

core::time_point at(core::duration Time) { return core::time_point(Time); }

slot_request request(std::uint64_t Id) {
  slot_request Request;
  Request.RequestId = Id;
  Request.Service = "plots";
  return Request;
}

template <typename Type>
std::vector<std::string> receivers(const std::vector<slot_message> &Messages) {
  std::vector<std::string> Peers;
  for (const auto &Message : Messages)
    if (std::holds_alternative<Type>(Message.Message))
      Peers.push_back(Message.Peer);
  return Peers;
}

using names = std::vector<std::string>;

} // namespace

TEST_CASE("a new owner gets a report and the waiting requests") {
  slot_holder Holder(9);
  Holder.setOwner("plots", "e1", at(0s));
  Holder.request(request(1), at(2s), at(0s));
  Holder.request(request(2), at(2s), at(0s));
  CHECK(Holder.onGrant("e1", {1, "plots", "ep1", 50}));
  Holder.takeMessages();
  Holder.setOwner("plots", "e2", at(500ms));
  auto Messages = Holder.takeMessages();
  CHECK(receivers<slot_cancel>(Messages) == names{"e1"});
  CHECK(receivers<slot_request>(Messages) == names{"e2"});
  auto Report = std::get<slot_report>(Messages.at(0).Message);
  CHECK(Report.Incarnation == 9);
  REQUIRE(Report.Held.size() == 1);
  CHECK(Report.Held[0].Token == 50);
  CHECK(Report.Held[0].DeadlineMs == 1500);
  // Both brokers count the slot.
  Holder.release(1, 10, false);
  CHECK(receivers<slot_release>(Holder.takeMessages()) == names{"e2", "e1"});
}

// A slot that is granted to no waiting request would stay in use until its
// deadline.
TEST_CASE("a grant without a waiting request is released") {
  slot_holder Holder(9);
  Holder.setOwner("plots", "e1", at(0s));
  Holder.request(request(1), at(2s), at(0s));
  Holder.cancel(1);
  Holder.takeMessages();
  CHECK_FALSE(Holder.onGrant("e1", {1, "plots", "ep1", 50}));
  CHECK(receivers<slot_release>(Holder.takeMessages()) == names{"e1"});
  Holder.request(request(2), at(2s), at(0s));
  Holder.takeMessages();
  CHECK_FALSE(Holder.onGrant("e2", {2, "plots", "ep1", 51}));
  CHECK(receivers<slot_release>(Holder.takeMessages()) == names{"e2"});
  CHECK(Holder.onGrant("e1", {2, "plots", "ep1", 52}));
  // The same grant again is a repetition, not a second slot.
  CHECK_FALSE(Holder.onGrant("e1", {2, "plots", "ep1", 52}));
  CHECK(Holder.takeMessages().empty());
  CHECK_FALSE(Holder.onGrant("e1", {2, "plots", "ep1", 53}));
  CHECK(receivers<slot_release>(Holder.takeMessages()) == names{"e1"});
}

TEST_CASE("requests are resent, also to a new broker when theirs stops") {
  slot_holder Holder(9);
  Holder.request(request(1), at(2s), at(0s));
  CHECK(Holder.takeMessages().empty());
  Holder.setOwner("plots", "e1", at(10ms));
  CHECK(receivers<slot_request>(Holder.takeMessages()) == names{"e1"});
  Holder.tick(at(100ms));
  CHECK(Holder.takeMessages().empty());
  Holder.tick(at(510ms));
  CHECK(receivers<slot_request>(Holder.takeMessages()) == names{"e1"});
  CHECK_FALSE(Holder.onRefusal("e1", {1, "moved"}));
  Holder.setOwner("plots", "e2", at(520ms));
  CHECK(receivers<slot_request>(Holder.takeMessages()) == names{"e2"});
  CHECK_FALSE(Holder.onRefusal("e1", {1, "deadline"}));
  CHECK(Holder.onRefusal("e2", {1, "deadline"}));
  CHECK(Holder.waiting() == 0);
}

TEST_CASE("rendezvous hashing spreads services and moves only the lost ones") {
  std::set<std::string> Entries;
  for (int Index = 1; Index <= 12; ++Index)
    Entries.insert("entry-" + std::to_string(Index));
  auto Fewer = Entries;
  Fewer.erase("entry-7");
  std::map<std::string, int> Owned;
  for (int Index = 0; Index < 1200; ++Index) {
    auto Service = "service-" + std::to_string(Index);
    auto Owner = serviceOwner(Service, Entries);
    ++Owned[Owner];
    if (Owner != "entry-7")
      CHECK(serviceOwner(Service, Fewer) == Owner);
  }
  for (const auto &Entry : Entries)
    CHECK(Owned[Entry] > 60);
  CHECK(serviceOwner("plots", {}).empty());
}
