#include "control/control_settings.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <functional>

using namespace lycheetrestle;
using control::parseControlSettings;
using json = nlohmann::json;

namespace {

json replica(const std::string &Name, const std::string &Zone, int Port) {
  return {{"name", Name},
          {"zone", Zone},
          {"address", "127.0.0.1"},
          {"port", Port},
          {"http_address", "127.0.0.1"},
          {"http_port", Port + 1000}};
}

json validSettings() {
  return {{"role", "control"},
          {"name", "control-1"},
          {"zone", "z1"},
          {"cluster", "alpha"},
          {"data_folder", "data"},
          {"listen", {{"address", "127.0.0.1"}, {"port", 8101}}},
          {"link", {{"address", "0.0.0.0"}, {"port", 7101}}},
          {"controls",
           {replica("control-1", "z1", 7101), replica("control-2", "z2", 7102),
            replica("control-3", "z3", 7103)}},
          {"entries",
           {{{"name", "entry-1"}, {"address", "127.0.0.1"}, {"port", 7201}}}},
          {"platform", {{"url", "http://127.0.0.1:9000"}}},
          {"log", {{"file", ""}, {"level", "warning"}}},
          {"timing",
           {{"heartbeat_ms", 50},
            {"election_timeout_ms", 500},
            {"reconcile_interval_ms", 250},
            {"shutdown_timeout_ms", 5000}}},
          {"snapshot", {{"every_entries", 100}}}};
}

std::optional<core::failure> check(const json &Settings) {
  auto Text = Settings.dump();
  auto Outcome = core::capture([&] { return parseControlSettings(Text); });
  if (auto *Failure = std::get_if<core::failure>(&Outcome))
    return *Failure;
  return std::nullopt;
}

} // namespace

TEST_CASE("valid settings with comments are read completely") {
  auto Text = "// replica 1\n" + validSettings().dump();
  auto Outcome = core::capture([&] { return parseControlSettings(Text); });
  REQUIRE(Outcome.index() == 0);
  const auto &Settings = std::get<0>(Outcome);
  CHECK(Settings.Controls.size() == 3);
  CHECK(Settings.Controls[1].Http.Port == 8102);
  CHECK(Settings.Entries[0].Link.Port == 7201);
  CHECK(Settings.PlatformUrl == "http://127.0.0.1:9000");
  CHECK(Settings.Log.Level == core::log_level::Warning);
  CHECK(Settings.Timing.Heartbeat == std::chrono::milliseconds(50));
  CHECK(Settings.SnapshotEveryEntries == 100);
}

TEST_CASE("optional settings have their documented defaults") {
  auto Settings = validSettings();
  for (const char *Name : {"platform", "log", "timing", "snapshot"})
    Settings.erase(Name);
  auto Text = Settings.dump();
  auto Outcome = core::capture([&] { return parseControlSettings(Text); });
  REQUIRE(Outcome.index() == 0);
  const auto &Read = std::get<0>(Outcome);
  CHECK(Read.PlatformUrl.empty());
  CHECK(Read.Timing.ElectionTimeout == std::chrono::seconds(1));
  CHECK(Read.Timing.ShutdownTimeout == std::chrono::seconds(30));
  CHECK(Read.SnapshotEveryEntries == 5000);
}

// Guards against invalid settings that are accepted and then ignored or fail at
// run time. Each error must name the invalid field.
TEST_CASE("each error in the settings names its field") {
  struct fault {
    std::string Field;
    std::function<void(json &)> Inject;
  };
  const std::vector<fault> Faults = {
      {"colour", [](json &S) { S["colour"] = 1; }},
      {"controls[1].rack", [](json &S) { S["controls"][1]["rack"] = 1; }},
      {"entries[0].zone", [](json &S) { S["entries"][0]["zone"] = "a"; }},
      {"listen.host", [](json &S) { S["listen"]["host"] = "a"; }},
      {"timing.tick_ms", [](json &S) { S["timing"]["tick_ms"] = 1; }},
      {"platform.user", [](json &S) { S["platform"]["user"] = "a"; }},
      {"log.size", [](json &S) { S["log"]["size"] = 1; }},
      {"snapshot.bytes", [](json &S) { S["snapshot"]["bytes"] = 1; }},
      {"role", [](json &S) { S["role"] = "entry"; }},
      {"role", [](json &S) { S.erase("role"); }},
      {"name", [](json &S) { S["name"] = 7; }},
      {"name", [](json &S) { S["name"] = "a b"; }},
      {"name", [](json &S) { S["name"] = "control-9"; }},
      {"zone", [](json &S) { S["zone"] = "z2"; }},
      {"cluster", [](json &S) { S.erase("cluster"); }},
      {"data_folder", [](json &S) { S["data_folder"] = ""; }},
      {"listen", [](json &S) { S.erase("listen"); }},
      {"listen", [](json &S) { S["listen"] = 3; }},
      {"listen.address", [](json &S) { S["listen"]["address"] = "host"; }},
      {"listen.address", [](json &S) { S["listen"]["address"] = "127.0.0.2"; }},
      {"listen.port", [](json &S) { S["listen"]["port"] = 0; }},
      {"listen.port", [](json &S) { S["listen"]["port"] = 8102; }},
      {"link.port", [](json &S) { S["link"]["port"] = 65536; }},
      {"link.port", [](json &S) { S["link"]["port"] = 7102; }},
      {"controls", [](json &S) { S["controls"] = "a"; }},
      {"controls", [](json &S) { S.erase("controls"); }},
      {"controls[1].address",
       [](json &S) { S["controls"][1]["address"] = "host-2"; }},
      {"controls[1].name",
       [](json &S) { S["controls"][1]["name"] = "control-1"; }},
      {"controls[2].port", [](json &S) { S["controls"][2]["port"] = 7102; }},
      {"controls[2].http_port",
       [](json &S) { S["controls"][2]["http_port"] = 7102; }},
      {"controls[2].http_port",
       [](json &S) { S["controls"][2].erase("http_port"); }},
      {"entries[0].name",
       [](json &S) { S["entries"][0]["name"] = "control-2"; }},
      {"entries[0].port", [](json &S) { S["entries"][0]["port"] = 7103; }},
      {"platform.url", [](json &S) { S["platform"]["url"] = "ftp://a"; }},
      {"platform.url",
       [](json &S) { S["platform"]["url"] = "http://127.0.0.1:99999"; }},
      {"platform.url",
       [](json &S) { S["platform"]["url"] = "http://u@127.0.0.1:9000"; }},
      {"platform.url",
       [](json &S) { S["platform"]["url"] = "http://127.0.0.1:9000/\n"; }},
      {"log.level", [](json &S) { S["log"]["level"] = "loud"; }},
      {"timing.heartbeat_ms", [](json &S) { S["timing"]["heartbeat_ms"] = 1; }},
      {"timing.election_timeout_ms",
       [](json &S) { S["timing"]["election_timeout_ms"] = 149; }},
      {"timing.reconcile_interval_ms",
       [](json &S) { S["timing"]["reconcile_interval_ms"] = "x"; }},
      {"timing.shutdown_timeout_ms",
       [](json &S) { S["timing"]["shutdown_timeout_ms"] = 0; }},
      {"snapshot.every_entries",
       [](json &S) { S["snapshot"]["every_entries"] = 9; }},
  };
  for (const auto &Fault : Faults) {
    auto Settings = validSettings();
    Fault.Inject(Settings);
    auto Failure = check(Settings);
    INFO(Settings.dump());
    REQUIRE(Failure);
    CHECK(Failure->Field == Fault.Field);
    CHECK(Failure->Code == core::error_code::BadInput);
  }
}

// Guards against a deployment in which the loss of one zone loses the majority.
TEST_CASE("no zone may hold a majority when there are three zones") {
  auto Settings = validSettings();
  Settings["controls"].push_back(replica("control-4", "z2", 7104));
  Settings["controls"].push_back(replica("control-5", "z2", 7105));
  auto Failure = check(Settings);
  REQUIRE(Failure);
  CHECK(Failure->Field == "controls");
  CHECK(Failure->Value == "z2");
  Settings["controls"][4]["zone"] = "z3";
  CHECK_FALSE(check(Settings));
}

TEST_CASE("with fewer than three zones, one zone may hold a majority") {
  auto Settings = validSettings();
  for (auto &Replica : Settings["controls"])
    Replica["zone"] = "z1";
  CHECK_FALSE(check(Settings));
}
