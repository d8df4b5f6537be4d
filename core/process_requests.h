#ifndef LYCHEETRESTLE_CORE_PROCESS_REQUESTS_H
#define LYCHEETRESTLE_CORE_PROCESS_REQUESTS_H

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lycheetrestle::core {

/// Number of stop and reload requests received as signals.
struct process_requests {
  std::atomic<int> Stops = 0;
  std::atomic<int> Reloads = 0;
};

/// Rereads the addresses of the seeds from the settings file.
/// \returns nothing when the file is invalid; the reason is logged.
using seed_reader = std::function<std::optional<std::vector<std::string>>()>;

} // namespace lycheetrestle::core

#endif
