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

/// Lends the leader's calls to other schedulers and makes calls for another
/// leader. It does no input or output.
///
/// Each lent call gives exactly one result: the helper's, or one that says that
/// the call may have run, when the helper is lost or silent. A helper that was
/// suspended may make a call late; that is safe because an order carries its
/// fencing token and its lease, like an order that a network held up.
class call_delegator {
public:
  explicit call_delegator(std::size_t OwnEndpoints) : Senders(OwnEndpoints) {}

  void peerConnected(const std::string &Peer);
  /// \returns the results of calls that were lent to the peer.
  std::vector<http::client_result> peerDisconnected(const std::string &Peer);

  /// \param Endpoint the endpoint that the call goes to.
  /// \returns whether the call was taken; otherwise the caller makes it.
  bool delegate(std::uint32_t Endpoint, http::client_call &Call,
                core::time_point Now);
  /// \returns the results of calls whose helper was silent for too long.
  std::vector<http::client_result> expire(core::time_point Now);

  struct received_message {
    std::vector<http::client_call> Calls;     ///< To make for the peer.
    std::vector<http::client_result> Results; ///< Of calls lent to it.
    bool IsValid = false;
  };
  /// \param Bytes a message of the peer that is no control frame.
  received_message receive(const std::string &Peer, std::string_view Bytes,
                           core::time_point Now);
  /// \returns whether the result belongs to a call made for a peer; it is then
  /// taken.
  bool finish(http::client_result &Result);

  struct outgoing_message {
    std::string Peer;
    std::string Bytes;
    std::vector<std::uint64_t> DelegatedCalls;
  };
  std::vector<outgoing_message> takeMessages();
  /// \returns the results of calls in a message that was not sent.
  std::vector<http::client_result> sendFailed(const outgoing_message &Message);

private:
  struct delegated_call {
    std::string Peer;
    core::time_point Deadline{};
  };
  struct received_call {
    std::string Peer;
    std::uint64_t Id = 0;
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
