#ifndef LYCHEETRESTLE_TRANSPORT_HELLO_H
#define LYCHEETRESTLE_TRANSPORT_HELLO_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace lycheetrestle::transport {

/// First message that each side sends on a connection.
struct hello {
  std::string Name;
  /// Increases with every hello of the same process name. Distinguishes a new
  /// connection of a peer from a delayed older one.
  std::uint64_t Stamp = 0;
};

/// Maximum size of a process name.
constexpr std::size_t MaxNameBytes = 128;
/// Larger messages close the connection until the hello is accepted.
constexpr std::size_t MaxHelloBytes = 512;

/// \returns the hello as CBOR.
std::string encodeHello(const hello &Hello);
/// \returns the hello, or nothing when the bytes are not a valid hello of this
/// protocol version.
std::optional<hello> decodeHello(const std::string &Bytes);

} // namespace lycheetrestle::transport

#endif
