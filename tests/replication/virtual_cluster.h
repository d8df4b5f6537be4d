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
  std::map<std::uint64_t, std::uint64_t> Reads;     ///< Token to least index.
  std::set<std::uint64_t> ConfirmedReads;
};

struct network_faults {
  unsigned LossPercent = 0;
  unsigned DuplicatePercent = 0;
  int MaxDelayMs = 3;
};

/// Replicas on a virtual clock with a fake network and fake disks. Everything
/// follows from the seed. Each step passes cluster_checks.
class virtual_cluster {
public:
  virtual_cluster(std::size_t Size, std::uint64_t Seed,
                  raft_settings Settings = {});

  /// Runs events for a time.
  void run(core::duration Time);
  /// Runs until the condition holds.
  /// \returns false when it does not hold within the time.
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
  /// \returns whether a majority of every membership that any replica knows
  /// keeps its disk when this host loses its own.
  bool mayLoseDisk(std::size_t Host) const;
  void freeze(std::size_t Host, core::duration Time);
  void setDiskFull(std::size_t Host, bool Full);
  void setBlocked(std::size_t From, std::size_t To, bool Blocked);
  void healAll();
  /// One step of what an operator does: removes old incarnations, adds the
  /// running ones as learners and promotes those that have caught up.
  void repairMembership();
  /// Removes or demotes a random healthy voter, when nothing else is missing.
  void changeMembership();
  bool hasFullMembership() const;
  /// Sends bytes to a host as if they came from another.
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
