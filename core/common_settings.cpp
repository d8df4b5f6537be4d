#include "core/common_settings.h"

#include "core/network_address.h"

namespace lycheetrestle::core {

namespace {

constexpr std::size_t MaxAddressBytes = 64;
constexpr std::size_t MaxPathBytes = 4096;

log_level toLogLevel(std::string_view Name) {
  if (Name == "debug")
    return log_level::Debug;
  if (Name == "warning")
    return log_level::Warning;
  if (Name == "error")
    return log_level::Error;
  return log_level::Info;
}

} // namespace

std::string toString(const socket_address &Socket) {
  bool IsIpv6 = Socket.Address.find(':') != std::string::npos;
  return (IsIpv6 ? "[" + Socket.Address + "]" : Socket.Address) + ":" +
         std::to_string(Socket.Port);
}

void finishNested(object_reader &Outer, object_reader &Nested) {
  if (auto Failure = captureFailure([&] { return Nested.finish(); }))
    Outer.reject(std::move(*Failure));
}

socket_address readAddress(object_reader &Reader, std::string_view AddressName,
                           std::string_view PortName) {
  socket_address Socket;
  Socket.Address = readIpAddress(Reader, AddressName);
  Socket.Port =
      static_cast<std::uint16_t>(Reader.readInteger(PortName, 1, 65535));
  return Socket;
}

socket_address readSocket(object_reader &Reader, std::string_view Name) {
  socket_address Socket;
  bool IsRead = readNested(Reader, Name, [&](object_reader &Nested) {
    Socket = readAddress(Nested);
  });
  if (!IsRead && !Reader.has(Name))
    Reader.reject(Name, "", "is required and must be an object");
  return Socket;
}

log_settings readLog(object_reader &Reader) {
  log_settings Log;
  readNested(Reader, "log", [&](object_reader &Nested) {
    Log.File = Nested.readString("file", "", 0, MaxPathBytes);
    if (Nested.has("level"))
      Log.Level = toLogLevel(
          Nested.readChoice("level", {"debug", "info", "warning", "error"}));
  });
  return Log;
}

socket_address readSocketText(object_reader &Reader, std::string_view Name) {
  auto Address = readNetworkAddress(Reader, Name);
  return Address ? socket_address{Address->ip(), Address->port()}
                 : socket_address{};
}

std::optional<network_address> readNetworkAddress(object_reader &Reader,
                                                  std::string_view Name) {
  auto Text = Reader.readString(Name, 1, MaxAddressBytes);
  auto Address = network_address::parse(Text);
  // A text of a wrong type or length is rejected already.
  if (!Text.empty() && !Address)
    Reader.reject(Name, Text, AddressRule);
  return Address;
}

std::optional<network_address> readOptionalAddress(object_reader &Reader,
                                                   std::string_view Name) {
  if (!Reader.has(Name) || Reader.readString(Name, "").empty())
    return std::nullopt;
  return readNetworkAddress(Reader, Name);
}

std::string readIpAddress(object_reader &Reader, std::string_view Name) {
  auto Text = Reader.readString(Name, 1, MaxAddressBytes);
  if (!Text.empty() && !isIpAddress(Text))
    Reader.reject(Name, Text, "must be an IP address");
  return Text;
}

std::vector<std::string> readSeeds(object_reader &Reader) {
  constexpr std::size_t MaxSeeds = 16;
  std::vector<std::string> Seeds;
  for (const auto *Element : Reader.readArray("seeds", MaxSeeds)) {
    const auto *Text = Element->get_ptr<const std::string *>();
    auto Address = Text ? network_address::parse(*Text) : std::nullopt;
    if (!Address || !Address->isUnicast()) {
      Reader.reject("seeds", Element->dump(),
                    "must hold IP addresses with ports");
      return {};
    }
    Seeds.push_back(Address->ip());
  }
  return Seeds;
}

} // namespace lycheetrestle::core
