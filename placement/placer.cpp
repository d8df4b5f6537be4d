#include "placement/placer.h"

#include "placement/failure_counts.h"
#include "placement/preemption.h"
#include "placement/size_estimator.h"
#include "placement/worker_capacity.h"

#include <algorithm>
#include <optional>

namespace lycheetrestle::placement {

namespace {

using fleet::job_record;
using fleet::job_state;
using fleet::work_class;

bool failedOn(const job_record &Job, std::string_view Host) {
  return std::find(Job.FailedOn.begin(), Job.FailedOn.end(), Host) !=
         Job.FailedOn.end();
}

// Added to the score of a worker with accelerators for a job that needs none.
// It exceeds every score without it, because two shares sum to 2 at most.
constexpr double AcceleratorPenalty = 10;

// Share of the worker's cores plus share of its memory that stay free; smaller
// is a tighter fit. Workers with accelerators come last for jobs that need
// none, because no other worker can run jobs with accelerators.
double fitScore(const worker_capacity &Capacity, const resource_vector &Size) {
  const auto &WorkerSize = Capacity.Worker->Size;
  auto Share = [](std::int64_t Remaining, double Total) {
    return Total > 0 ? double(Remaining) / Total : 0.0;
  };
  auto Score = Share(Capacity.Free.Cores - Size.Cores, WorkerSize.Cores) +
               Share(Capacity.Free.MemoryMb - Size.MemoryMb,
                     double(WorkerSize.MemoryMb));
  if (WorkerSize.Accelerators > 0 && Size.Accelerators == 0)
    Score += AcceleratorPenalty;
  return Score;
}

fleet::resources elementwiseMin(const fleet::resources &Left,
                                const fleet::resources &Right) {
  return {std::min(Left.Cores, Right.Cores),
          std::min(Left.MemoryMb, Right.MemoryMb),
          std::min(Left.Accelerators, Right.Accelerators)};
}

// One call of planPlacement: reserves the resources of bound jobs, then places
// the waiting ones by class, submission and id.
class placement_round {
public:
  placement_round(std::span<const worker_view> Workers,
                  std::span<const job_record> Jobs,
                  std::span<const fleet::team_spec> Teams, std::int64_t NowMs,
                  const placer_settings &Settings)
      : Workers(Workers), Jobs(Jobs), NowMs(NowMs), Settings(Settings),
        Estimator(Jobs, Settings.ScaleDownByTeamUsage),
        Verdicts(classifyFailures(Workers, Jobs, Settings)),
        Capacities(Workers), Quotas(Teams) {}

  std::vector<placement_action> run() {
    setAsideBadWorkers();
    std::vector<const job_record *> Waiting;
    for (const auto &Job : Jobs) {
      if (isBound(Job))
        reserve(Job);
      else if ((Job.State == job_state::Waiting ||
                Job.State == job_state::Checkpointed) &&
               !Job.CancelRequested)
        Waiting.push_back(&Job);
      else if (Job.State == job_state::Failed && !Job.CancelRequested)
        retryOrReject(Job);
    }
    preemptOvercommitted();
    std::sort(Waiting.begin(), Waiting.end(), &placement_round::isBefore);
    for (const auto *Job : Waiting)
      place(*Job);
    return std::move(Actions);
  }

private:
  static bool isBefore(const job_record *Left, const job_record *Right) {
    if (Left->Class != Right->Class)
      return Left->Class < Right->Class;
    if (Left->SubmittedMs != Right->SubmittedMs)
      return Left->SubmittedMs < Right->SubmittedMs;
    return Left->Id < Right->Id;
  }

  void add(action_kind Kind, const job_record &Job, std::string_view Host,
           std::string Reason) {
    Actions.push_back({Kind, Job.Id, std::string(Host), 0, std::move(Reason)});
  }

  void setAsideBadWorkers() {
    for (const auto &Worker : Workers)
      if (Worker.InService && Verdicts.BadWorkers.count(Worker.Host) != 0)
        Actions.push_back({action_kind::SetAside, 0, std::string(Worker.Host),
                           Worker.Epoch, "distinct jobs failed on the worker"});
  }

  void retryOrReject(const job_record &Job) {
    if (Verdicts.BadJobs.count(Job.Id) != 0)
      add(action_kind::Impossible, Job, "", failedReason(Job));
    else
      add(action_kind::Retry, Job, "", "waits for another worker");
  }

  static std::string failedReason(const job_record &Job) {
    return "the job failed on " + std::to_string(Job.FailedOn.size()) +
           " different workers";
  }

  // An expired job keeps its resources in this round, because the expiry is
  // only a proposal until it is committed.
  void reserve(const job_record &Job) {
    auto Size = Estimator.estimate(Job);
    Quotas.charge(Job.Team, Size);
    bool Expired = isExpired(Job, NowMs, Settings);
    if (Expired)
      add(action_kind::ExpireLease, Job, Job.Host, "the lease expired");
    auto *Capacity = Capacities.find(Job.Host);
    if (!Capacity)
      return;
    // A job that uses more than its whole worker counts with the worker's size,
    // so that it keeps running when it is alone: checkpointing it would only
    // restart it on another worker.
    if (!resource_vector(Size).fitsIn(resource_vector(Capacity->Worker->Size)))
      Size = elementwiseMin(Size, Capacity->Worker->Size);
    Capacity->Free -= resource_vector(Size);
    // Urgent jobs are not placed on bad workers, so preempting there frees
    // nothing for them.
    if (Job.Class != work_class::Batch || Expired || Job.CancelRequested ||
        Verdicts.BadWorkers.count(Job.Host) != 0)
      return;
    Capacity->BatchJobs.push_back(&Job);
    Capacity->Preemptible += resource_vector(Size);
  }

  void preemptOvercommitted() {
    for (auto &Capacity : Capacities.all()) {
      const auto &Worker = *Capacity.Worker;
      auto Victims = chooseOvercommitVictims(Capacity, Estimator);
      for (const auto *Victim : Victims)
        add(action_kind::Checkpoint, *Victim, Worker.Host,
            "the jobs of the worker use more than it has");
      releaseVictims(Capacity, Victims, Estimator);
    }
  }

  std::optional<std::string> reasonImpossible(const job_record &Job,
                                              const fleet::resources &Size) {
    if (Verdicts.BadJobs.count(Job.Id) != 0)
      return failedReason(Job);
    const auto &Pool = Capacities.poolCapacities(Job.Pool);
    if (!Pool.empty() && !Job.FailedOn.empty() &&
        std::all_of(Pool.begin(), Pool.end(),
                    [&](const worker_capacity *Capacity) {
                      return failedOn(Job, Capacity->Worker->Host);
                    }))
      return "the job failed on every worker of pool " + Job.Pool;
    if (!Capacities.couldEverFit(Job.Pool, Size))
      return "no worker of pool " + Job.Pool + " has " +
             std::to_string(Size.Cores) + " cores, " +
             std::to_string(Size.MemoryMb) + " MB and " +
             std::to_string(Size.Accelerators) + " accelerators";
    if (!Quotas.couldEverAllow(Job.Team, Size))
      return "the job is larger than the quota of team " + Job.Team;
    return std::nullopt;
  }

  void place(const job_record &Job) {
    auto MinimumSize = Estimator.minimumSize(Job);
    if (auto Reason = reasonImpossible(Job, MinimumSize)) {
      add(action_kind::Impossible, Job, "", std::move(*Reason));
      return;
    }
    // The usage margin and the team's usage ratio must not make a job wait
    // forever that fits without them.
    auto Size = Estimator.estimate(Job);
    if (!Capacities.couldEverFit(Job.Pool, Size) ||
        !Quotas.couldEverAllow(Job.Team, Size))
      Size = MinimumSize;
    if (!Quotas.allows(Job.Team, Size))
      return;
    auto &Pool = Capacities.poolCapacities(Job.Pool);
    if (auto *Capacity = findTightest(Pool, Job, Size)) {
      Actions.push_back({action_kind::Start, Job.Id,
                         std::string(Capacity->Worker->Host),
                         Capacity->Worker->Epoch, ""});
      allocate(*Capacity, Job, Size);
    } else if (Job.Class == work_class::Urgent) {
      preempt(Pool, Job, Size);
    }
  }

  worker_capacity *findTightest(const std::vector<worker_capacity *> &Pool,
                                const job_record &Job,
                                const fleet::resources &Size) {
    // A job that is at least as large in every resource as one that fitted on
    // no worker in this round does not fit either. Jobs that have failed on
    // some workers are not recorded, because those workers are excluded for
    // them alone.
    auto &Unplaceable = UnplaceableByPool[Job.Pool];
    if (std::any_of(Unplaceable.begin(), Unplaceable.end(),
                    [&](const resource_vector &Recorded) {
                      return Recorded.fitsIn(resource_vector(Size));
                    }))
      return nullptr;
    worker_capacity *Best = nullptr;
    double BestScore = 0;
    for (auto *Capacity : Pool) {
      if (!Capacity->Worker->InService ||
          !resource_vector(Size).fitsIn(Capacity->Free) ||
          Verdicts.BadWorkers.count(Capacity->Worker->Host) != 0 ||
          failedOn(Job, Capacity->Worker->Host))
        continue;
      auto Score = fitScore(*Capacity, resource_vector(Size));
      if (Best && Score >= BestScore)
        continue;
      Best = Capacity;
      BestScore = Score;
    }
    if (!Best && Job.FailedOn.empty())
      Unplaceable.push_back(resource_vector(Size));
    return Best;
  }

  // Keeps the resources that the checkpoints free from the other jobs of this
  // round. Later rounds make the same choice until the checkpoints are complete
  // and the urgent job can start.
  void preempt(std::vector<worker_capacity *> &Pool, const job_record &Job,
               const fleet::resources &Size) {
    auto Choice = choosePreemption(Pool, Job, Size, Estimator);
    if (!Choice.Capacity)
      return;
    for (const auto *Victim : Choice.Victims)
      add(action_kind::Checkpoint, *Victim, Choice.Capacity->Worker->Host,
          "urgent job " + std::to_string(Job.Id) + " needs the room");
    releaseVictims(*Choice.Capacity, Choice.Victims, Estimator);
    Choice.Capacity->reserveAfterCheckpoints(resource_vector(Size));
    Quotas.charge(Job.Team, Size);
  }

  void allocate(worker_capacity &Capacity, const job_record &Job,
                const fleet::resources &Size) {
    Capacity.Free -= resource_vector(Size);
    Quotas.charge(Job.Team, Size);
  }

  std::span<const worker_view> Workers;
  std::span<const job_record> Jobs;
  std::int64_t NowMs;
  const placer_settings &Settings;
  size_estimator Estimator;
  failure_verdicts Verdicts;
  capacity_map Capacities;
  quota_ledger Quotas;
  std::unordered_map<std::string_view, std::vector<resource_vector>>
      UnplaceableByPool;
  std::vector<placement_action> Actions;
};

} // namespace

std::vector<placement_action>
planPlacement(std::span<const worker_view> Workers,
              std::span<const job_record> Jobs,
              std::span<const fleet::team_spec> Teams, std::int64_t NowMs,
              const placer_settings &Settings) {
  return placement_round(Workers, Jobs, Teams, NowMs, Settings).run();
}

} // namespace lycheetrestle::placement
