#ifndef LYCHEETRESTLE_REPLICATION_CATCH_UP_ROUNDS_H
#define LYCHEETRESTLE_REPLICATION_CATCH_UP_ROUNDS_H

#include "core/clock.h"

#include <cstdint>
#include <optional>

namespace lycheetrestle::replication {

/// How long a follower takes to store what the leader's log holds. A round
/// begins with a last index of the leader, and ends when the follower has
/// synced that index; the next one begins at once. Under load a follower may
/// never have the last index of a moment although its rounds are short.
class catch_up_rounds {
public:
  /// Begins the first round.
  /// \param LastIndex of the leader's log.
  catch_up_rounds(std::uint64_t LastIndex, core::time_point Now)
      : Target(LastIndex), StartedAt(Now) {}

  /// Records a reply of the follower.
  /// \param Match last index synced at the follower.
  /// \param LastIndex of the leader's log.
  void record(std::uint64_t Match, std::uint64_t LastIndex,
              core::time_point Now);
  /// \returns whether the last round took less than the limit and the present
  /// one has not taken longer so far.
  bool areWithin(core::duration Limit, core::time_point Now) const;

private:
  std::uint64_t Target;
  core::time_point StartedAt;
  std::optional<core::duration> LastRound; ///< Duration of the last round.
};

} // namespace lycheetrestle::replication

#endif
