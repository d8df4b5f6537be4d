#include "gateway/forwarder.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::gateway;
using namespace std::chrono_literals;

namespace {

core::time_point at(core::duration Time) { return core::time_point(Time); }

/// A forwarder that is connected to two schedulers, `a` and `b`.
class forwarder_fixture {
public:
  explicit forwarder_fixture(forwarder_settings Settings = {})
      : Forwarder(Settings, std::vector<std::string>{"a", "b"}, Metrics) {
    CHECK(Forwarder.takeActions().NewPeers.size() == 2);
    for (const char *Peer : {"a", "b"})
      Forwarder.linkChanged(Peer, true, Now);
  }

  void status(const std::string &Peer, bool IsLeading, std::uint64_t Term) {
    Forwarder.receive(Peer, status_message{IsLeading, Term, {"a", "b"}}, Now);
  }
  void advance(core::duration Time) {
    Now += Time;
    Forwarder.tick(Now);
    collect();
  }
  void request(std::uint64_t Id, const std::string &KeyDigest = "") {
    http::server_request Request;
    Request.Id = Id;
    Request.Request.Method = "POST";
    Request.Request.Target = "/q/1";
    Forwarder.request(std::move(Request), KeyDigest, Now + 3s, Now);
    collect();
  }
  void reply(const std::string &Peer, std::uint64_t Id, bool IsHandled,
             std::uint16_t Status = 200) {
    reply_message Reply;
    Reply.Id = Id;
    Reply.IsHandled = IsHandled;
    Reply.Status = Status;
    Forwarder.receive(Peer, Reply, Now);
    collect();
  }
  void collect() {
    auto Actions = Forwarder.takeActions();
    for (auto &Call : Actions.Calls)
      Calls.push_back(Call);
    for (auto &Response : Actions.Responses)
      Responses.push_back(Response);
    for (auto &Status : Actions.Statuses)
      Statuses.push_back(Status);
  }

  core::metrics_registry Metrics;
  core::time_point Now = at(100s);
  forwarder Forwarder;
  std::vector<forwarder_actions::outgoing> Calls;
  std::vector<http::server_response> Responses;
  std::vector<forwarder_actions::outgoing_status> Statuses;
};

} // namespace

TEST_CASE("without a leader a request is rejected at once as not run") {
  forwarder_fixture Fixture;
  Fixture.request(1);
  REQUIRE(Fixture.Responses.size() == 1);
  CHECK(Fixture.Responses[0].Response.Status == 503);
  CHECK(http::findHeader(Fixture.Responses[0].Response.Headers,
                         "Retry-After") == "1");
  CHECK(Fixture.Calls.empty());
  CHECK(!Fixture.Forwarder.isReady(Fixture.Now));
}

TEST_CASE(
    "a request goes to the leader with the highest term, and its reply to the "
    "caller") {
  forwarder_fixture Fixture;
  Fixture.status("a", true, 3);
  Fixture.status("b", true, 4);
  Fixture.request(7);
  REQUIRE(Fixture.Calls.size() == 1);
  CHECK(Fixture.Calls[0].Peer == "b");
  Fixture.reply("b", Fixture.Calls[0].Call.Id, true, 404);
  REQUIRE(Fixture.Responses.size() == 1);
  CHECK(Fixture.Responses[0].Id == 7);
  CHECK(Fixture.Responses[0].Response.Status == 404);
}

TEST_CASE("a leader that stops sending statuses gets no requests") {
  forwarder_fixture Fixture;
  Fixture.status("a", true, 3);
  Fixture.advance(1100ms);
  CHECK(!Fixture.Forwarder.isReady(Fixture.Now));
  Fixture.request(1);
  CHECK(Fixture.Calls.empty());
}

TEST_CASE(
    "a forwarded request whose leader is lost is never reported as not run") {
  forwarder_fixture Fixture;
  Fixture.status("a", true, 3);
  Fixture.request(1);
  Fixture.Forwarder.linkChanged("a", false, Fixture.Now);
  Fixture.advance(1200ms);
  CHECK(Fixture.Responses.empty());
  // Another gateway may have a leader, so the response waits no longer.
  Fixture.advance(200ms);
  REQUIRE(Fixture.Responses.size() == 1);
  CHECK(Fixture.Responses[0].Response.Status == 504);
}

TEST_CASE(
    "a request at a leader that stopped sending statuses does not wait for "
    "its deadline") {
  forwarder_fixture Fixture;
  Fixture.status("a", true, 3);
  Fixture.request(1);
  Fixture.advance(1100ms);
  Fixture.advance(1400ms);
  REQUIRE(Fixture.Responses.size() == 1);
  CHECK(Fixture.Responses[0].Response.Status == 504);
}

TEST_CASE("a request whose leader is lost goes to the next leader") {
  forwarder_fixture Fixture;
  Fixture.status("a", true, 3);
  Fixture.request(1);
  Fixture.Forwarder.linkChanged("a", false, Fixture.Now);
  Fixture.status("b", true, 4);
  Fixture.advance(10ms);
  REQUIRE(Fixture.Calls.size() == 2);
  CHECK(Fixture.Calls[1].Peer == "b");
  CHECK(Fixture.Calls[1].Call.Id == Fixture.Calls[0].Call.Id);
  Fixture.reply("a", Fixture.Calls[0].Call.Id, true, 503);
  CHECK(Fixture.Responses.empty());
  Fixture.reply("b", Fixture.Calls[0].Call.Id, true, 200);
  CHECK(Fixture.Responses.size() == 1);
}

TEST_CASE("a request stays unknown after a lost copy, even if a later copy was "
          "refused") {
  forwarder_fixture Fixture;
  Fixture.status("a", true, 3);
  Fixture.request(1);
  Fixture.Forwarder.linkChanged("a", false, Fixture.Now);
  Fixture.status("b", true, 4);
  Fixture.advance(10ms);
  Fixture.reply("b", Fixture.Calls[1].Call.Id, false);
  CHECK(Fixture.Responses.empty());
  Fixture.advance(3s);
  REQUIRE(Fixture.Responses.size() == 1);
  CHECK(Fixture.Responses[0].Response.Status == 504);
}

TEST_CASE(
    "a request whose outcome its leader cannot determine goes to the next "
    "leader") {
  forwarder_fixture Fixture;
  Fixture.status("a", true, 3);
  Fixture.request(1);
  reply_message Reply;
  Reply.Id = Fixture.Calls[0].Call.Id;
  Reply.MayHaveRun = true;
  Fixture.Forwarder.receive("a", Reply, Fixture.Now);
  Fixture.collect();
  CHECK(Fixture.Responses.empty());
  Fixture.status("b", true, 4);
  Fixture.advance(10ms);
  REQUIRE(Fixture.Calls.size() == 2);
  CHECK(Fixture.Calls[1].Peer == "b");
  Fixture.advance(3s);
  REQUIRE(Fixture.Responses.size() == 1);
  CHECK(Fixture.Responses[0].Response.Status == 504);
}

// Guards against a request that ends each scheduler which handles it: it must
// not reach all schedulers, one after the other.
TEST_CASE("a request with which two schedulers were lost is not sent to a "
          "third") {
  forwarder_fixture Fixture;
  Fixture.status("a", true, 3);
  Fixture.request(1);
  Fixture.Forwarder.linkChanged("a", false, Fixture.Now);
  Fixture.status("b", true, 4);
  Fixture.advance(10ms);
  REQUIRE(Fixture.Calls.size() == 2);
  SECTION("its link broke") {
    Fixture.Forwarder.linkChanged("b", false, Fixture.Now);
  }
  SECTION("it stopped sending statuses") { Fixture.advance(1100ms); }
  Fixture.Forwarder.linkChanged("a", true, Fixture.Now);
  Fixture.status("a", true, 5);
  Fixture.advance(10ms);
  CHECK(Fixture.Calls.size() == 2);
  REQUIRE(Fixture.Responses.size() == 1);
  CHECK(Fixture.Responses[0].Response.Status == 504);
}

TEST_CASE("a refusal by the next leader does not say that a lost copy has not "
          "run") {
  forwarder_fixture Fixture;
  Fixture.status("a", true, 1);
  Fixture.request(1);
  Fixture.Forwarder.linkChanged("a", false, Fixture.Now);
  Fixture.status("b", true, 2);
  Fixture.advance(10ms);
  REQUIRE(Fixture.Calls.size() == 2);
  Fixture.reply("b", Fixture.Calls[1].Call.Id, true, 503);
  REQUIRE(Fixture.Responses.size() == 1);
  CHECK(Fixture.Responses[0].Response.Status == 504);
}

TEST_CASE("a request that the receiver refused is rejected as not run") {
  forwarder_fixture Fixture;
  Fixture.status("a", true, 3);
  Fixture.request(1);
  Fixture.reply("a", Fixture.Calls[0].Call.Id, false);
  REQUIRE(Fixture.Responses.size() == 1);
  CHECK(Fixture.Responses[0].Response.Status == 503);
}

TEST_CASE("a call that the link did not accept is rejected as not run") {
  forwarder_fixture Fixture;
  Fixture.status("a", true, 3);
  Fixture.request(1);
  Fixture.Forwarder.callNotSent(Fixture.Calls[0].Call.Id, Fixture.Now);
  Fixture.collect();
  REQUIRE(Fixture.Responses.size() == 1);
  CHECK(Fixture.Responses[0].Response.Status == 503);
}

// Guards against requests that fail without a line that says why.
TEST_CASE("a report names the reasons of failed requests and what is known of "
          "each scheduler") {
  forwarder_fixture Fixture;
  Fixture.advance(0ms);
  Fixture.request(1);
  Fixture.status("b", false, 4);
  Fixture.advance(1200ms);
  auto Report = Fixture.Forwarder.takeReport(Fixture.Now);
  CHECK(!Report.HasLeader);
  CHECK(Report.LeaderlessFor == 1200ms);
  CHECK(Report.Failed == 1);
  CHECK(Report.Reasons == "no_leader/503=1");
  CHECK(Report.Schedulers == "a:up:follows:0:never,b:up:follows:4:1200");

  Fixture.status("a", true, 5);
  for (std::uint64_t Id = 2; Id != 5; ++Id)
    Fixture.request(Id);
  REQUIRE(Fixture.Calls.size() == 3);
  Fixture.reply("a", Fixture.Calls[0].Call.Id, true, 503);
  Fixture.reply("a", Fixture.Calls[1].Call.Id, true, 200);
  Fixture.advance(100ms);
  Report = Fixture.Forwarder.takeReport(Fixture.Now);
  CHECK(Report.HasLeader);
  CHECK(Report.LeaderlessFor == 0ms);
  CHECK(Report.Reasons == "answered/503=1");
  CHECK(Report.OpenCalls == 1);
  CHECK(Report.WaitingCalls == 0);
  CHECK(Report.OldestCall == 100ms);
  Fixture.advance(1s);
  CHECK(Fixture.Forwarder.takeReport(Fixture.Now).WaitingCalls == 1);
  // It was sent to a scheduler that went silent.
  Fixture.advance(1400ms);
  Report = Fixture.Forwarder.takeReport(Fixture.Now);
  CHECK(Report.Failed == 1);
  CHECK(Report.Reasons == "no_next_leader/504=1");
}

// Guards against a gateway that ends while requests are open: each must get an
// answer, and only one that no scheduler received may be called not run.
TEST_CASE("at the end of a gateway each open request gets a true answer") {
  forwarder_fixture Fixture;
  Fixture.status("a", true, 3);
  Fixture.request(1);
  SECTION("a scheduler has it") {}
  SECTION("its scheduler was lost") {
    Fixture.Forwarder.linkChanged("a", false, Fixture.Now);
  }
  Fixture.request(2);
  // The first refusal by a leader, while another one is known, leaves the
  // request without a scheduler until the next tick.
  Fixture.status("b", true, 4);
  Fixture.request(3);
  Fixture.reply("b", Fixture.Calls.back().Call.Id, false);
  Fixture.Responses.clear();
  auto OpenCalls = Fixture.Forwarder.openCalls();
  Fixture.Forwarder.finishAll(Fixture.Now);
  Fixture.collect();
  CHECK(Fixture.Forwarder.openCalls() == 0);
  REQUIRE(Fixture.Responses.size() == OpenCalls);
  for (const auto &Response : Fixture.Responses) {
    CHECK(Response.Response.Status == (Response.Id == 3 ? 503 : 504));
    CHECK(http::findHeader(Response.Response.Headers, "Retry-After").empty() ==
          (Response.Id != 3));
  }
}

TEST_CASE("each scheduler that a status names is connected to once") {
  forwarder_fixture Fixture;
  Fixture.Forwarder.receive("a", status_message{false, 1, {"a", "c", "b"}},
                            Fixture.Now);
  Fixture.Forwarder.receive("b", status_message{false, 1, {"c"}}, Fixture.Now);
  CHECK(Fixture.Forwarder.takeActions().NewPeers ==
        std::vector<std::string>{"c"});
}

TEST_CASE("messages survive encoding, and malformed ones are rejected") {
  std::vector<message> Messages{
      status_message{true, 9, {"10.0.0.1"}},
      call_message{4, "POST", "h", "/p?q=1", std::string("\0\xff", 2)},
      reply_message{4, true, false, 503, 1, "body"}};
  for (const auto &Message : Messages) {
    auto Bytes = encodeMessage(Message);
    CHECK(decodeMessage(Bytes) == Message);
    CHECK(!decodeMessage(Bytes.substr(1)));
    CHECK(!decodeMessage(Bytes.substr(0, Bytes.size() - 1)));
  }
  CHECK(isGateway(linkName("10.0.0.1")));
  CHECK(!isGateway("10.0.0.1"));
}

// Guards against a gateway that connects to what another writer named.
TEST_CASE("a status that names a scheduler without an IP address is rejected") {
  for (const char *Name : {"", "host.example", "10.0.0.1:80", "u@10.0.0.1"}) {
    INFO(Name);
    auto Bytes = encodeMessage(status_message{true, 9, {"10.0.0.1", Name}});
    CHECK(!decodeMessage(Bytes));
  }
}

// Guards against a message that overflows the stack of each scheduler in turn.
TEST_CASE("a deeply nested message is rejected without recursion") {
  CHECK_FALSE(decodeMessage(std::string(4u << 20, '\x81')));
}

// Guards against callers that get the response to another request: a gateway
// process that restarts links again under the name of the one before, to which
// a scheduler may still owe replies.
TEST_CASE("a reply to a call of an earlier gateway process answers no call") {
  forwarder_fixture Earlier(makeForwarderSettings());
  forwarder_fixture Fixture(makeForwarderSettings());
  for (auto *Process : {&Earlier, &Fixture}) {
    Process->status("a", true, 3);
    Process->request(1);
    REQUIRE(Process->Calls.size() == 1);
  }
  Fixture.reply("a", Earlier.Calls[0].Call.Id, true);
  CHECK(Fixture.Responses.empty());
  Fixture.reply("a", Fixture.Calls[0].Call.Id, true);
  CHECK(Fixture.Responses.size() == 1);
}

// Guards against a caller that gets 401 only because the leader changed.
TEST_CASE("a call that is sent again to the next leader keeps the digest of "
          "the caller's key") {
  forwarder_fixture Fixture;
  Fixture.status("a", true, 3);
  Fixture.request(1, "digest");
  REQUIRE(Fixture.Calls.size() == 1);
  CHECK(Fixture.Calls[0].Call.KeyDigest == "digest");
  Fixture.status("b", true, 4);
  Fixture.reply("a", Fixture.Calls[0].Call.Id, false);
  Fixture.advance(100ms);
  REQUIRE(Fixture.Calls.size() == 2);
  CHECK(Fixture.Calls[1].Peer == "b");
  CHECK(Fixture.Calls[1].Call.KeyDigest == "digest");
}

TEST_CASE("401 and 403 of the leader reach the caller unchanged") {
  for (std::uint16_t Status : {401, 403}) {
    forwarder_fixture Fixture;
    Fixture.status("a", true, 3);
    Fixture.request(1, "digest");
    Fixture.reply("a", Fixture.Calls.at(0).Call.Id, true, Status);
    REQUIRE(Fixture.Responses.size() == 1);
    CHECK(Fixture.Responses[0].Response.Status == Status);
  }
}

// Guards against a restarted scheduler that only gateways are linked with and
// that never finds the leader.
TEST_CASE("a gateway names the leader to a scheduler whose status lacks it") {
  forwarder_fixture Fixture;
  Fixture.status("a", true, 3);
  Fixture.status("b", false, 3);
  CHECK(Fixture.Statuses.empty());
  Fixture.Forwarder.receive("b", status_message{false, 0, {}}, Fixture.Now);
  Fixture.collect();
  REQUIRE(Fixture.Statuses.size() == 1);
  CHECK(Fixture.Statuses[0].Peer == "b");
  CHECK(Fixture.Statuses[0].Status == status_message{false, 0, {"a"}});
  Fixture.advance(1500ms);
  Fixture.Forwarder.receive("b", status_message{false, 0, {}}, Fixture.Now);
  Fixture.collect();
  CHECK(Fixture.Statuses.size() == 1); // It has no leader itself.
}
