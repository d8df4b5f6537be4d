#include "entry/entry_settings.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::entry;

namespace {

const char *const Complete = R"({
  // Sets every field; comments are allowed.
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
             "linger_ms": 0, "shutdown_timeout_ms": 5000}
})";

core::outcome<entry_settings> parse(const std::string &Text) {
  return core::capture([&] { return parseEntrySettings(Text); });
}

// Parses the complete example with the value at a JSON pointer replaced, or
// removed when it is null.
core::failure failureAfter(const std::string &Pointer,
                           const nlohmann::json &Value) {
  auto Document = nlohmann::json::parse(Complete, nullptr, true, true);
  nlohmann::json::json_pointer Place(Pointer);
  if (Value.is_null())
    Document.at(Place.parent_pointer()).erase(Place.back());
  else
    Document[Place] = Value;
  auto Outcome = parse(Document.dump());
  REQUIRE(Outcome.index() == 1);
  return std::get<1>(Outcome);
}

} // namespace

TEST_CASE("a complete file sets every setting") {
  auto Outcome = parse(Complete);
  REQUIRE(Outcome.index() == 0);
  const auto &Settings = std::get<0>(Outcome);
  CHECK(Settings.Name == "e1");
  CHECK(Settings.Zone == "kv-1");
  CHECK(Settings.Listen == socket_address{"127.0.0.1", 8001});
  CHECK(Settings.Link == socket_address{"127.0.0.1", 9001});
  REQUIRE(Settings.Entries.size() == 2);
  CHECK(Settings.Entries[1].Name == "e2");
  CHECK(Settings.Entries[1].Socket.Port == 9002);
  REQUIRE(Settings.Controls.size() == 1);
  CHECK(Settings.Log.File == "run/e1.log");
  CHECK(Settings.Log.Level == core::log_level::Debug);
  CHECK(Settings.MaxInFlight == 10);
  CHECK(Settings.MaxQueued == 20);
  CHECK(Settings.MaxBodyBytes == 30);
  CHECK(Settings.MaxResponseBytes == 40);
  CHECK(Settings.MaxCallerConnections == 50);
  CHECK(Settings.FreshnessMs == 2000);
  CHECK(Settings.ProbeIntervalMs == 100);
  CHECK(Settings.LingerMs == 0);
  CHECK(Settings.ShutdownTimeoutMs == 5000);
}

TEST_CASE("limits, timing and log are optional") {
  auto Document = nlohmann::json::parse(Complete, nullptr, true, true);
  for (const char *Name : {"log", "limits", "timing"})
    Document.erase(Name);
  auto Outcome = parse(Document.dump());
  REQUIRE(Outcome.index() == 0);
  const auto &Settings = std::get<0>(Outcome);
  CHECK(Settings.MaxBodyBytes == 1u << 20);
  CHECK(Settings.MaxResponseBytes == 4u << 20);
  CHECK(Settings.LingerMs == 2000);
  CHECK(Settings.ShutdownTimeoutMs == 30000);
}

// An operator must be able to find an invalid setting from the message alone.
TEST_CASE("each error names the invalid field") {
  using row = std::tuple<const char *, nlohmann::json, const char *>;
  auto [Pointer, Value, Field] =
      GENERATE(table<const char *, nlohmann::json, const char *>({
          row{"/role", "control", "role"},
          row{"/role", nullptr, "role"},
          row{"/name", nullptr, "name"},
          row{"/name", "e 1", "name"},
          row{"/name", "e9", "name"},
          row{"/zone", 3, "zone"},
          row{"/unknown", 1, "unknown"},
          row{"/listen", nullptr, "listen"},
          row{"/listen", "127.0.0.1:8001", "listen"},
          row{"/listen/address", "localhost", "listen.address"},
          row{"/listen/port", 0, "listen.port"},
          row{"/listen/port", 65536, "listen.port"},
          row{"/listen/port", "8001", "listen.port"},
          row{"/listen/ports", 1, "listen.ports"},
          row{"/listen/port", 9002, "listen"},
          row{"/listen/port", 9101, "listen"},
          row{"/link", nullptr, "link"},
          row{"/link/port", 9003, "entries[0].port"},
          row{"/entries", nullptr, "entries"},
          row{"/entries", nlohmann::json::array(), "entries"},
          row{"/entries/1", "e2", "entries[1]"},
          row{"/entries/1/port", -1, "entries[1].port"},
          row{"/entries/1/name", "e1", "entries[1].name"},
          row{"/entries/1/port", 9001, "entries[1].address"},
          row{"/entries/1/zone", "kv-1", "entries[1].zone"},
          row{"/controls", nullptr, "controls"},
          row{"/controls/0/name", "e2", "controls[0].name"},
          row{"/controls/0/port", 9002, "controls[0].address"},
          row{"/log/level", "verbose", "log.level"},
          row{"/log/path", "x", "log.path"},
          row{"/limits/in_flight", 0, "limits.in_flight"},
          row{"/limits/queue", 1.5, "limits.queue"},
          row{"/limits/body_bytes", -1, "limits.body_bytes"},
          row{"/limits/response_bytes", "4MB", "limits.response_bytes"},
          row{"/limits/caller_connections", 1e9, "limits.caller_connections"},
          row{"/limits/connections", 1, "limits.connections"},
          row{"/timing", 5, "timing"},
          row{"/timing/freshness_ms", 3001, "timing.freshness_ms"},
          row{"/timing/freshness_ms", 150, "timing.probe_interval_ms"},
          row{"/timing/probe_interval_ms", 1, "timing.probe_interval_ms"},
          row{"/timing/linger_ms", 5000, "timing.linger_ms"},
          row{"/timing/shutdown_timeout_ms", 0, "timing.shutdown_timeout_ms"},
      }));
  INFO(Pointer << " = " << Value.dump());
  auto Failure = failureAfter(Pointer, Value);
  CHECK(Failure.Code == core::error_code::BadInput);
  CHECK(Failure.Field == Field);
  CHECK_FALSE(Failure.Message.empty());
}

TEST_CASE("a file that is not JSON or too large is rejected") {
  CHECK(parse("{\"role\": ").index() == 1);
  CHECK(parse(std::string(300u << 10, ' ')).index() == 1);
}
