#ifndef LYCHEETRESTLE_SCHEDULING_CONFIGURATION_CHECK_H
#define LYCHEETRESTLE_SCHEDULING_CONFIGURATION_CHECK_H

#include "core/failure.h"
#include "scheduling/types.h"

#include <optional>

namespace lycheetrestle::scheduling {

/// Checks the rules that hold across a whole configuration.
/// \param Configuration every field of it is of the right type already.
/// \returns nothing, or the first broken rule with its field and value.
std::optional<core::failure>
checkConfiguration(const configuration &Configuration);

/// Checks that a job can be run as it is described.
/// \param Job every field of it is of the right type already.
/// \returns nothing, or the first broken rule with its field and value.
std::optional<core::failure> checkJob(const job_spec &Job);

} // namespace lycheetrestle::scheduling

#endif
