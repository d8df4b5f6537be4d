#ifndef LYCHEETRESTLE_ROUTING_RETRY_BUDGET_H
#define LYCHEETRESTLE_ROUTING_RETRY_BUDGET_H

#include "core/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace lycheetrestle::routing {

/// Limits the retries of a service in 10 s to a share of its requests in that
/// time plus a small fixed number, so that retries cannot multiply the load of
/// an overloaded service.
class retry_budget {
public:
  /// \param Share retries allowed for each recent request.
  explicit retry_budget(double Share) : Share(Share) {}

  void recordRequest(core::time_point Now);
  /// Counts one more retry if the budget allows it.
  /// \returns whether it is allowed.
  bool tryRetry(core::time_point Now);

private:
  struct second_count {
    std::int64_t Second = -1;
    std::uint64_t Requests = 0;
    std::uint64_t Retries = 0;
  };
  second_count &at(core::time_point Now);

  static constexpr std::size_t WindowSeconds = 10;

  double Share;
  std::array<second_count, WindowSeconds> Seconds;
};

} // namespace lycheetrestle::routing

#endif
