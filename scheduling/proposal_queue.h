#ifndef LYCHEETRESTLE_SCHEDULING_PROPOSAL_QUEUE_H
#define LYCHEETRESTLE_SCHEDULING_PROPOSAL_QUEUE_H

#include "core/clock.h"
#include "scheduling/commands.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace lycheetrestle::scheduling {

/// A command to propose and the call that waits until it is applied.
struct queued_command {
  command Command;
  std::uint64_t Call = 0; ///< 0: no call waits.
  core::time_point Since{};
  /// The last of the commands that `leader` decided together.
  bool EndsLeaderBatch = false;
  std::string Encoded; ///< Empty until the command is first proposed.
};

/// Commands for one log entry.
struct proposal {
  std::string Payload;
  std::vector<queued_command> Commands;
};

/// Commands that a leader has not proposed to the log yet. What the leader
/// decided is proposed before the changes of callers, each in their order: the
/// next run of a task must not wait for a full queue.
///
/// A command is encoded once, however often the log is not ready for it. One
/// that the log can never accept is handed back instead of holding up those
/// behind it.
class proposal_queue {
public:
  /// Commands that a log entry holds at most.
  static constexpr std::size_t MaxCommandsPerEntry = 1000;
  /// An entry is closed at this size, so that entries share the link to a
  /// follower with heartbeats. A single larger command gets its own entry.
  static constexpr std::size_t EntryBytes = 256u << 10;
  /// More commands are refused.
  static constexpr std::size_t MaxCommands = 20'000;
  /// New calls are refused while the oldest command waits for longer: the log
  /// accepts nothing, and callers can retry elsewhere or later.
  static constexpr core::duration MaxWait = std::chrono::milliseconds(1000);

  /// \param MaxCommandBytes larger commands are never proposed.
  explicit proposal_queue(std::size_t MaxCommandBytes)
      : MaxCommandBytes(MaxCommandBytes) {}

  /// \returns whether push() accepts a command now.
  bool accepts(core::time_point Now) const;
  /// Adds a command for which a call waits.
  /// \returns false when the queue accepts none now; the command is discarded.
  bool push(command Command, std::uint64_t Call, core::time_point Now);
  /// Adds the commands that `leader` decided together.
  void pushDecided(std::vector<command> Commands, core::time_point Now);
  /// Removes the next command if no log entry can hold it.
  std::optional<queued_command> takeOversized();
  /// Removes the commands of the next entry.
  /// \param TimeMs wall time of the leader.
  /// \returns nothing when the queue is empty or the next command is one that
  /// takeOversized() removes.
  std::optional<proposal> take(std::int64_t TimeMs);
  /// Puts the commands of a proposal that the log did not accept back.
  void putBack(proposal Proposal);
  /// Removes the commands whose calls have waited for longer than the time.
  std::vector<queued_command> takeExpired(core::duration Timeout,
                                          core::time_point Now);
  /// Removes the commands for which the predicate holds.
  std::vector<queued_command> takeIf(bool (*Predicate)(const command &));
  /// Removes all commands.
  /// \returns the calls that wait for them.
  std::vector<std::uint64_t> clear();

  std::size_t size() const { return Decided.size() + Changes.size(); }
  bool empty() const { return size() == 0; }
  /// \returns the age of the oldest command, or zero.
  core::duration wait(core::time_point Now) const;

private:
  /// \returns whether a log entry can hold the command. Encodes it when that
  /// has not been done yet.
  bool encode(queued_command &Command) const;
  /// \returns the commands whose first one is the next. Not for an empty queue.
  std::deque<queued_command> &next() {
    return Decided.empty() ? Changes : Decided;
  }

  std::size_t MaxCommandBytes;
  std::deque<queued_command> Decided; ///< By the leader; no call waits.
  std::deque<queued_command> Changes; ///< Of callers.
};

} // namespace lycheetrestle::scheduling

#endif
