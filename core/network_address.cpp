#include "core/network_address.h"

#include <arpa/inet.h>

#include <charconv>

namespace lycheetrestle::core {

namespace {

// Above the longest IPv6 address in text form.
constexpr std::size_t MaxIpBytes = 45;
constexpr std::uint8_t FirstMulticastOctet = 224; // Reserved ones follow.

bool parseIp(int Family, std::string_view Text, void *Bytes) {
  // inet_pton() stops at a null byte.
  if (Text.size() > MaxIpBytes || Text.find('\0') != std::string_view::npos)
    return false;
  return inet_pton(Family, std::string(Text).c_str(), Bytes) == 1;
}

bool isUnicastIpv4(std::uint8_t FirstOctet) {
  return FirstOctet != 0 && FirstOctet < FirstMulticastOctet;
}

} // namespace

bool isIpAddress(std::string_view Text) {
  in6_addr Bytes{};
  return parseIp(AF_INET, Text, &Bytes) || parseIp(AF_INET6, Text, &Bytes);
}

std::optional<network_address> network_address::parse(std::string_view Text) {
  auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  auto Ip = Text.substr(0, Colon);
  bool HasBrackets = Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']';
  if (HasBrackets)
    Ip = Ip.substr(1, Ip.size() - 2);
  in6_addr Bytes{};
  // Without brackets the last part of an IPv6 address would be taken for the
  // port.
  if (!parseIp(HasBrackets ? AF_INET6 : AF_INET, Ip, &Bytes))
    return std::nullopt;
  std::uint16_t Port = 0;
  const char *Last = Text.data() + Text.size();
  auto Parsed = std::from_chars(Text.data() + Colon + 1, Last, Port);
  if (Parsed.ec != std::errc() || Parsed.ptr != Last || Port == 0)
    return std::nullopt;
  return network_address(Ip, Port);
}

bool network_address::isUnicast() const {
  in_addr Ipv4{};
  if (parseIp(AF_INET, Ip, &Ipv4))
    return isUnicastIpv4(static_cast<std::uint8_t>(ntohl(Ipv4.s_addr) >> 24));
  in6_addr Ipv6{};
  if (!parseIp(AF_INET6, Ip, &Ipv6))
    return false;
  if (IN6_IS_ADDR_V4MAPPED(&Ipv6))
    return isUnicastIpv4(Ipv6.s6_addr[12]);
  return !IN6_IS_ADDR_UNSPECIFIED(&Ipv6) && !IN6_IS_ADDR_MULTICAST(&Ipv6);
}

std::string network_address::text() const {
  bool IsIpv6 = Ip.find(':') != std::string::npos;
  return (IsIpv6 ? "[" + Ip + "]" : Ip) + ":" + std::to_string(Port);
}

} // namespace lycheetrestle::core
