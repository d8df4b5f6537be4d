#ifndef LYCHEETRESTLE_SCHEDULING_POLL_PACER_H
#define LYCHEETRESTLE_SCHEDULING_POLL_PACER_H

#include "core/clock.h"

namespace lycheetrestle::scheduling {

/// Decides how long the next poll of an endpoint waits after one that listed
/// ends, so that ends in quick succession share an answer.
///
/// Designed for a leader with a thousand endpoints and 3,400 ends a second: an
/// answer lists all runs of its endpoint, so that one for each end would take
/// more of the leader's time than the ends. With few answers a second the wait
/// is short, because capacity stays unused until its end is known.
class poll_pacer {
public:
  /// Records an answer that listed ends.
  void recordAnswer(core::time_point Now);
  /// \returns how long the next poll of an endpoint that listed ends waits.
  core::duration delay(core::time_point Now) const;

  static constexpr core::duration MinDelay = std::chrono::milliseconds(40);
  /// A third of a short task.
  static constexpr core::duration MaxDelay = std::chrono::milliseconds(200);

private:
  /// \returns the answers a second, averaged over about Window.
  double rateAt(core::time_point Now) const;

  double Rate = 0; ///< At RatedAt.
  core::time_point RatedAt{};
};

} // namespace lycheetrestle::scheduling

#endif
