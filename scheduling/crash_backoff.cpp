#include "scheduling/crash_backoff.h"

#include <algorithm>

namespace lycheetrestle::scheduling {

namespace {

// The evidence is strong from this many crashes on, if the task was alone at
// MinAloneCrashes of them.
constexpr std::size_t MinCrashes = 3;
constexpr std::size_t MinAloneCrashes = 2;
// Or if this many came at most ShortRunMs after its starts.
constexpr std::size_t MinShortCrashes = 3;
// Long-running tasks get no trial and are rarely alone. That one task is at
// work at so many crashes of a calm pool is improbable too.
constexpr std::size_t MinCrashesBesideOthers = 4;
// Crashes of the pool count that came in this time before the newest one of the
// task. Later ones would end a pause that has begun.
constexpr std::int64_t StormWindowMs = 10'000;
// The pool is calm while the unexplained crashes are at most one for this many
// of its endpoints.
constexpr std::size_t CalmDivisor = 4;

constexpr std::int64_t FirstWeakPauseMs = 250;
constexpr std::int64_t WeakPauseFactor = 2;
// Detection, commit and start take the rest of the 3 s after which callers see
// work as lost.
constexpr std::int64_t MaxWeakPauseMs = 1000;

// Crashes that come within moments of each other are not all counted, so that
// the third counted one may be the fifth: two starts more than three is what
// such a task may have.
constexpr std::int64_t FirstStrongPauseMs = 120'000;
constexpr std::int64_t StrongPauseFactor = 4;
constexpr std::int64_t MaxStrongPauseMs = 600'000;
// After short runs only, while other endpoints of the pool crash too: a sound
// task may have had them by chance, and goes on within a minute.
constexpr std::int64_t FirstStormPauseMs = 45'000;
constexpr std::int64_t MaxStormPauseMs = 60'000;
// Callers see a long-running task as lost from 6 s after its last run on.
constexpr std::int64_t MaxLongRunningPauseMs = 5000;

/// \returns First times Factor to the power of Steps, at most Max.
std::int64_t growingPause(std::int64_t First, std::int64_t Factor,
                          std::size_t Steps, std::int64_t Max) {
  auto Pause = First;
  for (std::size_t Step = 0; Step != Steps && Pause < Max; ++Step)
    Pause *= Factor;
  return std::min(Pause, Max);
}

bool isCalm(const crash_history &History, const crash_census &Census,
            std::string_view Pool) {
  auto Count = std::count_if(
      Census.Unexplained.begin(), Census.Unexplained.end(),
      [&](const recent_crash &Crash) {
        return Crash.Pool == Pool &&
               Crash.TimeMs + StormWindowMs >= History.NewestMs &&
               Crash.TimeMs <= History.NewestMs &&
               std::find(History.Incarnations.begin(),
                         History.Incarnations.end(),
                         Crash.Incarnation) == History.Incarnations.end();
      });
  auto Endpoints = Census.Endpoints.find(Pool);
  return CalmDivisor * static_cast<std::size_t>(Count) <=
         (Endpoints == Census.Endpoints.end() ? 0 : Endpoints->second);
}

} // namespace

crash_pause pauseAfterCrashes(const crash_history &History,
                              const crash_census &Census, std::string_view Pool,
                              bool IsLongRunning) {
  // The quarantine alone answers the first crash.
  if (History.Crashes < 2)
    return {};
  bool IsSuspicious =
      History.Short >= MinShortCrashes ||
      History.Crashes >= MinCrashesBesideOthers ||
      (History.Crashes >= MinCrashes && History.Alone >= MinAloneCrashes);
  auto Steps = History.Crashes - std::min(History.Crashes, MinCrashes);
  if (IsSuspicious && isCalm(History, Census, Pool))
    return {
        growingPause(FirstStrongPauseMs, StrongPauseFactor, Steps,
                     IsLongRunning ? MaxLongRunningPauseMs : MaxStrongPauseMs),
        crash_evidence::Strong};
  if (History.Short >= MinShortCrashes)
    return {
        growingPause(FirstStormPauseMs, StrongPauseFactor, Steps,
                     IsLongRunning ? MaxLongRunningPauseMs : MaxStormPauseMs),
        crash_evidence::Strong};
  return {growingPause(FirstWeakPauseMs, WeakPauseFactor, History.Crashes - 2,
                       MaxWeakPauseMs),
          crash_evidence::Weak};
}

bool explainsCrashes(const crash_history &History) {
  return History.Short >= MinShortCrashes ||
         (History.Crashes >= 2 && History.Alone > 0);
}

std::string_view toText(crash_evidence Evidence) {
  return Evidence == crash_evidence::Strong ? "strong" : "weak";
}

} // namespace lycheetrestle::scheduling
