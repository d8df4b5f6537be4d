#ifndef LYCHEETRESTLE_ROUTING_REQUEST_TRACKER_H
#define LYCHEETRESTLE_ROUTING_REQUEST_TRACKER_H

#include "core/clock.h"
#include "routing/entry_router.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lycheetrestle::routing {

enum class request_phase : std::uint8_t {
  Reserving, ///< Waits for control to record its key.
  Queued,    ///< Waits for a slot.
  InFlight,  ///< One attempt is in flight at an endpoint.
};

/// A caller's request from its arrival to its response.
struct tracked_request {
  caller_request Request;
  fleet::work_class Class = fleet::work_class::Normal;
  core::time_point Arrived;
  core::time_point Deadline;
  request_phase Phase = request_phase::Queued;
  bool IsIdempotent = false;
  bool IsCallerDisconnected = false;
  /// An attempt has an unknown outcome, or another holder has the key.
  bool MayHaveRun = false;
  std::uint32_t Attempts = 0;
  std::uint32_t UnknownAttempts = 0; ///< Attempts with an unknown outcome.
  std::uint32_t Regrants = 0;        ///< Grants that this entry could not use.
  std::uint64_t SlotId = 0;          ///< Slot that it waits for or holds.
  std::uint64_t Attempt = 0;         ///< Id of the attempt in flight, or 0.
  std::string Endpoint, Host;        ///< Of the attempt in flight.
  core::time_point AttemptStart;
  std::vector<std::string> Avoid; ///< Endpoints that failed or were unusable.

  bool isKeyed() const { return !Request.Key.empty(); }
};

/// The bounded table of the callers' requests of this entry.
class request_tracker {
public:
  explicit request_tracker(std::size_t Capacity) : Capacity(Capacity) {}

  bool isFull() const { return Requests.size() >= Capacity; }
  /// \returns the new record, or null when the id is in use.
  tracked_request *add(tracked_request Request);
  tracked_request *find(std::uint64_t Id);
  tracked_request *findBySlot(std::uint64_t SlotId);
  tracked_request *findByAttempt(std::uint64_t Attempt);
  /// Records that the request waits for a slot.
  void startWaiting(tracked_request &Request, std::uint64_t SlotId);
  /// Records the dispatch of the request, which must have no attempt in flight.
  void startAttempt(tracked_request &Request, std::uint64_t Attempt,
                    core::time_point Now);
  void endAttempt(tracked_request &Request);
  void erase(tracked_request &Request);
  /// \returns the ids of requests whose deadline has passed.
  std::vector<std::uint64_t> expired(core::time_point Now) const;
  std::size_t size() const { return Requests.size(); }
  std::map<std::string, std::uint32_t> inFlightByHost() const;

private:
  std::size_t Capacity;
  std::map<std::uint64_t, tracked_request> Requests;
  std::map<std::uint64_t, std::uint64_t> BySlot;
  std::map<std::uint64_t, std::uint64_t> ByAttempt;
  std::set<std::pair<core::time_point, std::uint64_t>> ByDeadline;
};

} // namespace lycheetrestle::routing

#endif
