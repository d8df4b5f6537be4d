#include "platform/http_client.h"
#include "standin/platform_server.h"

#include <catch2/catch.hpp>

#include <asio.hpp>

#include <thread>

using namespace lycheetrestle;
using core::error_code;
using platform::order;
using platform::order_kind;

namespace {

standin::platform_model modelOfTwo() {
  standin::platform_model Model({}, standin::profileByJob);
  Model.addHost("w01", "gate");
  Model.addHost("w02", "records");
  return Model;
}

platform::http_client_settings settingsFor(std::uint16_t Port) {
  platform::http_client_settings Settings;
  Settings.Url = "http://127.0.0.1:" + std::to_string(Port);
  Settings.RequestTimeout = std::chrono::milliseconds(400);
  return Settings;
}

order makeOrder(order_kind Kind, std::string Host, std::uint64_t Epoch) {
  order Order;
  Order.Kind = Kind;
  Order.Host = std::move(Host);
  Order.Epoch = Epoch;
  return Order;
}

// Accepts one connection and sends the given bytes, whatever the request is.
class canned_server {
public:
  explicit canned_server(std::string Bytes)
      : Acceptor(Context, {asio::ip::address_v4::loopback(), 0}),
        Bytes(std::move(Bytes)) {
    Port = Acceptor.local_endpoint().port();
    Thread = std::thread([this] {
      asio::error_code Ignored;
      asio::ip::tcp::socket Socket(Context);
      Acceptor.accept(Socket, Ignored);
      std::array<char, 4096> Request{};
      Socket.read_some(asio::buffer(Request), Ignored);
      asio::write(Socket, asio::buffer(this->Bytes), Ignored);
      // Keeps the connection open until the client closes it.
      Socket.read_some(asio::buffer(Request), Ignored);
    });
  }
  ~canned_server() { Thread.join(); }

  std::uint16_t Port = 0;

private:
  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor;
  std::string Bytes;
  std::thread Thread;
};

std::optional<core::failure> reportFrom(platform::http_client &Client) {
  auto Outcome = core::capture([&] { return Client.report(); });
  if (auto *Failure = std::get_if<1>(&Outcome))
    return *Failure;
  return std::nullopt;
}

} // namespace

TEST_CASE("orders and reports survive the HTTP encoding") {
  standin::platform_server Server(modelOfTwo(), "127.0.0.1", 0);
  platform::http_client Client(settingsFor(Server.port()));
  auto Start = makeOrder(order_kind::StartTask, "w01", 3);
  Start.Job = 7;
  Start.Lease = 2;
  Start.LeaseMs = 10000;
  Start.Size = {4, 1024, 1};
  CHECK_FALSE(core::captureFailure([&] { return Client.execute(Start); }));
  auto Outcome = core::capture([&] { return Client.report(); });
  const auto &Reports = std::get<0>(Outcome);
  REQUIRE(Reports.size() == 2);
  CHECK(Reports[0].Host == "w01");
  CHECK(Reports[0].Epoch == 3);
  REQUIRE(Reports[0].Tasks.size() == 1);
  CHECK(Reports[0].Tasks[0].Job == 7);
  CHECK(Reports[0].Tasks[0].Lease == 2);
  CHECK(Reports[0].Tasks[0].LeaseLeftMs > 5000);
}

// The client must distinguish the two: an order with a stale epoch must not be
// repeated, one for an unreachable platform must.
TEST_CASE("a stale epoch and an unreachable platform give different failures") {
  auto Settings = settingsFor(0);
  {
    standin::platform_server Server(modelOfTwo(), "127.0.0.1", 0);
    Settings = settingsFor(Server.port());
    platform::http_client Client(Settings);
    auto Newer = makeOrder(order_kind::Drain, "w01", 5);
    auto Older = makeOrder(order_kind::Reboot, "w01", 4);
    CHECK_FALSE(core::captureFailure([&] { return Client.execute(Newer); }));
    auto Failure = core::captureFailure([&] { return Client.execute(Older); });
    REQUIRE(Failure);
    CHECK(Failure->Code == error_code::StaleEpoch);
    CHECK(Failure->Verdict == core::verdict::NotRun);
    auto Unknown = core::captureFailure(
        [&] { return Client.execute(makeOrder(order_kind::Drain, "w99", 1)); });
    REQUIRE(Unknown);
    CHECK(Unknown->Code == error_code::NotFound);
  }
  platform::http_client Client(Settings);
  auto Failure = core::captureFailure(
      [&] { return Client.execute(makeOrder(order_kind::Drain, "w01", 6)); });
  REQUIRE(Failure);
  CHECK(Failure->Code == error_code::Unavailable);
  CHECK(Failure->Verdict == core::verdict::NotRun);
}

// A platform that accepts the connection but never responds must not block the
// control loop.
TEST_CASE("an order to a platform that does not respond times out as may have "
          "run") {
  canned_server Server("");
  platform::http_client Client(settingsFor(Server.Port));
  auto Before = std::chrono::steady_clock::now();
  auto Failure = core::captureFailure(
      [&] { return Client.execute(makeOrder(order_kind::Drain, "w01", 1)); });
  REQUIRE(Failure);
  CHECK(Failure->Code == error_code::Unavailable);
  CHECK(Failure->Verdict == core::verdict::MayHaveRun);
  CHECK(std::chrono::steady_clock::now() - Before < std::chrono::seconds(2));
}

TEST_CASE("oversized, truncated and foreign responses give typed failures") {
  SECTION("larger than the limit") {
    canned_server Server("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" +
                         std::string(2000, 'x'));
    auto Settings = settingsFor(Server.Port);
    Settings.MaxResponseBytes = 1000;
    platform::http_client Client(Settings);
    CHECK(reportFrom(Client)->Code == error_code::TooLarge);
  }
  SECTION("shorter than its content length") {
    canned_server Server("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{}");
    platform::http_client Client(settingsFor(Server.Port));
    CHECK(reportFrom(Client)->Code == error_code::Unavailable);
  }
  SECTION("not a report") {
    canned_server Server(
        "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"hosts\": 3}");
    platform::http_client Client(settingsFor(Server.Port));
    CHECK(reportFrom(Client)->Code == error_code::BadInput);
  }
  SECTION("an error page of an intermediary") {
    canned_server Server(
        "HTTP/1.1 409 Conflict\r\nContent-Length: 4\r\n\r\noops");
    platform::http_client Client(settingsFor(Server.Port));
    CHECK(reportFrom(Client)->Code == error_code::Unavailable);
  }
}
