#include "control/control_process.h"

#include "control/cluster_bootstrap.h"
#include "control/control_loop.h"
#include "control/http_frontend.h"
#include "control/storage_worker.h"
#include "core/bounded_ring.h"
#include "core/event_log.h"
#include "core/metrics.h"
#include "storage/log_store.h"
#include "transport/link_hub.h"
#include "transport/traffic_metrics.h"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <random>
#include <utility>

namespace lycheetrestle::control {

namespace {

using core::boot_clock;
using log_type = storage::log_store<storage::posix_files>;

// Time for a link to connect, exchange hellos and answer a query; peers that
// take longer are treated as unreachable.
constexpr core::duration ClusterCheckTimeout = std::chrono::seconds(2);
// Queries are resent at this interval, as the link may not be up yet.
constexpr core::duration ClusterQueryInterval = std::chrono::milliseconds(200);
// Bounds of the wait for the next event. The upper one limits the time until a
// stop request is handled.
constexpr core::duration MinLoopWait = std::chrono::milliseconds(1);
constexpr core::duration MaxLoopWait = std::chrono::milliseconds(50);
constexpr core::duration MetricsInterval = std::chrono::milliseconds(500);
// Capacities of the rings to the control thread, in items.
constexpr std::size_t LinkMessageCapacity = 8192;
constexpr std::size_t RequestCapacity = 4096;

core::failure ioFailure(std::string Message, std::string Field) {
  return {core::error_code::IoError, std::move(Message), std::move(Field), "",
          core::verdict::NotRun};
}

/// Owns the threads and rings of one control replica and drives its
/// control_loop on the calling thread.
class control_process {
public:
  control_process(const control_settings &Settings,
                  std::optional<platform_adapter> Platform,
                  const std::atomic<int> &StopRequests)
      : Settings(Settings), StopRequests(StopRequests),
        LinkMessages(LinkMessageCapacity, Signal),
        Requests(RequestCapacity, Signal), Hub(linkSettings(), linkHandlers()),
        Frontend({Settings.Listen, Settings.Limits}, Requests, Metrics) {
    if (Platform)
      Worker.emplace(std::move(*Platform), Signal, Metrics);
  }

  core::result<void> run(bool Initialize) {
    log_type Log{storage::posix_files(Settings.DataFolder)};
    BOOST_LEAF_AUTO(Identity, Log.readIdentity());
    if (Identity)
      BOOST_LEAF_CHECK(checkIdentity(*Identity, Settings, Initialize));
    if (auto Reason = Hub.start(); !Reason.empty())
      return core::fail(ioFailure(std::move(Reason), "link"));
    if (!Identity) {
      if (Initialize)
        BOOST_LEAF_CHECK(checkCluster());
      std::random_device Device;
      std::uint64_t Random = (std::uint64_t(Device()) << 32) | Device();
      Identity = newIdentity(Settings, Initialize, Random);
      BOOST_LEAF_CHECK(Log.writeIdentity(*Identity));
    }
    BOOST_LEAF_AUTO(Found, Log.load());
    core::logEvent(
        core::log_level::Info, "replica_started",
        {{"incarnation", Identity->Replica.Incarnation},
         {"term", Found.Hard.Term},
         {"snapshot_index", Found.Snapshot ? Found.Snapshot->LastIndex : 0},
         {"entries", Found.Entries.size()}});
    if (auto Reason = Frontend.start(); !Reason.empty())
      return core::fail(ioFailure(std::move(Reason), "listen"));
    storage_worker<log_type> Storage(std::move(Log), Signal, Metrics);
    Storage.start();
    if (Worker)
      Worker->start();
    control_loop Loop(Settings, Identity->Replica, std::move(Found),
                      Identity->Initial, Metrics, boot_clock::now());
    runLoop(Loop, Storage);
    Frontend.stop();
    Storage.stop();
    if (Worker)
      Worker->stop();
    Hub.stop();
    core::logEvent(core::log_level::Info, "replica_stopped", {});
    return {};
  }

private:
  transport::link_settings linkSettings() const {
    transport::link_settings Result;
    Result.SelfName = Settings.Name;
    Result.ListenAddress = Settings.Link.Address;
    Result.ListenPort = Settings.Link.Port;
    Result.MaxPendingHellos =
        transport::pendingHellosFor(Settings.Limits.Descriptors);
    // Only one side of each pair of replicas connects, so that there is one
    // link for each pair. Entries connect to control.
    for (const auto &Replica : Settings.Controls)
      if (Replica.Name < Settings.Name)
        Result.Peers.push_back(
            {Replica.Name, Replica.Link.Address, Replica.Link.Port});
    return Result;
  }

  transport::link_handlers linkHandlers() {
    transport::link_handlers Handlers;
    Handlers.OnMessage = [this](const std::string &Peer, std::string Bytes) {
      if (!LinkMessages.push({Peer, std::move(Bytes)}))
        Metrics.add("link_messages_dropped_total");
    };
    Handlers.OnPeerChange = [](const std::string &Peer, bool IsUp) {
      core::logEvent(core::log_level::Info, IsUp ? "link_up" : "link_down",
                     {{"peer", Peer}});
    };
    Handlers.OnError = [](const std::string &Peer, const std::string &Reason) {
      core::logEvent(core::log_level::Debug, "link_error",
                     {{"peer", Peer}, {"reason", Reason}});
    };
    return Handlers;
  }

  /// Queries the peers before a cluster is bootstrapped. Peers that do not
  /// answer in time do not prevent the bootstrap.
  /// \returns Conflict when a peer already belongs to a formed cluster, as a
  /// second cluster would split the state in two.
  core::result<void> checkCluster() {
    cluster_check Check(Settings);
    auto End = boot_clock::now() + ClusterCheckTimeout;
    core::time_point NextQuery{};
    while (boot_clock::now() < End && !Check.isComplete() &&
           Check.formedPeer().empty() && StopRequests == 0) {
      if (boot_clock::now() >= NextQuery) {
        NextQuery = boot_clock::now() + ClusterQueryInterval;
        for (auto &Message : Check.queries())
          Hub.send(Message.Peer, std::move(Message.Bytes));
      }
      Signal.waitFor(MaxLoopWait);
      LinkMessages.drain([&](link_message &&Message) {
        if (auto Reply = Check.receive(Message.Peer, Message.Bytes))
          Hub.send(Reply->Peer, std::move(Reply->Bytes));
      });
    }
    if (Check.formedPeer().empty())
      return {};
    return core::fail({core::error_code::Conflict,
                       "a peer already belongs to a formed cluster; start "
                       "without --init to join it",
                       "init", Check.formedPeer(), core::verdict::NotRun});
  }

  void runLoop(control_loop &Loop, storage_worker<log_type> &Storage) {
    core::time_point StopAt{};
    while (true) {
      auto Now = boot_clock::now();
      LinkMessages.drain([&](link_message &&Message) {
        Loop.receive(Message.Peer, Message.Bytes, Now);
      });
      Requests.drain([&](control_request &&Request) {
        Loop.handle(std::move(Request), Now);
      });
      Storage.results().drain([&](storage_result &&Result) {
        if (Result.Stored)
          Loop.stored(Result.Ticket, Now);
        else
          Loop.storageFailed(Now);
      });
      if (Worker)
        Worker->results().drain([&](platform_result &&Result) {
          Loop.platformReported(std::move(Result), Now);
        });
      Loop.tick(Now);
      bool IsIdle = execute(Loop.takeActions(Now), Storage);
      publish(Loop, Now);
      if (StopRequests > 0) {
        if (StopAt == core::time_point())
          StopAt = startShutdown(Loop, Now);
        if (Loop.isDrained(Now) && IsIdle)
          return;
        if (StopRequests > 1 || Now >= StopAt)
          forceExit();
      }
      auto Wait = Loop.nextTick() - boot_clock::now();
      Signal.waitFor(std::clamp(Wait, MinLoopWait, MaxLoopWait));
    }
  }

  core::time_point startShutdown(control_loop &Loop, core::time_point Now) {
    core::logEvent(core::log_level::Info, "shutdown_started", {});
    Loop.beginShutdown(Now);
    Frontend.setReady(false);
    return Now + Settings.Timing.ShutdownTimeout;
  }

  [[noreturn]] void forceExit() {
    core::logEvent(core::log_level::Warning, "shutdown_forced", {});
    // Joining the threads could block on a write that does not return. All
    // acknowledged changes are already synced.
    std::_Exit(1);
  }

  /// Passes the actions to the other threads. Writes and answers that do not
  /// fit into their rings stay pending until the next call; link messages are
  /// dropped, as if the link had lost them.
  /// \returns whether no write or answer is pending.
  bool execute(control_actions Actions, storage_worker<log_type> &Storage) {
    for (auto &Message : Actions.Messages)
      if (!Hub.send(Message.Peer, std::move(Message.Bytes)))
        Metrics.add("link_messages_not_sent_total");
    for (auto &Write : Actions.Writes)
      PendingWrites.push_back(std::move(Write));
    while (!PendingWrites.empty() &&
           Storage.writes().push(std::move(PendingWrites.front())))
      PendingWrites.pop_front();
    for (auto &Answer : Actions.Answers)
      PendingAnswers.push_back(std::move(Answer));
    while (!PendingAnswers.empty() &&
           Frontend.deliver(std::move(PendingAnswers.front())))
      PendingAnswers.pop_front();
    // When the ring is full, earlier rounds are still pending; the next round
    // repeats the orders.
    if (Actions.Platform && Worker)
      Worker->rounds().push(std::move(*Actions.Platform));
    return PendingWrites.empty() && PendingAnswers.empty();
  }

  void publish(const control_loop &Loop, core::time_point Now) {
    if (StopRequests == 0)
      Frontend.setReady(Loop.isReady());
    if (Now < NextMetrics)
      return;
    NextMetrics = Now + MetricsInterval;
    auto Status = Loop.status();
    Metrics.set("term", static_cast<double>(Status.Term));
    Metrics.set("commit_index", static_cast<double>(Status.CommitIndex));
    Metrics.set("applied_index", static_cast<double>(Loop.appliedIndex()));
    Metrics.set("is_leader", Status.Role == replication::raft_role::Leader);
    transport::publishTraffic(Metrics, Hub.traffic());
    Metrics.set("is_voter", Status.Role != replication::raft_role::Learner);
  }

  const control_settings &Settings;
  const std::atomic<int> &StopRequests;
  core::metrics_registry Metrics;
  core::ring_signal Signal;
  core::bounded_ring<link_message> LinkMessages;
  core::bounded_ring<control_request> Requests;
  std::deque<replication::storage_write> PendingWrites;
  std::deque<control_answer> PendingAnswers;
  core::time_point NextMetrics{};
  std::optional<platform_worker<platform_adapter>> Worker;
  transport::link_hub Hub;
  http_frontend Frontend;
};

} // namespace

core::result<void> runControl(const control_settings &Settings, bool Initialize,
                              std::optional<platform_adapter> Platform,
                              const std::atomic<int> &StopRequests) {
  control_process Process(Settings, std::move(Platform), StopRequests);
  return Process.run(Initialize);
}

} // namespace lycheetrestle::control
