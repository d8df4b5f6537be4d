#include "scheduling/leader_load.h"

#include "scheduling/leader.h"
#include "scheduling/pool_blockage.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

namespace lycheetrestle::scheduling {

namespace {

std::size_t countWaiting(const job_spec &Spec,
                         const occurrence_record &Occurrence) {
  std::size_t Waiting = 0;
  for (std::size_t Step = 0; Step != Occurrence.Steps.size(); ++Step) {
    const auto &DependsOn = Spec.Steps[Step].DependsOn;
    bool IsReady = std::all_of(
        DependsOn.begin(), DependsOn.end(), [&](std::uint32_t Earlier) {
          return Occurrence.Steps[Earlier].Done == Spec.Steps[Earlier].Count;
        });
    if (!IsReady)
      continue;
    const auto &Tasks = Occurrence.Steps[Step].Tasks;
    Waiting += static_cast<std::size_t>(
        std::count_if(Tasks.begin(), Tasks.end(), [](const task_record &Task) {
          return Task.isWaiting();
        }));
  }
  return Waiting;
}

} // namespace

std::string_view leader::waitsFor(const task_key &Task,
                                  const task_record &Record,
                                  const job_record &Job, bool IsBatchOpen,
                                  pool_flags &HasEndpoint,
                                  core::time_point Now) const {
  if (Record.Endpoint == 0) {
    if (DeferredTasks.find(Task) != DeferredTasks.end())
      return "retry_after_refusal";
    if (isOrphaned(Task, Now))
      return "end_of_orphan";
    // Looked up once for a pool, because hundreds of tasks may wait.
    auto [Pool, IsNew] = HasEndpoint.try_emplace(Job.Pool);
    if (IsNew)
      Pool->second = std::any_of(
          TrackedEndpoints.begin(), TrackedEndpoints.end(),
          [&](const auto &Item) {
            auto Endpoint = State.endpoints().find(Item.first);
            return Endpoint != State.endpoints().end() &&
                   Endpoint->second.Facts.Pool == Job.Pool &&
                   isSchedulable(Endpoint->second, Item.second, Now);
          });
    if (!Pool->second)
      return "endpoint";
    if (pauseLeft(Task, Now) > core::duration())
      return "crash_backoff";
    if (waitsForTrial(Task, Job))
      return "trial";
    if (IsBatchOpen)
      return "commit_of_decisions";
    auto Failure = failureOf(Task);
    return Failure ? toText(*Failure) : "capacity";
  }
  auto Tracked = TrackedEndpoints.find(Record.Endpoint);
  if (Tracked == TrackedEndpoints.end())
    return "end_of_incarnation";
  auto Run = Tracked->second.Runs.find(Task);
  if (Run == Tracked->second.Runs.end() || Run->second.IsEnded)
    return "commit_of_end";
  if (Tracked->second.HasEnded)
    return "next_incarnation";
  if (Tracked->second.IsSuspect)
    return "answer_or_lease_expiry";
  switch (Run->second.Phase) {
  case run_phase::Committed:
  case run_phase::Starting:
    return "start";
  case run_phase::Unconfirmed:
    return "list_of_runs";
  case run_phase::Stopping:
    return "stop";
  case run_phase::Running:
    return "startup";
  }
  return "unknown";
}

std::optional<placement_failure> leader::failureOf(task_key Task) const {
  // An entry for each task that waits for contact, and one for the first of the
  // other tasks of a step.
  auto IsOfStep = [&](task_key Other) {
    Other.Index = Task.Index;
    return Other == Task;
  };
  const auto &Failures = LastRound.LongRunning;
  auto Later = Failures.upper_bound(Task);
  if (Later != Failures.begin() && IsOfStep(std::prev(Later)->first))
    return std::prev(Later)->second;
  if (Later != Failures.end() && IsOfStep(Later->first))
    return Later->second;
  return std::nullopt;
}

void leader::describeEndpointOf(unserved_task &Task,
                                const tracked_endpoint &Tracked,
                                core::time_point Now) const {
  auto Record = State.endpoints().find(Tracked.Endpoint);
  Task.IsDraining =
      Record != State.endpoints().end() && Record->second.Facts.IsDraining;
  Task.HasDeregistered = Tracked.DeregisteredAt.has_value();
  Task.LeaseLeft = std::max(core::duration(), Tracked.LeaseExpiry - Now);
  if (Tracked.LastAnswer != core::time_point())
    Task.ContactAge = Now - Tracked.LastAnswer;
}

std::vector<unserved_task> leader::unservedTasks(core::time_point Now,
                                                 std::int64_t WallMs,
                                                 bool IsBatchOpen) {
  std::vector<unserved_task> Result;
  pool_flags HasEndpoint;
  std::map<task_key, core::time_point> Since;
  for (const auto &[SubmittedMs, Id] : State.liveJobs()) {
    const auto &Job = *State.findJob(Id);
    for (const auto &Occurrence : Job.OpenOccurrences)
      for (std::uint32_t Step = 0; Step != Occurrence.Steps.size(); ++Step) {
        if (!Job.Spec.Steps[Step].IsLongRunning)
          continue;
        const auto &Tasks = Occurrence.Steps[Step].Tasks;
        task_key Key{Id, Occurrence.Number, Step, 0};
        for (; Key.Index != Tasks.size(); ++Key.Index) {
          const auto &Record = Tasks[Key.Index];
          auto Tracked = TrackedEndpoints.find(Record.Endpoint);
          if (Tracked != TrackedEndpoints.end()) {
            auto Run = Tracked->second.Runs.find(Key);
            if (Run != Tracked->second.Runs.end() && !Run->second.IsEnded &&
                Run->second.Phase == run_phase::Running &&
                !Tracked->second.IsSuspect && Run->second.Percent >= 100)
              continue;
          }
          auto Known = UnservedSince.find(Key);
          auto Begin = Known == UnservedSince.end() ? Now : Known->second;
          Since.emplace(Key, Begin);
          unserved_task Task{
              Key, Now - Begin, Record.Endpoint,
              waitsFor(Key, Record, Job, IsBatchOpen, HasEndpoint, Now)};
          if (Tracked != TrackedEndpoints.end())
            describeEndpointOf(Task, Tracked->second, Now);
          if (Record.Attempt == 0 && Record.isWaiting() &&
              Job.Spec.RepeatCount == 0 &&
              Job.Spec.Steps[Step].DependsOn.empty())
            Task.Waiting = std::chrono::milliseconds(WallMs - SubmittedMs);
          Result.push_back(std::move(Task));
        }
      }
  }
  for (const auto &Id : State.suspectJobs()) {
    const auto &Job = *State.findJob(Id);
    for (const auto &Suspect : Job.Suspects) {
      task_key Key{Id, Suspect.Occurrence, Suspect.Step, Suspect.Index};
      const auto *Record = State.findTask(Key);
      if (!Suspect.isSuspect() || !Record || !Record->isWaiting() ||
          Job.Spec.Steps[Key.Step].IsLongRunning)
        continue;
      auto Known = UnservedSince.find(Key);
      auto Begin = Known == UnservedSince.end() ? Now : Known->second;
      Since.emplace(Key, Begin);
      Result.push_back(
          {Key, Now - Begin, 0,
           waitsFor(Key, *Record, Job, IsBatchOpen, HasEndpoint, Now)});
    }
  }
  for (auto &Task : Result)
    Task.PauseLeft = pauseLeft(Task.Task, Now);
  UnservedSince = std::move(Since);
  return Result;
}

leader_load leader::load(core::time_point Now, std::int64_t WallMs) const {
  leader_load Load;
  Load.LiveJobs = State.liveJobs().size();
  for (const auto &[SubmittedMs, Id] : State.liveJobs()) {
    const auto &Job = *State.findJob(Id);
    if (Job.State == job_state::Queued && Job.Spec.RepeatCount == 0)
      Load.OldestWaitMs = std::max(Load.OldestWaitMs, WallMs - SubmittedMs);
    for (const auto &Occurrence : Job.OpenOccurrences)
      Load.WaitingTasks += countWaiting(Job.Spec, Occurrence);
  }
  Load.PendingOrders = PendingOrders.size();
  Load.PendingStarts = PendingStarts;
  for (const auto &[Id, Pending] : PendingOrders) {
    if (std::holds_alternative<poll_order>(Pending.Order.Body))
      continue;
    auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now - Pending.SentAt);
    Load.OldestOrderMs =
        std::max<std::int64_t>(Load.OldestOrderMs, Age.count());
  }
  for (const auto &[Number, Tracked] : TrackedEndpoints)
    Load.SuspectEndpoints += Tracked.IsSuspect;
  return Load;
}

} // namespace lycheetrestle::scheduling
