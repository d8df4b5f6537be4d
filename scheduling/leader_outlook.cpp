#include "scheduling/admission_demand.h"
#include "scheduling/leader.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

// A new leader learns within this time which endpoints answer.
constexpr core::duration WarmUp = std::chrono::milliseconds(3000);
// Endpoints that are named for a reason.
constexpr std::size_t MaxNames = 5;

void add(std::map<std::string, refused_endpoints> &Others,
         std::string_view Reason, const std::string &Name) {
  auto &Entry = Others[std::string(Reason)];
  ++Entry.Count;
  if (Entry.Names.size() < MaxNames)
    Entry.Names.push_back(Name);
}

} // namespace

job_outlook leader::outlookOf(const job_record &Job,
                              const occurrence_record &Occurrence,
                              core::time_point Now, std::int64_t WallMs) {
  job_outlook Result;
  Result.IsLeaderNew = Now - StartedAt < WarmUp;
  // The cache would keep the rank of a job that is not submitted.
  const auto *Queue = State.queueOf(Job);
  Result.Rank = rankOf(Job, Occurrence, Queue, Durations.modelOf(Job), WallMs);
  waiting_index::indexed_step Place{
      Result.Rank, Job.SubmittedMs, Job.Spec.Id, Occurrence.Number, {}};
  if (auto Pool = Waiting.pools().find(Job.Pool); Pool != Waiting.pools().end())
    for (auto Step = Pool->second.begin();
         Step != Pool->second.end() && *Step < Place &&
         Result.StepsBefore != MaxStepsBefore;
         ++Step)
      ++Result.StepsBefore;
  auto Request = placementRequest(Now);
  // Advice is requested only for tasks of accepted jobs.
  if (State.findJob(Job.Spec.Id) != &Job) {
    Request.IsAllowed = {};
    Result.IsAdvicePending = Queue && Queue->Advice;
  }
  auto Orphaned = orphanedUse(Now);
  workspaces::start_budget Budget([&](std::string_view Workspace) {
    return accountOf(Workspace, Orphaned);
  });
  if (!Job.Workspace.empty()) {
    Request.Budget = &Budget;
    Result.Level = Shares.levelOf(Job.Pool, Job.Workspace);
    Result.Account = accountOf(Job.Workspace, Orphaned);
  }
  std::vector<placement_target *> Targets;
  for (auto *Tracked : candidateTargets(Job.Pool, Now))
    Targets.push_back(&Tracked->FreeCapacity);
  for (std::uint32_t Step = 0; Step != Occurrence.Steps.size(); ++Step) {
    if (!hasWaitingTask(Job.Spec, Occurrence, Step))
      continue;
    auto Found = explainPlacement({Result.Rank, &Job, &Occurrence, Step},
                                  Targets, Request);
    Result.Steps.push_back(describe(Found, Job, Occurrence, Step, Now));
  }
  return Result;
}

step_outlook leader::describe(const placement_outlook &Found,
                              const job_record &Job,
                              const occurrence_record &Occurrence,
                              std::uint32_t Step, core::time_point Now) const {
  step_outlook Result;
  Result.Step = Step;
  const auto &Tasks = Occurrence.Steps[Step].Tasks;
  Result.WaitingTasks = static_cast<std::size_t>(
      std::count_if(Tasks.begin(), Tasks.end(),
                    [](const task_record &Task) { return Task.isWaiting(); }));
  if (Found.Held)
    Result.Held = toText(*Found.Held);
  auto NameOf = [&](std::uint32_t Number) {
    auto Endpoint = State.endpoints().find(Number);
    return Endpoint == State.endpoints().end() ? std::string()
                                               : Endpoint->second.Facts.Id;
  };
  if (Found.Endpoint != 0)
    Result.Endpoint = NameOf(Found.Endpoint);
  for (const auto &[Number, Reason] : Found.Others)
    if (Reason == placement_failure::Count)
      add(Result.Others, "has_place", NameOf(Number));
    else if (Reason != placement_failure::NoEndpoint)
      add(Result.Others, toText(Reason), NameOf(Number));
  // The others of the pool accept no runs, so that none is tried on them.
  for (const auto &[Number, Tracked] : TrackedEndpoints) {
    auto Endpoint = State.endpoints().find(Number);
    if (Endpoint == State.endpoints().end() ||
        Endpoint->second.Facts.Pool != Job.Pool)
      continue;
    auto Use = useOf(Endpoint->second, Tracked, Now);
    if (Use != endpoint_use::Schedulable && Use != endpoint_use::Reserved)
      add(Result.Others, toText(Use), Endpoint->second.Facts.Id);
  }
  return Result;
}

std::optional<admission::decision> leader::estimate(const submit_job &Submit,
                                                    std::int64_t WallMs) const {
  const auto *Queue = State.findQueue(Submit.HostName, Submit.Path);
  if (!Queue || !hasAdmissionControl())
    return std::nullopt;
  auto Load = PoolLoads.find(Queue->Pool);
  if (Load == PoolLoads.end())
    return std::nullopt;
  auto Job = admissionDemand(Submit, *Queue, Durations, WallMs);
  auto Known = Load->second;
  auto Calibration = Calibrations.find(Job.Priority);
  Known.LowRatio = Calibration == Calibrations.end()
                       ? admission::completion_calibration().lowRatio()
                       : Calibration->second.lowRatio();
  return admission::decide(Known, Job, WallMs);
}

} // namespace lycheetrestle::scheduling
