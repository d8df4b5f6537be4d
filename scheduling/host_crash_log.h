#ifndef LYCHEETRESTLE_SCHEDULING_HOST_CRASH_LOG_H
#define LYCHEETRESTLE_SCHEDULING_HOST_CRASH_LOG_H

#include "core/clock.h"
#include "scheduling/types.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lycheetrestle::scheduling {

/// Decides from the crashes of endpoints whether to avoid a host.
///
/// Designed for hosts whose endpoints crash again and again, beside tasks that
/// crash the endpoints of any host: crashes count against a host only while no
/// single task ran at all of them, and not after a task that crashes
/// endpoints explains them. Crashes of many hosts within moments, also those of
/// whole racks, count against none of them: a pool that crashed as a whole
/// twice was avoided as a whole for 15 s.
class host_crash_log {
public:
  /// Records a crash.
  /// \param Endpoint number of the incarnation.
  /// \param Tasks the tasks that may have caused it.
  void record(const std::string &Host, std::uint32_t Endpoint,
              std::set<task_key> Tasks, core::time_point Now);
  /// Records that a host failed with its rack. This never counts against the
  /// host, but it is one of the crashes of many hosts.
  void recordRackFailure(const std::string &Host, core::time_point Now);
  /// Takes the crash of an incarnation off its host.
  void forgive(std::uint32_t Endpoint);
  /// \returns whether no new work should be placed on the host. This expires.
  bool isAvoided(const std::string &Host, core::time_point Now) const {
    return !Crashes.empty() && hasCrashLoop(Host, Now);
  }

  /// \returns whether an endpoint on the host crashed lately, not together with
  /// many others.
  bool hasCrashed(const std::string &Host, core::time_point Now) const;

private:
  bool hasCrashLoop(const std::string &Host, core::time_point Now) const;

  struct crash {
    std::uint32_t Endpoint = 0;
    std::set<task_key> Tasks;
    core::time_point At{};
    bool IsOfMany = false; ///< Many hosts crashed at the same time.
  };
  /// Adds a crash and marks the newest ones when they are many.
  void add(const std::string &Host, crash Crash);
  std::map<std::string, std::vector<crash>> Crashes; ///< By host, recent ones.
};

} // namespace lycheetrestle::scheduling

#endif
