#ifndef LYCHEETRESTLE_TESTS_SCHEDULING_MEMBERSHIP_SITE_H
#define LYCHEETRESTLE_TESTS_SCHEDULING_MEMBERSHIP_SITE_H

#include "core/metrics.h"
#include "scheduling/observer_node.h"
#include "scheduling/schedule_node.h"
#include "tests/replication/fake_disk.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace lycheetrestle::scheduling::test {

/// The schedulers of a deployment.
struct site_shape {
  std::vector<bool> HasDisk;      ///< Of each host.
  std::vector<std::string> Zones; ///< Of each host.
  std::vector<std::size_t> Seeds; ///< Hosts that are seeds at the first start.
  /// Hosts that are seeds at all later starts; empty: drawn at random.
  std::vector<std::size_t> LaterSeeds;
  std::size_t ToleratedLosses = 1;
  std::uint64_t Seed = 1;
  std::uint64_t SnapshotEveryEntries = 4000;
  /// The seeds have data folders of an earlier version of the program, whose
  /// identity names them as the initial voters.
  bool IsEarlierVersion = false;
  /// The settings say at every start that it is the first one of the system,
  /// as those of a process that is restarted with its settings do.
  bool IsAlwaysFounding = false;
  /// A host opens its link to one that has been started again after up to this
  /// time.
  core::duration MaxRedialDelay{};
};

/// Schedulers with and without a disk, connected by links that delay and lose
/// messages, with an operator that replaces the configuration and a caller that
/// submits jobs. Fails the test when there are two clusters, two leaders of a
/// term, or a leader without something that was acknowledged.
class membership_site {
public:
  explicit membership_site(site_shape Shape);

  core::time_point now() const { return Now; }
  std::size_t size() const { return Hosts.size(); }
  /// \returns the identity on the disk of a host that was started.
  const replication::replica_id &identity(std::size_t Index) const {
    return *Hosts[Index].Identity;
  }
  bool hasDisk(std::size_t Index) const { return Shape.HasDisk[Index]; }
  bool isUp(std::size_t Index) const;
  /// \returns the number of starts of a host.
  std::size_t life(std::size_t Index) const { return Hosts[Index].Life; }
  const std::string &name(std::size_t Index) const { return Hosts[Index].Name; }
  /// \returns whether two hosts are linked with each other.
  bool isLinked(std::size_t First, std::size_t Second) const;
  /// \returns the host with an address, or size().
  std::size_t indexOf(const std::string &Name) const;
  std::uint64_t randomBelow(std::uint64_t Limit) { return Random() % Limit; }
  core::duration randomTime(core::duration Limit);

  /// Starts a host after some time; it is the first start of each host that was
  /// never started.
  void start(std::size_t Index, core::duration After);
  /// Lets the first start of a host be one of a later time, as that of a spare
  /// host.
  void skipFirstStart(std::size_t Index) { Hosts[Index].Life = 1; }
  /// Sets the seeds of all later starts.
  void setLaterSeeds(std::vector<std::size_t> Seeds) {
    Shape.LaterSeeds = std::move(Seeds);
  }
  /// Passes the schedulers in the status of a gateway to a host.
  void receiveStatus(std::size_t Index, std::span<const std::string> Addresses);
  /// Calls this after each step.
  void onStep(std::function<void()> Handler) { StepHandler = Handler; }
  /// Ends the process; what it has passed to its disk stays.
  void kill(std::size_t Index);
  /// Ends the process; writes that are not synced are lost in part.
  void losePower(std::size_t Index);
  /// Empties the disk of a host that is down.
  void loseDisk(std::size_t Index);
  /// Suspends the process for some time; messages to it wait.
  void freeze(std::size_t Index, core::duration Time);
  /// Sets the time of each sync of a host's disk.
  void slowDown(std::size_t Index, core::duration Sync);
  /// Drops all messages between two hosts for some time.
  void cut(std::size_t First, std::size_t Second, core::duration Time);
  /// Loses this share of all messages, in thousandths, and delays the others by
  /// up to this time, until it is called again.
  void disturb(unsigned Thousandths, core::duration MaxDelay);

  void run(core::duration Time);
  bool runUntil(const std::function<bool()> &Condition, core::duration Limit);

  /// \returns the leader of the latest term among the running hosts.
  std::optional<std::size_t> leader() const;
  const schedule_node *replica(std::size_t Index) const;
  const observer_node *observer(std::size_t Index) const;
  /// \returns whether a disk has a log.
  bool isFounded() const;
  /// \returns whether all hosts run and no fault that ends by itself is left.
  bool isCalm() const;
  /// \returns whether a majority of the seeds is in its first life.
  bool hasFoundingMajority() const;
  /// \returns the voters according to the leader.
  std::size_t voters() const;
  /// \returns whether the leader has the wanted voters, or all that exist, and
  /// all of them have all of its entries.
  bool isComplete() const;
  std::uint64_t acknowledgedVersion() const { return AcknowledgedVersion; }
  std::size_t acknowledgedJobs() const { return AcknowledgedJobs.size(); }
  /// Smallest number of disks that had a configuration when the first one was
  /// acknowledged.
  std::size_t firstCopies() const { return FirstCopies; }
  std::string describe() const;

private:
  struct simulated_host {
    std::string Name;
    std::size_t Life = 0; ///< Number of starts.
    std::optional<core::time_point> StartAt;
    core::time_point FrozenUntil{};
    std::optional<replication::replica_id> Identity; ///< On the disk.
    replication::membership Initial;                 ///< On the disk.
    replication::fake_disk Disk;
    std::size_t WritesPending = 0;
    core::time_point NextSync{};
    core::duration SyncTime = std::chrono::milliseconds(8);
    std::set<std::string> Dialled;
    std::map<std::string, core::time_point> RedialAt; ///< By peer.
    std::unique_ptr<core::metrics_registry> Metrics;
    std::unique_ptr<schedule_node> Replica;
    std::unique_ptr<observer_node> Observer;
    bool WasLeading = false;
  };
  struct message_in_flight {
    std::size_t From = 0;
    std::size_t To = 0;
    std::size_t FromLife = 0;
    std::size_t ToLife = 0;
    std::string Bytes;
  };
  struct pending_call {
    std::size_t Host = 0;
    std::size_t Life = 0;
    std::uint64_t Version = 0; ///< Of a configuration, or 0.
    std::string Job;
  };

  void step();
  void boot(std::size_t Index);
  void stop(std::size_t Index);
  void deliver();
  /// Reports new and lost links to the schedulers without a disk.
  void reportLinks();
  void post(std::size_t From, const peer_message &Message);
  void sync(simulated_host &Host);
  void execute(std::size_t Index);
  void checkFounding(const replication::storage_write &Write);
  void checkLeader(std::size_t Index);
  void finish(const reply &Reply);
  void sendCalls();
  /// \returns the host that handles a call after the redirects.
  std::optional<std::size_t> target();
  bool isCut(std::size_t First, std::size_t Second) const;
  bool hasDialled(std::size_t From, std::size_t To) const;
  /// \returns other seeds, as many as at the first start.
  std::vector<std::string> laterSeeds();

  site_shape Shape;
  std::mt19937_64 Random;
  core::time_point Now{std::chrono::seconds(1)};
  std::vector<simulated_host> Hosts;
  std::multimap<core::time_point, message_in_flight> Messages;
  std::map<std::pair<std::size_t, std::size_t>, core::time_point> LastDelivery;
  std::map<std::pair<std::size_t, std::size_t>, core::time_point> CutUntil;
  unsigned LostThousandths = 0;
  core::duration MaxDelay = std::chrono::milliseconds(5);
  /// Lives of two linked hosts; the first one has no disk.
  std::map<std::pair<std::size_t, std::size_t>,
           std::pair<std::size_t, std::size_t>>
      ReportedLinks;
  std::function<void()> StepHandler;

  std::string FoundingEntry; ///< First entry of every log.
  std::map<std::uint64_t, std::size_t> LeaderOfTerm;
  std::uint64_t LastTerm = 0;

  std::map<std::uint64_t, pending_call> Calls;
  std::uint64_t LastCall = 0;
  std::uint64_t SentVersion = 1;
  std::uint64_t AcknowledgedVersion = 0;
  std::uint64_t LastJob = 0;
  std::set<std::string> AcknowledgedJobs;
  std::size_t FirstCopies = 0;
  core::time_point NextConfigure{};
  core::time_point NextSubmit{};
};

} // namespace lycheetrestle::scheduling::test

#endif
