#ifndef LYCHEETRESTLE_CORE_INVARIANT_H
#define LYCHEETRESTLE_CORE_INVARIANT_H

#include <string_view>

namespace lycheetrestle::core {

/// Called when an invariant is violated. The default logs the event and aborts,
/// because a process with invalid state must not make further decisions.
using invariant_handler = void (*)(std::string_view What);

/// \param Handler replaces the current handler; tests pass one that throws.
/// \returns the previous handler.
invariant_handler setInvariantHandler(invariant_handler Handler);

/// Checks an invariant in every build.
/// \param Holds the condition that must be true.
/// \param What names the invariant in the log.
void checkInvariant(bool Holds, std::string_view What);

} // namespace lycheetrestle::core

#endif
