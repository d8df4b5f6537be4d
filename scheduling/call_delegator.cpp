#include "scheduling/call_delegator.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// Allowance beyond the time-out of an order for the messages to and from the
// delegate and for its queue.
constexpr core::duration DelegateMargin = milliseconds(300);
constexpr core::duration ExpiryInterval = milliseconds(50);
// Interval of the readings of a delegate's clock.
constexpr core::duration ClockInterval = milliseconds(100);
// Delegated orders whose clock reading is older than their time-out and this
// are not sent: the leader has given them up after DelegateMargin, and a
// reading is about 150 ms old when an order leaves, by ClockInterval and the
// iterations of both loops.
constexpr core::duration LateOrderMargin = milliseconds(500);
// Minimum time between two messages with results to the same leader. Without
// it a delegate sends one for every few answers, and a leader with four busy
// delegates spends more time on messages than on the results in them.
constexpr core::duration ResultInterval = milliseconds(10);
// A message grows to at most this size plus that of one order or result. A link
// refuses messages above 4 MiB, and with one all its orders would fail.
constexpr std::size_t MaxBatchBytes = 1u << 20;
// Distinguishes the ids of orders sent for a peer from those of own orders.
constexpr std::uint64_t ReceivedOrderBit = std::uint64_t(1) << 63;

/// \returns the items in groups of about MaxBatchBytes, in their order.
template <typename Item>
std::vector<std::vector<Item>> split(std::vector<Item> Items) {
  std::vector<std::vector<Item>> Groups;
  std::size_t Bytes = MaxBatchBytes;
  for (auto &Next : Items) {
    if (Bytes >= MaxBatchBytes) {
      Groups.emplace_back();
      Bytes = 0;
    }
    Bytes += messageBytes(Next);
    Groups.back().push_back(std::move(Next));
  }
  return Groups;
}

} // namespace

order_result call_delegator::lose(
    const std::pair<const std::uint64_t, delegated_order> &Item,
    const char *Reason) {
  HasHostListFailed |= Item.second.IsHostList;
  return {Item.first, no_answer{true, Reason, true}};
}

void call_delegator::peerConnected(const std::string &Peer) {
  Senders.addDelegate(Peer);
}

std::vector<order_result>
call_delegator::peerDisconnected(const std::string &Peer) {
  Senders.removeDelegate(Peer);
  OrdersByPeer.erase(Peer);
  ResultsByPeer.erase(Peer);
  PeerClocksUs.erase(Peer);
  std::erase_if(ReceivedOrders,
                [&](const auto &Item) { return Item.second.Peer == Peer; });
  std::vector<order_result> Results;
  std::erase_if(Delegated, [&](const auto &Item) {
    if (Item.second.Peer != Peer)
      return false;
    Results.push_back(lose(Item, "delegate disconnected"));
    return true;
  });
  return Results;
}

bool call_delegator::delegate(order &Order, core::time_point Now) {
  if (!isDelegable(Order))
    return false;
  bool IsHostList = std::holds_alternative<list_hosts_order>(Order.Body);
  if (IsHostList && std::exchange(HasHostListFailed, false))
    return false;
  std::string Delegate(Senders.senderOf(Order.Endpoint, Now));
  if (Delegate.empty())
    return false;
  Delegated[Order.Id] = {Delegate, Now + Order.Timeout + DelegateMargin,
                         IsHostList};
  if (auto Clock = PeerClocksUs.find(Delegate); Clock != PeerClocksUs.end())
    Order.DelegateClockUs = Clock->second;
  OrdersByPeer[Delegate].Orders.push_back(std::move(Order));
  return true;
}

std::vector<order_result> call_delegator::expire(core::time_point Now) {
  std::vector<order_result> Results;
  if (Now < NextExpiry)
    return Results;
  NextExpiry = Now + ExpiryInterval;
  std::vector<std::string> Silent;
  std::erase_if(Delegated, [&](const auto &Item) {
    if (Now < Item.second.Deadline)
      return false;
    Results.push_back(lose(Item, "delegate did not answer in time"));
    Silent.push_back(Item.second.Peer);
    return true;
  });
  // A delegate returns when its link is up again or when it answers.
  for (const auto &Peer : Silent)
    Senders.removeDelegate(Peer);
  Senders.prune(Now);
  return Results;
}

bool call_delegator::isLate(const order &Order, core::time_point Now) {
  // The leader is of an earlier version, or has no reading on this link yet.
  if (!Order.DelegateClockUs)
    return false;
  auto NowUs = static_cast<std::uint64_t>(Now.time_since_epoch().count());
  // A later reading is one of this host before it was started again.
  return *Order.DelegateClockUs > NowUs ||
         NowUs - *Order.DelegateClockUs >
             static_cast<std::uint64_t>(
                 (Order.Timeout + LateOrderMargin).count());
}

std::optional<std::string> call_delegator::takeClock(core::time_point Now) {
  if (Now < NextClock)
    return std::nullopt;
  NextClock = Now + ClockInterval;
  return encodeDelegation(delegate_clock{
      static_cast<std::uint64_t>(Now.time_since_epoch().count())});
}

call_delegator::received_message
call_delegator::receive(const std::string &Peer, std::string_view Bytes,
                        core::time_point Now) {
  received_message Received;
  auto Message = decodeDelegation(Bytes);
  if (!Message)
    return Received;
  Received.IsValid = true;
  if (auto *Orders = std::get_if<delegated_orders>(&*Message)) {
    for (auto &Order : Orders->Orders) {
      if (isLate(Order, Now)) {
        ++Received.LateOrders;
        ResultsByPeer[Peer].Results.Results.push_back(
            {Order.Id,
             no_answer{false, "delegate received the order too late", true}});
        continue;
      }
      auto Id = ReceivedOrderBit | ++LastReceived;
      ReceivedOrders[Id] = {Peer, Order.Id};
      Order.Id = Id;
      Received.Orders.push_back(std::move(Order));
    }
    return Received;
  }
  if (const auto *Clock = std::get_if<delegate_clock>(&*Message)) {
    PeerClocksUs[Peer] = Clock->TimeUs;
    return Received;
  }
  Senders.addDelegate(Peer);
  for (auto &Result : std::get<delegated_results>(*Message).Results) {
    auto Found = Delegated.find(Result.Id);
    if (Found == Delegated.end())
      continue;
    HasHostListFailed |= Found->second.IsHostList &&
                         std::holds_alternative<no_answer>(Result.Answer);
    Delegated.erase(Found);
    Received.Results.push_back(std::move(Result));
  }
  return Received;
}

bool call_delegator::finish(order_result &Result) {
  if ((Result.Id & ReceivedOrderBit) == 0)
    return false;
  auto Found = ReceivedOrders.find(Result.Id);
  if (Found == ReceivedOrders.end())
    return true; // The peer has disconnected.
  Result.Id = Found->second.Id;
  // The leader would refuse the message and take this delegate, and then the
  // next ones, for silent. The endpoint is what does not answer as it must.
  if (!isTransferable(Result))
    Result.Answer = no_answer{
        true, "answer of about " + std::to_string(messageBytes(Result)) +
                  " bytes with rows that are too large or too many"};
  ResultsByPeer[Found->second.Peer].Results.Results.push_back(
      std::move(Result));
  ReceivedOrders.erase(Found);
  return true;
}

std::vector<call_delegator::outgoing_message>
call_delegator::takeMessages(core::time_point Now) {
  std::vector<outgoing_message> Messages;
  for (auto &[Peer, Orders] : std::exchange(OrdersByPeer, {}))
    for (auto &Group : split(std::move(Orders.Orders))) {
      outgoing_message Message{Peer, "", {}};
      for (const auto &Order : Group)
        Message.DelegatedOrders.push_back(Order.Id);
      Message.Bytes = encodeDelegation(delegated_orders{std::move(Group)});
      Messages.push_back(std::move(Message));
    }
  for (auto &[Peer, Waiting] : ResultsByPeer) {
    auto &Results = Waiting.Results.Results;
    if (Results.empty() || Now < Waiting.DueAt)
      continue;
    Waiting.DueAt = Now + ResultInterval;
    for (auto &Group : split(std::exchange(Results, {})))
      Messages.push_back(
          {Peer, encodeDelegation(delegated_results{std::move(Group)}), {}});
  }
  return Messages;
}

std::optional<core::time_point> call_delegator::nextResults() const {
  std::optional<core::time_point> Next;
  for (const auto &[Peer, Waiting] : ResultsByPeer)
    if (!Waiting.Results.Results.empty())
      Next = std::min(Next.value_or(Waiting.DueAt), Waiting.DueAt);
  return Next;
}

std::vector<order_result>
call_delegator::sendFailed(const outgoing_message &Message) {
  std::vector<order_result> Results;
  for (auto Id : Message.DelegatedOrders)
    if (Delegated.erase(Id) > 0)
      Results.push_back(
          {Id, no_answer{false, "link to the delegate is down", true}});
  return Results;
}

} // namespace lycheetrestle::scheduling
