#include "entry/entry_process.h"

#include "core/clock.h"
#include "core/event_log.h"
#include "core/metrics.h"
#include "entry/http_frontend.h"
#include "entry/readiness_gate.h"
#include "entry/request_reader.h"
#include "entry/ring_sender.h"
#include "entry/shutdown_plan.h"
#include "entry/upstream_client.h"
#include "routing/entry_router.h"
#include "transport/link_hub.h"
#include "transport/traffic_metrics.h"

#include <algorithm>
#include <atomic>
#include <random>
#include <set>

namespace lycheetrestle::entry {

namespace {

using core::boot_clock;
using core::log_level;
using core::logEvent;
using core::time_point;

constexpr auto TickInterval = std::chrono::milliseconds(10);
// Interval for updating the metrics of link traffic.
constexpr auto TrafficInterval = std::chrono::milliseconds(500);
// Validity of the readiness that the routing thread publishes. When it is
// older, the thread may be blocked, or the process was suspended.
constexpr auto MaxReadyAge = std::chrono::milliseconds(500);
constexpr std::size_t LinkRingCapacity = 16384;
// The number of replies and results is bounded by the requests in flight; the
// margin covers announcements and status calls.
constexpr std::size_t RingMargin = 1024;

/// A message received on a link, or a change of the link's state.
struct link_event {
  std::string Peer;
  std::string Bytes;     ///< The message; empty for a state change.
  bool IsChange = false; ///< Whether it is a state change.
  bool IsUp = false;     ///< New state; valid when IsChange.
};

std::uint64_t randomIncarnation() {
  std::random_device Device;
  return (std::uint64_t(Device()) << 32 | Device()) | 1;
}

std::string toHex(std::uint64_t Value) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  for (int Shift = 60; Shift >= 0; Shift -= 4)
    Text += Digits[Value >> Shift & 0xf];
  return Text;
}

routing::router_settings makeRouterSettings(const entry_settings &Settings,
                                            std::uint64_t Incarnation) {
  routing::router_settings Router;
  Router.Self = Settings.Name;
  Router.Incarnation = Incarnation;
  for (const auto &Entry : Settings.Entries)
    Router.Entries.push_back(Entry.Name);
  for (const auto &Control : Settings.Controls)
    Router.Controls.push_back(Control.Name);
  Router.Freshness = std::chrono::milliseconds(Settings.FreshnessMs);
  Router.ProbeInterval = std::chrono::milliseconds(Settings.ProbeIntervalMs);
  Router.PeerProbeInterval = 2 * Router.ProbeInterval;
  Router.MaxQueuedPerClass = Settings.MaxQueued;
  Router.MaxInFlight = Settings.MaxInFlight;
  return Router;
}

transport::link_peer toPeer(const named_address &Address) {
  return {Address.Name, Address.Socket.Address, Address.Socket.Port};
}

transport::link_settings makeLinkSettings(const entry_settings &Settings) {
  transport::link_settings Links;
  Links.SelfName = Settings.Name;
  Links.ListenAddress = Settings.Link.Address;
  Links.ListenPort = Settings.Link.Port;
  Links.MaxPendingHellos =
      transport::pendingHellosFor(Settings.Limits.Descriptors);
  for (const auto &Control : Settings.Controls)
    Links.Peers.push_back(toPeer(Control));
  // Of two entries, only the one with the smaller name connects, so that there
  // is exactly one link between them.
  for (const auto &Entry : Settings.Entries)
    if (Settings.Name < Entry.Name)
      Links.Peers.push_back(toPeer(Entry));
  return Links;
}

http_frontend_settings makeFrontendSettings(const entry_settings &Settings,
                                            std::uint64_t Incarnation) {
  http_frontend_settings Frontend;
  Frontend.Listen = Settings.Listen;
  Frontend.CorrelationTag = Settings.Name + "-" + toHex(Incarnation);
  Frontend.MaxBodyBytes = Settings.MaxBodyBytes;
  Frontend.MaxConnections = Settings.MaxCallerConnections;
  Frontend.Limits = Settings.Limits;
  return Frontend;
}

/// The four threads of an entry (routing, HTTP, upstream, links) and the rings
/// between them. The thread that calls run() is the routing thread.
class entry_threads {
public:
  entry_threads(const entry_settings &Settings, stop_source &Stop)
      : Settings(Settings), Stop(Stop), Incarnation(randomIncarnation()),
        Events(Settings.MaxInFlight + RingMargin, RoutingSignal),
        Replies(Settings.MaxInFlight + RingMargin, RepliesSignal),
        Orders(Settings.MaxInFlight + RingMargin, OrdersSignal),
        Results(Settings.MaxInFlight + RingMargin, RoutingSignal),
        LinkEvents(LinkRingCapacity, RoutingSignal), LinkChanges(LinkEvents),
        RepliesSender(Replies), OrdersSender(Orders),
        Router(makeRouterSettings(Settings, Incarnation), Metrics,
               boot_clock::now()),
        Frontend(makeFrontendSettings(Settings, Incarnation),
                 {Events, Replies, RepliesSignal}, Metrics,
                 [this] { return isReady(); }),
        Upstream(makeUpstreamSettings(Settings),
                 {Orders, OrdersSignal, Results}),
        Hub(makeLinkSettings(Settings), makeLinkHandlers()),
        Plan({std::chrono::milliseconds(Settings.LingerMs),
              std::chrono::milliseconds(Settings.ShutdownTimeoutMs)}) {
    for (const auto &Entry : Settings.Entries)
      if (Entry.Name != Settings.Name)
        PeerNames.insert(Entry.Name);
    for (const auto &Control : Settings.Controls)
      PeerNames.insert(Control.Name);
  }

  int run() {
    if (!start())
      return EntryNotStarted;
    shutdown_phase Phase = shutdown_phase::Serving;
    while (Phase != shutdown_phase::Finished &&
           Phase != shutdown_phase::Aborted) {
      RoutingSignal.waitFor(TickInterval);
      auto Now = boot_clock::now();
      drainInputs(Now);
      if (Now >= NextTick) {
        Router.tick(Now);
        NextTick = Now + TickInterval;
      }
      forwardOutputs(Now);
      Phase = advanceShutdown(Phase, Now);
      publishReadiness(Phase == shutdown_phase::Serving, Now);
      publishTraffic(Now);
    }
    stopThreads();
    logEvent(log_level::Info, "entry_stopped",
             {{"graceful", Phase == shutdown_phase::Finished}});
    return Phase == shutdown_phase::Finished ? EntryStopped : EntryStoppedEarly;
  }

private:
  static upstream_settings
  makeUpstreamSettings(const entry_settings &Settings) {
    upstream_settings Upstream;
    Upstream.MaxResponseBytes = Settings.MaxResponseBytes;
    return Upstream;
  }

  transport::link_handlers makeLinkHandlers() {
    transport::link_handlers Handlers;
    Handlers.OnMessage = [this](const std::string &Peer, std::string Bytes) {
      onLinkMessage(Peer, std::move(Bytes));
    };
    Handlers.OnPeerChange = [this](const std::string &Peer, bool IsUp) {
      logEvent(log_level::Info, IsUp ? "peer_up" : "peer_down",
               {{"peer", Peer}});
      if (PeerNames.count(Peer) != 0)
        LinkChanges.send({Peer, {}, true, IsUp});
    };
    Handlers.OnError = [](const std::string &Peer, const std::string &Reason) {
      logEvent(log_level::Warning, "link_error",
               {{"peer", Peer}, {"reason", Reason}});
    };
    return Handlers;
  }

  // Runs on the thread of the link hub.
  void onLinkMessage(const std::string &Peer, std::string Bytes) {
    if (PeerNames.count(Peer) == 0) {
      Metrics.add("link_messages_dropped_total{reason=\"unknown-peer\"}");
      return;
    }
    // A message must not overtake a queued change of the link's state.
    if (LinkChanges.flush() &&
        LinkEvents.push({Peer, std::move(Bytes), false, false}))
      return;
    Metrics.add("link_messages_dropped_total{reason=\"ring-full\"}");
    logEvent(log_level::Warning, "link_message_dropped",
             {{"peer", Peer}, {"reason", "ring-full"}});
  }

  bool start() {
    logEvent(log_level::Info, "entry_starting",
             {{"name", Settings.Name},
              {"zone", Settings.Zone},
              {"incarnation", toHex(Incarnation)}});
    if (auto Reason = Hub.start(); !Reason.empty())
      return logStartFailure("link", Settings.Link, Reason);
    if (auto Reason = Frontend.start(); !Reason.empty()) {
      Hub.stop();
      return logStartFailure("listen", Settings.Listen, Reason);
    }
    Upstream.start();
    logEvent(log_level::Info, "entry_started",
             {{"address", Settings.Listen.Address},
              {"port", Frontend.port()},
              {"link_port", Settings.Link.Port}});
    return true;
  }

  static bool logStartFailure(std::string_view Field,
                              const socket_address &Socket,
                              const std::string &Reason) {
    logEvent(log_level::Error, "bind_failed",
             {{"field", Field},
              {"address", Socket.Address},
              {"port", Socket.Port},
              {"reason", Reason}});
    return false;
  }

  void stopThreads() {
    Frontend.stop();
    Upstream.stop();
    Hub.stop();
  }

  void drainInputs(time_point Now) {
    LinkEvents.drain([&](link_event &&Event) { onLinkEvent(Event, Now); });
    Results.drain([&](routing::upstream_result &&Result) {
      if (Result.Status != routing::upstream_status::Complete)
        logEvent(log_level::Debug, "attempt_failed",
                 {{"attempt", Result.Attempt}, {"reason", Result.Reason}});
      Router.onUpstreamResult(std::move(Result), Now);
    });
    Events.drain([&](frontend_event &&Event) {
      std::visit([&](auto &Body) { onFrontendEvent(std::move(Body), Now); },
                 Event);
    });
  }

  void onLinkEvent(link_event &Event, time_point Now) {
    if (Event.IsChange)
      return Router.onPeerChange(Event.Peer, Event.IsUp, Now);
    auto Decoded =
        core::capture([&] { return routing::decodeMessage(Event.Bytes); });
    if (const auto *Failure = std::get_if<1>(&Decoded)) {
      Metrics.add("link_messages_dropped_total{reason=\"malformed\"}");
      logEvent(log_level::Warning, "link_message_malformed",
               {{"peer", Event.Peer}, {"reason", Failure->Message}});
      return;
    }
    Router.onMessage(Event.Peer, std::move(std::get<0>(Decoded)), Now);
  }

  void onFrontendEvent(routing::caller_request Request, time_point Now) {
    Router.onCallerRequest(std::move(Request), Now);
  }

  void onFrontendEvent(caller_disconnected Event, time_point Now) {
    Router.onCallerDisconnected(Event.Id, Now);
  }

  void onFrontendEvent(announcement_call Call, time_point Now) {
    auto Failure = core::captureFailure([&] {
      return Router.onAnnouncement(std::move(Call.Announcement), Now);
    });
    if (!Failure)
      return RepliesSender.send(
          management_reply{Call.Id, 200, "{\"accepted\":true}"});
    bool IsOlder = Failure->Code == core::error_code::Conflict;
    RepliesSender.send(
        management_reply{Call.Id, IsOlder ? 409u : 503u, errorJson(*Failure)});
  }

  void onFrontendEvent(status_call Call, time_point Now) {
    RepliesSender.send(management_reply{Call.Id, 200, Router.statusJson(Now)});
  }

  void forwardOutputs(time_point Now) {
    RepliesSender.flush();
    OrdersSender.flush();
    auto Output = Router.takeOutput();
    // A rejected dispatch is a new input of the router, which can produce more
    // output.
    bool HasNewInput = true;
    while (HasNewInput) {
      HasNewInput = false;
      for (auto &Message : Output.Messages)
        if (!Hub.send(Message.Peer, routing::encode(Message.Message)))
          Metrics.add("link_messages_dropped_total{reason=\"not-sent\"}");
      for (auto &Response : Output.Responses)
        RepliesSender.send(std::move(Response));
      for (auto &Request : Output.Dispatch)
        HasNewInput = !dispatch(std::move(Request), Now) || HasNewInput;
      for (auto Attempt : Output.CancelUpstream)
        OrdersSender.send(cancel_order{Attempt});
      if (HasNewInput)
        Output = Router.takeOutput();
    }
  }

  bool dispatch(routing::upstream_request Request, time_point Now) {
    auto Attempt = Request.Attempt;
    if (OrdersSender.flush() &&
        Orders.push(dispatch_order{std::move(Request), Now}))
      return true;
    Metrics.add("dispatch_refused_total{reason=\"ring-full\"}");
    routing::upstream_result Result;
    Result.Attempt = Attempt;
    Result.Status = routing::upstream_status::NotSent;
    Result.Reason = "ring-full";
    Router.onUpstreamResult(std::move(Result), Now);
    return false;
  }

  shutdown_phase advanceShutdown(shutdown_phase Old, time_point Now) {
    auto Phase =
        Plan.advance(Stop.count(), Router.isIdle(), Frontend.isFlushed(), Now);
    if (Phase == Old)
      return Phase;
    logEvent(log_level::Info, "shutdown_phase", {{"phase", toString(Phase)}});
    if (Old == shutdown_phase::Serving)
      Frontend.closeAfterResponses();
    if (Phase == shutdown_phase::Refusing)
      Router.beginShutdown(Now);
    if (Phase == shutdown_phase::Closing)
      Frontend.closeListener();
    return Phase;
  }

  void publishTraffic(time_point Now) {
    if (Now < NextTraffic)
      return;
    NextTraffic = Now + TrafficInterval;
    transport::publishTraffic(Metrics, Hub.traffic());
  }

  void publishReadiness(bool IsServing, time_point Now) {
    bool Ready = Gate.update(Router.isReady(Now), Now) && IsServing;
    if (Ready != WasReady)
      logEvent(log_level::Info, "readiness", {{"ready", Ready}});
    WasReady = Ready;
    auto Until = Ready ? Now + MaxReadyAge : time_point();
    ReadyUntil = Until.time_since_epoch().count();
  }

  // Runs on the HTTP thread.
  bool isReady() const {
    return boot_clock::now().time_since_epoch().count() < ReadyUntil;
  }

  const entry_settings &Settings;
  stop_source &Stop;
  const std::uint64_t Incarnation;
  std::set<std::string, std::less<>> PeerNames;
  core::metrics_registry Metrics;
  core::ring_signal RoutingSignal, RepliesSignal, OrdersSignal;
  core::bounded_ring<frontend_event> Events;
  core::bounded_ring<frontend_reply> Replies;
  core::bounded_ring<upstream_order> Orders;
  core::bounded_ring<routing::upstream_result> Results;
  core::bounded_ring<link_event> LinkEvents;
  ring_sender<link_event> LinkChanges; ///< Used by the link hub's thread.
  ring_sender<frontend_reply> RepliesSender;
  ring_sender<upstream_order> OrdersSender;
  routing::entry_router Router;
  http_frontend Frontend;
  upstream_client Upstream;
  transport::link_hub Hub;
  shutdown_plan Plan;
  readiness_gate Gate;
  time_point NextTick;
  bool WasReady = false;
  time_point NextTraffic{};
  /// Boot clock time in us; 0 while the entry is not ready.
  std::atomic<core::duration::rep> ReadyUntil{0};
};

} // namespace

int runEntry(const entry_settings &Settings, stop_source &Stop) {
  try {
    return entry_threads(Settings, Stop).run();
  } catch (const std::exception &Exception) {
    logEvent(log_level::Error, "entry_failed", {{"reason", Exception.what()}});
    return EntryStoppedEarly;
  }
}

} // namespace lycheetrestle::entry
