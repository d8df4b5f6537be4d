#ifndef LYCHEETRESTLE_CONTROL_WRITE_BATCH_H
#define LYCHEETRESTLE_CONTROL_WRITE_BATCH_H

#include "replication/types.h"

#include <cstddef>

namespace lycheetrestle::control {

/// Combines writes that wait for the disk, so that one sync covers all of them.
/// Otherwise a disk that syncs more slowly than writes arrive falls behind
/// without limit, and each commit waits for all writes before it.
class write_batch {
public:
  /// Nothing is added to a batch of this size. It bounds the time of one write
  /// and the size of one record.
  static constexpr std::size_t MaxBytes = 4u << 20;

  /// \param First the first write.
  explicit write_batch(replication::storage_write First);

  /// Adds the write that follows the last one, if one sync can cover both.
  /// \param Next moved from only on success. Writes with a snapshot or a
  /// truncation are executed alone.
  /// \returns whether it was added.
  bool add(replication::storage_write &Next);

  /// \returns all writes as one, with the ticket of the last one.
  const replication::storage_write &write() const { return Combined; }

private:
  replication::storage_write Combined;
  std::size_t Bytes = 0;
};

} // namespace lycheetrestle::control

#endif
