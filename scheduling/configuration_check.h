#ifndef LYCHEETRESTLE_SCHEDULING_CONFIGURATION_CHECK_H
#define LYCHEETRESTLE_SCHEDULING_CONFIGURATION_CHECK_H

#include "core/failure.h"
#include "scheduling/types.h"

#include <optional>

namespace lycheetrestle::scheduling {

/// Checks the rules that concern several members of a configuration.
/// \param Configuration a configuration whose members have valid types.
/// \returns nothing, or the first violated rule with its field and value.
std::optional<core::failure>
checkConfiguration(const configuration &Configuration);

/// Checks the number of steps and tasks of a job and their dependencies.
/// \param Job a job whose members have valid types.
/// \returns nothing, or the first violated rule with its field and value.
std::optional<core::failure> checkJob(const job_spec &Job);

} // namespace lycheetrestle::scheduling

#endif
