#ifndef LYCHEETRESTLE_TESTS_CONTROL_FAKE_CLUSTER_H
#define LYCHEETRESTLE_TESTS_CONTROL_FAKE_CLUSTER_H

#include "control/control_loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lycheetrestle::control {

/// Control replicas in one process over fake links, disks and a virtual clock.
class fake_cluster {
public:
  static constexpr core::duration Step = std::chrono::milliseconds(5);

  /// \param Replicas number of first voters, named c1, c2 and so on.
  /// \param Entries number of entries, named e1, e2 and so on.
  explicit fake_cluster(int Replicas, int Entries = 0);

  /// Advances the clock.
  void run(core::duration Time);
  /// Advances the clock until the condition holds.
  /// \returns false when it did not hold within the time.
  bool runUntil(const std::function<bool()> &Condition,
                core::duration Limit = std::chrono::seconds(20));
  /// Waits for a leader that all running replicas agree on.
  /// \returns its name, empty when there is none within 20 s.
  std::string awaitLeader();
  /// \returns the running replica that leads in the largest term, or empty.
  std::string leader() const;

  /// Drops messages between a replica and everybody else.
  void isolate(const std::string &Name) { Isolated.insert(Name); }
  void heal() { Isolated.clear(); }
  /// Ends a replica; what it did not sync is lost.
  void kill(const std::string &Name);
  /// Starts a replica from its disk.
  void restart(const std::string &Name);
  /// Starts a replica from an empty disk under a new incarnation.
  void restartEmpty(const std::string &Name, std::uint64_t Incarnation);
  /// While set, the disk of a replica finishes no write.
  void setDiskStalled(const std::string &Name, bool IsStalled);

  /// \returns the id under which answer() finds the answer.
  std::uint64_t request(const std::string &Name, operation Operation);
  std::uint64_t submit(const std::string &Name, const std::string &Submission,
                       fleet::command_body Body);
  /// \returns the answer, or nothing while there is none.
  std::optional<control_answer> answer(std::uint64_t Id) const;
  /// Runs until the answer is there.
  control_answer await(std::uint64_t Id);

  /// Sends a message of an entry to a replica.
  void send(const std::string &Entry, const std::string &Replica,
            const routing::message &Message);
  /// \returns the messages for an entry so far, oldest first.
  std::vector<routing::message> &inbox(const std::string &Entry) {
    return Inboxes[Entry];
  }
  /// Sets whether an entry sends reports; all do at first.
  void setReporting(const std::string &Entry, bool IsReporting);

  control_loop &loop(const std::string &Name) { return *Nodes.at(Name).Loop; }
  bool isRunning(const std::string &Name) const {
    return Nodes.at(Name).Loop != nullptr;
  }
  control_settings &settings() { return Settings; }
  core::time_point now() const { return Now; }

private:
  struct node {
    replication::replica_id Id;
    replication::membership Initial;
    replication::persistent_state Disk;
    std::unique_ptr<control_loop> Loop;
    std::vector<replication::storage_write> Writes;
    bool IsDiskStalled = false;
  };
  struct transfer {
    std::string From, To, Bytes;
  };

  void start(node &Node);
  void step();
  void sendReports();
  void collect(const std::string &Name, node &Node);

  control_settings Settings;
  core::metrics_registry Metrics;
  core::time_point Now{std::chrono::hours(1)};
  core::time_point NextReport{};
  std::map<std::string, node> Nodes;
  std::vector<transfer> InTransit;
  std::set<std::string> Isolated;
  std::set<std::string> Reporting;
  std::map<std::string, std::vector<routing::message>> Inboxes;
  std::map<std::uint64_t, control_answer> Answers;
  std::uint64_t LastRequest = 0;
};

/// \returns a declaration with one pool of four hosts and one service.
fleet::declaration smallDeclaration(std::uint64_t Number);

} // namespace lycheetrestle::control

#endif
