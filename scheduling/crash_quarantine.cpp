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
// Added to twice the time that a suspect ran before: polls show a crash up to
// this much later.
constexpr std::int64_t TrialMarginMs = 1000;
// Longest time from a crash to the plan that follows it.
constexpr core::duration MaxPlanDelay = milliseconds(200);
// Polls and the list of hosts usually prove a crash within this time.
constexpr core::duration MaxSilence = std::chrono::seconds(1);
// Other tasks still count as held up after a shorter time in which some of them
// found room elsewhere.
constexpr core::duration MaxHoldBreak = milliseconds(500);

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

} // namespace

core::duration trialTime(std::int64_t RanMs) {
  return milliseconds(std::min(2 * RanMs + TrialMarginMs, SoundRunMs));
}

void crash_quarantine::updateWaits(
    std::span<const quarantine_endpoint> Endpoints,
    std::span<const quarantined_task> Tasks,
    const std::function<bool(const task_key &, std::uint32_t)> &MayRun,
    core::time_point Now) {
  auto Earlier = std::exchange(Waits, {});
  auto WasSpread = std::exchange(Spread, {});
  for (const auto &Task : Tasks) {
    if (Task.IsProven)
      continue;
    if (!Task.Endpoints.empty()) {
      if (WasSpread.count(Task.Task) > 0)
        Spread.insert(Task.Task);
      continue;
    }
    bool CouldRun = std::any_of(Endpoints.begin(), Endpoints.end(),
                                [&](const quarantine_endpoint &Endpoint) {
                                  return MayRun(Task.Task, Endpoint.Endpoint);
                                });
    if (!CouldRun)
      continue;
    auto Known = Earlier.find(Task.Task);
    bool IsKnown =
        Known != Earlier.end() && Known->second.Attempt == Task.Attempt;
    auto Since = IsKnown ? Known->second.Since : Now - silenceBefore(Task, Now);
    Waits[Task.Task] = {Task.Attempt, Since};
    if (isWaitOver(Since, Now))
      Spread.insert(Task.Task);
  }
}

core::duration crash_quarantine::silenceBefore(const quarantined_task &Task,
                                               core::time_point Now) const {
  bool IsNewCrash = LastCrash && Now - *LastCrash <= MaxPlanDelay;
  return IsNewCrash ? std::min(Task.Silence, MaxSilence) : core::duration();
}

bool crash_quarantine::isWaitOver(core::time_point Since,
                                  core::time_point Now) const {
  return Now - Since >= MaxTrialWait &&
         (!LastCrash || Now - *LastCrash >= MinQuietTime);
}

quarantine_plan crash_quarantine::plan(
    std::span<const quarantine_endpoint> Endpoints,
    std::span<const quarantined_task> Tasks,
    const std::function<bool(const task_key &, std::uint32_t)> &MayRun,
    core::time_point Now) {
  updateWaits(Endpoints, Tasks, MayRun, Now);
  quarantine_plan Plan;
  for (const auto &[Task, Wait] : Waits)
    Plan.OldestWait = std::max(Plan.OldestWait, Now - Wait.Since);
  auto Others = Endpoints.empty() ? 0 : Endpoints.size() - 1;
  auto Limit = std::max({Endpoints.size() / MaxShareDivisor,
                         std::min(MinTrials, Others), std::size_t(1)});
  // One task of a job at a time: its tasks often share the fault.
  std::set<std::string> Jobs;
  std::vector<const quarantined_task *> Waiting;
  bool HasProven = false;
  for (const auto &Task : Tasks) {
    Plan.Waiting += Task.Endpoints.empty();
    if (Spread.count(Task.Task) > 0) {
      if (Task.Endpoints.empty())
        Plan.Spread.insert(Task.Task);
      continue;
    }
    if (Task.Endpoints.empty()) {
      if (!Task.IsPaused)
        Waiting.push_back(&Task);
      continue;
    }
    HasProven |= Task.IsProven;
    Jobs.insert(Task.Task.Job);
    // A new leader does not know which tasks were spread.
    if (Plan.Reserved.size() >= Limit)
      continue;
    ++Plan.OnTrial;
    Plan.Reserved.insert(Task.Endpoints.begin(), Task.Endpoints.end());
  }
  // The task that crashed an endpoint is usually the one started last.
  std::sort(Waiting.begin(), Waiting.end(),
            [](const auto *Left, const auto *Right) {
              return std::tie(Left->RanMs, Left->Task) <
                     std::tie(Right->RanMs, Right->Task);
            });
  auto Earlier = std::exchange(Reservations, {});
  WithoutTrial.clear();
  for (const auto *Task : Waiting)
    if (Waits.count(Task->Task) > 0)
      WithoutTrial.insert(Task->Task);
  for (const auto *Task : Waiting) {
    if (Plan.Reserved.size() >= Limit)
      break;
    if (Jobs.count(Task->Task.Job) > 0 || (Task->IsProven && HasProven))
      continue;
    auto Free = candidates(Endpoints, *Task, Plan.Reserved, MayRun);
    if (Free.empty())
      continue;
    Jobs.insert(Task->Task.Job);
    HasProven |= Task->IsProven;
    auto ByRuns = [](const auto *Left, const auto *Right) {
      return Left->Runs < Right->Runs;
    };
    const auto *Fewest = *std::min_element(Free.begin(), Free.end(), ByRuns);
    const quarantine_endpoint *Reserved = nullptr;
    if (Fewest->Runs > 0) {
      auto Old = Earlier.find(Task->Task);
      for (const auto *Endpoint : Free) {
        if (Endpoint->LongRunning > 0)
          continue;
        bool IsOld = Old != Earlier.end() && Old->second == Endpoint->Endpoint;
        if (IsOld || !Reserved || Endpoint->Runs < Reserved->Runs)
          Reserved = Endpoint;
        if (IsOld)
          break;
      }
    }
    // Without an endpoint that becomes empty soon the task starts beside the
    // fewest other runs.
    const auto *Chosen = Reserved ? Reserved : Fewest;
    Plan.Reserved.insert(Chosen->Endpoint);
    if (Reserved) {
      Reservations[Task->Task] = Reserved->Endpoint;
    } else {
      Plan.Starts[Task->Task] = Chosen->Endpoint;
      WithoutTrial.erase(Task->Task);
    }
  }
  if (HeldUpSince && isWaitOver(*HeldUpSince, Now)) {
    Plan.Reserved.clear();
    HeldUpSince.reset();
  }
  return Plan;
}

void crash_quarantine::recordPlacement(bool IsHeldUp, core::time_point Now) {
  if (IsHeldUp) {
    if (!HeldUpSince)
      HeldUpSince = Now;
    LastHeldUp = Now;
  } else if (Now - LastHeldUp >= MaxHoldBreak) {
    HeldUpSince.reset();
  }
}

bool crash_quarantine::waitsForTrial(const task_key &Task) const {
  return WithoutTrial.count(Task) > 0;
}

} // namespace lycheetrestle::scheduling
