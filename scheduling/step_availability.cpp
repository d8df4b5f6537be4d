#include "scheduling/step_availability.h"

namespace lycheetrestle::scheduling {

void step_availability::add(std::uint32_t Endpoint, bool IsUnavailable) {
  Tasks.push_back({Endpoint, IsUnavailable});
  if (IsUnavailable)
    ++Unavailable;
  else
    ++AvailableOn[Endpoint];
}

std::uint32_t step_availability::unavailablePeers(std::uint32_t Index) const {
  return Unavailable - (Tasks[Index].IsUnavailable ? 1 : 0);
}

std::uint32_t
step_availability::unavailablePeersWithout(std::uint32_t Index) const {
  const auto &Task = Tasks[Index];
  auto Interrupted = AvailableOn.find(Task.Endpoint);
  auto Count = Unavailable +
               (Interrupted == AvailableOn.end() ? 0 : Interrupted->second);
  // The task itself is among one of them.
  return Count - 1;
}

} // namespace lycheetrestle::scheduling
