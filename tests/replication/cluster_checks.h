#ifndef LYCHEETRESTLE_TESTS_REPLICATION_CLUSTER_CHECKS_H
#define LYCHEETRESTLE_TESTS_REPLICATION_CLUSTER_CHECKS_H

#include "replication/raft_node.h"

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace lycheetrestle::replication {

/// Thrown when a check fails; the text names the check.
struct check_failed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A state machine whose digest depends on every applied entry.
struct applied_state {
  std::uint64_t Index = 0;
  std::uint64_t Digest = 0;

  void apply(const log_entry &Entry);
  /// \returns the state, padded so that a snapshot has several parts.
  std::string toBytes() const;
  static applied_state fromBytes(const std::string &Bytes);
};

/// Invariants over all replicas, checked after every step.
class cluster_checks {
public:
  /// At most one leader per term, no commit index that decreases, and a leader
  /// that has all entries committed in its term or before.
  void checkStatus(const replica_id &Id, const raft_status &Status);
  /// Committed entries are never lost or changed.
  void checkCommitted(const log_entry &Entry, std::uint64_t ObserverTerm);
  /// Equal applied state at equal index.
  void checkState(const applied_state &State);
  void acknowledge(std::uint64_t Index, std::uint64_t Term);
  /// A confirmed read covers everything acknowledged before its request.
  void checkRead(std::uint64_t Index, std::uint64_t AcknowledgedBefore);
  /// Every acknowledged proposal is within the applied state.
  void checkAcknowledgedKept(const applied_state &State) const;
  /// Removes the commit index of a process that ended.
  void processEnded(const replica_id &Id) { CommitIndexes.erase(Id); }

  std::uint64_t lastAcknowledged() const { return LastAcknowledged; }
  std::uint64_t lastCommitted() const { return Committed.size(); }
  const std::vector<log_entry> &committed() const { return Committed; }
  std::uint64_t confirmedReads() const { return ConfirmedReads; }

private:
  std::map<std::uint64_t, replica_id> Leaders;
  std::map<replica_id, std::uint64_t> CommitIndexes;
  std::vector<log_entry> Committed; ///< Entry N is at position N - 1.
  std::map<std::uint64_t, std::uint64_t> LastCommittedByTerm;
  std::map<std::uint64_t, std::uint64_t> Digests;
  std::map<std::uint64_t, std::uint64_t> Acknowledged; ///< Index to term.
  std::uint64_t LastAcknowledged = 0;
  std::uint64_t ConfirmedReads = 0;
};

/// Throws check_failed when a check does not hold.
void expect(bool Holds, const std::string &Check);

} // namespace lycheetrestle::replication

#endif
