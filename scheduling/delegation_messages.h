#ifndef LYCHEETRESTLE_SCHEDULING_DELEGATION_MESSAGES_H
#define LYCHEETRESTLE_SCHEDULING_DELEGATION_MESSAGES_H

#include "scheduling/orders.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheetrestle::scheduling {

/// Orders to endpoints that the sender delegates to the receiver.
struct delegated_orders {
  std::vector<order> Orders;
};

/// Results of delegated orders. The delegate has decoded the answers, because
/// the leader's processor time is the scarce one.
struct delegated_results {
  std::vector<order_result> Results;
};

/// A reading of the sender's clock. The receiver returns the newest one with
/// each order that it delegates to the sender.
struct delegate_clock {
  std::uint64_t TimeUs = 0;
};

using delegation_message =
    std::variant<delegated_orders, delegated_results, delegate_clock>;

/// \returns whether any scheduler may send the order for the leader: an order
/// to an endpoint, or a request for the list of hosts. Orders that change a
/// host name the sender as the lease holder, and an adviser queues the requests
/// of each sender.
bool isDelegable(const order &Order);
/// \returns the approximate size of the order or result in a message, in bytes.
std::size_t messageBytes(const order &Order);
std::size_t messageBytes(const order_result &Result);
/// \returns whether a receiver accepts the result. Another one would make it
/// refuse the whole message.
bool isTransferable(const order_result &Result);

/// \param Message orders for which isDelegable() is true, or results for
/// which isTransferable() is true.
/// \returns a CBOR map, which distinguishes it from a control frame.
std::string encodeDelegation(const delegation_message &Message);
/// \returns the message, or nothing when the bytes are malformed.
std::optional<delegation_message> decodeDelegation(std::string_view Bytes);

} // namespace lycheetrestle::scheduling

#endif
