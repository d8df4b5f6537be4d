#ifndef LYCHEETRESTLE_CTL_COMMAND_LINE_H
#define LYCHEETRESTLE_CTL_COMMAND_LINE_H

#include "ctl/options.h"

#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::ctl {

/// What the user typed.
struct command_line {
  options Options;
  std::vector<std::string> Words; ///< Command and its arguments.
  bool Help = false;
  std::string Problem; ///< Usage error, or empty.
};

/// Reads the flags, with gflags, and the words between them. A flag may stand
/// anywhere; `--` ends the flags.
/// \param Arguments the arguments without the program's name.
command_line readCommandLine(const std::vector<std::string> &Arguments);

/// \returns the text of `--help`.
std::string_view helpText();

} // namespace lycheetrestle::ctl

#endif
