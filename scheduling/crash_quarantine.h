#ifndef LYCHEETRESTLE_SCHEDULING_CRASH_QUARANTINE_H
#define LYCHEETRESTLE_SCHEDULING_CRASH_QUARANTINE_H

#include "core/clock.h"
#include "scheduling/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace lycheetrestle::scheduling {

/// An endpoint on which suspect tasks may be placed.
struct quarantine_endpoint {
  std::uint32_t Endpoint = 0;
  std::string Host;
  std::uint32_t Runs = 0;
  std::uint32_t LongRunning = 0; ///< Runs among them that do not end soon.
};

/// A suspect task, or the suspect members of a gang.
struct quarantined_task {
  task_key Task;             ///< Index is 0 for a gang.
  std::uint32_t Attempt = 0; ///< Number of its newest run.
  std::int64_t RanMs = 0;    ///< Shortest time from a start to a crash.
  bool IsPaused = false;     ///< May not start yet; see crash_backoff.h.
  /// It crashes its endpoints. It never starts beside other runs because it
  /// has waited, and no other such task of the pool starts meanwhile.
  bool IsProven = false;
  /// Of a gang: from the last sign of life of the endpoint to the proof of its
  /// crash. The other members have waited since about the crash.
  core::duration Silence{};
  std::set<std::string> CrashedHosts;
  /// Endpoints on which it is on trial; empty while it waits.
  std::vector<std::uint32_t> Endpoints;
};

/// How long a suspect task that could run waits for a trial, and a task that is
/// no suspect for an endpoint that is reserved for one. Callers see work as
/// lost after 3 s in which it could run; detection, commit and start take the
/// rest.
inline constexpr core::duration MaxTrialWait = std::chrono::seconds(2);

/// Suspects are spread only after this time without a crash in their pool:
/// while endpoints go on crashing one of the suspects is at fault, and beside
/// others it would take more runs with it.
inline constexpr core::duration MinQuietTime = std::chrono::milliseconds(1500);

struct quarantine_plan {
  /// Where tasks may start now alone. The others wait.
  std::map<task_key, std::uint32_t> Starts;
  /// Tasks that waited for MaxTrialWait. They may start beside other runs on
  /// any endpoint, if possible on one without a suspect of the same crash.
  std::set<task_key> Spread;
  /// Endpoints on which nothing else may be placed.
  std::set<std::uint32_t> Reserved;
  std::size_t OnTrial = 0; ///< Tasks that run alone.
  std::size_t Waiting = 0; ///< Tasks without a run, also those that may start.
  core::duration OldestWait{};
};

/// \returns how long a suspect task has to be at work before it may have
/// neighbours.
/// \param RanMs shortest time from its starts to the crashes: a task that
/// crashes endpoints usually does it at the same time after each start.
core::duration trialTime(std::int64_t RanMs);

/// Decides where the suspect tasks of one pool may start.
///
/// Designed for a task that crashes each endpoint within milliseconds of its
/// start, on endpoints with about a dozen runs: the crash makes all of them
/// suspect, one of them rightly. Each suspect starts alone on an endpoint, so
/// that the next crash proves which task it was and loses no other run. At most
/// a third of the endpoints hold suspects at a time, so that many suspects do
/// not take the pool from the other tasks.
///
/// When many endpoints crash at once, hundreds of sound tasks are suspects and
/// trials one after the other would take longer than callers wait. A suspect
/// that has waited for MaxTrialWait is spread instead: it starts beside other
/// runs, but away from the suspects of the same crash, so that the next crash
/// still tells them apart.
class crash_quarantine {
public:
  /// \param Endpoints the endpoints of the pool that accept new runs.
  /// \param Tasks the suspect tasks of the pool that wait or are on trial.
  /// \param MayRun whether the task may run on the endpoint once that is empty.
  quarantine_plan
  plan(std::span<const quarantine_endpoint> Endpoints,
       std::span<const quarantined_task> Tasks,
       const std::function<bool(const task_key &, std::uint32_t)> &MayRun,
       core::time_point Now);

  /// Records that an endpoint of the pool crashed.
  void recordCrash(core::time_point Now) { LastCrash = Now; }

  /// Records the result of a round of placement.
  /// \param IsHeldUp whether a task that is no suspect fitted only an endpoint
  /// that is reserved.
  void recordPlacement(bool IsHeldUp, core::time_point Now);

  /// \returns whether the task had to wait for a trial in the newest plan.
  bool waitsForTrial(const task_key &Task) const;

private:
  /// Records since when each task waits.
  void updateWaits(
      std::span<const quarantine_endpoint> Endpoints,
      std::span<const quarantined_task> Tasks,
      const std::function<bool(const task_key &, std::uint32_t)> &MayRun,
      core::time_point Now);

  /// \returns how long a task had waited when the crash of its endpoint was
  /// proved, or 0 unless that was just now.
  core::duration silenceBefore(const quarantined_task &Task,
                               core::time_point Now) const;

  /// \returns whether the wait has lasted long enough, and no endpoint of the
  /// pool crashed lately.
  bool isWaitOver(core::time_point Since, core::time_point Now) const;

  struct wait {
    std::uint32_t Attempt = 0; ///< Of the run before.
    core::time_point Since{};
  };

  /// Endpoints that are to become empty, by the task that waits for them.
  std::map<task_key, std::uint32_t> Reservations;
  /// Since when tasks wait that could run. A new leader counts from its own
  /// start: the replicated state has no such time.
  std::map<task_key, wait> Waits;
  /// Tasks that were spread, until they wait anew or are no suspects.
  std::set<task_key> Spread;
  std::set<task_key> WithoutTrial; ///< Tasks that the newest plan holds up.
  /// Since when reservations have held up other tasks without a long break.
  std::optional<core::time_point> HeldUpSince;
  core::time_point LastHeldUp{};
  std::optional<core::time_point> LastCrash;
};

} // namespace lycheetrestle::scheduling

#endif
