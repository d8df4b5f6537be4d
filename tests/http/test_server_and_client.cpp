#include "http/client.h"
#include "http/server.h"
#include "tests/main/free_port.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::http;
using namespace std::chrono_literals;

namespace {

using test::freePort;

/// A server and a client on loopback; the test takes the place of the
/// application thread.
class loopback_pair {
public:
  loopback_pair()
      : Port(freePort()), Requests(64, Signal), Calls(64, CallsSignal),
        Results(64, Signal),
        Server(
            settings(),
            [](const request &Request) -> std::optional<response> {
              if (Request.Target == "/local")
                return response{204, {}, ""};
              return std::nullopt;
            },
            Requests),
        Client({}, Calls, CallsSignal, Results) {
    REQUIRE(Server.start().empty());
    Client.start();
  }

  server_settings settings() const {
    server_settings Settings;
    Settings.Listen = {{"127.0.0.1", Port}};
    Settings.RetainedHeaders = {"X-Wanted"};
    return Settings;
  }

  void call(std::uint64_t Id, std::string Target, core::duration Timeout = 2s) {
    client_call Call;
    Call.Id = Id;
    Call.Address =
        core::network_address::parse("127.0.0.1:" + std::to_string(Port));
    Call.Request.Method = "POST";
    Call.Request.Target = std::move(Target);
    Call.Request.Headers = {{"x-wanted", "yes"}, {"X-Other", "no"}};
    Call.Request.Body = "body";
    Call.Timeout = Timeout;
    Call.Issued = core::boot_clock::now();
    bool IsPushed = Calls.push(std::move(Call));
    REQUIRE(IsPushed);
  }

  template <typename Ring, typename Item> Item await(Ring &From, Item Value) {
    for (int Poll = 0; Poll != 500; ++Poll) {
      if (From.pop(Value))
        return Value;
      Signal.waitFor(10ms);
    }
    FAIL("nothing arrived within 5 s");
    return Value;
  }

  std::uint16_t Port;
  core::ring_signal Signal;
  core::ring_signal CallsSignal;
  core::bounded_ring<server_request> Requests;
  core::bounded_ring<client_call> Calls;
  core::bounded_ring<client_result> Results;
  server Server;
  client Client;
};

} // namespace

TEST_CASE("a request and its response pass through the rings") {
  loopback_pair Pair;
  Pair.call(5, "/a/b?c=d");
  auto Request = Pair.await(Pair.Requests, server_request());
  CHECK(Request.Request.Method == "POST");
  CHECK(Request.Request.Target == "/a/b?c=d");
  CHECK(Request.Request.Host == "127.0.0.1");
  CHECK(Request.Request.Body == "body");
  CHECK(findHeader(Request.Request.Headers, "X-WANTED") == "yes");
  CHECK(findHeader(Request.Request.Headers, "X-Other").empty());
  Pair.Server.deliver({Request.Id, {409, {{"X-Answer", "1"}}, "no"}});
  auto Result = Pair.await(Pair.Results, client_result());
  CHECK(Result.Id == 5);
  REQUIRE(Result.IsComplete);
  CHECK(Result.Response.Status == 409);
  CHECK(Result.Response.Body == "no");
  CHECK(findHeader(Result.Response.Headers, "X-Answer") == "1");
}

TEST_CASE("local requests are answered without the application thread") {
  loopback_pair Pair;
  Pair.call(1, "/local");
  auto Result = Pair.await(Pair.Results, client_result());
  CHECK(Result.Response.Status == 204);
}

TEST_CASE("a call without a response times out and counts as sent") {
  loopback_pair Pair;
  Pair.call(1, "/never", 200ms);
  auto Result = Pair.await(Pair.Results, client_result());
  CHECK(!Result.IsComplete);
  CHECK(Result.WasSent);
}

// The process may have been suspended, so the decision behind it may be stale.
TEST_CASE("a call that waited too long is not sent") {
  loopback_pair Pair;
  client_call Old;
  Old.Id = 3;
  Old.Address =
      core::network_address::parse("127.0.0.1:" + std::to_string(Pair.Port));
  Old.Issued = core::boot_clock::now() - 2s;
  bool IsPushed = Pair.Calls.push(std::move(Old));
  REQUIRE(IsPushed);
  auto Result = Pair.await(Pair.Results, client_result());
  CHECK(!Result.IsComplete);
  CHECK(!Result.WasSent);
}

// Without a connection the request cannot have run, so a retry is safe.
TEST_CASE("a call counts as not sent when the connection is refused") {
  loopback_pair Pair;
  Pair.Server.stop();
  Pair.call(1, "/x");
  auto Result = Pair.await(Pair.Results, client_result());
  CHECK(!Result.IsComplete);
  CHECK(!Result.WasSent);
  CHECK(Result.IsRefused);
}
