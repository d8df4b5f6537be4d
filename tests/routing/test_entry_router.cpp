#include "routing/entry_router.h"

#include <catch2/catch.hpp>

#include <set>

using namespace lycheetrestle;
using namespace lycheetrestle::routing;
using namespace std::chrono_literals;

namespace {

/// One entry with one control replica and no peers that are up.
struct router_fixture {
  core::metrics_registry Metrics;
  core::time_point Now{1000s};
  entry_router Router{settings(), Metrics, Now};
  router_output Output;

  static router_settings settings() {
    router_settings Settings;
    Settings.Self = "e1";
    Settings.Incarnation = 7;
    Settings.Entries = {"e1", "e2", "e3"};
    Settings.Controls = {"c1"};
    Settings.MaxInFlight = 20;
    return Settings;
  }

  template <typename Type> std::vector<Type> messages() {
    std::vector<Type> List;
    for (auto &Message : Output.Messages)
      if (auto *Found = std::get_if<Type>(&Message.Message))
        List.push_back(*Found);
    return List;
  }
  void take() { Output = Router.takeOutput(); }

  void confirm() {
    for (const auto &Probe : messages<probe>()) {
      probe_reply Reply;
      Reply.Nonce = Probe.Nonce;
      Reply.Confirmed = true;
      Reply.Leader = "c1";
      Reply.Delta.ViewIndex = 3;
      Reply.Delta.DeclarationNumber = 1;
      Reply.Delta.IsFull = true;
      Reply.Delta.Hosts = {
          {"w01", "gate", "kv-1", fleet::host_state::InService, 1, 3}};
      Reply.Delta.Services = {
          {{"plots", "gate", fleet::work_class::Urgent, 2000}}};
      Router.onMessage("c1", Reply, Now);
    }
  }
  void announce(std::string Endpoint, std::uint64_t Sequence = 1,
                bool Leaving = false) {
    announcement Announcement{
        std::move(Endpoint), 1, Sequence, "plots", "gate", "w01", "kv-1",
        "10.0.0.1:80",       1, 64,       Leaving, 0,      0};
    auto Failure = core::captureFailure(
        [&] { return Router.onAnnouncement(Announcement, Now); });
    CHECK_FALSE(Failure);
  }
  void start() {
    Router.onPeerChange("c1", true, Now);
    take();
    confirm();
    announce("ep1");
    take();
  }
  void advance(core::duration Time) {
    for (core::duration Step = 0ms; Step < Time; Step += 10ms) {
      Now += 10ms;
      Router.tick(Now);
    }
    take();
  }
  void call(std::uint64_t Id, std::string Method = "POST",
            std::string Key = "") {
    caller_request Request;
    Request.Id = Id;
    Request.Method = std::move(Method);
    Request.Service = "plots";
    Request.CorrelationId = "c" + std::to_string(Id);
    Request.Key = std::move(Key);
    Router.onCallerRequest(std::move(Request), Now);
    take();
  }
  void finish(upstream_status Status, bool ReportedNotRun = false) {
    REQUIRE(Output.Dispatch.size() == 1);
    Router.onUpstreamResult({Output.Dispatch[0].Attempt, Status,
                             ReportedNotRun ? 503u : 200u, ReportedNotRun,
                             "text/plain", "body", ""},
                            Now);
    take();
  }
  void keyReply(key_outcome Outcome, std::string Body = "") {
    REQUIRE(messages<key_reserve>().size() == 1);
    Router.onMessage("c1",
                     key_reply{messages<key_reserve>()[0].RequestId, Outcome,
                               "full", 201, "text/plain", std::move(Body),
                               false},
                     Now);
    take();
  }
  void checkResponse(std::uint32_t Status, core::verdict Verdict,
                     std::string Refusal = "") {
    REQUIRE(Output.Responses.size() == 1);
    CHECK(Output.Responses[0].Status == Status);
    CHECK(Output.Responses[0].Verdict == Verdict);
    CHECK(Output.Responses[0].Refusal == Refusal);
  }
};

constexpr auto NotRun = core::verdict::NotRun;
constexpr auto MayHaveRun = core::verdict::MayHaveRun;
constexpr auto Ran = core::verdict::Ran;

} // namespace

TEST_CASE_METHOD(router_fixture, "a request runs once and gets its response") {
  start();
  CHECK(Router.isReady(Now));
  call(1);
  REQUIRE(Output.Dispatch.size() == 1);
  CHECK(Output.Dispatch[0].Address == "10.0.0.1:80");
  CHECK(Output.Dispatch[0].DeadlineMs == 2000);
  auto Attempt = Output.Dispatch[0].Attempt;
  finish(upstream_status::Complete);
  checkResponse(200, Ran);
  CHECK(Output.Responses[0].CorrelationId == "c1");
  CHECK(Output.Responses[0].Body == "body");
  // The endpoint answers again.
  Router.onUpstreamResult(
      {Attempt, upstream_status::Complete, 200, false, "", "other", ""}, Now);
  take();
  CHECK(Output.Responses.empty());
  CHECK(Router.isIdle());
  CHECK(Metrics.counter("requests_total{verdict=\"ran\",class=\"urgent\"}") ==
        1);
}

TEST_CASE_METHOD(router_fixture, "arrivals that cannot be served are not run") {
  call(1);
  checkResponse(503, NotRun, "not-fresh");
  start();
  Router.onCallerRequest({2, "GET", "water", "/", "", "", "", "", {}, {}}, Now);
  take();
  checkResponse(404, NotRun, "unknown-service");
  Router.onCallerRequest({3, "GET", "plots", "/", "", "", "", "", {}, 0}, Now);
  take();
  checkResponse(400, NotRun, "bad-deadline");
  call(4, "POST", "a b");
  checkResponse(400, NotRun, "bad-key");
  for (std::uint64_t Id = 10; Id < 30; ++Id)
    call(Id);
  call(31);
  checkResponse(503, NotRun, "overloaded");
}

// An isolated entry must stop using a version that may be stale.
TEST_CASE_METHOD(router_fixture,
                 "an entry without confirmation refuses after 3 s") {
  start();
  advance(2990ms);
  CHECK(Router.isReady(Now));
  advance(20ms);
  CHECK_FALSE(Router.isReady(Now));
  call(1);
  checkResponse(503, NotRun, "not-fresh");
}

TEST_CASE_METHOD(
    router_fixture,
    "freshness is checked again before a waiting request is dispatched") {
  start();
  call(1, "GET");
  auto Attempt = Output.Dispatch.at(0).Attempt;
  advance(1500ms);
  announce("ep1", 2);
  call(2);
  // The confirmation expires while the second request waits for the only slot.
  Now += 1510ms;
  Router.onUpstreamResult(
      {Attempt, upstream_status::Complete, 200, false, "", "", ""}, Now);
  take();
  CHECK(Output.Dispatch.empty());
  REQUIRE(Output.Responses.size() == 2);
  CHECK(Output.Responses[1].Id == 2);
  CHECK(Output.Responses[1].Refusal == "not-fresh");
}

TEST_CASE_METHOD(router_fixture, "a leaving endpoint gets no new requests") {
  start();
  announce("ep1", 2, true);
  take();
  call(1);
  CHECK(Output.Dispatch.empty());
  advance(2010ms);
  checkResponse(504, NotRun, "deadline");
}

// Announcements buffered in a socket while the process was frozen are old, so
// they must not renew a lease.
TEST_CASE_METHOD(router_fixture,
                 "an entry renews no lease just after a freeze") {
  start();
  Now += 10s;
  announce("ep1", 2);
  take();
  confirm();
  Router.tick(Now);
  take();
  confirm();
  CHECK(Router.isReady(Now));
  call(1);
  CHECK(Output.Dispatch.empty());
  Now += 400ms;
  announce("ep1", 3);
  take();
  CHECK(Output.Dispatch.empty());
  Now += 200ms;
  announce("ep1", 4);
  take();
  CHECK(Output.Dispatch.empty());
  advance(10ms);
  CHECK(Output.Dispatch.size() == 1);
}

TEST_CASE_METHOD(router_fixture, "idempotent requests are retried elsewhere") {
  start();
  announce("ep2");
  take();
  call(1, "GET");
  auto First = Output.Dispatch.at(0).Endpoint;
  finish(upstream_status::Unknown);
  CHECK(Output.Responses.empty());
  REQUIRE(Output.Dispatch.size() == 1);
  CHECK(Output.Dispatch[0].Endpoint != First);
  finish(upstream_status::NotSent);
  // Both endpoints failed; the third attempt is the last.
  finish(upstream_status::NotSent);
  checkResponse(502, MayHaveRun, "endpoint-unreachable");
}

// Guards against a request that breaks the connection of each endpoint which
// runs it: the budget for all requests still has two retries left here.
TEST_CASE_METHOD(router_fixture,
                 "a request reaches at most two endpoints that may run it") {
  start();
  for (const char *Endpoint : {"ep2", "ep3", "ep4"})
    announce(Endpoint);
  take();
  call(1, "GET");
  std::set<std::string> Reached;
  while (!Output.Dispatch.empty()) {
    Reached.insert(Output.Dispatch[0].Endpoint);
    finish(upstream_status::Unknown);
  }
  CHECK(Reached.size() == 2);
  checkResponse(502, MayHaveRun, "upstream-failed");
}

TEST_CASE_METHOD(router_fixture,
                 "requests that are not idempotent are dispatched once") {
  start();
  call(1, "POST");
  SECTION("an unknown outcome") {
    finish(upstream_status::Unknown);
    checkResponse(502, MayHaveRun, "upstream-failed");
  }
  SECTION("certainly not sent") {
    finish(upstream_status::NotSent);
    checkResponse(503, NotRun, "endpoint-unreachable");
  }
  SECTION("refused by the endpoint") {
    finish(upstream_status::Complete, true);
    checkResponse(503, NotRun, "endpoint-refused");
  }
  SECTION("no response until the deadline") {
    auto Attempt = Output.Dispatch.at(0).Attempt;
    advance(2010ms);
    checkResponse(504, MayHaveRun, "deadline");
    CHECK(Output.CancelUpstream == std::vector<std::uint64_t>{Attempt});
  }
  CHECK(Output.Dispatch.empty());
}

TEST_CASE_METHOD(router_fixture, "a keyed request runs after its reservation") {
  start();
  call(1, "POST", "k");
  CHECK(Output.Dispatch.empty());
  keyReply(key_outcome::Granted);
  finish(upstream_status::Complete);
  checkResponse(200, Ran);
  REQUIRE(messages<key_complete>().size() == 1);
  CHECK(messages<key_complete>()[0].Body == "body");
  CHECK_FALSE(Router.isIdle());
}

TEST_CASE_METHOD(router_fixture, "control decides about duplicates of a key") {
  start();
  call(1, "POST", "k");
  SECTION("a stored response") {
    keyReply(key_outcome::Stored, "earlier");
    checkResponse(201, Ran);
    CHECK(Output.Responses[0].Body == "earlier");
  }
  SECTION("another request") {
    keyReply(key_outcome::Mismatch);
    checkResponse(409, NotRun, "key-conflict");
  }
  SECTION("a refusal") {
    keyReply(key_outcome::Refused);
    checkResponse(503, NotRun, "key-refused");
  }
  SECTION("held by another entry until the deadline") {
    keyReply(key_outcome::Held);
    advance(2010ms);
    checkResponse(504, MayHaveRun, "key-held");
  }
  SECTION("no answer until the deadline") {
    advance(2010ms);
    checkResponse(503, NotRun, "control-unavailable");
    CHECK(messages<key_abandon>().size() == 1);
  }
  CHECK(Output.Dispatch.empty());
}

// Reuse of a key for a different request must be detected, whichever part of
// the request differs.
TEST_CASE_METHOD(router_fixture, "the digest covers the whole request") {
  start();
  std::uint64_t Id = 0;
  auto Digest = [&](std::string Method, std::string Path, std::string Type,
                    std::string Body) {
    Router.onCallerRequest(
        {++Id, Method, "plots", Path, "", "k", Type, Body, {}, {}}, Now);
    take();
    return messages<key_reserve>().at(0).RequestDigest;
  };
  auto First = Digest("POST", "/a", "text", "body");
  CHECK(Digest("POST", "/a", "text", "body") == First);
  CHECK(Digest("PUT", "/a", "text", "body") != First);
  CHECK(Digest("POST", "/b", "text", "body") != First);
  CHECK(Digest("POST", "/a", "json", "body") != First);
  CHECK(Digest("POST", "/a", "text", "other") != First);
  CHECK(Digest("POST", "/a", "textbody", "") != First);
  // Each request has a unique holder, or both would be granted.
  call(++Id, "POST", "same");
  auto Holder = messages<key_reserve>().at(0).Holder;
  call(++Id, "POST", "same");
  CHECK(messages<key_reserve>().at(0).Holder != Holder);
}

TEST_CASE_METHOD(router_fixture,
                 "a keyed request is retried only when certainly not run") {
  start();
  call(1, "POST", "k");
  keyReply(key_outcome::Granted);
  finish(upstream_status::Complete, true);
  REQUIRE(Output.Dispatch.size() == 1);
  finish(upstream_status::Unknown);
  checkResponse(502, MayHaveRun, "upstream-failed");
  advance(1s);
  CHECK(messages<key_abandon>().empty());
}

TEST_CASE_METHOD(router_fixture, "a caller that disconnects stops waiting") {
  start();
  call(1);
  auto First = Output;
  call(2);
  Router.onCallerDisconnected(2, Now);
  Router.onCallerDisconnected(1, Now);
  take();
  CHECK(Output.Responses.empty());
  CHECK_FALSE(Router.isIdle());
  Output = First;
  finish(upstream_status::Complete);
  CHECK(Output.Responses.empty());
  CHECK(Output.Dispatch.empty());
  CHECK(Router.isIdle());
}

TEST_CASE_METHOD(router_fixture,
                 "a shutdown refuses new requests and completes the others") {
  start();
  call(1);
  auto First = Output;
  call(2);
  Router.beginShutdown(Now);
  CHECK_FALSE(Router.isReady(Now));
  call(3);
  checkResponse(503, NotRun, "stopping");
  Output = First;
  finish(upstream_status::Complete);
  checkResponse(200, Ran);
  // No other entry is live, so this one still brokers for itself.
  advance(10ms);
  finish(upstream_status::Complete);
  checkResponse(200, Ran);
  CHECK(Router.isIdle());
}

TEST_CASE_METHOD(router_fixture, "the status shows version and endpoints") {
  start();
  auto Status = Router.statusJson(Now);
  CHECK(Status.find("\"view_index\":3") != std::string::npos);
  CHECK(Status.find("\"endpoint\":\"ep1\"") != std::string::npos);
}
