#ifndef LYCHEETRESTLE_SCHEDULING_REPLICATION_LOAD_H
#define LYCHEETRESTLE_SCHEDULING_REPLICATION_LOAD_H

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lycheetrestle::scheduling {

/// What waits between a decision and its commit at a leader, and for what.
struct replication_load {
  std::uint64_t Term = 0;
  std::uint64_t CommitIndex = 0;
  std::uint64_t LastIndex = 0;
  std::string ReachableVoters; ///< IP addresses, separated by commas.
  std::size_t Voters = 0;
  std::size_t BlockedFollowers = 0; ///< Whose storage takes no entries.
  std::size_t QueuedCommands = 0;   ///< Not in the log yet.
  core::duration OldestCommand{};   ///< Age of the oldest of them.
  std::size_t PendingWrites = 0;    ///< Not synced here yet.
  core::duration OldestWrite{};     ///< Age of the oldest of them.
  std::size_t UncommittedEntries = 0;
  core::duration OldestEntry{}; ///< Age of the oldest of them.
  /// Why the log refused the oldest command, or empty.
  std::string Refusal;

  /// \returns the longest wait for a commit.
  core::duration wait() const;
  /// \returns what the oldest command or entry waits for, for the log:
  /// `nothing`, `refused`, `write`, `majority` or `batch`.
  std::string_view cause() const;
};

} // namespace lycheetrestle::scheduling

#endif
