#include "gateway/gateway_process.h"
#include "gateway/messages.h"
#include "tests/http/caller_connection.h"
#include "transport/link_hub.h"
#include "workspaces/key_digest.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace lycheetrestle;
using namespace lycheetrestle::gateway;
using namespace std::chrono_literals;
using http::caller_connection;

namespace {

constexpr const char *SchedulerAddress = "127.0.0.1";
constexpr const char *GatewayAddress = "127.0.0.3";
constexpr const char *Key = "open-sesame";

/// A leading scheduler that keeps the bytes of each message it gets, and
/// answers every call with 200.
class recording_scheduler {
public:
  recording_scheduler()
      : Hub({SchedulerAddress, SchedulerAddress, Port, {}}, handlers()) {
    REQUIRE(Hub.start().empty());
    Statuses = std::thread([this] {
      while (!IsEnding) {
        Hub.send(linkName(GatewayAddress),
                 encodeMessage(status_message{true, 1, {SchedulerAddress}}));
        std::this_thread::sleep_for(20ms);
      }
    });
  }
  recording_scheduler(const recording_scheduler &) = delete;
  recording_scheduler &operator=(const recording_scheduler &) = delete;
  ~recording_scheduler() {
    IsEnding = true;
    Statuses.join();
    Hub.stop();
  }

  std::vector<std::string> received() {
    std::lock_guard Lock(Mutex);
    return Received;
  }

  std::uint16_t Port = http::freeLoopbackPort();

private:
  transport::link_handlers handlers() {
    transport::link_handlers Handlers;
    Handlers.OnMessage = [this](const std::string &Peer,
                                const std::string &Bytes) {
      {
        std::lock_guard Lock(Mutex);
        Received.push_back(Bytes);
      }
      auto Message = decodeMessage(Bytes);
      if (auto *Call = Message ? std::get_if<call_message>(&*Message) : nullptr)
        Hub.send(Peer, encodeMessage(
                           reply_message{Call->Id, true, false, 200, 0, "{}"}));
    };
    Handlers.OnPeerChange = [](const std::string &, bool) {};
    Handlers.OnError = [](const std::string &, const std::string &) {};
    return Handlers;
  }

  std::mutex Mutex;
  std::vector<std::string> Received;
  std::atomic<bool> IsEnding = false;
  transport::link_hub Hub;
  std::thread Statuses;
};

/// A gateway that runs on its own thread.
class running_gateway {
public:
  explicit running_gateway(std::uint16_t SchedulerPort) {
    Settings.Name = "gateway";
    Settings.Address = GatewayAddress;
    Settings.Listen = {"127.0.0.1", http::freeLoopbackPort()};
    Settings.Readiness = {"127.0.0.1", http::freeLoopbackPort()};
    Settings.LinkPort = http::freeLoopbackPort();
    Settings.SchedulerLinkPort = SchedulerPort;
    Settings.Seeds = {SchedulerAddress};
    Settings.StopLinger = 10ms;
    Settings.StopDrain = 10ms;
    Thread = std::thread([this] {
      HasFailed = core::captureFailure([this] {
                    return runGateway(Settings, Dialect, Signals, ReadSeeds);
                  }).has_value();
    });
  }
  running_gateway(const running_gateway &) = delete;
  running_gateway &operator=(const running_gateway &) = delete;
  ~running_gateway() {
    Signals.Stops = 2;
    Thread.join();
    CHECK(!HasFailed);
  }

  /// \returns the status of a response to a request with these header lines.
  int request(const std::string &Headers) const {
    caller_connection Caller(Settings.Listen.Port);
    if (!Caller.isConnected() ||
        !Caller.send("GET /q/1 HTTP/1.1\r\nHost: h\r\n" + Headers + "\r\n"))
      return 0;
    return Caller.receive().Status;
  }

  void awaitReady() const {
    for (int Poll = 0; Poll != 500; ++Poll) {
      if (request("") == 200)
        return;
      std::this_thread::sleep_for(10ms);
    }
    FAIL("the gateway served nothing within 5 s");
  }

private:
  gateway_settings Settings;
  gateway_dialect Dialect{"X-Deadline", "/ready", "Authorization", "Token "};
  core::process_requests Signals;
  core::seed_reader ReadSeeds = [] { return std::nullopt; };
  std::atomic<bool> HasFailed = false;
  std::thread Thread;
};

std::string digestIn(const std::string &Bytes) {
  auto Message = decodeMessage(Bytes);
  const auto *Call = Message ? std::get_if<call_message>(&*Message) : nullptr;
  return Call ? Call->KeyDigest : "not a call";
}

} // namespace

// Guards against a header that is read as another key than the caller's, and
// against a key that leaves the gateway.
TEST_CASE("a gateway sends the digest of the caller's key and never the key") {
  recording_scheduler Scheduler;
  running_gateway Gateway(Scheduler.Port);
  Gateway.awaitReady();
  const auto Digest = workspaces::digestOf(Key);
  const std::string KeyText = Key;
  const std::vector<std::pair<std::string, std::string>> Cases{
      {"Authorization: Token " + KeyText + "\r\n", Digest},
      {"authorization: token " + KeyText + "\r\n", Digest},
      {"Authorization:Token " + KeyText + "  \r\n", Digest},
      {"Authorization: Token \t" + KeyText + "\t \r\n", Digest},
      {"Authorization: Token " + KeyText + " x\r\n",
       workspaces::digestOf(KeyText + " x")},
      {"Authorization: Token " + KeyText + "x\r\n",
       workspaces::digestOf(KeyText + "x")},
      {"Authorization: Token   \r\n", ""},
      {"Authorization: Token\r\n", ""},
      {"Authorization: Token" + KeyText + "\r\n", ""},
      {"Authorization: Bearer " + KeyText + "\r\n", ""},
      {"Authorization: " + KeyText + "\r\n", ""},
      {"X-Authorization: Token " + KeyText + "\r\n", ""},
      {"Authorization: \r\n", ""},
      {"", ""}};
  for (const auto &[Headers, Expected] : Cases) {
    INFO(Headers);
    auto Earlier = Scheduler.received().size();
    REQUIRE(Gateway.request(Headers) == 200);
    auto Received = Scheduler.received();
    REQUIRE(Received.size() == Earlier + 1);
    CHECK(digestIn(Received.back()) == Expected);
  }
  for (const auto &Bytes : Scheduler.received())
    CHECK(Bytes.find(KeyText) == std::string::npos);
}

TEST_CASE("a call with a digest is decoded unchanged, and one without is "
          "encoded as earlier versions did") {
  call_message Call{7, "GET", "h", "/q/1", "body", workspaces::digestOf(Key)};
  auto Copy = decodeMessage(encodeMessage(Call));
  REQUIRE(Copy);
  CHECK(std::get<call_message>(*Copy) == Call);
  auto WithDigest = encodeMessage(Call).size();
  Call.KeyDigest.clear();
  Copy = decodeMessage(encodeMessage(Call));
  REQUIRE(Copy);
  CHECK(std::get<call_message>(*Copy) == Call);
  // 64 digits and two bytes for their length.
  CHECK(WithDigest - encodeMessage(Call).size() == 66);
}
