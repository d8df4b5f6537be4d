#include "core/clock.h"

#include <ctime>

namespace lycheetrestle::core {

namespace {

duration read(clockid_t Clock) {
  timespec Spec{};
  clock_gettime(Clock, &Spec);
  return std::chrono::seconds(Spec.tv_sec) +
         std::chrono::duration_cast<duration>(
             std::chrono::nanoseconds(Spec.tv_nsec));
}

} // namespace

time_point boot_clock::now() { return time_point(read(CLOCK_BOOTTIME)); }

thread_cpu_clock::time_point thread_cpu_clock::now() {
  return time_point(read(CLOCK_THREAD_CPUTIME_ID));
}

duration processCpuTime() { return read(CLOCK_PROCESS_CPUTIME_ID); }

std::int64_t wallMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace lycheetrestle::core
