#ifndef LYCHEETRESTLE_REPLICATION_RAFT_LOG_H
#define LYCHEETRESTLE_REPLICATION_RAFT_LOG_H

#include "replication/types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheetrestle::replication {

/// The log of one replica in memory: entries after a snapshot, the commit
/// index, the memberships, and which entries are synced to the disk.
class raft_log {
public:
  /// \param Persisted the state read from the disk.
  /// \param Initial membership before the first entry.
  raft_log(persistent_state Persisted, membership Initial);

  std::uint64_t snapshotIndex() const { return BaseSnapshot->LastIndex; }
  std::uint64_t lastIndex() const {
    return BaseSnapshot->LastIndex + Entries.size();
  }
  std::uint64_t lastTerm() const;
  /// \returns the term, or nothing when the entry is compacted or not in the
  /// log.
  std::optional<std::uint64_t> termAt(std::uint64_t Index) const;
  /// \param Index must be after the snapshot and at most lastIndex().
  const log_entry &at(std::uint64_t Index) const;
  /// \returns the largest index up to Index whose term is at most Term; the
  /// snapshot index at least.
  std::uint64_t lastIndexNotAfter(std::uint64_t Index,
                                  std::uint64_t Term) const;

  void append(log_entry Entry);
  /// Removes the index and all later ones; none of them may be committed.
  void truncateFrom(std::uint64_t Index);
  /// Replaces the entries up to an applied index by a snapshot of the state.
  void compact(std::uint64_t Index, std::string State);
  /// Replaces the whole log by a snapshot that is ahead of the commit index.
  void install(snapshot Snapshot);

  std::uint64_t commitIndex() const { return Commit; }
  /// Raises the commit index; it never decreases.
  void commitTo(std::uint64_t Index);
  /// \returns the committed entries that were not returned before.
  std::vector<log_entry> takeCommitted();
  /// \returns the snapshot to restore before the committed entries, once.
  std::optional<snapshot> takeRestore();

  /// \returns the membership of the last membership entry, committed or not.
  const membership &members() const { return Memberships.back().Members; }
  std::uint64_t membersIndex() const { return Memberships.back().Index; }
  const std::shared_ptr<const snapshot> &latestSnapshot() const {
    return BaseSnapshot;
  }

  /// \returns whether a write is needed.
  bool isDirty() const;
  /// Adds all changes since the last call to a write.
  void fillWrite(storage_write &Write);
  /// Records that a write, and all before it, are synced.
  void stored(std::uint64_t Ticket);
  /// \returns the last index that is on the disk and still valid.
  std::uint64_t durableIndex() const { return Durable; }
  std::size_t uncommittedBytes() const { return UncommittedBytes; }
  std::size_t unstoredBytes() const { return UnstoredBytes; }

  /// \returns the bytes that an entry counts for in limits, including overhead.
  static std::size_t cost(const log_entry &Entry);

private:
  struct effective_membership {
    std::uint64_t Index;
    membership Members;
  };
  struct issued_write {
    std::uint64_t Ticket;
    std::uint64_t LastIndex;
    std::size_t Bytes;
  };

  std::shared_ptr<const snapshot> BaseSnapshot;
  std::deque<log_entry> Entries;
  /// The first one belongs to BaseSnapshot.
  std::vector<effective_membership> Memberships;
  std::uint64_t Commit = 0;
  std::uint64_t Delivered = 0; ///< Last index returned to the driver.
  bool RestorePending = false;
  std::size_t UncommittedBytes = 0;

  std::uint64_t IssuedLastIndex =
      0;                       ///< Last index on disk after issued writes.
  std::uint64_t DirtyFrom = 0; ///< First index to write.
  bool SnapshotDirty = false;
  std::deque<issued_write> Issued;
  std::size_t UnstoredBytes = 0;
  std::uint64_t Durable = 0;

  void addMembership(const log_entry &Entry);
};

} // namespace lycheetrestle::replication

#endif
