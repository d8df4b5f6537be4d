#ifndef LYCHEETRESTLE_CTL_ARGUMENTS_H
#define LYCHEETRESTLE_CTL_ARGUMENTS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheetrestle::ctl {

/// \returns the number, or nothing unless the text is all digits and fits.
std::optional<std::uint64_t> parseNumber(const std::string &Text);

/// \returns whether the text is a name as declarations accept it: letters,
/// digits, '.', '_' and '-', at most 64, but not `.` or `..`. Such a name needs
/// no escaping in a path.
bool isName(const std::string &Text);

/// \returns whether the text is `host:port` with a port of 1 to 65535.
bool isAddress(std::string_view Text);

} // namespace lycheetrestle::ctl

#endif
