#include "core/clock.h"

#include <ctime>

namespace lycheetrestle::core {

time_point boot_clock::now() {
  timespec Spec{};
  clock_gettime(CLOCK_BOOTTIME, &Spec);
  return time_point(std::chrono::seconds(Spec.tv_sec) +
                    std::chrono::duration_cast<duration>(
                        std::chrono::nanoseconds(Spec.tv_nsec)));
}

std::int64_t wallMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace lycheetrestle::core
