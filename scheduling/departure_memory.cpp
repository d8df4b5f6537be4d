#include "scheduling/departure_memory.h"

#include <algorithm>

namespace lycheetrestle::scheduling {

void departure_memory::record(const deregister_call &Call,
                              core::time_point Now) {
  if (!Call.IncarnationMs)
    return;
  // An endpoint repeats its call until it is acknowledged or gives up.
  std::erase_if(Calls, [&](const auto &Item) {
    return Now - Item.first > Retention ||
           (Item.second.EndpointId == Call.EndpointId &&
            Item.second.IncarnationMs == Call.IncarnationMs);
  });
  if (Calls.size() == MaxCalls)
    Calls.pop_front();
  Calls.emplace_back(Now, Call);
}

std::vector<deregister_call> departure_memory::take(core::time_point Now) {
  std::vector<deregister_call> Result;
  for (auto &[At, Call] : std::exchange(Calls, {}))
    if (Now - At <= Retention)
      Result.push_back(std::move(Call));
  return Result;
}

} // namespace lycheetrestle::scheduling
