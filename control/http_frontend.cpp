#include "control/http_frontend.h"

#include "control/http_operations.h"
#include "core/event_log.h"
#include "declaration/declaration.h"
#include "http/bounded_parser.h"
#include "http/connection_drain.h"
#include "http/response_room.h"
#include "http/tracked_socket.h"

#include <restinio/all.hpp>

#include <atomic>
#include <future>
#include <map>
#include <optional>
#include <thread>
#include <utility>

namespace lycheetrestle::control {

namespace {

using router = restinio::router::express_router_t<>;
using handler = std::function<restinio::request_handling_status_t(
    restinio::request_handle_t)>;

struct frontend_traits : public restinio::default_single_thread_traits_t {
  using request_handler_t = handler;
  using stream_socket_t = http::tracked_socket;
  using http_methods_mapper_t = http::bounded_http_methods;
};

// Limit of requests without an answer; each of them keeps its body in memory.
constexpr std::size_t MaxPending = 4096;

// Limits for one request.
constexpr std::size_t MaxUrlBytes = 4096;
constexpr std::size_t MaxFieldNameBytes = 256;
constexpr std::size_t MaxFieldValueBytes = 8192;
constexpr std::size_t MaxFields = 64;
constexpr std::size_t MaxBodyBytes = declaration::MaxDeclarationBytes;
constexpr auto ReadTimeout = std::chrono::seconds(60);
constexpr auto HandleTimeout = std::chrono::seconds(30);
constexpr auto WriteTimeout = std::chrono::seconds(30);

std::string toText(restinio::string_view_t View) {
  return std::string(View.data(), View.size());
}

operator_request readRequest(const restinio::request_handle_t &Request) {
  operator_request Result;
  const auto &Header = Request->header();
  Result.Submission = Header.get_field_or("X-Submission-Id", "");
  Result.Actor = Header.get_field_or("X-Actor", "");
  Result.Body = Request->body();
  auto Query = restinio::parse_query(Header.query());
  for (const auto &[Name, Value] : Query)
    Result.Parameters.emplace(toText(Name), toText(Value));
  return Result;
}

} // namespace

class http_frontend::implementation {
public:
  implementation(http_frontend_settings NewSettings,
                 core::bounded_ring<control_request> &Requests,
                 core::metrics_registry &Metrics)
      : Listen(std::move(NewSettings.Listen)), Requests(Requests),
        Metrics(Metrics), Answers(MaxPending, AnswerSignal),
        Limits(http::limitConnections(NewSettings.Limits, MaxBodyBytes,
                                      ReadTimeout)),
        Room(Limits.Budget.SharedBytes), Work(asio::make_work_guard(Context)),
        Drain(Context), Registry(asio::use_service<http::connection_registry>(
                            static_cast<asio::execution_context &>(Context))),
        Router(makeRouter()) {
    Limits.Metrics = &Metrics;
    Registry.limit(Context, Limits);
    AnswerSignal.setForward(
        [this] { asio::post(Context, [this] { sendAnswers(); }); });
  }

  ~implementation() { stop(); }

  std::string start() {
    std::promise<std::string> Opened;
    auto Result = Opened.get_future();
    try {
      Server.emplace(
          restinio::external_io_context(Context), [&](auto &Settings) {
            Settings.address(Listen.Address)
                .port(Listen.Port)
                .request_handler(
                    [this](auto Request) { return handle(std::move(Request)); })
                .acceptor_options_setter([](auto &Options) {
                  Options.set_option(asio::socket_base::reuse_address(true));
                  http::limitKernelBuffers(Options);
                })
                .incoming_http_msg_limits(
                    restinio::incoming_http_msg_limits_t()
                        .max_url_size(MaxUrlBytes)
                        .max_field_name_size(MaxFieldNameBytes)
                        .max_field_value_size(MaxFieldValueBytes)
                        .max_field_count(MaxFields)
                        .max_body_size(MaxBodyBytes))
                .read_next_http_message_timelimit(ReadTimeout)
                .handle_request_timeout(HandleTimeout)
                .write_http_response_timelimit(WriteTimeout);
          });
    } catch (const std::exception &Exception) {
      return Exception.what();
    }
    Server->open_async([&] { Opened.set_value(""); },
                       [&](std::exception_ptr Error) {
                         try {
                           std::rethrow_exception(Error);
                         } catch (const std::exception &Exception) {
                           Opened.set_value(Exception.what());
                         }
                       });
    Thread = std::thread([this] { run(); });
    auto Reason = Result.get();
    if (!Reason.empty())
      return "cannot listen on " + Listen.Address + ":" +
             std::to_string(Listen.Port) + ": " + Reason;
    return "";
  }

  bool deliver(control_answer &&Answer) {
    return Answers.push(std::move(Answer));
  }

  void setReady(bool Value) { Ready = Value; }

  void stop() {
    if (!Thread.joinable())
      return;
    asio::post(Context, [this] {
      IsStopping = true;
      sendAnswers();
      failPending();
      Drain.start([this] { Server->close_sync(); });
    });
    Thread.join();
  }

private:
  restinio::request_handling_status_t
  handle(restinio::request_handle_t Request) {
    Registry.passOn(clientOf(*Request));
    if (!http::isTooLarge(*Request))
      return (*Router)(std::move(Request));
    Registry.countRefusal("body_size");
    respond(
        Request,
        failureAnswer(
            0, {core::error_code::TooLarge,
                "must have at most " + std::to_string(MaxBodyBytes) + " bytes",
                "body", Request->header().get_field_or("Content-Length", ""),
                core::verdict::NotRun}),
        "application/json", true);
    return restinio::request_accepted();
  }

  http::client_key clientOf(const restinio::request_t &Request) const {
    return {Request.remote_endpoint(), Listen.Port};
  }

  /// \param MustClose whether the response ends its connection.
  void respond(const restinio::request_handle_t &Request,
               const control_answer &Answer, const char *ContentType,
               bool MustClose = false) {
    // A read changes nothing, so that it can be refused now.
    if (Request->header().method() == restinio::http_method_get() &&
        !Room.fits(Answer.Body.size())) {
      Registry.countRefusal("response_room");
      return respond(Request,
                     failureAnswer(0, {core::error_code::Overloaded,
                                       "too many large responses are not yet "
                                       "received; try again",
                                       "", "", core::verdict::NotRun}),
                     "application/json", true);
    }
    auto Response = Request->create_response(restinio::http_status_line_t(
        restinio::http_status_code_t(Answer.Status),
        Answer.Status == 200 ? "OK" : "Error"));
    Response.append_header(restinio::http_field::content_type, ContentType);
    if (!Answer.Leader.empty())
      Response.append_header("X-Leader", Answer.Leader);
    if (IsStopping || MustClose)
      Response.connection_close();
    Response.set_body(Answer.Body);
    Response.done([this, Client = clientOf(*Request),
                   Held = Room.hold(Answer.Body.size())](
                      const asio::error_code &) { Registry.complete(Client); });
  }

  void respondJson(const restinio::request_handle_t &Request,
                   const control_answer &Answer) {
    respond(Request, Answer, "application/json");
  }

  void respondFailure(const restinio::request_handle_t &Request,
                      const core::failure &Failure) {
    respondJson(Request, failureAnswer(0, Failure));
  }

  void run() {
    while (!Context.stopped()) {
      try {
        Context.run();
      } catch (const std::exception &Exception) {
        core::logEvent(core::log_level::Error, "http_failed",
                       {{"reason", Exception.what()}});
      }
    }
  }

  void sendAnswers() {
    Answers.drain([this](control_answer &&Answer) {
      auto Found = Pending.find(Answer.Id);
      if (Found == Pending.end())
        return;
      respondJson(Found->second, Answer);
      Pending.erase(Found);
    });
  }

  void failPending() {
    for (const auto &[Id, Request] : Pending)
      respondFailure(Request,
                     {core::error_code::Unavailable,
                      "the process shut down before the outcome was known; "
                      "resend under the same submission id",
                      "", "", core::verdict::MayHaveRun});
    Pending.clear();
  }

  /// Passes an operation to the control thread, or answers a failure at once.
  /// \param Parse parses the request into an operation.
  template <typename Callable>
  restinio::request_handling_status_t
  forward(const restinio::request_handle_t &Request, Callable &&Parse) {
    auto Outcome = core::capture(std::forward<Callable>(Parse));
    if (auto *Failure = std::get_if<core::failure>(&Outcome)) {
      // Parsing has no side effects.
      Failure->Verdict = core::verdict::NotRun;
      respondFailure(Request, *Failure);
      return restinio::request_accepted();
    }
    if (IsStopping) {
      respondFailure(Request,
                     {core::error_code::Unavailable,
                      "the process is shutting down; send the request to "
                      "another replica",
                      "", "", core::verdict::NotRun});
      return restinio::request_accepted();
    }
    control_request Next{++LastId, std::move(std::get<0>(Outcome))};
    if (Pending.size() >= MaxPending || !Requests.push(std::move(Next))) {
      respondFailure(Request, {core::error_code::Overloaded,
                               "too many requests are pending; try again", "",
                               "", core::verdict::NotRun});
      return restinio::request_accepted();
    }
    Pending.emplace(LastId, Request);
    return restinio::request_accepted();
  }

  void addQuery(router &Router, const char *Path, query_kind Kind) {
    Router.http_get(Path, [this, Kind](auto Request, auto) {
      return forward(Request, [&]() -> core::result<operation> {
        query_operation Query;
        Query.Kind = Kind;
        return operation(std::move(Query));
      });
    });
  }

  std::unique_ptr<router> makeRouter() {
    auto Router = std::make_unique<router>();
    addQuery(*Router, "/v1/status", query_kind::Status);
    addQuery(*Router, "/v1/declarations", query_kind::Declarations);
    addQuery(*Router, "/v1/hosts", query_kind::Hosts);
    addQuery(*Router, "/v1/waves", query_kind::Waves);
    addQuery(*Router, "/v1/jobs", query_kind::Jobs);
    addQuery(*Router, "/v1/replicas", query_kind::Replicas);
    addParsedRoutes(*Router);
    addLocalRoutes(*Router);
    return Router;
  }

  void addParsedRoutes(router &Router) {
    Router.http_get("/v1/declarations/:number",
                    [this](auto Request, auto Path) {
                      return forward(Request, [&] {
                        return declarationQuery(toText(Path["number"]));
                      });
                    });
    Router.http_get("/v1/audit", [this](auto Request, auto) {
      return forward(Request,
                     [&] { return auditOperation(readRequest(Request)); });
    });
    Router.http_post("/v1/declarations", [this](auto Request, auto) {
      return forward(
          Request, [&] { return declarationOperation(readRequest(Request)); });
    });
    Router.http_post("/v1/hosts/:host/:verb", [this](auto Request, auto Path) {
      return forward(Request, [&] {
        return hostOperation(
            restinio::utils::unescape_percent_encoding(Path["host"]),
            toText(Path["verb"]), readRequest(Request));
      });
    });
    Router.http_post("/v1/maintenance/:verb", [this](auto Request, auto Path) {
      return forward(Request, [&] {
        return maintenanceOperation(toText(Path["verb"]), readRequest(Request));
      });
    });
    Router.http_post("/v1/jobs", [this](auto Request, auto) {
      return forward(Request,
                     [&] { return jobOperation(readRequest(Request)); });
    });
    Router.http_delete("/v1/jobs/:id", [this](auto Request, auto Path) {
      return forward(Request, [&] {
        return cancelOperation(toText(Path["id"]), readRequest(Request));
      });
    });
  }

  void addLocalRoutes(router &Router) {
    Router.http_get("/healthz", [this](auto Request, auto) {
      respondJson(Request, {0, 200, R"({"alive":true})", ""});
      return restinio::request_accepted();
    });
    Router.http_get("/readyz", [this](auto Request, auto) {
      if (Ready)
        respondJson(Request, {0, 200, R"({"ready":true})", ""});
      else
        respondFailure(Request, {core::error_code::Unavailable,
                                 "no leader is known, or this replica is "
                                 "shutting down",
                                 "", "", core::verdict::NotRun});
      return restinio::request_accepted();
    });
    Router.http_get("/metrics", [this](auto Request, auto) {
      respond(Request, {0, 200, Metrics.expose(), ""},
              "text/plain; version=0.0.4");
      return restinio::request_accepted();
    });
    Router.non_matched_request_handler([this](auto Request) {
      respondFailure(Request,
                     {core::error_code::NotFound,
                      "no route for this method and path", "path",
                      toText(Request->header().path()), core::verdict::NotRun});
      return restinio::request_accepted();
    });
  }

  socket_address Listen;
  core::bounded_ring<control_request> &Requests;
  core::metrics_registry &Metrics;
  core::ring_signal AnswerSignal;
  core::bounded_ring<control_answer> Answers;
  http::connection_limits Limits;
  http::response_room Room; ///< Responses in Context refer to it.
  asio::io_context Context{1};
  asio::executor_work_guard<asio::io_context::executor_type> Work;
  http::connection_drain Drain;
  http::connection_registry &Registry;
  std::unique_ptr<router> Router;
  std::optional<restinio::http_server_t<frontend_traits>> Server;
  std::map<std::uint64_t, restinio::request_handle_t> Pending;
  std::uint64_t LastId = 0;
  bool IsStopping = false; ///< Used only on the server's thread.
  std::atomic<bool> Ready = false;
  std::thread Thread;
};

http_frontend::http_frontend(http_frontend_settings Settings,
                             core::bounded_ring<control_request> &Requests,
                             core::metrics_registry &Metrics)
    : Impl(std::make_unique<implementation>(std::move(Settings), Requests,
                                            Metrics)) {}

http_frontend::~http_frontend() = default;

std::string http_frontend::start() { return Impl->start(); }

bool http_frontend::deliver(control_answer &&Answer) {
  return Impl->deliver(std::move(Answer));
}

void http_frontend::setReady(bool Ready) { Impl->setReady(Ready); }

void http_frontend::stop() { Impl->stop(); }

} // namespace lycheetrestle::control
