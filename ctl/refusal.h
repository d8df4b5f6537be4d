#ifndef LYCHEETRESTLE_CTL_REFUSAL_H
#define LYCHEETRESTLE_CTL_REFUSAL_H

#include "ctl/exit_code.h"
#include "ctl/http_session.h"

#include <string>

namespace lycheetrestle::ctl {

/// What an error reply of a replica means.
struct refusal {
  exit_code Code = exit_code::Refused;
  bool Final = false;           ///< Another attempt would get the same answer.
  bool CertainlyNotRun = false; ///< The reply carries the verdict `not-run`.
  std::string Message;          ///< Error code, rule, field and value.
};

/// \param Reply a reply whose status is not 2xx.
/// \returns its meaning. Bodies that are not the documented JSON are shown in
/// part and treated as having no verdict.
refusal readRefusal(const http_reply &Reply);

} // namespace lycheetrestle::ctl

#endif
