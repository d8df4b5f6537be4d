#include "scheduling/end_proof.h"

namespace lycheetrestle::scheduling {

namespace {

// An endpoint ends its runs and closes its listener within this time of its
// deregistration, if it does not wait for an acknowledgement.
constexpr core::duration DepartureMargin = std::chrono::milliseconds(300);

} // namespace

std::string_view toText(end_proof Proof) {
  switch (Proof) {
  case end_proof::None:
    return "none";
  case end_proof::NoRuns:
    return "no runs";
  case end_proof::ConnectionRefused:
    return "connection refused";
  case end_proof::Succeeded:
    return "another endpoint took its place";
  case end_proof::LeaseExpired:
    return "lease expired";
  case end_proof::NoOpenStart:
    return "no open start";
  case end_proof::HostDown:
    return "its host is down";
  case end_proof::NoSuccessor:
    return "no later incarnation";
  }
  return "unknown";
}

end_proof proveEnd(const end_evidence &Evidence, core::time_point Now) {
  if (Evidence.IsSucceeded)
    return end_proof::Succeeded;
  if (const auto &Left = Evidence.DeregisteredAt;
      Left && Now >= *Left + DepartureMargin) {
    if (!Evidence.HasRuns)
      return end_proof::NoRuns;
    if (Evidence.RefusedAt >= *Left)
      return end_proof::ConnectionRefused;
  }
  if (Evidence.IsOutOfReach && Now >= Evidence.LeaseExpiry)
    return end_proof::LeaseExpired;
  return end_proof::None;
}

end_proof proveStartsVoid(const end_evidence &Evidence,
                          core::time_point OpenUntil, core::duration MaxLease,
                          core::time_point Now) {
  if (OpenUntil == core::time_point())
    return end_proof::NoOpenStart;
  if (Evidence.IsSucceeded)
    return end_proof::Succeeded;
  if (Evidence.UnlistedAt > OpenUntil)
    return end_proof::HostDown;
  return Now >= OpenUntil + MaxLease ? end_proof::NoSuccessor : end_proof::None;
}

} // namespace lycheetrestle::scheduling
