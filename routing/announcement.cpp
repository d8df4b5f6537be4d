#include "core/network_address.h"
#include "core/object_reader.h"
#include "routing/entry_router.h"

namespace lycheetrestle::routing {

namespace {

constexpr std::size_t MaxAnnouncementBytes = 4096;
constexpr std::int64_t MaxSlots = 4096;
constexpr std::int64_t DefaultSlots = 8;
constexpr std::int64_t MaxConnections = 65536;
constexpr std::int64_t DefaultConnections = 64;

} // namespace

core::result<announcement> parseAnnouncement(std::string_view Text) {
  auto Parsed = core::parseJson(Text, MaxAnnouncementBytes);
  if (!Parsed)
    return Parsed.error();
  core::object_reader Reader(Parsed.value(), "");
  announcement Result;
  Result.Endpoint = Reader.readName("endpoint");
  Result.Incarnation = Reader.readInteger("incarnation", 0, INT64_MAX);
  Result.Sequence = Reader.readInteger("sequence", 0, INT64_MAX);
  Result.Service = Reader.readName("service");
  Result.Pool = Reader.readName("pool");
  Result.Host = Reader.readName("host");
  Result.Zone = Reader.readName("zone");
  Result.Address = Reader.readString("address");
  // Only literal addresses are accepted: every entry would have to resolve a
  // name, and endpoints announce IP addresses.
  auto Address = core::network_address::parse(Result.Address);
  if (!Reader.error() && (!Address || !Address->isUnicast()))
    Reader.reject("address", Result.Address, core::AddressRule);
  if (Address)
    Result.Address = Address->text();
  Result.Slots = static_cast<std::uint32_t>(
      Reader.readInteger("slots", 1, MaxSlots, DefaultSlots));
  Result.Connections = static_cast<std::uint32_t>(
      Reader.readInteger("connections", 1, MaxConnections, DefaultConnections));
  Result.Leaving =
      Reader.readChoice("state", {"ready", "leaving"}) == "leaving";
  Result.InFlight = static_cast<std::uint32_t>(
      Reader.readInteger("in_flight", 0, INT32_MAX, 0));
  auto Finished = Reader.finish();
  if (!Finished)
    return Finished.error();
  return Result;
}

} // namespace lycheetrestle::routing
