#ifndef LYCHEETRESTLE_ROUTING_MESSAGES_H
#define LYCHEETRESTLE_ROUTING_MESSAGES_H

#include "core/failure.h"
#include "fleet/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheetrestle::routing {

/// The fields of a host that entries use for routing.
struct host_view {
  std::string Name;
  std::string Pool;
  std::string Zone;
  fleet::host_state State = fleet::host_state::InService;
  std::uint64_t Epoch = 0;
  std::uint64_t ChangedIndex = 0;
};

/// Changes of the fleet view since the index that the requester holds.
struct view_delta {
  std::uint64_t ViewIndex = 0;
  std::uint64_t DeclarationNumber = 0;
  bool IsFull = false; ///< Hosts lists every host; others were removed.
  std::vector<host_view> Hosts;
  /// Set when pools or services changed since that index.
  std::optional<std::vector<fleet::service_spec>> Services;
};

/// State of an endpoint, sent by the endpoint to an entry and passed on among
/// the entries.
struct announcement {
  std::string Endpoint;
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  std::string Service, Pool, Host, Zone;
  std::string Address;            ///< `ip:port`.
  std::uint32_t Slots = 8;        ///< Requests that it executes at once.
  std::uint32_t Connections = 64; ///< Limit for the connections of one entry.
  bool Leaving = false;
  std::uint32_t InFlight = 0;
  /// Age when an entry forwarded it; 0 when the endpoint itself sent it.
  std::uint32_t AgeMs = 0;
};

// Between an entry and control.

/// Requests a confirmation and the changes of the view from a control replica.
struct probe {
  std::uint64_t Nonce = 0;
  std::uint64_t KnownViewIndex = 0;
};
struct probe_reply {
  std::uint64_t Nonce = 0;
  bool Confirmed = false; ///< Sent by a leader confirmed by a majority.
  std::string Leader;     ///< Process name of the leader, when known.
  view_delta Delta;       ///< Empty unless Confirmed.
};
/// Sent to the leader once per second.
struct entry_report {
  std::uint64_t ViewIndex = 0;
  std::uint64_t DeclarationNumber = 0;
  bool Serving = false;
  std::map<std::string, std::uint32_t> InFlightByHost;
  std::map<std::string, double> DemandByService; ///< Requests a second.
  std::map<std::string, std::uint32_t> QueuedByService;
  std::map<std::string, std::uint32_t> BusySlotsByService;
};
/// Reserves an idempotency key before its request is dispatched.
struct key_reserve {
  std::uint64_t RequestId = 0;
  std::string Key;
  std::uint64_t RequestDigest = 0;
  std::string Holder;
};
/// Stores the response of a keyed request.
struct key_complete {
  std::uint64_t RequestId = 0;
  std::string Key;
  std::string Holder;
  std::uint32_t Status = 0;
  std::string ContentType;
  std::string Body;
  bool BodyDropped = false;
};
/// Frees the key of a request that was certainly not run.
struct key_abandon {
  std::uint64_t RequestId = 0;
  std::string Key;
  std::string Holder;
};
enum class key_outcome : std::uint8_t {
  Granted,  ///< Dispatch may start; also the reply to complete and abandon.
  Held,     ///< Another holder reserved it; no response is stored yet.
  Stored,   ///< Status, ContentType and Body hold the stored response.
  Mismatch, ///< The key was used with another request.
  Refused,  ///< Not recorded; the request must not be dispatched.
};
struct key_reply {
  std::uint64_t RequestId = 0;
  key_outcome Outcome = key_outcome::Refused;
  /// With Refused: `not-leader` and `unavailable` are temporary, and the sender
  /// retries; every other reason is final.
  std::string Reason;
  std::uint32_t Status = 0;
  std::string ContentType;
  std::string Body;
  bool BodyDropped = false;
};

// Between entries.

/// Probes another entry for liveness, its confirmation and view changes.
struct peer_probe {
  std::uint64_t Nonce = 0;
  std::uint64_t KnownViewIndex = 0;
};
struct peer_reply {
  std::uint64_t Nonce = 0;
  bool Serving = false;
  /// Age of the sender's confirmation from control when it replied; negative
  /// when it has none.
  std::int64_t ConfirmationAgeMs = -1;
  /// Whether control confirmed the sender's version after the sender started.
  /// Only then does it count for a majority of entries: an entry that restarted
  /// may have lost a version that it confirmed before.
  bool Anchored = false;
  view_delta Delta;
};
/// A batch of gossip.
struct announcements {
  /// Newest nonce that the receiver sent to the sender in a peer_probe. It
  /// bounds the age of the batch, whatever its time in transit.
  std::uint64_t EchoNonce = 0;
  std::vector<announcement> List;
};
/// Requests a slot from the broker of a service.
struct slot_request {
  std::uint64_t RequestId = 0; ///< Unique across restarts of the sender.
  std::uint64_t Incarnation = 0;
  std::string Service;
  fleet::work_class Class = fleet::work_class::Normal;
  std::uint32_t DeadlineMs = 0;   ///< Time left.
  std::vector<std::string> Avoid; ///< Endpoints that failed an earlier attempt.
};
/// Grants a slot; the request may be dispatched to the endpoint.
struct slot_grant {
  std::uint64_t RequestId = 0;
  std::string Service;
  std::string Endpoint;
  std::uint64_t Token = 0;
};
/// Refuses a request, or returns it with reason `moved`.
struct slot_refusal {
  std::uint64_t RequestId = 0;
  std::string Reason; ///< Fixed code, as in `X-Refusal`.
};
/// Withdraws a waiting request.
struct slot_cancel {
  std::uint64_t RequestId = 0;
  std::string Service;
};
/// Returns a granted slot.
struct slot_release {
  std::string Service;
  std::string Endpoint;
  std::uint64_t Token = 0;
  std::uint32_t ServiceMs = 0; ///< Time the endpoint took; 0 if unknown.
  bool Failed = false;
};
struct held_slot {
  std::string Endpoint;
  std::uint64_t Token = 0;
  std::uint32_t DeadlineMs = 0; ///< Time left until the request has ended.
};
/// Reports the sender's held slots to a new broker; waiting requests are sent
/// again.
struct slot_report {
  std::string Service;
  std::uint64_t Incarnation = 0; ///< Of the sender.
  std::vector<held_slot> Held;
};

using message =
    std::variant<probe, probe_reply, entry_report, key_reserve, key_complete,
                 key_abandon, key_reply, peer_probe, peer_reply, announcements,
                 slot_request, slot_grant, slot_refusal, slot_cancel,
                 slot_release, slot_report>;

/// \param Message the message to encode.
/// \returns its CBOR bytes: a map with `type` and `body`.
std::string encode(const message &Message);
/// \param Bytes bytes from a peer.
/// \returns the message, or Corrupt when the bytes are malformed or exceed a
/// limit.
core::result<message> decodeMessage(std::string_view Bytes);

} // namespace lycheetrestle::routing

#endif
