#include "scheduling/scheduler_process.h"

#include "control/control_frames.h"
#include "control/storage_worker.h"
#include "core/bounded_ring.h"
#include "core/event_log.h"
#include "core/metrics.h"
#include "core/phase_timer.h"
#include "core/thread_times.h"
#include "gateway/messages.h"
#include "http/client.h"
#include "http/server.h"
#include "scheduling/call_delegator.h"
#include "scheduling/explanation.h"
#include "scheduling/heartbeat_relay.h"
#include "scheduling/observer_process.h"
#include "scheduling/pool_blockage.h"
#include "scheduling/refusal_log.h"
#include "scheduling/schedule_node.h"
#include "scheduling/schedule_views.h"
#include "storage/log_store.h"
#include "transport/link_events.h"
#include "transport/link_hub.h"
#include "transport/traffic_metrics.h"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <thread>
#include <unordered_map>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using core::boot_clock;
using log_type = storage::log_store<storage::posix_files>;

// Upper bound of the delay until a stop request is noticed.
constexpr core::duration MaxWait = std::chrono::milliseconds(50);
// Limits how often the event loop runs while a time-out is overdue.
constexpr core::duration MinWait = std::chrono::milliseconds(1);
// Events within this time of the start of an iteration share the next one. Each
// iteration wakes threads of this process and of all linked schedulers, and a
// round of decisions costs the same for one event as for many.
constexpr core::duration MinIteration = std::chrono::milliseconds(3);
// Replaces MinIteration at a leader whose endpoints are served by delegates. A
// start takes two commits and two messages of about 10 ms each.
constexpr core::duration MinBusyIteration = std::chrono::milliseconds(8);
constexpr core::duration MetricsInterval = std::chrono::milliseconds(1000);
// Gateways reject requests when no leader has sent a status for a second.
constexpr core::duration StatusInterval = std::chrono::milliseconds(300);
// A new member may get calls after this time.
constexpr core::duration DelegatesInterval = std::chrono::milliseconds(300);
// A commit takes about 10 ms, and 0.4 s for a configuration of 1 MB.
constexpr core::duration StallThreshold = std::chrono::milliseconds(1000);
// An election takes 0.6 to 1.2 s.
constexpr core::duration LeaderlessThreshold = std::chrono::milliseconds(1000);
// A long-running task is started again within 1 to 2 s.
constexpr core::duration UnservedThreshold = std::chrono::milliseconds(3000);
constexpr std::size_t MaxUnservedLines = 10; // In a second.
// Incarnation of the initial voters in data folders of earlier versions. All
// others choose a larger random number.
constexpr std::uint64_t FirstIncarnation = 1;
// Elements of the rings between the threads.
constexpr std::size_t LinkRingCapacity = 16'384;
constexpr std::size_t RequestRingCapacity = 8192;
constexpr std::size_t CallRingCapacity = 16'384; // Calls and their results.
// Callers retry after this time; an election is over by then.
constexpr std::uint32_t RetryAfterS = 1;

core::failure ioFailure(std::string Message, std::string Field) {
  return {core::error_code::IoError, std::move(Message), std::move(Field), "",
          core::verdict::NotRun};
}

/// Destination of a reply.
struct call_origin {
  std::string Gateway;  ///< Link name; empty if the call came over HTTP.
  std::uint64_t Id = 0; ///< Id at the gateway or at the HTTP server.
  std::string Target;   ///< Path and query, for redirects.
  bool IsHeartbeat = false;
  std::string Relay; ///< Scheduler that relayed the heartbeat, or empty.
};

std::uint64_t randomNumber() {
  std::random_device Device;
  return (std::uint64_t(Device()) << 32u) ^ Device();
}

/// \returns the identity of a replica whose data folder is empty.
storage::folder_identity newIdentity(const scheduler_settings &Settings) {
  storage::folder_identity Identity;
  Identity.ClusterId = ClusterName;
  Identity.Replica.Name = Settings.Address;
  Identity.Replica.Incarnation = std::max(randomNumber(), FirstIncarnation + 1);
  return Identity;
}

/// Threads, rings and the node of one scheduler replica.
class scheduler_process {
public:
  scheduler_process(const scheduler_settings &Settings,
                    const site_adapter &Adapter,
                    const core::process_requests &Signals,
                    const core::seed_reader &ReadSeeds)
      : Settings(Settings), Adapter(Adapter), Signals(Signals),
        ReadSeeds(ReadSeeds), LinkEvents(LinkRingCapacity, Signal),
        Requests(RequestRingCapacity, Signal),
        Calls(CallRingCapacity, CallsSignal), Results(CallRingCapacity, Signal),
        Client({}, Calls, CallsSignal, Results),
        Hub(linkSettings(), linkHandlers()), Delegator(Settings.OwnEndpoints),
        Server(
            serverSettings(),
            [this](const http::request &Request) {
              return answerLocally(Request);
            },
            Requests) {}

  core::result<void> run() {
    log_type Log{storage::posix_files(Settings.DataFolder),
                 {Settings.segmentBytes()}};
    BOOST_LEAF_AUTO(Identity, Log.readIdentity());
    auto NodeSettings = Settings;
    NodeSettings.StartNonce = randomNumber();
    // A seed that was started before may have forgotten what it accepted.
    NodeSettings.IsFounding = Settings.IsFounding && !Identity;
    if (!Identity) {
      Identity = newIdentity(Settings);
      BOOST_LEAF_CHECK(Log.writeIdentity(*Identity));
    }
    if (Identity->Replica.Name != Settings.Address)
      return core::fail({core::error_code::Conflict,
                         "the data folder belongs to another replica",
                         "address", Identity->Replica.Name,
                         core::verdict::NotRun});
    BOOST_LEAF_AUTO(Found, Log.load());
    core::logEvent(
        core::log_level::Info, "replica_started",
        {{"incarnation", Identity->Replica.Incarnation},
         {"term", Found.Hard.Term},
         {"snapshot_index", Found.Snapshot ? Found.Snapshot->LastIndex : 0},
         {"entries", Found.Entries.size()},
         {"founding", Settings.IsFounding}});
    if (auto Reason = Hub.start(); !Reason.empty())
      return core::fail(ioFailure(std::move(Reason), "link_port"));
    if (auto Reason = Server.start(); !Reason.empty())
      return core::fail(ioFailure(std::move(Reason), "listen"));
    Client.start();
    control::storage_worker<log_type> Storage(std::move(Log), Signal, Metrics);
    Storage.start();
    schedule_node Node(NodeSettings, Identity->Replica, std::move(Found),
                       Identity->Initial, Metrics, boot_clock::now());
    runEventLoop(Node, Storage);
    Server.stop();
    Client.stop();
    Storage.stop();
    Hub.stop();
    core::logEvent(core::log_level::Info, "replica_stopped", {});
    return {};
  }

private:
  enum loop_phase : std::size_t {
    ReceiveLinks,
    ReceiveRequests,
    ReceiveResults,
    Decide,
    Send,
    Publish,
    PhaseCount
  };
  using loop_timer = core::phase_timer<core::thread_cpu_clock, PhaseCount>;

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

  void runEventLoop(schedule_node &Node,
                    control::storage_worker<log_type> &Storage) {
    core::thread_times::registration Name("loop");
    core::time_point StopAt{};
    while (true) {
      auto Now = boot_clock::now();
      Timer.beginIteration();
      LinkEvents.drain(
          [&](transport::link_event &&Event) { receive(Node, Event, Now); });
      Timer.finishPhase(ReceiveLinks);
      Requests.drain([&](http::server_request &&Request) {
        if (auto View = viewOf(Node, Request.Request.Target)) {
          Responses.push_back({Request.Id,
                               {200,
                                {{"Content-Type", "application/json"}},
                                std::move(*View)}});
          return;
        }
        if (Request.Request.Method == "POST" &&
            Request.Request.Target == ExplanationPath) {
          Responses.push_back(
              {Request.Id, explain(Node, Request.Request, Adapter,
                                   Settings.Listen.Port, Now)});
          return;
        }
        handle(Node, Adapter.DecodeControlCall(Request.Request),
               {"", Request.Id, Request.Request.Target, false, ""}, Now);
      });
      Timer.finishPhase(ReceiveRequests);
      Storage.results().drain([&](control::storage_result &&Result) {
        if (Result.Stored)
          Node.stored(Result.Ticket, Now);
        else
          Node.storageFailed(Now);
      });
      Results.drain(
          [&](http::client_result &&Result) { finishCall(Node, Result, Now); });
      finishOrders(Node, Delegator.expire(Now), Now);
      for (auto Id : Relay.expire(Now))
        answerUnheard(Node, Id);
      addDelegates(Node, Now);
      Timer.finishPhase(ReceiveResults);
      Node.setStoredBytes(Storage.storedBytes());
      Node.tick(Now);
      auto Actions = Node.takeActions(Now);
      Timer.finishPhase(Decide);
      bool IsIdle = execute(Node, std::move(Actions), Storage, Now);
      sendDelegated(Node, Now);
      sendRelayed(Node, Now);
      Timer.finishPhase(Send);
      publishStatusAndMetrics(Node, Now);
      reloadSeeds(Node);
      Timer.finishPhase(Publish);
      Timer.finishIteration();
      if (Signals.Stops > 0) {
        if (StopAt == core::time_point()) {
          core::logEvent(core::log_level::Info, "shutdown_started", {});
          Node.beginShutdown(Now);
          StopAt = Now + Settings.StopGrace;
        }
        if (Node.isDrained(Now) && IsIdle)
          return;
        if (Signals.Stops > 1 || Now >= StopAt)
          forceExit();
      }
      auto NextAt = Node.nextTick(Now);
      if (auto Results = Delegator.nextResults())
        NextAt = std::min(NextAt, *Results);
      Signal.waitFor(std::clamp(NextAt - boot_clock::now(), MinWait, MaxWait));
      auto Interval = Node.isLeading() && usesRelays(Node) ? MinBusyIteration
                                                           : MinIteration;
      if (auto Rest = Now + Interval - boot_clock::now();
          Rest > core::duration())
        std::this_thread::sleep_for(Rest);
    }
  }

  void reloadSeeds(schedule_node &Node) {
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

  [[noreturn]] void forceExit() {
    core::logEvent(core::log_level::Warning, "shutdown_forced", {});
    // Joining the threads could block on a write that does not return. Whatever
    // was acknowledged is already synced.
    core::flushLog();
    std::_Exit(1);
  }

  void receive(schedule_node &Node, const transport::link_event &Event,
               core::time_point Now) {
    bool IsGateway = gateway::isGateway(Event.Peer);
    if (Event.Bytes.empty()) {
      core::logEvent(core::log_level::Info,
                     Event.IsUp ? "link_up" : "link_down",
                     {{"peer", Event.Peer}});
      if (IsGateway && Event.IsUp) {
        Gateways.insert(Event.Peer);
        NextStatus = Now;
      } else if (IsGateway) {
        Gateways.erase(Event.Peer);
      } else if (Event.IsUp) {
        LinkedPeers.insert(Event.Peer);
        NextDelegates = Now;
      } else {
        LinkedPeers.erase(Event.Peer);
        RelayReplies.erase(Event.Peer);
        std::erase(Relays, Event.Peer);
        finishOrders(Node, Delegator.peerDisconnected(Event.Peer), Now);
      }
      return;
    }
    if (!IsGateway && control::isControlFrame(Event.Bytes)) {
      Node.receive(Event.Peer, Event.Bytes, Now);
      return;
    }
    if (!IsGateway) {
      if (isHeartbeatMessage(Event.Bytes))
        receiveRelayed(Node, Event, Now);
      else if (isReplyMessage(Event.Bytes))
        receiveRelayReplies(Node, Event);
      else
        receiveDelegated(Node, Event, Now);
      return;
    }
    auto Message = gateway::decodeMessage(Event.Bytes);
    if (auto *Status = Message ? std::get_if<gateway::status_message>(&*Message)
                               : nullptr) {
      Node.addPeers(Status->Schedulers);
      return;
    }
    auto *Call =
        Message ? std::get_if<gateway::call_message>(&*Message) : nullptr;
    if (!Call) {
      Metrics.add("messages_dropped_total");
      return;
    }
    http::request Request;
    Request.Method = std::move(Call->Method);
    Request.Host = std::move(Call->HostName);
    Request.Target = std::move(Call->Target);
    Request.Body = std::move(Call->Body);
    auto Decoded = Adapter.DecodeCallerCall(Request);
    if (Decoded.Call)
      setKeyDigest(*Decoded.Call, std::move(Call->KeyDigest));
    // The process may have been suspended since the iteration began, and the
    // call may have come after that.
    handle(Node, std::move(Decoded),
           {Event.Peer, Call->Id, Request.Target, false, ""},
           boot_clock::now());
  }

  void handle(schedule_node &Node, decoded_call Decoded, call_origin Origin,
              core::time_point Now) {
    if (!Decoded.Call && Decoded.Heartbeat) {
      // Another writer may send one each second, or many.
      const auto &Heartbeat = *Decoded.Heartbeat;
      Metrics.add("heartbeats_refused_total{field=\"" + Heartbeat.Field +
                  "\"}");
      if (RefusedHeartbeats.isDue(Heartbeat.EndpointId, Now))
        core::logEvent(core::log_level::Warning, "heartbeat_refused",
                       {{"endpoint", Heartbeat.EndpointId},
                        {"field", Heartbeat.Field},
                        {"value", Heartbeat.Value},
                        {"reason", Heartbeat.Reason},
                        {"verdict", "not-run"}});
      respond(Origin, std::move(Decoded.Refusal));
      return;
    }
    if (!Decoded.Call) {
      core::logEvent(core::log_level::Info, "request_refused",
                     {{"path", Origin.Target},
                      {"status", Decoded.Refusal.Status},
                      {"reason", Decoded.Refusal.Body},
                      {"verdict", "not-run"}});
      respond(Origin, std::move(Decoded.Refusal));
      return;
    }
    auto Id = ++LastCall;
    auto *Heartbeat = std::get_if<heartbeat_call>(&*Decoded.Call);
    Origin.IsHeartbeat = Heartbeat != nullptr;
    Origins.emplace(Id, std::move(Origin));
    if (Heartbeat && mayRelay(Node) && Relay.add(Id, Heartbeat->Heartbeat, Now))
      return;
    Node.handle({Id, std::move(*Decoded.Call)}, Now);
  }

  /// \returns whether heartbeats are passed on to the leader instead of being
  /// redirected there.
  bool mayRelay(const schedule_node &Node) const {
    auto Leader = Node.leaderAddress();
    return Signals.Stops == 0 && !Node.isLeading() &&
           Leader != Settings.Address && LinkedPeers.count(Leader) > 0 &&
           usesRelays(Node);
  }

  /// \returns whether the heartbeats are many enough that the leader needs
  /// others to receive them.
  bool usesRelays(const schedule_node &Node) const {
    return Node.state().endpoints().size() > Settings.OwnEndpoints;
  }

  void receiveRelayed(schedule_node &Node, const transport::link_event &Event,
                      core::time_point Now) {
    auto Heartbeats = decodeHeartbeats(Event.Bytes);
    if (!Heartbeats) {
      Metrics.add("messages_dropped_total");
      return;
    }
    Metrics.add("heartbeats_relayed_total", Heartbeats->size());
    for (auto &Item : *Heartbeats) {
      auto Id = ++LastCall;
      auto &Origin = Origins[Id];
      Origin.Id = Item.Id;
      Origin.IsHeartbeat = true;
      Origin.Relay = Event.Peer;
      Node.handle({Id, heartbeat_call{std::move(Item.Heartbeat)}}, Now);
    }
  }

  void receiveRelayReplies(const schedule_node &Node,
                           const transport::link_event &Event) {
    auto Replies = decodeReplies(Event.Bytes);
    if (!Replies) {
      Metrics.add("messages_dropped_total");
      return;
    }
    for (const auto &Reply : *Replies) {
      auto Id = Relay.finish(Reply);
      if (!Id)
        continue;
      if (!Reply.IsAccepted) {
        answerUnheard(Node, *Id);
        continue;
      }
      scheduling::reply Accepted;
      Accepted.Id = *Id;
      Accepted.Kind = reply_kind::Accepted;
      sendReply(std::move(Accepted));
    }
  }

  /// Answers a heartbeat that the leader did not accept, like one that was not
  /// relayed.
  void answerUnheard(const schedule_node &Node, std::uint64_t Id) {
    reply Reply;
    Reply.Id = Id;
    Reply.Kind = reply_kind::NotLeader;
    Reply.Leader = Node.leaderAddress();
    if (Reply.Leader == Settings.Address)
      Reply.Leader.clear();
    sendReply(Reply);
  }

  void sendRelayed(schedule_node &Node, core::time_point Now) {
    auto Leader = Node.leaderAddress();
    if (Leader != RelayedTo) {
      RelayedTo = Leader;
      for (auto Id : Relay.clear())
        answerUnheard(Node, Id);
    }
    while (auto Batch = Relay.takeBatch(Now))
      if (!Hub.send(Leader, std::move(*Batch)))
        Metrics.add("link_messages_not_sent_total");
    for (auto &[Peer, Replies] : std::exchange(RelayReplies, {}))
      if (!Hub.send(Peer, encodeReplies(Replies)))
        Metrics.add("link_messages_not_sent_total");
  }

  /// \returns the scheduler that is to receive the next heartbeats of an
  /// endpoint, if not this one.
  std::optional<core::network_address> nextRelay(const schedule_node &Node) {
    if (Relays.empty() || !Node.isLeading() || !usesRelays(Node))
      return std::nullopt;
    const auto &Name = Relays[++LastRelay % Relays.size()];
    return core::network_address::parse(
        core::toString({Name, Settings.Listen.Port}));
  }

  /// \param HeartbeatAddress named in the reply to a heartbeat.
  void
  sendReply(scheduling::reply Reply,
            const std::optional<core::network_address> &HeartbeatAddress = {}) {
    auto Found = Origins.find(Reply.Id);
    if (Found == Origins.end())
      return;
    auto Origin = std::move(Found->second);
    Origins.erase(Found);
    Metrics.add("replies_total{kind=\"" + std::string(toString(Reply.Kind)) +
                "\"}");
    if (!Origin.Relay.empty()) {
      RelayReplies[Origin.Relay].push_back(
          {Origin.Id, Reply.Kind == reply_kind::Accepted});
      return;
    }
    bool IsUnknown = Reply.Kind == reply_kind::Unknown;
    // A gateway sends the call to the next leader, which is safe because jobs
    // are identified by id.
    bool IsForNextLeader = Reply.Kind == reply_kind::NotLeader ||
                           (IsUnknown && !Origin.Gateway.empty());
    if (!IsForNextLeader) {
      if (Origin.IsHeartbeat)
        Reply.HeartbeatAddress = HeartbeatAddress;
      respond(Origin, Adapter.EncodeReply(Reply));
      return;
    }
    if (!Origin.Gateway.empty()) {
      gateway::reply_message Message;
      Message.Id = Origin.Id;
      Message.MayHaveRun = IsUnknown;
      Hub.send(Origin.Gateway, gateway::encodeMessage(Message));
      return;
    }
    http::response Response;
    if (Reply.Leader.empty()) {
      Response.Status = 503;
      Response.Headers.push_back({"Retry-After", std::to_string(RetryAfterS)});
    } else {
      Response.Status = 307;
      Response.Headers.push_back(
          {"Location",
           "http://" + core::toString({Reply.Leader, Settings.Listen.Port}) +
               Origin.Target});
    }
    respond(Origin, std::move(Response));
  }

  void respond(const call_origin &Origin, http::response Response) {
    if (Origin.Gateway.empty()) {
      Responses.push_back({Origin.Id, std::move(Response)});
      return;
    }
    gateway::reply_message Message;
    Message.Id = Origin.Id;
    Message.IsHandled = true;
    Message.Status = Response.Status;
    auto RetryAfter = http::findHeader(Response.Headers, "Retry-After");
    Message.RetryAfterS = static_cast<std::uint32_t>(
        std::strtoul(RetryAfter.c_str(), nullptr, 10));
    Message.Body = std::move(Response.Body);
    if (!Hub.send(Origin.Gateway, gateway::encodeMessage(Message)))
      Metrics.add("link_messages_not_sent_total");
  }

  void receiveDelegated(schedule_node &Node, const transport::link_event &Event,
                        core::time_point Now) {
    auto Received = Delegator.receive(Event.Peer, Event.Bytes, Now);
    if (!Received.IsValid)
      Metrics.add("messages_dropped_total");
    if (Received.LateOrders > 0)
      refuseLate(Event.Peer, Received.LateOrders);
    for (auto &Order : Received.Orders)
      addCall(std::move(Order), Now);
    finishOrders(Node, std::move(Received.Results), Now);
  }

  /// Reports orders that arrived too late to be sent for the leader.
  void refuseLate(const std::string &Peer, std::size_t Count) {
    Metrics.add("late_orders_total", Count);
    core::logEvent(core::log_level::Warning, "late_orders_refused",
                   {{"peer", Peer}, {"orders", Count}});
  }

  /// Adds the linked members as delegates and relays. Schedulers without a disk
  /// are linked too and get no orders.
  void addDelegates(const schedule_node &Node, core::time_point Now) {
    if (Now < NextDelegates)
      return;
    NextDelegates = Now + DelegatesInterval;
    Relays.clear();
    for (const auto &Member : Node.status().Members.Members)
      if (LinkedPeers.count(Member.Id.Name) > 0) {
        Delegator.peerConnected(Member.Id.Name);
        Relays.push_back(Member.Id.Name);
      }
  }

  void sendDelegated(schedule_node &Node, core::time_point Now) {
    if (auto Leader = Node.leaderAddress(); LinkedPeers.count(Leader) > 0)
      if (auto Clock = Delegator.takeClock(Now);
          Clock && !Hub.send(Leader, std::move(*Clock)))
        Metrics.add("link_messages_not_sent_total");
    for (auto &Message : Delegator.takeMessages(Now)) {
      auto Bytes = std::move(Message.Bytes);
      if (Hub.send(Message.Peer, std::move(Bytes)))
        continue;
      Metrics.add("link_messages_not_sent_total");
      finishOrders(Node, Delegator.sendFailed(Message), Now);
    }
  }

  void finishOrders(schedule_node &Node, std::vector<order_result> Results,
                    core::time_point Now) {
    for (auto &Result : Results)
      Node.orderFinished(std::move(Result), Now);
  }

  /// Makes the call that sends an order of this process or of the leader that
  /// delegated it.
  void addCall(order Order, core::time_point Now) {
    auto Call = Adapter.EncodeOrder(Order);
    Call.Id = Order.Id;
    Call.Timeout = Order.Timeout;
    Call.Issued = Now;
    Orders.emplace(Order.Id, std::move(Order));
    PendingCalls.push_back(std::move(Call));
  }

  void finishCall(schedule_node &Node, const http::client_result &Call,
                  core::time_point Now) {
    auto Found = Orders.find(Call.Id);
    if (Found == Orders.end())
      return;
    order_result Result{Call.Id, Adapter.DecodeAnswer(Found->second, Call)};
    Orders.erase(Found);
    if (!Delegator.finish(Result))
      Node.orderFinished(std::move(Result), Now);
  }

  /// \returns whether all writes and responses were passed to their threads.
  bool execute(const schedule_node &Node, node_actions Actions,
               control::storage_worker<log_type> &Storage,
               core::time_point Now) {
    for (const auto &Address : Actions.NewPeers)
      Hub.addPeer({Address, Address, Settings.LinkPort});
    for (auto &Message : Actions.Messages)
      if (!Hub.send(Message.Peer, std::move(Message.Bytes)))
        Metrics.add("link_messages_not_sent_total");
    for (auto &Write : Actions.Writes)
      PendingWrites.push_back(std::move(Write));
    while (!PendingWrites.empty() &&
           Storage.writes().push(std::move(PendingWrites.front())))
      PendingWrites.pop_front();
    for (auto &Order : Actions.Orders) {
      // Calls that change a host name this process as the lease holder, so the
      // leader makes them itself.
      if (Delegator.delegate(Order, Now))
        Metrics.add("orders_lent_total");
      else
        addCall(std::move(Order), Now);
    }
    while (!PendingCalls.empty() && Calls.push(std::move(PendingCalls.front())))
      PendingCalls.pop_front();
    for (auto &Reply : Actions.Replies)
      sendReply(std::move(Reply), nextRelay(Node));
    while (!Responses.empty() && Server.deliver(std::move(Responses.front())))
      Responses.pop_front();
    return PendingWrites.empty() && Responses.empty();
  }

  void publishStatusAndMetrics(schedule_node &Node, core::time_point Now) {
    if (WasLeading != Node.isLeading()) {
      WasLeading = Node.isLeading();
      NextStatus = Now;
    }
    if (Now >= NextStatus && !Gateways.empty()) {
      NextStatus = Now + StatusInterval;
      gateway::status_message Status;
      auto Raft = Node.status();
      Status.IsLeading = Node.isLeading() && Signals.Stops == 0;
      Status.Term = Raft.Term;
      for (const auto &Member : Raft.Members.Members)
        Status.Schedulers.push_back(Member.Id.Name);
      auto Bytes = gateway::encodeMessage(Status);
      for (const auto &Gateway : Gateways)
        Hub.send(Gateway, Bytes);
    }
    if (Now < NextMetrics)
      return;
    NextMetrics = Now + MetricsInterval;
    auto Status = Node.status();
    Metrics.set("term", static_cast<double>(Status.Term));
    Metrics.set("commit_index", static_cast<double>(Status.CommitIndex));
    Metrics.set("is_leader", Node.isLeading());
    Metrics.set("live_jobs",
                static_cast<double>(Node.state().liveJobs().size()));
    Metrics.set("endpoints",
                static_cast<double>(Node.state().endpoints().size()));
    Metrics.set("open_orders", static_cast<double>(Orders.size()));
    transport::publishTraffic(Metrics, Hub.traffic());
    publishLoad(Node, Now);
    publishReplication(Node, Now);
  }

  void publishLoad(schedule_node &Node, core::time_point Now) {
    auto Loop = Timer.take();
    publishTimes(Node, Loop);
    auto CpuBefore = std::exchange(CpuTime, core::processCpuTime());
    auto ToMs = [](core::duration Duration) {
      return std::chrono::duration<double, std::milli>(Duration).count();
    };
    auto Received = Loop.Phases[ReceiveLinks] + Loop.Phases[ReceiveRequests] +
                    Loop.Phases[ReceiveResults];
    Metrics.set("loop_cpu_ms{phase=\"receive\"}", ToMs(Received));
    Metrics.set("loop_cpu_ms{phase=\"decide\"}", ToMs(Loop.Phases[Decide]));
    Metrics.set("loop_cpu_ms{phase=\"send\"}", ToMs(Loop.Phases[Send]));
    Metrics.observe("longest_iteration_cpu_ms", ToMs(Loop.Longest));
    auto Load = Node.load(Now);
    if (!Load)
      return;
    Metrics.set("waiting_tasks", static_cast<double>(Load->WaitingTasks));
    Metrics.set("oldest_wait_ms", static_cast<double>(Load->OldestWaitMs));
    Metrics.set("oldest_order_ms", static_cast<double>(Load->OldestOrderMs));
    Metrics.set("suspect_endpoints",
                static_cast<double>(Load->SuspectEndpoints));
    core::logEvent(core::log_level::Info, "leader_load",
                   {{"iterations", Loop.Iterations},
                    {"process_cpu_ms", ToMs(CpuTime - CpuBefore)},
                    {"receive_cpu_ms", ToMs(Received)},
                    {"decide_cpu_ms", ToMs(Loop.Phases[Decide])},
                    {"send_cpu_ms", ToMs(Loop.Phases[Send])},
                    {"longest_cpu_ms", ToMs(Loop.Longest)},
                    {"live_jobs", Load->LiveJobs},
                    {"waiting_tasks", Load->WaitingTasks},
                    {"oldest_wait_ms", Load->OldestWaitMs},
                    {"pending_orders", Load->PendingOrders},
                    {"pending_starts", Load->PendingStarts},
                    {"oldest_order_ms", Load->OldestOrderMs},
                    {"suspects", Load->SuspectEndpoints}});
  }

  /// Logs what the leader's processor time was used for: the phases of an
  /// iteration, those of the node and of the decisions within them, and the
  /// threads of the process.
  void publishTimes(schedule_node &Node, const loop_timer::totals &Loop) {
    auto ToMs = [](core::duration Duration) {
      return std::chrono::duration<double, std::milli>(Duration).count();
    };
    auto Phases = Node.takeTimes().Phases;
    auto Decisions = Node.takeLeaderTimes();
    core::thread_times::record();
    auto Before =
        std::exchange(ThreadTimes, core::thread_times::instance().read());
    auto UsedBy = [&](const char *Name) {
      return ToMs(ThreadTimes[Name] - Before[Name]);
    };
    if (!Decisions)
      return;
    const auto &Decided = Decisions->Phases;
    core::logEvent(core::log_level::Info, "leader_times",
                   {{"links_ms", ToMs(Loop.Phases[ReceiveLinks])},
                    {"requests_ms", ToMs(Loop.Phases[ReceiveRequests])},
                    {"results_ms", ToMs(Loop.Phases[ReceiveResults])},
                    {"propose_ms", ToMs(Phases[schedule_node::Propose])},
                    {"ends_ms", ToMs(Decided[leader::Ends])},
                    {"losses_ms", ToMs(Decided[leader::Losses])},
                    {"host_plans_ms", ToMs(Decided[leader::HostPlans])},
                    {"starts_ms", ToMs(Decided[leader::Starts])},
                    {"replicate_ms", ToMs(Phases[schedule_node::Replicate])},
                    {"apply_ms", ToMs(Phases[schedule_node::Apply])},
                    {"orders_ms", ToMs(Phases[schedule_node::Orders])},
                    {"send_ms", ToMs(Loop.Phases[Send])},
                    {"publish_ms", ToMs(Loop.Phases[Publish])},
                    {"thread_loop_ms", UsedBy("loop")},
                    {"thread_links_ms", UsedBy("links")},
                    {"thread_client_ms", UsedBy("http_client")},
                    {"thread_server_ms", UsedBy("http_server")},
                    {"thread_storage_ms", UsedBy("storage")},
                    {"thread_log_ms", UsedBy("log")}});
  }

  void publishReplication(schedule_node &Node, core::time_point Now) {
    auto ToMs = [](core::duration Duration) {
      return std::chrono::duration_cast<std::chrono::milliseconds>(Duration)
          .count();
    };
    auto Leaderless = Node.leaderless(Now);
    Metrics.set("leaderless_ms",
                static_cast<double>(Leaderless ? ToMs(Leaderless->Since) : 0));
    if (Leaderless && Leaderless->Since >= LeaderlessThreshold)
      core::logEvent(core::log_level::Warning, "no_leader",
                     {{"since_ms", ToMs(Leaderless->Since)},
                      {"role", Leaderless->Role},
                      {"term", Leaderless->Term},
                      {"commit_index", Leaderless->CommitIndex},
                      {"last_index", Leaderless->LastIndex},
                      {"votes", Leaderless->IsVoter},
                      {"voters", Leaderless->Voters},
                      {"heard_from", Leaderless->HeardFrom},
                      {"granted_by", Leaderless->GrantedBy},
                      {"refused_by", Leaderless->RefusedBy},
                      {"storage_failing", Leaderless->IsStorageFailing},
                      {"removed", Leaderless->IsRemoved},
                      {"pending_writes", Leaderless->PendingWrites},
                      {"oldest_write_ms", ToMs(Leaderless->OldestWrite)},
                      {"waits_for", Leaderless->cause()}});
    auto Load = Node.replicationLoad(Now);
    if (!Load && Node.oldestWrite(Now) >= StallThreshold)
      core::logEvent(core::log_level::Warning, "write_stalled",
                     {{"pending_writes", Node.pendingWrites()},
                      {"oldest_write_ms", ToMs(Node.oldestWrite(Now))},
                      {"storage_failing", Node.status().StorageFailing}});
    if (!Load)
      return;
    Metrics.set("queued_commands", static_cast<double>(Load->QueuedCommands));
    Metrics.set("commit_wait_ms", static_cast<double>(ToMs(Load->wait())));
    Metrics.set("pending_writes", static_cast<double>(Load->PendingWrites));
    bool IsStalled = Load->wait() >= StallThreshold;
    core::logEvent(IsStalled ? core::log_level::Warning : core::log_level::Info,
                   IsStalled ? "commits_stalled" : "replication_load",
                   {{"term", Load->Term},
                    {"commit_index", Load->CommitIndex},
                    {"last_index", Load->LastIndex},
                    {"applied_index", Load->AppliedIndex},
                    {"starting", Load->IsStarting},
                    {"voters", Load->Voters},
                    {"reachable_voters", Load->ReachableVoters},
                    {"synced_indices", Load->SyncedIndices},
                    {"blocked_followers", Load->BlockedFollowers},
                    {"queued_commands", Load->QueuedCommands},
                    {"oldest_command_ms", ToMs(Load->OldestCommand)},
                    {"pending_writes", Load->PendingWrites},
                    {"oldest_write_ms", ToMs(Load->OldestWrite)},
                    {"uncommitted_entries", Load->UncommittedEntries},
                    {"oldest_entry_ms", ToMs(Load->OldestEntry)},
                    {"waits_for", Load->cause()},
                    {"refusal", Load->Refusal}});
    std::size_t Unserved = 0;
    for (const auto &Task : Node.unservedTasks(Now)) {
      if (Task.Since < UnservedThreshold || ++Unserved > MaxUnservedLines)
        continue;
      core::logEvent(core::log_level::Warning, "task_unserved",
                     {{"job", Task.Task.Job},
                      {"occurrence", Task.Task.Occurrence},
                      {"step", Task.Task.Step},
                      {"index", Task.Task.Index},
                      {"endpoint", Task.Endpoint},
                      {"known_ms", ToMs(Task.Since)},
                      {"waiting_ms", Task.Waiting ? ToMs(*Task.Waiting) : -1},
                      {"waits_for", Task.WaitsFor},
                      {"draining", Task.IsDraining},
                      {"deregistered", Task.HasDeregistered},
                      {"pause_left_ms", ToMs(Task.PauseLeft)},
                      {"lease_left_ms", ToMs(Task.LeaseLeft)},
                      {"answer_age_ms", ToMs(Task.ContactAge)}});
    }
    Metrics.set("unserved_tasks", static_cast<double>(Unserved));
    for (const auto &Blockage : Node.blockedPools(Now))
      logBlockage(Blockage);
  }

  const scheduler_settings &Settings;
  const site_adapter &Adapter;
  const core::process_requests &Signals;
  const core::seed_reader &ReadSeeds;
  int ReloadsDone = 0;
  core::metrics_registry Metrics;
  core::ring_signal Signal;
  core::ring_signal CallsSignal;
  transport::link_events LinkEvents;
  core::bounded_ring<http::server_request> Requests;
  core::bounded_ring<http::client_call> Calls;
  core::bounded_ring<http::client_result> Results;
  http::client Client;
  transport::link_hub Hub;
  call_delegator Delegator;
  heartbeat_relay Relay{randomNumber()};
  std::string RelayedTo; ///< Leader that the heartbeats are passed on to.
  std::vector<std::string> Relays; ///< Linked members.
  std::size_t LastRelay = 0;       ///< Index of the one named last.
  std::map<std::string, std::vector<relayed_reply>> RelayReplies; ///< By peer.
  http::server Server;
  refusal_log RefusedHeartbeats;
  std::set<std::string> Gateways;
  std::set<std::string> LinkedPeers; ///< Schedulers.
  core::time_point NextDelegates{};
  std::map<std::uint64_t, call_origin> Origins;
  std::unordered_map<std::uint64_t, order> Orders; ///< With an open call.
  std::uint64_t LastCall = 0;
  std::deque<replication::storage_write> PendingWrites;
  std::deque<http::client_call> PendingCalls;
  std::deque<http::server_response> Responses;
  loop_timer Timer;
  std::map<std::string, core::duration> ThreadTimes; ///< When last published.
  core::duration CpuTime{}; ///< Of the process, when it was last published.
  bool WasLeading = false;
  core::time_point NextStatus{};
  core::time_point NextMetrics{};
};

} // namespace

core::result<void> runScheduler(const scheduler_settings &Settings,
                                const site_adapter &Adapter,
                                const core::process_requests &Signals,
                                const core::seed_reader &ReadSeeds) {
  if (Settings.DataFolder.empty())
    return runObserver(Settings, Signals, ReadSeeds);
  scheduler_process Process(Settings, Adapter, Signals, ReadSeeds);
  return Process.run();
}

} // namespace lycheetrestle::scheduling
