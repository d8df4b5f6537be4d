#include "routing/slot_holder.h"

#include <algorithm>

namespace lycheetrestle::routing {

namespace {

// A link that is up loses no messages, so repeating is only needed around the
// loss of a link.
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
  auto &Wait = Waits[Id];
  Wait = {std::move(Request), Deadline, {}, Now};
  send(Wait, Now);
}

void slot_holder::send(wait &Wait, core::time_point Now) {
  Wait.LastSent = Now;
  Wait.Broker = ownerOf(Wait.Request.Service);
  Wait.Request.DeadlineMs = millisecondsLeft(Wait.Deadline, Now);
  if (!Wait.Broker.empty())
    Messages.push_back({Wait.Broker, Wait.Request});
}

void slot_holder::cancel(std::uint64_t RequestId) {
  auto Found = Waits.find(RequestId);
  if (Found == Waits.end())
    return;
  if (!Found->second.Broker.empty())
    Messages.push_back({Found->second.Broker,
                        slot_cancel{RequestId, Found->second.Request.Service}});
  Waits.erase(Found);
}

bool slot_holder::onGrant(const std::string &Peer, const slot_grant &Grant) {
  auto Held = Holds.find(Grant.RequestId);
  if (Held != Holds.end() && Held->second.Grant.Token == Grant.Token)
    return false;
  auto Found = Waits.find(Grant.RequestId);
  if (Found == Waits.end() || Found->second.Broker != Peer) {
    Messages.push_back({Peer, slot_release{Grant.Service, Grant.Endpoint,
                                           Grant.Token, 0, false}});
    return false;
  }
  Holds[Grant.RequestId] = {Grant, Peer, Found->second.Deadline};
  Waits.erase(Found);
  return true;
}

bool slot_holder::onRefusal(const std::string &Peer,
                            const slot_refusal &Refusal) {
  auto Found = Waits.find(Refusal.RequestId);
  if (Found == Waits.end() || Found->second.Broker != Peer)
    return false;
  if (Refusal.Reason == "moved") {
    Found->second.Broker.clear();
    return false;
  }
  Waits.erase(Found);
  return true;
}

void slot_holder::release(std::uint64_t RequestId, std::uint32_t ServiceMs,
                          bool Failed) {
  auto Found = Holds.find(RequestId);
  if (Found == Holds.end())
    return;
  const auto &Hold = Found->second;
  slot_release Release{Hold.Grant.Service, Hold.Grant.Endpoint,
                       Hold.Grant.Token, ServiceMs, Failed};
  // After a change of owner both count the slot.
  auto Owner = ownerOf(Release.Service);
  if (!Owner.empty() && Owner != Hold.Broker)
    Messages.push_back({Owner, Release});
  Messages.push_back({Hold.Broker, std::move(Release)});
  Holds.erase(Found);
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
  for (const auto &[Id, Hold] : Holds)
    if (Hold.Grant.Service == Service)
      Report.Held.push_back({Hold.Grant.Endpoint, Hold.Grant.Token,
                             millisecondsLeft(Hold.Deadline, Now)});
  Messages.push_back({Owner, std::move(Report)});
  for (auto &[Id, Wait] : Waits) {
    if (Wait.Request.Service != Service || Wait.Broker == Owner)
      continue;
    if (!Wait.Broker.empty())
      Messages.push_back({Wait.Broker, slot_cancel{Id, Service}});
    send(Wait, Now);
  }
}

std::string slot_holder::ownerOf(std::string_view Service) const {
  auto Found = Owners.find(Service);
  return Found == Owners.end() ? std::string() : Found->second;
}

void slot_holder::tick(core::time_point Now) {
  for (auto &[Id, Wait] : Waits)
    if (Now - Wait.LastSent >= ResendInterval ||
        (Wait.Broker.empty() && !ownerOf(Wait.Request.Service).empty()))
      send(Wait, Now);
}

std::vector<slot_message> slot_holder::takeMessages() {
  return std::exchange(Messages, {});
}

} // namespace lycheetrestle::routing
