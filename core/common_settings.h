#ifndef LYCHEETRESTLE_CORE_COMMON_SETTINGS_H
#define LYCHEETRESTLE_CORE_COMMON_SETTINGS_H

#include "core/event_log.h"
#include "core/network_address.h"
#include "core/object_reader.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::core {

/// Largest settings file in bytes.
inline constexpr std::size_t MaxSettingsBytes = 64u << 10;

/// Address of a listening socket; tests listen at port 0, any free one.
struct socket_address {
  std::string Address; ///< IPv4 or IPv6 address in text form.
  std::uint16_t Port = 0;
  bool operator==(const socket_address &) const = default;
};

/// \returns `address:port`, an IPv6 address in brackets, also for URLs.
std::string toString(const socket_address &Socket);

/// Destination and level of the log.
struct log_settings {
  std::string File; ///< Empty for standard output.
  log_level Level = log_level::Info;
};

/// Finishes a nested reader and records its first error in the outer one.
void finishNested(object_reader &Outer, object_reader &Nested);

/// Calls a function with a reader of an optional nested object and records its
/// first error in the outer reader.
/// \param Name the member's name.
/// \param Read called with the nested reader when the member is present.
/// \returns whether the member is present and an object.
template <typename Callable>
bool readNested(object_reader &Reader, std::string_view Name, Callable &&Read) {
  const auto *Value = Reader.readObject(Name);
  if (!Value)
    return false;
  object_reader Nested(*Value, Reader.pathOf(Name));
  Read(Nested);
  finishNested(Reader, Nested);
  return true;
}

/// Reads an IP address and a port from two members of the object.
socket_address readAddress(object_reader &Reader,
                           std::string_view AddressName = "address",
                           std::string_view PortName = "port");

/// Reads a required nested object with the members `address` and `port`.
socket_address readSocket(object_reader &Reader, std::string_view Name);

/// Reads a required address in the form `ip:port` from one member.
socket_address readSocketText(object_reader &Reader, std::string_view Name);

/// Reads a required address of another process from one member, `ip:port`.
/// \returns nothing when it is rejected.
std::optional<network_address> readNetworkAddress(object_reader &Reader,
                                                  std::string_view Name);

/// Reads an optional address like readNetworkAddress().
/// \returns nothing when it is absent, empty or rejected.
std::optional<network_address> readOptionalAddress(object_reader &Reader,
                                                   std::string_view Name);

/// Reads a required IP address without a port from one member.
std::string readIpAddress(object_reader &Reader, std::string_view Name);

/// Reads the required list `seeds` of addresses in the form `ip:port`.
/// \returns the IP addresses without the ports.
std::vector<std::string> readSeeds(object_reader &Reader);

/// Reads the optional nested object `log` with the members `file` and `level`.
log_settings readLog(object_reader &Reader);

} // namespace lycheetrestle::core

#endif
