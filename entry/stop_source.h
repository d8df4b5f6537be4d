#ifndef LYCHEETRESTLE_ENTRY_STOP_SOURCE_H
#define LYCHEETRESTLE_ENTRY_STOP_SOURCE_H

#include <atomic>
#include <cstdint>

namespace lycheetrestle::entry {

/// Passes stop requests from a signal handler to runEntry(). The first request
/// starts a graceful shutdown; the second ends the process at once.
class stop_source {
public:
  /// Requests a stop. Safe in a signal handler and from any thread.
  void requestStop() noexcept { Count.fetch_add(1); }
  /// \returns the number of requests so far.
  std::uint32_t count() const noexcept { return Count.load(); }

private:
  static_assert(std::atomic<std::uint32_t>::is_always_lock_free,
                "a signal handler may only use lock-free atomics");
  std::atomic<std::uint32_t> Count{0};
};

} // namespace lycheetrestle::entry

#endif
