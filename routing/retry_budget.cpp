#include "routing/retry_budget.h"

namespace lycheetrestle::routing {

namespace {

// Retries allowed in 10 s at any load, so that a service with few requests can
// retry at all.
constexpr double MinimumRetries = 3;

} // namespace

retry_budget::second_count &retry_budget::at(core::time_point Now) {
  auto Second =
      std::chrono::floor<std::chrono::seconds>(Now.time_since_epoch()).count();
  auto &Count = Seconds[static_cast<std::size_t>(Second) % Seconds.size()];
  if (Count.Second != Second)
    Count = {Second, 0, 0};
  return Count;
}

void retry_budget::recordRequest(core::time_point Now) { ++at(Now).Requests; }

bool retry_budget::tryRetry(core::time_point Now) {
  auto &Current = at(Now);
  auto Oldest = Current.Second - static_cast<std::int64_t>(Seconds.size());
  double Requests = 0;
  double Retries = 0;
  for (const auto &Count : Seconds) {
    if (Count.Second <= Oldest)
      continue;
    Requests += static_cast<double>(Count.Requests);
    Retries += static_cast<double>(Count.Retries);
  }
  if (Retries + 1 > Requests * Share + MinimumRetries)
    return false;
  ++Current.Retries;
  return true;
}

} // namespace lycheetrestle::routing
