#ifndef LYCHEETRESTLE_FLEET_RULES_H
#define LYCHEETRESTLE_FLEET_RULES_H

#include "fleet/change.h"
#include "fleet/commands.h"
#include "fleet/state_data.h"

#include <optional>

namespace lycheetrestle::fleet {

/// Checks a declaration by itself, independent of the current state: counts,
/// names, references, budgets, zones and racks.
/// \param Next the declaration.
/// \returns the first broken rule with field and value, or nothing.
std::optional<core::failure> checkDeclaration(const declaration &Next);

/// Checks a declaration by itself and against the state: its number, and the
/// hosts and pools that must not be removed.
/// \returns the first broken rule, or nothing.
std::optional<core::failure> checkAgainst(const state_data &State,
                                          const declaration &Next);

/// Apply a command to the state. A failure leaves the state unchanged.
change_outcome applyTo(state_data &State, const submit_declaration &Command,
                       const origin &From);
change_outcome applyTo(state_data &State, const request_host_goal &Command,
                       const origin &From);
change_outcome applyTo(state_data &State, const change_host_state &Command,
                       const origin &From);
change_outcome applyTo(state_data &State, const start_wave &Command,
                       const origin &From);
change_outcome applyTo(state_data &State, const pause_wave &Command,
                       const origin &From);
change_outcome applyTo(state_data &State, const resume_wave &Command,
                       const origin &From);
change_outcome applyTo(state_data &State, const finish_wave &Command,
                       const origin &From);
change_outcome applyTo(state_data &State, const submit_job &Command,
                       const origin &From);
change_outcome applyTo(state_data &State, const cancel_job &Command,
                       const origin &From);
change_outcome applyTo(state_data &State, const start_job &Command,
                       const origin &From);
change_outcome applyTo(state_data &State, const renew_job_lease &Command,
                       const origin &From);
change_outcome applyTo(state_data &State, const change_job_state &Command,
                       const origin &From);
change_outcome applyTo(state_data &State, const reserve_key &Command,
                       const origin &From);
change_outcome applyTo(state_data &State, const complete_key &Command,
                       const origin &From);
change_outcome applyTo(state_data &State, const abandon_key &Command,
                       const origin &From);

/// Counts the unplanned loss of a host against its wave and pauses the wave at
/// the declared limit. Does nothing for wave 0 or a finished wave.
void recordWaveFailure(state_data &State, std::uint64_t Wave);
/// Counts a host as done in its wave and removes it from the wave. Does nothing
/// if the host is in no wave.
void recordWaveDone(state_data &State, host_record &Host);
/// Subtracts a removed host from the total of the open wave, unless the wave
/// has finished with the host or excludes it.
void recordWaveRemoval(state_data &State, const host_record &Host);

} // namespace lycheetrestle::fleet

#endif
