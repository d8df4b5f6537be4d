#ifndef LYCHEETRESTLE_CTL_WAIT_COMMAND_H
#define LYCHEETRESTLE_CTL_WAIT_COMMAND_H

#include "ctl/command_context.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheetrestle::ctl {

/// Roll-out progress of declarations, taken from a status reply.
struct rollout_progress {
  std::uint64_t Accepted = 0; ///< Newest accepted declaration.
  std::uint64_t InForce = 0;  ///< Newest declaration in force at all entries.
  std::string Waiting;        ///< Entries that lack it, separated by commas.
};

/// \param Body reply of `GET /v1/status`.
/// \returns the progress, or nothing when the reply lacks it.
std::optional<rollout_progress> readRolloutProgress(std::string_view Body);

/// Polls the status until a declaration, or a newer one, is in force at every
/// entry, and prints progress to Err.
/// \param Number number of the declaration.
/// \returns Done, TimedOut, or Unavailable after an incomplete status reply.
exit_code waitUntilInForce(const command_context &Context,
                           std::uint64_t Number);

/// Runs the command `wait NUMBER`.
exit_code waitCommand(const command_context &Context);

} // namespace lycheetrestle::ctl

#endif
