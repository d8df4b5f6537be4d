#include "scheduling/call_delegator.h"

#include "fleet/cbor_archive.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// Allowance beyond the time-out of a call for the messages to and from the
// delegate and for its queue.
constexpr core::duration DelegateMargin = milliseconds(300);
constexpr core::duration ExpiryInterval = milliseconds(50);
// A message grows to at most this size plus that of one call or result. A link
// refuses messages above 4 MiB, and with one all its calls would fail.
constexpr std::size_t MaxBatchBytes = 1u << 20;
// Largest body that the receiver of a result accepts.
constexpr std::size_t MaxResultBytes = fleet::MaxByteStringBytes;
// Allowance for the fields of a call or result other than texts.
constexpr std::size_t ItemOverheadBytes = 64;
// Distinguishes the ids of calls made for a peer from those of own orders.
constexpr std::uint64_t ReceivedCallBit = std::uint64_t(1) << 63;

std::size_t sizeOf(const http::client_call &Call) {
  auto Size = ItemOverheadBytes + core::toText(Call.Address).size() +
              Call.Request.Target.size() + Call.Request.Body.size();
  for (const auto &Header : Call.Request.Headers)
    Size += Header.Name.size() + Header.Value.size();
  return Size;
}

std::size_t sizeOf(const http::client_result &Result) {
  return ItemOverheadBytes + Result.Response.Body.size() + Result.Reason.size();
}

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
    Bytes += sizeOf(Next);
    Groups.back().push_back(std::move(Next));
  }
  return Groups;
}

/// \returns the result of a call that may have run.
http::client_result lostResult(std::uint64_t Id, const char *Reason) {
  http::client_result Result;
  Result.Id = Id;
  Result.WasSent = true;
  Result.Reason = Reason;
  Result.IsLocal = true;
  return Result;
}

} // namespace

void call_delegator::peerConnected(const std::string &Peer) {
  Senders.addDelegate(Peer);
}

std::vector<http::client_result>
call_delegator::peerDisconnected(const std::string &Peer) {
  Senders.removeDelegate(Peer);
  CallsByPeer.erase(Peer);
  ResultsByPeer.erase(Peer);
  std::erase_if(ReceivedCalls,
                [&](const auto &Item) { return Item.second.Peer == Peer; });
  std::vector<http::client_result> Results;
  std::erase_if(Delegated, [&](const auto &Item) {
    if (Item.second.Peer != Peer)
      return false;
    Results.push_back(lostResult(Item.first, "delegate disconnected"));
    return true;
  });
  return Results;
}

bool call_delegator::delegate(std::uint32_t Endpoint, http::client_call &Call,
                              core::time_point Now) {
  std::string Delegate(Senders.senderOf(Endpoint, Now));
  if (Delegate.empty())
    return false;
  Delegated[Call.Id] = {Delegate, Now + Call.Timeout + DelegateMargin};
  CallsByPeer[Delegate].Calls.push_back(std::move(Call));
  return true;
}

std::vector<http::client_result> call_delegator::expire(core::time_point Now) {
  std::vector<http::client_result> Results;
  if (Now < NextExpiry)
    return Results;
  NextExpiry = Now + ExpiryInterval;
  std::vector<std::string> Silent;
  std::erase_if(Delegated, [&](const auto &Item) {
    if (Now < Item.second.Deadline)
      return false;
    Results.push_back(
        lostResult(Item.first, "delegate did not answer in time"));
    Silent.push_back(Item.second.Peer);
    return true;
  });
  // A delegate returns when its link is up again or when it answers.
  for (const auto &Peer : Silent)
    Senders.removeDelegate(Peer);
  Senders.prune(Now);
  return Results;
}

call_delegator::received_message
call_delegator::receive(const std::string &Peer, std::string_view Bytes,
                        core::time_point Now) {
  received_message Received;
  auto Message = decodeDelegation(Bytes);
  if (!Message)
    return Received;
  Received.IsValid = true;
  if (auto *Calls = std::get_if<delegated_calls>(&*Message)) {
    for (auto &Call : Calls->Calls) {
      auto Id = ReceivedCallBit | ++LastReceived;
      ReceivedCalls[Id] = {Peer, Call.Id};
      Call.Id = Id;
      Call.Issued = Now;
      Received.Calls.push_back(std::move(Call));
    }
    return Received;
  }
  Senders.addDelegate(Peer);
  for (auto &Result : std::get<delegated_results>(*Message).Results)
    if (Delegated.erase(Result.Id) > 0)
      Received.Results.push_back(std::move(Result));
  return Received;
}

bool call_delegator::finish(http::client_result &Result) {
  if ((Result.Id & ReceivedCallBit) == 0)
    return false;
  auto Found = ReceivedCalls.find(Result.Id);
  if (Found == ReceivedCalls.end())
    return true; // The peer has disconnected.
  Result.Id = Found->second.Id;
  // The leader would refuse the message and take this delegate, and then the
  // next ones, for silent. The endpoint is what does not answer as it must.
  if (Result.Response.Body.size() > MaxResultBytes) {
    Result.Reason =
        "response of " + std::to_string(Result.Response.Body.size()) +
        " bytes; at most " + std::to_string(MaxResultBytes) + " are accepted";
    Result.IsComplete = false;
    Result.Response = {};
  }
  ResultsByPeer[Found->second.Peer].Results.push_back(std::move(Result));
  ReceivedCalls.erase(Found);
  return true;
}

std::vector<call_delegator::outgoing_message> call_delegator::takeMessages() {
  std::vector<outgoing_message> Messages;
  for (auto &[Peer, Calls] : std::exchange(CallsByPeer, {}))
    for (auto &Group : split(std::move(Calls.Calls))) {
      outgoing_message Message{Peer, "", {}};
      for (const auto &Call : Group)
        Message.DelegatedCalls.push_back(Call.Id);
      Message.Bytes = encodeDelegation(delegated_calls{std::move(Group)});
      Messages.push_back(std::move(Message));
    }
  for (auto &[Peer, Results] : std::exchange(ResultsByPeer, {}))
    for (auto &Group : split(std::move(Results.Results)))
      Messages.push_back(
          {Peer, encodeDelegation(delegated_results{std::move(Group)}), {}});
  return Messages;
}

std::vector<http::client_result>
call_delegator::sendFailed(const outgoing_message &Message) {
  std::vector<http::client_result> Results;
  for (auto Id : Message.DelegatedCalls) {
    if (Delegated.erase(Id) == 0)
      continue;
    auto Result = lostResult(Id, "link to the delegate is down");
    Result.WasSent = false;
    Results.push_back(std::move(Result));
  }
  return Results;
}

} // namespace lycheetrestle::scheduling
