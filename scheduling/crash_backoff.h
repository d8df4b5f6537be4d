#ifndef LYCHEETRESTLE_SCHEDULING_CRASH_BACKOFF_H
#define LYCHEETRESTLE_SCHEDULING_CRASH_BACKOFF_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::scheduling {

/// How long crashes of endpoints are kept to judge the crashes under a task.
/// Longer than the longest pause, so that its evidence lasts as long.
inline constexpr std::int64_t RecentCrashMs = 900'000;
/// More than the endpoints that large pools lose within a minute. The oldest
/// are dropped first.
inline constexpr std::size_t MaxRecentCrashes = 512;

/// A task that crashes endpoints does so at once, and the list of hosts shows
/// it within a second or two. Other crashes seldom come so soon after a start:
/// one in five while a sixth of a pool crashes every 1.8 s, none when the
/// endpoints are cut off before.
inline constexpr std::int64_t ShortRunMs = 2000;

/// A crash of an endpoint that no order explains.
struct recent_crash {
  std::uint32_t Incarnation = 0;
  std::string Pool;
  std::int64_t TimeMs = 0; ///< Wall time at which it was recorded.
};

/// What happened in the pools lately.
struct crash_census {
  /// Recent crashes that no suspect task explains.
  std::vector<recent_crash> Unexplained;
  std::map<std::string, std::size_t, std::less<>> Endpoints; ///< By pool.
};

/// The crashes of endpoints under a task.
struct crash_history {
  std::size_t Crashes = 0;
  std::size_t Alone = 0;     ///< Crashes while no other run could be blamed.
  std::size_t Short = 0;     ///< Crashes at most ShortRunMs after the start.
  std::int64_t NewestMs = 0; ///< Wall time at which the newest was recorded.
  std::int64_t SilentMs = 0; ///< Time from that crash to its record, at most.
  std::vector<std::uint32_t> Incarnations;
};

enum class crash_evidence : std::uint8_t {
  Weak,  ///< The crashes may have another cause.
  Strong ///< The task crashes its endpoints.
};

/// How long after its newest crash a task may not start.
struct crash_pause {
  std::int64_t Ms = 0;
  crash_evidence Evidence = crash_evidence::Weak;
};

/// Decides how long a task under which endpoints crashed may not start again.
///
/// Designed for two loads. A task that crashes each endpoint within
/// milliseconds of its start, in one of ten jobs of a queue for 10 s, was
/// started 37 times in 45 s; it pauses for minutes after its third counted
/// crash. Crashes that no task causes, such as the restart of a sixth of a
/// pool every 1.8 s, hit sound tasks three times and more, also alone on their
/// endpoints; callers see these as lost when they do not start again within
/// 3 s, so that their pause stays under MaxTrialWait. The two are told apart by
/// the times from the starts to the crashes, and by the crashes of the pool
/// that no suspect explains. A few of these are left out of account, because
/// the first crash under each task that crashes endpoints has no explanation
/// until the second one.
/// \param Pool the pool of the task.
/// \param IsLongRunning whether callers see the task as lost at any time; its
/// pause stays under the 6 s after its last run in which they do not.
/// \returns the pause, counted from the newest crash.
crash_pause pauseAfterCrashes(const crash_history &History,
                              const crash_census &Census, std::string_view Pool,
                              bool IsLongRunning = false);

/// \returns whether the crashes under the task are probably its own, so that
/// they say nothing about others.
bool explainsCrashes(const crash_history &History);

/// \returns the name for logs and views.
std::string_view toText(crash_evidence Evidence);

} // namespace lycheetrestle::scheduling

#endif
