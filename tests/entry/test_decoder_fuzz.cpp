#include "document_mutator.h"
#include "entry/entry_settings.h"
#include "entry/request_reader.h"

using namespace lycheetrestle;
using namespace lycheetrestle::entry;
using lycheetrestle::test::document_format;

TEST_CASE("fuzz: odd settings of an entry are refused") {
  const std::vector<std::string> Samples{R"({
    "role": "entry", "name": "e1", "zone": "kv-1",
    "listen": {"address": "127.0.0.1", "port": 8001},
    "link": {"address": "127.0.0.1", "port": 9001},
    "entries": [{"name": "e1", "address": "127.0.0.1", "port": 9001},
                {"name": "e2", "address": "127.0.0.1", "port": 9002}],
    "controls": [{"name": "c1", "address": "127.0.0.1", "port": 9101}],
    "log": {"file": "run/e1.log", "level": "debug"},
    "limits": {"in_flight": 10, "queue": 20, "body_bytes": 30,
               "response_bytes": 40, "caller_connections": 50},
    "timing": {"freshness_ms": 2000, "probe_interval_ms": 100,
               "linger_ms": 0, "shutdown_timeout_ms": 5000}})"};
  test::fuzzResult(document_format::Json, Samples, 400, parseEntrySettings,
                   [](const entry_settings &Settings) {
                     REQUIRE_FALSE(Settings.Name.empty());
                     REQUIRE(Settings.Listen.Port != 0);
                     REQUIRE(Settings.Link.Port != 0);
                     REQUIRE_FALSE(Settings.Controls.empty());
                     REQUIRE(Settings.FreshnessMs <= 3000);
                     REQUIRE(2 * Settings.ProbeIntervalMs <=
                             Settings.FreshnessMs);
                     REQUIRE(Settings.MaxInFlight > 0);
                     REQUIRE(Settings.MaxBodyBytes > 0);
                   });
}

// Guards against a header or target that ends an entry, or that is returned in
// a response although it holds control characters.
TEST_CASE("fuzz: odd requests of callers are refused") {
  const std::vector<std::string> Values{"POST",
                                        "GET",
                                        "/services/plots/x?y",
                                        "/services/",
                                        "/services/a/",
                                        "urgent",
                                        "2000",
                                        "4294967296",
                                        "-1",
                                        "1e999",
                                        "",
                                        "a\r\nb",
                                        "\xff\xfe",
                                        "NaN",
                                        "0",
                                        "id-1",
                                        "%00",
                                        std::string(129, 'x'),
                                        "/services/plots",
                                        "text/plain",
                                        std::string(100'000, 'x')};
  auto Rounds = test::fuzzRounds(5000);
  std::size_t Accepted = 0;
  for (std::size_t Round = 0; Round != Rounds; ++Round) {
    auto Seed = test::fuzzSeed() + Round;
    INFO("LT_FIRST_SEED=" << Seed << " LT_SEEDS=1");
    test::document_mutator Mutator(document_format::Json, Seed);
    auto Pick = [&](std::string Valid) {
      return Mutator.below(3) == 0 ? Values[Mutator.below(Values.size())]
                                   : Valid;
    };
    auto Method = Pick("POST");
    auto Target = "/services/" + Pick("plots/x");
    std::map<std::string, std::string, std::less<>> Headers{
        {"X-Request-Id", Pick("id-1")},
        {"Idempotency-Key", Pick("key-1")},
        {"X-Request-Class", Pick("urgent")},
        {"X-Deadline-Ms", Pick("2000")},
        {"Content-Type", Pick("text/plain")}};
    auto Body = Pick("{}");
    request_view View;
    View.Method = Method;
    View.Target = Target;
    View.Body = Body;
    auto Twice = Mutator.below(20) == 0;
    View.FindHeader = [&](std::string_view Name) {
      auto Found = Headers.find(Name);
      if (Found == Headers.end())
        return header_values{};
      return header_values{Found->second, Twice ? 2u : 1u};
    };
    auto Outcome =
        readCallerRequest(View, 10'000, [] { return std::string("made"); });
    REQUIRE_FALSE(Outcome.Request.CorrelationId.empty());
    for (unsigned char C : Outcome.Request.CorrelationId)
      REQUIRE((C > ' ' && C < 0x7f));
    if (!Outcome.Refusal.empty()) {
      REQUIRE(Outcome.Status >= 400);
      REQUIRE(Outcome.ErrorBody.size() < 2000);
      auto Error = nlohmann::json::parse(Outcome.ErrorBody);
      REQUIRE_FALSE(Error.at("field").get<std::string>().empty());
      continue;
    }
    ++Accepted;
    REQUIRE(Outcome.Request.Body.size() <= 10'000);
    REQUIRE(Outcome.Request.DeadlineMs != 0);
  }
  if (Rounds >= 5000)
    CHECK(Accepted > 0);
}
