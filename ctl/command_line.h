#ifndef LYCHEETRESTLE_CTL_COMMAND_LINE_H
#define LYCHEETRESTLE_CTL_COMMAND_LINE_H

#include "ctl/options.h"

#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::ctl {

/// A parsed command line.
struct command_line {
  options Options;
  std::vector<std::string> Words; ///< Command and its arguments.
  bool Help = false;
  std::string Problem; ///< Usage error, or empty.
};

/// Parses the flags with gflags, and the positional words between them. Flags
/// and words may be mixed; `--` ends the flags.
/// \param Arguments the arguments without the program's name.
/// \returns the parsed line; Problem is set after a usage error.
command_line readCommandLine(const std::vector<std::string> &Arguments);

/// \returns the text of `--help`.
std::string_view helpText();

} // namespace lycheetrestle::ctl

#endif
