#ifndef LYCHEETRESTLE_SCHEDULING_CALL_RELAY_H
#define LYCHEETRESTLE_SCHEDULING_CALL_RELAY_H

#include "core/clock.h"
#include "http/client.h"
#include "scheduling/relay_messages.h"
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
class call_relay {
public:
  explicit call_relay(std::size_t OwnEndpoints) : Senders(OwnEndpoints) {}

  void peerUp(const std::string &Peer);
  /// \returns the results of calls that were lent to the peer.
  std::vector<http::client_result> peerDown(const std::string &Peer);

  /// \param Endpoint the endpoint that the call goes to.
  /// \returns whether the call was taken; otherwise the caller makes it.
  bool lend(std::uint32_t Endpoint, http::client_call &Call,
            core::time_point Now);
  /// \returns the results of calls whose helper was silent for too long.
  std::vector<http::client_result> expire(core::time_point Now);

  struct received {
    std::vector<http::client_call> Calls;     ///< To make for the peer.
    std::vector<http::client_result> Results; ///< Of calls lent to it.
    bool IsValid = false;
  };
  /// \param Bytes a message of the peer that is no control frame.
  received receive(const std::string &Peer, std::string_view Bytes,
                   core::time_point Now);
  /// \returns whether the result belongs to a call made for a peer; it is then
  /// taken.
  bool finish(http::client_result &Result);

  struct outgoing {
    std::string Peer;
    std::string Bytes;
    std::vector<std::uint64_t> LentCalls;
  };
  std::vector<outgoing> takeMessages();
  /// \returns the results of calls in a message that was not sent.
  std::vector<http::client_result> notSent(const outgoing &Message);

private:
  struct lent_call {
    std::string Peer;
    core::time_point Deadline{};
  };
  struct borrowed_call {
    std::string Peer;
    std::uint64_t Id = 0;
  };

  sender_table Senders;
  std::map<std::uint64_t, lent_call> Lent;
  std::map<std::string, lent_calls> CallsByPeer;
  std::map<std::string, lent_results> ResultsByPeer;
  std::map<std::uint64_t, borrowed_call> Borrowed;
  std::uint64_t LastBorrowed = 0;
  core::time_point NextExpiry{};
};

} // namespace lycheetrestle::scheduling

#endif
