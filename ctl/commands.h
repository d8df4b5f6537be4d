#ifndef LYCHEETRESTLE_CTL_COMMANDS_H
#define LYCHEETRESTLE_CTL_COMMANDS_H

#include "ctl/command_line.h"
#include "ctl/exit_code.h"

#include <iosfwd>

namespace lycheetrestle::ctl {

/// Runs one command.
/// \param Line the words and flags.
/// \param Out receives the result.
/// \param Err receives errors, progress and the submission id.
/// \returns the exit code of the process.
exit_code runCommand(const command_line &Line, std::ostream &Out,
                     std::ostream &Err);

} // namespace lycheetrestle::ctl

#endif
