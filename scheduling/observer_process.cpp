#include "scheduling/observer_process.h"

#include "core/bounded_ring.h"
#include "core/event_log.h"
#include "core/metrics.h"
#include "gateway/messages.h"
#include "http/server.h"
#include "scheduling/observer_node.h"
#include "transport/link_events.h"
#include "transport/link_hub.h"
#include "transport/traffic_metrics.h"

#include <algorithm>
#include <deque>
#include <set>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using core::boot_clock;

// Upper bound of the delay until a stop request is noticed. Messages and calls
// wake the loop.
constexpr core::duration MaxWait = std::chrono::milliseconds(200);
constexpr core::duration MetricsInterval = std::chrono::milliseconds(1000);
// Gateways only learn the addresses of schedulers from it.
constexpr core::duration StatusInterval = std::chrono::milliseconds(1000);
constexpr std::size_t RingCapacity = 4096;
// Callers retry after this time; an election is over by then.
constexpr const char *RetryAfterS = "1";

core::failure ioFailure(std::string Message, std::string Field) {
  return {core::error_code::IoError, std::move(Message), std::move(Field), "",
          core::verdict::NotRun};
}

/// Threads, rings and the node of a scheduler without a disk.
class observer_process {
public:
  observer_process(const scheduler_settings &Settings,
                   const core::process_requests &Signals,
                   const core::seed_reader &ReadSeeds)
      : Settings(Settings), Signals(Signals), ReadSeeds(ReadSeeds),
        LinkEvents(RingCapacity, Signal), Requests(RingCapacity, Signal),
        Hub(linkSettings(), linkHandlers()),
        Server(
            serverSettings(),
            [this](const http::request &Request) {
              return answerLocally(Request);
            },
            Requests),
        Node(Settings) {}

  core::result<void> run() {
    if (auto Reason = Hub.start(); !Reason.empty())
      return core::fail(ioFailure(std::move(Reason), "link_port"));
    if (auto Reason = Server.start(); !Reason.empty())
      return core::fail(ioFailure(std::move(Reason), "listen"));
    core::logEvent(core::log_level::Info, "observer_started",
                   {{"founding", Settings.IsFounding}});
    runEventLoop();
    Server.stop();
    Hub.stop();
    core::logEvent(core::log_level::Info, "observer_stopped", {});
    return {};
  }

private:
  http::server_settings serverSettings() {
    http::server_settings Result;
    Result.Listen = {Settings.Listen};
    if (Settings.Metrics.Port != 0)
      Result.Listen.push_back(Settings.Metrics);
    Result.MaxBodyBytes = MaxBodyBytes;
    Result.Limits = Settings.Limits;
    Result.ReservedPorts = {Settings.Metrics.Port};
    Result.Metrics = &Metrics;
    return Result;
  }

  std::optional<http::response> answerLocally(const http::request &Request) {
    if (Request.Target != "/metrics")
      return std::nullopt;
    return http::response{
        200, {{"Content-Type", "text/plain; version=0.0.4"}}, Metrics.expose()};
  }

  transport::link_settings linkSettings() const {
    transport::link_settings Result;
    Result.SelfName = Settings.Address;
    Result.ListenAddress = Settings.Address;
    Result.ListenPort = Settings.LinkPort;
    Result.MaxPendingHellos =
        transport::pendingHellosFor(Settings.Limits.Descriptors);
    return Result;
  }

  transport::link_handlers linkHandlers() {
    transport::link_handlers Handlers;
    Handlers.OnMessage = [this](const std::string &Peer, std::string Bytes) {
      if (!LinkEvents.addMessage(Peer, std::move(Bytes)))
        Metrics.add("link_messages_dropped_total");
    };
    Handlers.OnPeerChange = [this](const std::string &Peer, bool IsUp) {
      if (!LinkEvents.addChange(Peer, IsUp))
        Metrics.add("link_changes_delayed_total");
    };
    Handlers.OnError = [](const std::string &Peer, const std::string &Reason) {
      core::logEvent(core::log_level::Debug, "link_error",
                     {{"peer", Peer}, {"reason", Reason}});
    };
    return Handlers;
  }

  void runEventLoop() {
    while (Signals.Stops == 0) {
      auto Now = boot_clock::now();
      LinkEvents.drain(
          [&](transport::link_event &&Event) { receive(Event, Now); });
      Requests.drain([&](http::server_request &&Request) {
        Responses.push_back({Request.Id, redirect(Request.Request, Now)});
      });
      Node.tick(Now);
      execute();
      publishStatus(Now);
      publishMetrics(Now);
      reloadSeeds();
      auto Wait = Node.nextTick() - boot_clock::now();
      Signal.waitFor(std::clamp(Wait, core::duration(0), MaxWait));
    }
    core::logEvent(core::log_level::Info, "shutdown_started", {});
  }

  void receive(const transport::link_event &Event, core::time_point Now) {
    if (!gateway::isGateway(Event.Peer)) {
      if (Event.Bytes.empty())
        Node.linkChanged(Event.Peer, Event.IsUp);
      else
        Node.receive(Event.Peer, Event.Bytes, Now);
      return;
    }
    if (Event.Bytes.empty()) {
      if (Event.IsUp)
        Gateways.insert(Event.Peer);
      else
        Gateways.erase(Event.Peer);
      NextStatus = Now;
      return;
    }
    auto Message = gateway::decodeMessage(Event.Bytes);
    if (auto *Status =
            Message ? std::get_if<gateway::status_message>(&*Message) : nullptr)
      Node.addReplicas(Status->Schedulers);
    // A gateway calls only leaders; a call that comes nevertheless has not run.
    if (auto *Call =
            Message ? std::get_if<gateway::call_message>(&*Message) : nullptr) {
      gateway::reply_message Reply;
      Reply.Id = Call->Id;
      Hub.send(Event.Peer, gateway::encodeMessage(Reply));
    }
  }

  http::response redirect(const http::request &Request, core::time_point Now) {
    auto Leader = Node.leader(Now);
    http::response Response;
    if (Leader.empty()) {
      Response.Status = 503;
      Response.Headers.push_back({"Retry-After", RetryAfterS});
      Metrics.add("calls_refused_total");
      return Response;
    }
    Response.Status = 307;
    Response.Headers.push_back(
        {"Location", "http://" + Leader + ":" +
                         std::to_string(Settings.Listen.Port) +
                         Request.Target});
    Metrics.add("calls_redirected_total");
    return Response;
  }

  void execute() {
    auto Actions = Node.takeActions();
    for (const auto &Address : Actions.NewPeers)
      Hub.addPeer({Address, Address, Settings.LinkPort});
    for (auto &Message : Actions.Messages)
      if (!Hub.send(Message.Peer, std::move(Message.Bytes)))
        Metrics.add("link_messages_not_sent_total");
    while (!Responses.empty() && Server.deliver(std::move(Responses.front())))
      Responses.pop_front();
  }

  void publishStatus(core::time_point Now) {
    if (Gateways.empty())
      return;
    gateway::status_message Status;
    Status.Schedulers = Node.replicas();
    if (Now < NextStatus && Status.Schedulers == PublishedSchedulers)
      return;
    NextStatus = Now + StatusInterval;
    PublishedSchedulers = Status.Schedulers;
    auto Bytes = gateway::encodeMessage(Status);
    for (const auto &Gateway : Gateways)
      Hub.send(Gateway, Bytes);
  }

  void publishMetrics(core::time_point Now) {
    if (Now < NextMetrics)
      return;
    NextMetrics = Now + MetricsInterval;
    Metrics.set("is_leader", 0);
    transport::publishTraffic(Metrics, Hub.traffic());
  }

  void reloadSeeds() {
    if (Signals.Reloads == ReloadsDone)
      return;
    ReloadsDone = Signals.Reloads;
    auto Seeds = ReadSeeds();
    core::logEvent(
        core::log_level::Info, "settings_reloaded",
        {{"valid", Seeds.has_value()}, {"seeds", Seeds ? Seeds->size() : 0}});
    if (Seeds)
      Node.addPeers(*Seeds);
  }

  const scheduler_settings &Settings;
  const core::process_requests &Signals;
  const core::seed_reader &ReadSeeds;
  int ReloadsDone = 0;
  core::metrics_registry Metrics;
  core::ring_signal Signal;
  transport::link_events LinkEvents;
  core::bounded_ring<http::server_request> Requests;
  transport::link_hub Hub;
  http::server Server;
  observer_node Node;
  std::set<std::string> Gateways;
  std::deque<http::server_response> Responses;
  std::vector<std::string> PublishedSchedulers; ///< In the last status.
  core::time_point NextStatus{};
  core::time_point NextMetrics{};
};

} // namespace

core::result<void> runObserver(const scheduler_settings &Settings,
                               const core::process_requests &Signals,
                               const core::seed_reader &ReadSeeds) {
  observer_process Process(Settings, Signals, ReadSeeds);
  return Process.run();
}

} // namespace lycheetrestle::scheduling
