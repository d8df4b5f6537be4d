#include "scheduling/crash_quarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// Share of the endpoints of a pool that may hold suspect tasks.
constexpr std::size_t MaxShareDivisor = 3;
// A small pool tries this many at a time, as long as an endpoint is left to
// other tasks: trials of long-running tasks last seconds and hold up the
// others.
constexpr std::size_t MinTrials = 2;
// A reserved endpoint that is not empty after this time is used as it is: a
// task may not wait for the end of long runs.
constexpr core::duration MaxReservation = std::chrono::seconds(3);
// Added to twice the time that a suspect ran before: polls show a crash up to
// this much later.
constexpr std::int64_t TrialMarginMs = 1000;

/// \returns the endpoints that are free for the task; those whose host crashed
/// under it only when there is no other.
std::vector<const quarantine_endpoint *>
candidates(std::span<const quarantine_endpoint> Endpoints,
           const quarantined_task &Task,
           const std::set<std::uint32_t> &Reserved,
           const std::function<bool(const task_key &, std::uint32_t)> &MayRun) {
  std::vector<const quarantine_endpoint *> Others;
  std::vector<const quarantine_endpoint *> Crashed;
  for (const auto &Endpoint : Endpoints) {
    if (Reserved.count(Endpoint.Endpoint) > 0 ||
        !MayRun(Task.Task, Endpoint.Endpoint))
      continue;
    bool HasCrashed =
        !Endpoint.Host.empty() && Task.CrashedHosts.count(Endpoint.Host) > 0;
    (HasCrashed ? Crashed : Others).push_back(&Endpoint);
  }
  return Others.empty() ? Crashed : Others;
}

/// Sorts the tasks by the time of the crash that made them suspects, so that
/// none of them waits behind all later ones. The task that crashed an endpoint
/// is usually the one started last.
void sortByCrash(std::vector<const quarantined_task *> &Tasks) {
  std::map<std::uint32_t, std::int64_t> LastStartMs;
  for (const auto *Task : Tasks) {
    auto &Last =
        LastStartMs.try_emplace(Task->Crash, Task->StartedMs).first->second;
    Last = std::max(Last, Task->StartedMs);
  }
  std::sort(Tasks.begin(), Tasks.end(),
            [&](const auto *Left, const auto *Right) {
              return std::tie(LastStartMs[Left->Crash], Left->Crash,
                              Left->RanMs, Left->Task) <
                     std::tie(LastStartMs[Right->Crash], Right->Crash,
                              Right->RanMs, Right->Task);
            });
}

} // namespace

core::duration trialTime(std::int64_t RanMs) {
  return milliseconds(std::min(2 * RanMs + TrialMarginMs, SoundRunMs));
}

quarantine_plan crash_quarantine::plan(
    std::span<const quarantine_endpoint> Endpoints,
    std::span<const quarantined_task> Tasks,
    const std::function<bool(const task_key &, std::uint32_t)> &MayRun,
    core::time_point Now) {
  quarantine_plan Plan;
  // One task of a job at a time: its tasks often share the fault.
  std::set<std::string> Jobs;
  std::vector<const quarantined_task *> Waiting;
  for (const auto &Task : Tasks) {
    if (Task.Endpoints.empty()) {
      Waiting.push_back(&Task);
      continue;
    }
    Jobs.insert(Task.Task.Job);
    Plan.Reserved.insert(Task.Endpoints.begin(), Task.Endpoints.end());
  }
  sortByCrash(Waiting);
  auto Others = Endpoints.empty() ? 0 : Endpoints.size() - 1;
  auto Limit = std::max({Endpoints.size() / MaxShareDivisor,
                         std::min(MinTrials, Others), std::size_t(1)});
  auto Earlier = std::exchange(Reservations, {});
  for (const auto *Task : Waiting) {
    if (Plan.Reserved.size() >= Limit)
      break;
    if (Jobs.count(Task->Task.Job) > 0)
      continue;
    auto Free = candidates(Endpoints, *Task, Plan.Reserved, MayRun);
    if (Free.empty())
      continue;
    Jobs.insert(Task->Task.Job);
    auto ByRuns = [](const auto *Left, const auto *Right) {
      return Left->Runs < Right->Runs;
    };
    const auto *Fewest = *std::min_element(Free.begin(), Free.end(), ByRuns);
    const quarantine_endpoint *Reserved = nullptr;
    auto Since = Now;
    if (Fewest->Runs > 0) {
      auto Old = Earlier.find(Task->Task);
      for (const auto *Endpoint : Free) {
        if (Endpoint->LongRunning > 0)
          continue;
        bool IsOld =
            Old != Earlier.end() && Old->second.Endpoint == Endpoint->Endpoint;
        if (IsOld || !Reserved || Endpoint->Runs < Reserved->Runs)
          Reserved = Endpoint;
        if (IsOld) {
          Since = Old->second.Since;
          break;
        }
      }
    }
    // Without an endpoint that becomes empty soon the task starts beside the
    // fewest other runs.
    const auto *Chosen = Reserved ? Reserved : Fewest;
    Plan.Reserved.insert(Chosen->Endpoint);
    if (Reserved)
      Reservations[Task->Task] = {Reserved->Endpoint, Since};
    if (!Reserved || Now - Since >= MaxReservation)
      Plan.Starts[Task->Task] = Chosen->Endpoint;
  }
  return Plan;
}

} // namespace lycheetrestle::scheduling
