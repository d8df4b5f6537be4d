#include "gateway/gateway_process.h"
#include "gateway/messages.h"
#include "tests/http/caller_connection.h"
#include "transport/link_hub.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace lycheetrestle;
using namespace lycheetrestle::gateway;
using namespace std::chrono_literals;
using http::caller_connection;
using http::exchange_end;

namespace {

constexpr const char *SchedulerAddress = "127.0.0.1";
constexpr const char *GatewayAddress = "127.0.0.2";

/// A leading scheduler that answers every call at once, or none.
class leading_scheduler {
public:
  explicit leading_scheduler(bool AnswersCalls)
      : AnswersCalls(AnswersCalls),
        Hub({SchedulerAddress, SchedulerAddress, Port, {}}, handlers()) {
    REQUIRE(Hub.start().empty());
    Statuses = std::thread([this] {
      while (!IsEnding) {
        Hub.send(linkName(GatewayAddress),
                 encodeMessage(status_message{true, 1, {SchedulerAddress}}));
        std::this_thread::sleep_for(20ms);
      }
    });
  }

  ~leading_scheduler() {
    IsEnding = true;
    Statuses.join();
    Hub.stop();
  }

  std::uint16_t Port = http::freeLoopbackPort();
  std::atomic<int> CallCount = 0;

private:
  transport::link_handlers handlers() {
    transport::link_handlers Handlers;
    Handlers.OnMessage = [this](const std::string &Peer,
                                const std::string &Bytes) {
      auto Message = decodeMessage(Bytes);
      auto *Call = Message ? std::get_if<call_message>(&*Message) : nullptr;
      if (!Call)
        return;
      ++CallCount;
      if (AnswersCalls)
        Hub.send(Peer, encodeMessage(reply_message{Call->Id, true, false, 200,
                                                   0, Call->Body}));
    };
    Handlers.OnPeerChange = [](const std::string &, bool) {};
    Handlers.OnError = [](const std::string &, const std::string &) {};
    return Handlers;
  }

  bool AnswersCalls;
  std::atomic<bool> IsEnding = false;
  transport::link_hub Hub;
  std::thread Statuses;
};

/// A gateway that runs on its own thread.
class running_gateway {
public:
  running_gateway(std::uint16_t SchedulerPort, core::duration Linger,
                  core::duration Drain) {
    Settings.Name = "gateway";
    Settings.Address = GatewayAddress;
    Settings.Listen = {"127.0.0.1", http::freeLoopbackPort()};
    Settings.Readiness = {"127.0.0.1", http::freeLoopbackPort()};
    Settings.LinkPort = http::freeLoopbackPort();
    Settings.SchedulerLinkPort = SchedulerPort;
    Settings.Seeds = {SchedulerAddress};
    Settings.StopLinger = Linger;
    Settings.StopDrain = Drain;
    Thread = std::thread([this] {
      auto Failure = core::captureFailure(
          [this] { return runGateway(Settings, Dialect, Signals, ReadSeeds); });
      HasFailed = Failure.has_value();
      HasEnded = true;
    });
  }

  ~running_gateway() {
    Signals.Stops = 2;
    Thread.join();
    CHECK(!HasFailed);
  }

  int readiness() const {
    caller_connection Probe(Settings.Readiness.Port);
    return Probe.isConnected() &&
                   Probe.send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
               ? Probe.receive().Status
               : 0;
  }

  void awaitReady() const {
    for (int Poll = 0; Poll != 500; ++Poll) {
      if (readiness() == 200)
        return;
      std::this_thread::sleep_for(10ms);
    }
    FAIL("the gateway was not ready within 5 s");
  }

  gateway_settings Settings;
  gateway_dialect Dialect{"X-Deadline", "/ready", "X-Key", "Token "};
  core::process_requests Signals;
  core::seed_reader ReadSeeds = [] { return std::nullopt; };
  std::atomic<bool> HasFailed = false;
  std::atomic<bool> HasEnded = false;
  std::thread Thread;
};

void awaitCall(const leading_scheduler &Scheduler) {
  for (int Poll = 0; Poll != 500 && Scheduler.CallCount == 0; ++Poll)
    std::this_thread::sleep_for(10ms);
  REQUIRE(Scheduler.CallCount > 0);
}

} // namespace

// Guards against a request that is open when the bounds of the stop are
// reached, and that ends without an answer.
TEST_CASE("a stopping gateway reports a request without a reply as unknown") {
  leading_scheduler Scheduler(false);
  running_gateway Gateway(Scheduler.Port, 100ms, 200ms);
  Gateway.awaitReady();
  caller_connection Caller(Gateway.Settings.Listen.Port);
  REQUIRE(Caller.send(http::postRequest("/q/1", "x")));
  awaitCall(Scheduler);
  SECTION("at its bounds") { Gateway.Signals.Stops = 1; }
  SECTION("at a second stop request") { Gateway.Signals.Stops = 2; }
  auto Result = Caller.receive();
  REQUIRE(Result.End == exchange_end::Answered);
  CHECK(Result.Status == 504);
  CHECK(Result.IsClosing);
}

TEST_CASE("a stopping gateway serves while the load balancer may still send "
          "connections, and is not ready") {
  leading_scheduler Scheduler(true);
  running_gateway Gateway(Scheduler.Port, 600ms, 200ms);
  Gateway.awaitReady();
  Gateway.Signals.Stops = 1;
  std::this_thread::sleep_for(150ms);
  CHECK(Gateway.readiness() == 503);
  caller_connection Caller(Gateway.Settings.Listen.Port);
  REQUIRE(Caller.send(http::postRequest("/q/1", "x")));
  auto Result = Caller.receive();
  REQUIRE(Result.End == exchange_end::Answered);
  CHECK(Result.Status == 200);
  CHECK(Result.IsClosing);
}

// A caller that never pauses must neither lose a request nor keep the process
// alive.
TEST_CASE("callers that keep sending through the stop lose no request") {
  constexpr int Callers = 12;
  leading_scheduler Scheduler(true);
  std::atomic<int> Answered = 0, Unread = 0, Bad = 0;
  std::vector<std::thread> Threads;
  {
    running_gateway Gateway(Scheduler.Port, 200ms, 300ms);
    Gateway.awaitReady();
    for (int Number = 0; Number != Callers; ++Number)
      Threads.emplace_back([&, Number, Port = Gateway.Settings.Listen.Port] {
        while (true) {
          caller_connection Caller(Port);
          if (!Caller.isConnected())
            return;
          bool IsOpen = true;
          while (IsOpen && !Caller.isEnded()) {
            if (!Caller.send(http::postRequest("/q/1", "x"))) {
              ++Unread;
              break;
            }
            auto Result = Caller.receive();
            IsOpen = Result.End == exchange_end::Answered && !Result.IsClosing;
            bool IsTruthful = Result.Status == 200 ||
                              (Result.Status == 503 && Result.HasRetryAfter);
            if (Result.End == exchange_end::Unread)
              ++Unread;
            else
              ++(Result.End == exchange_end::Answered && IsTruthful ? Answered
                                                                    : Bad);
            std::this_thread::sleep_for(Number * 15ms);
          }
        }
      });
    std::this_thread::sleep_for(100ms);
    auto Start = core::boot_clock::now();
    Gateway.Signals.Stops = 1;
    while (!Gateway.HasEnded && core::boot_clock::now() - Start < 5s)
      std::this_thread::sleep_for(5ms);
    CHECK(core::boot_clock::now() - Start < 1500ms);
  }
  for (auto &Thread : Threads)
    Thread.join();
  WARN("answered " << Answered << ", unread " << Unread << ", bad " << Bad);
  CHECK(Bad == 0);
  CHECK(Answered > 0);
}
