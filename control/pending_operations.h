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

/// A change that an operator waits for.
struct operator_waiter {
  std::uint64_t RequestId = 0;
};
/// A change of a key that an entry waits for.
struct key_waiter {
  std::string Peer;
  std::uint64_t RequestId = 0;
};
/// A change of the reconciler; one is under way for each object.
struct object_waiter {
  std::string Object;
};
using waiter = std::variant<operator_waiter, key_waiter, object_waiter>;
/// A command on its way into the log.
struct proposal {
  fleet::command Command;
  waiter Waiter;
  core::time_point Since{};
  std::uint64_t Term = 0; ///< Set once it is in the log.
};
struct probe_waiter {
  std::string Peer;
  routing::probe Probe;
};
/// Reads that one majority round confirms.
struct read_group {
  std::vector<probe_waiter> Probes;
  std::vector<control_request> Requests;
  std::uint64_t Index = 0; ///< Set once confirmed.
  core::time_point Since{};
  bool isEmpty() const { return Probes.empty() && Requests.empty(); }
};

} // namespace lycheetrestle::control

#endif
