#include "core/event_log.h"
#include "scheduling/leader.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// Interval of the scan for steps that need advice; one call to the adviser
// takes longer than this.
constexpr core::duration AdviceInterval = milliseconds(50);
// Added to the decision time that the adviser declares.
constexpr core::duration AdviceGrace = milliseconds(1000);
// Limit of the time-out of a call, whatever the configuration declares: one
// call is made at a time, so all queues with advice wait for a silent adviser.
constexpr core::duration MaxAdviceTimeout = std::chrono::seconds(30);

} // namespace

void leader::requestAdvice(std::span<placement_target *const> Targets,
                           core::time_point Now) {
  if (!Settings.HasAdviser || Now < NextAdvice)
    return;
  NextAdvice = Now + AdviceInterval;
  if (!State.mayRequireAdvice())
    return;
  for (const auto &[SubmittedMs, Id] : State.liveJobs()) {
    const auto &Job = *State.findJob(Id);
    const auto *Queue = State.queueOf(Job);
    if (!Queue || !Queue->Advice)
      continue;
    for (const auto &Occurrence : Job.OpenOccurrences)
      for (std::uint32_t Step = 0; Step != Occurrence.Steps.size(); ++Step) {
        const auto &Spec = Job.Spec.Steps[Step];
        const auto &Tasks = Occurrence.Steps[Step].Tasks;
        if (std::none_of(Tasks.begin(), Tasks.end(),
                         [](const auto &Task) { return Task.isWaiting(); }))
          continue;
        auto Size = reservedSize(Spec);
        std::vector<std::string> Ids;
        for (const auto *Target : Targets)
          if (Target->Pool == Job.Pool &&
              Size.MilliCores <= Target->Free.MilliCores &&
              Size.MemoryMb <= Target->Free.MemoryMb &&
              Size.Accelerators <= Target->Free.Accelerators &&
              isSchedulable(TrackedEndpoints.find(Target->Endpoint)->second,
                            Now))
            Ids.push_back(
                State.endpoints().find(Target->Endpoint)->second.Facts.Id);
        Advice.request({Id, Occurrence.Number, Step, 0}, *Queue->Advice,
                       std::move(Ids), Now);
      }
  }
}

bool leader::isAllowed(const task_key &Key, const job_record &Job,
                       std::uint32_t Endpoint, core::time_point Now) const {
  const auto *Queue = State.queueOf(Job);
  if (!Queue || !Queue->Advice || !Settings.HasAdviser)
    return true;
  const auto &Id = State.endpoints().find(Endpoint)->second.Facts.Id;
  return Advice.ticket(Key, Id, Now).has_value();
}

void leader::addAdviceOrder(std::vector<order> &Orders, core::time_point Now) {
  if (!Settings.HasAdviser)
    return;
  auto Call = Advice.nextCall(Now);
  if (!Call)
    return;
  const auto *Job = State.findJob(Call->Step.Job);
  const auto *Queue = Job ? State.queueOf(*Job) : nullptr;
  core::duration Timeout = AdviceGrace;
  if (Queue && Queue->Advice)
    Timeout +=
        milliseconds(Queue->Advice->DecisionMs +
                     Queue->Advice->PerEndpointMs * Call->Endpoints.size());
  Timeout = std::min(Timeout, MaxAdviceTimeout);
  Metrics.add("advice_calls_total");
  addOrder(Orders, nullptr, std::move(*Call), Timeout, Now);
}

void leader::finishAdvice(const advise_order &Order, const order_result &Result,
                          core::time_point Now) {
  const auto *Answer = std::get_if<advice_answer>(&Result.Answer);
  const auto *NoAnswer = std::get_if<no_answer>(&Result.Answer);
  core::logEvent(Answer ? core::log_level::Info : core::log_level::Warning,
                 "advice_answered",
                 {{"job", Order.Step.Job},
                  {"occurrence", Order.Step.Occurrence},
                  {"step", Order.Step.Step},
                  {"asked", Order.Endpoints.size()},
                  {"allowed", Answer ? Answer->Allowed.size() : 0},
                  {"busy", Answer && Answer->IsBusy},
                  {"reason", NoAnswer ? NoAnswer->Reason : ""}});
  Advice.recordAnswer(Answer, Now);
  IsPlacementDue = true;
}

} // namespace lycheetrestle::scheduling
