#include "core/object_reader.h"
#include "routing/entry_router.h"

#include <asio/ip/address.hpp>

#include <charconv>

namespace lycheetrestle::routing {

namespace {

constexpr std::size_t MaxAnnouncementBytes = 4096;
constexpr std::int64_t MaxSlots = 4096;
constexpr std::int64_t DefaultSlots = 8;
constexpr std::int64_t MaxConnections = 65536;
constexpr std::int64_t DefaultConnections = 64;
constexpr unsigned MaxPort = 65535;

// Only literal addresses are accepted: every entry would have to resolve a
// name, and endpoints announce IP addresses.
bool isAddressWithPort(std::string_view Text) {
  auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return false;
  auto Host = Text.substr(0, Colon);
  auto Port = Text.substr(Colon + 1);
  unsigned PortNumber = 0;
  auto [End, Error] =
      std::from_chars(Port.data(), Port.data() + Port.size(), PortNumber);
  if (Error != std::errc() || End != Port.data() + Port.size() ||
      PortNumber == 0 || PortNumber > MaxPort)
    return false;
  asio::error_code Code;
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    asio::ip::make_address_v6(std::string(Host.substr(1, Host.size() - 2)),
                              Code);
  else
    asio::ip::make_address_v4(std::string(Host), Code);
  return !Code;
}

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
  if (!Reader.error() && !isAddressWithPort(Result.Address))
    Reader.reject("address", Result.Address, "must be an IP address and port");
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
