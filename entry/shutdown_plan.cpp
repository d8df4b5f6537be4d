#include "entry/shutdown_plan.h"

namespace lycheetrestle::entry {

std::string_view toString(shutdown_phase Phase) {
  switch (Phase) {
  case shutdown_phase::Serving:
    return "serving";
  case shutdown_phase::Lingering:
    return "lingering";
  case shutdown_phase::Refusing:
    return "refusing";
  case shutdown_phase::Closing:
    return "closing";
  case shutdown_phase::Finished:
    return "finished";
  case shutdown_phase::Aborted:
    return "aborted";
  }
  return "serving";
}

shutdown_phase shutdown_plan::advance(std::uint32_t StopRequests, bool IsIdle,
                                      bool IsFlushed, core::time_point Now) {
  if (StopRequests == 0 || Phase == shutdown_phase::Finished ||
      Phase == shutdown_phase::Aborted)
    return Phase;
  if (Phase == shutdown_phase::Serving) {
    StoppedAt = Now;
    Phase = shutdown_phase::Lingering;
  }
  if (StopRequests > 1 || Now - StoppedAt >= Timing.Timeout)
    return Phase = shutdown_phase::Aborted;
  // After Lingering, each call advances by at most one phase, because the
  // caller must act on both Refusing and Closing.
  if (Phase == shutdown_phase::Lingering) {
    if (Now - StoppedAt >= Timing.Linger)
      Phase = shutdown_phase::Refusing;
    return Phase;
  }
  if (Phase == shutdown_phase::Refusing) {
    if (IsIdle)
      Phase = shutdown_phase::Closing;
    return Phase;
  }
  if (!IsIdle || !IsFlushed) {
    QuietSince.reset();
    return Phase;
  }
  if (!QuietSince)
    QuietSince = Now;
  if (Now - *QuietSince >= Timing.Quiet)
    Phase = shutdown_phase::Finished;
  return Phase;
}

} // namespace lycheetrestle::entry
