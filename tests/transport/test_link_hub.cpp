#include "tests/transport/hub_fixture.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <optional>
#include <thread>

using namespace lycheetrestle::transport;
using namespace lycheetrestle::transport::test;

namespace {

using peer_changes = std::vector<std::pair<std::string, bool>>;

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
  REQUIRE(Left.Recorder.waitForUp("right"));
  REQUIRE(Right.Recorder.waitForUp("left"));
  auto Expected = numbered(2000);
  for (const auto &Message : Expected) {
    REQUIRE(Left.sendWithRetry("right", Message));
    REQUIRE(Right.sendWithRetry("left", Message));
  }
  REQUIRE(Left.Recorder.waitForMessages(Expected.size()));
  REQUIRE(Right.Recorder.waitForMessages(Expected.size()));
  CHECK(Left.Recorder.messages() == Expected);
  CHECK(Right.Recorder.messages() == Expected);
}

// Guards against two connections in use at once, which would reorder messages,
// and against each side closing the connection that the other one keeps.
TEST_CASE("peers that dial each other use one connection") {
  for (int Round = 0; Round < 20; ++Round) {
    auto LeftSettings = settingsOf("left");
    test_hub Right("right", {{"left", "127.0.0.1", LeftSettings.ListenPort}});
    LeftSettings.Peers = {Right.asPeer()};
    test_hub Left(LeftSettings);
    REQUIRE(Left.Recorder.waitForUp("right"));
    REQUIRE(Right.Recorder.waitForUp("left"));
    auto Expected = numbered(50);
    for (const auto &Message : Expected) {
      REQUIRE(Left.sendWithRetry("right", Message));
      REQUIRE(Right.sendWithRetry("left", Message));
    }
    REQUIRE(Left.Recorder.waitForMessages(Expected.size()));
    REQUIRE(Right.Recorder.waitForMessages(Expected.size()));
    CHECK(Left.Recorder.messages() == Expected);
    CHECK(Right.Recorder.messages() == Expected);
    CHECK(Left.Recorder.waitFor([&] {
      return Left.Recorder.PeerChanges == peer_changes{{"right", true}};
    }));
    CHECK(Right.Recorder.waitFor([&] {
      return Right.Recorder.PeerChanges == peer_changes{{"left", true}};
    }));
  }
}

// Guards against a hub that stops redialling a peer, or keeps the dead link.
TEST_CASE("a peer that restarts is reconnected") {
  std::optional<test_hub> Right(std::in_place, "right");
  auto RightSettings = Right->Settings;
  test_hub Left("left", {Right->asPeer()});
  for (int Round = 0; Round < 3; ++Round) {
    REQUIRE(Left.Recorder.waitForUp("right"));
    REQUIRE(Left.sendWithRetry("right", "hello"));
    REQUIRE(Right->Recorder.waitForMessages(1));
    Right.reset();
    REQUIRE(Left.Recorder.waitForDown("right"));
    CHECK(!Left.Hub.send("right", "lost"));
    Right.emplace(RightSettings);
  }
  REQUIRE(Left.Recorder.waitForUp("right"));
  REQUIRE(Left.sendWithRetry("right", "again"));
  REQUIRE(Right->Recorder.waitForMessages(1));
  CHECK(Right->Recorder.messages() == std::vector<std::string>{"again"});
}

// Guards against unbounded memory for a peer that does not read, and against a
// refused message that is sent nevertheless.
TEST_CASE("a full queue refuses and loses nothing") {
  auto Settings = settingsOf("left");
  Settings.MaxQueuedBytes = 100000;
  test_hub Left(Settings);
  test_hub Right("right", {Left.asPeer()});
  REQUIRE(Left.Recorder.waitForUp("right"));
  Right.Recorder.block();
  std::vector<std::string> Accepted;
  std::string Filler(20000, 'x');
  int Refusals = 0;
  for (int I = 0; Refusals < 100; ++I) {
    auto Message = std::to_string(I) + Filler;
    if (Left.Hub.send("right", Message))
      Accepted.push_back(Message);
    else
      ++Refusals;
    // The kernel's buffers hold several megabytes.
    REQUIRE(Accepted.size() < 10000);
  }
  Right.Recorder.unblock();
  REQUIRE(Left.sendWithRetry("right", "last"));
  Accepted.push_back("last");
  REQUIRE(Right.Recorder.waitForMessages(Accepted.size()));
  CHECK(Right.Recorder.messages() == Accepted);
}

// Guards against a stop that blocks on senders or open links, and against
// handlers that run after it.
TEST_CASE("a hub stops while it is busy") {
  for (int Round = 0; Round < 10; ++Round) {
    test_hub Left("left");
    test_hub Right("right", {Left.asPeer()});
    REQUIRE(Left.Recorder.waitForUp("right"));
    REQUIRE(Right.Recorder.waitForUp("left"));
    std::atomic<bool> Done = false;
    std::thread Sender([&] {
      while (!Done) {
        Left.Hub.send("right", std::string(1000, 'l'));
        Right.Hub.send("left", std::string(1000, 'r'));
      }
    });
    CHECK(Left.Recorder.waitForMessages(10));
    CHECK(Right.Recorder.waitForMessages(10));
    Left.Hub.stop();
    auto Count = Left.Recorder.messages().size();
    CHECK(!Left.Hub.send("right", "late"));
    CHECK(Right.Recorder.waitForDown("left"));
    Done = true;
    Sender.join();
    CHECK(Left.Recorder.messages().size() == Count);
  }
}

// Guards against a hub that ignores new addresses of peers, or keeps a link to
// a removed peer.
TEST_CASE("peers are added, moved and removed while the hub runs") {
  test_hub Left("left");
  test_hub First("right");
  CHECK(!Left.Hub.send("right", "no link"));
  Left.Hub.addPeer(First.asPeer());
  REQUIRE(Left.Recorder.waitForUp("right"));
  test_hub Second("right");
  Left.Hub.addPeer(Second.asPeer());
  REQUIRE(Second.Recorder.waitForUp("left"));
  REQUIRE(First.Recorder.waitForDown("left"));
  Left.Hub.removePeer("right");
  REQUIRE(Second.Recorder.waitForDown("left"));
  REQUIRE(Left.Recorder.waitForDown("right"));
  CHECK(!Left.Hub.send("right", "removed"));
}

// Guards against a process that runs without its listening socket.
TEST_CASE("a port in use is reported by start") {
  test_hub Left("left");
  recorder Recorder;
  link_hub Other(settingsOf("other", {}, Left.Settings.ListenPort),
                 Recorder.handlers());
  CHECK(Other.start().find("in use") != std::string::npos);
}
