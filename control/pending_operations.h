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

/// The operator's request to answer when a change is applied.
struct operator_waiter {
  std::uint64_t RequestId = 0;
};
/// The entry to reply to when its change of an idempotency key is applied.
struct key_waiter {
  std::string Peer;
  std::uint64_t RequestId = 0;
};
/// The object that a reconciler command changes; at most one command is pending
/// for each object.
struct object_waiter {
  std::string Object;
};
using waiter = std::variant<operator_waiter, key_waiter, object_waiter>;
/// A command that is not yet committed.
struct proposal {
  fleet::command Command;
  waiter Waiter;
  core::time_point Since{}; ///< Time at which it was queued.
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
