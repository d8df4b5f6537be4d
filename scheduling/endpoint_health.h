#ifndef LYCHEETRESTLE_SCHEDULING_ENDPOINT_HEALTH_H
#define LYCHEETRESTLE_SCHEDULING_ENDPOINT_HEALTH_H

#include "core/clock.h"

#include <deque>
#include <string>

namespace lycheetrestle::scheduling {

/// Decides whether an endpoint is to be avoided because of how its runs end.
///
/// Answers endpoints that fail everything, or on which work stands still, while
/// their own health report is good, next to jobs that fail everywhere: only
/// failures of different jobs count against an endpoint, and successes count
/// for it.
class endpoint_health {
public:
  /// \param Job the job whose run ended.
  /// \param Succeeded whether it was done.
  void record(const std::string &Job, bool Succeeded, core::time_point Now);
  /// \returns whether no new work should go there. It ends by itself, so that
  /// an endpoint that recovers is used again.
  bool isAvoided(core::time_point Now) const { return Now < AvoidedUntil; }

private:
  struct outcome {
    std::string Job;
    bool Succeeded = false;
    core::time_point At{};
  };
  std::deque<outcome> Recent;
  core::time_point AvoidedUntil{};
  core::duration Penalty{};
};

} // namespace lycheetrestle::scheduling

#endif
