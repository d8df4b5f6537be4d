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
  std::uint64_t AppliedIndex = 0;
  std::string ReachableVoters; ///< IP addresses, separated by commas.
  /// Last index that each other voter has synced, as `address:index`, separated
  /// by commas.
  std::string SyncedIndices;
  std::size_t Voters = 0;
  std::size_t BlockedFollowers = 0; ///< Whose storage takes no entries.
  std::size_t QueuedCommands = 0;   ///< Not in the log yet.
  core::duration OldestCommand{};   ///< Age of the oldest of them.
  std::size_t PendingWrites = 0;    ///< Not synced here yet.
  core::duration OldestWrite{};     ///< Age of the oldest of them.
  /// Entries of this leader that are not applied yet, or, until its first entry
  /// is applied, all entries that are not committed.
  std::size_t UncommittedEntries = 0;
  core::duration OldestEntry{}; ///< Age of the oldest of them.
  /// Whether it waits for the entries of earlier terms and its first one. It
  /// accepts no calls until then.
  bool IsStarting = false;
  /// Why the log refused the oldest command, or empty.
  std::string Refusal;

  /// \returns the longest wait for a commit.
  core::duration wait() const;
  /// \returns what the oldest command or entry waits for, for the log:
  /// `nothing`, `refused`, `write`, `majority`, `batch` or `replay`.
  std::string_view cause() const;
};

/// Why a replica knows no leader.
struct leaderless_state {
  core::duration Since{}; ///< For how long it has known none.
  std::string_view Role;  ///< `learner`, `follower`, `pre_vote` or `candidate`.
  std::uint64_t Term = 0;
  std::uint64_t CommitIndex = 0;
  std::uint64_t LastIndex = 0;
  bool IsVoter = false;
  std::size_t Voters = 0;
  std::size_t HeardVoters = 0; ///< Including itself.
  // IP addresses, separated by commas.
  std::string HeardFrom; ///< Voters that sent something recently.
  std::string GrantedBy; ///< Voters that granted their vote.
  std::string RefusedBy; ///< Voters that refused it.
  bool IsStorageFailing = false;
  bool IsRemoved = false; ///< A leader reported that it is no member.
  std::size_t PendingWrites = 0;
  core::duration OldestWrite{}; ///< Age of the oldest of them.

  /// \returns what an election waits for, for the log: `membership` (this
  /// replica has no vote), `removed`, `storage` (its writes fail), `write` (a
  /// write of it takes long), `majority` (it hears too few voters) or `votes`.
  std::string_view cause() const;
};

} // namespace lycheetrestle::scheduling

#endif
