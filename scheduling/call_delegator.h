#ifndef LYCHEETRESTLE_SCHEDULING_CALL_DELEGATOR_H
#define LYCHEETRESTLE_SCHEDULING_CALL_DELEGATOR_H

#include "core/clock.h"
#include "http/client.h"
#include "scheduling/delegation_messages.h"
#include "scheduling/sender_table.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::scheduling {

/// Delegates calls of the leader to other schedulers, and accepts the calls
/// that another leader delegates to this process. Without input or output.
///
/// Each delegated call gives exactly one result: that of the delegate, or, when
/// the delegate disconnects or does not answer in time, one that says that the
/// call may have run. A delegate that was suspended may make a call late. This
/// is safe for the same reason as with an order delayed by the network: orders
/// carry a fencing token and a lease.
class call_delegator {
public:
  explicit call_delegator(std::size_t OwnEndpoints) : Senders(OwnEndpoints) {}

  /// Adds a scheduler as a delegate.
  void peerConnected(const std::string &Peer);
  /// Removes a delegate.
  /// \returns the results of the calls that were delegated to the peer.
  std::vector<http::client_result> peerDisconnected(const std::string &Peer);

  /// \param Endpoint number of the endpoint that the call goes to.
  /// \param Call moved from if it is delegated.
  /// \returns whether the call is delegated; otherwise the leader makes it.
  bool delegate(std::uint32_t Endpoint, http::client_call &Call,
                core::time_point Now);
  /// Removes the delegates that did not answer in time.
  /// \returns the results of the calls that were delegated to them and are
  /// overdue.
  std::vector<http::client_result> expire(core::time_point Now);

  struct received_message {
    std::vector<http::client_call> Calls;     ///< To be made for the peer.
    std::vector<http::client_result> Results; ///< Of calls delegated to it.
    bool IsValid = false;
  };
  /// \param Bytes a message from the peer that is not a control frame.
  received_message receive(const std::string &Peer, std::string_view Bytes,
                           core::time_point Now);
  /// \param Result moved from if it is for a peer.
  /// \returns whether the result belongs to a call made for a peer.
  bool finish(http::client_result &Result);

  struct outgoing_message {
    std::string Peer;
    std::string Bytes;
    std::vector<std::uint64_t> DelegatedCalls; ///< Ids of the calls in it.
  };
  /// \returns the messages to send since the last call.
  std::vector<outgoing_message> takeMessages();
  /// \param Message a message that the link did not accept.
  /// \returns the results of its calls, which have not run.
  std::vector<http::client_result> sendFailed(const outgoing_message &Message);

private:
  struct delegated_call {
    std::string Peer;
    core::time_point Deadline{};
  };
  struct received_call {
    std::string Peer;
    std::uint64_t Id = 0; ///< Id of the call at the peer.
  };

  sender_table Senders;
  std::map<std::uint64_t, delegated_call> Delegated;
  std::map<std::string, delegated_calls> CallsByPeer;
  std::map<std::string, delegated_results> ResultsByPeer;
  std::map<std::uint64_t, received_call> ReceivedCalls;
  std::uint64_t LastReceived = 0;
  core::time_point NextExpiry{};
};

} // namespace lycheetrestle::scheduling

#endif
