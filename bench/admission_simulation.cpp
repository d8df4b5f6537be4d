#include "bench/admission_simulation.h"

#include "admission/admission.h"
#include "admission/completion_calibration.h"
#include "scheduling/admission_demand.h"
#include "scheduling/job_order.h"
#include "scheduling/placer.h"
#include "scheduling/schedule_state.h"
#include "scheduling/waiting_index.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <utility>

namespace lycheetrestle::bench {

namespace {

using namespace scheduling;

constexpr int StepMs = 20;
constexpr int LoadIntervalMs = 100; // As at the leader.
constexpr std::size_t MaxStarts = 10'000;
constexpr std::uint32_t HostMilliCores = 64'000;
constexpr std::uint32_t MaxRetries = 4;
constexpr int TargetLatencyMs = 600;
constexpr std::array<double, ClassCount> Slack = {1.6, 2.2, 1.6};
constexpr const char *HostName = "q.example";

std::string prefixOf(std::uint32_t Class) {
  return "/q" + std::to_string(Class) + "/";
}

struct simulated_caller {
  submit_job Submit;
  std::vector<double> DurationsMs; ///< Of the steps.
  double ObjectiveMs = 0;
  int FirstMs = 0;
  int AcceptedMs = -1;
  int DoneMs = -1;
  std::int64_t PredictedMs = 0; ///< 0: none.
  caller_outcome Outcome;
};

struct running_task {
  int EndMs = 0;
  task_key Task;
  std::uint32_t Attempt = 0;
  bool operator>(const running_task &Other) const {
    return EndMs > Other.EndMs;
  }
};

/// \returns the jobs of a load by the time of their first submission.
std::vector<simulated_caller> makeCallers(const admission_load &Load) {
  std::mt19937_64 Random(Load.Seed);
  std::vector<simulated_caller> Callers;
  std::uniform_real_distribution<double> Duration(600, 2000);
  std::uniform_real_distribution<double> MilliCores(6000, 13'000);
  std::lognormal_distribution<double> Spread(-0.125, 0.5);
  // Declared durations have an error of nearly their own size.
  std::lognormal_distribution<double> Error(-0.4, 0.9);
  std::uniform_real_distribution<double> Chance(0, 1);
  double Backlog = 0;
  for (int NowMs = 0; NowMs < Load.Cycles * Load.CycleMs; NowMs += StepMs) {
    bool IsPeak = NowMs % Load.CycleMs < Load.PeakMs;
    Backlog += (IsPeak ? Load.Peak : Load.Between) * Load.Endpoints *
               HostMilliCores * StepMs;
    while (Backlog > 0) {
      simulated_caller Caller;
      auto Class = static_cast<std::uint32_t>(Random() % ClassCount);
      auto Id = "j" + std::to_string(Load.Seed) + "." +
                std::to_string(Callers.size());
      Caller.Submit.HostName = HostName;
      Caller.Submit.Path = prefixOf(Class) + Id;
      Caller.Submit.Job.Id = Id;
      Caller.Submit.IsOverRate = Chance(Random) < Load.OverRateShare;
      auto Steps = 1 + Random() % 2;
      double ChainMs = 0;
      for (std::uint64_t Index = 0; Index != Steps; ++Index) {
        step_spec Step;
        Step.Count = 1 + static_cast<std::uint32_t>(8 * Spread(Random));
        Step.Size.MilliCores = static_cast<std::uint32_t>(MilliCores(Random));
        double DurationMs = Duration(Random);
        Step.EstimateMs =
            static_cast<std::uint32_t>(1 + DurationMs * Error(Random));
        if (Index > 0)
          Step.DependsOn = {static_cast<std::uint32_t>(Index - 1)};
        ChainMs += DurationMs;
        Caller.Outcome.Work += Step.Count * Step.Size.MilliCores * DurationMs;
        Caller.DurationsMs.push_back(DurationMs);
        Caller.Submit.Job.Steps.push_back(Step);
      }
      Caller.ObjectiveMs = Slack.at(Class) * ChainMs + TargetLatencyMs;
      Caller.FirstMs = NowMs;
      Caller.Outcome.Class = Class;
      Caller.Outcome.IsOverRate = Caller.Submit.IsOverRate;
      Backlog -= Caller.Outcome.Work;
      Callers.push_back(std::move(Caller));
    }
  }
  return Callers;
}

class admission_simulation {
public:
  admission_simulation(admission_policy Policy, const admission_load &Load)
      : Policy(Policy), Load(Load), Callers(makeCallers(Load)) {
    configuration Configuration;
    Configuration.Version = 1;
    for (std::uint32_t Class = 0; Class != ClassCount; ++Class) {
      queue_spec Queue;
      Queue.HostName = HostName;
      Queue.PathPrefix = prefixOf(Class);
      Queue.Pool = "p";
      Queue.Priority = Class;
      Queue.MaxAttempts = 2;
      Queue.TimeoutMs = 3000;
      Queue.TargetLatencyMs = TargetLatencyMs;
      Queue.SlackThousandths =
          static_cast<std::uint32_t>(Slack.at(Class) * 1000);
      Configuration.Queues.push_back(Queue);
    }
    Configuration.Pools.push_back({"p", "", true, false});
    apply(set_configuration{Configuration});
    for (std::uint32_t Index = 0; Index != Load.Endpoints; ++Index) {
      endpoint_facts Facts;
      Facts.Id = "e" + std::to_string(Index);
      Facts.IncarnationMs = 1;
      Facts.Pool = "p";
      Facts.Capacity = {HostMilliCores, 1'000'000, 0};
      apply(record_endpoint{Facts});
    }
    for (std::size_t Index = 0; Index != Callers.size(); ++Index) {
      ByJob[Callers[Index].Submit.Job.Id] = Index;
      Submissions.emplace(Callers[Index].FirstMs, Index);
    }
  }

  std::vector<caller_outcome> simulate() {
    for (; !Submissions.empty() || !State.liveJobs().empty(); NowMs += StepMs) {
      finish();
      submit();
      start();
    }
    std::vector<caller_outcome> Outcomes;
    for (auto &Caller : Callers) {
      auto &Outcome = Caller.Outcome;
      Outcome.IsAccepted = Caller.AcceptedMs >= 0;
      Outcome.Stretch = (Caller.DoneMs - Caller.FirstMs) / Caller.ObjectiveMs;
      Outcome.AcceptedStretch =
          (Caller.DoneMs - Caller.AcceptedMs) / Caller.ObjectiveMs;
      Outcomes.push_back(Outcome);
    }
    return Outcomes;
  }

private:
  void apply(const command &Command) {
    State.apply(Command, NowMs);
    Waiting.recordApplied(Command);
  }

  void submit() {
    if (NowMs % LoadIntervalMs == 0)
      refreshLoad();
    while (!Submissions.empty() && Submissions.top().first <= NowMs) {
      auto Index = Submissions.top().second;
      Submissions.pop();
      auto &Caller = Callers[Index];
      if (auto RetryAfterS = refuse(Caller); RetryAfterS > 0) {
        if (++Caller.Outcome.Refusals <= MaxRetries)
          Submissions.emplace(NowMs + 1000 * static_cast<int>(RetryAfterS),
                              Index);
        continue;
      }
      Caller.AcceptedMs = NowMs;
      apply(Caller.Submit);
    }
  }

  /// \returns the Retry-After in seconds, or 0 when the job is accepted.
  std::uint32_t refuse(simulated_caller &Caller) {
    if (Policy != admission_policy::Decide)
      return 0;
    const auto *Queue =
        State.findQueue(Caller.Submit.HostName, Caller.Submit.Path);
    auto Job = admissionDemand(Caller.Submit, *Queue, Learned, NowMs);
    PoolLoad.LowRatio = Calibrations[Job.Priority].lowRatio();
    auto Decision = admission::decide(PoolLoad, Job, NowMs);
    if (Decision.Refusal)
      return Decision.RetryAfterS;
    auto Group = Job.IsOverRate ? admission::work_group::OverRate
                                : admission::work_group::InTime;
    PoolLoad.Committed.add({Group, Job.Priority}, Job.CoreMs, 1);
    PoolLoad.FreeMilliCores -= Job.WidthMilliCores;
    if (isCalibrating(Job, Decision, NowMs))
      Caller.PredictedMs = Decision.PredictedMs;
    return 0;
  }

  void refreshLoad() {
    PoolLoad = {};
    PoolLoad.IsKnown = true;
    Waiting.update(NowMs);
    for (const auto &Target : targets()) {
      PoolLoad.MilliCores += HostMilliCores;
      PoolLoad.FreeMilliCores += Target.Free.MilliCores;
    }
    if (auto Found = Waiting.committed().find("p");
        Found != Waiting.committed().end())
      PoolLoad.Committed = Found->second;
  }

  void finish() {
    while (!Running.empty() && Running.top().EndMs <= NowMs) {
      auto Task = Running.top();
      Running.pop();
      const auto &Job = *State.findJob(Task.Task.Job);
      auto &Caller = Callers[ByJob.at(Task.Task.Job)];
      Learned.record(Job, Job.Spec.Steps[Task.Task.Step].EstimateMs,
                     Caller.DurationsMs[Task.Task.Step]);
      apply(end_run{Task.Task, Task.Attempt, run_end::Done, ""});
      if (!isOver(State.findJob(Task.Task.Job)->State))
        continue;
      Caller.DoneMs = NowMs;
      if (Caller.PredictedMs > 0)
        Calibrations[Caller.Outcome.Class].record(
            static_cast<double>(Caller.PredictedMs), NowMs - Caller.AcceptedMs);
    }
  }

  void start() {
    std::vector<start_run> Starts;
    if (Policy == admission_policy::FirstComeFirstServed) {
      Starts = firstComeFirstServed();
    } else {
      Waiting.update(NowMs);
      auto Targets = targets();
      std::vector<placement_target *> Pointers;
      for (auto &Target : Targets)
        Pointers.push_back(&Target);
      placement_request Request;
      Request.MaxStarts = MaxStarts;
      for (auto &Placement : placeRuns(Waiting, {}, Pointers, Request))
        Starts.push_back(Placement.Start);
    }
    for (const auto &Start : Starts) {
      apply(Start);
      auto DurationMs =
          Callers[ByJob.at(Start.Task.Job)].DurationsMs[Start.Task.Step];
      Running.push(
          {NowMs + static_cast<int>(DurationMs), Start.Task, Start.Attempt});
    }
  }

  std::vector<placement_target> targets() const {
    std::vector<placement_target> Targets;
    for (const auto &[Number, Endpoint] : State.endpoints()) {
      placement_target Target;
      Target.Endpoint = Number;
      Target.Pool = "p";
      Target.Free = Endpoint.Facts.Capacity;
      for (const auto &Key : Endpoint.Runs)
        Target.Free.MilliCores -=
            State.findJob(Key.Job)->Spec.Steps[Key.Step].Size.MilliCores;
      Targets.push_back(std::move(Target));
    }
    return Targets;
  }

  std::vector<start_run> firstComeFirstServed() const {
    std::vector<start_run> Starts;
    auto Targets = targets();
    for (const auto &[SubmittedMs, Id] : State.liveJobs()) {
      const auto &Job = *State.findJob(Id);
      const auto &Occurrence = Job.OpenOccurrences.front();
      for (std::uint32_t Step = 0; Step != Occurrence.Steps.size(); ++Step) {
        const auto &Spec = Job.Spec.Steps[Step];
        if (!Spec.DependsOn.empty() &&
            Occurrence.Steps[Step - 1].Done != Job.Spec.Steps[Step - 1].Count)
          break;
        const auto &Tasks = Occurrence.Steps[Step].Tasks;
        for (std::uint32_t Index = 0; Index != Tasks.size(); ++Index) {
          if (!Tasks[Index].isWaiting())
            continue;
          auto Target = std::find_if(Targets.begin(), Targets.end(),
                                     [&](const placement_target &Candidate) {
                                       return Candidate.Free.MilliCores >=
                                              Spec.Size.MilliCores;
                                     });
          if (Target == Targets.end())
            return Starts;
          Target->Free.MilliCores -= Spec.Size.MilliCores;
          Starts.push_back({{Id, 0, Step, Index}, 1, Target->Endpoint});
        }
      }
    }
    return Starts;
  }

  using submission = std::pair<int, std::size_t>; ///< Time and caller.

  admission_policy Policy;
  admission_load Load;
  std::vector<simulated_caller> Callers;
  std::map<std::string, std::size_t> ByJob;
  std::priority_queue<submission, std::vector<submission>, std::greater<>>
      Submissions;
  schedule_state State;
  duration_models Learned;
  rank_cache Ranks{Learned};
  waiting_index Waiting{State, Ranks};
  admission::pool_load PoolLoad;
  std::map<std::uint32_t, admission::completion_calibration> Calibrations;
  std::priority_queue<running_task, std::vector<running_task>, std::greater<>>
      Running;
  int NowMs = 0;
};

/// \returns the shares over the outcomes that the predicate selects.
template <typename Predicate>
outcome_shares sharesOf(const std::vector<caller_outcome> &Outcomes,
                        Predicate &&IsSelected) {
  outcome_shares Shares;
  for (const auto &Outcome : Outcomes) {
    if (Outcome.IsOverRate || !IsSelected(Outcome))
      continue;
    ++Shares.Jobs;
    Shares.InTime += Outcome.isInTime();
    Shares.Late += Outcome.isUseful() && !Outcome.isInTime();
    Shares.InTimeSinceAccepted += Outcome.isInTimeSinceAccepted();
    Shares.Useless += Outcome.isUseless();
    Shares.Refused += !Outcome.IsAccepted;
  }
  double Jobs = static_cast<double>(std::max<std::size_t>(Shares.Jobs, 1));
  for (auto *Share : {&Shares.InTime, &Shares.Late, &Shares.InTimeSinceAccepted,
                      &Shares.Useless, &Shares.Refused})
    *Share /= Jobs;
  return Shares;
}

} // namespace

std::vector<caller_outcome> simulateAdmission(admission_policy Policy,
                                              const admission_load &Load) {
  return admission_simulation(Policy, Load).simulate();
}

admission_summary summarize(const std::vector<caller_outcome> &Outcomes) {
  admission_summary Summary;
  Summary.All = sharesOf(Outcomes, [](const auto &) { return true; });
  for (std::uint32_t Class = 0; Class != ClassCount; ++Class)
    Summary.Classes.at(Class) = sharesOf(
        Outcomes, [&](const auto &Outcome) { return Outcome.Class == Class; });
  std::vector<double> Works;
  for (const auto &Outcome : Outcomes)
    Works.push_back(Outcome.Work);
  std::sort(Works.begin(), Works.end());
  for (std::size_t Size = 0; Size != SizeCount && !Works.empty(); ++Size) {
    double Least = Works[Works.size() * Size / SizeCount];
    double Most = Works[Works.size() * (Size + 1) / SizeCount - 1];
    Summary.Sizes.at(Size) = sharesOf(Outcomes, [&](const auto &Outcome) {
      return Outcome.Work >= Least && Outcome.Work <= Most;
    });
  }
  return Summary;
}

double admission_summary::worstInTime() const {
  double Worst = 1;
  for (const auto &Shares : Classes)
    Worst = std::min(Worst, Shares.InTime);
  for (const auto &Shares : Sizes)
    Worst = std::min(Worst, Shares.InTime);
  return Worst;
}

} // namespace lycheetrestle::bench
