#ifndef LYCHEETRESTLE_TESTS_FLEET_SESSION_TEXT_H
#define LYCHEETRESTLE_TESTS_FLEET_SESSION_TEXT_H

#include <string>

namespace lycheetrestle::fleet {

/// Runs the commands of a session, one on each line that starts with `>`:
/// `> <submission or -> <actor> <milliseconds> <command and its arguments>`.
/// \returns the commands with the result below each, then the hosts that are
/// not in service and the audit trail. Comments are kept; other lines are
/// dropped.
std::string runSession(const std::string &Text);

} // namespace lycheetrestle::fleet

#endif
