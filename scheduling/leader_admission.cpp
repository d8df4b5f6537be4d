#include "core/event_log.h"
#include "scheduling/job_order.h"
#include "scheduling/leader.h"

#include <algorithm>

namespace lycheetrestle::scheduling {

namespace {

// Jobs over which the limits of a queue are averaged.
constexpr int LimitsSmoothing = 32;
constexpr std::int64_t MaxLimitMs = 3'600'000;

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
                    [](const auto &Item) {
                      return Item.second.InTime + Item.second.Late > 0;
                    }),
        Now);
}

wait_limits leader::typicalLimits(const queue_spec &Queue,
                                  const job_spec &Spec) {
  const auto &Model = Durations.modelOf(Queue.HostName, Queue.PathPrefix);
  // Extreme estimates exceed the range of a duration.
  auto Milliseconds = [](std::int64_t Ms) {
    return core::duration(
        std::chrono::milliseconds(std::clamp<std::int64_t>(Ms, 0, MaxLimitMs)));
  };
  wait_limits Own{Milliseconds(inTimeWaitMs(Spec, &Queue, Model)),
                  Milliseconds(usefulWaitMs(Spec, &Queue, Model))};
  auto &Typical =
      TypicalLimits.try_emplace({Queue.HostName, Queue.PathPrefix}, Own)
          .first->second;
  Typical.InTime += (Own.InTime - Typical.InTime) / LimitsSmoothing;
  Typical.OfAnyUse += (Own.OfAnyUse - Typical.OfAnyUse) / LimitsSmoothing;
  return Typical;
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
  auto Limits = typicalLimits(*Queue, Spec);
  auto Backlog = Waiting.backlogs().find(Queue->Pool);
  if (Backlog == Waiting.backlogs().end())
    return std::nullopt;
  auto Refusal = Admission.check(Queue->Pool, Backlog->second, Queue->Priority,
                                 Limits, Now);
  if (!Refusal)
    return std::nullopt;
  QueueLoad.recordRefused(*Queue, Spec);
  Metrics.add("jobs_refused_total");
  core::logEvent(core::log_level::Info, "job_refused",
                 {{"job", Spec.Id},
                  {"queue", Queue->HostName + Queue->PathPrefix},
                  {"pool", Queue->Pool},
                  {"in_time_tasks", Refusal->Ahead.InTime},
                  {"late_tasks", Refusal->Ahead.Late},
                  {"starts_per_s", Refusal->StartsPerS},
                  {"expected_wait_ms", toMs(Refusal->ExpectedWait)},
                  {"in_time_limit_ms", toMs(Limits.InTime)},
                  {"useful_limit_ms", toMs(Limits.OfAnyUse)},
                  {"retry_after_ms", toMs(Refusal->RetryAfter)},
                  {"verdict", "not-run"}});
  return Refusal->RetryAfter;
}

} // namespace lycheetrestle::scheduling
