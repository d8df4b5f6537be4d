#include "routing/broker_set.h"

#include "core/checksum.h"

#include <utility>

namespace lycheetrestle::routing {

namespace {

// Limits the brokers that requests of peers can create.
constexpr std::size_t MaxBrokers = 1000;
// While entries disagree on the owner, a broker gets occasional requests;
// keeping it avoids a rebuild for each of them.
constexpr core::duration IdleBrokerRetention = std::chrono::seconds(10);

} // namespace

broker_set::broker_set(std::string Self, std::uint64_t Incarnation,
                       broker_settings Settings,
                       const endpoint_source &Endpoints)
    : Self(std::move(Self)), Incarnation(Incarnation), Settings(Settings),
      Endpoints(Endpoints) {}

slot_broker &broker_set::brokerOf(const std::string &Service,
                                  const std::set<std::string> &Reporters,
                                  core::time_point Now) {
  LastUsed[Service] = Now;
  auto Found = Brokers.find(Service);
  if (Found != Brokers.end()) {
    if (OwnedElsewhere.erase(Service) > 0)
      Found->second.rebuild(Reporters, Now);
    return Found->second;
  }
  auto BrokerSettings = Settings;
  // Tokens of different brokers of a service must not collide, so each broker
  // counts from a hash of its origin.
  BrokerSettings.FirstToken =
      core::stableHash(Self + "#" + std::to_string(Incarnation) + "/" +
                       Service + "/" + std::to_string(++BrokersCreated));
  auto &Broker =
      Brokers.try_emplace(Service, Service, BrokerSettings, Endpoints)
          .first->second;
  Broker.rebuild(Reporters, Now);
  return Broker;
}

void broker_set::gainOwnership(const std::string &Service,
                               std::set<std::string> Reporters,
                               core::time_point Now) {
  Owned.insert(Service);
  auto &Broker = brokerOf(Service, Reporters, Now);
  Broker.rebuild(std::move(Reporters), Now);
}

void broker_set::request(const std::string &Holder, const slot_request &Request,
                         const std::set<std::string> &Reporters,
                         core::time_point Now) {
  bool IsMoved = IsClosed && Holder != Self;
  bool IsFull =
      Brokers.size() >= MaxBrokers && Brokers.count(Request.Service) == 0;
  if (IsMoved || IsFull) {
    Replies.push_back({Holder, slot_refusal{Request.RequestId,
                                            IsMoved ? "moved" : "overloaded"}});
    return;
  }
  brokerOf(Request.Service, Reporters, Now).request(Holder, Request, Now);
}

void broker_set::cancel(const std::string &Holder, const slot_cancel &Cancel) {
  auto Found = Brokers.find(Cancel.Service);
  if (Found != Brokers.end())
    Found->second.cancel(Holder, Cancel.RequestId);
}

void broker_set::release(const slot_release &Release, core::time_point Now) {
  auto Found = Brokers.find(Release.Service);
  if (Found != Brokers.end())
    Found->second.release(Release, Now);
}

void broker_set::report(const std::string &Holder, const slot_report &Report,
                        const std::set<std::string> &Reporters,
                        core::time_point Now) {
  if (Brokers.size() >= MaxBrokers && Brokers.count(Report.Service) == 0)
    return;
  brokerOf(Report.Service, Reporters, Now).report(Holder, Report, Now);
}

void broker_set::onHolderDown(const std::string &Holder) {
  for (auto &[Service, Broker] : Brokers)
    Broker.onHolderDown(Holder);
}

void broker_set::loseOwnership(const std::string &Service) {
  Owned.erase(Service);
  if (Brokers.count(Service) > 0)
    OwnedElsewhere.insert(Service);
}

void broker_set::close() {
  IsClosed = true;
  for (auto &[Service, Broker] : Brokers)
    Broker.handOver();
}

void broker_set::update(core::time_point Now) {
  for (auto Where = Brokers.begin(); Where != Brokers.end();) {
    auto &[Service, Broker] = *Where;
    Broker.update(Now);
    if (!Broker.isIdle() || Owned.count(Service) > 0 ||
        Now - LastUsed[Service] < IdleBrokerRetention) {
      ++Where;
      continue;
    }
    LastUsed.erase(Service);
    OwnedElsewhere.erase(Service);
    Where = Brokers.erase(Where);
  }
}

std::vector<broker_reply> broker_set::takeReplies() {
  auto All = std::exchange(Replies, {});
  for (auto &[Service, Broker] : Brokers)
    for (auto &Reply : Broker.takeReplies())
      All.push_back(std::move(Reply));
  return All;
}

} // namespace lycheetrestle::routing
