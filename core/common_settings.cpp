#include "core/common_settings.h"

#include <arpa/inet.h>

#include <charconv>

namespace lycheetrestle::core {

namespace {

constexpr std::size_t MaxAddressBytes = 64;
constexpr std::size_t MaxPathBytes = 4096;

bool isIpAddress(const std::string &Text) {
  in6_addr Buffer{};
  return inet_pton(AF_INET, Text.c_str(), &Buffer) == 1 ||
         inet_pton(AF_INET6, Text.c_str(), &Buffer) == 1;
}

bool splitAddress(const std::string &Text, socket_address &Socket) {
  auto Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  Socket.Address = Text.substr(0, Colon);
  const char *First = Text.data() + Colon + 1;
  const char *Last = Text.data() + Text.size();
  auto Parsed = std::from_chars(First, Last, Socket.Port);
  return isIpAddress(Socket.Address) && Parsed.ec == std::errc() &&
         Parsed.ptr == Last && Socket.Port != 0;
}

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
  return Socket.Address + ":" + std::to_string(Socket.Port);
}

void finishNested(object_reader &Outer, object_reader &Nested) {
  if (auto Failure = captureFailure([&] { return Nested.finish(); }))
    Outer.reject(std::move(*Failure));
}

socket_address readAddress(object_reader &Reader, std::string_view AddressName,
                           std::string_view PortName) {
  socket_address Socket;
  Socket.Address = Reader.readString(AddressName, 1, MaxAddressBytes);
  if (!Socket.Address.empty() && !isIpAddress(Socket.Address))
    Reader.reject(AddressName, Socket.Address, "must be an IP address");
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
  auto Text = Reader.readString(Name);
  socket_address Socket;
  if (!Reader.error() && !splitAddress(Text, Socket))
    Reader.reject(Name, Text,
                  "must be an IP address and a port, as in 10.0.0.1:8080");
  return Socket;
}

std::vector<std::string> readSeeds(object_reader &Reader) {
  constexpr std::size_t MaxSeeds = 16;
  std::vector<std::string> Seeds;
  for (const auto *Element : Reader.readArray("seeds", MaxSeeds)) {
    socket_address Socket;
    if (!Element->is_string() ||
        !splitAddress(Element->get<std::string>(), Socket)) {
      Reader.reject("seeds", Element->dump(),
                    "must hold IP addresses with ports");
      return {};
    }
    Seeds.push_back(Socket.Address);
  }
  return Seeds;
}

} // namespace lycheetrestle::core
