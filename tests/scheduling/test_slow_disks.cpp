#include "control/write_batch.h"
#include "schedule_fixture.h"
#include "scheduling/schedule_node.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

constexpr core::duration Step = 2ms; // Of an event loop under load.
constexpr core::duration LinkDelay = 2ms;
constexpr core::duration FastSync = 2ms;
constexpr core::duration SlowSync = 30ms;

/// Three schedulers whose disks take some time for each sync and combine the
/// writes that wait, as storage_worker does. Changes are sent all the time.
class slow_cluster {
public:
  slow_cluster() {
    replication::membership Initial;
    for (std::size_t Index = 0; Index != 3; ++Index)
      Initial.Members.push_back({{nameOf(Index), 1}, true});
    for (std::size_t Index = 0; Index != 3; ++Index) {
      scheduler_settings Settings;
      Settings.Address = nameOf(Index);
      Hosts.push_back(std::make_unique<simulated_host>(
          Settings, replication::replica_id{nameOf(Index), 1}, Initial, Now));
    }
    awaitLeader();
  }

  std::size_t leader() const {
    for (std::size_t Index = 0; Index != Hosts.size(); ++Index)
      if (Hosts[Index]->Node.isLeading() && !Hosts[Index]->IsIsolated)
        return Index;
    return Hosts.size();
  }
  /// \returns how long it took.
  core::duration awaitLeader() {
    auto Since = Now;
    while (leader() == Hosts.size() && Now - Since < 60s)
      step();
    return Now - Since;
  }
  void setSyncTime(std::size_t Index, core::duration Time) {
    Hosts[Index]->SyncTime = Time;
  }
  void isolate(std::size_t Index) { Hosts[Index]->IsIsolated = true; }

  /// Sends a change in each step.
  void load(core::duration Time) {
    for (auto End = Now + Time; Now < End; step())
      if (auto Leader = leader(); Leader != Hosts.size()) {
        // It changes nothing, so that the state does not grow.
        Sent[++LastCall] = Now;
        Hosts[Leader]->Node.handle(
            {LastCall, cancel_call{Host, Prefix + "none", "none"}}, Now);
      }
  }
  /// \returns the longest time from a change to its answer, or the age of one
  /// without an answer, since the last call.
  core::duration takeLatency() {
    auto Result = std::exchange(Longest, core::duration());
    for (const auto &[Call, At] : Sent)
      Result = std::max(Result, Now - At);
    return Result;
  }
  std::size_t notExecuted() const { return NotExecuted; }
  std::size_t answered() const { return Answered; }

private:
  struct simulated_host {
    simulated_host(const scheduler_settings &Settings,
                   const replication::replica_id &Self,
                   const replication::membership &Initial, core::time_point Now)
        : Name(Self.Name), Node(Settings, Self, {}, Initial, Metrics, Now) {}

    std::string Name;
    core::metrics_registry Metrics;
    schedule_node Node;
    core::duration SyncTime = FastSync;
    std::deque<replication::storage_write> Writes;
    std::uint64_t SyncedTicket = 0; ///< By the write in progress.
    core::time_point SyncEnds{};
    bool IsSyncing = false;
    bool IsIsolated = false;
  };
  struct message_in_flight {
    core::time_point At{};
    std::size_t From = 0;
    std::size_t To = 0;
    std::string Bytes;
  };

  static std::string nameOf(std::size_t Index) {
    return "10.0.0." + std::to_string(Index + 1);
  }

  void step() {
    Now += Step;
    while (!Messages.empty() && Messages.front().At <= Now) {
      auto Message = std::move(Messages.front());
      Messages.pop_front();
      if (!Hosts[Message.From]->IsIsolated && !Hosts[Message.To]->IsIsolated)
        Hosts[Message.To]->Node.receive(Hosts[Message.From]->Name,
                                        Message.Bytes, Now);
    }
    for (std::size_t Index = 0; Index != Hosts.size(); ++Index) {
      auto &Target = *Hosts[Index];
      sync(Target);
      Target.Node.tick(Now);
      execute(Index, Target.Node.takeActions(Now));
    }
  }

  void sync(simulated_host &Target) {
    if (Target.IsSyncing && Now >= Target.SyncEnds) {
      Target.IsSyncing = false;
      Target.Node.stored(Target.SyncedTicket, Now);
    }
    if (Target.IsSyncing || Target.Writes.empty())
      return;
    control::write_batch Batch(std::move(Target.Writes.front()));
    Target.Writes.pop_front();
    while (!Target.Writes.empty() && Batch.add(Target.Writes.front()))
      Target.Writes.pop_front();
    Target.IsSyncing = true;
    Target.SyncEnds = Now + Target.SyncTime;
    Target.SyncedTicket = Batch.write().Ticket;
  }

  void execute(std::size_t From, node_actions Actions) {
    for (auto &Write : Actions.Writes)
      Hosts[From]->Writes.push_back(std::move(Write));
    for (auto &Message : Actions.Messages)
      for (std::size_t To = 0; To != Hosts.size(); ++To)
        if (Hosts[To]->Name == Message.Peer)
          Messages.push_back(
              {Now + LinkDelay, From, To, std::move(Message.Bytes)});
    for (const auto &Reply : Actions.Replies) {
      auto Found = Sent.find(Reply.Id);
      if (Found == Sent.end())
        continue;
      Longest = std::max(Longest, Now - Found->second);
      Sent.erase(Found);
      ++Answered;
      NotExecuted += Reply.Kind != reply_kind::NoSuchJob;
    }
  }

  core::time_point Now{1s};
  std::vector<std::unique_ptr<simulated_host>> Hosts;
  std::deque<message_in_flight> Messages;
  std::map<std::uint64_t, core::time_point> Sent; ///< Without an answer.
  std::uint64_t LastCall = 0;
  core::duration Longest{};
  std::size_t NotExecuted = 0;
  std::size_t Answered = 0;
};

std::int64_t toMs(core::duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

} // namespace

// Guards against a commit that waits for all writes before it. With a sync for
// each write, followers that sync in 30 ms fall behind a leader that makes an
// entry each few milliseconds, while they answer its heartbeats, so that no
// other leader is elected.
TEST_CASE("changes are committed in time while the disks of both followers are "
          "slow") {
  slow_cluster Cluster;
  auto Leader = Cluster.leader();
  for (std::size_t Index = 0; Index != 3; ++Index)
    if (Index != Leader)
      Cluster.setSyncTime(Index, SlowSync);
  Cluster.load(20s);
  INFO("answered " << Cluster.answered() << ", leader " << Leader);
  CHECK(Cluster.leader() == Leader);
  CHECK(toMs(Cluster.takeLatency()) < 300);
  CHECK(Cluster.notExecuted() == 0);
  CHECK(Cluster.answered() > 9000);
}

// Guards against a queue of writes at a leader with a slow disk, which nobody
// waits for until a follower is lost.
TEST_CASE(
    "changes are committed in time when a leader with a slow disk loses a "
    "follower") {
  slow_cluster Cluster;
  auto Leader = Cluster.leader();
  Cluster.setSyncTime(Leader, SlowSync);
  Cluster.load(20s);
  CHECK(toMs(Cluster.takeLatency()) < 300);
  Cluster.isolate((Leader + 1) % 3);
  Cluster.load(5s);
  CHECK(Cluster.leader() == Leader);
  CHECK(toMs(Cluster.takeLatency()) < 300);
  CHECK(Cluster.notExecuted() == 0);
}

// Guards against votes that wait for all entries before them.
TEST_CASE("the loss of a leader is repaired in time when all disks are slow") {
  slow_cluster Cluster;
  for (std::size_t Index = 0; Index != 3; ++Index)
    Cluster.setSyncTime(Index, SlowSync);
  Cluster.load(20s);
  CHECK(toMs(Cluster.takeLatency()) < 300);
  CHECK(Cluster.notExecuted() == 0);
  Cluster.isolate(Cluster.leader());
  // An election takes 0.6 to 1.2 s with fast disks.
  CHECK(toMs(Cluster.awaitLeader()) < 2500);
}
