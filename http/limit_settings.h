#ifndef LYCHEETRESTLE_HTTP_LIMIT_SETTINGS_H
#define LYCHEETRESTLE_HTTP_LIMIT_SETTINGS_H

#include "core/object_reader.h"
#include "http/connection_budget.h"

#include <cstddef>

namespace lycheetrestle::http {

/// Descriptors of a process whose settings do not state them.
inline constexpr std::size_t DefaultDescriptors = 1024;

/// Reads the fields of the group `limits` that bound the process.
/// \param Group the group, which may have other fields.
/// \param Default used for what is absent.
process_limits readLimitFields(core::object_reader &Group,
                               process_limits Default);

/// Reads the optional group `limits` of the settings of a process.
/// \param Default used for what is absent.
process_limits readLimits(core::object_reader &Reader, process_limits Default);

} // namespace lycheetrestle::http

#endif
