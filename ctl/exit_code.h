#ifndef LYCHEETRESTLE_CTL_EXIT_CODE_H
#define LYCHEETRESTLE_CTL_EXIT_CODE_H

namespace lycheetrestle::ctl {

/// Exit codes of lycheetrestlectl. Scripts rely on the numbers.
enum class exit_code : int {
  Done = 0,
  Refused = 1,     ///< Refused by the system; nothing was changed.
  BadInput = 2,    ///< Usage error or bad input; nothing was changed.
  Unavailable = 3, ///< No replica answered; certainly not done.
  Unknown = 4,     ///< The change may or may not have been made.
  TimedOut = 5,    ///< The wait ended before its condition was met.
};

} // namespace lycheetrestle::ctl

#endif
