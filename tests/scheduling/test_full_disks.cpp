#include "schedule_fixture.h"
#include "scheduling/schedule_node.h"
#include "storage/log_store_impl.h"
#include "tests/storage/fake_files.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <utility>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

using storage::test::fake_disk;
using storage::test::fake_files;

constexpr core::duration Step = 5ms;
constexpr core::duration SyncTime = 5ms;
constexpr core::duration WriteRetryInterval = 500ms; // As storage_worker.
constexpr core::duration FullTime = 4s;
/// Operators expect the acknowledgement of a change within this time.
constexpr core::duration AcknowledgementTime = 5s;
/// Every call is answered within this time, with whatever outcome.
constexpr core::duration AnswerTime = 4s;
constexpr core::duration CallRetryInterval = 200ms;
constexpr core::duration SettlingTime = 15s;
/// Bounds of the writes that wait for a disk that is full for some seconds.
constexpr std::size_t MaxWaitingWrites = 100;
constexpr auto NoLimit = std::numeric_limits<std::uint64_t>::max();

std::uint64_t fromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? Default : std::strtoull(Value, nullptr, 10);
}

struct cluster_settings {
  std::size_t Voters = 3;
  std::uint64_t Seed = 1;
  std::uint64_t SnapshotEveryEntries = 4000;
  core::duration SubmitInterval = 100ms;
  std::size_t PayloadBytes = 10; ///< Of each job.
  /// Submissions wait for the next leader, as at a gateway, instead of being
  /// refused.
  bool HoldsSubmissions = false;
  std::size_t ConfigurationBytes = 2; ///< Of the text of each configuration.
  /// Limits by bytes; both 0: not known, and no snapshot is due by bytes.
  std::uint64_t DiskBytes = 0;
  std::uint64_t SnapshotEveryBytes = 0;
  std::uint64_t SegmentBytes = 4000; ///< Many changes of the segment.
};

/// Schedulers with a log_store each on a simulated disk that can be full,
/// connected by links that delay messages. Jobs are submitted all the time.
class disk_cluster {
public:
  explicit disk_cluster(const cluster_settings &Settings)
      : Settings(Settings), Random(Settings.Seed) {
    replication::membership Initial;
    for (std::size_t Index = 0; Index != Settings.Voters; ++Index)
      Initial.Members.push_back({{nameOf(Index), 1}, true});
    for (std::size_t Index = 0; Index != Settings.Voters; ++Index)
      Hosts.push_back(makeHost(Index, 1, Initial));
    runUntil([this] { return leader().has_value(); }, 10s);
    change();
    NextSubmit = Now;
  }

  core::time_point now() const { return Now; }
  std::size_t size() const { return Hosts.size(); }
  std::size_t randomBelow(std::size_t Limit) { return Random() % Limit; }

  /// \returns the leader of the latest term.
  std::optional<std::size_t> leader() const {
    std::optional<std::size_t> Found;
    for (std::size_t Index = 0; Index != Hosts.size(); ++Index)
      if (Hosts[Index]->Node.isLeading() &&
          (!Found || Hosts[Index]->Node.status().Term >
                         Hosts[*Found]->Node.status().Term))
        Found = Index;
    return Found;
  }

  /// Executes an action at a time that run() reaches.
  void at(core::time_point Time, std::function<void()> Action) {
    Events.emplace(Time, std::move(Action));
  }

  /// Fills a disk up to a few bytes for FullTime, or keeps it full as long.
  void fill(std::size_t Index) {
    auto &Disk = *Hosts[Index]->Disk;
    if (Disk.Capacity == NoLimit)
      Disk.Capacity = Disk.usedBytes() + Random() % 200;
    auto Fill = ++Hosts[Index]->Fills;
    at(Now + FullTime, [this, Index, Fill] {
      if (Hosts[Index]->Fills == Fill)
        Hosts[Index]->Disk->Capacity = NoLimit;
    });
  }

  /// Drops all messages from and to a host for some time.
  void isolate(std::size_t Index, core::duration Time) {
    Hosts[Index]->IsolatedUntil = Now + Time;
  }

  /// Starts one more scheduler, which joins through the others.
  void addScheduler() {
    Hosts.push_back(makeHost(Hosts.size(), 77 + Hosts.size(), {}));
  }

  void run(core::duration Time) {
    for (auto End = Now + Time; Now < End;)
      step();
  }

  bool runUntil(const std::function<bool()> &Condition, core::duration Limit) {
    for (auto End = Now + Limit; Now < End; step())
      if (Condition())
        return true;
    return Condition();
  }

  /// Replaces the configuration as an operator does: follows redirects and
  /// repeats the change until it is acknowledged.
  void change() {
    auto Since = Now;
    configure_call Call{makeConfiguration(++Version)};
    Call.Configuration.Text = std::string(Settings.ConfigurationBytes, 'x');
    auto Target = leader().value_or(0);
    while (true) {
      auto Id = send(Target, Call);
      runUntil([&] { return Answers.count(Id) != 0; }, AnswerTime);
      INFO("change " << Version << " at host " << Target << ": " << describe());
      REQUIRE(Answers.count(Id) != 0);
      auto Reply = Answers[Id];
      if (Reply.Kind == reply_kind::Accepted)
        break;
      REQUIRE(Now - Since < AcknowledgementTime);
      run(CallRetryInterval);
      Target = leader().value_or((Target + 1) % Hosts.size());
    }
    INFO("change " << Version << ": " << describe());
    CHECK(Now - Since < AcknowledgementTime);
  }

  /// Checks that no trace of the faults is left.
  void checkRecovered() {
    NextSubmit = Now + 1h;
    bool HasSettled = runUntil([this] { return hasSettled(); }, SettlingTime);
    INFO(describe());
    CHECK(HasSettled);
    CHECK(Unanswered.empty());
    change();
    CHECK(runUntil([this] { return hasSettled(); }, SettlingTime));
    for (const auto &Host : Hosts) {
      auto Status = Host->Node.status();
      CHECK(Host->Node.state().currentConfiguration().Version == Version);
      CHECK(Host->Disk->contents().count("temporary") == 0);
      log_type Reloaded(fake_files(Host->Disk), {Settings.SegmentBytes});
      auto Outcome = core::capture([&] { return Reloaded.load(); });
      REQUIRE(Outcome.index() == 0);
      const auto &Found = std::get<0>(Outcome);
      CHECK(Found.Hard.Term == Status.Term);
      auto LastIndex = Found.Snapshot ? Found.Snapshot->LastIndex : 0;
      if (!Found.Entries.empty())
        LastIndex = Found.Entries.back().Index;
      CHECK(LastIndex == Status.LastIndex);
    }
  }

  std::size_t mostWaitingWrites() const { return MostWaitingWrites; }
  std::uint64_t failedWrites() const { return FailedWrites; }
  std::uint64_t mostStoredBytes() const { return MostStoredBytes; }

  /// Limits the disks of all hosts.
  void limitDisks(std::uint64_t Capacity) {
    for (auto &Host : Hosts)
      Host->Disk->Capacity = Capacity;
  }

  /// Sets the bytes beside the log in all data folders.
  void setOtherBytes(std::uint64_t Bytes) {
    for (auto &Host : Hosts)
      Host->OtherBytes = Bytes;
    run(2 * Step);
  }

  /// Sends a call to the leader.
  /// \returns its id.
  std::uint64_t sendToLeader(call_body Body) {
    REQUIRE(leader().has_value());
    return send(*leader(), std::move(Body));
  }

  /// \returns the outcome of a call, or nothing while it has none.
  std::optional<reply_kind> outcome(std::uint64_t Call) const {
    auto Found = Answers.find(Call);
    return Found == Answers.end() ? std::nullopt
                                  : std::optional(Found->second.Kind);
  }

  /// \returns the outcome of a call to the leader.
  reply_kind ask(call_body Body, core::duration Limit = AnswerTime) {
    auto Id = sendToLeader(std::move(Body));
    bool IsAnswered = runUntil([&] { return outcome(Id).has_value(); }, Limit);
    INFO(describe());
    REQUIRE(IsAnswered);
    return *outcome(Id);
  }

  std::uint64_t version() const { return Version; }

  std::string describe() const {
    std::string Text = "now " + std::to_string(toMs(Now.time_since_epoch()));
    for (const auto &Host : Hosts) {
      auto Status = Host->Node.status();
      Text += "; " + Host->Name + " role " +
              std::to_string(static_cast<int>(Status.Role)) + " term " +
              std::to_string(Status.Term) + " commit " +
              std::to_string(Status.CommitIndex) + " last " +
              std::to_string(Status.LastIndex) + " members " +
              std::to_string(Status.Members.Members.size()) + " writes " +
              std::to_string(Host->Writes.size()) +
              (Status.StorageFailing ? " failing" : "") +
              (Host->Disk->Capacity != NoLimit ? " full" : "");
    }
    return Text + "; unanswered " + std::to_string(Unanswered.size());
  }

private:
  using log_type = storage::log_store<fake_files>;

  struct simulated_host {
    simulated_host(std::string HostName, scheduler_settings HostSettings,
                   replication::replica_id Self,
                   replication::membership Initial,
                   std::shared_ptr<fake_disk> HostDisk,
                   storage::log_store_settings LogSettings,
                   core::time_point Now)
        : Name(std::move(HostName)), Disk(std::move(HostDisk)),
          Log(fake_files(Disk), LogSettings),
          Node(std::move(HostSettings), std::move(Self), open(),
               std::move(Initial), Metrics, Now) {}

    replication::persistent_state open() {
      auto Outcome = core::capture([&] { return Log.load(); });
      REQUIRE(Outcome.index() == 0);
      return std::get<0>(std::move(Outcome));
    }

    std::string Name;
    std::shared_ptr<fake_disk> Disk;
    core::metrics_registry Metrics;
    log_type Log;
    schedule_node Node;
    std::deque<replication::storage_write> Writes;
    core::time_point NextWrite{};
    core::time_point IsolatedUntil{};
    int Fills = 0; ///< Calls of fill(); the last one ends the full time.
    std::uint64_t OtherBytes = 0; ///< Reported with those of the log.
  };

  struct message_in_flight {
    core::time_point At{};
    std::size_t From = 0;
    std::size_t To = 0;
    std::string Bytes;
  };

  static std::int64_t toMs(core::duration Time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
  }

  static std::string nameOf(std::size_t Index) {
    return "10.0.0." + std::to_string(Index + 1);
  }

  std::unique_ptr<simulated_host> makeHost(std::size_t Index,
                                           std::uint64_t Incarnation,
                                           replication::membership Initial) {
    scheduler_settings Result;
    Result.Address = nameOf(Index);
    for (std::size_t Seed = 0; Seed != Settings.Voters; ++Seed)
      Result.Seeds.push_back(nameOf(Seed));
    Result.SnapshotEveryEntries = Settings.SnapshotEveryEntries;
    Result.DiskBytes = Settings.DiskBytes;
    Result.SnapshotEveryBytes = Settings.SnapshotEveryBytes == 0
                                    ? NoLimit
                                    : Settings.SnapshotEveryBytes;
    // Every scheduler that joins becomes a voter.
    Result.ToleratedLosses = 3;
    replication::replica_id Self{Result.Address, Incarnation};
    return std::make_unique<simulated_host>(
        nameOf(Index), std::move(Result), std::move(Self), std::move(Initial),
        std::make_shared<fake_disk>(Random()),
        storage::log_store_settings{Settings.SegmentBytes}, Now);
  }

  bool hasSettled() const {
    auto Leader = leader();
    if (!Leader || !Unanswered.empty())
      return false;
    auto Expected = Hosts[*Leader]->Node.status();
    return std::all_of(Hosts.begin(), Hosts.end(), [&](const auto &Host) {
      auto Status = Host->Node.status();
      return !Status.StorageFailing && Host->Writes.empty() &&
             Status.Term == Expected.Term &&
             Status.CommitIndex == Expected.LastIndex &&
             Status.LastIndex == Expected.LastIndex &&
             Status.Members == Expected.Members &&
             Status.Members.Members.size() == Hosts.size() &&
             std::all_of(Status.Members.Members.begin(),
                         Status.Members.Members.end(),
                         [](const auto &Member) { return Member.Voter; });
    });
  }

  std::uint64_t send(std::size_t Target, call_body Body) {
    auto Id = ++LastCall;
    Unanswered[Id] = Now;
    Hosts[Target]->Node.handle({Id, std::move(Body)}, Now);
    return Id;
  }

  void step() {
    Now += Step;
    while (!Events.empty() && Events.begin()->first <= Now) {
      auto Action = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Action();
    }
    submitJobs();
    deliverMessages();
    for (std::size_t Index = 0; Index != Hosts.size(); ++Index) {
      auto &Target = *Hosts[Index];
      writeNext(Target);
      MostStoredBytes = std::max(MostStoredBytes, Target.Disk->usedBytes());
      Target.Node.setStoredBytes(Target.Log.sizeBytes() + Target.OtherBytes);
      Target.Node.tick(Now);
      execute(Index, Target.Node.takeActions(Now));
    }
    // Calls are answered in any order, but the ids grow with time.
    if (!Unanswered.empty() && Now - Unanswered.begin()->second >= AnswerTime)
      FAIL("call " << Unanswered.begin()->first << " has no answer; "
                   << describe());
  }

  void submitJobs() {
    if (Now < NextSubmit)
      return;
    NextSubmit = Now + Settings.SubmitInterval;
    ++HeldSubmissions;
    auto Target = leader();
    if (!Target && Settings.HoldsSubmissions)
      return;
    auto Count = std::exchange(HeldSubmissions, 0);
    for (int Index = 0; Target && Index != Count; ++Index) {
      auto Job = makeJob("j" + std::to_string(++LastJob), {makeStep(1)});
      Job.Payload = std::string(Settings.PayloadBytes, 'x');
      auto Path = Prefix + Job.Id;
      send(*Target, submit_call{Host, std::move(Path), std::move(Job)});
    }
  }

  void deliverMessages() {
    while (!Messages.empty() && Messages.begin()->first <= Now) {
      auto Message = std::move(Messages.begin()->second);
      Messages.erase(Messages.begin());
      if (Hosts[Message.From]->IsolatedUntil > Now ||
          Hosts[Message.To]->IsolatedUntil > Now)
        continue;
      Hosts[Message.To]->Node.receive(Hosts[Message.From]->Name, Message.Bytes,
                                      Now);
    }
  }

  void writeNext(simulated_host &Target) {
    MostWaitingWrites = std::max(MostWaitingWrites, Target.Writes.size());
    if (Target.Writes.empty() || Now < Target.NextWrite)
      return;
    auto Ticket = Target.Writes.front().Ticket;
    auto Failure = core::captureFailure(
        [&] { return Target.Log.execute(Target.Writes.front()); });
    if (!Failure) {
      Target.Writes.pop_front();
      Target.NextWrite = Now + SyncTime;
      Target.Node.stored(Ticket, Now);
      return;
    }
    ++FailedWrites;
    INFO(Target.Name << ": " << Failure->Message << "; " << describe());
    REQUIRE(Failure->Code == core::error_code::Overloaded);
    REQUIRE(Target.Disk->Capacity != NoLimit);
    Target.NextWrite = Now + WriteRetryInterval;
    Target.Node.storageFailed(Now);
  }

  void execute(std::size_t From, node_actions Actions) {
    for (auto &Write : Actions.Writes) {
      if (Hosts[From]->Writes.empty())
        Hosts[From]->NextWrite = Now + SyncTime;
      Hosts[From]->Writes.push_back(std::move(Write));
    }
    for (auto &Message : Actions.Messages)
      for (std::size_t To = 0; To != Hosts.size(); ++To) {
        if (Hosts[To]->Name != Message.Peer)
          continue;
        // A link keeps the order of its messages.
        auto &Last = LastDelivery[{From, To}];
        Last =
            std::max(Last, Now + std::chrono::milliseconds(1 + Random() % 6));
        Messages.emplace(
            Last, message_in_flight{Last, From, To, std::move(Message.Bytes)});
      }
    for (auto &Reply : Actions.Replies) {
      REQUIRE(Unanswered.erase(Reply.Id) == 1);
      Answers.emplace(Reply.Id, std::move(Reply));
    }
  }

  cluster_settings Settings;
  std::mt19937_64 Random;
  core::time_point Now{1s};
  std::vector<std::unique_ptr<simulated_host>> Hosts;
  std::multimap<core::time_point, message_in_flight> Messages;
  std::map<std::pair<std::size_t, std::size_t>, core::time_point> LastDelivery;
  std::multimap<core::time_point, std::function<void()>> Events;
  std::map<std::uint64_t, core::time_point> Unanswered; ///< Calls, by id.
  std::map<std::uint64_t, reply> Answers;
  core::time_point NextSubmit = core::time_point::max();
  std::uint64_t LastCall = 0;
  std::uint64_t LastJob = 0;
  int HeldSubmissions = 0;
  std::uint64_t Version = 0;
  std::uint64_t FailedWrites = 0;
  std::size_t MostWaitingWrites = 0;
  std::uint64_t MostStoredBytes = 0; ///< At any host, during a write too.
};

} // namespace

// Guards against a state that outlives a full disk: changes that are refused or
// stay unanswered although the disks have room again.
TEST_CASE("changes are acknowledged while the disks of all voters are full in "
          "turn, in each order") {
  std::vector<std::size_t> Order{0, 1, 2};
  auto Snapshots = GENERATE(4000, 15);
  auto Gap = GENERATE(0, 700);
  do {
    cluster_settings Settings;
    Settings.Seed = 1 + Order[0] * 9 + Order[1] * 3 + Order[2];
    Settings.SnapshotEveryEntries = static_cast<std::uint64_t>(Snapshots);
    disk_cluster Cluster(Settings);
    INFO("order " << Order[0] << Order[1] << Order[2] << ", snapshots after "
                  << Snapshots << ", gap " << Gap);
    for (auto Index : Order) {
      Cluster.fill(Index);
      Cluster.run(1500ms);
      Cluster.change();
      Cluster.run(FullTime - 1500ms + std::chrono::milliseconds(Gap));
    }
    CHECK(Cluster.failedWrites() > 0);
    CHECK(Cluster.mostWaitingWrites() < MaxWaitingWrites);
    Cluster.checkRecovered();
  } while (std::next_permutation(Order.begin(), Order.end()));
}

TEST_CASE("changes are acknowledged while the disk of each leader is full") {
  auto Voters = GENERATE(std::size_t(3), std::size_t(5));
  for (std::uint64_t Seed = 1; Seed != 7; ++Seed) {
    cluster_settings Settings;
    Settings.Voters = Voters;
    Settings.Seed = Seed;
    Settings.SnapshotEveryEntries = Seed % 2 == 0 ? 15 : 4000;
    disk_cluster Cluster(Settings);
    INFO(Voters << " voters, seed " << Seed);
    for (int Turn = 0; Turn != 5; ++Turn) {
      REQUIRE(
          Cluster.runUntil([&] { return Cluster.leader().has_value(); }, 4s));
      Cluster.fill(*Cluster.leader());
      auto End = Cluster.now() + FullTime;
      // Before, during and after the election that follows.
      Cluster.run(std::chrono::milliseconds(Turn * 300));
      Cluster.change();
      Cluster.run(std::max<core::duration>(End - Cluster.now(), 0ms));
    }
    Cluster.checkRecovered();
  }
}

// Guards against a batch of commands that is too large for the log and is never
// split: the next leader would not execute any further change, long after the
// disks have room again.
TEST_CASE("large submissions that waited for the next leader do not stop it") {
  cluster_settings Settings;
  Settings.SubmitInterval = 40ms;
  Settings.PayloadBytes = 60'000;
  Settings.HoldsSubmissions = true;
  disk_cluster Cluster(Settings);
  for (int Turn = 0; Turn != 2; ++Turn) {
    REQUIRE(Cluster.runUntil([&] { return Cluster.leader().has_value(); }, 4s));
    Cluster.fill(*Cluster.leader());
    Cluster.run(1s);
    Cluster.change();
    Cluster.run(FullTime - 1s);
  }
  Cluster.checkRecovered();
}

// Guards against a write that is retried for ever because its indices no longer
// fit the log: the leader with the full disk has entries that no other voter
// has, and removes them later.
TEST_CASE("a leader with a full disk removes entries that nobody else has") {
  for (std::uint64_t Seed = 1; Seed != 11; ++Seed) {
    cluster_settings Settings;
    Settings.Seed = Seed;
    Settings.SnapshotEveryEntries = Seed % 2 == 0 ? 15 : 4000;
    Settings.SubmitInterval = 20ms;
    disk_cluster Cluster(Settings);
    INFO("seed " << Seed);
    for (int Turn = 0; Turn != 3; ++Turn) {
      REQUIRE(
          Cluster.runUntil([&] { return Cluster.leader().has_value(); }, 4s));
      auto Old = *Cluster.leader();
      Cluster.isolate(Old, 2500ms);
      Cluster.run(std::chrono::milliseconds(100 * Turn));
      Cluster.fill(Old);
      auto End = Cluster.now() + FullTime;
      REQUIRE(Cluster.runUntil(
          [&] { return Cluster.leader() && Cluster.leader() != Old; }, 4s));
      Cluster.change();
      Cluster.run(std::max<core::duration>(End - Cluster.now(), 0ms));
    }
    Cluster.checkRecovered();
  }
}

TEST_CASE("a scheduler joins while the disks of the voters, and its own, are "
          "full in turn") {
  for (std::uint64_t Seed = 1; Seed != 13; ++Seed) {
    cluster_settings Settings;
    Settings.Seed = Seed;
    Settings.SnapshotEveryEntries = Seed % 2 == 0 ? 15 : 4000;
    disk_cluster Cluster(Settings);
    INFO("seed " << Seed);
    for (std::size_t Turn = 0; Turn != 4; ++Turn) {
      Cluster.fill((Turn + Seed) % Cluster.size());
      if (Turn == Seed / 4) {
        Cluster.run(std::chrono::milliseconds(Seed * 100));
        Cluster.addScheduler();
      }
      Cluster.run(1s);
      Cluster.change();
      Cluster.run(FullTime - 1s);
    }
    Cluster.checkRecovered();
  }
}

// LT_FIRST_SEED and LT_SEEDS choose the seeds.
TEST_CASE("random voters with a full disk, one at a time, leave no trace") {
  auto First = fromEnvironment("LT_FIRST_SEED", 1);
  auto Count = fromEnvironment("LT_SEEDS", 20);
  for (auto Seed = First; Seed < First + Count; ++Seed) {
    INFO("LT_FIRST_SEED=" << Seed << " LT_SEEDS=1");
    cluster_settings Settings;
    Settings.Voters = Seed % 3 == 0 ? 5 : 3;
    Settings.Seed = Seed;
    Settings.SnapshotEveryEntries = Seed % 2 == 0 ? 10 + Seed % 30 : 4000;
    Settings.SubmitInterval = std::chrono::milliseconds(20 + Seed % 7 * 30);
    disk_cluster Cluster(Settings);
    auto JoinTurn = Cluster.randomBelow(10);
    for (std::size_t Turn = 0; Turn != 6; ++Turn) {
      auto Target = Cluster.randomBelow(Cluster.size());
      if (Cluster.randomBelow(3) == 0)
        Target = Cluster.leader().value_or(Target);
      Cluster.fill(Target);
      auto End = Cluster.now() + FullTime;
      if (Cluster.randomBelow(4) == 0)
        Cluster.isolate(Target,
                        std::chrono::milliseconds(Cluster.randomBelow(3000)));
      if (Turn == JoinTurn)
        Cluster.addScheduler();
      Cluster.run(std::chrono::milliseconds(Cluster.randomBelow(4000)));
      Cluster.change();
      Cluster.run(std::max<core::duration>(End - Cluster.now(), 0ms) +
                  std::chrono::milliseconds(Cluster.randomBelow(1500)));
    }
    Cluster.checkRecovered();
  }
}

// Guards against calls that wait without an answer because the log accepts no
// more entries, and against writes and messages that accumulate at a replica
// whose disk is full for long.
TEST_CASE("every submission is answered while no majority can store, and the "
          "backlog is bounded") {
  cluster_settings Settings;
  Settings.SubmitInterval = 10ms;
  Settings.PayloadBytes = 60'000;
  disk_cluster Cluster(Settings);
  auto Leader = Cluster.leader();
  for (auto Time : {FullTime - Step, FullTime / 2}) {
    for (std::size_t Index = 0; Index != Cluster.size(); ++Index)
      if (Index != Leader)
        Cluster.fill(Index);
    Cluster.run(Time);
  }
  CHECK(Cluster.leader() == Leader);
  Cluster.checkRecovered();
}

// Guards against a backlog that grows with each snapshot that a replica with a
// full disk receives.
TEST_CASE("a replica whose disk is full for long keeps few writes") {
  cluster_settings Settings;
  Settings.SnapshotEveryEntries = 15;
  disk_cluster Cluster(Settings);
  auto Follower = (*Cluster.leader() + 1) % Cluster.size();
  for (int Turn = 0; Turn != 15; ++Turn) {
    Cluster.fill(Follower);
    Cluster.run(FullTime - Step);
  }
  INFO(Cluster.describe());
  CHECK(Cluster.mostWaitingWrites() < 10);
  Cluster.run(2 * Step + WriteRetryInterval);
  Cluster.change();
  Cluster.checkRecovered();
}

namespace {

constexpr std::uint64_t SmallDisk = 12u << 20;

/// Settings of a cluster whose disks hold 48 of its configurations.
cluster_settings smallDisks() {
  cluster_settings Settings;
  Settings.ConfigurationBytes = 256u << 10;
  Settings.DiskBytes = SmallDisk;
  scheduler_settings Derived;
  Derived.DiskBytes = SmallDisk;
  Settings.SegmentBytes = Derived.segmentBytes();
  return Settings;
}

configure_call largeChange(std::uint64_t Version, std::size_t Bytes) {
  configure_call Call{makeConfiguration(Version)};
  Call.Configuration.Text = std::string(Bytes, 'x');
  return Call;
}

submit_call callToSubmit(const std::string &Id) {
  return {Host, Prefix + Id, makeJob(Id, {makeStep(1)})};
}

} // namespace

// Guards against a log that is bounded only by its number of entries: large
// configurations fill the disks of all schedulers at the same time, and no
// snapshot that would free them can be committed any more.
TEST_CASE("large configurations never fill more than half of the disks") {
  auto Seed = GENERATE(std::uint64_t(1), std::uint64_t(2), std::uint64_t(3));
  auto Settings = smallDisks();
  Settings.Seed = Seed;
  disk_cluster Cluster(Settings);
  Cluster.limitDisks(SmallDisk);
  for (int Turn = 0; Turn != 150; ++Turn)
    Cluster.change();
  CHECK(Cluster.failedWrites() == 0);
  CHECK(Cluster.mostStoredBytes() < SmallDisk / 2);
  Cluster.limitDisks(NoLimit);
  Cluster.checkRecovered();
}

// The fault that the limit by bytes prevents, so that the test above is known
// to exercise it.
TEST_CASE("without the limit by bytes, large configurations fill the disks") {
  auto Settings = smallDisks();
  Settings.DiskBytes = 0;
  disk_cluster Cluster(Settings);
  Cluster.limitDisks(SmallDisk);
  for (std::uint64_t Turn = 0; Turn != 150 && Cluster.failedWrites() == 0;
       ++Turn)
    Cluster.ask(
        largeChange(Cluster.version() + Turn + 1, Settings.ConfigurationBytes));
  CHECK(Cluster.failedWrites() > 0);
}

// Guards against a leader that accepts changes until its disk is full, and
// against one that refuses for good.
TEST_CASE("a nearly full disk refuses configurations and jobs at once, and "
          "nothing else") {
  auto Settings = smallDisks();
  Settings.SubmitInterval = 1h;
  disk_cluster Cluster(Settings);
  REQUIRE(Cluster.ask(callToSubmit("before")) == reply_kind::Accepted);
  REQUIRE(Cluster.ask(callToSubmit("other")) == reply_kind::Accepted);
  Cluster.setOtherBytes(SmallDisk / 4 * 3);

  CHECK(Cluster.ask(callToSubmit("later"), 2 * Step) ==
        reply_kind::Unavailable);
  CHECK(Cluster.ask(configure_call{makeConfiguration(Cluster.version() + 1)},
                    2 * Step) == reply_kind::Unavailable);
  // A retry is not told that nothing ran.
  CHECK(Cluster.ask(callToSubmit("before")) == reply_kind::Accepted);
  CHECK(Cluster.ask(configure_call{makeConfiguration(Cluster.version())}) ==
        reply_kind::Accepted);
  CHECK(Cluster.ask(job_state_call{Host, Prefix + "before", "before"}) ==
        reply_kind::State);
  CHECK(Cluster.ask(read_configuration_call{}) == reply_kind::Text);
  CHECK(Cluster.ask(cancel_call{Host, Prefix + "other", "other"}) ==
        reply_kind::Accepted);
  CHECK(Cluster.ask(job_state_call{Host, Prefix + "later", "later"}) ==
        reply_kind::NoSuchJob);

  Cluster.setOtherBytes(0);
  CHECK(Cluster.ask(callToSubmit("later")) == reply_kind::Accepted);
  Cluster.change();
  Cluster.checkRecovered();
}

// Guards against a retry that is told that its job did not run although a copy
// is in the log and is committed later.
TEST_CASE("a nearly full disk refuses no change of which a copy is open") {
  auto Settings = smallDisks();
  Settings.SubmitInterval = 1h;
  disk_cluster Cluster(Settings);
  auto Change = configure_call{makeConfiguration(Cluster.version() + 1)};
  auto FirstJob = Cluster.sendToLeader(callToSubmit("j"));
  auto FirstChange = Cluster.sendToLeader(Change);
  // Proposed, but not committed yet.
  Cluster.run(Step);
  REQUIRE(!Cluster.outcome(FirstJob));
  Cluster.setOtherBytes(SmallDisk);
  CHECK(Cluster.ask(callToSubmit("j")) == reply_kind::Accepted);
  CHECK(Cluster.ask(Change) == reply_kind::Accepted);
  CHECK(Cluster.outcome(FirstJob) == reply_kind::Accepted);
  CHECK(Cluster.outcome(FirstChange) == reply_kind::Accepted);
  CHECK(Cluster.ask(callToSubmit("other"), 2 * Step) ==
        reply_kind::Unavailable);
}

// Guards against changes that were queued before the disk was nearly full and
// fill it, and against a refusal while nothing in the log could be committed.
TEST_CASE("changes that wait for the log are refused when the disk becomes "
          "nearly full") {
  auto Settings = smallDisks();
  Settings.SubmitInterval = 1h;
  Settings.ConfigurationBytes = 2u << 20;
  disk_cluster Cluster(Settings);
  auto Last = *Cluster.leader();
  std::vector<std::uint64_t> Calls;
  for (std::uint64_t Turn = 1; Turn != 12; ++Turn) {
    Calls.push_back(Cluster.sendToLeader(
        largeChange(Cluster.version() + Turn, Settings.ConfigurationBytes)));
  }
  // The log takes 8 MiB at a time.
  Cluster.run(Step);
  Cluster.setOtherBytes(SmallDisk);
  REQUIRE(Cluster.runUntil(
      [&] {
        return std::all_of(Calls.begin(), Calls.end(), [&](auto Call) {
          return Cluster.outcome(Call).has_value();
        });
      },
      AnswerTime));
  REQUIRE(Cluster.leader() == Last);
  std::size_t Accepted = 0;
  for (auto Call : Calls) {
    if (Cluster.outcome(Call) != reply_kind::Accepted)
      break;
    ++Accepted;
  }
  CHECK(Accepted > 0);
  CHECK(Accepted <= 5);
  for (auto Index = Accepted; Index != Calls.size(); ++Index)
    CHECK(Cluster.outcome(Calls[Index]) == reply_kind::Unavailable);
  Cluster.run(1s);
  CHECK(Cluster.ask(configure_call{makeConfiguration(
            Cluster.version() + Accepted)}) == reply_kind::Accepted);
  CHECK(Cluster.ask(configure_call{makeConfiguration(
            Cluster.version() + Accepted + 1)}) == reply_kind::Unavailable);
}

// Guards against a refusal without an end: refused changes add nothing to the
// log, so that no snapshot would become due.
TEST_CASE("a disk that jobs have nearly filled accepts again when they are "
          "cancelled") {
  auto Settings = smallDisks();
  Settings.SubmitInterval = 1h;
  disk_cluster Cluster(Settings);
  Cluster.limitDisks(SmallDisk);
  std::vector<std::string> Jobs;
  auto Outcome = reply_kind::Accepted;
  for (int Turn = 0; Turn != 100 && Outcome == reply_kind::Accepted; ++Turn) {
    Jobs.push_back("j" + std::to_string(Turn));
    auto Call = callToSubmit(Jobs.back());
    Call.Job.Payload = std::string(200'000, 'x');
    Outcome = Cluster.ask(std::move(Call));
  }
  REQUIRE(Outcome == reply_kind::Unavailable);
  CHECK(Cluster.failedWrites() == 0);
  Jobs.pop_back();
  for (const auto &Id : Jobs)
    REQUIRE(Cluster.ask(cancel_call{Host, Prefix + Id, Id}) ==
            reply_kind::Accepted);
  Cluster.run(5s);
  CHECK(Cluster.ask(callToSubmit("later")) == reply_kind::Accepted);
  CHECK(Cluster.failedWrites() == 0);
  Cluster.limitDisks(NoLimit);
  Cluster.change();
  Cluster.checkRecovered();
}
