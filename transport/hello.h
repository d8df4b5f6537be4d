#ifndef LYCHEETRESTLE_TRANSPORT_HELLO_H
#define LYCHEETRESTLE_TRANSPORT_HELLO_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace lycheetrestle::transport {

/// First message of both sides of a connection.
struct hello {
  std::string Name;
  /// Larger for each later hello of the same process name. It tells a new
  /// connection of a peer from one that was delayed.
  std::uint64_t Stamp = 0;
};

constexpr std::size_t MaxNameBytes = 128;
/// Until the hello is accepted, larger messages end the connection.
constexpr std::size_t MaxHelloBytes = 512;

/// \returns the hello as CBOR.
std::string encodeHello(const hello &Hello);
/// \returns the hello, or nothing when the bytes are not one.
std::optional<hello> decodeHello(const std::string &Bytes);

} // namespace lycheetrestle::transport

#endif
