#include "http/server.h"

#include "core/event_log.h"
#include "core/thread_times.h"
#include "http/bounded_parser.h"
#include "http/connection_drain.h"
#include "http/response_room.h"
#include "http/tracked_socket.h"

#include <restinio/all.hpp>

#include <atomic>
#include <future>
#include <list>
#include <map>
#include <thread>
#include <utility>

namespace lycheetrestle::http {

namespace {

using handler = std::function<restinio::request_handling_status_t(
    restinio::request_handle_t)>;

struct server_traits : public restinio::default_single_thread_traits_t {
  using request_handler_t = handler;
  using stream_socket_t = tracked_socket;
  using http_methods_mapper_t = bounded_http_methods;
};

constexpr std::size_t ResponseRingSize = 8192;
constexpr std::size_t MaxUrlBytes = 8192;
constexpr std::size_t MaxFieldNameBytes = 256;
constexpr std::size_t MaxFieldValueBytes = 8192;
constexpr std::size_t MaxFields = 64;
// Clients keep connections open between requests.
constexpr auto IdleTimeout = std::chrono::seconds(120);
constexpr auto RequestTimeout = std::chrono::seconds(60);
constexpr auto WriteTimeout = std::chrono::seconds(10);
std::string toText(restinio::string_view_t View) {
  return std::string(View.data(), View.size());
}

std::string withoutPort(std::string Host) {
  auto Colon = Host.rfind(':');
  return Colon == std::string::npos ? Host : Host.substr(0, Colon);
}

const char *reasonPhrase(std::uint16_t Status) {
  if (Status < 300)
    return "OK";
  return Status < 400 ? "Redirect" : "Error";
}

} // namespace

class server::implementation {
public:
  implementation(server_settings NewSettings, local_handler NewLocal,
                 core::bounded_ring<server_request> &Requests)
      : Settings(std::move(NewSettings)), Local(std::move(NewLocal)),
        Requests(Requests), Responses(ResponseRingSize, ResponseSignal),
        Work(asio::make_work_guard(Context)), Drain(Context),
        Registry(asio::use_service<connection_registry>(
            static_cast<asio::execution_context &>(Context))) {
    if (Settings.Limits) {
      auto Limits = limitConnections(*Settings.Limits, Settings.MaxBodyBytes,
                                     Settings.RequestTimeout);
      Limits.ReservedPorts = Settings.ReservedPorts;
      Limits.Metrics = Settings.Metrics;
      ResponseRoom.emplace(Limits.Budget.SharedBytes);
      Registry.limit(Context, std::move(Limits));
    }
    ResponseSignal.setForward([this] {
      if (!IsSendPosted.exchange(true))
        asio::post(Context, [this] { sendResponses(); });
    });
  }

  ~implementation() { stop(); }

  std::string start() {
    std::list<std::promise<std::string>> Opened;
    for (const auto &Address : Settings.Listen) {
      auto &Promise = Opened.emplace_back();
      try {
        open(Address, Promise);
      } catch (const std::exception &Exception) {
        Promise.set_value(Exception.what());
      }
    }
    Thread = std::thread([this] { run(); });
    std::string Reason;
    auto Address = Settings.Listen.begin();
    for (auto &Promise : Opened) {
      auto Result = Promise.get_future().get();
      if (!Result.empty() && Reason.empty())
        Reason = "cannot listen on " + core::toString(*Address) + ": " + Result;
      ++Address;
    }
    return Reason;
  }

  bool deliver(server_response &&Response) {
    return Responses.push(std::move(Response));
  }

  void closeAfterResponses() { CloseConnections = true; }

  void refuseRequests() {
    if (!Thread.joinable())
      return;
    std::promise<void> Done;
    asio::post(Context, [this, &Done] {
      CloseConnections = true;
      IsRefusing = true;
      Done.set_value();
    });
    Done.get_future().wait();
  }

  std::size_t pendingRequests() const { return PendingCount; }

  void stop() {
    if (!Thread.joinable())
      return;
    refuseRequests();
    std::vector<std::uint64_t> NotTaken;
    Requests.drain(
        [&](server_request &&Request) { NotTaken.push_back(Request.Id); });
    asio::post(Context, [this, NotTaken = std::move(NotTaken)] {
      sendResponses();
      answerPending(NotTaken);
      Drain.start([this] {
        for (auto &Server : Servers)
          Server->close_sync();
      });
    });
    Thread.join();
  }

private:
  using server_type = restinio::http_server_t<server_traits>;

  struct open_request {
    restinio::request_handle_t Handle;
    client_key Client;
  };

  void open(const core::socket_address &Address,
            std::promise<std::string> &Opened) {
    auto Limits = restinio::incoming_http_msg_limits_t()
                      .max_url_size(MaxUrlBytes)
                      .max_field_name_size(MaxFieldNameBytes)
                      .max_field_value_size(MaxFieldValueBytes)
                      .max_field_count(MaxFields)
                      .max_body_size(Settings.MaxBodyBytes);
    Servers.push_back(std::make_unique<server_type>(
        restinio::external_io_context(Context), [&](auto &Server) {
          Server.address(Address.Address)
              .port(Address.Port)
              .request_handler([this, Port = Address.Port](auto Request) {
                return accept(std::move(Request), Port);
              })
              .incoming_http_msg_limits(Limits)
              .acceptor_options_setter(
                  [HasLimits = Settings.Limits.has_value()](auto &Options) {
                    Options.set_option(asio::socket_base::reuse_address(true));
                    if (HasLimits)
                      limitKernelBuffers(Options);
                  })
              .read_next_http_message_timelimit(IdleTimeout)
              .handle_request_timeout(RequestTimeout)
              .write_http_response_timelimit(WriteTimeout);
        }));
    Servers.back()->open_async([&Opened] { Opened.set_value(""); },
                               [&Opened](std::exception_ptr Error) {
                                 try {
                                   std::rethrow_exception(Error);
                                 } catch (const std::exception &Exception) {
                                   Opened.set_value(Exception.what());
                                 }
                               });
  }

  void run() {
    core::thread_times::registration Name("http_server");
    while (!Context.stopped()) {
      try {
        Context.run();
      } catch (const std::exception &Exception) {
        core::logEvent(core::log_level::Error, "http_failed",
                       {{"reason", Exception.what()}});
      }
    }
  }

  restinio::request_handling_status_t accept(restinio::request_handle_t Handle,
                                             std::uint16_t Port) {
    open_request Open{std::move(Handle), {}};
    Open.Client = {Open.Handle->remote_endpoint(), Port};
    Registry.passOn(Open.Client);
    if (isTooLarge(*Open.Handle)) {
      Registry.countRefusal("body_size");
      respond(Open, {413, {}, ""}, true);
      return restinio::request_accepted();
    }
    request Request = read(*Open.Handle);
    if (Local)
      if (auto Response = Local(Request)) {
        respond(Open, *Response);
        return restinio::request_accepted();
      }
    if (IsRefusing || Pending.size() >= Settings.MaxPending ||
        !Requests.push({++LastId, std::move(Request)})) {
      respond(Open, Refusal);
      return restinio::request_accepted();
    }
    Pending.emplace(LastId, std::move(Open));
    PendingCount = Pending.size();
    return restinio::request_accepted();
  }

  request read(const restinio::request_t &Message) const {
    const auto &Header = Message.header();
    request Request;
    Request.Method = Header.method().c_str();
    Request.Target = toText(Header.request_target());
    Request.Host = withoutPort(Header.get_field_or("Host", ""));
    for (const auto &Name : Settings.RetainedHeaders)
      if (Header.has_field(Name))
        Request.Headers.push_back({Name, Header.get_field(Name)});
    Request.Body = Message.body();
    return Request;
  }

  void sendResponses() {
    core::thread_times::record();
    IsSendPosted = false;
    Responses.drain([this](server_response &&Response) {
      auto Found = Pending.find(Response.Id);
      if (Found == Pending.end())
        return;
      respond(Found->second, Response.Response);
      Pending.erase(Found);
    });
    PendingCount = Pending.size();
  }

  /// Answers the requests that will get no response from the application.
  /// \param NotTaken ids of those that the application has not taken.
  void answerPending(const std::vector<std::uint64_t> &NotTaken) {
    for (auto Id : NotTaken)
      if (auto Found = Pending.find(Id); Found != Pending.end()) {
        respond(Found->second, Refusal);
        Pending.erase(Found);
      }
    for (const auto &[Id, Open] : Pending)
      respond(Open, {504, {}, ""});
    Pending.clear();
    PendingCount = 0;
  }

  /// \param MustClose whether the response ends its connection.
  void respond(const open_request &Open, const response &Response,
               bool MustClose = false) {
    const auto &Handle = Open.Handle;
    // A read changes nothing, so that it can be refused now.
    if (ResponseRoom &&
        Handle->header().method() == restinio::http_method_get() &&
        !ResponseRoom->fits(Response.Body.size())) {
      Registry.countRefusal("response_room");
      return respond(Open, Refusal, true);
    }
    auto Message = Handle->create_response(restinio::http_status_line_t(
        restinio::http_status_code_t(Response.Status),
        reasonPhrase(Response.Status)));
    for (const auto &Header : Response.Headers)
      Message.append_header(Header.Name, Header.Value);
    if (CloseConnections || MustClose)
      Message.connection_close();
    Message.set_body(Response.Body);
    if (!ResponseRoom)
      return void(Message.done());
    Message.done([this, Client = Open.Client,
                  Held = ResponseRoom->hold(Response.Body.size())](
                     const asio::error_code &) { Registry.complete(Client); });
  }

  /// The request has not run.
  const response Refusal{503, {{"Retry-After", "1"}}, ""};
  server_settings Settings;
  local_handler Local;
  core::bounded_ring<server_request> &Requests;
  core::ring_signal ResponseSignal;
  core::bounded_ring<server_response> Responses;
  /// With Limits. Responses in Context refer to it.
  std::optional<response_room> ResponseRoom;
  asio::io_context Context{1};
  asio::executor_work_guard<asio::io_context::executor_type> Work;
  connection_drain Drain;
  connection_registry &Registry;
  std::vector<std::unique_ptr<server_type>> Servers;
  std::map<std::uint64_t, open_request> Pending;
  std::atomic<std::size_t> PendingCount = 0;
  std::atomic<bool> IsSendPosted = false;
  std::atomic<bool> CloseConnections = false;
  bool IsRefusing = false; ///< Used only on the server's thread.
  std::uint64_t LastId = 0;
  std::thread Thread;
};

server::server(server_settings Settings, local_handler Local,
               core::bounded_ring<server_request> &Requests)
    : Impl(std::make_unique<implementation>(std::move(Settings),
                                            std::move(Local), Requests)) {}

server::~server() = default;

std::string server::start() { return Impl->start(); }

bool server::deliver(server_response &&Response) {
  return Impl->deliver(std::move(Response));
}

void server::closeAfterResponses() { Impl->closeAfterResponses(); }

void server::refuseRequests() { Impl->refuseRequests(); }

std::size_t server::pendingRequests() const { return Impl->pendingRequests(); }

void server::stop() { Impl->stop(); }

} // namespace lycheetrestle::http
