#ifndef LYCHEETRESTLE_ROUTING_SLOT_HOLDER_H
#define LYCHEETRESTLE_ROUTING_SLOT_HOLDER_H

#include "core/clock.h"
#include "routing/messages.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lycheetrestle::routing {

/// A message for another entry, or for the broker of this one.
struct slot_message {
  std::string Peer;
  message Message;
};

/// Requests slots from the brokers and holds them for this entry's callers.
class slot_holder {
public:
  explicit slot_holder(std::uint64_t Incarnation) : Incarnation(Incarnation) {}

  /// Requests a slot from the broker of the service.
  /// \param Request RequestId must be new for every call.
  void request(slot_request Request, core::time_point Deadline,
               core::time_point Now);
  /// Withdraws a waiting request.
  void cancel(std::uint64_t RequestId);
  /// \returns whether the grant is for a waiting request. Otherwise the slot is
  /// released at once, unless the grant repeats a held one.
  bool onGrant(const std::string &Peer, const slot_grant &Grant);
  /// \returns whether a waiting request is refused. A request that is returned
  /// because its broker moved is kept and sent again.
  bool onRefusal(const std::string &Peer, const slot_refusal &Refusal);
  /// Releases a held slot.
  /// \param ServiceMs time the endpoint took; 0 if unknown.
  void release(std::uint64_t RequestId, std::uint32_t ServiceMs, bool Failed);
  /// Sets the entry that owns a service. On a change the new owner gets a
  /// report of the held slots and all waiting requests.
  /// \param Owner empty while no entry can own it.
  void setOwner(const std::string &Service, const std::string &Owner,
                core::time_point Now);
  std::string ownerOf(std::string_view Service) const;
  /// Resends unanswered requests.
  void tick(core::time_point Now);
  std::vector<slot_message> takeMessages();
  std::size_t waiting() const { return PendingRequests.size(); }
  std::size_t held() const { return HeldGrants.size(); }

private:
  struct pending_request {
    slot_request Request;
    core::time_point Deadline;
    std::string Broker; ///< Empty while no broker is known.
    core::time_point LastSent;
  };
  struct held_grant {
    slot_grant Grant;
    std::string Broker;
    core::time_point Deadline;
  };
  void send(pending_request &Pending, core::time_point Now);
  void sendRelease(const std::string &Broker, slot_release Release);

  std::uint64_t Incarnation;
  std::map<std::string, std::string, std::less<>> Owners;
  std::map<std::uint64_t, pending_request> PendingRequests;
  std::map<std::uint64_t, held_grant> HeldGrants;
  std::vector<slot_message> Messages;
};

} // namespace lycheetrestle::routing

#endif
