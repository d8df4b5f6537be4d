#include "scheduling/replication_load.h"

#include <algorithm>

namespace lycheetrestle::scheduling {

core::duration replication_load::wait() const {
  return std::max(OldestCommand, OldestEntry);
}

std::string_view replication_load::cause() const {
  if (wait() == core::duration())
    return "nothing";
  if (!Refusal.empty())
    return "refused";
  if (PendingWrites > 0 && OldestWrite >= OldestEntry)
    return "write";
  return UncommittedEntries > 0 ? "majority" : "batch";
}

} // namespace lycheetrestle::scheduling
