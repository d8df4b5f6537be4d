#ifndef LYCHEETRESTLE_TESTS_REPLICATION_FAKE_DISK_H
#define LYCHEETRESTLE_TESTS_REPLICATION_FAKE_DISK_H

#include "replication/types.h"

#include <deque>
#include <optional>
#include <random>

namespace lycheetrestle::replication {

/// The disk of one replica. Writes wait in order until they are synced; a
/// crash keeps an arbitrary prefix of the parts that were not synced.
class fake_disk {
public:
  void submit(storage_write Write) { Pending.push_back(std::move(Write)); }
  bool isIdle() const { return Pending.empty(); }
  /// Syncs the oldest write.
  /// \returns its ticket.
  std::uint64_t syncOldest();
  /// Loses what was not synced, except a random prefix.
  void crash(std::mt19937_64 &Random);
  const persistent_state &contents() const { return Durable; }

private:
  persistent_state Durable;
  std::deque<storage_write> Pending;

  /// Applies at most Parts parts of a write; each entry is a part.
  /// \returns the parts left over.
  std::size_t apply(const storage_write &Write, std::size_t Parts);
};

} // namespace lycheetrestle::replication

#endif
