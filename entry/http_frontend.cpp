#include "entry/http_frontend.h"

#include "core/event_log.h"
#include "entry/request_reader.h"
#include "entry/ring_sender.h"
#include "http/bounded_parser.h"
#include "http/response_room.h"
#include "http/tracked_socket.h"

#include <restinio/all.hpp>

#include <algorithm>
#include <atomic>
#include <thread>
#include <unordered_map>

namespace lycheetrestle::entry {

namespace {

using core::boot_clock;

constexpr std::size_t MaxUrlBytes = 8000;
constexpr std::size_t MaxFieldBytes = 8000;
constexpr std::size_t MaxFields = 100;
constexpr std::size_t ReadBufferBytes = 8192;
// RESTinio detects that a caller closed its connection during a request only
// while it keeps reading, which it does only when pipelining is allowed.
constexpr std::size_t MaxPipelined = 2;
// Longest time in which a request must arrive completely.
constexpr auto RequestTimeout = std::chrono::seconds(30);
// Delay before disconnects that did not fit into the ring are pushed again.
constexpr auto FlushRetryInterval = std::chrono::milliseconds(5);

// Reports closed connections to the frontend.
class close_listener {
public:
  explicit close_listener(std::function<void(std::uint64_t)> OnClosed)
      : OnClosed(std::move(OnClosed)) {}

  void state_changed(const restinio::connection_state::notice_t &Notice) {
    if (std::holds_alternative<restinio::connection_state::closed_t>(
            Notice.cause()))
      OnClosed(Notice.connection_id());
  }

private:
  std::function<void(std::uint64_t)> OnClosed;
};

struct frontend_traits
    : public restinio::single_thread_traits_t<restinio::asio_timer_manager_t,
                                              restinio::null_logger_t> {
  using connection_state_listener_t = close_listener;
  using stream_socket_t = http::tracked_socket;
  using http_methods_mapper_t = http::bounded_http_methods;
};

using server = restinio::http_server_t<frontend_traits>;

std::string reasonPhrase(std::uint32_t Status) {
  switch (Status) {
  case 200:
    return "OK";
  case 400:
    return "Bad Request";
  case 404:
    return "Not Found";
  case 409:
    return "Conflict";
  case 413:
    return "Payload Too Large";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Status";
  }
}

request_view makeView(const restinio::request_t &Request) {
  const auto &Header = Request.header();
  request_view View;
  View.Method = Header.method().c_str();
  View.Target = Header.request_target();
  View.Body = Request.body();
  View.IsBodyTooLarge = http::isTooLarge(Request);
  View.FindHeader = [&Header](std::string_view Name) {
    header_values Values;
    Header.for_each_field([&](const auto &Field) {
      if (restinio::impl::is_equal_caseless(Field.name().data(),
                                            Field.name().size(), Name.data(),
                                            Name.size())) {
        Values.First = Values.Count == 0 ? Field.value() : Values.First;
        ++Values.Count;
      }
    });
    return Values;
  };
  return View;
}

} // namespace

class http_frontend::implementation {
public:
  implementation(http_frontend_settings Settings, frontend_rings Rings,
                 core::metrics_registry &Metrics, std::function<bool()> IsReady)
      : Settings(std::move(Settings)), Rings(Rings), Metrics(Metrics),
        IsReady(std::move(IsReady)), Disconnects(Rings.Events),
        Limits(makeLimits()), Room(Limits.Budget.SharedBytes), RetryTimer(Io),
        Registry(asio::use_service<http::connection_registry>(
            static_cast<asio::execution_context &>(Io))) {
    Registry.limit(Io, Limits);
  }

  ~implementation() { stop(); }

  std::string start() {
    try {
      Server = std::make_unique<server>(restinio::external_io_context(Io),
                                        makeSettings());
      Server->open_sync();
    } catch (const std::exception &Exception) {
      Server.reset();
      return Exception.what();
    }
    Rings.RepliesSignal.setForward([this] { postDrain(); });
    Thread = std::thread([this] { run(); });
    return {};
  }

  void stop() {
    if (!Thread.joinable())
      return;
    Rings.RepliesSignal.setForward({});
    Io.stop();
    Thread.join();
    Server.reset();
    Pending.clear();
  }

  std::uint16_t port() const { return Port; }
  void closeAfterResponses() { IsClosing = true; }
  bool isFlushed() const { return Unfinished == 0; }

  void closeListener() {
    asio::post(Io, [this] { Server->close_sync(); });
  }

private:
  // A request from its arrival until its response is written or the caller
  // disconnects.
  struct pending_request {
    restinio::request_handle_t Request;
    std::uint64_t Connection = 0;
    restinio::endpoint_t Client;
    std::string CorrelationId; ///< Empty for management requests.
    core::time_point Arrived;
    bool IsAnswered = false;
    bool MustClose = false; ///< The response ends its connection.
  };

  http::connection_limits makeLimits() {
    auto Result = http::limitConnections(Settings.Limits, Settings.MaxBodyBytes,
                                         RequestTimeout);
    Result.Budget.Connections =
        std::min(Result.Budget.Connections, Settings.MaxConnections);
    // The listener has no class of its own for monitoring and endpoints.
    Result.Budget.ReservedConnections = 0;
    Result.ReadsAhead = true;
    Result.Metrics = &Metrics;
    return Result;
  }

  restinio::server_settings_t<frontend_traits> makeSettings() {
    restinio::server_settings_t<frontend_traits> Server;
    Server.address(asio::ip::make_address(Settings.Listen.Address))
        .port(Settings.Listen.Port)
        .buffer_size(ReadBufferBytes)
        .read_next_http_message_timelimit(Settings.ReadTimeout)
        .write_http_response_timelimit(Settings.WriteTimeout)
        .handle_request_timeout(Settings.HandleTimeout)
        .max_pipelined_requests(MaxPipelined)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_url_size(MaxUrlBytes)
                                      .max_field_name_size(MaxFieldBytes)
                                      .max_field_value_size(MaxFieldBytes)
                                      .max_field_count(MaxFields)
                                      .max_body_size(Settings.MaxBodyBytes))
        .connection_state_listener(std::make_shared<close_listener>(
            [this](std::uint64_t Connection) { onClosed(Connection); }))
        .acceptor_options_setter([](auto &Options) {
          Options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
          http::limitKernelBuffers(Options);
        })
        .socket_options_setter([](auto &Options) {
          Options.set_option(asio::ip::tcp::no_delay(true));
        })
        .acceptor_post_bind_hook(
            [this](auto &Acceptor) { Port = Acceptor.local_endpoint().port(); })
        .request_handler([this](restinio::request_handle_t Request) {
          return onRequest(std::move(Request));
        });
    return Server;
  }

  void run() {
    for (;;) {
      try {
        Io.run();
        return;
      } catch (const std::exception &Exception) {
        // RESTinio closes the connection that caused the exception; the others
        // are still served.
        core::logEvent(core::log_level::Error, "http_exception",
                       {{"reason", Exception.what()}});
      }
    }
  }

  restinio::request_handling_status_t
  onRequest(restinio::request_handle_t Request) {
    auto Connection = Request->connection_id();
    // What follows a request over the limit may be the rest of its body.
    if (isEnding(Connection))
      return restinio::request_accepted();
    auto Id = ++LastId;
    auto View = makeView(*Request);
    Registry.passOn({Request->remote_endpoint(), std::uint16_t(0)});
    ++Unfinished;
    IdsByConnection[Connection].push_back(Id);
    Pending.emplace(Id, pending_request{Request,
                                        Connection,
                                        Request->remote_endpoint(),
                                        {},
                                        boot_clock::now(),
                                        false});
    if (View.Target.substr(0, ServicesPrefix.size()) == ServicesPrefix)
      onCallerRequest(Id, View);
    else
      onManagementRequest(Id, View);
    return restinio::request_accepted();
  }

  /// \returns whether a response that is outstanding ends the connection.
  bool isEnding(std::uint64_t Connection) const {
    auto Ids = IdsByConnection.find(Connection);
    return Ids != IdsByConnection.end() &&
           std::any_of(Ids->second.begin(), Ids->second.end(),
                       [this](std::uint64_t Id) {
                         auto Found = Pending.find(Id);
                         return Found != Pending.end() &&
                                Found->second.MustClose;
                       });
  }

  void onCallerRequest(std::uint64_t Id, const request_view &View) {
    Metrics.add("caller_requests_total");
    auto Outcome = readCallerRequest(View, Settings.MaxBodyBytes, [this, Id] {
      return Settings.CorrelationTag + "-" + std::to_string(Id);
    });
    Pending.at(Id).CorrelationId = Outcome.Request.CorrelationId;
    Pending.at(Id).MustClose = View.IsBodyTooLarge;
    if (!Outcome.Refusal.empty()) {
      routing::caller_response Response;
      Response.Id = Id;
      Response.Status = Outcome.Status;
      Response.Refusal = std::move(Outcome.Refusal);
      Response.ContentType = "application/json";
      Response.Body = std::move(Outcome.ErrorBody);
      return respond(std::move(Response));
    }
    Outcome.Request.Id = Id;
    frontend_event Event(std::move(Outcome.Request));
    if (Rings.Events.push(std::move(Event)))
      return;
    routing::caller_response Response;
    Response.Id = Id;
    Response.Refusal = "entry-overloaded";
    respond(std::move(Response));
  }

  void onManagementRequest(std::uint64_t Id, const request_view &View) {
    auto Path = View.Target.substr(0, View.Target.find('?'));
    if (View.IsBodyTooLarge) {
      Pending.at(Id).MustClose = true;
      return answer(Id, 413, "application/json",
                    errorJson(bodyTooLarge(View, Settings.MaxBodyBytes)));
    }
    if (Path == "/v1/announcements" && View.Method == "POST")
      return onAnnouncement(Id, View);
    bool IsRead = View.Method == "GET" || View.Method == "HEAD";
    if (Path == "/healthz" && IsRead)
      return answer(Id, 200, "text/plain", "alive\n");
    if (Path == "/readyz" && IsRead) {
      bool Ready = IsReady();
      return answer(Id, Ready ? 200 : 503, "text/plain",
                    Ready ? "ready\n" : "not ready\n");
    }
    if (Path == "/metrics" && IsRead)
      return answer(Id, 200, "text/plain; version=0.0.4", Metrics.expose());
    if (Path == "/v1/status" && IsRead)
      return pushOrRefuse(Id, status_call{Id});
    answer(Id, 404, "application/json",
           errorJson({core::error_code::NotFound, "no such path", "path",
                      std::string(Path), core::verdict::NotRun}));
  }

  void onAnnouncement(std::uint64_t Id, const request_view &View) {
    auto Parsed =
        core::capture([&] { return routing::parseAnnouncement(View.Body); });
    if (const auto *Failure = std::get_if<1>(&Parsed))
      return answer(Id, Failure->Code == core::error_code::TooLarge ? 413 : 400,
                    "application/json", errorJson(*Failure));
    pushOrRefuse(Id, announcement_call{Id, std::move(std::get<0>(Parsed))});
  }

  void pushOrRefuse(std::uint64_t Id, frontend_event Event) {
    if (!Rings.Events.push(std::move(Event)))
      answer(Id, 503, "application/json",
             errorJson({core::error_code::Overloaded,
                        "the queue of requests is full", "", "",
                        core::verdict::NotRun}));
  }

  void postDrain() {
    if (!IsDrainPosted.exchange(true))
      asio::post(Io, [this] { drainReplies(); });
  }

  void drainReplies() {
    IsDrainPosted = false;
    Rings.Replies.drain([this](frontend_reply &&Reply) {
      if (auto *Response = std::get_if<routing::caller_response>(&Reply))
        return respond(std::move(*Response));
      auto &Management = std::get<management_reply>(Reply);
      answer(Management.Id, Management.Status, "application/json",
             std::move(Management.Body));
    });
  }

  void respond(routing::caller_response Response) {
    auto Found = Pending.find(Response.Id);
    if (Found == Pending.end() || Found->second.IsAnswered)
      return;
    auto Verdict = std::string(core::toString(Response.Verdict));
    Metrics.add("caller_responses_total{verdict=\"" + Verdict + "\"}");
    auto Elapsed = boot_clock::now() - Found->second.Arrived;
    Metrics.observe("caller_response_ms",
                    std::chrono::duration<double, std::milli>(Elapsed).count());
    std::vector<std::pair<std::string, std::string>> Headers = {
        {"X-Request-Id", Found->second.CorrelationId}, {"X-Verdict", Verdict}};
    if (!Response.Refusal.empty()) {
      Metrics.add("caller_refusals_total{reason=\"" + Response.Refusal + "\"}");
      Headers.emplace_back("X-Refusal", Response.Refusal);
    }
    write(Found, Response.Status, std::move(Headers), Response.ContentType,
          std::move(Response.Body));
  }

  void answer(std::uint64_t Id, std::uint32_t Status,
              std::string_view ContentType, std::string Body) {
    auto Found = Pending.find(Id);
    if (Found != Pending.end() && !Found->second.IsAnswered)
      write(Found, Status, {}, ContentType, std::move(Body));
  }

  using pending_map = std::unordered_map<std::uint64_t, pending_request>;

  void write(pending_map::iterator Found, std::uint32_t Status,
             std::vector<std::pair<std::string, std::string>> Headers,
             std::string_view ContentType, std::string Body) {
    auto Id = Found->first;
    Found->second.IsAnswered = true;
    auto Request = std::move(Found->second.Request);
    // Requests that ran are answered in any case.
    if (!Room.fits(Body.size()))
      Registry.closeStalledWriters();
    auto Builder = Request->create_response(restinio::http_status_line_t(
        restinio::http_status_code_t(static_cast<std::uint16_t>(Status)),
        reasonPhrase(Status)));
    for (auto &[Name, Value] : Headers)
      Builder.append_header(std::move(Name), std::move(Value));
    if (!ContentType.empty())
      Builder.append_header("Content-Type", std::string(ContentType));
    if (IsClosing || Found->second.MustClose)
      Builder.connection_close();
    auto Held = Room.hold(Body.size());
    Builder.set_body(std::move(Body));
    Builder.done([this, Id, Held](const asio::error_code &) { finish(Id); });
  }

  // Called when the response was written or writing it failed.
  void finish(std::uint64_t Id) {
    auto Found = Pending.find(Id);
    if (Found == Pending.end())
      return;
    Registry.complete({Found->second.Client, std::uint16_t(0)});
    auto Ids = IdsByConnection.find(Found->second.Connection);
    if (Ids != IdsByConnection.end()) {
      Ids->second.erase(std::remove(Ids->second.begin(), Ids->second.end(), Id),
                        Ids->second.end());
      if (Ids->second.empty())
        IdsByConnection.erase(Ids);
    }
    Pending.erase(Found);
    --Unfinished;
  }

  void onClosed(std::uint64_t Connection) {
    auto Ids = IdsByConnection.find(Connection);
    if (Ids == IdsByConnection.end())
      return;
    for (auto Id : Ids->second) {
      auto Found = Pending.find(Id);
      if (Found == Pending.end())
        continue;
      if (!Found->second.IsAnswered) {
        Metrics.add("callers_gone_total");
        Disconnects.send(caller_disconnected{Id});
      }
      Pending.erase(Found);
      --Unfinished;
    }
    IdsByConnection.erase(Ids);
    flushDisconnects();
  }

  void flushDisconnects() {
    if (Disconnects.flush())
      return;
    RetryTimer.expires_after(FlushRetryInterval);
    RetryTimer.async_wait([this](const asio::error_code &Error) {
      if (!Error)
        flushDisconnects();
    });
  }

  http_frontend_settings Settings;
  frontend_rings Rings;
  core::metrics_registry &Metrics;
  std::function<bool()> IsReady;
  ring_sender<frontend_event> Disconnects;
  http::connection_limits Limits;
  http::response_room Room; ///< Responses in Io refer to it.
  asio::io_context Io{1};
  asio::steady_timer RetryTimer;
  http::connection_registry &Registry;
  std::unique_ptr<server> Server;
  std::thread Thread;
  pending_map Pending;
  std::unordered_map<std::uint64_t, std::vector<std::uint64_t>> IdsByConnection;
  std::uint64_t LastId = 0;
  std::uint16_t Port = 0;
  std::atomic<std::uint64_t> Unfinished{0}; ///< Size of Pending.
  std::atomic<bool> IsClosing{false};
  std::atomic<bool> IsDrainPosted{false};
};

http_frontend::http_frontend(http_frontend_settings Settings,
                             frontend_rings Rings,
                             core::metrics_registry &Metrics,
                             std::function<bool()> IsReady)
    : Impl(std::make_unique<implementation>(std::move(Settings), Rings, Metrics,
                                            std::move(IsReady))) {}

http_frontend::~http_frontend() = default;

std::string http_frontend::start() { return Impl->start(); }

std::uint16_t http_frontend::port() const { return Impl->port(); }

void http_frontend::closeAfterResponses() { Impl->closeAfterResponses(); }

void http_frontend::closeListener() { Impl->closeListener(); }

bool http_frontend::isFlushed() const { return Impl->isFlushed(); }

void http_frontend::stop() { Impl->stop(); }

} // namespace lycheetrestle::entry
