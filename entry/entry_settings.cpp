#include "entry/entry_settings.h"

#include "core/object_reader.h"

#include <map>

namespace lycheetrestle::entry {

namespace {

constexpr std::size_t MaxSettingsBytes = 256u << 10;
constexpr std::size_t MaxEntries = 64;
constexpr std::size_t MaxControls = 9;

std::vector<named_address> readAddresses(core::object_reader &Reader,
                                         std::string_view Name,
                                         std::size_t MaxElements) {
  std::vector<named_address> Addresses;
  auto Elements = Reader.readArray(Name, MaxElements);
  if (Elements.empty() && !Reader.error())
    Reader.reject(Name, "[]", "must have at least one element");
  for (std::size_t Index = 0; Index < Elements.size(); ++Index) {
    core::object_reader Nested(*Elements[Index], Reader.pathOf(Name, Index));
    named_address Address;
    Address.Name = Nested.readName("name");
    Address.Socket = core::readAddress(Nested);
    core::finishNested(Reader, Nested);
    Addresses.push_back(std::move(Address));
  }
  return Addresses;
}

// Names and addresses must be unique across entries and controls, because links
// are addressed by name and two processes cannot share a listening socket.
void checkDistinct(core::object_reader &Reader,
                   const entry_settings &Settings) {
  std::map<std::string, std::string> PathByName;
  std::map<std::string, std::string> PathByAddress;
  auto Check = [&](std::string_view List, std::size_t Index,
                   const named_address &Address) {
    auto Place = Reader.pathOf(List, Index);
    auto Name = PathByName.try_emplace(Address.Name, Place);
    if (!Name.second)
      Reader.reject(Place + ".name", Address.Name,
                    "must differ from " + Name.first->second + ".name");
    auto Text = core::toString(Address.Socket);
    auto Socket = PathByAddress.try_emplace(Text, Place);
    if (!Socket.second)
      Reader.reject(Place + ".address", Text,
                    "must differ from the address of " + Socket.first->second);
  };
  for (std::size_t Index = 0; Index < Settings.Entries.size(); ++Index)
    Check("entries", Index, Settings.Entries[Index]);
  for (std::size_t Index = 0; Index < Settings.Controls.size(); ++Index)
    Check("controls", Index, Settings.Controls[Index]);
  auto Listen = PathByAddress.find(core::toString(Settings.Listen));
  if (Listen != PathByAddress.end())
    Reader.reject("listen", core::toString(Settings.Listen),
                  "must differ from the address of " + Listen->second);
  if (Settings.Listen == Settings.Link)
    Reader.reject("link", core::toString(Settings.Link),
                  "must differ from listen");
}

void checkSelf(core::object_reader &Reader, const entry_settings &Settings) {
  for (std::size_t Index = 0; Index < Settings.Entries.size(); ++Index) {
    if (Settings.Entries[Index].Name != Settings.Name)
      continue;
    // The other entries connect to the port of this list.
    if (Settings.Entries[Index].Socket.Port != Settings.Link.Port)
      Reader.reject(Reader.pathOf("entries", Index) + ".port",
                    std::to_string(Settings.Entries[Index].Socket.Port),
                    "must be equal to link.port");
    return;
  }
  Reader.reject("name", Settings.Name, "must be one of the names in entries");
}

} // namespace

core::result<entry_settings> parseEntrySettings(std::string_view Text) {
  auto Parsed = core::parseJson(Text, MaxSettingsBytes);
  if (!Parsed)
    return Parsed.error();
  const nlohmann::json Document = std::move(Parsed.value());
  core::object_reader Reader(Document, "");
  entry_settings Settings;
  Reader.readChoice("role", {"entry"});
  Settings.Name = Reader.readName("name");
  Settings.Zone = Reader.readName("zone");
  Settings.Listen = core::readSocket(Reader, "listen");
  Settings.Link = core::readSocket(Reader, "link");
  Settings.Entries = readAddresses(Reader, "entries", MaxEntries);
  Settings.Controls = readAddresses(Reader, "controls", MaxControls);
  Settings.Log = core::readLog(Reader);
  core::readNested(Reader, "limits", [&](auto &Nested) {
    auto Read = [&](std::string_view Name, std::int64_t Maximum, auto &Value) {
      Value = static_cast<std::decay_t<decltype(Value)>>(Nested.readInteger(
          Name, 1, Maximum, static_cast<std::int64_t>(Value)));
    };
    Read("in_flight", 100000, Settings.MaxInFlight);
    Read("queue", 100000, Settings.MaxQueued);
    Read("body_bytes", 64 << 20, Settings.MaxBodyBytes);
    Read("response_bytes", 64 << 20, Settings.MaxResponseBytes);
    Read("caller_connections", 100000, Settings.MaxCallerConnections);
    Settings.Limits = http::readLimitFields(Nested, Settings.Limits);
  });
  core::readNested(Reader, "timing", [&](auto &Nested) {
    auto Read = [&](std::string_view Name, std::int64_t Minimum,
                    std::int64_t Maximum, std::uint32_t &Value) {
      Value = static_cast<std::uint32_t>(
          Nested.readInteger(Name, Minimum, Maximum, Value));
    };
    // 3 s is the limit for stale configuration (docs/design.md, 6.3), so it
    // can only be lowered.
    Read("freshness_ms", 100, 3000, Settings.FreshnessMs);
    Read("probe_interval_ms", 10, 3000, Settings.ProbeIntervalMs);
    Read("linger_ms", 0, 600000, Settings.LingerMs);
    Read("shutdown_timeout_ms", 1, 3600000, Settings.ShutdownTimeoutMs);
    if (Settings.ProbeIntervalMs * 2 > Settings.FreshnessMs)
      Nested.reject("probe_interval_ms",
                    std::to_string(Settings.ProbeIntervalMs),
                    "must be at most half of freshness_ms");
    if (Settings.LingerMs >= Settings.ShutdownTimeoutMs)
      Nested.reject("linger_ms", std::to_string(Settings.LingerMs),
                    "must be less than shutdown_timeout_ms");
  });
  if (!Reader.error()) {
    checkDistinct(Reader, Settings);
    checkSelf(Reader, Settings);
  }
  auto Finished = Reader.finish();
  if (!Finished)
    return Finished.error();
  return Settings;
}

} // namespace lycheetrestle::entry
