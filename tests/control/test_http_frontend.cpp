#include "control/http_frontend.h"
#include "tests/http/caller_connection.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace lycheetrestle;
using namespace lycheetrestle::control;
using namespace std::chrono_literals;
using http::caller_connection;
using http::exchange_end;

namespace {

/// A frontend whose control thread is the thread of the test.
struct frontend_fixture {
  frontend_fixture() { REQUIRE(Frontend.start().empty()); }

  std::uint16_t Port = http::freeLoopbackPort();
  core::ring_signal Signal;
  core::bounded_ring<control_request> Requests{64, Signal};
  core::metrics_registry Metrics;
  http_frontend Frontend{{{"127.0.0.1", Port}, {32, 64}}, Requests, Metrics};
};

constexpr std::string_view Query = "GET /v1/status HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

// Guards against a request that is read when the control thread takes no more
// requests, and that ends without an answer.
TEST_CASE("a request that arrives while the frontend stops is refused") {
  frontend_fixture Fixture;
  caller_connection Caller(Fixture.Port);
  REQUIRE(Caller.send(Query.substr(0, 20)));
  std::this_thread::sleep_for(50ms);
  std::thread Sender([&] {
    std::this_thread::sleep_for(50ms);
    Caller.send(Query.substr(20));
  });
  Fixture.Frontend.stop();
  Sender.join();
  auto Result = Caller.receive();
  REQUIRE(Result.End == exchange_end::Answered);
  CHECK(Result.Status == 503);
  CHECK(Result.IsClosing);
  CHECK(Result.Body.find("not-run") != std::string::npos);
}

TEST_CASE("a request that is pending at the stop is reported as unknown") {
  frontend_fixture Fixture;
  caller_connection Caller(Fixture.Port);
  REQUIRE(Caller.send(Query));
  control_request Request;
  for (int Poll = 0; Poll != 500 && !Fixture.Requests.pop(Request); ++Poll)
    std::this_thread::sleep_for(10ms);
  Fixture.Frontend.stop();
  auto Result = Caller.receive();
  REQUIRE(Result.End == exchange_end::Answered);
  CHECK(Result.IsClosing);
  CHECK(Result.Body.find("may-have-run") != std::string::npos);
}

// Guards against a connection that ends without a response.
TEST_CASE("a declaration over the limit gets 413 and ends its connection") {
  frontend_fixture Fixture;
  caller_connection Caller(Fixture.Port);
  REQUIRE(Caller.send("POST /v1/declarations HTTP/1.1\r\nHost: h\r\n"
                      "Content-Length: 50000000\r\n\r\nx"));
  auto Result = Caller.receive();
  CHECK(Result.Status == 413);
  CHECK(Result.IsClosing);
  CHECK(Result.Body.find("\"value\":\"50000000\"") != std::string::npos);
  CHECK(Result.Body.find("not-run") != std::string::npos);
  control_request Request;
  CHECK_FALSE(Fixture.Requests.pop(Request));
}
