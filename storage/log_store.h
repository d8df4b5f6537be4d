#ifndef LYCHEETRESTLE_STORAGE_LOG_STORE_H
#define LYCHEETRESTLE_STORAGE_LOG_STORE_H

#include "core/failure.h"
#include "replication/types.h"
#include "storage/file_system.h"
#include "storage/posix_files.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace lycheetrestle::storage {

/// Contents of the identity file of a data folder.
struct folder_identity {
  std::string ClusterId;
  replication::replica_id Replica;
  /// Voters of a new cluster; empty when the replica waits to be added.
  replication::membership Initial;
};

/// Limits of a log_store.
struct log_store_settings {
  /// A new segment is started when the active one has this many bytes. load()
  /// rewrites the last segment, so this also bounds the work at startup.
  std::uint64_t SegmentBytes = 8u << 20;
};

/// Durable storage of one replica: identity, hard state, write-ahead log in
/// segments with a CRC-32 for each record, and snapshots. Not thread-safe.
template <file_system Files> class log_store {
public:
  explicit log_store(Files Folder, log_store_settings Settings = {});

  /// \returns the identity, nothing when the folder is empty, Corrupt or
  /// IoError.
  core::result<std::optional<folder_identity>> readIdentity();
  /// Writes the identity into an empty folder and syncs it.
  /// \returns Conflict when the folder holds other data, Overloaded when the
  /// disk is full, or IoError.
  core::result<void> writeIdentity(const folder_identity &Identity);
  /// Reads the stored state. A torn tail is truncated; damage before the tail
  /// fails with Corrupt, naming file and offset.
  core::result<replication::persistent_state> load();
  /// Executes a write and syncs it. After a failure nothing of the write is
  /// acknowledged, and the same write may be passed again; until it succeeds or
  /// load() is called again, a crash may leave all of the write or nothing. A
  /// snapshot that is not newer than the stored one is ignored. Entries after
  /// the snapshot are kept unless TruncateFrom removes them.
  /// \returns BadInput when the indices are not contiguous with the log,
  /// Overloaded when the disk is full, or IoError.
  core::result<void> execute(const replication::storage_write &Write);
  /// \returns bytes in all files.
  std::uint64_t sizeBytes() const;

private:
  class implementation;
  std::shared_ptr<implementation> Impl;
};

extern template class log_store<posix_files>;

} // namespace lycheetrestle::storage

#endif
