#include "scheduling/tracked_endpoint.h"

namespace lycheetrestle::scheduling {

std::string_view toText(stop_reason Reason) {
  switch (Reason) {
  case stop_reason::JobOver:
    return "job_over";
  case stop_reason::Draining:
    return "draining";
  case stop_reason::Evacuated:
    return "evacuated";
  case stop_reason::Stalled:
    return "stalled";
  case stop_reason::NotListed:
    return "not_listed";
  case stop_reason::StartRejected:
    return "start_rejected";
  }
  return "unknown";
}

} // namespace lycheetrestle::scheduling
