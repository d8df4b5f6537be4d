#include "control/control_settings.h"

#include "core/object_reader.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

namespace lycheetrestle::control {

namespace {

using core::object_reader;

constexpr std::size_t MaxReplicas = 9;
constexpr std::size_t MaxEntries = 64;
constexpr std::size_t MaxPathBytes = 4096;
constexpr std::int64_t MinSnapshotEntries = 10;
constexpr std::int64_t MaxSnapshotEntries = 1000000;
// With fewer heartbeats in an election timeout, one late message would start an
// election.
constexpr int MinHeartbeatsPerTimeout = 3;
// With this many zones or more, no zone may hold a majority of the replicas,
// which would be lost with the zone.
constexpr std::size_t MinZonesToSpread = 3;

bool isWildcardAddress(const std::string &Text) {
  return Text == "0.0.0.0" || Text == "::";
}

void readControls(object_reader &Reader, control_settings &Settings) {
  auto Elements = Reader.readArray("controls", MaxReplicas);
  for (std::size_t Index = 0; Index != Elements.size(); ++Index) {
    object_reader Nested(*Elements[Index], Reader.pathOf("controls", Index));
    replica_settings Replica;
    Replica.Name = Nested.readName("name");
    Replica.Zone = Nested.readName("zone");
    Replica.Link = core::readAddress(Nested);
    Replica.Http = core::readAddress(Nested, "http_address", "http_port");
    core::finishNested(Reader, Nested);
    Settings.Controls.push_back(std::move(Replica));
  }
}

void readEntries(object_reader &Reader, control_settings &Settings) {
  auto Elements = Reader.readArray("entries", MaxEntries);
  for (std::size_t Index = 0; Index != Elements.size(); ++Index) {
    object_reader Nested(*Elements[Index], Reader.pathOf("entries", Index));
    entry_settings Entry;
    Entry.Name = Nested.readName("name");
    Entry.Link = core::readAddress(Nested);
    core::finishNested(Reader, Nested);
    Settings.Entries.push_back(std::move(Entry));
  }
}

void readPlatform(object_reader &Reader, control_settings &Settings) {
  core::readNested(Reader, "platform", [&](object_reader &Nested) {
    Settings.PlatformUrl = Nested.readString("url");
    constexpr std::string_view Scheme = "http://";
    std::string_view Url = Settings.PlatformUrl;
    bool IsHttp = Url.substr(0, Scheme.size()) == Scheme;
    auto Host = IsHttp ? Url.substr(Scheme.size()) : std::string_view();
    auto Address = core::network_address::parse(Host.substr(0, Host.find('/')));
    bool IsPrintable = std::all_of(Url.begin(), Url.end(),
                                   [](char C) { return C > ' ' && C <= '~'; });
    if (!Url.empty() && (!Address || !Address->isUnicast() || !IsPrintable))
      Nested.reject("url", Url,
                    "must start with http://, an IP address and a port");
  });
}

core::duration readMilliseconds(object_reader &Reader, std::string_view Name,
                                std::int64_t Minimum, std::int64_t Maximum,
                                core::duration Default) {
  auto Count =
      std::chrono::duration_cast<std::chrono::milliseconds>(Default).count();
  return std::chrono::milliseconds(
      Reader.readInteger(Name, Minimum, Maximum, Count));
}

void readTiming(object_reader &Nested, timing_settings &Timing) {
  Timing.Heartbeat =
      readMilliseconds(Nested, "heartbeat_ms", 10, 5000, Timing.Heartbeat);
  Timing.ElectionTimeout = readMilliseconds(Nested, "election_timeout_ms", 50,
                                            60000, Timing.ElectionTimeout);
  Timing.ReconcileInterval = readMilliseconds(
      Nested, "reconcile_interval_ms", 50, 60000, Timing.ReconcileInterval);
  Timing.ShutdownTimeout = readMilliseconds(Nested, "shutdown_timeout_ms", 100,
                                            600000, Timing.ShutdownTimeout);
  if (Timing.ElectionTimeout < MinHeartbeatsPerTimeout * Timing.Heartbeat)
    Nested.reject(
        "election_timeout_ms",
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                           Timing.ElectionTimeout)
                           .count()),
        "must be at least three times heartbeat_ms");
}

/// Rejects names and listen addresses that are used more than once.
class uniqueness_checker {
public:
  explicit uniqueness_checker(object_reader &Reader) : Reader(Reader) {}

  void checkName(const std::string &Path, const std::string &Name) {
    if (!Name.empty() && !Names.insert(Name).second)
      Reader.reject(Path + ".name", Name, "is used by another process");
  }
  void checkAddress(const std::string &Path, const socket_address &Address) {
    if (Address.Port == 0)
      return;
    auto Text = core::toString(Address);
    if (!Addresses.insert(Text).second)
      Reader.reject(Path, Text, "is used by another listener");
  }

private:
  object_reader &Reader;
  std::set<std::string> Names;
  std::set<std::string> Addresses;
};

void checkUnique(object_reader &Reader, const control_settings &Settings) {
  uniqueness_checker Unique(Reader);
  for (std::size_t Index = 0; Index != Settings.Controls.size(); ++Index) {
    auto Path = Reader.pathOf("controls", Index);
    const auto &Replica = Settings.Controls[Index];
    Unique.checkName(Path, Replica.Name);
    Unique.checkAddress(Path + ".port", Replica.Link);
    Unique.checkAddress(Path + ".http_port", Replica.Http);
  }
  for (std::size_t Index = 0; Index != Settings.Entries.size(); ++Index) {
    auto Path = Reader.pathOf("entries", Index);
    Unique.checkName(Path, Settings.Entries[Index].Name);
    Unique.checkAddress(Path + ".port", Settings.Entries[Index].Link);
  }
}

void checkListener(object_reader &Reader, std::string_view Name,
                   const socket_address &Own, const socket_address &Listed) {
  if (Own.Port != Listed.Port)
    Reader.reject(std::string(Name) + ".port", std::to_string(Own.Port),
                  "must be the port of this replica in controls");
  if (!isWildcardAddress(Own.Address) && Own.Address != Listed.Address)
    Reader.reject(std::string(Name) + ".address", Own.Address,
                  "must be the address of this replica in controls, or the "
                  "address of all interfaces");
}

void checkSelf(object_reader &Reader, const control_settings &Settings) {
  for (const auto &Replica : Settings.Controls) {
    if (Replica.Name != Settings.Name)
      continue;
    if (Replica.Zone != Settings.Zone)
      Reader.reject("zone", Settings.Zone,
                    "must be the zone of this replica in controls");
    checkListener(Reader, "listen", Settings.Listen, Replica.Http);
    checkListener(Reader, "link", Settings.Link, Replica.Link);
    return;
  }
  Reader.reject("name", Settings.Name, "must be listed in controls");
}

void checkZones(object_reader &Reader, const control_settings &Settings) {
  std::map<std::string, std::size_t> PerZone;
  for (const auto &Replica : Settings.Controls)
    ++PerZone[Replica.Zone];
  if (PerZone.size() < MinZonesToSpread)
    return;
  for (const auto &[Zone, Count] : PerZone)
    if (Count * 2 > Settings.Controls.size())
      Reader.reject("controls", Zone,
                    "no zone may hold a majority of the replicas");
}

} // namespace

core::result<control_settings> parseControlSettings(std::string_view Text) {
  BOOST_LEAF_AUTO(Value, core::parseJson(Text, MaxSettingsBytes));
  object_reader Reader(Value, "");
  control_settings Settings;
  Reader.readChoice("role", {"control"});
  Settings.Name = Reader.readName("name");
  Settings.Zone = Reader.readName("zone");
  Settings.Cluster = Reader.readName("cluster");
  Settings.DataFolder = Reader.readString("data_folder", 1, MaxPathBytes);
  Settings.Listen = core::readSocket(Reader, "listen");
  Settings.Link = core::readSocket(Reader, "link");
  readControls(Reader, Settings);
  readEntries(Reader, Settings);
  readPlatform(Reader, Settings);
  Settings.Log = core::readLog(Reader);
  Settings.Limits = http::readLimits(Reader, Settings.Limits);
  core::readNested(Reader, "timing", [&](object_reader &Nested) {
    readTiming(Nested, Settings.Timing);
  });
  core::readNested(Reader, "snapshot", [&](object_reader &Nested) {
    Settings.SnapshotEveryEntries = static_cast<std::uint64_t>(
        Nested.readInteger("every_entries", MinSnapshotEntries,
                           MaxSnapshotEntries, DefaultSnapshotEntries));
  });
  if (!Reader.error()) {
    checkUnique(Reader, Settings);
    checkSelf(Reader, Settings);
    checkZones(Reader, Settings);
  }
  if (auto Failure = core::captureFailure([&] { return Reader.finish(); }))
    return core::fail(std::move(*Failure));
  return Settings;
}

} // namespace lycheetrestle::control
