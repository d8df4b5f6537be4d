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

/// Simulates control replicas in one process with fake links, fake disks and a
/// virtual clock. Messages take one step to arrive. Each entry reports to the
/// leader once a second that it serves the leader's current declaration.
class fake_cluster {
public:
  /// Interval of the clock.
  static constexpr core::duration Step = std::chrono::milliseconds(5);

  /// \param Replicas number of initial voters, named c1, c2 and so on.
  /// \param Entries number of entries, named e1, e2 and so on.
  explicit fake_cluster(int Replicas, int Entries = 0);

  /// Advances the clock.
  void run(core::duration Time);
  /// Advances the clock until the condition holds.
  /// \returns false when it did not hold within the limit.
  bool runUntil(const std::function<bool()> &Condition,
                core::duration Limit = std::chrono::seconds(20));
  /// Waits for a leader that all running replicas agree on.
  /// \returns its name, or empty when there is none within 20 s.
  std::string awaitLeader();
  /// \returns the running replica that leads in the largest term, or empty.
  std::string leader() const;

  /// Drops all messages from and to a replica.
  void isolate(const std::string &Name) { Isolated.insert(Name); }
  void heal() { Isolated.clear(); }
  /// Kills a replica; writes that were not synced are lost.
  void kill(const std::string &Name);
  /// Starts a replica from its disk.
  void restart(const std::string &Name);
  /// Replaces a replica by a new incarnation with an empty disk.
  void restartEmpty(const std::string &Name, std::uint64_t Incarnation);
  /// While set, the disk of a replica completes no write.
  void setDiskStalled(const std::string &Name, bool IsStalled);

  /// Sends an operator's request to a replica.
  /// \returns the id to pass to answer() or await().
  std::uint64_t request(const std::string &Name, operation Operation);
  /// Sends an operator's change under a submission id to a replica.
  /// \returns the id to pass to answer() or await().
  std::uint64_t submit(const std::string &Name, const std::string &Submission,
                       fleet::command_body Body);
  /// \returns the answer, or nothing when there is none yet.
  std::optional<control_answer> answer(std::uint64_t Id) const;
  /// Advances the clock until the answer has arrived.
  /// \returns the answer; its status is 0 when there is none within 20 s.
  control_answer await(std::uint64_t Id);

  /// Sends a message of an entry to a replica.
  void send(const std::string &Entry, const std::string &Replica,
            const routing::message &Message);
  /// \returns the messages received by an entry, oldest first.
  std::vector<routing::message> &inbox(const std::string &Entry) {
    return Inboxes[Entry];
  }
  /// Sets whether an entry sends reports; initially all do.
  void setReporting(const std::string &Entry, bool IsReporting);

  control_loop &loop(const std::string &Name) { return *Nodes.at(Name).Loop; }
  bool isRunning(const std::string &Name) const {
    return Nodes.at(Name).Loop != nullptr;
  }
  /// \returns the settings; a change takes effect when a replica restarts.
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
