#include "routing/entry_router.h"

#include "core/checksum.h"
#include "core/invariant.h"
#include "routing/broker_set.h"
#include "routing/peer_monitor.h"
#include "routing/request_handler.h"
#include "routing/service_owner.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <utility>

namespace lycheetrestle::routing {

namespace {

constexpr core::duration ReportInterval = std::chrono::seconds(1);
constexpr core::duration ExpireInterval = std::chrono::seconds(1);
// A longer gap between two events means that the process was frozen.
// Announcements that arrive within PostPauseWindow after it may have waited in
// socket buffers, so their leases count from before the gap.
constexpr core::duration MaxEventGap = std::chrono::milliseconds(500);
constexpr core::duration PostPauseWindow = std::chrono::milliseconds(500);
constexpr int MaxDrainRounds = 100000;
// Weight of the newest report interval in the moving average of the demand.
constexpr double DemandWeight = 0.5;

/// The endpoints that may get new work according to this entry's leases and
/// view.
class usable_endpoints final : public endpoint_source {
public:
  usable_endpoints(const endpoint_registry &Registry, const fleet_view &View)
      : Registry(Registry), View(View) {}

  std::vector<endpoint_slots> eligible(std::string_view Service,
                                       core::time_point Now) const override {
    std::vector<endpoint_slots> List;
    Registry.forEachUsable(Service, Now, [&](const announcement &Endpoint) {
      if (View.allowsWork(Service, Endpoint.Host))
        List.push_back({Endpoint.Endpoint, Endpoint.Slots});
    });
    return List;
  }

private:
  const endpoint_registry &Registry;
  const fleet_view &View;
};

std::uint64_t firstId(const router_settings &Settings) {
  return core::stableHash(Settings.Self + "#" +
                          std::to_string(Settings.Incarnation));
}

broker_settings brokerSettings(const router_settings &Settings) {
  broker_settings Broker;
  Broker.Queue.MaxPerClass = Settings.MaxQueuedPerClass;
  Broker.Queue.GrantCycle = Settings.BatchShare;
  Broker.MaxDeadlineMs = Settings.MaxDeadlineMs;
  return Broker;
}

registry_settings registrySettings(const router_settings &Settings) {
  registry_settings Registry;
  Registry.Lease = Settings.AnnouncementLease;
  return Registry;
}

} // namespace

class entry_router::implementation {
public:
  implementation(router_settings InitialSettings,
                 core::metrics_registry &Metrics, core::time_point Now)
      : Settings(std::move(InitialSettings)), Metrics(Metrics),
        LastId(firstId(Settings)), LastEvent(Now),
        Registry(registrySettings(Settings)),
        Guard(Settings.Self, Settings.Entries, Settings.Freshness, Now),
        Endpoints(Registry, View), Monitor(Settings, View, Guard, Registry),
        Brokers(Settings.Self, Settings.Incarnation, brokerSettings(Settings),
                Endpoints),
        Handler({Settings, View, Guard, Registry, Metrics,
                 [this] { return ++LastId; }}) {}

  /// Records the time of an event and detects a freeze of the process.
  void recordEvent(core::time_point Now);
  core::result<void> onAnnouncement(announcement Announcement,
                                    core::time_point Now);
  void onMessage(const std::string &Peer, message Message,
                 core::time_point Now);
  void onPeerChange(const std::string &Peer, bool IsUp, core::time_point Now);
  void tick(core::time_point Now);
  void beginShutdown(core::time_point Now);
  /// Delivers messages between the parts of this entry until none is left, then
  /// collects the messages for other processes.
  void drainMessages(core::time_point Now);
  std::string statusJson(core::time_point Now) const;

  router_settings Settings;
  core::metrics_registry &Metrics;
  std::uint64_t LastId;
  core::time_point LastEvent;
  endpoint_registry Registry;
  fleet_view View;
  freshness_guard Guard;
  usable_endpoints Endpoints;
  peer_monitor Monitor;
  broker_set Brokers;
  request_handler Handler;
  router_output Output;

private:
  void handleSlotMessage(const std::string &Peer, message &Message,
                         core::time_point Now);
  void updateOwners(core::time_point Now);
  void sendReport(core::time_point Now);

  core::time_point LastEventBeforePause{};
  std::optional<core::time_point> PauseEnd;
  std::optional<core::time_point> LastReport;
  std::optional<core::time_point> LastExpire;
  std::map<std::string, double> Demand;
  std::map<std::string, std::string> Owners;
  std::set<std::string> LastLiveEntries;
  std::uint64_t LastViewIndex = 0;
};

void entry_router::implementation::recordEvent(core::time_point Now) {
  if (Now - LastEvent > MaxEventGap) {
    LastEventBeforePause = LastEvent;
    PauseEnd = Now;
  }
  LastEvent = std::max(LastEvent, Now);
}

core::result<void>
entry_router::implementation::onAnnouncement(announcement Announcement,
                                             core::time_point Now) {
  // The announcement arrived after the last event, so its lease counts from it.
  auto Sent = LastEvent;
  recordEvent(Now);
  if (PauseEnd && Now - *PauseEnd <= PostPauseWindow)
    Sent = LastEventBeforePause;
  Announcement.AgeMs = 0;
  auto Result = Registry.apply(Announcement, Sent, Now);
  if (Result == announcement_result::Full)
    return core::fail({core::error_code::Overloaded,
                       "too many endpoints are registered", "endpoint",
                       Announcement.Endpoint, core::verdict::NotRun});
  if (Result == announcement_result::Outdated)
    return core::fail({core::error_code::Conflict,
                       "expected a newer announcement than the recorded one",
                       "sequence", std::to_string(Announcement.Sequence),
                       core::verdict::NotRun});
  Registry.addGossip(Announcement);
  Monitor.sendUrgentGossip(Now);
  drainMessages(Now);
  return {};
}

void entry_router::implementation::onMessage(const std::string &Peer,
                                             message Message,
                                             core::time_point Now) {
  recordEvent(Now);
  if (auto *Reply = std::get_if<probe_reply>(&Message)) {
    Monitor.onProbeReply(Peer, *Reply, Now);
    updateOwners(Now);
  } else if (auto *Reply = std::get_if<key_reply>(&Message)) {
    if (Monitor.isControl(Peer))
      Handler.onKeyReply(*Reply, Now);
  } else if (auto *Probe = std::get_if<peer_probe>(&Message)) {
    Monitor.onPeerProbe(Peer, *Probe, Now);
  } else if (auto *Reply = std::get_if<peer_reply>(&Message)) {
    Monitor.onPeerReply(Peer, *Reply, Now);
    updateOwners(Now);
  } else if (auto *Batch = std::get_if<announcements>(&Message)) {
    Monitor.onAnnouncements(Peer, *Batch, Now);
  } else if (Monitor.isEntry(Peer)) {
    handleSlotMessage(Peer, Message, Now);
  }
  drainMessages(Now);
}

void entry_router::implementation::handleSlotMessage(const std::string &Peer,
                                                     message &Message,
                                                     core::time_point Now) {
  if (auto *Request = std::get_if<slot_request>(&Message)) {
    Brokers.request(Peer, *Request, Monitor.liveEntries(Now), Now);
  } else if (auto *Grant = std::get_if<slot_grant>(&Message)) {
    Handler.onGrant(Peer, *Grant, Now);
  } else if (auto *Refusal = std::get_if<slot_refusal>(&Message)) {
    if (Refusal->Reason == "moved") {
      Monitor.onPeerStopping(Peer);
      updateOwners(Now);
    }
    Handler.onRefusal(Peer, *Refusal, Now);
  } else if (auto *Cancel = std::get_if<slot_cancel>(&Message)) {
    Brokers.cancel(Peer, *Cancel);
  } else if (auto *Release = std::get_if<slot_release>(&Message)) {
    Brokers.release(*Release, Now);
  } else if (auto *Report = std::get_if<slot_report>(&Message)) {
    Brokers.report(Peer, *Report, Monitor.liveEntries(Now), Now);
  }
}

void entry_router::implementation::drainMessages(core::time_point Now) {
  for (int Round = 0;; ++Round) {
    // Each round advances requests, so the loop terminates.
    core::checkInvariant(Round < MaxDrainRounds,
                         "the exchange of messages inside an entry terminates");
    std::deque<slot_message> Local;
    for (auto &Message : Handler.takeSlotMessages()) {
      if (Message.Peer == Settings.Self)
        Local.push_back(std::move(Message));
      else
        Output.Messages.push_back(
            {std::move(Message.Peer), std::move(Message.Message)});
    }
    for (auto &Reply : Brokers.takeReplies()) {
      if (Reply.Holder == Settings.Self)
        Local.push_back({std::move(Reply.Holder), std::move(Reply.Message)});
      else
        Output.Messages.push_back(
            {std::move(Reply.Holder), std::move(Reply.Message)});
    }
    if (Local.empty())
      break;
    for (auto &Message : Local)
      handleSlotMessage(Settings.Self, Message.Message, Now);
  }
  for (auto &Message : Monitor.takeMessages())
    Output.Messages.push_back(std::move(Message));
  Handler.takeOutput(Output);
}

void entry_router::implementation::updateOwners(core::time_point Now) {
  Handler.setLeader(Monitor.leader(Now), Now);
  auto Live = Monitor.liveEntries(Now);
  if (Live == LastLiveEntries && View.index() == LastViewIndex)
    return;
  LastLiveEntries = Live;
  LastViewIndex = View.index();
  for (auto Known = Owners.begin(); Known != Owners.end();) {
    if (View.findService(Known->first)) {
      ++Known;
      continue;
    }
    Brokers.loseOwnership(Known->first);
    Handler.setOwner(Known->first, "", Now);
    Known = Owners.erase(Known);
  }
  for (const auto &[Service, Spec] : View.services()) {
    auto Owner = serviceOwner(Service, Live);
    auto &Known = Owners[Service];
    if (Known == Owner)
      continue;
    if (Known == Settings.Self)
      Brokers.loseOwnership(Service);
    Known = Owner;
    if (Owner == Settings.Self)
      Brokers.gainOwnership(Service, Live, Now);
    Handler.setOwner(Service, Owner, Now);
  }
}

void entry_router::implementation::onPeerChange(const std::string &Peer,
                                                bool IsUp,
                                                core::time_point Now) {
  recordEvent(Now);
  Monitor.onPeerChange(Peer, IsUp, Now);
  if (!IsUp)
    Brokers.onHolderDown(Peer);
  updateOwners(Now);
  drainMessages(Now);
}

void entry_router::implementation::tick(core::time_point Now) {
  recordEvent(Now);
  Monitor.tick(Now);
  updateOwners(Now);
  Handler.tick(Now);
  Brokers.update(Now);
  if (!LastReport || Now - *LastReport >= ReportInterval) {
    sendReport(Now);
    LastReport = Now;
  }
  if (!LastExpire || Now - *LastExpire >= ExpireInterval) {
    Registry.expire(Now);
    LastExpire = Now;
  }
  drainMessages(Now);
}

void entry_router::implementation::sendReport(core::time_point Now) {
  entry_report Report;
  Report.ViewIndex = View.index();
  Report.DeclarationNumber = View.declarationNumber();
  Report.Serving = Monitor.isServing(Now);
  Report.InFlightByHost = Handler.inFlightByHost();
  double Seconds =
      LastReport ? std::chrono::duration<double>(Now - *LastReport).count() : 1;
  auto Arrivals = Handler.takeArrivals();
  for (const auto &[Service, Spec] : View.services()) {
    auto &Rate = Demand[Service];
    Rate += DemandWeight * (Arrivals[Service] / Seconds - Rate);
    Report.DemandByService[Service] = Rate;
  }
  std::size_t Waiting = 0;
  for (const auto &[Service, Broker] : Brokers.brokers()) {
    auto Label = "{service=\"" + Service + "\"}";
    Metrics.set("queue_length" + Label, static_cast<double>(Broker.waiting()));
    Metrics.set("slots_busy" + Label, static_cast<double>(Broker.busySlots()));
    Report.QueuedByService[Service] =
        static_cast<std::uint32_t>(Broker.waiting());
    Report.BusySlotsByService[Service] =
        static_cast<std::uint32_t>(Broker.busySlots());
    Waiting += Broker.waiting();
  }
  Metrics.set("queue_length_total", static_cast<double>(Waiting));
  Metrics.set("requests_in_flight",
              static_cast<double>(Handler.requestCount()));
  Metrics.set("endpoints_usable",
              static_cast<double>(Registry.usableCount(Now)));
  Metrics.set("keys_in_work", static_cast<double>(Handler.keyCount()));
  Metrics.set("serving", Monitor.isServing(Now) ? 1 : 0);
  auto Leader = Monitor.leader(Now);
  if (!Leader.empty())
    Output.Messages.push_back({Leader, std::move(Report)});
}

void entry_router::implementation::beginShutdown(core::time_point Now) {
  recordEvent(Now);
  Handler.beginShutdown();
  Monitor.beginShutdown();
  Brokers.close();
  updateOwners(Now);
  drainMessages(Now);
}

std::string
entry_router::implementation::statusJson(core::time_point Now) const {
  nlohmann::json Status;
  Status["entry"] = Settings.Self;
  Status["incarnation"] = Settings.Incarnation;
  Status["view_index"] = View.index();
  Status["declaration_number"] = View.declarationNumber();
  Status["fresh"] = Guard.isFresh(Now);
  Status["serving"] = Monitor.isServing(Now);
  Status["confirmation_age_ms"] = Guard.confirmationAgeMs(Now);
  Status["leader"] = Monitor.leader(Now);
  Status["live_entries"] = Monitor.liveEntries(Now);
  Status["requests_in_flight"] = Handler.requestCount();
  Status["keys_in_work"] = Handler.keyCount();
  Status["owners"] = Owners;
  auto &Services = Status["services"] = nlohmann::json::object();
  for (const auto &Item : View.services()) {
    const auto &Service = Item.first;
    auto &List = Services[Service]["endpoints"] = nlohmann::json::array();
    Registry.forEachUsable(Service, Now, [&](const announcement &Endpoint) {
      List.push_back({{"endpoint", Endpoint.Endpoint},
                      {"host", Endpoint.Host},
                      {"address", Endpoint.Address},
                      {"slots", Endpoint.Slots},
                      {"takes_work", View.allowsWork(Service, Endpoint.Host)}});
    });
  }
  auto &Queues = Status["brokers"] = nlohmann::json::object();
  for (const auto &[Service, Broker] : Brokers.brokers())
    Queues[Service] = {{"waiting", Broker.waiting()},
                       {"busy_slots", Broker.busySlots()},
                       {"mean_service_ms", Broker.meanServiceMs()}};
  // Names come from other processes and may contain invalid UTF-8.
  return Status.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

entry_router::entry_router(router_settings Settings,
                           core::metrics_registry &Metrics,
                           core::time_point Now)
    : Impl(std::make_unique<implementation>(std::move(Settings), Metrics,
                                            Now)) {}

entry_router::~entry_router() = default;

void entry_router::onCallerRequest(caller_request Request,
                                   core::time_point Now) {
  Impl->recordEvent(Now);
  Impl->Handler.onCallerRequest(std::move(Request), Now);
  Impl->drainMessages(Now);
}

void entry_router::onCallerDisconnected(std::uint64_t Id,
                                        core::time_point Now) {
  Impl->recordEvent(Now);
  Impl->Handler.onCallerDisconnected(Id, Now);
  Impl->drainMessages(Now);
}

void entry_router::onUpstreamResult(upstream_result Result,
                                    core::time_point Now) {
  Impl->recordEvent(Now);
  Impl->Handler.onUpstreamResult(std::move(Result), Now);
  Impl->drainMessages(Now);
}

core::result<void> entry_router::onAnnouncement(announcement Announcement,
                                                core::time_point Now) {
  return Impl->onAnnouncement(std::move(Announcement), Now);
}

void entry_router::onMessage(const std::string &Peer, message Message,
                             core::time_point Now) {
  Impl->onMessage(Peer, std::move(Message), Now);
}

void entry_router::onPeerChange(const std::string &Peer, bool IsUp,
                                core::time_point Now) {
  Impl->onPeerChange(Peer, IsUp, Now);
}

void entry_router::tick(core::time_point Now) { Impl->tick(Now); }

void entry_router::beginShutdown(core::time_point Now) {
  Impl->beginShutdown(Now);
}

router_output entry_router::takeOutput() {
  return std::exchange(Impl->Output, {});
}

bool entry_router::isReady(core::time_point Now) const {
  return Impl->Monitor.isServing(Now);
}

bool entry_router::isIdle() const { return Impl->Handler.isIdle(); }

std::string entry_router::statusJson(core::time_point Now) const {
  return Impl->statusJson(Now);
}

} // namespace lycheetrestle::routing
