#ifndef LYCHEETRESTLE_SCHEDULING_ENDPOINT_HEALTH_H
#define LYCHEETRESTLE_SCHEDULING_ENDPOINT_HEALTH_H

#include "core/clock.h"

#include <deque>
#include <string>

namespace lycheetrestle::scheduling {

/// Decides from the outcomes of runs whether to avoid an endpoint.
///
/// Designed for endpoints on which every run fails or stalls although they
/// report good health, and for jobs that fail on every endpoint: only failures
/// of several different jobs count against an endpoint, and successes count for
/// it.
class endpoint_health {
public:
  /// Records the outcome of a run.
  /// \param Job id of its job.
  /// \param Succeeded whether the run completed.
  void record(const std::string &Job, bool Succeeded, core::time_point Now);
  /// \returns whether no new work should be placed on the endpoint. This
  /// expires, so that an endpoint that recovered is used again.
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
