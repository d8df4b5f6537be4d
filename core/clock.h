#ifndef LYCHEETRESTLE_CORE_CLOCK_H
#define LYCHEETRESTLE_CORE_CLOCK_H

#include <chrono>
#include <cstdint>

namespace lycheetrestle::core {

using duration = std::chrono::microseconds;

/// Monotonic clock that also advances while the machine is suspended, so that a
/// process detects expired leases after a suspension.
struct boot_clock {
  using duration = core::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true; // NOLINT: named by the standard

  /// \returns the time since boot, in microseconds.
  static time_point now();
};

using time_point = boot_clock::time_point;

/// Processor time used by the calling thread.
struct thread_cpu_clock {
  using duration = core::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<thread_cpu_clock>;
  static constexpr bool is_steady = true; // NOLINT: named by the standard

  static time_point now();
};

/// \returns the processor time used by all threads of this process.
duration processCpuTime();

/// \returns wall time in milliseconds since the Unix epoch; used only for
/// timestamps that people read, never for safety decisions.
std::int64_t wallMilliseconds();

} // namespace lycheetrestle::core

#endif
