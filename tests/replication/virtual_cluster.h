#ifndef LYCHEETRESTLE_TESTS_REPLICATION_VIRTUAL_CLUSTER_H
#define LYCHEETRESTLE_TESTS_REPLICATION_VIRTUAL_CLUSTER_H

#include "cluster_checks.h"
#include "fake_disk.h"
#include "replication/raft_node.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lycheetrestle::replication {

/// One host: its disk, and the process while it runs.
struct virtual_host {
  replica_id Id;
  membership Initial;
  std::unique_ptr<raft_node> Node; ///< Null while crashed.
  fake_disk Disk;
  bool DiskFull = false;
  bool SyncScheduled = false;
  unsigned MaxSyncMs = 10;
  core::time_point FrozenUntil;
  double ClockRate = 1; ///< Speed of the host's clock.
  applied_state State;
  std::map<std::uint64_t, std::uint64_t> Proposals; ///< Index to term.
  std::map<std::uint64_t, std::uint64_t> Reads;     ///< Token to minimum index.
  std::set<std::uint64_t> ConfirmedReads;
};

/// Faults of all links.
struct network_faults {
  unsigned LossPercent = 0;
  unsigned DuplicatePercent = 0;
  int MaxDelayMs = 3;
};

/// Replicas on a virtual clock with a fake network and fake disks.
/// Deterministic for a seed. Each step is verified by cluster_checks.
class virtual_cluster {
public:
  virtual_cluster(std::size_t Size, std::uint64_t Seed,
                  raft_settings Settings = {});

  /// Processes the events of a period.
  void run(core::duration Time);
  /// Runs until the condition holds.
  /// \returns false when it does not hold within the period.
  bool runUntil(core::duration Time, const std::function<bool()> &Condition);

  std::optional<std::size_t> leader() const;
  std::size_t size() const { return Hosts.size(); }
  raft_node &node(std::size_t Host) { return *Hosts[Host].Node; }
  virtual_host &host(std::size_t Host) { return Hosts[Host]; }
  core::time_point now() const { return Now; }
  /// \returns the time that the clock of a host shows.
  core::time_point localNow(std::size_t Host) const;
  /// Processes the output of a node after a direct call.
  void processOutput(std::size_t Host);

  std::optional<std::uint64_t> propose(std::size_t Host, std::string Payload);
  std::optional<std::uint64_t> read(std::size_t Host);
  void crash(std::size_t Host);
  void restart(std::size_t Host);
  /// Crashes the host, empties its disk and starts it under a new incarnation.
  void loseDisk(std::size_t Host);
  /// \returns whether a majority of every membership that any replica holds
  /// still has its disk after this host loses its own.
  bool mayLoseDisk(std::size_t Host) const;
  void freeze(std::size_t Host, core::duration Time);
  void setDiskFull(std::size_t Host, bool Full);
  void setBlocked(std::size_t From, std::size_t To, bool Blocked);
  void healAll();
  /// One step of an operator's repair: removes an old incarnation, adds a
  /// running one as a learner or promotes one that has caught up.
  void repairMembership();
  /// Removes or demotes a random voter, when the membership is complete.
  void changeMembership();
  bool hasFullMembership() const;
  /// Delivers bytes to a host as if another replica sent them.
  void inject(std::size_t Host, const replica_id &From, std::string Bytes);

  network_faults Faults;
  cluster_checks Checks;
  std::mt19937_64 Random;

private:
  struct event {
    std::size_t Host;
    std::uint64_t Incarnation; ///< Process generation, for ticks and syncs.
    std::function<void()> Run;
  };

  raft_settings Settings;
  std::vector<virtual_host> Hosts;
  std::vector<std::uint64_t> Generation;
  std::multimap<core::time_point, event> Events;
  std::set<std::pair<std::size_t, std::size_t>> Blocked;
  core::time_point Now;
  std::uint64_t NextIncarnation = 1;

  std::size_t findHost(const std::string &Name) const;
  void schedule(core::time_point Time, std::size_t Host,
                std::function<void()> Run);
  void runNext();
  void start(std::size_t Host, membership Initial);
  void scheduleTick(std::size_t Host);
  void scheduleSync(std::size_t Host);
  void transmit(std::size_t From, const outgoing_message &Message);
};

} // namespace lycheetrestle::replication

#endif
