#include "core/event_log.h"
#include "scheduling/leader.h"
#include "scheduling/workspace_load.h"

#include <algorithm>
#include <vector>

namespace lycheetrestle::scheduling {

namespace {

constexpr core::duration QueueLogInterval = std::chrono::seconds(1);
// Lines in one interval; those with the most waiting tasks come first.
constexpr std::size_t MaxQueueLines = 16;

} // namespace

void leader::countQueueLoad(const command &Command, apply_outcome Outcome) {
  if (Outcome != apply_outcome::Accepted)
    return;
  if (const auto *Submit = std::get_if<submit_job>(&Command)) {
    if (const auto *Job = State.findJob(Submit->Job.Id))
      QueueLoad.recordAccepted(*Job);
  } else if (const auto *Start = std::get_if<start_run>(&Command)) {
    if (const auto *Job = State.findJob(Start->Task.Job))
      QueueLoad.recordStart(*Job);
  } else if (const auto *End = std::get_if<end_run>(&Command)) {
    const auto *Job = State.findJob(End->Task.Job);
    if (Job && Job->State == job_state::Complete)
      QueueLoad.recordCompleted(*Job);
  }
}

void leader::logQueues(core::time_point Now, std::int64_t WallMs) {
  if (Now < NextQueueLog)
    return;
  NextQueueLog = Now + QueueLogInterval;
  logWorkspaceLoads(State, Metrics);
  Waiting.update(WallMs);
  auto Loads = QueueLoad.take(Waiting, WallMs);
  using item = decltype(Loads)::value_type;
  std::vector<const item *> Lines;
  for (const auto &Item : Loads)
    Lines.push_back(&Item);
  std::stable_sort(Lines.begin(), Lines.end(),
                   [](const item *Left, const item *Right) {
                     return Left->second.WaitingTasks.total() >
                            Right->second.WaitingTasks.total();
                   });
  Lines.resize(std::min(Lines.size(), MaxQueueLines));
  for (const auto *Line : Lines) {
    const auto &[Queue, Load] = *Line;
    // Counts of small jobs, the fifth below the largest tenth, and that tenth.
    core::logEvent(core::log_level::Info, "queue_load",
                   {{"queue", Queue.first + Queue.second},
                    {"pool", Load.Pool},
                    {"accepted_jobs", Load.AcceptedJobs.text()},
                    {"started_tasks", Load.StartedTasks.text()},
                    {"completed_jobs", Load.CompletedJobs.text()},
                    {"waiting_tasks", Load.WaitingTasks.text()},
                    {"oldest_wait_ms", Load.OldestWaitMs}});
  }
}

} // namespace lycheetrestle::scheduling
