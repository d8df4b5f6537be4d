#include "gateway/stop_plan.h"

namespace lycheetrestle::gateway {

std::string_view toString(stop_phase Phase) {
  switch (Phase) {
  case stop_phase::Serving:
    return "serving";
  case stop_phase::Lingering:
    return "lingering";
  case stop_phase::Refusing:
    return "refusing";
  case stop_phase::Finished:
    return "finished";
  }
  return "serving";
}

stop_phase stop_plan::advance(int StopRequests, bool HasOpenRequests,
                              core::time_point Now) {
  if (StopRequests == 0 || Phase == stop_phase::Finished)
    return Phase;
  if (Phase == stop_phase::Serving) {
    StoppedAt = Now;
    Phase = stop_phase::Lingering;
  }
  auto Elapsed = Now - StoppedAt;
  if (StopRequests > 1 || Elapsed >= Timing.Linger + Timing.Drain)
    return Phase = stop_phase::Finished;
  if (Phase == stop_phase::Refusing) {
    if (!HasOpenRequests)
      Phase = stop_phase::Finished;
    return Phase;
  }
  // The phase Refusing is never skipped: the caller stops taking requests in
  // it, and only then can it tell that none is open.
  if (Elapsed >= Timing.Linger)
    Phase = stop_phase::Refusing;
  return Phase;
}

} // namespace lycheetrestle::gateway
