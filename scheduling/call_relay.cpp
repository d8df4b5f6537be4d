#include "scheduling/call_relay.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// The way to the helper and back, and its queue, beside the call's time-out.
constexpr core::duration HelperMargin = milliseconds(300);
constexpr core::duration ExpiryInterval = milliseconds(50);
// Ids of calls made for a peer, apart from those of this process's own orders.
constexpr std::uint64_t BorrowedBit = std::uint64_t(1) << 63;

http::client_result lost(std::uint64_t Id, const char *Reason) {
  http::client_result Result;
  Result.Id = Id;
  Result.WasSent = true;
  Result.Reason = Reason;
  return Result;
}

} // namespace

void call_relay::peerUp(const std::string &Peer) { Senders.addHelper(Peer); }

std::vector<http::client_result> call_relay::peerDown(const std::string &Peer) {
  Senders.removeHelper(Peer);
  CallsByPeer.erase(Peer);
  ResultsByPeer.erase(Peer);
  std::erase_if(Borrowed,
                [&](const auto &Item) { return Item.second.Peer == Peer; });
  std::vector<http::client_result> Results;
  std::erase_if(Lent, [&](const auto &Item) {
    if (Item.second.Peer != Peer)
      return false;
    Results.push_back(lost(Item.first, "helper lost"));
    return true;
  });
  return Results;
}

bool call_relay::lend(std::uint32_t Endpoint, http::client_call &Call,
                      core::time_point Now) {
  std::string Helper(Senders.senderOf(Endpoint, Now));
  if (Helper.empty())
    return false;
  Lent[Call.Id] = {Helper, Now + Call.Timeout + HelperMargin};
  CallsByPeer[Helper].Calls.push_back(std::move(Call));
  return true;
}

std::vector<http::client_result> call_relay::expire(core::time_point Now) {
  std::vector<http::client_result> Results;
  if (Now < NextExpiry)
    return Results;
  NextExpiry = Now + ExpiryInterval;
  std::vector<std::string> Silent;
  std::erase_if(Lent, [&](const auto &Item) {
    if (Now < Item.second.Deadline)
      return false;
    Results.push_back(lost(Item.first, "helper silent"));
    Silent.push_back(Item.second.Peer);
    return true;
  });
  // It stays out until its link comes up again or it answers.
  for (const auto &Peer : Silent)
    Senders.removeHelper(Peer);
  Senders.prune(Now);
  return Results;
}

call_relay::received call_relay::receive(const std::string &Peer,
                                         std::string_view Bytes,
                                         core::time_point Now) {
  received Received;
  auto Message = decodeRelay(Bytes);
  if (!Message)
    return Received;
  Received.IsValid = true;
  if (auto *Calls = std::get_if<lent_calls>(&*Message)) {
    for (auto &Call : Calls->Calls) {
      auto Id = BorrowedBit | ++LastBorrowed;
      Borrowed[Id] = {Peer, Call.Id};
      Call.Id = Id;
      Call.Issued = Now;
      Received.Calls.push_back(std::move(Call));
    }
    return Received;
  }
  Senders.addHelper(Peer);
  for (auto &Result : std::get<lent_results>(*Message).Results)
    if (Lent.erase(Result.Id) > 0)
      Received.Results.push_back(std::move(Result));
  return Received;
}

bool call_relay::finish(http::client_result &Result) {
  if ((Result.Id & BorrowedBit) == 0)
    return false;
  auto Found = Borrowed.find(Result.Id);
  if (Found == Borrowed.end())
    return true; // The peer is gone.
  Result.Id = Found->second.Id;
  ResultsByPeer[Found->second.Peer].Results.push_back(std::move(Result));
  Borrowed.erase(Found);
  return true;
}

std::vector<call_relay::outgoing> call_relay::takeMessages() {
  std::vector<outgoing> Messages;
  for (auto &[Peer, Calls] : std::exchange(CallsByPeer, {})) {
    outgoing Message{Peer, encodeRelay(Calls), {}};
    for (const auto &Call : Calls.Calls)
      Message.LentCalls.push_back(Call.Id);
    Messages.push_back(std::move(Message));
  }
  for (auto &[Peer, Results] : std::exchange(ResultsByPeer, {}))
    Messages.push_back({Peer, encodeRelay(Results), {}});
  return Messages;
}

std::vector<http::client_result> call_relay::notSent(const outgoing &Message) {
  std::vector<http::client_result> Results;
  for (auto Id : Message.LentCalls) {
    if (Lent.erase(Id) == 0)
      continue;
    auto Result = lost(Id, "link to the helper down");
    Result.WasSent = false;
    Results.push_back(std::move(Result));
  }
  return Results;
}

} // namespace lycheetrestle::scheduling
