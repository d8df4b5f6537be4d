#ifndef LYCHEETRESTLE_ENTRY_ENTRY_PROCESS_H
#define LYCHEETRESTLE_ENTRY_ENTRY_PROCESS_H

#include "entry/entry_settings.h"
#include "entry/stop_source.h"

namespace lycheetrestle::entry {

/// Exit codes of runEntry().
constexpr int EntryStopped = 0;      ///< Every request was answered.
constexpr int EntryNotStarted = 1;   ///< An address could not be bound.
constexpr int EntryStoppedEarly = 2; ///< Requests may have been interrupted.

/// Runs an entry until it is stopped. The calling thread becomes the routing
/// thread. The log must be initialised before.
/// \param Settings validated settings.
/// \param Stop receives the stop requests; see docs/design.md, section 7.
/// \returns one of the exit codes above.
int runEntry(const entry_settings &Settings, stop_source &Stop);

} // namespace lycheetrestle::entry

#endif
