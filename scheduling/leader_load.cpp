#include "scheduling/leader_load.h"

#include "scheduling/leader.h"

#include <algorithm>
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
