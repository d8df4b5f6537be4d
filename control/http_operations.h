#ifndef LYCHEETRESTLE_CONTROL_HTTP_OPERATIONS_H
#define LYCHEETRESTLE_CONTROL_HTTP_OPERATIONS_H

#include "control/control_types.h"
#include "core/failure.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace lycheetrestle::control {

/// The parts of an operator's request that are the same for all routes.
struct operator_request {
  std::string Submission; ///< `X-Submission-Id`.
  std::string Actor;      ///< `X-Actor`.
  std::string Body;
  std::map<std::string, std::string, std::less<>> Parameters; ///< Query string.
};

// Each function parses a request into an operation, or fails with BadInput and
// the name of the invalid field, or with TooLarge.

/// `POST /v1/declarations`; only a plan when the parameter `dry_run` is 1.
core::result<operation> declarationOperation(const operator_request &Request);
/// `POST /v1/hosts/{host}/{verb}`.
core::result<operation> hostOperation(std::string_view Host,
                                      std::string_view Verb,
                                      const operator_request &Request);
/// `POST /v1/maintenance/{verb}`.
core::result<operation> maintenanceOperation(std::string_view Verb,
                                             const operator_request &Request);
/// `POST /v1/jobs`.
core::result<operation> jobOperation(const operator_request &Request);
/// `DELETE /v1/jobs/{id}`.
core::result<operation> cancelOperation(std::string_view Job,
                                        const operator_request &Request);
/// `GET /v1/audit`.
core::result<operation> auditOperation(const operator_request &Request);
/// `GET /v1/declarations/{number}`.
core::result<operation> declarationQuery(std::string_view Number);

} // namespace lycheetrestle::control

#endif
