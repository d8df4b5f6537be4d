#include "tests/transport/hub_fixture.h"
#include "tests/transport/raw_client.h"
#include "transport/hello.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle::transport;
using namespace lycheetrestle::transport::test;

// Guards against memory taken by a huge message and against a link that stays
// up after its stream is broken.
TEST_CASE("an oversized message ends the link, which then comes back") {
  auto Settings = settingsOf("right");
  Settings.MaxMessageBytes = 1000;
  test_hub Right(Settings);
  test_hub Left("left", {Right.asPeer()});
  REQUIRE(Left.Seen.waitForUp("right"));
  REQUIRE(Left.sendSurely("right", std::string(1001, 'x')));
  REQUIRE(Right.Seen.waitForError("too large"));
  REQUIRE(Left.Seen.waitFor([&] { return Left.Seen.PeerChanges.size() >= 3; }));
  REQUIRE(Left.Seen.waitForUp("right"));
  REQUIRE(Left.sendSurely("right", std::string(1000, 'y')));
  REQUIRE(Right.Seen.waitForMessages(1));
  CHECK(Right.Seen.messages()[0] == std::string(1000, 'y'));
  // The sender's own limit refuses before anything is sent.
  REQUIRE(Right.Seen.waitForUp("left"));
  CHECK(!Right.Hub.send("left", std::string(1001, 'x')));
}

// Guards against a stranger that disturbs the links or holds resources.
TEST_CASE("a client that breaks the protocol is dropped with a reason") {
  test_hub Left("left");
  test_hub Right("right", {Left.asPeer()});
  REQUIRE(Left.Seen.waitForUp("right"));
  raw_client Client(Left.Settings.ListenPort);
  SECTION("bytes that are not HTTP") {
    Client.sendBytes(std::string("\x01\x02\xff\r\n\r\n\r\n"));
    REQUIRE(Left.Seen.waitForError("127.0.0.1"));
  }
  SECTION("a plain HTTP request") {
    Client.sendBytes("GET / HTTP/1.1\r\nHost: test\r\n\r\n");
    REQUIRE(Left.Seen.waitForError("not for a websocket"));
  }
  SECTION("silence") { REQUIRE(Left.Seen.waitForError("127.0.0.1")); }
  SECTION("a first message that is no hello") {
    Client.upgrade();
    Client.sendFrame(2, "\xa1\x64type");
    REQUIRE(Left.Seen.waitForError("not a valid hello"));
  }
  SECTION("a first message over the size of a hello") {
    Client.upgrade();
    Client.sendFrame(2, std::string(MaxHelloBytes + 1, 'x'));
    REQUIRE(Left.Seen.waitForError("too large"));
  }
  SECTION("a frame without a mask") {
    Client.upgrade();
    Client.sendBytes("\x82\x01x");
    REQUIRE(Left.Seen.waitForError("127.0.0.1"));
  }
  SECTION("the hub's own name") {
    Client.greet("left", 1);
    REQUIRE(Left.Seen.waitForError("own name"));
  }
  SECTION("text after the hello") {
    Client.greet("other", 1);
    REQUIRE(Left.Seen.waitForUp("other"));
    Client.sendFrame(1, "text");
    REQUIRE(Left.Seen.waitForError("not binary"));
    REQUIRE(Left.Seen.waitForDown("other"));
  }
  CHECK(Client.waitForClose());
  REQUIRE(Right.sendSurely("left", "still here"));
  REQUIRE(Left.Seen.waitForMessages(1));
  CHECK(Left.Seen.messages() == std::vector<std::string>{"still here"});
}

// Guards against a link that seems up after its peer vanished without closing.
TEST_CASE("a silent peer is noticed") {
  test_hub Hub("hub");
  raw_client Client(Hub.Settings.ListenPort);
  Client.greet("other", 1);
  REQUIRE(Hub.Seen.waitForUp("other"));
  REQUIRE(Hub.Seen.waitForDown("other"));
  CHECK(Hub.Seen.waitForError("other: the peer is silent"));
  CHECK(Client.waitForClose());
}

// Guards against messages that go to the dead connection of a peer that came
// back, and against a delayed connection that replaces a newer one.
TEST_CASE("a newer connection of the same name replaces the older") {
  test_hub Hub("hub");
  raw_client First(Hub.Settings.ListenPort);
  First.greet("other", 5);
  REQUIRE(Hub.Seen.waitForUp("other"));
  raw_client Second(Hub.Settings.ListenPort);
  Second.greet("other", 6);
  CHECK(First.waitForClose());
  REQUIRE(Hub.Seen.waitFor([&] { return Hub.Seen.PeerChanges.size() == 3; }));
  raw_client Delayed(Hub.Settings.ListenPort);
  Delayed.greet("other", 5);
  CHECK(Delayed.waitForClose());
  Second.sendFrame(2, "from the newer one");
  REQUIRE(Hub.Seen.waitForMessages(1));
  CHECK(Hub.Seen.waitFor([&] { return Hub.Seen.PeerChanges.size() == 3; }));
}

// Guards against a link under a wrong name, for example after an address was
// given to another host.
TEST_CASE("a dialled peer with another name is refused") {
  test_hub Stranger("stranger");
  auto Wrong = Stranger.asPeer();
  Wrong.Name = "expected";
  test_hub Hub("hub", {Wrong});
  REQUIRE(Hub.Seen.waitForError("expected: the peer names itself stranger"));
  CHECK(!Hub.Hub.send("expected", "message"));
}
