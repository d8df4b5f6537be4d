#ifndef LYCHEETRESTLE_SCHEDULING_OPEN_CHANGES_H
#define LYCHEETRESTLE_SCHEDULING_OPEN_CHANGES_H

#include "core/clock.h"
#include "scheduling/commands.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace lycheetrestle::scheduling {

/// The changes of callers that a leader has queued or proposed and that are
/// neither applied nor dropped.
///
/// A caller that got no answer sends its change again. While an earlier copy
/// may still be committed, the later one must not be answered as not executed.
/// It gets the answer to a copy only if that has the same key: access differs.
class open_changes {
public:
  /// Calls that may wait for the copies of others; bounds their memory.
  static constexpr std::size_t MaxWaitingCalls = 20'000;

  /// Records a copy of a change that was queued.
  void add(const command &Command);
  /// \returns whether a copy of the change is queued or proposed.
  bool contains(const command &Command) const;
  /// Makes a call wait for an open copy of its change with the same key.
  /// \returns false when there is none, or when too many calls wait.
  bool wait(const command &Command, std::uint64_t Call, core::time_point Now);
  /// Records that a copy was applied.
  /// \returns the calls that waited for it.
  std::vector<std::uint64_t> recordApplied(const command &Command);
  /// Records that a copy was dropped before the log accepted it.
  /// \returns its calls without another copy; one with another key may be left.
  std::vector<std::uint64_t> recordDropped(const command &Command);
  /// \returns the calls that have waited for longer than the time.
  std::vector<std::uint64_t> expire(core::duration Timeout,
                                    core::time_point Now);
  /// Forgets all changes.
  /// \returns the calls that waited.
  std::vector<std::uint64_t> clear();

private:
  struct waiting_call {
    std::uint64_t Call = 0;
    core::time_point Since{};
  };
  struct open_change {
    std::size_t Copies = 0;
    std::vector<waiting_call> Waiting; ///< By age.
  };

  /// \returns the calls that wait for the change, which no longer wait then.
  std::vector<std::uint64_t> release(open_change &Change);

  std::unordered_map<std::string, open_change> Changes; ///< By both names.
  std::size_t WaitingCalls = 0;
};

} // namespace lycheetrestle::scheduling

#endif
