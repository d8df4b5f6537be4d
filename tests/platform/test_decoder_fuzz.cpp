#include "document_mutator.h"
#include "platform/codec.h"
#include "platform/site_documents.h"
#include "platform/site_messages.h"
#include "scheduling/configuration_check.h"

#include <algorithm>

using namespace lycheetrestle;
using namespace lycheetrestle::platform;
using namespace lycheetrestle::scheduling;
using lycheetrestle::test::document_format;

namespace {

// Examples of the platform's protocol.
const std::string Configuration =
    R"({"version":7,"routes":[{"name":"r-1","host":"jepu9.example",
    "pathPrefix":"/bobo563/lo7/","kind":"unsafe","timeoutMs":3000,
    "targetLatencyMs":2500,"priority":0,"service":"huvo11a","maxAttempts":2,
    "slackFactor":2.2,"advice":{"decisionMs":5,"perWorkerMs":1,"validMs":3000}},
    {"name":"r-2","host":"jepu9.example","pathPrefix":"/cufi501/",
    "timeoutMs":3000,"priority":1,"service":"wuno96b","public":true}],
    "tenants":[{"name":"w1","apiKeys":["k-1","k-2"],"priority":2,"weight":5,
    "maxCount":{"cpu":4000,"memMb":1000,"gpu":1}},{"name":"w2"}],
    "services":[{"name":"huvo11a","healthPath":"/healthz","maxConns":64,
    "protocol":"h1","tls":false,"enforceLimits":true,"standby":false},
    {"name":"wuno96b","enforceLimits":false,"standby":true}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144}})";
const std::string Job =
    R"({"spec":"text","phases":[{"count":4,"cpu":500,"memMb":256,
    "estimateMs":900,"dataRack":"r1-3"},{"count":20,"cpu":2000,"memMb":1024,
    "estimateMs":7000,"dependsOn":[0],"checkpointable":true,"gang":true}],
    "repeatCount":3,"startAtMs":1000,"intervalMs":500
})";
const std::string Heartbeat =
    R"({"service":"huvo11a","addr":"10.128.0.9:8080","zone":"astana-a",
    "version":"v1","slots":8,"state":"ready","coldLeftMs":0,
    "capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],
    "clockMs":482113,"seq":4,"born":1700000000000})";
const std::string Wave =
    R"({"wave":1,"machines":["m-0a3f1","m-141e8"],"deadlineS":20,"maxCount":1})";
const std::string Poll =
    R"({"clockMs":482113,"born":9,
    "running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41,12]],
    "finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
const std::string Rejection = R"({"clockMs":482113,"reason":"fence"})";
const std::string Page =
    R"({"machines":[{"machine":"m-1","pool":"s1","state":"up","zone":"z",
    "labels":["a","r1-2"],"capacity":{"cpu":16000,"memMb":1,"gpu":0},
    "id":"i-1"},{"machine":"m-2","pool":"s2","state":"upkeep","zone":"z",
    "labels":["a","r1-2"],"capacity":{"cpu":16000,"memMb":1,"gpu":0}}],
    "nextToken":"t"})";
const std::string Advice =
    R"({"allowed":[["i-1","t-1"],["i-2","t-2"]],"validMs":3000})";

constexpr std::uint32_t MaxAmount = 2'147'483'647;

void checkAmounts(const resource_amounts &Amounts) {
  REQUIRE(Amounts.MilliCores <= MaxAmount);
  REQUIRE(Amounts.MemoryMb <= MaxAmount);
  REQUIRE(Amounts.Accelerators <= MaxAmount);
}

void checkAnswer(const endpoint_answer &Answer) {
  REQUIRE(Answer.ClockMs.value_or(0) <= 1'000'000'000'000'000);
  REQUIRE(Answer.IncarnationMs.value_or(0) <= 1'000'000'000'000'000);
  for (const auto &Row : Answer.Running) {
    REQUIRE(decodeTask(encodeTask(Row.Task)) == Row.Task);
    REQUIRE(Row.Percent <= 100);
    REQUIRE(Row.Checkpoint.size() <= 4000);
  }
  for (const auto &Row : Answer.Ended) {
    REQUIRE(decodeTask(encodeTask(Row.Task)) == Row.Task);
    REQUIRE(Row.Number <= 1'000'000'000'000'000);
    REQUIRE(Row.Checkpoint.size() <= 4000);
  }
}

} // namespace

// Guards against a document of an operator, a caller or an endpoint that ends a
// scheduler, or that is accepted with values that no such document can have.
TEST_CASE("fuzz: odd configurations are refused") {
  test::fuzzResult(
      document_format::Json, std::vector<std::string>{Configuration}, 400,
      decodeConfiguration, [](const configuration &Value) {
        REQUIRE(Value.Version >= 1);
        REQUIRE_FALSE(checkConfiguration(Value));
        auto Again =
            core::capture([&] { return decodeConfiguration(Value.Text); });
        REQUIRE(std::get<0>(Again) == Value);
      });
}

TEST_CASE("fuzz: odd jobs are refused") {
  test::fuzzResult(
      document_format::Json, std::vector<std::string>{Job}, 400,
      [](std::string_view Text) { return decodeJob(Text, "0123456789abcdef"); },
      [](const job_spec &Value) {
        REQUIRE_FALSE(checkJob(Value));
        for (const auto &Step : Value.Steps)
          checkAmounts(Step.Size);
      });
}

TEST_CASE("fuzz: odd heartbeats are refused") {
  test::fuzzResult(
      document_format::Json, std::vector<std::string>{Heartbeat}, 400,
      [](std::string_view Text) { return decodeHeartbeat(Text, "i-1"); },
      [](const endpoint_heartbeat &Value) {
        REQUIRE(Value.Facts.Id == "i-1");
        REQUIRE_FALSE(Value.Facts.Pool.empty());
        REQUIRE(Value.Facts.Address.has_value());
        checkAmounts(Value.Facts.Capacity);
        REQUIRE(Value.Facts.Labels.size() <= 256);
      });
}

TEST_CASE("fuzz: odd waves are refused") {
  test::fuzzResult(document_format::Json, std::vector<std::string>{Wave}, 400,
                   decodeWave, [](const wave_document &Value) {
                     auto Hosts = Value.Hosts;
                     std::sort(Hosts.begin(), Hosts.end());
                     REQUIRE(std::adjacent_find(Hosts.begin(), Hosts.end()) ==
                             Hosts.end());
                   });
}

// Guards against an answer that ends the leader, and each next one in turn.
TEST_CASE("fuzz: odd rows of polls are skipped") {
  const std::vector<std::string> Samples{Poll, Rejection};
  for (std::uint16_t Status : {200, 409})
    test::fuzzDecoder(document_format::Json, Samples, 400,
                      [&](std::string_view Text) {
                        checkAnswer(decodeEndpointAnswer(Status, Text));
                        return nlohmann::json::accept(Text);
                      });
}

TEST_CASE("fuzz: odd rows of the list of hosts are skipped") {
  test::fuzzOptional(document_format::Json, std::vector<std::string>{Page}, 400,
                     decodeHosts, [](const hosts_answer &Value) {
                       REQUIRE(Value.NextToken.size() <= 1024);
                       for (const auto &Row : Value.Hosts) {
                         REQUIRE_FALSE(Row.Name.empty());
                         REQUIRE(Row.Name.size() <= 1024);
                         checkAmounts(Row.Capacity);
                       }
                     });
}

TEST_CASE("fuzz: odd answers of the adviser are refused") {
  test::fuzzOptional(document_format::Json, std::vector<std::string>{Advice},
                     400, decodeAdvice, [](const advice_answer &Value) {
                       REQUIRE(Value.ValidMs <= MaxAmount);
                       for (const auto &Row : Value.Allowed)
                         REQUIRE(Row.Ticket.size() <= 1024);
                     });
}

TEST_CASE("fuzz: odd answers to each kind of order are read") {
  auto Adapter =
      makeSiteAdapter({core::network_address::parse("10.0.0.1:1"),
                       core::network_address::parse("10.0.0.1:2"), "s"});
  const std::vector<order_body> Bodies{
      start_order{},      stop_order{},      poll_order{},       advise_order{},
      list_hosts_order{}, move_host_order{}, maintenance_order{}};
  const std::vector<std::string> Samples{Poll, Rejection, Page, Advice,
                                         R"({"reason":"wave"})"};
  std::size_t Round = 0;
  test::fuzzDecoder(
      document_format::Json, Samples, 400, [&](std::string_view Text) {
        scheduling::order Order;
        Order.Body = Bodies[Round++ % Bodies.size()];
        Order.Endpoint = Order.Body.index() < 3 ? 1 : 0;
        http::client_result Result;
        Result.WasSent = true;
        Result.IsComplete = true;
        Result.Response.Body = std::string(Text);
        constexpr std::uint16_t Statuses[] = {200, 0,   400, 409,
                                              421, 429, 500, 65535};
        Result.Response.Status = Statuses[Round / Bodies.size() % 8];
        auto Answer = Adapter.DecodeAnswer(Order, Result);
        if (const auto *NoAnswer = std::get_if<no_answer>(&Answer))
          REQUIRE(NoAnswer->Reason.size() < 1000);
        return nlohmann::json::accept(Text);
      });
}

// Guards against a row that is read as another host state: an unknown state is
// not that of a host that crashed.
TEST_CASE("a row of the list with an odd field names no host") {
  auto Rows = [](const std::string &Member, const nlohmann::json &Value) {
    auto Document = nlohmann::json::parse(Page);
    if (Value.is_discarded())
      Document["machines"][0].erase(Member);
    else
      Document["machines"][0][Member] = Value;
    return decodeHosts(Document.dump());
  };
  const nlohmann::json Missing(nlohmann::json::value_t::discarded);
  const std::vector<std::pair<std::string, nlohmann::json>> Odd{
      {"state", Missing},
      {"state", "?"},
      {"state", 7},
      {"pool", Missing},
      {"pool", 7},
      {"zone", 7},
      {"id", Missing},
      {"id", 7},
      {"labels", "a"},
      {"capacity", 7},
      {"capacity", {{"cpu", -1}}},
      {"capacity", {{"cpu", 4294967297}}},
      {"machine", Missing},
      {"machine", ""},
      {"machine", std::string(1025, 'm')}};
  for (const auto &[Member, Value] : Odd) {
    INFO(Member << " " << (Value.is_discarded() ? "missing" : Value.dump()));
    auto Answer = Rows(Member, Value);
    REQUIRE(Answer);
    REQUIRE(Answer->Hosts.size() == 1);
    CHECK(Answer->Hosts[0].Name == "m-2");
    CHECK(Answer->NextToken == "t");
    // A name that cannot be read may be that of any host.
    CHECK(Answer->UnreadableHosts ==
          std::vector<std::string>{Member == "machine" ? "" : "m-1"});
  }
  CHECK(Rows("id", nullptr)->Hosts.size() == 2);
  CHECK(Rows("capacity", Missing)->Hosts.size() == 2);
}

TEST_CASE("a ticket row or a duration of the adviser out of range is skipped") {
  auto Answer = decodeAdvice(
      R"({"allowed":[["i-1","t-1"],["i-2",7],7],"validMs":4294967297})");
  REQUIRE(Answer);
  CHECK(Answer->Allowed.size() == 1);
  CHECK(Answer->ValidMs == 0);
}

TEST_CASE("fuzz: odd orders and reports of the platform are refused") {
  order_kind Kinds[] = {order_kind::Drain, order_kind::StartTask};
  std::vector<std::string> Orders;
  for (auto Kind : Kinds) {
    platform::order Order;
    Order.Kind = Kind;
    Order.Host = "w1";
    Order.Epoch = 3;
    Order.Job = Kind == order_kind::StartTask ? 7 : 0;
    Orders.push_back(encodeOrder(Order));
  }
  test::fuzzResult(document_format::Json, Orders, 400, decodeOrder,
                   [](const platform::order &Order) {
                     REQUIRE_FALSE(Order.Host.empty());
                     REQUIRE(Order.Epoch >= 1);
                   });
  host_report Report;
  Report.Host = "w1";
  Report.Pool = "gate";
  Report.Epoch = 3;
  Report.Tasks.push_back({7, 8, fleet::job_state::Running, {1, 2, 3}, 500, ""});
  test::fuzzResult(
      document_format::Json,
      std::vector<std::string>{encodeReports(std::vector{Report, Report})}, 400,
      decodeReports, [](const std::vector<host_report> &Reports) {
        auto Text = encodeReports(Reports);
        auto Again = core::capture([&] { return decodeReports(Text); });
        REQUIRE(Again.index() == 0);
        REQUIRE(encodeReports(std::get<0>(Again)) == Text);
      });
}
