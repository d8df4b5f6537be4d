#include "bench/overload_simulation.h"

#include "scheduling/job_order.h"
#include "scheduling/placer.h"
#include "scheduling/schedule_state.h"
#include "scheduling/waiting_index.h"
#include "scheduling/workspace_shares.h"
#include "workspaces/rate_meter.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numbers>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace lycheetrestle::bench {

namespace {

using namespace scheduling;

constexpr int StepMs = 20;
constexpr std::size_t MaxStarts = 10'000; // In a step; more than ever wait.
constexpr std::uint32_t HostMilliCores = 64'000;
constexpr double MeanTaskMs = 640;
constexpr double MeanMilliCores = 3500;
constexpr int TargetLatencyMs = 600;
// A job is in time if it finishes within Slack times its critical path plus
// TargetLatencyMs.
constexpr double Slack = 1.6;
// Jobs are of use to their callers up to this many times their objective.
constexpr double LateFactor = 3;
constexpr double LateShare = 1.0 / 14;
constexpr double FixedWorth = 0.3;
constexpr double MaxWorth = 4;
constexpr const char *HostName = "q.example";
constexpr const char *Prefix = "/q/";

struct simulated_job {
  int SubmittedMs = 0;
  double ObjectiveMs = 0;
  double Work = 0; ///< In millicore-milliseconds.
  int DoneMs = -1;
  std::size_t Workspace = 0;
};

struct running_task {
  int EndMs = 0;
  task_key Task;
  std::uint32_t Attempt = 0;
  bool operator>(const running_task &Other) const {
    return EndMs > Other.EndMs;
  }
};

class overload_simulation {
public:
  overload_simulation(order_policy Policy, const overload_load &Load)
      : Policy(Policy), Load(Load), All{std::mt19937_64(Load.Seed)} {
    configuration Configuration;
    Configuration.Version = 1;
    queue_spec Queue;
    Queue.HostName = HostName;
    Queue.PathPrefix = Prefix;
    Queue.Pool = "p";
    Queue.MaxAttempts = 2;
    Queue.TimeoutMs = 3000;
    Queue.TargetLatencyMs = TargetLatencyMs;
    Queue.SlackThousandths = static_cast<std::uint32_t>(Slack * 1000);
    Configuration.Queues.push_back(Queue);
    Configuration.Pools.push_back({"p", "", true, false});
    for (std::size_t Index = 0; Index != Load.Workspaces.size(); ++Index) {
      workspaces::workspace_spec Spec;
      Spec.Name = nameOf(Index);
      Spec.Keys = {workspaces::digestOf(Spec.Name)};
      Spec.Weight = Load.Workspaces[Index].Weight;
      TotalWeight += Spec.Weight;
      Configuration.Workspaces.push_back(Spec);
      // One each, so that a burst does not change the jobs of the others.
      Sources.push_back({std::mt19937_64(Load.Seed * 1000 + Index)});
    }
    Configuration.RequiresKeys = !Load.Workspaces.empty();
    apply(set_configuration{Configuration});
    for (std::uint32_t Index = 0; Index != Load.Endpoints; ++Index) {
      endpoint_facts Facts;
      Facts.Id = "e" + std::to_string(Index);
      Facts.IncarnationMs = 1;
      Facts.Pool = "p";
      Facts.Capacity = {HostMilliCores, 1'000'000, 0};
      State.apply(record_endpoint{Facts}, 0);
    }
  }

  overload_result simulate() {
    for (NowMs = 0; NowMs < Load.PeakMs || !State.liveJobs().empty();
         NowMs += StepMs) {
      if (NowMs < Load.PeakMs)
        submit();
      finish();
      start();
    }
    return count();
  }

private:
  /// Creates the jobs of a workspace, or of all callers.
  struct job_source {
    std::mt19937_64 Random;
    double Backlog = 0; ///< Offered work without a job.
    std::size_t Jobs = 0;
  };

  static std::string nameOf(std::size_t Workspace) {
    return "w" + std::to_string(Workspace);
  }

  apply_outcome apply(const command &Command) {
    auto Outcome = State.apply(Command, NowMs);
    if (!Load.Workspaces.empty())
      Waiting.recordApplied(Command);
    return Outcome;
  }

  core::time_point now() const {
    return core::time_point(std::chrono::milliseconds(NowMs + 1));
  }

  void submit() {
    double Capacity = Load.Endpoints * HostMilliCores;
    if (!Load.Workspaces.empty()) {
      for (std::size_t Index = 0; Index != Sources.size(); ++Index) {
        bool IsBurst = Index == 0 && NowMs >= Load.BurstBeginMs &&
                       NowMs < Load.BurstBeginMs + Load.BurstMs;
        Sources[Index].Backlog += Load.Peak * Capacity * StepMs *
                                  Load.Workspaces[Index].Weight / TotalWeight *
                                  (IsBurst ? Load.Burst : 1);
        submit(Sources[Index], nameOf(Index) + "-", Index);
      }
      return;
    }
    // Half a sine from zero to the top and back.
    double Level = Load.Peak * std::sin(std::numbers::pi * NowMs / Load.PeakMs);
    All.Backlog += Level * Capacity * StepMs;
    submit(All, "j", 0);
  }

  void submit(job_source &Source, const std::string &IdPrefix,
              std::size_t Workspace) {
    auto &Random = Source.Random;
    std::lognormal_distribution<double> Spread(-0.125, 0.5);
    while (Source.Backlog > 0) {
      auto Id = IdPrefix + std::to_string(Source.Jobs++);
      job_spec Job;
      Job.Id = Id;
      simulated_job Simulated;
      Simulated.SubmittedMs = NowMs;
      Simulated.Workspace = Workspace;
      auto Steps = 1 + Random() % 2;
      double ChainMs = 0;
      for (std::uint64_t Index = 0; Index != Steps; ++Index) {
        step_spec Step;
        Step.Count = 1 + static_cast<std::uint32_t>(6 * Spread(Random));
        Step.Size.MilliCores =
            static_cast<std::uint32_t>(MeanMilliCores * Spread(Random));
        double DurationMs = MeanTaskMs * Spread(Random);
        // Declared durations have an error of nearly their own size.
        std::lognormal_distribution<double> Error(-0.4, 0.9);
        Step.EstimateMs =
            static_cast<std::uint32_t>(1 + DurationMs * Error(Random));
        if (Index > 0)
          Step.DependsOn = {static_cast<std::uint32_t>(Index - 1)};
        ChainMs += DurationMs;
        Simulated.Work += Step.Count * Step.Size.MilliCores * DurationMs;
        Durations[Id].push_back(DurationMs);
        Job.Steps.push_back(Step);
      }
      Simulated.ObjectiveMs = Slack * ChainMs + TargetLatencyMs;
      Source.Backlog -= Simulated.Work;
      Jobs[Id] = Simulated;
      submit_job Submit{HostName, Prefix + Id, std::move(Job)};
      if (!Load.Workspaces.empty()) {
        auto Name = nameOf(Workspace);
        Submit.KeyDigest = workspaces::digestOf(Name);
        Submit.IsOverRate =
            Load.UsesRates &&
            !Rates.take(Name, Load.Workspaces[Workspace].Weight, now());
      }
      apply(Submit);
    }
  }

  void finish() {
    while (!Running.empty() && Running.top().EndMs <= NowMs) {
      auto Task = Running.top();
      Running.pop();
      const auto &Job = *State.findJob(Task.Task.Job);
      Learned.record(Job, Job.Spec.Steps[Task.Task.Step].EstimateMs,
                     Durations[Task.Task.Job][Task.Task.Step]);
      apply(end_run{Task.Task, Task.Attempt, run_end::Done, ""});
      if (isOver(State.findJob(Task.Task.Job)->State))
        Jobs[Task.Task.Job].DoneMs = NowMs;
    }
  }

  /// \returns how many tasks the scheduler can start in this step.
  std::size_t mayStart() const {
    return Load.StartsPerS == 0
               ? MaxStarts
               : static_cast<std::size_t>(std::max(0.0, StartBudget));
  }

  void start() {
    // A scheduler does not save up time.
    StartBudget =
        std::min(1.0, StartBudget) + Load.StartsPerS * StepMs / 1000.0;
    std::vector<start_run> Starts;
    if (Policy != order_policy::FirstComeFirstServed) {
      auto Targets = targets();
      placement_request Request;
      Request.MaxStarts = mayStart();
      std::vector<placement_target *> Pointers;
      for (auto &Target : Targets)
        Pointers.push_back(&Target);
      if (!Load.Workspaces.empty()) {
        for (auto &Placement : placeByShares(Pointers, Request))
          Starts.push_back(Placement.Start);
        return startAll(Starts);
      }
      auto Steps = waitingSteps(State, Ranks, NowMs);
      if (Policy == order_policy::SmallestFirst)
        std::stable_sort(
            Steps.begin(), Steps.end(),
            [](const waiting_step &Left, const waiting_step &Right) {
              return keyOf(Left.Rank) < keyOf(Right.Rank);
            });
      for (auto &Placement : placeRuns(Steps, Pointers, Request))
        Starts.push_back(Placement.Start);
    } else {
      Starts = firstComeFirstServed();
      Starts.resize(std::min(Starts.size(), mayStart()));
    }
    startAll(Starts);
  }

  std::vector<placement> placeByShares(std::vector<placement_target *> &Targets,
                                       placement_request &Request) {
    Waiting.update(NowMs);
    Shares.update(State, Waiting, now());
    if (Load.UsesShares)
      Request.LevelOf = [this](const std::string &Pool,
                               const std::string &Name) {
        return Shares.levelOf(Pool, Name);
      };
    return placeRuns(Waiting, {}, Targets, Request);
  }

  void startAll(const std::vector<start_run> &Starts) {
    StartBudget -= static_cast<double>(Starts.size());
    for (const auto &Start : Starts) {
      apply(Start);
      auto DurationMs = Durations[Start.Task.Job][Start.Task.Step];
      Running.push(
          {NowMs + static_cast<int>(DurationMs), Start.Task, Start.Attempt});
    }
  }

  static std::pair<bool, std::int64_t> keyOf(const job_rank &Rank) {
    return {Rank.Group != InTimeGroup, Rank.RemainingWork};
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

  static bool isServed(const simulated_job &Job) {
    return Job.DoneMs - Job.SubmittedMs <= LateFactor * Job.ObjectiveMs;
  }

  overload_result count() const {
    overload_result Result;
    Result.ByWorkspace.resize(Load.Workspaces.size());
    for (const auto &[Id, Job] : Jobs)
      if (!Load.Workspaces.empty()) {
        ++Result.ByWorkspace[Job.Workspace].Jobs;
        Result.ByWorkspace[Job.Workspace].Served += isServed(Job);
      }
    std::map<int, std::pair<std::uint32_t, std::uint32_t>> BySecond;
    std::vector<const simulated_job *> BySize;
    double MeanWork = 0;
    for (const auto &[Id, Job] : Jobs)
      MeanWork += Job.Work / static_cast<double>(Jobs.size());
    for (const auto &[Id, Job] : Jobs) {
      bool IsInTime = Job.DoneMs - Job.SubmittedMs <= Job.ObjectiveMs;
      double Worth = std::min(MaxWorth, FixedWorth + (1 - FixedWorth) *
                                                         Job.Work / MeanWork);
      Result.CreditOwed += Worth;
      if (isServed(Job))
        Result.Credit += IsInTime ? Worth : LateShare * Worth;
      ++Result.Jobs;
      (IsInTime ? Result.InTime : Result.Late) += 1;
      auto &Second = BySecond[Job.SubmittedMs / 1000];
      ++Second.first;
      Second.second += IsInTime;
      BySize.push_back(&Job);
    }
    for (const auto &[Second, Counts] : BySecond)
      Result.WorstSecondPercent = std::min(Result.WorstSecondPercent,
                                           100 * Counts.second / Counts.first);
    std::sort(BySize.begin(), BySize.end(),
              [](const auto *Left, const auto *Right) {
                return Left->Work > Right->Work;
              });
    for (std::size_t Index = 0; Index != BySize.size(); ++Index) {
      bool IsServed = isServed(*BySize[Index]);
      auto Add = [&](size_result &Size) {
        ++Size.Jobs;
        Size.Served += IsServed;
      };
      Add(Result.All);
      if (Index < BySize.size() / 10)
        Add(Result.LargestTenth);
      else if (Index < BySize.size() * 3 / 10)
        Add(Result.NextFifth);
    }
    return Result;
  }

  order_policy Policy;
  overload_load Load;
  job_source All;
  std::vector<job_source> Sources; ///< Of each workspace.
  double TotalWeight = 0;
  schedule_state State;
  duration_models Learned;
  rank_cache Ranks{Learned};
  waiting_index Waiting{State, Ranks};
  workspaces::rate_meter Rates;
  workspace_shares Shares;
  std::map<std::string, simulated_job> Jobs;
  std::map<std::string, std::vector<double>> Durations;
  std::priority_queue<running_task, std::vector<running_task>, std::greater<>>
      Running;
  double StartBudget = 0;
  int NowMs = 0;
};

} // namespace

overload_result simulateOverload(order_policy Policy,
                                 const overload_load &Load) {
  return overload_simulation(Policy, Load).simulate();
}

} // namespace lycheetrestle::bench
