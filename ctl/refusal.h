#ifndef LYCHEETRESTLE_CTL_REFUSAL_H
#define LYCHEETRESTLE_CTL_REFUSAL_H

#include "ctl/exit_code.h"
#include "ctl/http_session.h"

#include <string>

namespace lycheetrestle::ctl {

/// A parsed error reply of a replica.
struct refusal {
  exit_code Code = exit_code::Refused;
  bool Final = false;           ///< A retry would get the same reply.
  bool CertainlyNotRun = false; ///< The reply carries the verdict `not-run`.
  std::string Message;          ///< Error code, rule, field and value.
};

/// \param Reply a reply whose status is not 2xx.
/// \returns the parsed refusal. The message for a body that is not the
/// documented JSON holds the start of the body; it counts as having no verdict.
refusal readRefusal(const http_reply &Reply);

} // namespace lycheetrestle::ctl

#endif
