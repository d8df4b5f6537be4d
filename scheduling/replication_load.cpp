#include "scheduling/replication_load.h"

#include <algorithm>

namespace lycheetrestle::scheduling {

namespace {

// Half a second is long for a sync and short for an election.
constexpr core::duration SlowWrite = std::chrono::milliseconds(500);

} // namespace

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
  if (UncommittedEntries > 0)
    return "majority";
  return IsStarting ? "replay" : "batch";
}

std::string_view leaderless_state::cause() const {
  if (IsRemoved)
    return "removed";
  if (!IsVoter)
    return "membership";
  if (IsStorageFailing)
    return "storage";
  // Votes and requests for them are sent once the term is synced.
  if (OldestWrite > SlowWrite)
    return "write";
  return 2 * HeardVoters <= Voters ? "majority" : "votes";
}

} // namespace lycheetrestle::scheduling
