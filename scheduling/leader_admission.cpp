#include "core/event_log.h"
#include "scheduling/job_order.h"
#include "scheduling/leader.h"

#include <algorithm>

namespace lycheetrestle::scheduling {

namespace {

std::int64_t toMs(core::duration Duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Duration)
      .count();
}

} // namespace

void leader::recordBacklogs(core::time_point Now) {
  for (const auto &[Pool, Backlog] : Waiting.backlogs())
    Admission.recordBacklog(
        Pool,
        std::any_of(Backlog.begin(), Backlog.end(),
                    [](const auto &Item) { return Item.second > 0; }),
        Now);
}

std::optional<core::duration> leader::checkAdmission(std::string_view HostName,
                                                     std::string_view Path,
                                                     const job_spec &Spec,
                                                     core::time_point Now) {
  const auto *Queue = State.findQueue(HostName, Path);
  // A job with a schedule or with long-running tasks has no deadline that a
  // peak could make it miss.
  if (!Queue || Spec.RepeatCount > 0 ||
      std::any_of(Spec.Steps.begin(), Spec.Steps.end(),
                  [](const step_spec &Step) { return Step.IsLongRunning; }))
    return std::nullopt;
  auto Backlog = Waiting.backlogs().find(Queue->Pool);
  if (Backlog == Waiting.backlogs().end())
    return std::nullopt;
  auto UsefulMs = usefulWaitMs(
      Spec, Queue, Durations.modelOf(Queue->HostName, Queue->PathPrefix));
  auto Refusal = Admission.check(Queue->Pool, Backlog->second, Queue->Priority,
                                 std::chrono::milliseconds(UsefulMs), Now);
  if (!Refusal)
    return std::nullopt;
  QueueLoad.recordRefused(*Queue, Spec);
  Metrics.add("jobs_refused_total");
  core::logEvent(core::log_level::Info, "job_refused",
                 {{"job", Spec.Id},
                  {"queue", Queue->HostName + Queue->PathPrefix},
                  {"pool", Queue->Pool},
                  {"waiting_tasks", Refusal->WaitingTasks},
                  {"starts_per_s", Refusal->StartsPerS},
                  {"expected_wait_ms", toMs(Refusal->ExpectedWait)},
                  {"useful_ms", UsefulMs},
                  {"retry_after_ms", toMs(Refusal->RetryAfter)},
                  {"verdict", "not-run"}});
  return Refusal->RetryAfter;
}

} // namespace lycheetrestle::scheduling
