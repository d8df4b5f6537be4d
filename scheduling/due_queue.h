#ifndef LYCHEETRESTLE_SCHEDULING_DUE_QUEUE_H
#define LYCHEETRESTLE_SCHEDULING_DUE_QUEUE_H

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace lycheetrestle::scheduling {

/// Times at which endpoints are due, so that a round visits these instead of
/// all endpoints. A time that is set again does not replace the earlier one:
/// the caller knows the newest time of each endpoint.
class due_queue {
public:
  void add(std::uint32_t Endpoint, core::time_point At) {
    Times.emplace(At, Endpoint);
  }
  /// \returns the endpoints whose times have come, each as often as it was
  /// added, and removes them.
  std::vector<std::uint32_t> takeDue(core::time_point Now) {
    std::vector<std::uint32_t> Due;
    for (; !Times.empty() && Times.top().first <= Now; Times.pop())
      Due.push_back(Times.top().second);
    return Due;
  }

private:
  using entry = std::pair<core::time_point, std::uint32_t>;
  std::priority_queue<entry, std::vector<entry>, std::greater<>> Times;
};

} // namespace lycheetrestle::scheduling

#endif
