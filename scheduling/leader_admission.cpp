#include "core/event_log.h"
#include "scheduling/admission_demand.h"
#include "scheduling/leader.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// Interval at which the capacity of pools is summed up over the endpoints.
constexpr core::duration LoadInterval = milliseconds(100);
// A new leader learns within this time which endpoints answer and what they
// run; until then it accepts every job.
constexpr core::duration WarmUp = milliseconds(3000);
// Time from the decision on a move to the first run on the host beyond the
// downtime of the move: an order, a heartbeat and a start.
constexpr std::int64_t MoveOverheadMs = 300;
// Predictions kept for jobs that are not over. More jobs than this wait only
// while no job completes.
constexpr std::size_t MaxPredictions = 8192;
constexpr core::duration RefusalLogInterval = std::chrono::seconds(1);
std::int64_t toMs(core::duration Duration) {
  return std::chrono::duration_cast<milliseconds>(Duration).count();
}

} // namespace

bool leader::hasAdmissionControl() const { return Settings.RefusesOverload; }

std::map<std::string, std::int64_t> leader::joiningMilliCores() const {
  std::map<std::string, std::int64_t> Joining;
  if (!Settings.HasPlatform)
    return Joining;
  std::int64_t Standby = 0;
  std::map<std::string, std::int64_t> Arriving;
  for (const auto &[Name, Row] : Hosts.Hosts) {
    auto Operation = Hosts.Operations.find(Name);
    const auto *Pool = State.findPool(Row.Pool);
    if (Operation != Hosts.Operations.end()) {
      if (!Operation->second.Wave)
        Arriving[Operation->second.TargetPool] += Row.Capacity.MilliCores;
    } else if (Pool && Pool->IsStandby && Row.State == host_state::Up &&
               Hosts.Cordoned.find(Name) == Hosts.Cordoned.end()) {
      Standby += Row.Capacity.MilliCores;
    }
  }
  auto SurplusOf = [&](const pool_spec &Pool) {
    auto Found = Hosts.SurplusCores.find(Pool.Name);
    bool HasSurplus = Found != Hosts.SurplusCores.end() && !Pool.IsStandby;
    return HasSurplus ? std::llround(1000 * std::max(0.0, Found->second)) : 0;
  };
  const auto &Pools = State.currentConfiguration().Pools;
  std::int64_t Surplus = 0;
  for (const auto &Pool : Pools)
    Surplus += SurplusOf(Pool);
  // A pool may get all that any other pool does not need.
  for (const auto &Pool : Pools)
    Joining[Pool.Name] =
        Standby + Arriving[Pool.Name] + Surplus - SurplusOf(Pool);
  return Joining;
}

void leader::refreshPoolLoads(core::time_point Now) {
  if (!hasAdmissionControl() || Now < NextPoolLoads)
    return;
  NextPoolLoads = Now + LoadInterval;
  PoolLoads.clear();
  auto Joining = joiningMilliCores();
  for (const auto &Pool : State.currentConfiguration().Pools) {
    auto &Load = PoolLoads[Pool.Name];
    Load.IsKnown = Now - StartedAt >= WarmUp;
    for (const auto *Tracked : candidateTargets(Pool.Name, Now)) {
      auto Record = State.endpoints().find(Tracked->Endpoint);
      if (Record == State.endpoints().end())
        continue;
      Load.MilliCores += Record->second.Facts.Capacity.MilliCores;
      Load.FreeMilliCores += Tracked->FreeCapacity.Free.MilliCores;
    }
    if (auto Found = Waiting.demand().find(Pool.Name);
        Found != Waiting.demand().end())
      Load.MilliCores -= Found->second.LongMilliCores;
    if (auto Found = Waiting.committed().find(Pool.Name);
        Found != Waiting.committed().end())
      Load.Committed = Found->second;
    Load.JoiningMilliCores = Joining[Pool.Name];
    Load.JoiningMs = Settings.MoveMs + MoveOverheadMs;
    auto CommittedCoreMs = Load.Committed.RunningCoreMs;
    for (const auto &[Class, Sum] : Load.Committed.Waiting)
      CommittedCoreMs += Sum.CoreMs;
    Metrics.set("admission_wait_ms{pool=\"" + Pool.Name + "\"}",
                static_cast<double>(admission::drainMs(Load, CommittedCoreMs)));
  }
  for (const auto &[Priority, Calibration] : Calibrations)
    Metrics.set("admission_calibration_ratio{priority=\"" +
                    std::to_string(Priority) + "\"}",
                Calibration.ratio());
}

std::optional<std::uint32_t> leader::refuse(const submit_job &Submit,
                                            core::time_point Now,
                                            std::int64_t WallMs) {
  if (!hasAdmissionControl())
    return std::nullopt;
  const auto *Queue = State.findQueue(Submit.HostName, Submit.Path);
  auto Load = Queue ? PoolLoads.find(Queue->Pool) : PoolLoads.end();
  if (Load == PoolLoads.end())
    return std::nullopt;
  auto Job = admissionDemand(Submit, *Queue, Durations, WallMs);
  Load->second.LowRatio = Calibrations[Job.Priority].lowRatio();
  auto Decision = admission::decide(Load->second, Job, WallMs);
  if (Decision.Refusal) {
    Metrics.add("jobs_refused_total{reason=\"" +
                std::string(toString(*Decision.Refusal)) + "\"}");
    logRefusal(Submit, *Queue, Decision, Now);
    return Decision.RetryAfterS;
  }
  if (Job.IsLongRunning)
    return std::nullopt;
  // Counts for the jobs that follow before the loads are refreshed.
  auto Group = Job.IsOverRate ? admission::work_group::OverRate
                              : admission::work_group::InTime;
  Load->second.Committed.add({Group, Job.Priority}, Job.CoreMs, 1);
  Load->second.FreeMilliCores -= Job.WidthMilliCores;
  if (isCalibrating(Job, Decision, WallMs) &&
      Predictions.size() < MaxPredictions)
    Predictions[Submit.Job.Id] = {Now, Decision.PredictedMs, Job.Priority};
  return std::nullopt;
}

void leader::recordCompletion(const job_record &Job, core::time_point Now) {
  auto Found = Predictions.find(Job.Spec.Id);
  if (Found == Predictions.end())
    return;
  if (Job.State == job_state::Complete)
    Calibrations[Found->second.Priority].record(
        static_cast<double>(Found->second.PredictedMs),
        static_cast<double>(toMs(Now - Found->second.SubmittedAt)));
  Predictions.erase(Found);
}

void leader::logRefusal(const submit_job &Submit, const queue_spec &Queue,
                        const admission::decision &Decision,
                        core::time_point Now) {
  ++UnloggedRefusals;
  if (Now < NextRefusalLog)
    return;
  NextRefusalLog = Now + RefusalLogInterval;
  core::logEvent(core::log_level::Info, "jobs_refused",
                 {{"jobs", std::exchange(UnloggedRefusals, 0)},
                  {"job", Submit.Job.Id},
                  {"pool", Queue.Pool},
                  {"reason", toString(*Decision.Refusal)},
                  {"wait_ms", Decision.WaitMs},
                  {"predicted_ms", Decision.PredictedMs},
                  {"priority", Queue.Priority},
                  {"calibration", Calibrations[Queue.Priority].ratio()},
                  {"retry_after_s", Decision.RetryAfterS}});
}

} // namespace lycheetrestle::scheduling
