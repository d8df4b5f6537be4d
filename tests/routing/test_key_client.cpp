#include "core/invariant.h"
#include "routing/key_client.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace lycheetrestle;
using namespace lycheetrestle::routing;
using namespace std::chrono_literals;

namespace {

core::time_point at(core::duration Time) { return core::time_point(Time); }

struct key_fixture {
  std::uint64_t Last = 100;
  key_client Keys{[this] { return ++Last; }, 10};

  template <typename Type> Type sent() {
    auto Messages = Keys.takeMessages();
    REQUIRE(Messages.size() == 1);
    return std::get<Type>(Messages[0]);
  }
  key_reserve reserve(std::uint64_t Request) {
    Keys.setLeader("control-1", at(0s));
    Keys.reserve(Request, {0, "plots/k", 5, "e1#1/1"}, at(0s));
    return sent<key_reserve>();
  }
  std::optional<key_decision> reply(std::uint64_t Id, key_outcome Outcome,
                                    std::string Reason = "") {
    return Keys.onReply({Id, Outcome, std::move(Reason), 200, "", "", false},
                        at(1s));
  }
};

} // namespace

TEST_CASE_METHOD(key_fixture, "a reservation is resent with the same holder") {
  auto First = reserve(1);
  Keys.tick(at(400ms));
  CHECK(Keys.takeMessages().empty());
  Keys.tick(at(500ms));
  CHECK(sent<key_reserve>().Holder == First.Holder);
  Keys.setLeader("control-2", at(600ms));
  auto Again = sent<key_reserve>();
  CHECK(Again.Holder == First.Holder);
  CHECK(Again.RequestId == First.RequestId);
  CHECK_FALSE(reply(First.RequestId, key_outcome::Refused, "not-leader"));
  auto Decision = reply(First.RequestId, key_outcome::Granted);
  REQUIRE(Decision);
  CHECK(Decision->Request == 1);
  CHECK_FALSE(reply(First.RequestId, key_outcome::Granted));
  Keys.tick(at(5s));
  CHECK(Keys.takeMessages().empty());
}

// A late grant leaves the key reserved, which blocks every retry of the caller.
TEST_CASE_METHOD(key_fixture, "a grant that arrives too late is abandoned") {
  auto Reserve = reserve(1);
  Keys.abandon(1, at(1s));
  auto Abandon = sent<key_abandon>();
  CHECK(Abandon.Holder == Reserve.Holder);
  CHECK_FALSE(reply(Reserve.RequestId, key_outcome::Granted));
  CHECK_FALSE(Keys.isIdle());
  // The grant proves that the key is reserved, so the abandon is resent beyond
  // 10 s.
  Keys.tick(at(30s));
  CHECK(sent<key_abandon>().Holder == Reserve.Holder);
  reply(Abandon.RequestId, key_outcome::Refused, "unavailable");
  CHECK_FALSE(Keys.isIdle());
  reply(Abandon.RequestId, key_outcome::Granted);
  CHECK(Keys.isIdle());
  CHECK(Keys.size() == 0);
  // A resent reservation was recorded after the abandon.
  reply(Reserve.RequestId, key_outcome::Granted);
  CHECK(sent<key_abandon>().Holder == Reserve.Holder);
}

TEST_CASE_METHOD(key_fixture, "an unconfirmed abandon ends after 10 s") {
  reserve(1);
  Keys.abandon(1, at(1s));
  Keys.tick(at(10900ms));
  CHECK_FALSE(Keys.isIdle());
  Keys.tick(at(11s));
  CHECK(Keys.isIdle());
}

TEST_CASE_METHOD(key_fixture, "a key held by another holder is polled") {
  auto Reserve = reserve(1);
  CHECK_FALSE(reply(Reserve.RequestId, key_outcome::Held));
  CHECK(Keys.isHeldByOther(1));
  Keys.tick(at(250ms));
  CHECK(sent<key_reserve>().RequestId == Reserve.RequestId);
  auto Decision = reply(Reserve.RequestId, key_outcome::Stored);
  REQUIRE(Decision);
  CHECK(Keys.size() == 0);
}

TEST_CASE_METHOD(key_fixture,
                 "a response is resent until control confirms it") {
  auto Reserve = reserve(1);
  reply(Reserve.RequestId, key_outcome::Granted);
  Keys.markDispatched(1);
  Keys.complete(1, {0, "", "", 200, "text/plain", "body", false}, at(1s));
  auto Complete = sent<key_complete>();
  CHECK(Complete.Key == "plots/k");
  CHECK(Complete.Body == "body");
  // A late reply to the reservation does not confirm the completion.
  reply(Reserve.RequestId, key_outcome::Granted);
  CHECK_FALSE(Keys.isIdle());
  Keys.tick(at(1500ms));
  CHECK(sent<key_complete>().RequestId == Complete.RequestId);
  reply(Complete.RequestId, key_outcome::Granted);
  CHECK(Keys.isIdle());
}

// An abandoned key could be reserved by a second holder, which would run a
// request that may already have run.
TEST_CASE_METHOD(key_fixture, "a dispatched request is never abandoned") {
  auto Before = core::setInvariantHandler([](std::string_view Invariant) {
    throw std::logic_error(std::string(Invariant));
  });
  auto Reserve = reserve(1);
  CHECK_THROWS_AS(Keys.markDispatched(1), std::logic_error);
  reply(Reserve.RequestId, key_outcome::Granted);
  Keys.markDispatched(1);
  CHECK_THROWS_AS(Keys.abandon(1, at(1s)), std::logic_error);
  Keys.markNotRun(1);
  Keys.abandon(1, at(1s));
  CHECK(sent<key_abandon>().Key == "plots/k");
  core::setInvariantHandler(Before);
}

TEST_CASE_METHOD(key_fixture, "a final refusal ends the reservation") {
  auto Reserve = reserve(1);
  CHECK(reply(Reserve.RequestId, key_outcome::Refused, "full"));
  CHECK(Keys.size() == 0);
  auto Repeated = reserve(2);
  Keys.tick(at(500ms));
  Keys.takeMessages();
  CHECK(reply(Repeated.RequestId, key_outcome::Refused, "full"));
  // The other copy may still be recorded.
  CHECK(sent<key_abandon>().Holder == Repeated.Holder);
}

TEST_CASE_METHOD(key_fixture, "the number of keys in use is bounded") {
  for (std::uint64_t Request = 1; Request <= 10; ++Request)
    CHECK(Keys.reserve(Request, {}, at(0s)));
  CHECK_FALSE(Keys.reserve(11, {}, at(0s)));
}
