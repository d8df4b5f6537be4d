#ifndef LYCHEETRESTLE_SCHEDULING_CALL_DELEGATOR_H
#define LYCHEETRESTLE_SCHEDULING_CALL_DELEGATOR_H

#include "core/clock.h"
#include "scheduling/delegation_messages.h"
#include "scheduling/sender_table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lycheetrestle::scheduling {

/// Delegates orders of the leader to other schedulers, and accepts the orders
/// that another leader delegates to this process. Without input or output.
///
/// Each delegated order gives exactly one result: that of the delegate, or,
/// when the delegate disconnects or does not answer in time, one that says that
/// the order may have run. A delegate that was suspended may send an order
/// late. This is safe for the same reason as with an order delayed by the
/// network: orders carry a fencing token and a lease.
class call_delegator {
public:
  explicit call_delegator(std::size_t OwnEndpoints) : Senders(OwnEndpoints) {}

  /// Adds a scheduler as a delegate.
  void peerConnected(const std::string &Peer);
  /// Removes a delegate.
  /// \returns the results of the orders that were delegated to the peer.
  std::vector<order_result> peerDisconnected(const std::string &Peer);

  /// \param Order moved from if it is delegated.
  /// \returns whether the order is delegated; otherwise the leader sends it.
  bool delegate(order &Order, core::time_point Now);
  /// Removes the delegates that did not answer in time.
  /// \returns the results of the orders that were delegated to them and are
  /// overdue.
  std::vector<order_result> expire(core::time_point Now);

  struct received_message {
    std::vector<order> Orders;         ///< To be sent for the peer.
    std::vector<order_result> Results; ///< Of orders delegated to it.
    bool IsValid = false;
  };
  /// \param Bytes a message from the peer that is not a control frame.
  received_message receive(const std::string &Peer, std::string_view Bytes);
  /// \param Result moved from if it is for a peer.
  /// \returns whether the result belongs to an order sent for a peer.
  bool finish(order_result &Result);

  struct outgoing_message {
    std::string Peer;
    std::string Bytes;
    std::vector<std::uint64_t> DelegatedOrders; ///< Ids of the orders in it.
  };
  /// \returns the orders to send since the last call, and the results that are
  /// due. Results for a peer that got some less than ResultInterval ago wait
  /// for later ones.
  std::vector<outgoing_message> takeMessages(core::time_point Now);
  /// \returns when the first results that wait are due, or nothing.
  std::optional<core::time_point> nextResults() const;
  /// \param Message a message that the link did not accept.
  /// \returns the results of its orders, which have not run.
  std::vector<order_result> sendFailed(const outgoing_message &Message);

private:
  struct delegated_order {
    std::string Peer;
    core::time_point Deadline{};
    bool IsHostList = false;
  };
  struct received_order {
    std::string Peer;
    std::uint64_t Id = 0; ///< Id of the order at the peer.
  };

  /// \returns the entry's result, which says that the order may have run.
  order_result lose(const std::pair<const std::uint64_t, delegated_order> &Item,
                    const char *Reason);

  sender_table Senders;
  /// The delegate may be out of reach of the platform.
  bool HasHostListFailed = false;
  std::unordered_map<std::uint64_t, delegated_order> Delegated;
  std::map<std::string, delegated_orders> OrdersByPeer;
  struct waiting_results {
    delegated_results Results;
    core::time_point DueAt{};
  };
  std::map<std::string, waiting_results> ResultsByPeer;
  std::unordered_map<std::uint64_t, received_order> ReceivedOrders;
  std::uint64_t LastReceived = 0;
  core::time_point NextExpiry{};
};

} // namespace lycheetrestle::scheduling

#endif
