#include "tests/transport/hub_fixture.h"
#include "tests/transport/raw_client.h"
#include "transport/hello.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle::transport;
using namespace lycheetrestle::transport::test;

// Guards against memory exhaustion by an oversized message and against a link
// that stays up after its stream is broken.
TEST_CASE("an oversized message closes the link, which is then reconnected") {
  auto Settings = settingsOf("right");
  Settings.MaxMessageBytes = 1000;
  test_hub Right(Settings);
  test_hub Left("left", {Right.asPeer()});
  REQUIRE(Left.Recorder.waitForUp("right"));
  REQUIRE(Left.sendWithRetry("right", std::string(1001, 'x')));
  REQUIRE(Right.Recorder.waitForError("too large"));
  REQUIRE(Left.Recorder.waitFor(
      [&] { return Left.Recorder.PeerChanges.size() >= 3; }));
  REQUIRE(Left.Recorder.waitForUp("right"));
  REQUIRE(Left.sendWithRetry("right", std::string(1000, 'y')));
  REQUIRE(Right.Recorder.waitForMessages(1));
  CHECK(Right.Recorder.messages()[0] == std::string(1000, 'y'));
  // The sender's own limit refuses before anything is sent.
  REQUIRE(Right.Recorder.waitForUp("left"));
  CHECK(!Right.Hub.send("left", std::string(1001, 'x')));
}

// Guards against an unknown client that disturbs the links or holds resources.
TEST_CASE("a client that breaks the protocol is dropped with a reason") {
  test_hub Left("left");
  test_hub Right("right", {Left.asPeer()});
  REQUIRE(Left.Recorder.waitForUp("right"));
  raw_client Client(Left.Settings.ListenPort);
  SECTION("bytes that are not HTTP") {
    Client.sendBytes(std::string("\x01\x02\xff\r\n\r\n\r\n"));
    REQUIRE(Left.Recorder.waitForError("127.0.0.1"));
  }
  SECTION("a plain HTTP request") {
    Client.sendBytes("GET / HTTP/1.1\r\nHost: test\r\n\r\n");
    REQUIRE(Left.Recorder.waitForError("not for a websocket"));
  }
  SECTION("no data") { REQUIRE(Left.Recorder.waitForError("127.0.0.1")); }
  SECTION("a first message that is not a hello") {
    Client.upgrade();
    Client.sendFrame(2, "\xa1\x64type");
    REQUIRE(Left.Recorder.waitForError("not a valid hello"));
  }
  SECTION("a first message over the size of a hello") {
    Client.upgrade();
    Client.sendFrame(2, std::string(MaxHelloBytes + 1, 'x'));
    REQUIRE(Left.Recorder.waitForError("too large"));
  }
  SECTION("a frame without a mask") {
    Client.upgrade();
    Client.sendBytes("\x82\x01x");
    REQUIRE(Left.Recorder.waitForError("127.0.0.1"));
  }
  SECTION("the hub's own name") {
    Client.completeHandshake("left", 1);
    REQUIRE(Left.Recorder.waitForError("own name"));
  }
  SECTION("text after the hello") {
    Client.completeHandshake("other", 1);
    REQUIRE(Left.Recorder.waitForUp("other"));
    Client.sendFrame(1, "text");
    REQUIRE(Left.Recorder.waitForError("not binary"));
    REQUIRE(Left.Recorder.waitForDown("other"));
  }
  CHECK(Client.waitForClose());
  REQUIRE(Right.sendWithRetry("left", "still here"));
  REQUIRE(Left.Recorder.waitForMessages(1));
  CHECK(Left.Recorder.messages() == std::vector<std::string>{"still here"});
}

// Guards against a link that stays up after its peer disappeared without
// closing.
TEST_CASE("a peer that sends nothing is detected") {
  test_hub Hub("hub");
  raw_client Client(Hub.Settings.ListenPort);
  Client.completeHandshake("other", 1);
  REQUIRE(Hub.Recorder.waitForUp("other"));
  REQUIRE(Hub.Recorder.waitForDown("other"));
  CHECK(Hub.Recorder.waitForError("other: nothing received for 3000 ms"));
  CHECK(Client.waitForClose());
}

// Guards against messages sent on the dead connection of a restarted peer, and
// against a delayed connection that replaces a newer one.
TEST_CASE("a newer connection of the same name replaces the older") {
  test_hub Hub("hub");
  raw_client First(Hub.Settings.ListenPort);
  First.completeHandshake("other", 5);
  REQUIRE(Hub.Recorder.waitForUp("other"));
  raw_client Second(Hub.Settings.ListenPort);
  Second.completeHandshake("other", 6);
  CHECK(First.waitForClose());
  REQUIRE(Hub.Recorder.waitFor(
      [&] { return Hub.Recorder.PeerChanges.size() == 3; }));
  raw_client Delayed(Hub.Settings.ListenPort);
  Delayed.completeHandshake("other", 5);
  CHECK(Delayed.waitForClose());
  Second.sendFrame(2, "from the newer one");
  REQUIRE(Hub.Recorder.waitForMessages(1));
  CHECK(Hub.Recorder.waitFor(
      [&] { return Hub.Recorder.PeerChanges.size() == 3; }));
}

// Guards against a link under a wrong name, for example after an address was
// reassigned to another host.
TEST_CASE("a dialled peer with another name is refused") {
  test_hub Stranger("stranger");
  auto Wrong = Stranger.asPeer();
  Wrong.Name = "expected";
  test_hub Hub("hub", {Wrong});
  REQUIRE(
      Hub.Recorder.waitForError("expected: the peer names itself stranger"));
  CHECK(!Hub.Hub.send("expected", "message"));
}
