#ifndef LYCHEETRESTLE_CORE_NETWORK_ADDRESS_H
#define LYCHEETRESTLE_CORE_NETWORK_ADDRESS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheetrestle::core {

/// What a text has to be so that network_address::parse() accepts it.
inline constexpr std::string_view AddressRule =
    "must be an IP address and a port of 1 to 65535, as in 10.0.0.1:8080 or "
    "[fd00::1]:8080";

/// \returns whether the text is an IPv4 or IPv6 address without brackets, zone
/// and port.
bool isIpAddress(std::string_view Text);

/// An IPv4 or IPv6 address and a port of 1 to 65535. Every address that enters
/// the process, from settings, documents or peers, is parsed into one, so no
/// other text ever becomes part of a URL.
class network_address {
public:
  /// \param Text `ip:port`; an IPv6 address is enclosed in brackets.
  /// \returns the address, or nothing when the text is anything else: names are
  /// not resolved, and user information, a path or a zone are not accepted.
  static std::optional<network_address> parse(std::string_view Text);

  const std::string &ip() const { return Ip; } ///< Without brackets.
  std::uint16_t port() const { return Port; }
  /// \returns whether one process can be reached there; a listening address
  /// such as 0.0.0.0, a multicast and a broadcast address name none.
  bool isUnicast() const;
  /// \returns `ip:port` as parse() accepts it and as a URL contains it.
  std::string text() const;

  bool operator==(const network_address &) const = default;

private:
  network_address(std::string_view Ip, std::uint16_t Port)
      : Ip(Ip), Port(Port) {}

  std::string Ip;
  std::uint16_t Port = 0;
};

/// \returns text() of the address, or an empty string without one.
inline std::string toText(const std::optional<network_address> &Address) {
  return Address ? Address->text() : std::string();
}

} // namespace lycheetrestle::core

#endif
