#include "fake_disk.h"

#include "core/invariant.h"

#include <algorithm>
#include <limits>

namespace lycheetrestle::replication {

std::size_t fake_disk::apply(const storage_write &Write, std::size_t Parts) {
  auto &Entries = Durable.Entries;
  if (Write.Hard && Parts > 0) {
    Durable.Hard = *Write.Hard;
    --Parts;
  }
  if (Write.Snapshot && Parts > 0) {
    Durable.Snapshot = Write.Snapshot;
    std::erase_if(Entries, [&](const log_entry &Entry) {
      return Entry.Index <= Write.Snapshot->LastIndex;
    });
    --Parts;
  }
  if (Write.TruncateFrom && Parts > 0) {
    std::erase_if(Entries, [&](const log_entry &Entry) {
      return Entry.Index >= *Write.TruncateFrom;
    });
    --Parts;
  }
  for (const log_entry &Entry : Write.Append) {
    if (Parts == 0)
      break;
    const std::uint64_t Last =
        !Entries.empty() ? Entries.back().Index
                         : (Durable.Snapshot ? Durable.Snapshot->LastIndex : 0);
    core::checkInvariant(Entry.Index == Last + 1,
                         "the fake disk is appended to without a gap");
    Entries.push_back(Entry);
    --Parts;
  }
  return Parts;
}

std::uint64_t fake_disk::syncOldest() {
  const storage_write Write = std::move(Pending.front());
  Pending.pop_front();
  apply(Write, std::numeric_limits<std::size_t>::max());
  return Write.Ticket;
}

void fake_disk::crash(std::mt19937_64 &Random) {
  std::size_t Total = 0;
  for (const storage_write &Write : Pending)
    Total += 3 + Write.Append.size();
  // Half of all crashes lose everything that was not synced.
  std::size_t Parts = Random() % 2 == 0 ? 0 : Random() % (Total + 1);
  for (const storage_write &Write : Pending) {
    Parts = apply(Write, Parts);
    if (Parts == 0)
      break;
  }
  Pending.clear();
}

} // namespace lycheetrestle::replication
