#include "gateway_group.h"

#include <utility>

namespace lycheetrestle::scheduling::test {

namespace {

using std::chrono::milliseconds;

constexpr core::duration ReplicaStatusInterval = milliseconds(300);
constexpr core::duration ObserverStatusInterval = milliseconds(1000);
constexpr core::duration MaxRedialDelay = milliseconds(1000);

} // namespace

gateway_group::gateway_group(membership_site &Site, std::size_t Count)
    : Site(Site) {
  for (std::size_t Index = 0; Index != Count; ++Index)
    Gateways.push_back(std::make_unique<simulated_gateway>());
  Site.onStep([this] { step(); });
}

void gateway_group::start(std::size_t Index,
                          const std::vector<std::size_t> &Seeds) {
  auto &Gateway = *Gateways[Index];
  std::vector<std::string> Names;
  for (auto Seed : Seeds)
    Names.push_back(Site.name(Seed));
  Gateway.Links.clear();
  Gateway.Forwarder = std::make_unique<gateway::forwarder>(
      gateway::forwarder_settings(), Names, Gateway.Metrics);
}

bool gateway_group::isLinked(std::size_t Index, std::size_t Host) const {
  const auto &Links = Gateways[Index]->Links;
  auto Found = Links.find(Site.name(Host));
  return Found != Links.end() && Found->second.HostLife != 0;
}

std::string gateway_group::target(std::size_t Index) {
  auto &Forwarder = *Gateways[Index]->Forwarder;
  http::server_request Request;
  Request.Id = ++LastRequest;
  Forwarder.request(std::move(Request), "", Site.now() + milliseconds(3000),
                    Site.now());
  auto Actions = Forwarder.takeActions();
  Forwarder.finishAll(Site.now());
  Forwarder.takeActions();
  return Actions.Calls.empty() ? "" : Actions.Calls.front().Peer;
}

gateway::status_message gateway_group::statusOf(std::size_t Host) const {
  gateway::status_message Status;
  if (const auto *Observer = Site.observer(Host)) {
    Status.Schedulers = Observer->replicas();
    return Status;
  }
  const auto &Replica = *Site.replica(Host);
  auto Raft = Replica.status();
  Status.IsLeading = Replica.isLeading();
  Status.Term = Raft.Term;
  for (const auto &Member : Raft.Members.Members)
    Status.Schedulers.push_back(Member.Id.Name);
  return Status;
}

void gateway_group::updateLink(simulated_gateway &Gateway,
                               const std::string &Name, scheduler_link &Link) {
  auto Host = Site.indexOf(Name);
  if (Host == Site.size())
    return;
  auto Life = Site.isUp(Host) ? Site.life(Host) : 0;
  if (std::exchange(Link.DialledLife, Site.life(Host)) != Site.life(Host))
    Link.UpAt = Site.now() + Site.randomTime(MaxRedialDelay);
  if (Site.now() < Link.UpAt)
    Life = 0;
  if (std::exchange(Link.HostLife, Life) != Life) {
    Gateway.Forwarder->linkChanged(Name, false, Site.now());
    if (Life != 0)
      Gateway.Forwarder->linkChanged(Name, true, Site.now());
    Link.NextStatus = Site.now();
  }
  if (Life == 0)
    return;
  auto Status = statusOf(Host);
  bool IsObserver = Site.observer(Host) != nullptr;
  bool IsDue = Site.now() >= Link.NextStatus ||
               (IsObserver && Status.Schedulers != Link.Schedulers);
  if (!IsDue)
    return;
  Link.NextStatus = Site.now() + (IsObserver ? ObserverStatusInterval
                                             : ReplicaStatusInterval);
  Link.Schedulers = Status.Schedulers;
  Gateway.Forwarder->receive(Name, std::move(Status), Site.now());
}

void gateway_group::step() {
  for (auto &Gateway : Gateways) {
    if (!Gateway->Forwarder)
      continue;
    for (auto &[Name, Link] : Gateway->Links)
      updateLink(*Gateway, Name, Link);
    Gateway->Forwarder->tick(Site.now());
    auto Actions = Gateway->Forwarder->takeActions();
    for (const auto &Name : Actions.NewPeers)
      Gateway->Links.try_emplace(Name);
    for (const auto &[Peer, Status] : Actions.Statuses)
      if (Gateway->Links[Peer].HostLife != 0)
        Site.receiveStatus(Site.indexOf(Peer), Status.Schedulers);
  }
}

} // namespace lycheetrestle::scheduling::test
