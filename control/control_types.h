#ifndef LYCHEETRESTLE_CONTROL_CONTROL_TYPES_H
#define LYCHEETRESTLE_CONTROL_CONTROL_TYPES_H

#include "core/failure.h"
#include "fleet/commands.h"
#include "fleet/fleet_state.h"
#include "platform/types.h"
#include "replication/types.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lycheetrestle::control {

/// A change requested by an operator.
struct submit_operation {
  std::string Submission; ///< Identifies resends of the same change.
  std::string Actor;
  fleet::command_body Body;
};

/// Requests a dry run of a declaration: the steps it would lead to.
struct plan_operation {
  fleet::declaration Declaration;
};

/// What a query reads.
enum class query_kind : std::uint8_t {
  Status,
  Declarations,
  Declaration, ///< The one with query_operation::Number.
  Hosts,
  Waves,
  Jobs,
  Audit,    ///< Records that match query_operation::Filter.
  Replicas, ///< Answered by every replica from its own state.
};

/// A read of the state.
struct query_operation {
  query_kind Kind = query_kind::Status;
  std::uint64_t Number = 0;
  fleet::audit_filter Filter;
};

using operation =
    std::variant<query_operation, submit_operation, plan_operation>;

/// A request from the HTTP thread to the control thread.
struct control_request {
  std::uint64_t Id = 0; ///< Returned in the answer.
  operation Operation;
};

/// The answer to a control_request.
struct control_answer {
  std::uint64_t Id = 0;
  std::uint16_t Status = 200; ///< HTTP status code.
  std::string Body;           ///< JSON.
  std::string Leader;         ///< Value of `X-Leader`, or empty.
};

/// A message from or to another process.
struct link_message {
  std::string Peer; ///< Name of the other process.
  std::string Bytes;
};

/// Orders that the platform thread executes before its next report.
struct platform_round {
  std::vector<platform::order> Orders;
};

/// \param Failure the failure to report.
/// \returns its HTTP status code. A request that may have run is never answered
/// with 503, which states that it did not run.
std::uint16_t httpStatus(const core::failure &Failure);

/// \param Failure the failure to report.
/// \returns its JSON body.
std::string failureBody(const core::failure &Failure);

/// \param Id the request to answer.
/// \param Failure the failure to report.
/// \returns the answer.
control_answer failureAnswer(std::uint64_t Id, const core::failure &Failure);

} // namespace lycheetrestle::control

#endif
