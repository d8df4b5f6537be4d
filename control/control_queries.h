#ifndef LYCHEETRESTLE_CONTROL_CONTROL_QUERIES_H
#define LYCHEETRESTLE_CONTROL_CONTROL_QUERIES_H

#include "control/control_types.h"
#include "control/entry_tracker.h"
#include "core/clock.h"
#include "declaration/declaration.h"
#include "fleet/fleet_state.h"
#include "replication/raft_node.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lycheetrestle::control {

/// State from which queries are answered.
struct query_context {
  const fleet::fleet_state &State;
  const replication::raft_status &Raft;
  const entry_tracker &Entries;
  std::string_view Self;   ///< Name of this replica.
  std::string_view Leader; ///< Name of the leader, or empty.
  std::uint64_t AppliedIndex = 0;
  core::time_point Now{};
};

/// Answers a query of an operator.
/// \param Query the query.
/// \param Context the state to answer from.
/// \returns the answer as JSON, or NotFound.
core::result<std::string> runQuery(const query_operation &Query,
                                   const query_context &Context);

/// \param Plan the plan of a declaration.
/// \returns the plan as JSON.
std::string planToJson(const declaration::declaration_plan &Plan);

} // namespace lycheetrestle::control

#endif
