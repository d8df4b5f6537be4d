#include "entry/entry_process.h"
#include "routing/messages.h"
#include "tests/entry/fake_endpoint.h"
#include "tests/entry/raw_caller.h"
#include "tests/main/free_port.h"
#include "transport/link_hub.h"

#include <catch2/catch.hpp>

#include <future>

using namespace lycheetrestle;
using namespace lycheetrestle::entry;

namespace {

using test::freePort;

// A control leader that confirms each probe with the same small fleet view.
class fake_control {
public:
  explicit fake_control(std::uint16_t Port)
      : Hub(makeSettings(Port), handlers()) {
    REQUIRE(Hub.start().empty());
  }

private:
  static transport::link_settings makeSettings(std::uint16_t Port) {
    transport::link_settings Settings;
    Settings.SelfName = "c1";
    Settings.ListenAddress = "127.0.0.1";
    Settings.ListenPort = Port;
    return Settings;
  }

  transport::link_handlers handlers() {
    transport::link_handlers Handlers;
    Handlers.OnMessage = [this](const std::string &Peer, std::string Bytes) {
      auto Message =
          core::capture([&] { return routing::decodeMessage(Bytes); });
      if (Message.index() != 0)
        return;
      if (auto *Probe = std::get_if<routing::probe>(&std::get<0>(Message)))
        Hub.send(Peer, routing::encode(confirm(Probe->Nonce)));
    };
    Handlers.OnPeerChange = [](const std::string &, bool) {};
    Handlers.OnError = [](const std::string &, const std::string &) {};
    return Handlers;
  }

  static routing::probe_reply confirm(std::uint64_t Nonce) {
    routing::probe_reply Reply;
    Reply.Nonce = Nonce;
    Reply.Confirmed = true;
    Reply.Leader = "c1";
    Reply.Delta.ViewIndex = 1;
    Reply.Delta.DeclarationNumber = 1;
    Reply.Delta.IsFull = true;
    Reply.Delta.Hosts = {
        {"w1", "gate", "z1", fleet::host_state::InService, 1, 1}};
    Reply.Delta.Services = {{"plots", "gate", fleet::work_class::Normal, 5000}};
    return Reply;
  }

  transport::link_hub Hub;
};

// A complete entry on its own thread, with a control process and one endpoint.
struct process_fixture {
  explicit process_fixture(fake_endpoint::answer Answer,
                           std::uint32_t LingerMs = 0)
      : Endpoint(std::move(Answer)), Control(ControlPort) {
    Settings.Name = "e1";
    Settings.Zone = "z1";
    Settings.Listen = {"127.0.0.1", freePort()};
    Settings.Link = {"127.0.0.1", freePort()};
    Settings.Entries = {{"e1", Settings.Link}};
    Settings.Controls = {{"c1", {"127.0.0.1", ControlPort}}};
    Settings.LingerMs = LingerMs;
    Exit = std::async(std::launch::async,
                      [this] { return runEntry(Settings, Stop); });
    bool IsReady =
        waitUntil([this] { return get("/readyz").find(" 200 ") == 8; });
    if (!IsReady) { // Otherwise the future's destructor would block forever.
      Stop.requestStop();
      Stop.requestStop();
    }
    REQUIRE(IsReady);
    announce();
  }

  ~process_fixture() {
    Stop.requestStop();
    Stop.requestStop();
  }

  std::string get(const std::string &Target) {
    try {
      raw_caller Caller(Settings.Listen.Port);
      return Caller.request("GET " + Target + " HTTP/1.1\r\nHost: x\r\n\r\n");
    } catch (const std::exception &) {
      return {}; // The entry is not listening.
    }
  }

  void announce() {
    auto Body =
        R"({"endpoint":"x1","incarnation":1,"sequence":1,"service":"plots",)"
        R"("pool":"gate","host":"w1","zone":"z1","address":")" +
        Endpoint.address() +
        R"(","slots":8,"connections":64,"state":"ready","in_flight":0})";
    raw_caller Caller(Settings.Listen.Port);
    auto Response = Caller.request(
        "POST /v1/announcements HTTP/1.1\r\nHost: x\r\nContent-Length: " +
        std::to_string(Body.size()) + "\r\n\r\n" + Body);
    REQUIRE(Response.find(" 200 ") == 8);
  }

  std::uint16_t ControlPort = freePort();
  fake_endpoint Endpoint;
  fake_control Control;
  entry_settings Settings;
  stop_source Stop;
  std::future<int> Exit;
};

std::string echo(const std::string &Head) {
  auto Begin = Head.find("X-Request-Id: ");
  auto Line = Head.substr(Begin, Head.find("\r\n", Begin) - Begin);
  return "HTTP/1.1 200 OK\r\n" + Line + "\r\nContent-Length: 4\r\n\r\ndone";
}

const std::string Call = "POST /services/plots/a HTTP/1.1\r\nHost: x\r\n"
                         "Content-Length: 0\r\n\r\n";

} // namespace

// A graceful shutdown must not interrupt requests in flight.
TEST_CASE("a graceful shutdown finishes the request in flight") {
  std::promise<void> Release;
  auto Released = Release.get_future().share();
  process_fixture Fixture([Released](const std::string &Head, int) {
    Released.wait();
    return fake_action{echo(Head)};
  });
  raw_caller Caller(Fixture.Settings.Listen.Port);
  Caller.send(Call);
  bool IsSent = waitUntil([&] {
    return Fixture.get("/v1/status").find("\"requests_in_flight\":1") !=
           std::string::npos;
  });
  Fixture.Stop.requestStop();
  // With a linger time of zero, new requests are refused by the time when
  // readiness fails.
  bool IsUnready =
      waitUntil([&] { return Fixture.get("/readyz").find(" 503 ") == 8; });
  auto Refused = Fixture.get("/services/plots/b");
  // The entry must not close its listener or exit while the request is in
  // flight. The loop outlasts the quiet time of 200 ms.
  bool IsListening = true;
  for (int Count = 0; Count < 60; ++Count) {
    IsListening = IsListening && !Fixture.get("/healthz").empty();
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  Release.set_value();
  CHECK(IsSent);
  CHECK(IsUnready);
  CHECK(IsListening);
  CHECK(Refused.find("X-Verdict: not-run\r\n") != std::string::npos);
  auto Response = Caller.receive();
  CHECK(Response.find(" 200 ") == 8);
  CHECK(Response.find("X-Verdict: ran\r\n") != std::string::npos);
  CHECK(Response.find("\r\n\r\ndone") != std::string::npos);
  CHECK(Fixture.Exit.get() == EntryStopped);
  CHECK(Fixture.Endpoint.requests() == 1);
}

// The load balancer needs time to detect that the entry is not ready. Requests
// that it still routes to the entry must be served.
TEST_CASE("a lingering entry is not ready and still serves") {
  process_fixture Fixture(
      [](const std::string &Head, int) { return fake_action{echo(Head)}; },
      20000);
  Fixture.Stop.requestStop();
  REQUIRE(waitUntil([&] { return Fixture.get("/readyz").find(" 503 ") == 8; }));
  auto Response = Fixture.get("/services/plots/a");
  CHECK(Response.find(" 200 ") == 8);
  CHECK(Response.find("Connection: close\r\n") != std::string::npos);
}

TEST_CASE("a second stop request ends at once with its own exit code") {
  process_fixture Fixture(
      [](const std::string &, int) { return fake_action{}; });
  raw_caller Caller(Fixture.Settings.Listen.Port);
  Caller.send(Call);
  REQUIRE(waitUntil([&] { return Fixture.Endpoint.requests() == 1; }));
  Fixture.Stop.requestStop();
  Fixture.Stop.requestStop();
  CHECK(Fixture.Exit.get() == EntryStoppedEarly);
}

TEST_CASE("an entry does not start when an address is in use") {
  process_fixture Running(
      [](const std::string &Head, int) { return fake_action{echo(Head)}; });
  bool IsLink = GENERATE(false, true);
  entry_settings Settings = Running.Settings;
  (IsLink ? Settings.Listen : Settings.Link).Port = freePort();
  stop_source Stop;
  CHECK(runEntry(Settings, Stop) == EntryNotStarted);
}
