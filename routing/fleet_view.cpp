#include "routing/fleet_view.h"

#include "core/invariant.h"

#include <algorithm>

namespace lycheetrestle::routing {

bool fleet_view::apply(const view_delta &Delta) {
  if (Delta.ViewIndex <= Index)
    return false;
  if (Delta.IsFull) {
    std::map<std::string, host_view, std::less<>> Listed;
    for (const auto &Host : Delta.Hosts)
      Listed.emplace(Host.Name, Host);
    bool HasRemoval =
        std::any_of(Hosts.begin(), Hosts.end(), [&](const auto &Item) {
          return Listed.find(Item.first) == Listed.end();
        });
    // An entry that just started has no record of earlier removals, so a peer
    // with any older index must get the full list.
    if (HasRemoval || Index == 0)
      RemovalIndex = Delta.ViewIndex;
    Hosts = std::move(Listed);
  } else {
    for (const auto &Host : Delta.Hosts) {
      auto &Known = Hosts[Host.Name];
      if (Host.ChangedIndex >= Known.ChangedIndex)
        Known = Host;
    }
  }
  if (Delta.Services)
    replaceServices(*Delta.Services, Delta.ViewIndex);
  core::checkInvariant(Delta.DeclarationNumber >= Number,
                       "the declaration number of an entry never decreases");
  core::checkInvariant(Delta.ViewIndex > Index,
                       "the version of an entry never decreases");
  Number = Delta.DeclarationNumber;
  Index = Delta.ViewIndex;
  return true;
}

void fleet_view::replaceServices(const std::vector<fleet::service_spec> &List,
                                 std::uint64_t AtIndex) {
  std::map<std::string, fleet::service_spec, std::less<>> Listed;
  for (const auto &Service : List)
    Listed.emplace(Service.Name, Service);
  if (Listed == Services)
    return;
  Services = std::move(Listed);
  ServicesIndex = AtIndex;
}

view_delta fleet_view::deltaSince(std::uint64_t KnownIndex) const {
  view_delta Delta;
  Delta.ViewIndex = Index;
  Delta.DeclarationNumber = Number;
  if (KnownIndex >= Index)
    return Delta;
  Delta.IsFull = KnownIndex < RemovalIndex;
  for (const auto &[Name, Host] : Hosts)
    if (Delta.IsFull || Host.ChangedIndex > KnownIndex)
      Delta.Hosts.push_back(Host);
  if (Delta.IsFull || KnownIndex < ServicesIndex) {
    Delta.Services.emplace();
    for (const auto &[Name, Service] : Services)
      Delta.Services->push_back(Service);
  }
  return Delta;
}

const host_view *fleet_view::findHost(std::string_view Name) const {
  auto Found = Hosts.find(Name);
  return Found == Hosts.end() ? nullptr : &Found->second;
}

const fleet::service_spec *
fleet_view::findService(std::string_view Name) const {
  auto Found = Services.find(Name);
  return Found == Services.end() ? nullptr : &Found->second;
}

bool fleet_view::allowsWork(std::string_view Service,
                            std::string_view Host) const {
  const auto *Spec = findService(Service);
  const auto *HostRecord = findHost(Host);
  return Spec && HostRecord &&
         HostRecord->State == fleet::host_state::InService &&
         HostRecord->Pool == Spec->Pool;
}

} // namespace lycheetrestle::routing
