#include "entry/http_frontend.h"
#include "tests/entry/fake_endpoint.h"
#include "tests/entry/raw_caller.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::entry;

namespace {

http_frontend_settings makeSettings() {
  http_frontend_settings Settings;
  Settings.Listen = {"127.0.0.1", 0};
  Settings.CorrelationTag = "e1";
  Settings.MaxBodyBytes = 1000;
  return Settings;
}

// A running frontend; the test takes the place of the router.
struct frontend_fixture {
  explicit frontend_fixture(http_frontend_settings Settings = makeSettings(),
                            std::size_t EventCapacity = 16)
      : Events(EventCapacity, EventsSignal), Replies(16, RepliesSignal),
        Frontend(std::move(Settings), {Events, Replies, RepliesSignal}, Metrics,
                 [this] { return Ready.load(); }) {
    REQUIRE(Frontend.start().empty());
  }

  template <typename Event> Event wait() {
    frontend_event Next;
    REQUIRE(waitUntil([&] { return Events.pop(Next); }));
    REQUIRE(std::holds_alternative<Event>(Next));
    return std::get<Event>(std::move(Next));
  }

  void respond(std::uint64_t Id, const std::string &Body) {
    routing::caller_response Response;
    Response.Id = Id;
    Response.Status = 200;
    Response.Verdict = core::verdict::Ran;
    Response.ContentType = "text/plain";
    Response.Body = Body;
    bool IsPushed = Replies.push(std::move(Response));
    REQUIRE(IsPushed);
  }

  std::atomic<bool> Ready{true};
  core::metrics_registry Metrics;
  core::ring_signal EventsSignal, RepliesSignal;
  core::bounded_ring<frontend_event> Events;
  core::bounded_ring<frontend_reply> Replies;
  http_frontend Frontend;
};

bool has(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

std::string get(const std::string &Target, const std::string &Headers = "") {
  return "GET " + Target + " HTTP/1.1\r\nHost: x\r\n" + Headers + "\r\n";
}

std::string post(const std::string &Target, std::size_t Length,
                 const std::string &Body) {
  return "POST " + Target +
         " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(Length) +
         "\r\n\r\n" + Body;
}

} // namespace

TEST_CASE("a caller's request reaches the router with all fields") {
  frontend_fixture Fixture;
  raw_caller Caller(Fixture.Frontend.port());
  Caller.send("POST /services/plots/a/b?c=%20 HTTP/1.1\r\nHost: x\r\n"
              "X-Request-Id: id-1\r\nIdempotency-Key: k1\r\n"
              "x-request-class: batch\r\nX-Deadline-Ms: 700\r\n"
              "Content-Type: text/x\r\nContent-Length: 5\r\n\r\nhello");
  auto Request = Fixture.wait<routing::caller_request>();
  CHECK(Request.Method == "POST");
  CHECK(Request.Service == "plots");
  CHECK(Request.Path == "/a/b?c=%20");
  CHECK(Request.CorrelationId == "id-1");
  CHECK(Request.Key == "k1");
  CHECK(Request.Class == fleet::work_class::Batch);
  CHECK(Request.DeadlineMs == 700u);
  CHECK(Request.ContentType == "text/x");
  CHECK(Request.Body == "hello");
  CHECK_FALSE(Fixture.Frontend.isFlushed());
  Fixture.respond(Request.Id, "done");
  auto Response = Caller.receive();
  CHECK(has(Response, "HTTP/1.1 200 OK\r\n"));
  CHECK(has(Response, "X-Request-Id: id-1\r\n"));
  CHECK(has(Response, "X-Verdict: ran\r\n"));
  CHECK(has(Response, "Content-Type: text/plain\r\n"));
  CHECK(has(Response, "\r\n\r\ndone"));
  CHECK(waitUntil([&] { return Fixture.Frontend.isFlushed(); }));
}

TEST_CASE("a target without a path after the service gets the path /") {
  auto [Target, Path] = GENERATE(
      table<std::string, std::string>({{"/services/plots", "/"},
                                       {"/services/plots?a=1", "/?a=1"},
                                       {"/services/plots/", "/"}}));
  frontend_fixture Fixture;
  raw_caller Caller(Fixture.Frontend.port());
  Caller.send(get(Target));
  CHECK(Fixture.wait<routing::caller_request>().Path == Path);
}

TEST_CASE("a missing correlation id is replaced by a unique one") {
  frontend_fixture Fixture;
  raw_caller Caller(Fixture.Frontend.port());
  std::vector<std::string> Ids;
  for (int Count = 0; Count < 2; ++Count) {
    Caller.send(get("/services/plots"));
    auto Request = Fixture.wait<routing::caller_request>();
    Ids.push_back(Request.CorrelationId);
    Fixture.respond(Request.Id, "");
    CHECK(has(Caller.receive(), "X-Request-Id: " + Ids.back() + "\r\n"));
  }
  CHECK(Ids[0] != Ids[1]);
}

// Responses that arrive out of order must not be swapped between callers or
// between the pipelined requests of one connection.
TEST_CASE("responses in reverse order reach their own requests") {
  frontend_fixture Fixture;
  raw_caller First(Fixture.Frontend.port());
  raw_caller Second(Fixture.Frontend.port());
  First.send(get("/services/plots/1") + get("/services/plots/2"));
  auto One = Fixture.wait<routing::caller_request>();
  auto Two = Fixture.wait<routing::caller_request>();
  Second.send(get("/services/plots/3"));
  auto Three = Fixture.wait<routing::caller_request>();
  Fixture.respond(Three.Id, "body" + Three.Path);
  Fixture.respond(Two.Id, "body" + Two.Path);
  Fixture.respond(One.Id, "body" + One.Path);
  CHECK(has(First.receive(), "\r\n\r\nbody/1"));
  CHECK(has(First.receive(), "\r\n\r\nbody/2"));
  CHECK(has(Second.receive(), "\r\n\r\nbody/3"));
}

// The verdict not-run promises that the request never runs, so a refused
// request must not reach the router.
TEST_CASE("invalid requests are refused with verdict not-run") {
  auto [Bytes, Status] = GENERATE(table<std::string, std::string>({
      {get("/services/plots", "X-Request-Id: a b\r\n"), "400"},
      {get("/services/plots", "X-Request-Id: \xc3\xa4\r\n"), "400"},
      {get("/services/plots", "X-Request-Id: a\r\nX-Request-Id: b\r\n"), "400"},
      {get("/services/plots", "Idempotency-Key: \r\n"), "400"},
      {get("/services/plots", "Idempotency-Key: a\r\nidempotency-key: a\r\n"),
       "400"},
      {get("/services/plots", "X-Request-Class: high\r\n"), "400"},
      {get("/services/plots", "X-Deadline-Ms: 0\r\n"), "400"},
      {get("/services/plots", "X-Deadline-Ms: 5s\r\n"), "400"},
      {get("/services/plots", "X-Deadline-Ms: 99999999999\r\n"), "400"},
      {"TRACE /services/plots HTTP/1.1\r\nHost: x\r\n\r\n", "400"},
      {get("/services/"), "404"},
      {get("/services/pl%20ots/x"), "404"},
      {post("/services/plots", 1001, std::string(1001, 'x')), "413"},
  }));
  INFO(Bytes.substr(0, 200));
  frontend_fixture Fixture;
  raw_caller Caller(Fixture.Frontend.port());
  auto Response = Caller.request(Bytes);
  CHECK(has(Response, "HTTP/1.1 " + Status + " "));
  CHECK(has(Response, "X-Verdict: not-run\r\n"));
  CHECK(has(Response, "X-Refusal: "));
  CHECK(has(Response, "X-Request-Id: "));
  CHECK(has(Response, "\"rule\":"));
  frontend_event Event;
  CHECK_FALSE(Fixture.Events.pop(Event));
}

// Guards against a connection that ends without a response.
TEST_CASE("a body far over the limit gets 413 and ends its connection") {
  const std::string ChunkedHead = "POST /services/plots HTTP/1.1\r\nHost: x\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n";
  auto Bytes = GENERATE_COPY(
      post("/services/plots", 50'000'000, std::string(50'000, 'x')),
      ChunkedHead + "1000\r\n" + std::string(0x1000, 'x') + "\r\n",
      post("/v1/announcements", 50'000'000, ""));
  frontend_fixture Fixture;
  raw_caller Caller(Fixture.Frontend.port());
  auto Response = Caller.request(Bytes);
  CHECK(has(Response, "HTTP/1.1 413 "));
  CHECK(has(Response, "\"verdict\":\"not-run\""));
  CHECK(has(Response, "Connection: close\r\n"));
  CHECK(Caller.receive().empty());
  frontend_event Event;
  CHECK_FALSE(Fixture.Events.pop(Event));
}

// Guards against the rest of a refused body that runs as a request: the client
// has pipelined the refused request behind one that is not answered yet.
TEST_CASE("nothing runs that follows a body over the limit") {
  frontend_fixture Fixture;
  raw_caller Caller(Fixture.Frontend.port());
  Caller.send(get("/services/plots/1"));
  auto First = Fixture.wait<routing::caller_request>();
  Caller.send(post("/services/plots/2", 50'000'000,
                   get("/services/plots/3") + get("/healthz")));
  REQUIRE(waitUntil([&] {
    return Fixture.Metrics.counter(
               "caller_refusals_total{reason=\"too-large\"}") == 1;
  }));
  Fixture.respond(First.Id, "done");
  CHECK(has(Caller.receive(), "done"));
  CHECK(has(Caller.receive(), "HTTP/1.1 413 "));
  CHECK(Caller.receive().empty());
  frontend_event Event;
  CHECK_FALSE(Fixture.Events.pop(Event));
  CHECK(Fixture.Frontend.isFlushed());
}

// Guards against a request that is lost because its connection is closed in
// favour of new ones.
TEST_CASE("connections over the limit replace idle ones only") {
  auto Settings = makeSettings();
  Settings.MaxConnections = 8;
  frontend_fixture Fixture(Settings);
  raw_caller Busy(Fixture.Frontend.port());
  Busy.send(get("/services/plots/1"));
  auto Request = Fixture.wait<routing::caller_request>();
  std::vector<std::unique_ptr<raw_caller>> Idle;
  for (int Index = 0; Index != 20; ++Index)
    Idle.push_back(std::make_unique<raw_caller>(Fixture.Frontend.port()));
  raw_caller Next(Fixture.Frontend.port());
  CHECK(has(Next.request(get("/healthz")), "200 OK"));
  CHECK(Idle.front()->receive().empty());
  Fixture.respond(Request.Id, "done");
  CHECK(has(Busy.receive(), "done"));
}

// Guards against bytes of the next request that are no longer counted when the
// response to the one before is written.
TEST_CASE("a request that is read ahead keeps its reservation") {
  auto Settings = makeSettings();
  Settings.MaxBodyBytes = 100'000;
  frontend_fixture Fixture(Settings);
  auto HeldBytes = [&] {
    const std::string Name = "http_held_bytes ";
    auto Text = Fixture.Metrics.expose();
    auto Found = Text.rfind(Name);
    return Found == std::string::npos
               ? -1
               : std::strtod(Text.c_str() + Found + Name.size(), nullptr);
  };
  raw_caller Caller(Fixture.Frontend.port());
  Caller.send(get("/services/plots/1"));
  auto Request = Fixture.wait<routing::caller_request>();
  Caller.send(post("/services/plots/2", 100'000, std::string(90'000, 'x')));
  REQUIRE(waitUntil([&] { return HeldBytes() >= 4 * 80'000; }));
  Fixture.respond(Request.Id, "done");
  CHECK(has(Caller.receive(), "done"));
  REQUIRE(waitUntil([&] { return Fixture.Frontend.isFlushed(); }));
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  CHECK(HeldBytes() >= 4 * 80'000);
  Caller.send(std::string(10'000, 'x'));
  auto Second = Fixture.wait<routing::caller_request>();
  CHECK(Second.Body.size() == 100'000);
  Fixture.respond(Second.Id, "second");
  CHECK(has(Caller.receive(), "second"));
  REQUIRE(waitUntil([&] { return HeldBytes() == 0; }));
}

// A caller that stalls in the middle of its request must not occupy a
// connection, and the incomplete request must not be dispatched.
TEST_CASE("a stalled caller is disconnected without an event") {
  auto Settings = makeSettings();
  Settings.ReadTimeout = std::chrono::milliseconds(50);
  frontend_fixture Fixture(Settings);
  auto Bytes = GENERATE(std::string("GET /services/pl"),
                        post("/services/plots", 100, "only a part"));
  raw_caller Caller(Fixture.Frontend.port());
  Caller.send(Bytes);
  CHECK(Caller.receive().empty());
  frontend_event Event;
  CHECK_FALSE(Fixture.Events.pop(Event));
}

// The router must remove the requests of disconnected callers from its queue.
TEST_CASE("a closed connection is reported for each of its requests") {
  frontend_fixture Fixture;
  raw_caller Caller(Fixture.Frontend.port());
  Caller.send(get("/services/plots/1"));
  auto Request = Fixture.wait<routing::caller_request>();
  Caller.close();
  CHECK(Fixture.wait<caller_disconnected>().Id == Request.Id);
  CHECK(Fixture.Frontend.isFlushed());
  // A response that arrives after the disconnect is ignored.
  Fixture.respond(Request.Id, "late");
  raw_caller Next(Fixture.Frontend.port());
  CHECK(has(Next.request(get("/healthz")), "200 OK"));
}

TEST_CASE("a disconnect after the response is not reported") {
  frontend_fixture Fixture;
  raw_caller Caller(Fixture.Frontend.port());
  Caller.send(get("/services/plots/1"));
  Fixture.respond(Fixture.wait<routing::caller_request>().Id, "done");
  Caller.receive();
  REQUIRE(waitUntil([&] { return Fixture.Frontend.isFlushed(); }));
  Caller.close();
  raw_caller Next(Fixture.Frontend.port());
  Next.send(get("/v1/status"));
  Fixture.wait<status_call>();
}

// The router has removed an answered request, so it must get no event for it,
// even when the caller disconnects while the response is being written.
TEST_CASE("a disconnect during the response is not reported") {
  frontend_fixture Fixture;
  raw_caller Caller(Fixture.Frontend.port());
  Caller.send(get("/services/plots/1"));
  // Larger than the socket buffers, so that the write cannot complete.
  Fixture.respond(Fixture.wait<routing::caller_request>().Id,
                  std::string(64u << 20, 'x'));
  REQUIRE(waitUntil([&] {
    return Fixture.Metrics.counter("caller_responses_total{verdict=\"ran\"}") ==
           1;
  }));
  CHECK_FALSE(Fixture.Frontend.isFlushed());
  Caller.close();
  REQUIRE(waitUntil([&] { return Fixture.Frontend.isFlushed(); }));
  frontend_event Event;
  CHECK_FALSE(Fixture.Events.pop(Event));
}

// Otherwise a request could run although its caller got the verdict not-run.
TEST_CASE("a full ring refuses at once with verdict not-run") {
  frontend_fixture Fixture(makeSettings(), 1);
  raw_caller First(Fixture.Frontend.port());
  raw_caller Second(Fixture.Frontend.port());
  First.send(get("/services/plots/1"));
  Second.send(get("/services/plots/2"));
  const char *Refusals = "caller_refusals_total{reason=\"entry-overloaded\"}";
  REQUIRE(waitUntil([&] { return Fixture.Metrics.counter(Refusals) == 1; }));
  auto Accepted = Fixture.wait<routing::caller_request>();
  auto &Refused = Accepted.Path == "/1" ? Second : First;
  auto Response = Refused.receive();
  CHECK(has(Response, "HTTP/1.1 503 "));
  CHECK(has(Response, "X-Verdict: not-run\r\n"));
  CHECK(has(Response, "X-Refusal: entry-overloaded\r\n"));
}

TEST_CASE("monitoring paths are answered without the router") {
  frontend_fixture Fixture;
  raw_caller Caller(Fixture.Frontend.port());
  CHECK(has(Caller.request(get("/healthz")), "200 OK"));
  CHECK(has(Caller.request(get("/readyz")), "200 OK"));
  Fixture.Ready = false;
  CHECK(has(Caller.request(get("/readyz")), "503 "));
  Caller.request(get("/services/"));
  CHECK(has(Caller.request(get("/metrics")),
            "lycheetrestle_caller_responses_total{verdict=\"not-run\"} 1"));
  CHECK(has(Caller.request(get("/other")), "404 "));
}

TEST_CASE("status and announcements are answered by the router") {
  frontend_fixture Fixture;
  raw_caller Caller(Fixture.Frontend.port());
  Caller.send(get("/v1/status"));
  auto Status = Fixture.wait<status_call>();
  REQUIRE(Fixture.Replies.push(management_reply{Status.Id, 200, "{\"a\":1}"}));
  CHECK(has(Caller.receive(), "{\"a\":1}"));
  const std::string Body =
      R"({"endpoint":"x1","incarnation":2,"sequence":3,"service":"plots",)"
      R"("pool":"gate","host":"w1","zone":"z1","address":"127.0.0.1:99",)"
      R"("slots":8,"connections":64,"state":"leaving","in_flight":1})";
  Caller.send(post("/v1/announcements", Body.size(), Body));
  auto Call = Fixture.wait<announcement_call>();
  CHECK(Call.Announcement.Endpoint == "x1");
  CHECK(Call.Announcement.Leaving);
  REQUIRE(Fixture.Replies.push(management_reply{Call.Id, 409, "{}"}));
  CHECK(has(Caller.receive(), "HTTP/1.1 409 "));
  auto Bad = Caller.request(post("/v1/announcements", 2, "{}"));
  CHECK(has(Bad, "HTTP/1.1 400 "));
  CHECK(has(Bad, "\"field\":\""));
}

// Otherwise callers would keep their connections until the process exits.
TEST_CASE("connections close after the next response during shutdown") {
  frontend_fixture Fixture;
  raw_caller Caller(Fixture.Frontend.port());
  CHECK(has(Caller.request(get("/healthz")), "200 OK"));
  Fixture.Frontend.closeAfterResponses();
  CHECK(has(Caller.request(get("/healthz")), "Connection: close\r\n"));
  CHECK(Caller.receive().empty());
}

TEST_CASE("closing the listener keeps open connections") {
  frontend_fixture Fixture;
  raw_caller Caller(Fixture.Frontend.port());
  CHECK(has(Caller.request(get("/healthz")), "200 OK"));
  Fixture.Frontend.closeListener();
  CHECK(waitUntil([&] {
    try {
      raw_caller Next(Fixture.Frontend.port());
      return false;
    } catch (const std::exception &) {
      return true;
    }
  }));
  CHECK(has(Caller.request(get("/healthz")), "200 OK"));
}

TEST_CASE("an address in use is reported") {
  frontend_fixture Fixture;
  auto Settings = makeSettings();
  Settings.Listen.Port = Fixture.Frontend.port();
  core::ring_signal Signal;
  core::bounded_ring<frontend_event> Events(1, Signal);
  core::bounded_ring<frontend_reply> Replies(1, Signal);
  http_frontend Second(Settings, {Events, Replies, Signal}, Fixture.Metrics,
                       [] { return true; });
  CHECK_FALSE(Second.start().empty());
}
