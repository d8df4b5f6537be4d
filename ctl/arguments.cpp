#include "ctl/arguments.h"

#include "core/network_address.h"

#include <algorithm>
#include <charconv>

namespace lycheetrestle::ctl {

namespace {

constexpr std::size_t MaxNameLength = 64;
constexpr std::uint64_t MaxPort = 65535;

bool isNameCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') || C == '.' || C == '_' || C == '-';
}

} // namespace

std::optional<std::uint64_t> parseNumber(const std::string &Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] = std::from_chars(Text.data(), End, Number);
  if (Text.empty() || Error != std::errc() || Stop != End)
    return std::nullopt;
  return Number;
}

bool isAddress(std::string_view Text) {
  auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return false;
  if (core::network_address::parse(Text))
    return true;
  // A person may give a name; user information or a path is not part of one.
  auto Host = Text.substr(0, Colon);
  auto Port = parseNumber(std::string(Text.substr(Colon + 1)));
  return std::all_of(Host.begin(), Host.end(), isNameCharacter) && Port &&
         *Port >= 1 && *Port <= MaxPort;
}

bool isName(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxNameLength && Text != "." &&
         Text != ".." && std::all_of(Text.begin(), Text.end(), isNameCharacter);
}

} // namespace lycheetrestle::ctl
