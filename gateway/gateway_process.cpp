#include "gateway/gateway_process.h"

#include "core/bounded_ring.h"
#include "core/event_log.h"
#include "core/metrics.h"
#include "gateway/forwarder.h"
#include "gateway/stop_plan.h"
#include "http/server.h"
#include "transport/link_events.h"
#include "transport/link_hub.h"
#include "transport/traffic_metrics.h"
#include "workspaces/key_digest.h"

#include <strings.h>

#include <algorithm>
#include <charconv>
#include <deque>
#include <utility>

namespace lycheetrestle::gateway {

namespace {

using core::boot_clock;

// Upper bound of the delay until a deadline or a stop request is noticed.
constexpr core::duration MaxWait = std::chrono::milliseconds(50);
constexpr core::duration MetricsInterval = std::chrono::milliseconds(1000);
// An election takes 0.6 to 1.2 s.
constexpr core::duration LeaderlessThreshold = std::chrono::milliseconds(1000);
// The HTTP server closes a connection whose request has waited for 60 s. Before
// that, each request gets a response and no longer holds its body.
constexpr core::duration MaxDeadline = std::chrono::seconds(55);
// A largest body takes 10 s at a tenth of a gateway's 2 Mbit/s.
constexpr core::duration RequestTimeout = std::chrono::seconds(30);
// Elements of a ring between two threads.
constexpr std::size_t RingCapacity = 8192;

core::failure ioFailure(std::string Message, std::string Field) {
  return {core::error_code::IoError, std::move(Message), std::move(Field), "",
          core::verdict::NotRun};
}

/// Threads, rings and the forwarder of a gateway.
class gateway_process {
public:
  gateway_process(const gateway_settings &Settings,
                  const gateway_dialect &Dialect,
                  const core::process_requests &Signals,
                  const core::seed_reader &ReadSeeds)
      : Settings(Settings), Dialect(Dialect), Signals(Signals),
        ReadSeeds(ReadSeeds), LinkEvents(RingCapacity, Signal),
        Requests(RingCapacity, Signal), Hub(linkSettings(), linkHandlers()),
        Server(
            serverSettings(),
            [this](const http::request &Request) {
              return answerLocally(Request);
            },
            Requests),
        Forwarder(makeForwarderSettings(), Settings.Seeds, Metrics),
        Plan({Settings.StopLinger, Settings.StopDrain}) {}

  core::result<void> run() {
    if (auto Reason = Hub.start(); !Reason.empty())
      return core::fail(ioFailure(std::move(Reason), "link_port"));
    if (auto Reason = Server.start(); !Reason.empty())
      return core::fail(ioFailure(std::move(Reason), "listen"));
    core::logEvent(core::log_level::Info, "gateway_started",
                   {{"listen", core::toString(Settings.Listen)},
                    {"seeds", Settings.Seeds.size()}});
    runEventLoop();
    auto OpenCalls = Forwarder.openCalls();
    auto Now = boot_clock::now();
    Forwarder.finishAll(Now);
    execute(Now);
    Server.stop();
    Hub.stop();
    core::logEvent(core::log_level::Info, "gateway_stopped",
                   {{"open_calls", OpenCalls}});
    return {};
  }

private:
  http::server_settings serverSettings() {
    http::server_settings Result;
    Result.Listen = {Settings.Listen, Settings.Readiness};
    if (Settings.Metrics.Port != 0)
      Result.Listen.push_back(Settings.Metrics);
    Result.RetainedHeaders = {Dialect.DeadlineHeader};
    if (!Dialect.KeyHeader.empty())
      Result.RetainedHeaders.push_back(Dialect.KeyHeader);
    Result.MaxBodyBytes = MaxBodyBytes;
    Result.Limits = Settings.Limits;
    Result.ReservedPorts = {Settings.Readiness.Port, Settings.Metrics.Port};
    Result.RequestTimeout = RequestTimeout;
    Result.Metrics = &Metrics;
    return Result;
  }

  std::optional<http::response> answerLocally(const http::request &Request) {
    if (Request.Target == Dialect.ReadinessPath)
      return http::response{
          static_cast<std::uint16_t>(IsReady ? 200 : 503), {}, ""};
    if (Request.Target == "/metrics")
      return http::response{200,
                            {{"Content-Type", "text/plain; version=0.0.4"}},
                            Metrics.expose()};
    return std::nullopt;
  }

  transport::link_settings linkSettings() const {
    transport::link_settings Result;
    Result.SelfName = linkName(Settings.Address);
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
    while (true) {
      auto Now = boot_clock::now();
      // Readiness fails before anything else changes.
      bool IsStopping = Signals.Stops > 0;
      IsReady = !IsStopping && Forwarder.isReady(Now);
      LinkEvents.drain(
          [&](transport::link_event &&Event) { receive(Event, Now); });
      Requests.drain([&](http::server_request &&Request) {
        auto Deadline = Now + deadlineOf(Request.Request);
        auto Digest = keyDigestOf(Request.Request);
        Forwarder.request(std::move(Request), std::move(Digest), Deadline, Now);
      });
      Forwarder.tick(Now);
      execute(Now);
      publishMetrics(Now);
      reloadSeeds();
      if (advanceStop(Now) == stop_phase::Finished)
        return;
      Signal.waitFor(MaxWait);
    }
  }

  stop_phase advanceStop(core::time_point Now) {
    bool HasOpenRequests = Forwarder.openCalls() != 0 || !Pending.empty() ||
                           Server.pendingRequests() != 0;
    auto Old = Phase;
    Phase = Plan.advance(Signals.Stops, HasOpenRequests, Now);
    if (Phase == Old)
      return Phase;
    core::logEvent(
        core::log_level::Info, "shutdown_phase",
        {{"phase", toString(Phase)}, {"open_calls", Forwarder.openCalls()}});
    IsReady = false;
    Server.closeAfterResponses();
    if (Phase == stop_phase::Refusing)
      Server.refuseRequests();
    return Phase;
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
      Forwarder.addSchedulers(*Seeds);
  }

  core::duration deadlineOf(const http::request &Request) const {
    auto Text =
        http::findHeader(Request.Headers, Dialect.DeadlineHeader.c_str());
    std::int64_t Count = 0;
    auto Parsed =
        std::from_chars(Text.data(), Text.data() + Text.size(), Count);
    if (Parsed.ec != std::errc() || Count <= 0)
      return forwarder_settings().DefaultDeadline;
    return std::chrono::milliseconds(std::min<std::int64_t>(
        Count,
        std::chrono::duration_cast<std::chrono::milliseconds>(MaxDeadline)
            .count()));
  }

  workspaces::key_digest keyDigestOf(const http::request &Request) const {
    if (Dialect.KeyHeader.empty())
      return {};
    auto Value = http::findHeader(Request.Headers, Dialect.KeyHeader.c_str());
    // Names of schemes are case-insensitive.
    if (strncasecmp(Value.c_str(), Dialect.KeyScheme.c_str(),
                    Dialect.KeyScheme.size()) != 0)
      return {};
    std::string_view Key(Value);
    Key.remove_prefix(Dialect.KeyScheme.size());
    // The HTTP parser leaves the optional white space after a value.
    auto First = Key.find_first_not_of(" \t");
    if (First == std::string_view::npos)
      return {};
    auto Last = Key.find_last_not_of(" \t");
    return workspaces::digestOf(Key.substr(First, Last - First + 1));
  }

  void receive(const transport::link_event &Event, core::time_point Now) {
    if (Event.Bytes.empty()) {
      Forwarder.linkChanged(Event.Peer, Event.IsUp, Now);
      return;
    }
    if (auto Message = decodeMessage(Event.Bytes))
      Forwarder.receive(Event.Peer, std::move(*Message), Now);
    else
      Metrics.add("messages_dropped_total");
  }

  void execute(core::time_point Now) {
    auto Actions = Forwarder.takeActions();
    for (auto &Address : Actions.NewPeers)
      Hub.addPeer({Address, Address, Settings.SchedulerLinkPort});
    for (auto &Outgoing : Actions.Statuses)
      if (!Hub.send(Outgoing.Peer, encodeMessage(std::move(Outgoing.Status))))
        Metrics.add("link_messages_not_sent_total");
    for (auto &Outgoing : Actions.Calls) {
      auto Id = Outgoing.Call.Id;
      if (!Hub.send(Outgoing.Peer, encodeMessage(std::move(Outgoing.Call))))
        Forwarder.callNotSent(Id, Now);
    }
    // callNotSent() may have added responses.
    auto More = Forwarder.takeActions();
    for (auto *Set : {&Actions, &More})
      for (auto &Response : Set->Responses)
        Pending.push_back(std::move(Response));
    while (!Pending.empty() && Server.deliver(std::move(Pending.front())))
      Pending.pop_front();
  }

  void publishMetrics(core::time_point Now) {
    if (Now < NextMetrics)
      return;
    NextMetrics = Now + MetricsInterval;
    Metrics.set("is_ready", IsReady);
    Metrics.set("open_calls", static_cast<double>(Forwarder.openCalls()));
    transport::publishTraffic(Metrics, Hub.traffic());
    logFailures(Now);
  }

  void logFailures(core::time_point Now) {
    auto ToMs = [](core::duration Duration) {
      return std::chrono::duration_cast<std::chrono::milliseconds>(Duration)
          .count();
    };
    auto Report = Forwarder.takeReport(Now);
    Metrics.set("leaderless_ms",
                static_cast<double>(ToMs(Report.LeaderlessFor)));
    bool IsLeaderless =
        !Report.HasLeader && Report.LeaderlessFor >= LeaderlessThreshold;
    if (Report.Failed == 0 && !IsLeaderless)
      return;
    core::logEvent(core::log_level::Warning,
                   IsLeaderless ? "no_leader" : "requests_failed",
                   {{"failed", Report.Failed},
                    {"reasons", Report.Reasons},
                    {"leaderless_ms", ToMs(Report.LeaderlessFor)},
                    {"open_calls", Report.OpenCalls},
                    {"waiting_calls", Report.WaitingCalls},
                    {"oldest_call_ms", ToMs(Report.OldestCall)},
                    {"schedulers", Report.Schedulers}});
  }

  const gateway_settings &Settings;
  const gateway_dialect &Dialect;
  const core::process_requests &Signals;
  const core::seed_reader &ReadSeeds;
  int ReloadsDone = 0;
  core::metrics_registry Metrics;
  core::ring_signal Signal;
  transport::link_events LinkEvents;
  core::bounded_ring<http::server_request> Requests;
  std::atomic<bool> IsReady = false;
  transport::link_hub Hub;
  http::server Server;
  forwarder Forwarder;
  stop_plan Plan;
  stop_phase Phase = stop_phase::Serving;
  std::deque<http::server_response> Pending;
  core::time_point NextMetrics{};
};

} // namespace

core::result<void> runGateway(const gateway_settings &Settings,
                              const gateway_dialect &Dialect,
                              const core::process_requests &Signals,
                              const core::seed_reader &ReadSeeds) {
  gateway_process Process(Settings, Dialect, Signals, ReadSeeds);
  return Process.run();
}

} // namespace lycheetrestle::gateway
