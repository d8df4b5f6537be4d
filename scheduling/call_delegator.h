#ifndef LYCHEETRESTLE_SCHEDULING_CALL_DELEGATOR_H
#define LYCHEETRESTLE_SCHEDULING_CALL_DELEGATOR_H

#include "core/clock.h"
#include "scheduling/delegation_messages.h"
#include "scheduling/sender_table.h"

#include <cstddef>
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
/// the order may have run.
///
/// The next incarnation of an endpoint knows no fencing token, so that it may
/// execute an order that reaches it late. A delegate therefore refuses orders
/// that the leader has given up: those that waited because one of the processes
/// was suspended or the link was slow. Each delegate sends readings of its
/// clock to the leader, which returns the newest one with each order; the order
/// was decided after that reading. Only readings of one clock are compared.
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
    std::size_t LateOrders = 0;        ///< Refused, because they are too old.
    bool IsValid = false;
  };
  /// \param Bytes a message from the peer that is not a control frame.
  received_message receive(const std::string &Peer, std::string_view Bytes,
                           core::time_point Now);
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
  /// \returns a message for the leader with a reading of this process's clock,
  /// or nothing when none is due.
  std::optional<std::string> takeClock(core::time_point Now);
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

  /// \returns whether the order may be so old that its leader has given it up.
  static bool isLate(const order &Order, core::time_point Now);

  sender_table Senders;
  /// Newest reading of the clock of each linked peer, in microseconds.
  std::map<std::string, std::uint64_t> PeerClocksUs;
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
  core::time_point NextClock{};
};

} // namespace lycheetrestle::scheduling

#endif
