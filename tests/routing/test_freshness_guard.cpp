#include "routing/freshness_guard.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::routing;
using namespace std::chrono_literals;

namespace {

core::time_point at(core::duration Time) { return core::time_point(Time); }

const std::vector<std::string> FiveEntries = {"e1", "e2", "e3", "e4", "e5"};

freshness_guard makeGuard(const std::vector<std::string> &Entries = FiveEntries,
                          core::duration Start = 0s) {
  return {"e1", Entries, 3s, at(Start)};
}

} // namespace

// A process that was frozen must not treat a buffered reply as a new
// confirmation.
TEST_CASE("the age of a confirmation counts from the send time of the probe") {
  auto Guard = makeGuard();
  CHECK_FALSE(Guard.isFresh(at(0s)));
  auto Nonce = Guard.startProbe("control-1", at(10s));
  Guard.confirmByControl("control-1", Nonce);
  CHECK(Guard.isFresh(at(13s)));
  CHECK_FALSE(Guard.isFresh(at(13001ms)));
  CHECK(Guard.confirmationAgeMs(at(12s)) == 2000);
}

TEST_CASE("a reply to a probe that was not sent confirms nothing") {
  auto Guard = makeGuard();
  auto Nonce = Guard.startProbe("control-1", at(10s));
  Guard.confirmByControl("control-1", Nonce + 1);
  Guard.confirmByControl("control-2", Nonce);
  Guard.confirmByPeer("e2", Nonce, 0, true);
  CHECK_FALSE(Guard.isFresh(at(10s)));
}

TEST_CASE("the age of a relayed confirmation is added to that of the probe") {
  auto Guard = makeGuard();
  auto Nonce = Guard.startProbe("e2", at(10s));
  Guard.confirmByPeer("e2", Nonce, 2000, false);
  CHECK(Guard.isFresh(at(11s)));
  CHECK_FALSE(Guard.isFresh(at(11001ms)));
  CHECK(Guard.confirmationAgeMs(at(11s)) == 3000);
}

TEST_CASE("a majority of anchored entries keeps an anchored entry fresh") {
  auto Guard = makeGuard();
  auto Confirm = Guard.startProbe("control-1", at(1s));
  Guard.confirmByControl("control-1", Confirm);
  auto AnswerProbe = [&](const char *Peer, bool Anchored) {
    Guard.confirmByPeer(Peer, Guard.startProbe(Peer, at(20s)), -1, Anchored);
  };
  AnswerProbe("e2", true);
  CHECK_FALSE(Guard.isFresh(at(20s)));
  AnswerProbe("e3", false);
  CHECK_FALSE(Guard.isFresh(at(20s)));
  AnswerProbe("stranger", true);
  CHECK_FALSE(Guard.isFresh(at(20s)));
  AnswerProbe("e3", true);
  CHECK(Guard.isFresh(at(23s)));
  CHECK_FALSE(Guard.isFresh(at(23001ms)));
  // The peer restarted and may have lost the version.
  AnswerProbe("e3", false);
  CHECK_FALSE(Guard.isFresh(at(20s)));
}

TEST_CASE("half of an even number of entries is no majority") {
  auto Guard = makeGuard({"e1", "e2", "e3", "e4"});
  Guard.confirmByControl("c", Guard.startProbe("c", at(0s)));
  Guard.confirmByPeer("e2", Guard.startProbe("e2", at(9s)), -1, true);
  CHECK_FALSE(Guard.isFresh(at(9s)));
}

// An entry that restarted may have confirmed a newer version before and lost
// it.
TEST_CASE("an entry without a confirmation since its start has no majority") {
  auto Guard = makeGuard(FiveEntries, 100s);
  for (const char *Peer : {"e2", "e3", "e4", "e5"})
    Guard.confirmByPeer(Peer, Guard.startProbe(Peer, at(101s)), 2000, true);
  CHECK_FALSE(Guard.isAnchored());
  CHECK(Guard.isFresh(at(102s)));
  CHECK_FALSE(Guard.isFresh(at(102001ms)));
  Guard.confirmByPeer("e2", Guard.startProbe("e2", at(102s)), 1000, true);
  CHECK(Guard.isAnchored());
  CHECK(Guard.isFresh(at(104s)));
}

TEST_CASE("only the newest 64 probes of a peer are kept") {
  auto Guard = makeGuard();
  auto First = Guard.startProbe("e2", at(0s));
  for (int Count = 0; Count < 64; ++Count)
    Guard.startProbe("e2", at(1s));
  CHECK_FALSE(Guard.sentAt("e2", First));
}
