#include "scheduling/placer.h"

#include "scheduling/job_order.h"
#include "scheduling/waiting_index.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <unordered_map>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

// Failed placements in a pool after which a round skips its remaining steps:
// those are rarely smaller, and with a large backlog each of them would cost a
// scan of all endpoints.
constexpr std::uint32_t MaxFailedPlacementsPerPool = 24;

bool fits(const resource_amounts &Free, const resource_amounts &Size) {
  return Size.fitsIn(Free);
}

/// \returns how many tasks of the size fit, at most the largest number.
std::uint32_t countFitting(const resource_amounts &Free,
                           const resource_amounts &Size) {
  auto Count = std::numeric_limits<std::uint32_t>::max();
  if (Size.MilliCores > 0)
    Count = std::min(Count, Free.MilliCores / Size.MilliCores);
  if (Size.MemoryMb > 0)
    Count = std::min(Count, Free.MemoryMb / Size.MemoryMb);
  if (Size.Accelerators > 0)
    Count = std::min(Count, Free.Accelerators / Size.Accelerators);
  return Count;
}

void subtract(resource_amounts &Free, const resource_amounts &Size) {
  Free.MilliCores -= Size.MilliCores;
  Free.MemoryMb -= Size.MemoryMb;
  Free.Accelerators -= Size.Accelerators;
}

bool hasLabel(const placement_target &Target, const std::string &Label) {
  return std::find(Target.Labels.begin(), Target.Labels.end(), Label) !=
         Target.Labels.end();
}

/// What is asked at most once in a round for an endpoint.
struct endpoint_answers {
  std::optional<bool> IsSchedulable;
  std::optional<bool> MayBeInterrupted;
};

/// One round of placement.
class placement_round {
public:
  placement_round(std::span<placement_target *const> Targets,
                  const placement_request &Request)
      : Request(Request) {
    for (auto *Target : Targets) {
      ByPool[Target->Pool].push_back(Target);
      HasReserved |= Target->IsReserved;
    }
  }

  void place(const waiting_step &Waiting) {
    if (!mayPlaceIn(Waiting.Job->Pool)) {
      if (Request.Report)
        recordPassedOver(Waiting.Job->Pool, 1);
      return;
    }
    if (Request.Report)
      ++Request.Report->Pools[Waiting.Job->Pool].Tried;
    auto Pool = ByPool.find(Waiting.Job->Pool);
    const auto &Spec = Waiting.Job->Spec.Steps[Waiting.Step];
    if (Spec.IsGang)
      placeGang(Waiting, Spec, Pool->second);
    else
      placeTasks(Waiting, Spec, Pool->second);
  }

  /// Places the tasks of the step that are suspects. An endpoint is reserved
  /// for each of them, so neither their rank nor a backlog holds them up.
  void placeSuspects(const waiting_step &Waiting) {
    auto Pool = ByPool.find(Waiting.Job->Pool);
    if (Pool == ByPool.end())
      return;
    PlacesSuspects = true;
    const auto &Spec = Waiting.Job->Spec.Steps[Waiting.Step];
    if (Spec.IsGang)
      placeGang(Waiting, Spec, Pool->second);
    else
      placeTasks(Waiting, Spec, Pool->second);
    PlacesSuspects = false;
  }

  /// \returns whether place() may still place a step of the pool.
  bool mayPlaceIn(const std::string &Pool) const {
    auto Failed = FailedPlacements.find(Pool);
    return ByPool.find(Pool) != ByPool.end() &&
           (Failed == FailedPlacements.end() ||
            Failed->second < MaxFailedPlacementsPerPool);
  }

  /// Records steps of the pool that were not tried.
  void recordPassedOver(const std::string &Pool, std::size_t Steps) {
    if (!Request.Report || Steps == 0)
      return;
    auto Reason = ByPool.find(Pool) == ByPool.end()
                      ? placement_failure::NoEndpoint
                      : placement_failure::Skipped;
    Request.Report->Pools[Pool][Reason] += Steps;
  }

  bool isFull() const { return Placements.size() >= Request.MaxStarts; }
  std::vector<placement> take() {
    if (Request.Report)
      for (const auto *Pool : PoolsOfPlacements)
        ++Request.Report->Pools[*Pool].Placed;
    return std::move(Placements);
  }

private:
  using target_list = std::vector<placement_target *>;

  task_key keyOf(const waiting_step &Waiting, std::uint32_t Index) const {
    return {Waiting.Job->Spec.Id, Waiting.Occurrence->Number, Waiting.Step,
            Index};
  }

  void placeTasks(const waiting_step &Waiting, const step_spec &Spec,
                  const target_list &Pool) {
    const auto &Tasks = Waiting.Occurrence->Steps[Waiting.Step].Tasks;
    std::optional<task_key> Held;
    auto HeldReason = placement_failure::Deferred;
    for (std::uint32_t Index = 0; Index != Tasks.size() && !isFull(); ++Index) {
      if (!Tasks[Index].isWaiting())
        continue;
      auto Key = keyOf(Waiting, Index);
      if (Request.IsDeferred && Request.IsDeferred(Key)) {
        if (!Held)
          Held = Key;
        continue;
      }
      auto Only = endpointFor(Waiting, Key);
      if (Only.has_value() != PlacesSuspects || Only == 0u) {
        if (!Held && Only == 0u) {
          Held = Key;
          HeldReason = placement_failure::Trial;
        }
        continue;
      }
      auto *Target = !Only && isTooLarge(Waiting.Job->Pool, Spec)
                         ? nullptr
                         : choose(Waiting, Spec, Key, Pool, "", Only);
      // A suspect that waits says nothing about the capacity of the pool.
      if (!Target && Only)
        continue;
      if (!Target) {
        recordTooLarge(Waiting.Job->Pool, Spec, Pool);
        if (Request.RecordHeldUp && HasReserved &&
            choose(Waiting, Spec, Key, Pool, "", AnyEndpoint))
          Request.RecordHeldUp(Waiting.Job->Pool);
        ++FailedPlacements[Waiting.Job->Pool];
        recordFailure(Waiting, Spec, Key,
                      [&] { return reasonOf(Waiting, Spec, Key, Pool); });
        return;
      }
      commit(Waiting, Spec, Key, Tasks[Index].Attempt + 1, *Target,
             Only.has_value());
    }
    if (Held && !PlacesSuspects)
      recordFailure(Waiting, Spec, *Held, [&] { return HeldReason; });
  }

  void placeGang(const waiting_step &Waiting, const step_spec &Spec,
                 const target_list &Pool) {
    const auto &Tasks = Waiting.Occurrence->Steps[Waiting.Step].Tasks;
    std::uint32_t Attempt = 0;
    bool HasSuspect = false;
    auto RecordHeld = [&](std::uint32_t Index, placement_failure Reason) {
      if (!PlacesSuspects)
        recordFailure(Waiting, Spec, keyOf(Waiting, Index),
                      [&] { return Reason; });
    };
    for (std::uint32_t Index = 0; Index != Tasks.size(); ++Index) {
      auto Only = endpointFor(Waiting, keyOf(Waiting, Index));
      if (Only == 0u) {
        RecordHeld(Index, placement_failure::Trial);
        return;
      }
      HasSuspect |= Only.has_value();
      // All members of an earlier attempt must have ended.
      if (!Tasks[Index].isWaiting())
        return;
      if (Request.IsDeferred && Request.IsDeferred(keyOf(Waiting, Index))) {
        RecordHeld(Index, placement_failure::Deferred);
        return;
      }
      Attempt = std::max(Attempt, Tasks[Index].Attempt + 1);
    }
    if (HasSuspect != PlacesSuspects)
      return;
    auto SavedCount = Placements.size();
    std::vector<std::string> Racks{""};
    if (Spec.PrefersSameRack)
      Racks = racksOf(Pool);
    for (const auto &Rack : Racks) {
      if (!hasRoomForGang(Waiting, Spec, Pool, Rack))
        continue;
      std::vector<placement_target> Saved;
      for (const auto *Target : Pool)
        Saved.push_back(*Target);
      if (placeMembers(Waiting, Spec, Pool, Rack, Attempt))
        return;
      for (std::size_t Index = 0; Index != Pool.size(); ++Index)
        *Pool[Index] = Saved[Index];
      Placements.resize(SavedCount);
      PoolsOfPlacements.resize(SavedCount);
    }
    if (HasSuspect)
      return;
    ++FailedPlacements[Waiting.Job->Pool];
    recordFailure(Waiting, Spec, keyOf(Waiting, 0), [&] {
      auto Reason = reasonOf(Waiting, Spec, keyOf(Waiting, 0), Pool);
      return Reason == placement_failure::Count ? placement_failure::GangRoom
                                                : Reason;
    });
    if (Request.RecordHeldUp &&
        std::any_of(Pool.begin(), Pool.end(), [&](const auto *Target) {
          return Target->IsReserved && fits(Target->Free, reservedSize(Spec));
        }))
      Request.RecordHeldUp(Waiting.Job->Pool);
  }

  /// \returns whether a task of this size or a smaller one had no room on any
  /// endpoint of the pool in this round. Most steps of a backlog have about the
  /// same size, and each would cost a pass over all endpoints.
  bool isTooLarge(const std::string &Pool, const step_spec &Spec) const {
    auto Found = TooLarge.find(Pool);
    if (Found == TooLarge.end())
      return false;
    auto Size = reservedSize(Spec);
    return std::any_of(
        Found->second.begin(), Found->second.end(),
        [&](const resource_amounts &Known) { return fits(Size, Known); });
  }

  /// Remembers the size if it is what kept the task from all endpoints.
  void recordTooLarge(const std::string &Pool, const step_spec &Spec,
                      const target_list &Targets) {
    auto Size = reservedSize(Spec);
    if (isTooLarge(Pool, Spec) ||
        std::any_of(Targets.begin(), Targets.end(), [&](const auto *Target) {
          return !Target->IsReserved && fits(Target->Free, Size);
        }))
      return;
    TooLarge[Pool].push_back(Size);
  }

  std::optional<std::uint32_t> endpointFor(const waiting_step &Waiting,
                                           const task_key &Key) const {
    if (!Request.EndpointFor || Waiting.Job->Suspects.empty())
      return std::nullopt;
    return Request.EndpointFor(Key);
  }

  /// \returns whether all members can be placed. The members are alike, so one
  /// pass over the endpoints decides it. Finding out by placing them considered
  /// an endpoint 554,400 times in one round for a gang of 10,000 tasks on 100
  /// endpoints; a leader that is busy for 600 ms loses its followers.
  bool hasRoomForGang(const waiting_step &Waiting, const step_spec &Spec,
                      const target_list &Pool, const std::string &Rack) const {
    auto Size = reservedSize(Spec);
    auto Key = keyOf(Waiting, 0);
    auto Step = stepKey(Key);
    std::uint64_t Room = 0;
    for (const auto *Target : Pool) {
      // A gang with suspects may use the endpoints that are reserved for them.
      if (Target->IsReserved && Waiting.Job->Suspects.empty())
        continue;
      auto Count = countFitting(Target->Free, Size);
      if (Spec.MaxPerEndpoint > 0) {
        auto Runs = Target->RunsByStep.find(Step);
        auto Present = Runs == Target->RunsByStep.end() ? 0u : Runs->second;
        Count = std::min(Count, Spec.MaxPerEndpoint -
                                    std::min(Spec.MaxPerEndpoint, Present));
      }
      if (Count == 0 || !isEligible(Waiting, Spec, Key, *Target, Rack))
        continue;
      Room += Count;
      if (Room >= Spec.Count)
        return true;
    }
    return false;
  }

  /// \returns whether the step may run on the endpoint, apart from its room.
  bool isEligible(const waiting_step &Waiting, const step_spec &Spec,
                  const task_key &Key, const placement_target &Target,
                  const std::string &Rack) const {
    return (Spec.RequiredLabel.empty() ||
            hasLabel(Target, Spec.RequiredLabel)) &&
           (Rack.empty() || Target.Rack == Rack) && isSchedulable(Target) &&
           (!Request.IsAllowed ||
            Request.IsAllowed(Key, *Waiting.Job, Target.Endpoint)) &&
           (!Spec.IsLongRunning || !mayBeInterrupted(Target));
  }

  bool isSchedulable(const placement_target &Target) const {
    if (!Request.IsSchedulable)
      return true;
    auto &Answer = Answers[Target.Endpoint].IsSchedulable;
    if (!Answer)
      Answer = Request.IsSchedulable(Target.Endpoint);
    return *Answer;
  }

  bool mayBeInterrupted(const placement_target &Target) const {
    if (!Request.MayBeInterrupted)
      return false;
    auto &Answer = Answers[Target.Endpoint].MayBeInterrupted;
    if (!Answer)
      Answer = Request.MayBeInterrupted(Target.Endpoint);
    return *Answer;
  }

  /// Records that the step ended with a task without a place.
  /// \param ReasonOf called only if there is a report.
  template <typename Callable>
  void recordFailure(const waiting_step &Waiting, const step_spec &Spec,
                     const task_key &Key, Callable &&ReasonOf) {
    if (!Request.Report)
      return;
    auto Reason = ReasonOf();
    ++Request.Report->Pools[Waiting.Job->Pool][Reason];
    if (Spec.IsLongRunning)
      Request.Report->LongRunning.emplace(Key, Reason);
  }

  /// \returns why the task, which is no suspect, has no place on the endpoint,
  /// or Count if it has one. Whether the endpoint accepts runs isn't checked.
  placement_failure reasonOn(const waiting_step &Waiting, const step_spec &Spec,
                             const task_key &Key,
                             const placement_target &Target) const {
    if (!fits(Target.Free, reservedSize(Spec)))
      return placement_failure::Size;
    if (!Spec.RequiredLabel.empty() && !hasLabel(Target, Spec.RequiredLabel))
      return placement_failure::Label;
    if (Target.IsReserved)
      return placement_failure::Reserved;
    if (Spec.MaxPerEndpoint > 0) {
      auto Runs = Target.RunsByStep.find(stepKey(Key));
      if (Runs != Target.RunsByStep.end() &&
          Runs->second >= Spec.MaxPerEndpoint)
        return placement_failure::Spread;
    }
    if (Spec.IsLongRunning && mayBeInterrupted(Target))
      return placement_failure::OrderedHost;
    if (Request.IsAllowed &&
        !Request.IsAllowed(Key, *Waiting.Job, Target.Endpoint))
      return placement_failure::Advice;
    return placement_failure::Count;
  }

  /// \returns the last of the reasons on all endpoints, or Count if the task
  /// has a place on one of them.
  placement_failure reasonOf(const waiting_step &Waiting, const step_spec &Spec,
                             const task_key &Key,
                             const target_list &Pool) const {
    // Sizes are known to be too large for the endpoints that aren't reserved.
    if (!HasReserved && isTooLarge(Waiting.Job->Pool, Spec))
      return placement_failure::Size;
    auto Last = placement_failure::NoEndpoint;
    for (const auto *Target : Pool)
      if (auto Reason = reasonOn(Waiting, Spec, Key, *Target);
          Reason > Last && isSchedulable(*Target))
        Last = Reason;
    return Last;
  }

  bool placeMembers(const waiting_step &Waiting, const step_spec &Spec,
                    const target_list &Pool, const std::string &Rack,
                    std::uint32_t Attempt) {
    for (std::uint32_t Index = 0; Index != Spec.Count; ++Index) {
      auto Key = keyOf(Waiting, Index);
      auto Only = endpointFor(Waiting, Key);
      auto *Target = choose(Waiting, Spec, Key, Pool, Rack, Only);
      // The suspect members of a gang may need more than one endpoint.
      if (!Target && Only && Rack.empty())
        Target = choose(Waiting, Spec, Key, Pool, Rack, std::nullopt);
      if (!Target)
        return false;
      commit(Waiting, Spec, Key, Attempt, *Target, Only.has_value());
    }
    return true;
  }

  /// \returns each rack of the pool, then "" for any rack.
  static std::vector<std::string> racksOf(const target_list &Pool) {
    std::vector<std::string> Racks;
    for (const auto *Target : Pool)
      if (std::find(Racks.begin(), Racks.end(), Target->Rack) == Racks.end())
        Racks.push_back(Target->Rack);
    Racks.push_back("");
    return Racks;
  }

  /// \param Only the endpoint that is reserved for the task, AnyEndpoint for a
  /// suspect that is spread, or nothing.
  placement_target *choose(const waiting_step &Waiting, const step_spec &Spec,
                           const task_key &Key, const target_list &Pool,
                           const std::string &Rack,
                           std::optional<std::uint32_t> Only) {
    auto Size = reservedSize(Spec);
    std::string Step;
    if (Spec.MaxPerEndpoint > 0)
      Step = stepKey(Key);
    bool IsSpread = Only == AnyEndpoint;
    std::vector<std::uint32_t> Crashes;
    if (IsSpread && Request.CrashesOf)
      Crashes = Request.CrashesOf(Key);
    placement_target *Best = nullptr;
    target_cost BestCost;
    for (auto *Target : Pool) {
      if (!IsSpread && (Only ? Target->Endpoint != *Only : Target->IsReserved))
        continue;
      if (!fits(Target->Free, Size))
        continue;
      if (Spec.MaxPerEndpoint > 0) {
        auto Runs = Target->RunsByStep.find(Step);
        if (Runs != Target->RunsByStep.end() &&
            Runs->second >= Spec.MaxPerEndpoint)
          continue;
      }
      target_cost Cost;
      if (IsSpread)
        Cost = {Target->IsReserved, countSharedCrashes(*Target, Crashes),
                Request.HostRisk ? Request.HostRisk(Key, Target->Endpoint) : 0,
                Target->Runs, 0};
      else
        Cost.Fit = costOf(Spec, *Target);
      // The costly check comes last.
      if ((Best && !(Cost < BestCost)) ||
          !isEligible(Waiting, Spec, Key, *Target, Rack))
        continue;
      Best = Target;
      BestCost = Cost;
    }
    return Best;
  }

  /// Compared member by member.
  struct target_cost {
    bool IsReserved = false;
    std::uint64_t SharedCrashes = 0;
    std::uint32_t HostRisk = 0;
    std::uint32_t Runs = 0;
    std::int64_t Fit = 0;
    // NOLINTNEXTLINE(readability-identifier-naming): see task_key.
    auto operator<=>(const target_cost &) const = default;
  };

  /// \returns how often a crash of a suspect is that of a suspect run on the
  /// endpoint.
  static std::uint64_t
  countSharedCrashes(const placement_target &Target,
                     std::span<const std::uint32_t> Crashes) {
    std::uint64_t Count = 0;
    for (auto Incarnation : Crashes)
      if (auto Found = Target.SuspectRuns.find(Incarnation);
          Found != Target.SuspectRuns.end())
        Count += Found->second;
    return Count;
  }

  static std::int64_t costOf(const step_spec &Spec,
                             const placement_target &Target) {
    // Each weight exceeds the sum of all later ones.
    constexpr std::int64_t DataRackPenalty = 100'000'000'000;
    constexpr std::int64_t InterferencePenalty = 1'000'000'000;
    constexpr std::int64_t MaintenancePenalty = 500'000'000;
    constexpr std::int64_t ColocationBonus = 10'000'000;
    std::int64_t Cost = Target.Free.MilliCores;
    if (!Spec.DataRack.empty() && Target.Rack != Spec.DataRack)
      Cost += DataRackPenalty;
    if (Spec.IsBestEffort)
      // Best-effort tasks use idle cores, so the emptiest endpoint is best.
      Cost = InterferencePenalty * Target.LatencySensitiveRuns -
             Target.Free.MilliCores;
    else if (Spec.TargetMs > 0)
      Cost = InterferencePenalty *
                 (Target.BestEffortRuns + Target.LatencySensitiveRuns) -
             Target.Free.MilliCores;
    // A host with long-running tasks cannot move, so these are packed on few
    // hosts.
    if (Spec.IsLongRunning && Target.LongRunning > 0)
      Cost -= ColocationBonus * Target.LongRunning;
    if (Spec.IsLongRunning && Target.IsMaintenanceDue)
      Cost += MaintenancePenalty;
    return Cost;
  }

  void commit(const waiting_step &Waiting, const step_spec &Spec,
              const task_key &Key, std::uint32_t Attempt,
              placement_target &Target, bool IsSuspect) {
    if (IsSuspect && Request.CrashesOf)
      for (auto Incarnation : Request.CrashesOf(Key))
        ++Target.SuspectRuns[Incarnation];
    auto Size = reservedSize(Spec);
    subtract(Target.Free, Size);
    Target.LatencySensitiveRuns += Spec.TargetMs > 0;
    Target.BestEffortRuns += Spec.IsBestEffort;
    Target.LongRunning += Spec.IsLongRunning;
    ++Target.Runs;
    if (Spec.MaxPerEndpoint > 0)
      ++Target.RunsByStep[stepKey(Key)];
    Placements.push_back({{Key, Attempt, Target.Endpoint}, Size});
    PoolsOfPlacements.push_back(&Waiting.Job->Pool);
  }

  const placement_request &Request;
  std::map<std::string, target_list> ByPool;
  std::map<std::string, std::uint32_t> FailedPlacements;
  /// Sizes for which no endpoint has room, by pool. Room only shrinks within a
  /// round.
  std::map<std::string, std::vector<resource_amounts>> TooLarge;
  bool HasReserved = false; ///< A target is reserved.
  mutable std::unordered_map<std::uint32_t, endpoint_answers> Answers;
  std::vector<placement> Placements;
  std::vector<const std::string *> PoolsOfPlacements; ///< Of each placement.
  bool PlacesSuspects = false;
};

} // namespace

void capacity_use::add(const resource_amounts &Size) {
  MilliCores += Size.MilliCores;
  MemoryMb += Size.MemoryMb;
  Accelerators += Size.Accelerators;
}

bool capacity_use::fits(const resource_amounts &Capacity) const {
  return MilliCores <= Capacity.MilliCores && MemoryMb <= Capacity.MemoryMb &&
         Accelerators <= Capacity.Accelerators;
}

resource_amounts capacity_use::freeOf(const resource_amounts &Capacity) const {
  auto Left = [](std::uint32_t Total, std::uint64_t Used) {
    return Used >= Total ? 0 : Total - static_cast<std::uint32_t>(Used);
  };
  return {Left(Capacity.MilliCores, MilliCores),
          Left(Capacity.MemoryMb, MemoryMb),
          Left(Capacity.Accelerators, Accelerators)};
}

std::string stepKey(const task_key &Task) {
  return Task.Job + "." + std::to_string(Task.Occurrence) + "." +
         std::to_string(Task.Step);
}

resource_amounts reservedSize(const step_spec &Step) {
  auto Size = Step.Size;
  if (Step.IsBestEffort)
    Size.MilliCores = 0;
  return Size;
}

bool hasWaitingTask(const job_spec &Spec, const occurrence_record &Occurrence,
                    std::uint32_t Step) {
  const auto &Record = Occurrence.Steps[Step];
  if (Record.Done == Spec.Steps[Step].Count)
    return false;
  for (auto Earlier : Spec.Steps[Step].DependsOn)
    if (Occurrence.Steps[Earlier].Done != Spec.Steps[Earlier].Count)
      return false;
  return std::any_of(Record.Tasks.begin(), Record.Tasks.end(),
                     [](const task_record &Task) { return Task.isWaiting(); });
}

std::vector<waiting_step> waitingSteps(const schedule_state &State,
                                       rank_cache &Ranks, std::int64_t NowMs) {
  std::vector<waiting_step> Waiting;
  for (const auto &[SubmittedMs, Id] : State.liveJobs()) {
    const auto *Job = State.findJob(Id);
    for (const auto &Occurrence : Job->OpenOccurrences) {
      std::optional<job_rank> Rank;
      for (std::uint32_t Step = 0; Step != Occurrence.Steps.size(); ++Step) {
        if (!hasWaitingTask(Job->Spec, Occurrence, Step))
          continue;
        if (!Rank)
          Rank = Ranks.rankOf(*Job, Occurrence, State.queueOf(*Job), NowMs);
        Waiting.push_back({*Rank, Job, &Occurrence, Step});
      }
    }
  }
  std::stable_sort(Waiting.begin(), Waiting.end(),
                   [](const waiting_step &Left, const waiting_step &Right) {
                     return Left.Rank < Right.Rank;
                   });
  return Waiting;
}

std::vector<placement> placeRuns(std::span<const waiting_step> Waiting,
                                 std::span<placement_target *const> Targets,
                                 const placement_request &Request) {
  placement_round Round(Targets, Request);
  if (Request.EndpointFor)
    for (const auto &Step : Waiting)
      if (!Step.Job->Suspects.empty())
        Round.placeSuspects(Step);
  auto Next = Waiting.begin();
  for (; Next != Waiting.end() && !Round.isFull(); ++Next)
    Round.place(*Next);
  for (; Request.Report && Next != Waiting.end(); ++Next)
    Round.recordPassedOver(Next->Job->Pool, 1);
  return Round.take();
}

std::vector<placement> placeRuns(const waiting_index &Waiting,
                                 std::span<const waiting_step> Suspects,
                                 std::span<placement_target *const> Targets,
                                 const placement_request &Request) {
  placement_round Round(Targets, Request);
  if (Request.EndpointFor)
    for (const auto &Step : Suspects)
      Round.placeSuspects(Step);
  struct pool_cursor {
    const std::string *Pool;
    waiting_index::step_set::const_iterator Next;
    waiting_index::step_set::const_iterator End;
    std::size_t Left; ///< Steps from Next on.
  };
  std::vector<pool_cursor> Cursors;
  for (const auto &[Pool, Steps] : Waiting.pools())
    Cursors.push_back({&Pool, Steps.begin(), Steps.end(), Steps.size()});
  // Merges the pools by rank, because all of them share the limit of starts.
  while (!Round.isFull()) {
    std::erase_if(Cursors, [&](const pool_cursor &Cursor) {
      if (Cursor.Next != Cursor.End && Round.mayPlaceIn(*Cursor.Pool))
        return false;
      Round.recordPassedOver(*Cursor.Pool, Cursor.Left);
      return true;
    });
    auto First =
        std::min_element(Cursors.begin(), Cursors.end(),
                         [](const pool_cursor &Left, const pool_cursor &Right) {
                           return *Left.Next < *Right.Next;
                         });
    if (First == Cursors.end())
      break;
    Round.place(First->Next->Step);
    ++First->Next;
    --First->Left;
  }
  for (const auto &Cursor : Cursors)
    Round.recordPassedOver(*Cursor.Pool, Cursor.Left);
  return Round.take();
}

} // namespace lycheetrestle::scheduling
