#ifndef LYCHEETRESTLE_CTL_WAIT_COMMAND_H
#define LYCHEETRESTLE_CTL_WAIT_COMMAND_H

#include "ctl/command_context.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheetrestle::ctl {

/// The in-force part of a status reply.
struct rollout_progress {
  std::uint64_t Accepted = 0; ///< Newest accepted declaration.
  std::uint64_t InForce = 0;  ///< Newest declaration in force everywhere.
  std::string Waiting;        ///< Entries without it, separated by commas.
};

/// \param Body reply of `GET /v1/status`.
/// \returns the progress, or nothing when the reply lacks it.
std::optional<rollout_progress> readRolloutProgress(std::string_view Body);

/// Waits until a declaration, or a newer one, is in force everywhere. Progress
/// goes to standard error.
/// \returns Done, or TimedOut.
exit_code waitUntilInForce(const command_context &Context,
                           std::uint64_t Number);

/// The command `wait NUMBER`.
exit_code waitCommand(const command_context &Context);

} // namespace lycheetrestle::ctl

#endif
