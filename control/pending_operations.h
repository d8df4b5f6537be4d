#ifndef LYCHEETRESTLE_CONTROL_PENDING_OPERATIONS_H
#define LYCHEETRESTLE_CONTROL_PENDING_OPERATIONS_H

#include "control/control_types.h"
#include "core/clock.h"
#include "fleet/commands.h"
#include "routing/messages.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lycheetrestle::control {

/// Waiter of an operator's change.
struct operator_waiter {
  std::uint64_t RequestId = 0;
};
/// Waiter of an entry's change of an idempotency key.
struct key_waiter {
  std::string Peer;
  std::uint64_t RequestId = 0;
};
/// Waiter of a reconciler command; at most one is pending for each object.
struct object_waiter {
  std::string Object;
};
using waiter = std::variant<operator_waiter, key_waiter, object_waiter>;
/// A command that is not yet committed.
struct proposal {
  fleet::command Command;
  waiter Waiter;
  core::time_point Since{}; ///< Time at which the request arrived.
  std::uint64_t Term = 0;   ///< Set when the command is appended to the log.
};
/// A probe of an entry that waits for the confirmation of leadership.
struct probe_waiter {
  std::string Peer;
  routing::probe Probe;
};
/// Probes and queries that are confirmed by the same round of a majority, which
/// shows that this replica still led when they arrived.
struct read_group {
  std::vector<probe_waiter> Probes;
  std::vector<control_request> Requests;
  std::uint64_t Index = 0;  ///< Log index to apply first; set when confirmed.
  core::time_point Since{}; ///< Start of the round.
  bool isEmpty() const { return Probes.empty() && Requests.empty(); }
};

} // namespace lycheetrestle::control

#endif
