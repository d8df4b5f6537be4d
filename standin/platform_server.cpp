#include "standin/platform_server.h"

#include "core/clock.h"
#include "core/object_reader.h"
#include "platform/codec.h"

#include <restinio/all.hpp>

#include <future>
#include <thread>
#include <utility>

namespace lycheetrestle::standin {

namespace {

using nlohmann::json;

// Orders and faults are small; a larger body is an error of the client.
constexpr std::uint64_t MaxBodyBytes = 64 * 1024;

struct reply {
  int Status = 200;
  std::string Body = "{}";
};

int statusOf(core::error_code Code) {
  switch (Code) {
  case core::error_code::BadInput:
    return 400;
  case core::error_code::NotFound:
    return 404;
  case core::error_code::Conflict:
  case core::error_code::StaleEpoch:
    return 409;
  case core::error_code::TooLarge:
    return 413;
  default:
    return 503;
  }
}

reply replyOf(const core::failure &Failure) {
  return {statusOf(Failure.Code),
          json{{"error", core::toString(Failure.Code)},
               {"message", Failure.Message},
               {"field", Failure.Field},
               {"value", Failure.Value},
               {"verdict", core::toString(Failure.Verdict)}}
              .dump(-1, ' ', false, json::error_handler_t::replace)};
}

std::int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             core::boot_clock::now().time_since_epoch())
      .count();
}

std::string encodeExecuted(const platform_model &Model) {
  json Orders = json::array();
  for (const auto &Executed : Model.executed()) {
    const auto &Order = Executed.Order;
    json Entry = {{"kind", platform::toString(Order.Kind)},
                  {"host", Order.Host},
                  {"epoch", Order.Epoch},
                  {"at_ms", Executed.AtMs}};
    if (!Order.TargetPool.empty())
      Entry["target_pool"] = Order.TargetPool;
    if (Order.Job != 0) {
      Entry["job"] = Order.Job;
      Entry["lease"] = Order.Lease;
    }
    Orders.push_back(std::move(Entry));
  }
  return json{{"orders", std::move(Orders)},
              {"executed", Model.executedCount()},
              {"refused_as_stale", Model.refusedAsStale()}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

core::result<void> applyFault(platform_model &Model, std::string_view Text) {
  BOOST_LEAF_AUTO(Value, core::parseJson(Text, MaxBodyBytes));
  core::object_reader Reader(Value, "");
  auto Host = Reader.readName("host");
  host_faults Faults;
  Faults.Down = Reader.readBool("down", false);
  Faults.NoReturn = Reader.readBool("no_return", false);
  Faults.FailsEveryTask = Reader.readBool("fails_every_task", false);
  Faults.Slow = Reader.readBool("slow", false);
  BOOST_LEAF_CHECK(Reader.finish());
  if (!Model.setFaults(Host, Faults, nowMs()))
    return core::fail({core::error_code::NotFound, "the host does not exist",
                       "host", Host, core::verdict::NotRun});
  return {};
}

core::result<void> addHost(platform_model &Model, std::string_view Text) {
  BOOST_LEAF_AUTO(Value, core::parseJson(Text, MaxBodyBytes));
  core::object_reader Reader(Value, "");
  auto Host = Reader.readName("host");
  auto Pool = Reader.readName("pool");
  BOOST_LEAF_CHECK(Reader.finish());
  if (Model.faults(Host))
    return core::fail({core::error_code::Conflict, "the host exists already",
                       "host", Host, core::verdict::NotRun});
  Model.addHost(std::move(Host), std::move(Pool));
  return {};
}

reply answer(platform_model &Model, std::string_view Method,
             std::string_view Path, std::string_view Body) {
  if (Method == "GET" && Path == "/healthz")
    return {};
  if (Method == "GET" && Path == "/hosts")
    return {200, platform::encodeReports(Model.report(nowMs()))};
  if (Method == "GET" && Path == "/orders")
    return {200, encodeExecuted(Model)};
  std::optional<core::failure> Failure;
  if (Method == "POST" && Path == "/orders")
    Failure = core::captureFailure([&]() -> core::result<void> {
      BOOST_LEAF_AUTO(Order, platform::decodeOrder(Body));
      return Model.execute(Order, nowMs());
    });
  else if (Method == "POST" && Path == "/fault")
    Failure = core::captureFailure([&] { return applyFault(Model, Body); });
  else if (Method == "POST" && Path == "/hosts")
    Failure = core::captureFailure([&] { return addHost(Model, Body); });
  else
    Failure = core::failure{core::error_code::NotFound, "no such resource",
                            "path", std::string(Path), core::verdict::NotRun};
  return Failure ? replyOf(*Failure) : reply{};
}

} // namespace

class platform_server::implementation {
public:
  implementation(platform_model InitialModel, std::string Address,
                 std::uint16_t RequestedPort)
      : Model(std::move(InitialModel)) {
    using traits = restinio::default_single_thread_traits_t;
    std::promise<void> Opened;
    restinio::server_settings_t<traits> Settings;
    Settings.address(std::move(Address))
        .port(RequestedPort)
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}.max_body_size(MaxBodyBytes))
        .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor &Acceptor) {
          Port = Acceptor.local_endpoint().port();
        })
        .request_handler([this](const restinio::request_handle_t &Request) {
          return handle(Request);
        });
    Server = std::make_unique<restinio::http_server_t<traits>>(
        restinio::external_io_context(Context), std::move(Settings));
    Server->open_async([&Opened] { Opened.set_value(); },
                       [this, &Opened](std::exception_ptr Exception) {
                         Opened.set_exception(std::move(Exception));
                         Context.stop();
                       });
    Thread = std::thread([this] { Context.run(); });
    try {
      Opened.get_future().get();
    } catch (...) {
      Thread.join();
      throw;
    }
  }
  ~implementation() { stop(); }
  implementation(const implementation &) = delete;
  implementation &operator=(const implementation &) = delete;

  void stop() {
    if (!Thread.joinable())
      return;
    Server->close_async([this] { Context.stop(); },
                        [this](std::exception_ptr) { Context.stop(); });
    Thread.join();
  }
  std::uint16_t port() const { return Port; }

private:
  restinio::request_handling_status_t
  handle(const restinio::request_handle_t &Request) {
    auto Reply = answer(Model, Request->header().method().c_str(),
                        std::string(Request->header().path()), Request->body());
    auto Status = restinio::http_status_line_t{
        restinio::http_status_code_t(std::uint16_t(Reply.Status)),
        Reply.Status == 200 ? "OK" : "Refused"};
    return Request->create_response(std::move(Status))
        .append_header(restinio::http_field::content_type, "application/json")
        .set_body(std::move(Reply.Body))
        .done();
  }

  platform_model Model;
  asio::io_context Context;
  std::unique_ptr<
      restinio::http_server_t<restinio::default_single_thread_traits_t>>
      Server;
  std::uint16_t Port = 0;
  std::thread Thread;
};

platform_server::platform_server(platform_model Model, std::string Address,
                                 std::uint16_t Port)
    : Impl(std::make_unique<implementation>(std::move(Model),
                                            std::move(Address), Port)) {}
platform_server::~platform_server() = default;
std::uint16_t platform_server::port() const { return Impl->port(); }
void platform_server::stop() { Impl->stop(); }

} // namespace lycheetrestle::standin
