#include "scheduling/waiting_index.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>
#include <variant>

namespace lycheetrestle::scheduling {

namespace {

// Waiting tasks with at least this expected duration count with all their cores
// as demand; shorter tasks can use the same cores one after another.
constexpr double FullWeightMs = 1000;
// Jobs examined in one update() because learned durations have changed. 128
// take about half a millisecond, and with a round each 15 ms a backlog of 4,000
// jobs is examined within half a second.
constexpr std::size_t MaxRefreshedJobs = 128;

// Leading bits of an amount that tell two classes of requests apart. With
// three there are four classes for each doubling, so that a round merges few
// classes however many sizes a backlog has.
constexpr int ClassBits = 3;

// Expected rest of a running task as a share of its duration: rounds find tasks
// at any point of their runs.
constexpr double RunningShare = 0.5;
// Limit of the work of one occurrence in core-milliseconds, so that sums of
// estimates that callers declare stay within 64 bits.
constexpr double MaxOccurrenceWork = 1e12;

admission::work_group toWorkGroup(std::uint8_t Group) {
  switch (Group) {
  case LateGroup:
    return admission::work_group::Late;
  case OverRateGroup:
    return admission::work_group::OverRate;
  case ExpiredGroup:
    return admission::work_group::Expired;
  default:
    return admission::work_group::InTime;
  }
}

/// \returns the amount without all but its leading bits.
std::uint32_t leadingBits(std::uint32_t Amount) {
  auto Width = static_cast<int>(std::bit_width(Amount));
  auto Dropped = std::max(0, Width - ClassBits);
  return Amount >> Dropped << Dropped;
}

/// Calls Visit with each waiting step of the occurrence.
template <typename Callable>
void visitWaitingSteps(const job_record &Job,
                       const occurrence_record &Occurrence, Callable &&Visit) {
  for (std::uint32_t Step = 0; Step != Occurrence.Steps.size(); ++Step)
    if (hasWaitingTask(Job.Spec, Occurrence, Step))
      Visit(Step);
}

} // namespace

pool_demand &pool_demand::operator+=(const pool_demand &Other) {
  LongMilliCores += Other.LongMilliCores;
  ShortMilliCores += Other.ShortMilliCores;
  return *this;
}

pool_demand &pool_demand::operator-=(const pool_demand &Other) {
  LongMilliCores -= Other.LongMilliCores;
  ShortMilliCores -= Other.ShortMilliCores;
  return *this;
}

bool waiting_index::indexed_step::operator<(const indexed_step &Other) const {
  return std::tie(Rank, SubmittedMs, Job, Occurrence, Step.Step) <
         std::tie(Other.Rank, Other.SubmittedMs, Other.Job, Other.Occurrence,
                  Other.Step.Step);
}

bool waiting_index::request_class::operator<(const request_class &Other) const {
  return std::tie(Size.MilliCores, Size.MemoryMb, Size.Accelerators,
                  IsLongRunning, IsConstrained, RequiredLabel, Workspace) <
         std::tie(Other.Size.MilliCores, Other.Size.MemoryMb,
                  Other.Size.Accelerators, Other.IsLongRunning,
                  Other.IsConstrained, Other.RequiredLabel, Other.Workspace);
}

resource_amounts waiting_index::class_steps::leastSize() const {
  return {MilliCores.begin()->first, MemoryMb.begin()->first,
          Accelerators.begin()->first};
}

waiting_index::class_steps::rank_set::iterator
waiting_index::class_steps::insert(const indexed_step &Step,
                                   const resource_amounts &Size) {
  ++MilliCores[Size.MilliCores];
  ++MemoryMb[Size.MemoryMb];
  ++Accelerators[Size.Accelerators];
  return Steps.insert(&Step).first;
}

void waiting_index::class_steps::erase(rank_set::iterator Step,
                                       const resource_amounts &Size) {
  auto Remove = [](amount_counts &Counts, std::uint32_t Amount) {
    auto Found = Counts.find(Amount);
    if (--Found->second == 0)
      Counts.erase(Found);
  };
  Steps.erase(Step);
  Remove(MilliCores, Size.MilliCores);
  Remove(MemoryMb, Size.MemoryMb);
  Remove(Accelerators, Size.Accelerators);
}

waiting_index::request_class
waiting_index::classOf(const job_record &Job, const step_spec &Step) const {
  const auto *Queue = State.queueOf(Job);
  auto Size = reservedSize(Step);
  return {Step.RequiredLabel,
          Job.Workspace,
          Step.IsLongRunning,
          Step.MaxPerEndpoint > 0 || Step.IsGang || (Queue && Queue->Advice),
          {leadingBits(Size.MilliCores), leadingBits(Size.MemoryMb),
           leadingBits(Size.Accelerators)}};
}

void waiting_index::recordApplied(const command &Command) {
  if (const auto *Submit = std::get_if<submit_job>(&Command))
    Changed.insert(Submit->Job.Id);
  else if (const auto *Cancel = std::get_if<cancel_job>(&Command))
    Changed.insert(Cancel->Job);
  else if (const auto *Open = std::get_if<open_occurrence>(&Command))
    Changed.insert(Open->Job);
  else if (const auto *Start = std::get_if<start_run>(&Command))
    Changed.insert(Start->Task.Job);
  else if (const auto *End = std::get_if<end_run>(&Command))
    Changed.insert(End->Task.Job);
  else if (const auto *Fail = std::get_if<fail_job>(&Command))
    Changed.insert(Fail->Job);
  else if (std::holds_alternative<set_configuration>(Command))
    IsStale = true;
  // Waves and moves replace a hundred incarnations a second.
  Changed.insert(State.affectedJobs().begin(), State.affectedJobs().end());
}

void waiting_index::update(std::int64_t NowMs) {
  // Ranks that were computed at a later time are computed again.
  if (IsStale || NowMs < UpdatedMs) {
    rebuild(NowMs);
    return;
  }
  UpdatedMs = NowMs;
  for (auto Job = Due.begin(); Job != Due.end() && Job->first <= NowMs; ++Job)
    Changed.insert(Job->second);
  collectOutdated();
  auto Examined = std::exchange(Changed, {});
  // No step with outdated pointers is left when the first one is inserted.
  for (const auto &Id : Examined)
    erase(Id);
  for (const auto &Id : Examined)
    insert(Id, NowMs);
}

void waiting_index::collectOutdated() {
  auto Newest = Ranks.durations().revision();
  if (Outdated.empty() && Newest != Revision) {
    Revision = Newest;
    for (const auto &[Id, Entry] : Jobs)
      if (!Entry.Steps.empty())
        Outdated.push_back(Id);
  }
  for (std::size_t Count = 0; Count != MaxRefreshedJobs && !Outdated.empty();
       ++Count) {
    Changed.insert(std::move(Outdated.back()));
    Outdated.pop_back();
  }
}

void waiting_index::rebuild(std::int64_t NowMs) {
  Classes.clear();
  Pools.clear();
  Jobs.clear();
  Due.clear();
  Changed.clear();
  Outdated.clear();
  Demand.clear();
  Committed.clear();
  IsStale = false;
  UpdatedMs = NowMs;
  Revision = Ranks.durations().revision();
  for (const auto &[SubmittedMs, Id] : State.liveJobs())
    insert(Id, NowMs);
}

void waiting_index::erase(const std::string &Id) {
  auto Found = Jobs.find(Id);
  if (Found == Jobs.end())
    return;
  auto &Entry = Found->second;
  Demand[Entry.Pool] -= Entry.Demand;
  Committed[Entry.Pool] -= Entry.Committed;
  if (!Entry.Steps.empty()) {
    auto Pool = Pools.find(Entry.Pool);
    auto PoolClasses = Classes.find(Entry.Pool);
    for (std::size_t Index = 0; Index != Entry.Steps.size(); ++Index) {
      auto [Class, Step, Size] = Entry.Classes[Index];
      Class->second.erase(Step, Size);
      if (Class->second.byRank().empty())
        PoolClasses->second.erase(Class);
      Pool->second.erase(Entry.Steps[Index]);
    }
    if (Pool->second.empty()) {
      Pools.erase(Pool);
      Classes.erase(PoolClasses);
    }
    Due.erase({Entry.DueMs, Id});
  }
  Jobs.erase(Found);
}

void waiting_index::insert(const std::string &Id, std::int64_t NowMs) {
  ++ExaminedJobs;
  const auto *Job = State.findJob(Id);
  if (!Job || isOver(Job->State))
    return;
  job_entry Entry;
  Entry.Pool = Job->Pool;
  Entry.DueMs = std::numeric_limits<std::int64_t>::max();
  for (const auto &Occurrence : Job->OpenOccurrences) {
    std::optional<job_rank> Rank;
    visitWaitingSteps(*Job, Occurrence, [&](std::uint32_t Step) {
      if (!Rank)
        Rank = Ranks.rankOf(*Job, Occurrence, State.queueOf(*Job), NowMs);
      Entry.Steps.push_back(Pools[Job->Pool]
                                .insert({*Rank,
                                         Job->SubmittedMs,
                                         Id,
                                         Occurrence.Number,
                                         {*Rank, Job, &Occurrence, Step}})
                                .first);
      const auto &Spec = Job->Spec.Steps[Step];
      auto Size = reservedSize(Spec);
      auto Class = Classes[Job->Pool].try_emplace(classOf(*Job, Spec)).first;
      Entry.Classes.push_back(
          {Class, Class->second.insert(*Entry.Steps.back(), Size), Size});
    });
    // The next group begins in the millisecond after these times.
    if (Rank && Rank->Group == InTimeGroup)
      Entry.DueMs = std::min(Entry.DueMs, Rank->LatestStartMs + 1);
    else if (Rank && (Rank->Group == LateGroup || Rank->Group == OverRateGroup))
      Entry.DueMs = std::min(Entry.DueMs, Rank->LatestUsefulStartMs + 1);
    Entry.Demand += demandOf(*Job, Occurrence, Rank);
    addCommitted(Entry.Committed, *Job, Occurrence, Rank);
  }
  // Work that is committed waits or runs, so that there is demand or a step.
  if (Entry.Steps.empty() && Entry.Demand == pool_demand())
    return;
  Demand[Entry.Pool] += Entry.Demand;
  Committed[Entry.Pool] += Entry.Committed;
  if (!Entry.Steps.empty())
    Due.emplace(Entry.DueMs, Id);
  Jobs.emplace(Id, std::move(Entry));
}

pool_demand waiting_index::demandOf(const job_record &Job,
                                    const occurrence_record &Occurrence,
                                    const std::optional<job_rank> &Rank) const {
  pool_demand Demand;
  const auto &Model = Ranks.durations().modelOf(Job);
  for (std::uint32_t Step = 0; Step != Occurrence.Steps.size(); ++Step) {
    const auto &Spec = Job.Spec.Steps[Step];
    const auto &Tasks = Occurrence.Steps[Step].Tasks;
    std::int64_t MilliCores = reservedSize(Spec).MilliCores;
    if (Occurrence.Steps[Step].Done == Tasks.size())
      continue;
    std::int64_t Running = 0;
    std::int64_t Waiting = 0;
    for (const auto &Task : Tasks) {
      Running += Task.Endpoint != 0;
      Waiting += Task.isWaiting();
    }
    (Spec.IsLongRunning ? Demand.LongMilliCores : Demand.ShortMilliCores) +=
        MilliCores * Running;
    // Without a rank no step of the occurrence waits.
    if (!Rank || Waiting == 0 || !hasWaitingTask(Job.Spec, Occurrence, Step))
      continue;
    if (Spec.IsLongRunning)
      Demand.LongMilliCores += MilliCores * Waiting;
    else if (Rank->Group <= InTimeGroup)
      Demand.ShortMilliCores +=
          Waiting *
          std::llround(
              static_cast<double>(MilliCores) *
              std::min(1.0, Model.predictMs(Spec.EstimateMs) / FullWeightMs));
  }
  return Demand;
}

void waiting_index::addCommitted(admission::committed_work &Committed,
                                 const job_record &Job,
                                 const occurrence_record &Occurrence,
                                 const std::optional<job_rank> &Rank) const {
  if (Rank && Rank->Group == LongRunningGroup)
    return;
  const auto &Model = Ranks.durations().modelOf(Job);
  double Running = 0;
  double Waiting = 0;
  for (std::uint32_t Step = 0; Step != Occurrence.Steps.size(); ++Step) {
    const auto &Spec = Job.Spec.Steps[Step];
    const auto &Tasks = Occurrence.Steps[Step].Tasks;
    if (Spec.IsLongRunning || Occurrence.Steps[Step].Done == Tasks.size())
      continue;
    auto Started =
        std::count_if(Tasks.begin(), Tasks.end(), [](const task_record &Task) {
          return Task.Endpoint != 0;
        });
    double TaskWork = reservedSize(Spec).MilliCores / 1000.0 *
                      Model.predictMs(Spec.EstimateMs);
    Running += RunningShare * TaskWork * static_cast<double>(Started);
    Waiting += TaskWork *
               static_cast<double>(Tasks.size() - Occurrence.Steps[Step].Done -
                                   static_cast<std::size_t>(Started));
  }
  Committed.RunningCoreMs += std::llround(std::min(Running, MaxOccurrenceWork));
  auto WaitingCoreMs = std::llround(std::min(Waiting, MaxOccurrenceWork));
  if (WaitingCoreMs == 0)
    return;
  // Steps after running ones wait without a rank; their job was begun in time
  // as a rule.
  admission::work_class Class;
  const auto *Queue = State.queueOf(Job);
  Class.Priority = Rank ? Rank->Priority : Queue ? Queue->Priority : 0;
  if (Rank)
    Class.Group = toWorkGroup(Rank->Group);
  else if (Job.IsOverRate)
    Class.Group = admission::work_group::OverRate;
  Committed.add(Class, WaitingCoreMs, 1);
}

std::vector<waiting_step>
waiting_index::stepsOf(const std::set<std::string> &JobIds) const {
  std::vector<step_set::iterator> Found;
  for (const auto &Id : JobIds)
    if (auto Job = Jobs.find(Id); Job != Jobs.end())
      Found.insert(Found.end(), Job->second.Steps.begin(),
                   Job->second.Steps.end());
  std::sort(Found.begin(), Found.end(),
            [](auto Left, auto Right) { return *Left < *Right; });
  std::vector<waiting_step> Result;
  Result.reserve(Found.size());
  for (auto Step : Found)
    Result.push_back(Step->Step);
  return Result;
}

} // namespace lycheetrestle::scheduling
