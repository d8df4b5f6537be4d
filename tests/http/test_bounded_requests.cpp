#include "http/server.h"
#include "tests/http/caller_connection.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <memory>
#include <string_view>
#include <thread>
#include <vector>

using namespace lycheetrestle;
using namespace lycheetrestle::http;

namespace {

constexpr std::size_t MaxBodyBytes = 20'000;
const std::string ChunkedHead =
    "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A server that responds with the body that it received.
class echo_server {
public:
  explicit echo_server(std::size_t BodyBytes = MaxBodyBytes,
                       process_limits Limits = {32, 64})
      : Requests(16, Signal),
        Server(settings(BodyBytes, Limits), echo, Requests) {
    REQUIRE(Server.start().empty());
  }

  exchange send(const std::string &Bytes) const {
    caller_connection Connection(Port);
    REQUIRE(Connection.isConnected());
    Connection.send(Bytes);
    return Connection.receive();
  }

  std::uint16_t Port = freeLoopbackPort();

private:
  server_settings settings(std::size_t BodyBytes, process_limits Limits) const {
    server_settings Settings;
    Settings.Listen = {{"127.0.0.1", Port}};
    Settings.MaxBodyBytes = BodyBytes;
    Settings.Limits = Limits;
    return Settings;
  }
  static std::optional<response> echo(const request &Request) {
    return response{200, {}, Request.Body};
  }

  core::ring_signal Signal;
  core::bounded_ring<server_request> Requests;
  server Server;
};

std::string chunks(const std::string &Body, std::size_t Size) {
  std::string Result;
  for (std::size_t Begin = 0; Begin < Body.size(); Begin += Size) {
    auto Part = Body.substr(Begin, Size);
    char Length[32];
    std::snprintf(Length, sizeof(Length), "%zx\r\n", Part.size());
    Result += Length + Part + "\r\n";
  }
  return Result;
}

} // namespace

TEST_CASE("a chunked body within the limit is received whole", "[bounded]") {
  echo_server Server;
  const std::string Body(MaxBodyBytes, 'b');
  for (std::size_t Size : {std::size_t(1), std::size_t(7), MaxBodyBytes}) {
    auto Exchange = Server.send(ChunkedHead + chunks(Body, Size) + "0\r\n\r\n");
    CHECK(Exchange.Status == 200);
    CHECK(Exchange.Body == Body);
  }
}

TEST_CASE("a body over the limit gets 413 and the end of its connection",
          "[bounded]") {
  echo_server Server;
  const std::string Body(MaxBodyBytes + 1, 'b');
  for (const auto &Request :
       {postRequest("/x", Body), ChunkedHead + chunks(Body, 1000),
        std::string("POST /x HTTP/1.1\r\nHost: h\r\n"
                    "Content-Length: 1000000000\r\n\r\n")}) {
    auto Exchange = Server.send(Request);
    CHECK(Exchange.Status == 413);
    CHECK(Exchange.IsClosing);
  }
}

TEST_CASE("a client cannot send the mark of a body over the limit",
          "[bounded]") {
  echo_server Server;
  auto Exchange = Server.send("GET /x HTTP/1.1\r\n:too-large: \r\n\r\n");
  CHECK(Exchange.End != exchange_end::Answered);
}

TEST_CASE("connections over the limit replace those that were quiet longest",
          "[bounded]") {
  echo_server Server;
  std::vector<std::unique_ptr<caller_connection>> Quiet;
  for (int Index = 0; Index != 100; ++Index)
    Quiet.push_back(std::make_unique<caller_connection>(Server.Port));
  CHECK(Server.send(postRequest("/x", "b")).Status == 200);
  CHECK(Quiet.front()->isEnded());
}

// Guards against requests that together hold all room, of which none can be
// read to its end.
TEST_CASE("requests that hold all room together are served one by one",
          "[bounded]") {
  constexpr std::size_t BodyBytes = 400'000;
  echo_server Server(BodyBytes, {32, 400});
  auto Request = postRequest("/x", std::string(BodyBytes, 'b'));
  std::vector<std::unique_ptr<caller_connection>> Callers;
  for (int Index = 0; Index != 4; ++Index)
    Callers.push_back(std::make_unique<caller_connection>(Server.Port));
  // A half of each exceeds the room of the address already.
  for (auto &Caller : Callers)
    REQUIRE(Caller->send(std::string_view(Request).substr(0, 200'000)));
  std::vector<std::thread> Senders;
  std::vector<exchange> Results(Callers.size());
  for (std::size_t Index = 0; Index != Callers.size(); ++Index)
    Senders.emplace_back([&, Index] {
      Callers[Index]->send(std::string_view(Request).substr(200'000));
      Results[Index] = Callers[Index]->receive();
    });
  for (auto &Sender : Senders)
    Sender.join();
  for (const auto &Result : Results)
    CHECK(Result.Status == 200);
}
