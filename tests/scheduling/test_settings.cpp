#include "scheduling/scheduler_settings.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;

namespace {

const std::string Valid = R"({
  // Comments are allowed.
  "role": "scheduler", "name": "s1", "address": "10.0.0.1",
  "listen": "10.0.0.1:8000", "link_port": 7000,
  "seeds": ["10.0.0.1:8000", "10.0.0.2:8000"], "founding": true,
  "data_folder": "/data", "zone": "z1", "tolerated_losses": 2, "platform": "10.0.0.9:80",
  "sending": {"own_endpoints": 40},
  "storage": {"disk_mb": 96, "snapshot_every_mb": 20},
  "timing": {"beat_ms": 1500, "max_lease_ms": 4000, "upkeep_s": 2.5}
})";

std::string replaced(std::string From, std::string To) {
  auto Text = Valid;
  auto Found = Text.find(From);
  REQUIRE(Found != std::string::npos);
  return Text.replace(Found, From.size(), To);
}

std::string failingField(const std::string &Text) {
  auto Outcome = core::capture([&] { return parseSchedulerSettings(Text); });
  const auto *Failure = std::get_if<core::failure>(&Outcome);
  return Failure ? Failure->Field : "";
}

} // namespace

TEST_CASE("scheduler settings are read with their units") {
  auto Outcome = core::capture([&] { return parseSchedulerSettings(Valid); });
  REQUIRE(Outcome.index() == 0);
  const auto &Settings = std::get<0>(Outcome);
  CHECK(Settings.Seeds == std::vector<std::string>{"10.0.0.1", "10.0.0.2"});
  CHECK(Settings.Leader.Lease == std::chrono::milliseconds(4000));
  CHECK(Settings.Leader.MaintenanceMs == 2500);
  CHECK(Settings.OwnEndpoints == 40);
  CHECK(Settings.DiskBytes == 96u << 20);
  CHECK(Settings.SnapshotEveryBytes == 20u << 20);
  CHECK(Settings.Zone == "z1");
  CHECK(Settings.wantedVoters() == 5);
  CHECK(Settings.Leader.HasPlatform);
  CHECK(!Settings.Leader.HasAdviser);
  CHECK(!Settings.Leader.RefusesOverload);
}

TEST_CASE("a scheduler refuses jobs on overload when its settings ask for it") {
  auto Text = replaced("\"timing\"",
                       "\"admission\": {\"enabled\": true},\n  \"timing\"");
  auto Outcome = core::capture([&] { return parseSchedulerSettings(Text); });
  REQUIRE(Outcome.index() == 0);
  CHECK(std::get<0>(Outcome).Leader.RefusesOverload);
}

TEST_CASE("an invalid scheduler setting is rejected and its field is named") {
  CHECK(failingField(replaced("10.0.0.1:8000\", \"link",
                              "nowhere\", \"link")) == "listen");
  CHECK(failingField(replaced("7000", "0")) == "link_port");
  CHECK(failingField(replaced("10.0.0.9:80", "10.0.0.9:99999")) == "platform");
  CHECK(failingField(replaced("10.0.0.9:80", "u@10.0.0.9:80")) == "platform");
  CHECK(failingField(replaced("\"address\": \"10.0.0.1\"",
                              "\"address\": \"10.0.0.1:80\"")) == "address");
  CHECK(failingField(replaced("10.0.0.2:8000", "0.0.0.0:8000")) == "seeds");
  CHECK(failingField(replaced("\"10.0.0.2:8000\"", "5")) == "seeds");
  CHECK(failingField(replaced("\"founding\"", "\"fonding\"")) == "fonding");
  CHECK(failingField(replaced("40", "-1")) == "sending.own_endpoints");
  CHECK(failingField(replaced("96", "-1")) == "storage.disk_mb");
  CHECK(failingField(replaced("\"disk_mb\": 96", "\"disk_gb\": 1")) ==
        "storage.disk_gb");
  CHECK(failingField(replaced("every_mb\": 20", "every_mb\": 0")) ==
        "storage.snapshot_every_mb");
  CHECK(failingField(replaced("losses\": 2", "losses\": -1")) ==
        "tolerated_losses");
  CHECK(failingField(replaced("losses\": 2", "losses\": 8")) ==
        "tolerated_losses");
  CHECK(failingField(replaced("\"data_folder\": \"/data\", ", "")) ==
        "data_folder");
  CHECK(failingField(replaced("2.5", "\"x\"")) == "timing.upkeep_s");
  CHECK(failingField(replaced("\"beat_ms\": 1500", "\"heartbeat_ms\": 500")) ==
        "timing.election_timeout_ms");
}

TEST_CASE("a scheduler without a disk has an empty data folder") {
  auto Text = replaced("/data", "");
  auto Outcome = core::capture([&] { return parseSchedulerSettings(Text); });
  REQUIRE(Outcome.index() == 0);
  CHECK(std::get<0>(Outcome).DataFolder.empty());
}

// Guards against limits of the log that a small disk does not hold, and against
// other limits for deployments that state no disk.
TEST_CASE("the limits of the log follow from the disk") {
  scheduler_settings Settings;
  CHECK(Settings.snapshotBytes() == 32u << 20);
  CHECK(Settings.segmentBytes() == 8u << 20);
  for (std::uint64_t DiskMb : {1, 16, 24, 128, 192, 1000}) {
    Settings.DiskBytes = DiskMb << 20u;
    INFO(DiskMb << " MB");
    // Two segments beside the entries since the last snapshot.
    CHECK(Settings.snapshotBytes() + 2 * Settings.segmentBytes() <
          Settings.DiskBytes / 3);
    CHECK(Settings.maxStoredBytes() < Settings.DiskBytes);
    CHECK(Settings.maxStoredBytes() > Settings.DiskBytes / 2);
  }
  Settings.SnapshotEveryBytes = 1u << 20;
  CHECK(Settings.snapshotBytes() == 1u << 20);
}

TEST_CASE("the number of voters follows from the tolerated losses") {
  scheduler_settings Settings;
  CHECK(Settings.wantedVoters() == 3);
  Settings.ToleratedLosses = 0;
  CHECK(Settings.wantedVoters() == 3);
  Settings.ToleratedLosses = 2;
  CHECK(Settings.wantedVoters() == 5);
}
