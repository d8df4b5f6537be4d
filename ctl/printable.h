#ifndef LYCHEETRESTLE_CTL_PRINTABLE_H
#define LYCHEETRESTLE_CTL_PRINTABLE_H

#include <string>
#include <string_view>

namespace lycheetrestle::ctl {

/// \param Text text from a reply.
/// \returns it with every control character replaced by `?`, so that it cannot
/// send escape sequences to the terminal.
std::string printable(std::string_view Text);

} // namespace lycheetrestle::ctl

#endif
