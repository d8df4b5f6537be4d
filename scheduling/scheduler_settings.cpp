#include "scheduling/scheduler_settings.h"

#include "core/object_reader.h"

#include <algorithm>

namespace lycheetrestle::scheduling {

namespace {

using core::object_reader;

constexpr std::int64_t MaxTimingMs = 600'000;
constexpr double MaxHostOperationS = 86'400;
constexpr std::int64_t MaxDiskMb = 1'000'000;
// Fifteen voters; replication::MaxMembers leaves room for as many learners.
constexpr std::int64_t MaxToleratedLosses = 7;
constexpr double DefaultMaintenanceS = 2;
constexpr double DefaultMoveS = 1.5;
constexpr core::duration DefaultMaxLease = std::chrono::seconds(10);

core::duration readMs(object_reader &Reader, std::string_view Name,
                      core::duration Default) {
  auto Count =
      std::chrono::duration_cast<std::chrono::milliseconds>(Default).count();
  return std::chrono::milliseconds(
      Reader.readInteger(Name, 1, MaxTimingMs, Count));
}

void readTiming(object_reader &Reader, scheduler_settings &Settings) {
  auto &Leader = Settings.Leader;
  Leader.HeartbeatInterval =
      readMs(Reader, "beat_ms", Leader.HeartbeatInterval);
  auto MaxLease = readMs(Reader, "max_lease_ms", DefaultMaxLease);
  // The default lease outlasts an election and some lost renewals, and is short
  // enough that the work of a lost endpoint restarts soon.
  Leader.Lease = std::min<core::duration>(Leader.Lease, MaxLease);
  Leader.MaxLease = MaxLease;
  Leader.MaintenanceMs = static_cast<std::int64_t>(
      Reader.readNumber("upkeep_s", 0, MaxHostOperationS, DefaultMaintenanceS) *
      1000);
  Leader.MoveMs = static_cast<std::int64_t>(
      Reader.readNumber("move_s", 0, MaxHostOperationS, DefaultMoveS) * 1000);
  Settings.Heartbeat = readMs(Reader, "heartbeat_ms", Settings.Heartbeat);
  Settings.ElectionTimeout =
      readMs(Reader, "election_timeout_ms", Settings.ElectionTimeout);
  if (Settings.ElectionTimeout < 3 * Settings.Heartbeat)
    Reader.reject("election_timeout_ms",
                  std::to_string(Settings.ElectionTimeout.count() / 1000),
                  "must be at least three times heartbeat_ms");
}

void readStorage(object_reader &Reader, scheduler_settings &Settings) {
  constexpr unsigned BitsOfMb = 20;
  auto DiskMb = Reader.readInteger("disk_mb", 0, MaxDiskMb, 0);
  Settings.DiskBytes = static_cast<std::uint64_t>(DiskMb) << BitsOfMb;
  Settings.SnapshotEveryBytes =
      static_cast<std::uint64_t>(Reader.readInteger(
          "snapshot_every_mb", 1, MaxDiskMb,
          static_cast<std::int64_t>(Settings.SnapshotEveryBytes >> BitsOfMb)))
      << BitsOfMb;
}

} // namespace

core::result<scheduler_settings> parseSchedulerSettings(std::string_view Text) {
  BOOST_LEAF_AUTO(Value, core::parseJson(Text, core::MaxSettingsBytes));
  object_reader Reader(Value, "");
  scheduler_settings Settings;
  Reader.readChoice("role", {"scheduler"});
  Settings.Name = Reader.readName("name");
  Settings.Address = core::readIpAddress(Reader, "address");
  Settings.Listen = core::readSocketText(Reader, "listen");
  if (Reader.has("metrics"))
    Settings.Metrics = core::readSocketText(Reader, "metrics");
  Settings.LinkPort =
      static_cast<std::uint16_t>(Reader.readInteger("link_port", 1, 65'535));
  Settings.Seeds = core::readSeeds(Reader);
  Settings.IsFounding = Reader.readBool("founding", false);
  Settings.DataFolder = Reader.readString("data_folder", std::size_t{0});
  Settings.Zone = Reader.readString("zone", "");
  Settings.ToleratedLosses = static_cast<std::size_t>(
      Reader.readInteger("tolerated_losses", 0, MaxToleratedLosses,
                         static_cast<std::int64_t>(Settings.ToleratedLosses)));
  Settings.PlatformAddress = core::readOptionalAddress(Reader, "platform");
  Settings.AdviserAddress = core::readOptionalAddress(Reader, "adviser");
  Settings.Leader.HasPlatform = Settings.PlatformAddress.has_value();
  Settings.Leader.HasAdviser = Settings.AdviserAddress.has_value();
  Settings.Log = core::readLog(Reader);
  Settings.Limits = http::readLimits(Reader, Settings.Limits);
  core::readNested(Reader, "sending", [&](object_reader &Nested) {
    Settings.OwnEndpoints = static_cast<std::size_t>(
        Nested.readInteger("own_endpoints", 0, 100'000,
                           static_cast<std::int64_t>(Settings.OwnEndpoints)));
  });
  core::readNested(Reader, "storage", [&](object_reader &Nested) {
    readStorage(Nested, Settings);
  });
  core::readNested(Reader, "admission", [&](object_reader &Nested) {
    Settings.Leader.RefusesOverload = Nested.readBool("enabled", false);
  });
  core::readNested(Reader, "timing", [&](object_reader &Nested) {
    readTiming(Nested, Settings);
  });
  BOOST_LEAF_CHECK(Reader.finish());
  return Settings;
}

} // namespace lycheetrestle::scheduling
