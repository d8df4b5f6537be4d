#ifndef LYCHEETRESTLE_CTL_DECLARATION_COMMANDS_H
#define LYCHEETRESTLE_CTL_DECLARATION_COMMANDS_H

#include "ctl/command_context.h"

namespace lycheetrestle::ctl {

/// Validates a declaration file locally, without a replica.
exit_code validateCommand(const command_context &Context);
/// Sends a declaration as a dry run and prints what accepting it would do.
exit_code planCommand(const command_context &Context);
/// Submits a declaration and, with `--wait`, waits until it is in force.
exit_code submitCommand(const command_context &Context);
/// Lists the accepted declarations, or shows one.
exit_code declarationsCommand(const command_context &Context);

} // namespace lycheetrestle::ctl

#endif
