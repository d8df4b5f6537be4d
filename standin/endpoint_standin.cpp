// A simulated endpoint for tests and the demo: it announces itself to entries,
// serves requests and injects faults that the entries must tolerate.
#include "core/clock.h"
#include "standin/announcer.h"
#include "standin/execution_log.h"
#include "standin/payload.h"

#include <curl/curl.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <restinio/all.hpp>

#include <csignal>
#include <iostream>
#include <random>
#include <sstream>

DEFINE_string(name, "endpoint-1", "name of the endpoint");
DEFINE_string(service, "plots", "service that the endpoint serves");
DEFINE_string(pool, "gate", "pool of its host");
DEFINE_string(host, "w01", "host that the endpoint runs on");
DEFINE_string(zone, "zone-1", "availability zone of its host");
DEFINE_string(address, "127.0.0.1", "IP address to listen on and announce");
DEFINE_uint32(port, 0, "port to listen on; 0 for any free one");
DEFINE_string(entries, "", "ip:port of entries, separated by commas");
DEFINE_uint32(slots, 8, "maximum number of concurrent requests");
DEFINE_uint32(connections, 64, "announced limit of connections");
DEFINE_uint32(service_ms, 20, "mean service time of a request in ms");
DEFINE_bool(vary, false, "draw service times from an exponential distribution");
DEFINE_uint32(seed, 1, "seed of the service times and faults");
DEFINE_uint32(response_bytes, 200, "payload of a response in bytes");
DEFINE_string(execution_file, "", "file that gets a line for each execution");
DEFINE_string(fault, "none",
              "none, late, crossed, truncated, oversized, never-ending, drop "
              "or refuse");
DEFINE_uint32(fault_percent, 100, "percentage of requests with the fault");
DEFINE_uint32(late_ms, 5000, "added service time of the fault late, in ms");
DEFINE_uint32(oversized_bytes, 8u << 20,
              "payload of the fault oversized, in bytes");
DEFINE_uint32(quiet_ms, 3000,
              "time without a request, in ms, after which a leaving endpoint "
              "exits; at least the longest time for which an entry may use an "
              "outdated announcement");
DEFINE_uint32(max_seconds, 600,
              "time after which the process exits in any case");

namespace lycheetrestle::standin {

namespace {

using clock = std::chrono::steady_clock;

constexpr std::size_t MaxBodyBytes = 64u << 20;
constexpr auto ChunkInterval = std::chrono::milliseconds(50);
constexpr auto LeavePollInterval = std::chrono::milliseconds(20);

using traits = restinio::single_thread_traits_t<restinio::asio_timer_manager_t,
                                                restinio::null_logger_t>;
using server = restinio::http_server_t<traits>;

enum class fault {
  None,
  Late,
  Crossed,
  Truncated,
  Oversized,
  NeverEnding,
  Drop,
  Refuse
};

std::optional<fault> parseFault(std::string_view Name) {
  constexpr std::pair<std::string_view, fault> Names[] = {
      {"none", fault::None},           {"late", fault::Late},
      {"crossed", fault::Crossed},     {"truncated", fault::Truncated},
      {"oversized", fault::Oversized}, {"never-ending", fault::NeverEnding},
      {"drop", fault::Drop},           {"refuse", fault::Refuse}};
  for (const auto &[Known, Fault] : Names)
    if (Known == Name)
      return Fault;
  return std::nullopt;
}

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');)
    if (!Part.empty())
      Parts.push_back(Part);
  return Parts;
}

std::string headerOf(const restinio::request_t &Request, const char *Name) {
  return Request.header().get_field_or(Name, std::string());
}

// Entries do not forward the idempotency key, so the load client also sends it
// as the only query parameter.
std::string keyOf(const restinio::request_t &Request) {
  constexpr std::string_view Name = "key=";
  std::string_view Query = Request.header().query();
  if (Query.substr(0, Name.size()) == Name)
    return std::string(Query.substr(Name.size()));
  return headerOf(Request, "Idempotency-Key");
}

// Closes the connection of a request without sending a response.
void dropConnection(restinio::request_t &Request) {
  auto Connection = std::move(restinio::impl::access_req_connection(Request));
  if (!Connection)
    return;
  Connection->write_response_parts(
      Request.request_id(),
      restinio::response_output_flags_t{
          restinio::response_parts_attr_t::final_parts,
          restinio::response_connection_attr_t::connection_close},
      restinio::write_group_t{restinio::writable_items_container_t{}});
}

class endpoint {
public:
  endpoint()
      : LeaveTimer(Io), MaxRunTimer(Io), Signals(Io, SIGTERM, SIGINT),
        Announcer(splitList(FLAGS_entries), [this] { return makeBody(); }),
        Random(FLAGS_seed), Incarnation(std::random_device()() | 1u) {}

  int run() {
    auto Parsed = parseFault(FLAGS_fault);
    if (!Parsed) {
      std::cerr << "unknown fault: " << FLAGS_fault
                << "; expected none, late, crossed, truncated, oversized, "
                   "never-ending, drop or refuse\n";
      return 1;
    }
    Fault = *Parsed;
    FaultPercent = FLAGS_fault_percent;
    if (!Executions.open(FLAGS_execution_file, FLAGS_name)) {
      std::cerr << "cannot open " << FLAGS_execution_file << " for appending\n";
      return 1;
    }
    server Server(restinio::external_io_context(Io), makeSettings());
    try {
      Server.open_sync();
    } catch (const std::exception &Exception) {
      std::cerr << "cannot listen: " << Exception.what() << "\n";
      return 1;
    }
    std::cout << "port=" << Port << std::endl;
    waitForSignal();
    MaxRunTimer.expires_after(std::chrono::seconds(FLAGS_max_seconds));
    MaxRunTimer.async_wait([this](const asio::error_code &Error) {
      if (!Error)
        Io.stop();
    });
    if (!FLAGS_entries.empty())
      Announcer.start();
    Io.run();
    Announcer.stop();
    return 0;
  }

private:
  restinio::server_settings_t<traits> makeSettings() {
    restinio::server_settings_t<traits> Settings;
    Settings.address(asio::ip::make_address(FLAGS_address))
        .port(static_cast<std::uint16_t>(FLAGS_port))
        .read_next_http_message_timelimit(std::chrono::seconds(60))
        .handle_request_timeout(std::chrono::seconds(120))
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}.max_body_size(MaxBodyBytes))
        .acceptor_options_setter([](auto &Options) {
          Options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        })
        .acceptor_post_bind_hook(
            [this](auto &Acceptor) { Port = Acceptor.local_endpoint().port(); })
        .request_handler([this](restinio::request_handle_t Request) {
          return onRequest(std::move(Request));
        });
    return Settings;
  }

  void waitForSignal() {
    Signals.async_wait([this](const asio::error_code &Error, int) {
      if (Error)
        return;
      if (IsShuttingDown) // A second signal stops the process at once.
        return Io.stop();
      IsShuttingDown = true;
      startLeaving();
      waitForSignal();
    });
  }

  void startLeaving() {
    IsLeaving = true;
    LastRequest = clock::now();
    Announcer.announceNow();
    if (IsShuttingDown)
      stopWhenIdle();
  }

  void stopWhenIdle() {
    auto IdleTime = clock::now() - LastRequest;
    if (InFlight == 0 && IdleTime >= std::chrono::milliseconds(FLAGS_quiet_ms))
      return Io.stop();
    LeaveTimer.expires_after(LeavePollInterval);
    LeaveTimer.async_wait([this](const asio::error_code &Error) {
      if (!Error)
        stopWhenIdle();
    });
  }

  // Runs on the announcer's thread.
  std::string makeBody() {
    return nlohmann::json{
        {"endpoint", FLAGS_name},
        {"incarnation", Incarnation},
        {"sequence", ++Sequence},
        {"service", FLAGS_service},
        {"pool", FLAGS_pool},
        {"host", FLAGS_host},
        {"zone", FLAGS_zone},
        {"address", FLAGS_address + ":" + std::to_string(Port.load())},
        {"slots", FLAGS_slots},
        {"connections", FLAGS_connections},
        {"state", IsLeaving ? "leaving" : "ready"},
        {"in_flight", InFlight.load()}}
        .dump();
  }

  restinio::request_handling_status_t
  onRequest(restinio::request_handle_t Request) {
    auto Path = Request->header().path();
    bool IsPost = Request->header().method() == restinio::http_method_post();
    if (Path == "/executions")
      return respondJson(*Request, Executions.json());
    if (Path == "/state")
      return respondJson(*Request, stateJson());
    if (Path == "/fault" && IsPost)
      return setFault(*Request);
    if (Path == "/leave" && IsPost) {
      startLeaving();
      return respondJson(*Request, "{\"leaving\":true}");
    }
    serve(std::move(Request));
    return restinio::request_accepted();
  }

  restinio::request_handling_status_t respondJson(restinio::request_t &Request,
                                                  std::string Body) {
    return Request.create_response()
        .append_header("Content-Type", "application/json")
        .set_body(std::move(Body))
        .done();
  }

  std::string stateJson() const {
    return nlohmann::json{{"in_flight", InFlight.load()},
                          {"leaving", IsLeaving.load()},
                          {"received", Received},
                          {"refused", Refused},
                          {"received_after_leaving", ReceivedAfterLeaving},
                          {"executions", Executions.total()},
                          {"announcements", Announcer.accepted()},
                          {"announcements_failed", Announcer.failed()}}
        .dump();
  }

  // Body: {"fault": name, "percent": number}.
  restinio::request_handling_status_t setFault(restinio::request_t &Request) {
    auto Body = nlohmann::json::parse(Request.body(), nullptr, false);
    bool IsValid =
        Body.is_object() && Body.contains("fault") && Body["fault"].is_string();
    auto Parsed =
        IsValid ? parseFault(Body["fault"].get<std::string>()) : std::nullopt;
    if (!Parsed)
      return Request.create_response(restinio::status_bad_request()).done();
    Fault = *Parsed;
    FaultPercent = 100;
    if (Body.contains("percent") && Body["percent"].is_number_unsigned())
      FaultPercent = Body["percent"].get<std::uint32_t>();
    return respondJson(Request, "{\"set\":true}");
  }

  void serve(restinio::request_handle_t Request) {
    ++Received;
    LastRequest = clock::now();
    if (IsLeaving)
      ++ReceivedAfterLeaving;
    auto InjectedFault = drawFault();
    if (InFlight >= FLAGS_slots || InjectedFault == fault::Refuse) {
      ++Refused;
      startResponse(*Request, restinio::status_service_unavailable(),
                    headerOf(*Request, "X-Request-Id"))
          .append_header("X-Verdict", "not-run")
          .done();
      return;
    }
    ++InFlight;
    auto ServiceTime = std::chrono::milliseconds(drawServiceMs());
    if (InjectedFault == fault::Late)
      ServiceTime += std::chrono::milliseconds(FLAGS_late_ms);
    auto Timer = std::make_shared<asio::steady_timer>(Io, ServiceTime);
    Timer->async_wait(
        [this, Timer, Request, InjectedFault](const asio::error_code &) {
          // The slot is free before the caller can see the response.
          --InFlight;
          LastRequest = clock::now();
          execute(*Request, InjectedFault);
        });
  }

  fault drawFault() {
    if (Fault == fault::None || Random() % 100 >= FaultPercent)
      return fault::None;
    return Fault;
  }

  std::uint32_t drawServiceMs() {
    if (!FLAGS_vary)
      return FLAGS_service_ms;
    std::exponential_distribution<double> Times(
        1.0 / std::max<double>(1, FLAGS_service_ms));
    return static_cast<std::uint32_t>(Times(Random));
  }

  restinio::response_builder_t<restinio::restinio_controlled_output_t>
  startResponse(restinio::request_t &Request,
                restinio::http_status_line_t Status, const std::string &Id) {
    auto Builder = Request.create_response(std::move(Status));
    Builder.append_header("X-Request-Id", Id);
    Builder.append_header("Content-Type", "text/plain");
    return Builder;
  }

  void execute(restinio::request_t &Request, fault InjectedFault) {
    auto Id = headerOf(Request, "X-Request-Id");
    Executions.record(Request.header().method().c_str(), keyOf(Request), Id);
    // A crossed response carries the id and body of the previous request.
    auto Other = PreviousId.empty() ? Id + "-other" : PreviousId;
    PreviousId = Id;
    switch (InjectedFault) {
    case fault::Drop:
      return dropConnection(Request);
    case fault::Crossed:
      return respondWith(Request, Other, FLAGS_response_bytes);
    case fault::Oversized:
      return respondWith(Request, Id, FLAGS_oversized_bytes);
    case fault::Truncated:
      return truncate(Request, Id);
    case fault::NeverEnding:
      return startEndless(Request, Id);
    default:
      return respondWith(Request, Id, FLAGS_response_bytes);
    }
  }

  void respondWith(restinio::request_t &Request, const std::string &Id,
                   std::size_t Size) {
    startResponse(Request, restinio::status_ok(), Id)
        .set_body(makePayload(Id, Size))
        .done();
  }

  // Sends the full Content-Length with half of the body, then closes.
  void truncate(restinio::request_t &Request, const std::string &Id) {
    auto Body = makePayload(Id, FLAGS_response_bytes);
    auto Builder =
        Request.create_response<restinio::user_controlled_output_t>();
    Builder.append_header("X-Request-Id", Id);
    Builder.connection_close();
    Builder.set_content_length(Body.size());
    Builder.set_body(Body.substr(0, Body.size() / 2));
    Builder.done();
  }

  using chunked_builder =
      restinio::response_builder_t<restinio::chunked_output_t>;

  // Sends chunks until the client closes the connection.
  void startEndless(restinio::request_t &Request, const std::string &Id) {
    auto Builder = std::make_shared<chunked_builder>(
        Request.create_response<restinio::chunked_output_t>());
    Builder->append_header("X-Request-Id", Id);
    sendChunk(Builder, Id);
  }

  void sendChunk(const std::shared_ptr<chunked_builder> &Builder,
                 const std::string &Id) {
    Builder->append_chunk(makePayload(Id, 16));
    Builder->flush([this, Builder, Id](const asio::error_code &Error) {
      if (Error)
        return;
      auto Timer = std::make_shared<asio::steady_timer>(Io, ChunkInterval);
      Timer->async_wait([this, Timer, Builder, Id](const asio::error_code &) {
        sendChunk(Builder, Id);
      });
    });
  }

  asio::io_context Io{1};
  asio::steady_timer LeaveTimer;
  asio::steady_timer MaxRunTimer;
  asio::signal_set Signals;
  announcer Announcer;
  execution_log Executions;
  std::mt19937 Random;
  const std::uint64_t Incarnation;
  std::atomic<std::uint16_t> Port{0};
  std::atomic<std::uint64_t> Sequence{0};
  std::atomic<std::uint32_t> InFlight{0};
  std::atomic<bool> IsLeaving{false};
  bool IsShuttingDown = false;
  fault Fault = fault::None;
  std::uint32_t FaultPercent = 100;
  std::string PreviousId;
  clock::time_point LastRequest = clock::now();
  std::uint64_t Received = 0, Refused = 0, ReceivedAfterLeaving = 0;
};

} // namespace

} // namespace lycheetrestle::standin

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  return lycheetrestle::standin::endpoint().run();
}
