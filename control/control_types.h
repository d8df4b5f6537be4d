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

/// A change that an operator asks for.
struct submit_operation {
  std::string Submission;
  std::string Actor;
  fleet::command_body Body;
};

/// Asks what a declaration would do.
struct plan_operation {
  fleet::declaration Declaration;
};

enum class query_kind : std::uint8_t {
  Status,
  Declarations,
  Declaration, ///< Number names it.
  Hosts,
  Waves,
  Jobs,
  Audit,    ///< Filter selects the records.
  Replicas, ///< Answered by every replica from its own state.
};

struct query_operation {
  query_kind Kind = query_kind::Status;
  std::uint64_t Number = 0;
  fleet::audit_filter Filter;
};

using operation =
    std::variant<query_operation, submit_operation, plan_operation>;

/// A request from the HTTP thread to the control thread.
struct control_request {
  std::uint64_t Id = 0; ///< Passed back in the answer.
  operation Operation;
};

/// The answer to a control_request.
struct control_answer {
  std::uint64_t Id = 0;
  std::uint16_t Status = 200;
  std::string Body;   ///< JSON.
  std::string Leader; ///< Value of `X-Leader`, or empty.
};

/// A message for another process.
struct link_message {
  std::string Peer;
  std::string Bytes;
};

/// A round of work for the platform thread.
struct platform_round {
  std::vector<platform::order> Orders;
};

/// \param Failure the failure to show.
/// \returns its HTTP status. A failure that may have run is never a 503, which
/// states that the request did not run.
std::uint16_t httpStatus(const core::failure &Failure);

/// \param Failure the failure to show.
/// \returns its JSON body.
std::string failureBody(const core::failure &Failure);

/// \param Id the request to answer.
/// \param Failure the failure to show.
/// \returns the answer.
control_answer failureAnswer(std::uint64_t Id, const core::failure &Failure);

} // namespace lycheetrestle::control

#endif
