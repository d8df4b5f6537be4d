#include "control/write_batch.h"
#include "leased_endpoints.h"
#include "schedule_fixture.h"
#include "scheduling/proposal_queue.h"
#include "scheduling/schedule_node.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

// The users' bound for the next run of a long-running task.
constexpr core::duration NextRunBound = 9s;
constexpr core::duration StepTime = 5ms;
constexpr core::duration FastWrite = 2ms;
constexpr core::duration SlowWrite = 3s;
constexpr core::duration WriteRetryInterval = 500ms; // As storage_worker.
constexpr core::duration LinkDelay = 2ms;
// As link_settings.
constexpr std::size_t MaxFrameBytes = 4u << 20;
constexpr std::size_t MaxQueuedBytes = 8u << 20;
// A link of 25 MB/s is shared by the two followers.
constexpr std::size_t LinkBytesPerSecond = 12'500'000;
constexpr std::size_t SlowLinkBytesPerSecond = 500'000;
constexpr std::size_t VoterCount = 3;
constexpr std::uint32_t TaskCount = 6;
constexpr core::duration LeaveInterval = 4s;
constexpr core::duration BeatInterval = 1500ms;
// Endpoints exit this long after they drained, acknowledged or not.
constexpr core::duration Patience = 3s;
constexpr std::uint64_t DiskBytes = 64u << 20;
const std::string LastingJob = "lasting";

/// Voters with disks and links of limited speed, and endpoints that leave one
/// after the other and are replaced.
class stalled_cluster : public leased_endpoints {
public:
  explicit stalled_cluster(std::uint64_t Seed) : Random(Seed) {
    replication::membership Initial;
    for (std::size_t Index = 0; Index != VoterCount; ++Index)
      Initial.Members.push_back({{nameOf(Index), 1}, true});
    for (std::size_t Index = 0; Index != VoterCount; ++Index)
      Voters.push_back(std::make_unique<voter>(nameOf(Index), Initial, Now));
    while (!leader())
      step();
    configure(2);
    for (int Index = 0; Index != 4; ++Index)
      addEndpoint();
    run(100ms);
    auto Step = makeStep(TaskCount, 2000);
    Step.IsLongRunning = true;
    submit(makeJob(LastingJob, {Step}));
    finishRuns(500ms, LastingJob);
    run(3s);
    REQUIRE(LastRun.size() == TaskCount);
  }

  void run(core::duration Time) {
    for (auto End = Now + Time; Now < End;)
      step();
  }
  std::optional<std::size_t> leader() const {
    for (std::size_t Index = 0; Index != VoterCount; ++Index)
      if (Voters[Index]->Node.isLeading() && !Voters[Index]->IsSeparated)
        return Index;
    return std::nullopt;
  }
  std::size_t follower() const { return (leader().value_or(0) + 1) % 3; }
  std::uint64_t random(std::uint64_t Limit) { return Random() % Limit; }

  /// \returns the id of the call, or 0 without a leader.
  std::uint64_t call(call_body Body) {
    auto Leader = leader();
    if (!Leader)
      return 0;
    Voters[*Leader]->Node.handle({++LastCall, std::move(Body)}, Now);
    return LastCall;
  }
  /// Lets an endpoint leave that calls only the given voter, and only once.
  void leaveBy(std::size_t Voter) {
    addEndpoint();
    auto Index = random(Endpoints.size() - 1);
    auto Id = Endpoints[Index].Id;
    Voters[Voter]->Node.handle(
        {++LastCall, deregister_call{Id, makeEndpoint(Id).IncarnationMs}}, Now);
    exit(Id);
    Endpoints.erase(Endpoints.begin() + static_cast<std::ptrdiff_t>(Index));
    ++Departures;
  }
  void submit(job_spec Job) {
    auto Path = Prefix + Job.Id;
    call(submit_call{Host, std::move(Path), std::move(Job)});
  }
  /// Replaces the configuration by one whose text has this many bytes.
  void configure(std::size_t TextBytes) {
    auto Configuration = makeConfiguration(++Version);
    Configuration.Pools.resize(1);
    Configuration.Text.assign(TextBytes, 'x');
    call(configure_call{std::move(Configuration)});
  }
  /// Replaces one endpoint.
  void leave() {
    addEndpoint();
    auto &Leaving = Endpoints[random(Endpoints.size() - 1)];
    if (Leaving.DrainsUntil)
      return;
    Leaving.DrainsUntil = Now + std::chrono::milliseconds(random(3000));
    Leaving.NextBeat = Now + std::chrono::milliseconds(random(200));
  }

  void setWriteTime(std::size_t Index, core::duration Time) {
    Voters[Index]->WriteTime = Time;
  }
  void setFull(std::size_t Index, bool IsFull) {
    Voters[Index]->IsFull = IsFull;
  }
  /// Sets the size of the files in a data folder.
  void setStoredBytes(std::size_t Index, std::uint64_t Bytes) {
    Voters[Index]->Node.setStoredBytes(Bytes);
  }
  /// Drops all messages from and to a voter.
  void separate(std::size_t Index, bool IsSeparated) {
    Voters[Index]->IsSeparated = IsSeparated;
  }
  void setLinkSpeed(std::size_t Index, std::size_t BytesPerSecond) {
    Voters[Index]->LinkBytesPerSecond = BytesPerSecond;
  }
  /// Remembers a voter.
  void choose(std::size_t Index) { Chosen = Index; }
  std::size_t chosen() const { return Chosen; }
  /// \returns the entries that the voter lacks.
  std::uint64_t lagOf(std::size_t Index) const {
    auto Leader = leader();
    return Leader ? Voters[*Leader]->Node.status().CommitIndex -
                        Voters[Index]->Node.status().CommitIndex
                  : 0;
  }
  std::size_t repliesOf(reply_kind Kind) const {
    auto Found = ReplyCounts.find(Kind);
    return Found == ReplyCounts.end() ? 0 : Found->second;
  }

  core::duration LongestGap{}; ///< Of a task without a run.
  std::size_t Departures = 0;
  std::size_t FailedWrites = 0;
  std::size_t RefusedFrames = 0;  ///< Larger than a link carries.
  std::size_t MostQueued = 0;     ///< Commands at the leader.
  core::duration LongestWrite{};  ///< At any voter.
  core::duration LongestCommit{}; ///< Age of an entry.
  std::uint64_t Leaderships = 0;

private:
  struct voter {
    voter(const std::string &Name, const replication::membership &Initial,
          core::time_point Now)
        : Name(Name),
          Node(settingsOf(Name), {Name, 1}, {}, Initial, Metrics, Now) {}
    static scheduler_settings settingsOf(const std::string &Name) {
      scheduler_settings Settings;
      Settings.Address = Name;
      Settings.Leader.HasPlatform = true;
      Settings.DiskBytes = DiskBytes;
      Settings.SnapshotEveryEntries = 200;
      return Settings;
    }

    std::string Name;
    core::metrics_registry Metrics;
    schedule_node Node;
    std::deque<replication::storage_write> Writes;
    core::duration WriteTime = FastWrite;
    std::optional<std::uint64_t> WrittenTicket; ///< Of the write in progress.
    core::time_point NextWrite{}; ///< End of that write, or the next try.
    bool IsFull = false;
    bool IsSeparated = false;
    std::size_t LinkBytesPerSecond = ::LinkBytesPerSecond;
    bool WasLeading = false;
  };
  struct message_in_flight {
    std::size_t From = 0;
    std::size_t To = 0;
    std::string Bytes;
  };
  struct endpoint {
    std::string Id;
    core::time_point NextBeat{};
    std::optional<core::time_point> DrainsUntil;
    std::uint64_t Deregistration = 0; ///< The newest call.
    core::time_point NextCall{};
  };

  static std::string nameOf(std::size_t Index) {
    return "10.0.0." + std::to_string(Index + 1);
  }

  void addEndpoint() {
    endpoint Endpoint;
    Endpoint.Id = "e" + std::to_string(++LastEndpoint);
    Endpoint.NextBeat = Now;
    Endpoints.push_back(std::move(Endpoint));
  }

  void step() {
    Now += StepTime;
    endDueRuns();
    std::erase_if(Endpoints, [this](endpoint &Endpoint) {
      bool HasExited = act(Endpoint);
      Departures += HasExited;
      return HasExited;
    });
    while (!Messages.empty() && Messages.begin()->first <= Now) {
      auto Message = std::move(Messages.begin()->second);
      Messages.erase(Messages.begin());
      if (!Voters[Message.From]->IsSeparated &&
          !Voters[Message.To]->IsSeparated)
        Voters[Message.To]->Node.receive(nameOf(Message.From), Message.Bytes,
                                         Now);
    }
    for (std::size_t Index = 0; Index != VoterCount; ++Index) {
      auto &Voter = *Voters[Index];
      write(Voter);
      Voter.Node.tick(Now);
      execute(Index, Voter.Node.takeActions(Now));
      observe(Voter);
    }
    countRuns();
    for (std::uint32_t Index = 0; Index != TaskCount; ++Index)
      if (isRunning({LastingJob, 0, 0, Index}))
        LastRun[Index] = Now;
      else if (LastRun.count(Index) > 0)
        LongestGap = std::max(LongestGap, Now - LastRun[Index]);
  }

  /// \returns whether the endpoint has exited.
  bool act(endpoint &Endpoint) {
    if (Endpoint.DrainsUntil && Now >= *Endpoint.DrainsUntil) {
      bool IsDeregistered = Accepted.count(Endpoint.Deregistration) > 0;
      if (IsDeregistered || Now - *Endpoint.DrainsUntil >= Patience) {
        exit(Endpoint.Id);
        return true;
      }
      if (Now >= Endpoint.NextCall) {
        Endpoint.Deregistration = call(deregister_call{Endpoint.Id});
        Endpoint.NextCall = Now + 500ms;
      }
    } else if (Now >= Endpoint.NextBeat) {
      call(heartbeat_call{
          nextHeartbeat(Endpoint.Id, Endpoint.DrainsUntil.has_value())});
      Endpoint.NextBeat = Now + BeatInterval;
    }
    return false;
  }

  void write(voter &Voter) {
    if (Now < Voter.NextWrite)
      return;
    if (Voter.WrittenTicket)
      Voter.Node.stored(*std::exchange(Voter.WrittenTicket, {}), Now);
    if (Voter.Writes.empty())
      return;
    if (Voter.IsFull) {
      ++FailedWrites;
      Voter.NextWrite = Now + WriteRetryInterval;
      Voter.Node.storageFailed(Now);
      return;
    }
    control::write_batch Batch(std::move(Voter.Writes.front()));
    Voter.Writes.pop_front();
    while (!Voter.Writes.empty() && Batch.add(Voter.Writes.front()))
      Voter.Writes.pop_front();
    Voter.WrittenTicket = Batch.write().Ticket;
    Voter.NextWrite = Now + Voter.WriteTime;
  }

  void send(std::size_t From, std::size_t To, std::string Bytes) {
    auto Speed = std::min(Voters[From]->LinkBytesPerSecond,
                          Voters[To]->LinkBytesPerSecond);
    auto SendTime = [&](std::size_t Count) {
      return std::chrono::microseconds(Count * 1'000'000 / Speed);
    };
    auto &Free = LinkFreeAt[{From, To}];
    Free = std::max(Free, Now);
    if (Bytes.size() > MaxFrameBytes) {
      ++RefusedFrames;
      return;
    }
    if (Free + SendTime(Bytes.size()) - Now > SendTime(MaxQueuedBytes))
      return;
    Free += SendTime(Bytes.size());
    Messages.emplace(Free + LinkDelay,
                     message_in_flight{From, To, std::move(Bytes)});
  }

  void execute(std::size_t From, node_actions Actions) {
    auto &Voter = *Voters[From];
    std::move(Actions.Writes.begin(), Actions.Writes.end(),
              std::back_inserter(Voter.Writes));
    for (auto &Message : Actions.Messages)
      for (std::size_t To = 0; To != VoterCount; ++To)
        if (nameOf(To) == Message.Peer)
          send(From, To, std::move(Message.Bytes));
    for (const auto &Reply : Actions.Replies) {
      ++ReplyCounts[Reply.Kind];
      if (Reply.Kind == reply_kind::Accepted)
        Accepted.insert(Reply.Id);
    }
    for (const auto &Order : Actions.Orders)
      Voter.Node.orderFinished(
          {Order.Id, carryOut(Order, Voter.Node.state())
                         .value_or(no_answer{true, "timeout"})},
          Now);
  }

  void observe(voter &Voter) {
    LongestWrite = std::max(LongestWrite, Voter.Node.oldestWrite(Now));
    if (Voter.Node.isLeading() && !std::exchange(Voter.WasLeading, true))
      ++Leaderships;
    Voter.WasLeading = Voter.Node.isLeading();
    if (auto Load = Voter.Node.replicationLoad(Now)) {
      MostQueued = std::max(MostQueued, Load->QueuedCommands);
      LongestCommit = std::max(LongestCommit, Load->OldestEntry);
    }
  }

  std::mt19937_64 Random;
  std::vector<std::unique_ptr<voter>> Voters;
  std::multimap<core::time_point, message_in_flight> Messages;
  std::map<std::pair<std::size_t, std::size_t>, core::time_point> LinkFreeAt;
  std::vector<endpoint> Endpoints;
  int LastEndpoint = 0;
  std::uint64_t LastCall = 0;
  std::uint64_t Version = 0;
  std::size_t Chosen = 0;
  std::set<std::uint64_t> Accepted; ///< Calls.
  std::map<reply_kind, std::size_t> ReplyCounts;
  std::map<std::uint32_t, core::time_point> LastRun;
};

/// A way in which the head of the log is stopped.
struct way {
  std::string_view Name;
  /// Called every 100 ms, with the number of the call.
  void (*Act)(stalled_cluster &, int Tick);
  /// \returns whether what the way is about has happened.
  bool (*HasActed)(const stalled_cluster &);
};

constexpr int TicksPerSecond = 10;
constexpr std::size_t LargestText = replication::MaxEntryBytes - 4096;

/// Queues a job that no endpoint can run.
void submitWaiting(stalled_cluster &Cluster, int Number, std::size_t Bytes) {
  auto Job = makeJob("w" + std::to_string(Number), {makeStep(1, 100'000)});
  Job.Payload.assign(Bytes, 'x');
  Cluster.submit(std::move(Job));
}

const std::vector<way> Ways{
    {"changes that no entry can hold",
     [](stalled_cluster &Cluster, int Tick) {
       if (Tick % 5 == 0)
         Cluster.configure(replication::MaxEntryBytes);
     },
     [](const stalled_cluster &Cluster) {
       return Cluster.repliesOf(reply_kind::TooLarge) > 10;
     }},
    {"changes as large as an entry",
     [](stalled_cluster &Cluster, int Tick) {
       if (Tick % 5 == 0)
         Cluster.configure(LargestText);
     },
     [](const stalled_cluster &Cluster) {
       return Cluster.LongestCommit > 200ms;
     }},
    {"a full disk at each leader",
     [](stalled_cluster &Cluster, int Tick) {
       if (Tick % 200 == 0 && Cluster.leader())
         Cluster.setFull(*Cluster.leader(), true);
       if (Tick % 200 == 150)
         for (std::size_t Index = 0; Index != VoterCount; ++Index)
           Cluster.setFull(Index, false);
     },
     [](const stalled_cluster &Cluster) {
       return Cluster.FailedWrites > 10 && Cluster.Leaderships > 2;
     }},
    {"a full disk at a follower",
     [](stalled_cluster &Cluster, int Tick) {
       if (Tick == 0)
         Cluster.setFull(Cluster.follower(), true);
     },
     [](const stalled_cluster &Cluster) { return Cluster.FailedWrites > 10; }},
    {"nearly full disks",
     [](stalled_cluster &Cluster, int Tick) {
       // Half of the state is there before the disks are nearly full.
       if (Tick < 40)
         submitWaiting(Cluster, Tick, 250'000);
       else if (Tick % 5 == 0)
         submitWaiting(Cluster, Tick, 250'000);
       for (std::size_t Index = 0; Index != VoterCount; ++Index)
         Cluster.setStoredBytes(Index, Tick < 40 ? 0 : DiskBytes - 1);
     },
     [](const stalled_cluster &Cluster) {
       return Cluster.repliesOf(reply_kind::Unavailable) > 10;
     }},
    {"a slow disk at the leader",
     [](stalled_cluster &Cluster, int Tick) {
       if (Tick == 0)
         Cluster.setWriteTime(*Cluster.leader(), SlowWrite);
     },
     [](const stalled_cluster &Cluster) {
       return Cluster.LongestWrite >= SlowWrite;
     }},
    {"a slow disk at a follower",
     [](stalled_cluster &Cluster, int Tick) {
       if (Tick == 0)
         Cluster.setWriteTime(Cluster.follower(), SlowWrite);
     },
     [](const stalled_cluster &Cluster) {
       return Cluster.LongestWrite >= SlowWrite;
     }},
    {"a follower that needs a snapshot over a slow link",
     [](stalled_cluster &Cluster, int Tick) {
       if (Tick == 0)
         Cluster.choose(Cluster.follower());
       Cluster.separate(Cluster.chosen(), Tick < 50);
       Cluster.setLinkSpeed(Cluster.chosen(), SlowLinkBytesPerSecond);
       if (Tick < 40)
         submitWaiting(Cluster, Tick, 250'000);
     },
     [](const stalled_cluster &Cluster) {
       return Cluster.lagOf(Cluster.chosen()) > 0;
     }},
    {"a queue that is full of callers' changes",
     [](stalled_cluster &Cluster, int) {
       // As many bytes as a link of 25 MB/s carries to the
       // leader.
       for (int Count = 0; Count != 25; ++Count)
         Cluster.configure(100'000);
     },
     [](const stalled_cluster &Cluster) {
       return Cluster.repliesOf(reply_kind::Unavailable) > 1000 &&
              Cluster.MostQueued > 100;
     }},
};

std::int64_t toMs(core::duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

/// Plays a minute with endpoints that leave and short jobs.
void play(const way &Way, std::uint64_t Seed) {
  stalled_cluster Cluster(Seed);
  for (int Tick = 0; Tick != 60 * TicksPerSecond; ++Tick) {
    Way.Act(Cluster, Tick);
    if (Tick % (LeaveInterval / 100ms) == 0)
      Cluster.leave();
    if (Tick % 3 == 0)
      Cluster.submit(makeJob("j" + std::to_string(Tick), {makeStep(1, 100)}));
    Cluster.run(100ms);
  }
  INFO(Way.Name << ", seed " << Seed << ", longest gap "
                << toMs(Cluster.LongestGap) << " ms, commits take up to "
                << toMs(Cluster.LongestCommit) << " ms, leaderships "
                << Cluster.Leaderships);
  CHECK(Way.HasActed(Cluster));
  CHECK(Cluster.Departures >= 8);
  CHECK(Cluster.RefusedFrames == 0);
  CHECK(toMs(Cluster.LongestGap) < toMs(NextRunBound));
  CHECK(Cluster.MaxConcurrentRuns == 1);
}

} // namespace

TEST_CASE("long-running tasks of endpoints that leave run again in time while "
          "the head of the log stands still") {
  for (const auto &Way : Ways)
    DYNAMIC_SECTION(Way.Name) {
      for (std::uint64_t Seed = 1; Seed != 5; ++Seed)
        play(Way, Seed);
    }
}

// Guards against tasks that wait for the leases of an endpoint because the
// scheduler that heard of its end does not become the leader.
TEST_CASE("long-running tasks of endpoints that deregister without a leader "
          "run again in time whoever becomes the leader") {
  auto Seed = GENERATE(range(1, 21));
  stalled_cluster Cluster(static_cast<std::uint64_t>(Seed));
  int OtherLeaders = 0;
  for (int Round = 0; Round != 5; ++Round) {
    auto Former = *Cluster.leader();
    auto Hearer = Cluster.follower();
    Cluster.separate(Former, true);
    Cluster.run(std::chrono::milliseconds(Cluster.random(200)));
    Cluster.leaveBy(Hearer);
    for (int Tick = 0; Tick != 15 * TicksPerSecond; ++Tick) {
      if (Tick == 5 * TicksPerSecond) {
        OtherLeaders += Cluster.leader() != Hearer;
        Cluster.separate(Former, false);
      }
      if (Tick % 3 == 0)
        Cluster.submit(makeJob("j" + std::to_string(100 * Round * 10 + Tick),
                               {makeStep(1, 100)}));
      Cluster.run(100ms);
    }
  }
  INFO("seed " << Seed << ", longest gap " << toMs(Cluster.LongestGap)
               << " ms, other leaders " << OtherLeaders);
  CHECK(OtherLeaders > 0);
  CHECK(toMs(Cluster.LongestGap) < toMs(NextRunBound));
  CHECK(Cluster.MaxConcurrentRuns == 1);
}
