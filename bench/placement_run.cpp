#include "bench/placement_run.h"

#include <cmath>

namespace lycheetrestle::bench {

using fleet::job_record;
using fleet::job_state;
using fleet::work_class;
using placement::action_kind;

namespace {

constexpr std::int64_t RoundMs = 200;
constexpr std::int64_t RunMs = 180'000;
constexpr std::int64_t UsageLagMs = 5000;
constexpr std::int64_t CheckpointMs = 200;
// Counted from the start of the job.
constexpr std::int64_t FinishedJobRetentionMs = 60'000;
constexpr std::size_t TeamCount = 24;
const char *const PoolNames[PoolCount] = {"p0", "p1", "p2", "p3", "p4"};

bool isRunning(const job_record &Job) {
  return Job.State == job_state::Running;
}

} // namespace

placement_run::placement_run(const deployment_shape &Shape, std::uint64_t Seed,
                             placer Plan, placement::placer_settings Settings)
    : Random(Seed), Plan(Plan), Settings(Settings) {
  for (std::uint32_t Index = 0; Index < Shape.Hosts; ++Index)
    Names.push_back("w" + std::to_string(100 + Index));
  for (std::uint32_t Index = 0; Index < Shape.Hosts; ++Index)
    Workers.push_back({Names[Index],
                       PoolNames[Index % PoolCount],
                       "z",
                       "r",
                       {Shape.Cores, Shape.MemoryMb, 0},
                       1,
                       true});
  for (std::size_t Index = 0; Index < TeamCount; ++Index) {
    Teams.push_back(
        {"t" + std::to_string(Index),
         {Shape.Cores * Shape.Hosts / 4, Shape.MemoryMb * Shape.Hosts / 4, 0}});
    TeamFactor.push_back(logUniform(0.15, 1.5));
  }
}

double placement_run::uniform(double Low, double High) {
  return std::uniform_real_distribution<double>(Low, High)(Random);
}

double placement_run::logUniform(double Low, double High) {
  return std::exp(uniform(std::log(Low), std::log(High)));
}

void placement_run::submit() {
  // By actual sizes, the jobs demand about 1.1 times the cores of the fleet.
  auto Cores = double(Workers.front().Size.Cores);
  auto Rate = double(Workers.size()) * RoundMs / 1000.0 / 9.0;
  auto Count = std::poisson_distribution<int>(Rate)(Random);
  for (int Index = 0; Index < Count; ++Index) {
    job_record Job;
    Job.Id = NextJob++;
    auto Team = Random() % TeamCount;
    Job.Team = Teams[Team].Name;
    Job.Pool = PoolNames[Random() % PoolCount];
    auto Draw = uniform(0, 1);
    Job.Class = Draw < 0.1   ? work_class::Urgent
                : Draw < 0.4 ? work_class::Normal
                             : work_class::Batch;
    Job.Declared.Cores =
        std::uint32_t(std::max(1.0, Cores * logUniform(0.05, 0.8)));
    Job.Declared.MemoryMb = std::uint64_t(
        double(Workers.front().Size.MemoryMb) * logUniform(0.03, 0.6));
    Job.SubmittedMs = NowMs;
    simulated_task Task;
    auto Factor = TeamFactor[Team] * logUniform(0.7, 1.4);
    Task.Used.Cores =
        std::uint32_t(std::clamp(Job.Declared.Cores * Factor, 1.0, Cores));
    Task.Used.MemoryMb =
        std::uint64_t(std::clamp(double(Job.Declared.MemoryMb) * Factor, 1.0,
                                 double(Workers.front().Size.MemoryMb)));
    Task.RemainingMs = std::int64_t(1000 * logUniform(10, 200));
    Jobs[Job.Id] = std::move(Job);
    Tasks[NextJob - 1] = Task;
  }
}

void placement_run::advance() {
  std::vector<std::uint64_t> Ended;
  for (auto &[Id, Job] : Jobs) {
    auto &Task = Tasks[Id];
    if (!isRunning(Job)) {
      // The state machine keeps finished jobs for a while, so they stay in the
      // input of the placer.
      if (Job.State == job_state::Succeeded &&
          NowMs - Task.StartedMs > FinishedJobRetentionMs)
        Ended.push_back(Id);
      continue;
    }
    Job.LeaseUntilMs = NowMs + Settings.LeaseMs;
    Task.RemainingMs -= RoundMs;
    if (NowMs - Task.StartedMs >= UsageLagMs)
      Job.Learned = Task.Used;
    if (Task.RemainingMs <= 0) {
      Job.State = job_state::Succeeded;
    } else if (Task.CheckpointAtMs >= 0 && NowMs >= Task.CheckpointAtMs) {
      Job.State = job_state::Checkpointed;
      Job.Host.clear();
      Task.CheckpointAtMs = -1;
    }
    Outcome.CoreHoursDone += Task.Used.Cores * RoundMs / 3.6e6;
  }
  for (auto Id : Ended) {
    Jobs.erase(Id);
    Tasks.erase(Id);
  }
}

void placement_run::apply(const placement::placement_action &Action) {
  if (Action.Kind == action_kind::SetAside)
    return;
  auto &Job = Jobs.at(Action.Job);
  auto &Task = Tasks.at(Action.Job);
  switch (Action.Kind) {
  case action_kind::Start:
    Job.State = job_state::Running;
    Job.Host = Action.Host;
    ++Job.Lease;
    Job.LeaseUntilMs = NowMs + Settings.LeaseMs;
    Task.StartedMs = NowMs;
    Task.CheckpointAtMs = -1;
    if (Job.Class == work_class::Urgent && !Task.HasStarted)
      Outcome.UrgentDelaySeconds.push_back(double(NowMs - Job.SubmittedMs) /
                                           1000);
    Task.HasStarted = true;
    return;
  case action_kind::Checkpoint:
    if (Task.CheckpointAtMs < 0) {
      Task.CheckpointAtMs = NowMs + CheckpointMs;
      ++Outcome.Preemptions;
    }
    return;
  case action_kind::Impossible:
    Job.State = job_state::Impossible;
    return;
  default:
    return;
  }
}

void placement_run::measure() {
  std::map<std::string, double> Cores, Memory;
  for (const auto &[Id, Job] : Jobs)
    if (isRunning(Job)) {
      Cores[Job.Host] += Tasks[Id].Used.Cores;
      Memory[Job.Host] += double(Tasks[Id].Used.MemoryMb);
    }
  for (const auto &Worker : Workers) {
    auto Name = std::string(Worker.Host);
    auto Use = std::max(Cores[Name] / Worker.Size.Cores,
                        Memory[Name] / double(Worker.Size.MemoryMb));
    Outcome.WorstOvercommit = std::max(Outcome.WorstOvercommit, Use);
    WorkerRounds += 1;
    OvercommittedRounds += Use > 1 ? 1 : 0;
  }
}

placement_outcome placement_run::run() {
  for (NowMs = 0; NowMs < RunMs; NowMs += RoundMs) {
    submit();
    advance();
    std::vector<job_record> List;
    List.reserve(Jobs.size());
    for (const auto &[Id, Job] : Jobs)
      List.push_back(Job);
    for (const auto &Action : Plan(Workers, List, Teams, NowMs, Settings))
      apply(Action);
    measure();
  }
  for (const auto &[Id, Job] : Jobs)
    if (Job.Class == work_class::Urgent && !Tasks[Id].HasStarted &&
        Job.State != job_state::Impossible)
      ++Outcome.UrgentWaiting;
  Outcome.OvercommittedShare = OvercommittedRounds / WorkerRounds;
  return std::move(Outcome);
}

} // namespace lycheetrestle::bench
