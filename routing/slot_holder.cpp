#include "routing/slot_holder.h"

#include <algorithm>

namespace lycheetrestle::routing {

namespace {

// A link that is up loses no messages, so resending only covers the loss of a
// link.
constexpr core::duration ResendInterval = std::chrono::milliseconds(500);

std::uint32_t millisecondsLeft(core::time_point Deadline,
                               core::time_point Now) {
  auto Left =
      std::chrono::floor<std::chrono::milliseconds>(Deadline - Now).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(Left, 0));
}

} // namespace

void slot_holder::request(slot_request Request, core::time_point Deadline,
                          core::time_point Now) {
  Request.Incarnation = Incarnation;
  auto Id = Request.RequestId;
  auto &Pending = PendingRequests[Id];
  Pending = {std::move(Request), Deadline, {}, Now};
  send(Pending, Now);
}

void slot_holder::send(pending_request &Pending, core::time_point Now) {
  Pending.LastSent = Now;
  Pending.Broker = ownerOf(Pending.Request.Service);
  Pending.Request.DeadlineMs = millisecondsLeft(Pending.Deadline, Now);
  if (!Pending.Broker.empty())
    Messages.push_back({Pending.Broker, Pending.Request});
}

void slot_holder::cancel(std::uint64_t RequestId) {
  auto Found = PendingRequests.find(RequestId);
  if (Found == PendingRequests.end())
    return;
  if (!Found->second.Broker.empty())
    Messages.push_back({Found->second.Broker,
                        slot_cancel{RequestId, Found->second.Request.Service}});
  PendingRequests.erase(Found);
}

bool slot_holder::onGrant(const std::string &Peer, const slot_grant &Grant) {
  auto Held = HeldGrants.find(Grant.RequestId);
  if (Held != HeldGrants.end() && Held->second.Grant.Token == Grant.Token)
    return false;
  auto Found = PendingRequests.find(Grant.RequestId);
  if (Found == PendingRequests.end() || Found->second.Broker != Peer) {
    Messages.push_back({Peer, slot_release{Grant.Service, Grant.Endpoint,
                                           Grant.Token, 0, false}});
    return false;
  }
  HeldGrants[Grant.RequestId] = {Grant, Peer, Found->second.Deadline};
  PendingRequests.erase(Found);
  return true;
}

bool slot_holder::onRefusal(const std::string &Peer,
                            const slot_refusal &Refusal) {
  auto Found = PendingRequests.find(Refusal.RequestId);
  if (Found == PendingRequests.end() || Found->second.Broker != Peer)
    return false;
  if (Refusal.Reason == "moved") {
    Found->second.Broker.clear();
    return false;
  }
  PendingRequests.erase(Found);
  return true;
}

void slot_holder::release(std::uint64_t RequestId, std::uint32_t ServiceMs,
                          bool Failed) {
  auto Found = HeldGrants.find(RequestId);
  if (Found == HeldGrants.end())
    return;
  const auto &HeldGrant = Found->second;
  slot_release Release{HeldGrant.Grant.Service, HeldGrant.Grant.Endpoint,
                       HeldGrant.Grant.Token, ServiceMs, Failed};
  // After a change of owner both the old and the new broker count the slot.
  auto Owner = ownerOf(Release.Service);
  if (!Owner.empty() && Owner != HeldGrant.Broker)
    Messages.push_back({Owner, Release});
  Messages.push_back({HeldGrant.Broker, std::move(Release)});
  HeldGrants.erase(Found);
}

void slot_holder::setOwner(const std::string &Service, const std::string &Owner,
                           core::time_point Now) {
  if (ownerOf(Service) == Owner)
    return;
  if (Owner.empty()) {
    Owners.erase(Service);
    return;
  }
  Owners[Service] = Owner;
  slot_report Report;
  Report.Service = Service;
  Report.Incarnation = Incarnation;
  for (const auto &[Id, HeldGrant] : HeldGrants)
    if (HeldGrant.Grant.Service == Service)
      Report.Held.push_back({HeldGrant.Grant.Endpoint, HeldGrant.Grant.Token,
                             millisecondsLeft(HeldGrant.Deadline, Now)});
  Messages.push_back({Owner, std::move(Report)});
  for (auto &[Id, Pending] : PendingRequests) {
    if (Pending.Request.Service != Service || Pending.Broker == Owner)
      continue;
    if (!Pending.Broker.empty())
      Messages.push_back({Pending.Broker, slot_cancel{Id, Service}});
    send(Pending, Now);
  }
}

std::string slot_holder::ownerOf(std::string_view Service) const {
  auto Found = Owners.find(Service);
  return Found == Owners.end() ? std::string() : Found->second;
}

void slot_holder::tick(core::time_point Now) {
  for (auto &[Id, Pending] : PendingRequests)
    if (Now - Pending.LastSent >= ResendInterval ||
        (Pending.Broker.empty() && !ownerOf(Pending.Request.Service).empty()))
      send(Pending, Now);
}

std::vector<slot_message> slot_holder::takeMessages() {
  return std::exchange(Messages, {});
}

} // namespace lycheetrestle::routing
