#ifndef LYCHEETRESTLE_REPLICATION_TYPES_H
#define LYCHEETRESTLE_REPLICATION_TYPES_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheetrestle::replication {

/// Identity of a replica. A replica that lost its disk restarts with a new
/// incarnation, so that votes that it granted and no longer holds can never
/// count again.
struct replica_id {
  std::string Name;
  std::uint64_t Incarnation = 0;
  // clang-tidy 14 reports a variable inside the generated function.
  // NOLINTNEXTLINE(readability-identifier-naming)
  auto operator<=>(const replica_id &) const = default;
};

/// Kind of a log entry. A leader starts its term with a Noop.
enum class entry_kind : std::uint8_t { Noop, Command, Membership };

/// One entry of the replicated log.
struct log_entry {
  std::uint64_t Index = 0;
  std::uint64_t Term = 0;
  entry_kind Kind = entry_kind::Noop;
  std::string Payload;
  bool operator==(const log_entry &) const = default;
};

/// A learner (Voter is false) receives the log but does not count in quorums.
struct member {
  replica_id Id;
  bool Voter = false;
  bool operator==(const member &) const = default;
};

/// The voters and learners of a cluster.
struct membership {
  std::vector<member> Members;
  bool operator==(const membership &) const = default;
};

/// State that must be synced before any message that depends on it is sent.
struct hard_state {
  std::uint64_t Term = 0;
  std::optional<replica_id> Vote;
  bool operator==(const hard_state &) const = default;
};

/// Replaces all entries up to LastIndex.
struct snapshot {
  std::uint64_t LastIndex = 0;
  std::uint64_t LastTerm = 0;
  membership Members;
  std::string State; ///< Bytes of the state machine at LastIndex.
  bool operator==(const snapshot &) const = default;
};

/// The state that a replica reads from its disk at startup.
struct persistent_state {
  hard_state Hard;
  std::optional<snapshot> Snapshot;
  std::vector<log_entry> Entries; ///< Contiguous, after the snapshot.
};

/// One write for the storage thread. Parts are applied in the order of the
/// members, then synced once.
struct storage_write {
  std::uint64_t Ticket = 0; ///< Passed back to raft_node::stored().
  std::optional<hard_state> Hard;
  std::optional<snapshot> Snapshot; ///< Replaces the log up to LastIndex.
  std::optional<std::uint64_t> TruncateFrom; ///< Removes this index and later.
  std::vector<log_entry> Append;
};

} // namespace lycheetrestle::replication

#endif
