#include "core/invariant.h"
#include "routing/slot_broker.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include <set>

using namespace lycheetrestle;
using namespace lycheetrestle::routing;
using namespace std::chrono_literals;
using trompeloeil::_;

namespace {

core::time_point at(core::duration Time) { return core::time_point(Time); }

class endpoint_source_mock : public endpoint_source {
public:
  MAKE_CONST_MOCK2(eligible,
                   std::vector<endpoint_slots>(std::string_view,
                                               core::time_point),
                   override);
};

slot_request request(std::uint64_t Id, std::uint32_t DeadlineMs = 2000,
                     std::vector<std::string> Avoid = {}) {
  return {
      Id, 1, "plots", fleet::work_class::Normal, DeadlineMs, std::move(Avoid)};
}

std::vector<slot_grant> grants(slot_broker &Broker) {
  std::vector<slot_grant> List;
  for (auto &Reply : Broker.takeReplies())
    if (auto *Grant = std::get_if<slot_grant>(&Reply.Message))
      List.push_back(*Grant);
  return List;
}

struct broker_fixture {
  std::vector<endpoint_slots> Endpoints = {{"ep1", 2}, {"ep2", 2}};
  endpoint_source_mock Source;
  std::unique_ptr<trompeloeil::expectation> Expected =
      NAMED_ALLOW_CALL(Source, eligible("plots", _)).RETURN(Endpoints);
  slot_broker Broker{"plots", {}, Source};
};

} // namespace

TEST_CASE_METHOD(broker_fixture, "slots are spread and never exceeded") {
  for (std::uint64_t Id = 1; Id <= 6; ++Id)
    Broker.request(Id % 2 ? "e1" : "e2", request(Id), at(0s));
  auto Granted = grants(Broker);
  REQUIRE(Granted.size() == 4);
  CHECK(Granted[0].Endpoint != Granted[1].Endpoint);
  CHECK(Broker.waiting() == 2);
  Broker.release({"plots", Granted[0].Endpoint, Granted[0].Token, 10, false},
                 at(1ms));
  // A repeated release must not free a second slot.
  Broker.release({"plots", Granted[0].Endpoint, Granted[0].Token, 10, false},
                 at(1ms));
  auto Next = grants(Broker);
  REQUIRE(Next.size() == 1);
  CHECK(Next[0].Endpoint == Granted[0].Endpoint);
  CHECK(Next[0].RequestId == 5);
  CHECK(Broker.busySlots() == 4);
}

TEST_CASE_METHOD(broker_fixture, "a repeated request gets the same grant") {
  Broker.request("e1", request(1), at(0s));
  auto First = grants(Broker);
  Broker.request("e1", request(1), at(500ms));
  auto Second = grants(Broker);
  REQUIRE(Second.size() == 1);
  CHECK(Second[0].Token == First[0].Token);
  CHECK(Broker.busySlots() == 1);
}

// A process that stopped may still have requests executing at the endpoint.
TEST_CASE_METHOD(broker_fixture,
                 "slots of a lost entry return after its deadlines") {
  Endpoints = {{"ep1", 1}};
  Broker.request("e1", request(1, 2000), at(0s));
  Broker.request("e2", request(2, 10000), at(0s));
  Broker.onHolderDown("e1");
  Broker.update(at(2400ms));
  CHECK(grants(Broker).size() == 1);
  // The entry restarts with a new incarnation.
  Broker.report("e1", {"plots", 2, {}}, at(2400ms));
  CHECK(Broker.busySlots() == 1);
  CHECK(Broker.waiting() == 1);
  Broker.update(at(2500ms));
  auto Next = grants(Broker);
  REQUIRE(Next.size() == 1);
  CHECK(Next[0].RequestId == 2);
}

TEST_CASE_METHOD(broker_fixture,
                 "a report frees a grant that was lost with the link") {
  Broker.request("e1", request(1), at(0s));
  Broker.request("e1", request(2), at(0s));
  auto Granted = grants(Broker);
  REQUIRE(Granted.size() == 2);
  Broker.onHolderDown("e1");
  Broker.report("e1", {"plots", 1, {{"ep1", Granted[0].Token, 1000}}},
                at(100ms));
  CHECK(Broker.busySlots() == 1);
  // A grant sent while a report was in transit is not in it and stays.
  Broker.request("e1", request(3), at(100ms));
  Broker.report("e1", {"plots", 1, {{"ep1", Granted[0].Token, 1000}}},
                at(101ms));
  CHECK(Broker.busySlots() == 2);
}

TEST_CASE_METHOD(broker_fixture, "a new broker waits for reports") {
  Broker.rebuild({"e1", "e2", "e3"}, at(0s));
  Broker.request("e1", request(1), at(0s));
  Broker.report("e1", {"plots", 1, {{"ep1", 77, 1000}, {"ep1", 78, 1000}}},
                at(10ms));
  Broker.report("e2", {"plots", 1, {}}, at(20ms));
  CHECK(grants(Broker).empty());
  SECTION("until all have arrived") {
    Broker.report("e3", {"plots", 1, {}}, at(30ms));
    auto Granted = grants(Broker);
    REQUIRE(Granted.size() == 1);
    CHECK(Granted[0].Endpoint == "ep2");
  }
  SECTION("until the missing entry is down") {
    Broker.onHolderDown("e3");
    Broker.update(at(30ms));
    CHECK(grants(Broker).size() == 1);
  }
  SECTION("for 300 ms at most") {
    Broker.update(at(299ms));
    CHECK(grants(Broker).empty());
    Broker.update(at(300ms));
    CHECK(grants(Broker).size() == 1);
  }
}

TEST_CASE_METHOD(broker_fixture, "endpoints that just failed are avoided") {
  Broker.request("e1", request(1), at(0s));
  auto Failed = grants(Broker).at(0);
  Broker.release({"plots", Failed.Endpoint, Failed.Token, 0, true}, at(1ms));
  for (std::uint64_t Id = 2; Id <= 3; ++Id) {
    Broker.request("e1", request(Id), at(2ms));
    CHECK(grants(Broker).at(0).Endpoint != Failed.Endpoint);
  }
  // It is used when no other has a free slot.
  Broker.request("e1", request(4), at(3ms));
  CHECK(grants(Broker).at(0).Endpoint == Failed.Endpoint);
}

TEST_CASE_METHOD(broker_fixture,
                 "a retry waits for another endpoint when there is one") {
  Endpoints = {{"ep1", 2}, {"ep2", 1}};
  Broker.request("e1", request(1, 2000, {"ep1"}), at(0s));
  auto Other = grants(Broker).at(0);
  CHECK(Other.Endpoint == "ep2");
  Broker.request("e1", request(2, 2000, {"ep1"}), at(0s));
  CHECK(grants(Broker).empty());
  Broker.request("e1", request(3), at(0s));
  CHECK(grants(Broker).at(0).Endpoint == "ep1");
  Endpoints = {{"ep1", 2}};
  Broker.update(at(1ms));
  CHECK(grants(Broker).at(0).RequestId == 2);
}

// A request that cannot meet its deadline keeps the endpoint busy after its
// slot has returned.
TEST_CASE_METHOD(broker_fixture,
                 "a slot goes to a request that can still be served") {
  Endpoints = {{"ep1", 1}};
  Broker.request("e1", request(1), at(0s));
  auto First = grants(Broker).at(0);
  Broker.request("e1", request(2, 250), at(0s));
  Broker.request("e1", request(3), at(0s));
  Broker.release({"plots", "ep1", First.Token, 100, false}, at(200ms));
  auto Replies = Broker.takeReplies();
  REQUIRE(Replies.size() == 2);
  CHECK(std::get<slot_refusal>(Replies[0].Message).Reason ==
        "deadline-unreachable");
  CHECK(std::get<slot_grant>(Replies[1].Message).RequestId == 3);
  // Without others that wait, the slot would stay unused.
  Broker.request("e1", request(4, 250), at(200ms));
  Broker.release({"plots", "ep1",
                  std::get<slot_grant>(Replies[1].Message).Token, 100, false},
                 at(400ms));
  CHECK(grants(Broker).size() == 1);
}

TEST_CASE_METHOD(broker_fixture, "requests that stop waiting are answered") {
  Endpoints = {};
  Broker.request("e1", request(1, 100), at(0s));
  Broker.request("e1", request(2, 1000), at(0s));
  Broker.request("e1", request(3, 1000), at(0s));
  CHECK(Broker.cancel("e1", 2));
  Broker.update(at(100ms));
  auto Replies = Broker.takeReplies();
  REQUIRE(Replies.size() == 1);
  CHECK(std::get<slot_refusal>(Replies[0].Message).Reason == "deadline");
  Broker.handOver();
  Replies = Broker.takeReplies();
  REQUIRE(Replies.size() == 1);
  CHECK(std::get<slot_refusal>(Replies[0].Message).RequestId == 3);
  CHECK(std::get<slot_refusal>(Replies[0].Message).Reason == "moved");
  CHECK(Broker.isIdle());
}
