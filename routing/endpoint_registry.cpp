#include "routing/endpoint_registry.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace lycheetrestle::routing {

endpoint_registry::endpoint_registry(registry_settings Settings)
    : Settings(Settings) {}

bool endpoint_registry::isUsable(const record &Record,
                                 core::time_point Now) const {
  return !Record.Last.Leaving && Now - Record.Sent <= Settings.Lease;
}

announcement_result endpoint_registry::apply(const announcement &Announcement,
                                             core::time_point Sent,
                                             core::time_point Now) {
  Sent = std::min(Sent, Now);
  auto Found = Records.find(Announcement.Endpoint);
  if (Found == Records.end()) {
    if (Records.size() >= Settings.MaxEndpoints)
      expire(Now);
    if (Records.size() >= Settings.MaxEndpoints)
      return announcement_result::Full;
    Records.emplace(Announcement.Endpoint, record{Announcement, Sent});
    ByService[Announcement.Service].insert(Announcement.Endpoint);
    return announcement_result::Accepted;
  }
  auto &Record = Found->second;
  auto Known = std::tie(Record.Last.Incarnation, Record.Last.Sequence);
  auto Offered = std::tie(Announcement.Incarnation, Announcement.Sequence);
  if (Offered < Known)
    return announcement_result::Outdated;
  if (Offered == Known) {
    // The same announcement over another path can prove a later send time.
    Record.Sent = std::max(Record.Sent, Sent);
    return announcement_result::Outdated;
  }
  if (Record.Last.Service != Announcement.Service) {
    ByService[Record.Last.Service].erase(Announcement.Endpoint);
    ByService[Announcement.Service].insert(Announcement.Endpoint);
  }
  Record = {Announcement, Sent};
  return announcement_result::Accepted;
}

const announcement *endpoint_registry::findUsable(std::string_view Endpoint,
                                                  core::time_point Now) const {
  auto Found = Records.find(Endpoint);
  if (Found == Records.end() || !isUsable(Found->second, Now))
    return nullptr;
  return &Found->second.Last;
}

void endpoint_registry::forEachUsable(
    std::string_view Service, core::time_point Now,
    const std::function<void(const announcement &)> &Function) const {
  auto Names = ByService.find(Service);
  if (Names == ByService.end())
    return;
  for (const auto &Name : Names->second)
    if (const auto *Endpoint = findUsable(Name, Now))
      Function(*Endpoint);
}

void endpoint_registry::addGossip(const announcement &Announcement) {
  Gossip.insert(Announcement.Endpoint);
  UrgentGossip = UrgentGossip || Announcement.Leaving;
}

std::vector<announcement> endpoint_registry::takeGossip(core::time_point Now) {
  std::vector<announcement> List;
  for (const auto &Name : Gossip) {
    auto Found = Records.find(Name);
    if (Found == Records.end())
      continue;
    List.push_back(Found->second.Last);
    auto Age =
        std::chrono::ceil<std::chrono::milliseconds>(Now - Found->second.Sent);
    List.back().AgeMs = static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        Age.count(), 0, std::numeric_limits<std::uint32_t>::max()));
  }
  Gossip.clear();
  UrgentGossip = false;
  return List;
}

void endpoint_registry::expire(core::time_point Now) {
  for (auto Record = Records.begin(); Record != Records.end();) {
    if (Now - Record->second.Sent <= Settings.Lease + Settings.Retention) {
      ++Record;
      continue;
    }
    auto Names = ByService.find(Record->second.Last.Service);
    Names->second.erase(Record->first);
    if (Names->second.empty())
      ByService.erase(Names);
    Record = Records.erase(Record);
  }
}

std::size_t endpoint_registry::usableCount(core::time_point Now) const {
  return std::count_if(Records.begin(), Records.end(), [&](const auto &Item) {
    return isUsable(Item.second, Now);
  });
}

} // namespace lycheetrestle::routing
