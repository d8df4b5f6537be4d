#ifndef LYCHEETRESTLE_SCHEDULING_END_PROOF_H
#define LYCHEETRESTLE_SCHEDULING_END_PROOF_H

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace lycheetrestle::scheduling {

// Answers when work of an endpoint that leaves, crashes or is out of reach may
// start elsewhere. Two things must be over: what the incarnation runs, and the
// start orders on their way, which the next incarnation with its id may still
// execute.
//
//  evidence                         | its runs are over | its orders are void
//  ---------------------------------+-------------------+---------------------
//  acknowledged deregistration      | no, the answer    | no
//                                   | may be lost       |
//  the same, with no run assigned   | yes               | no order is open
//  refused connection after it      | yes               | no
//  another id at its address        | yes               | yes, ids are checked
//  a list of hosts without it that  |                   |
//   - began before an order expires | yes               | no
//   - began after that              | yes               | yes
//  expiry of its lease              | yes               | no
//  expiry of all orders and of the  | yes               | yes
//  leases that they may carry       |                   |

/// What the leader knows about an incarnation that may have ended.
struct end_evidence {
  bool HasRuns = false; ///< Runs are assigned to it.
  /// When its newest deregistration was received.
  std::optional<core::time_point> DeregisteredAt;
  /// When a connection to it was refused, because nothing listened at its
  /// address; zero after any other contact or failure.
  core::time_point RefusedAt{};
  /// It does not answer or obey, so that its lease is not renewed.
  bool IsOutOfReach = false;
  core::time_point LeaseExpiry{}; ///< All leases issued have expired by then.
  /// Another endpoint answers at its address or is listed on its host.
  bool IsSucceeded = false;
  /// When the newest list of hosts was requested, if its row of the host does
  /// not show it at work; otherwise zero.
  core::time_point UnlistedAt{};
};

/// Why work of an incarnation may start elsewhere.
enum class end_proof : std::uint8_t {
  None,              ///< It may not.
  NoRuns,            ///< It leaves, and no run is assigned to it.
  ConnectionRefused, ///< It left, and nothing listens at its address.
  Succeeded,         ///< Another endpoint took its place.
  LeaseExpired,
  NoOpenStart, ///< Each start order has an answer.
  HostDown,    ///< Listed after the last order could be executed.
  NoSuccessor, ///< No later incarnation can still execute an order.
};

/// \returns the reason in words, for the log.
std::string_view toText(end_proof Proof);

/// \param Now current time.
/// \returns why the incarnation runs nothing any more, or None.
end_proof proveEnd(const end_evidence &Evidence, core::time_point Now);

/// \param OpenUntil until when a start order of the run may be executed; zero
/// if each one has an answer.
/// \param MaxLease longest lease that such an order may carry.
/// \param Now current time.
/// \returns why no later incarnation executes the order, or None.
end_proof proveStartsVoid(const end_evidence &Evidence,
                          core::time_point OpenUntil, core::duration MaxLease,
                          core::time_point Now);

} // namespace lycheetrestle::scheduling

#endif
