#include "scheduling/placer.h"

#include "scheduling/job_order.h"
#include "scheduling/placement_bound.h"
#include "scheduling/waiting_index.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <unordered_map>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

// Long-running steps of a class without room whose tasks a report names.
constexpr std::size_t MaxReportedSteps = 32;
// Steps of a class that a round tries although the limit of their workspace
// holds them. Sizes within a class differ by a quarter, so that a smaller step
// may fit, but a backlog of thousands is not searched for it.
constexpr std::size_t MaxLimitFailures = 32;

// Marks the bound of the steps of workspaces above their share. Steps must be
// asked about by rank, and these follow the others whatever their rank.
constexpr const char *SuffixAbove = "\nabove";

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
  std::optional<bool> IsUnanswered;
};

using target_list = std::vector<placement_target *>;

/// What no endpoint of a pool has room for in this round.
struct missing_room {
  resource_amounts Size;
  std::string RequiredLabel;
  bool IsLongRunning = false;
  placement_failure Reason = placement_failure::Size;
  /// \returns whether there is no room either for a step that asks for at least
  /// these amounts.
  bool covers(const resource_amounts &AtLeast, const std::string &Label,
              bool IsLong) const {
    return Size.fitsIn(AtLeast) && (IsLong || !IsLongRunning) &&
           (RequiredLabel.empty() || RequiredLabel == Label);
  }
};

/// A pool during a round of placement.
struct pool_round {
  target_list Targets;
  /// Most of each resource that is free on one endpoint, when the round began.
  resource_amounts MostFree;
  /// Room only shrinks within a round. No entry covers another.
  std::vector<missing_room> Missing;
  bool IsHeldUp = false; ///< RecordHeldUp was called.
  /// No endpoint has room for a step that is in time or late.
  bool IsShort = false;
  placement_counts *Counts = nullptr;

  const missing_room *findMissing(const resource_amounts &AtLeast,
                                  const std::string &Label,
                                  bool IsLongRunning) const {
    auto Found = std::find_if(
        Missing.begin(), Missing.end(), [&](const missing_room &Known) {
          return Known.covers(AtLeast, Label, IsLongRunning);
        });
    return Found == Missing.end() ? nullptr : &*Found;
  }
  const missing_room *findMissing(const step_spec &Spec) const {
    return findMissing(reservedSize(Spec), Spec.RequiredLabel,
                       Spec.IsLongRunning);
  }
};

/// One round of placement.
class placement_round {
public:
  placement_round(std::span<placement_target *const> Targets,
                  const placement_request &Request)
      : Request(Request) {
    for (auto *Target : Targets) {
      auto &Pool = Pools[Target->Pool];
      Pool.Targets.push_back(Target);
      auto &Most = Pool.MostFree;
      Most.MilliCores = std::max(Most.MilliCores, Target->Free.MilliCores);
      Most.MemoryMb = std::max(Most.MemoryMb, Target->Free.MemoryMb);
      Most.Accelerators =
          std::max(Most.Accelerators, Target->Free.Accelerators);
      HasReserved |= Target->IsReserved;
    }
    if (Request.Report)
      for (auto &[Name, Pool] : Pools)
        Pool.Counts = &Request.Report->Pools[Name];
  }

  /// \returns the pool, or null if it has no endpoint.
  pool_round *findPool(const std::string &Name) {
    auto Found = Pools.find(Name);
    return Found == Pools.end() ? nullptr : &Found->second;
  }

  /// \param Pool of the step's job.
  /// \returns 0, or how many endpoints were visited for a task that has no
  /// place although an endpoint has room for it; the number of tasks that were
  /// visited when the limit of the workspace holds it.
  std::size_t place(const waiting_step &Waiting, pool_round &Pool) {
    IsLimitReached = false;
    if (Pool.Counts)
      ++Pool.Counts->Tried;
    const auto &Spec = Waiting.Job->Spec.Steps[Waiting.Step];
    // Work above a rate would fill the room that a large task of others waits
    // for: each place is taken by a smaller task as soon as it is free.
    if (holdsOverRate(Pool) && Waiting.Rank.IsOverRate) {
      if (Pool.Counts)
        ++(*Pool.Counts)[placement_failure::Size];
      return 0;
    }
    if (!Spec.IsLongRunning && Waiting.Job->Suspects.empty())
      if (const auto *Missing = Pool.findMissing(Spec)) {
        if (Pool.Counts)
          ++(*Pool.Counts)[Missing->Reason];
        return 0;
      }
    return Spec.IsGang ? placeGang(Waiting, Spec, Pool)
                       : placeTasks(Waiting, Spec, Pool);
  }

  /// Places the tasks of the step that are suspects. An endpoint is reserved
  /// for each of them, so neither their rank nor a backlog holds them up.
  void placeSuspects(const waiting_step &Waiting) {
    auto *Pool = findPool(Waiting.Job->Pool);
    if (!Pool)
      return;
    PlacesSuspects = true;
    const auto &Spec = Waiting.Job->Spec.Steps[Waiting.Step];
    if (Spec.IsGang)
      placeGang(Waiting, Spec, *Pool);
    else
      placeTasks(Waiting, Spec, *Pool);
    PlacesSuspects = false;
  }

  /// Records steps of the pool that were not tried.
  void recordPassedOver(const std::string &Pool, std::size_t Steps,
                        placement_failure Reason) {
    if (Request.Report && Steps > 0)
      Request.Report->Pools[Pool][Reason] += Steps;
  }

  /// Records why the tasks of a long-running step were not tried.
  void recordPassedOver(const waiting_step &Waiting, placement_failure Reason) {
    const auto &Tasks = Waiting.Occurrence->Steps[Waiting.Step].Tasks;
    for (std::uint32_t Index = 0; Index != Tasks.size(); ++Index)
      if (Tasks[Index].isWaiting()) {
        Request.Report->LongRunning.emplace(keyOf(Waiting, Index), Reason);
        return;
      }
  }

  placement_outlook explain(const waiting_step &Waiting) {
    placement_outlook Outlook;
    const auto &Spec = Waiting.Job->Spec.Steps[Waiting.Step];
    const auto &Tasks = Waiting.Occurrence->Steps[Waiting.Step].Tasks;
    auto *Pool = findPool(Waiting.Job->Pool);
    if (!Pool) {
      Outlook.Held = placement_failure::NoEndpoint;
      return Outlook;
    }
    // A gang starts as a whole; of other steps the first task that may.
    std::optional<std::uint32_t> First;
    bool HasDeferred = false;
    for (std::uint32_t Index = 0; Index != Tasks.size(); ++Index) {
      if (!Tasks[Index].isWaiting()) {
        if (Spec.IsGang)
          return Outlook;
        continue;
      }
      bool IsDeferred =
          Request.IsDeferred && Request.IsDeferred(keyOf(Waiting, Index));
      HasDeferred |= IsDeferred;
      if (!First && !IsDeferred)
        First = Index;
    }
    if (!First && !HasDeferred)
      return Outlook;
    auto Key = keyOf(Waiting, First.value_or(0));
    if (!First || (Spec.IsGang && HasDeferred))
      Outlook.Held = placement_failure::Deferred;
    else if (!isWithinLimit(Waiting, Spec, Spec.IsGang ? Tasks.size() : 1))
      Outlook.Held = placement_failure::WorkspaceLimit;
    else if (Spec.IsGang && !hasRoomForGang(Waiting, Spec, Pool->Targets, ""))
      Outlook.Held = placement_failure::GangRoom;
    const auto *Best = Outlook.Held ? nullptr
                                    : choose(Waiting, Spec, Key, Pool->Targets,
                                             "", std::nullopt);
    if (Best)
      Outlook.Endpoint = Best->Endpoint;
    for (const auto *Target : Pool->Targets)
      if (Target != Best)
        Outlook.Others.emplace_back(Target->Endpoint,
                                    isSchedulable(*Target)
                                        ? reasonOn(Waiting, Spec, Key, *Target)
                                        : placement_failure::NoEndpoint);
    return Outlook;
  }

  bool isFull() const { return Placements.size() >= Request.MaxStarts; }
  /// \returns whether steps above a rate wait because others find no room.
  bool holdsOverRate(const pool_round &Pool) const {
    return Request.LevelOf && Pool.IsShort;
  }
  /// \returns whether the limit of the last placed step's workspace held a task
  /// of it back.
  bool isLimitReached() const { return IsLimitReached; }
  /// \returns whether the workspace may start a run of at least this size.
  bool mayStart(const std::string &Workspace, const resource_amounts &Least) {
    return !Request.Budget ||
           Request.Budget->allows(Workspace, {Least.MilliCores, Least.MemoryMb,
                                              Least.Accelerators});
  }
  std::vector<placement> take() {
    if (Request.Report)
      for (const auto *Pool : PoolsOfPlacements)
        ++Request.Report->Pools[*Pool].Placed;
    return std::move(Placements);
  }

private:
  bool isWithinLimit(const waiting_step &Waiting, const step_spec &Spec,
                     std::size_t Count) {
    if (!Request.Budget || Request.Budget->allows(Waiting.Job->Workspace,
                                                  usageOf(Spec).times(Count)))
      return true;
    IsLimitReached = true;
    return false;
  }

  task_key keyOf(const waiting_step &Waiting, std::uint32_t Index) const {
    return {Waiting.Job->Spec.Id, Waiting.Occurrence->Number, Waiting.Step,
            Index};
  }

  std::size_t placeTasks(const waiting_step &Waiting, const step_spec &Spec,
                         pool_round &Pool) {
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
      if (!isWithinLimit(Waiting, Spec, 1)) {
        recordFailure(Waiting, Spec, Key, placement_failure::WorkspaceLimit);
        return 1;
      }
      const auto *Missing = Only ? nullptr : Pool.findMissing(Spec);
      auto *Target = Missing
                         ? nullptr
                         : choose(Waiting, Spec, Key, Pool.Targets, "", Only);
      // A suspect that waits says nothing about the capacity of the pool.
      if (!Target && Only)
        continue;
      if (!Target) {
        if (!Missing && HasReserved && !Pool.IsHeldUp && Request.RecordHeldUp &&
            hasReservedRoom(Spec, Pool))
          recordHeldUp(Waiting, Pool);
        return recordNoPlace(Waiting, Spec, Key, Pool, Missing);
      }
      commit(Waiting, Spec, Key, Tasks[Index].Attempt + 1, *Target,
             Only.has_value());
    }
    if (Held && !PlacesSuspects)
      recordFailure(Waiting, Spec, *Held, HeldReason);
    return 0;
  }

  std::size_t placeGang(const waiting_step &Waiting, const step_spec &Spec,
                        pool_round &Pool) {
    const auto &Targets = Pool.Targets;
    const auto &Tasks = Waiting.Occurrence->Steps[Waiting.Step].Tasks;
    std::uint32_t Attempt = 0;
    bool HasSuspect = false;
    auto RecordHeld = [&](std::uint32_t Index, placement_failure Reason) {
      if (!PlacesSuspects)
        recordFailure(Waiting, Spec, keyOf(Waiting, Index), Reason);
    };
    for (std::uint32_t Index = 0; Index != Tasks.size(); ++Index) {
      auto Only = endpointFor(Waiting, keyOf(Waiting, Index));
      if (Only == 0u) {
        RecordHeld(Index, placement_failure::Trial);
        return 0;
      }
      HasSuspect |= Only.has_value();
      // All members of an earlier attempt must have ended.
      if (!Tasks[Index].isWaiting())
        return 0;
      if (Request.IsDeferred && Request.IsDeferred(keyOf(Waiting, Index))) {
        RecordHeld(Index, placement_failure::Deferred);
        return 0;
      }
      Attempt = std::max(Attempt, Tasks[Index].Attempt + 1);
    }
    if (HasSuspect != PlacesSuspects)
      return 0;
    auto Key = keyOf(Waiting, 0);
    if (!isWithinLimit(Waiting, Spec, Tasks.size())) {
      RecordHeld(0, placement_failure::WorkspaceLimit);
      return Tasks.size();
    }
    // A gang with suspects may use the endpoints that are reserved for them.
    const auto *Missing =
        Waiting.Job->Suspects.empty() ? Pool.findMissing(Spec) : nullptr;
    if (Missing)
      return recordNoPlace(Waiting, Spec, Key, Pool, Missing);
    auto SavedCount = Placements.size();
    std::vector<std::string> Racks{""};
    if (Spec.PrefersSameRack)
      Racks = racksOf(Targets);
    for (const auto &Rack : Racks) {
      if (!hasRoomForGang(Waiting, Spec, Targets, Rack))
        continue;
      std::vector<placement_target> Saved;
      for (const auto *Target : Targets)
        Saved.push_back(*Target);
      if (placeMembers(Waiting, Spec, Targets, Rack, Attempt))
        return 0;
      for (std::size_t Index = 0; Index != Targets.size(); ++Index)
        *Targets[Index] = Saved[Index];
      if (Request.Budget)
        Request.Budget->remove(
            Waiting.Job->Workspace,
            usageOf(Spec).times(Placements.size() - SavedCount));
      Placements.resize(SavedCount);
      PoolsOfPlacements.resize(SavedCount);
    }
    if (HasSuspect)
      return 0;
    if (Request.RecordHeldUp && !Pool.IsHeldUp && hasReservedRoom(Spec, Pool))
      recordHeldUp(Waiting, Pool);
    return Racks.size() * recordNoPlace(Waiting, Spec, Key, Pool, nullptr);
  }

  /// \returns whether an endpoint that is reserved has room for a task of the
  /// step. Other limits of the step do not count: smaller steps without them
  /// are passed over once this one has no room.
  bool hasReservedRoom(const step_spec &Spec, const pool_round &Pool) const {
    return std::any_of(Pool.Targets.begin(), Pool.Targets.end(),
                       [&](const auto *Target) {
                         return Target->IsReserved && hasRoom(Spec, *Target);
                       });
  }

  void recordHeldUp(const waiting_step &Waiting, pool_round &Pool) {
    Pool.IsHeldUp = true;
    Request.RecordHeldUp(Waiting.Job->Pool);
  }

  /// Records that a task that is no suspect has no place, and whether an
  /// endpoint has room for it at all. Most steps of a backlog have about the
  /// same size, and each would cost a pass over all endpoints.
  /// \param Missing the room that is known to be missing, or null.
  /// \returns the visits of endpoints if one has room, or 0.
  std::size_t recordNoPlace(const waiting_step &Waiting, const step_spec &Spec,
                            const task_key &Key, pool_round &Pool,
                            const missing_room *Missing) {
    if (Missing) {
      recordFailure(Waiting, Spec, Key, Missing->Reason);
      return 0;
    }
    bool HasRoom = std::any_of(
        Pool.Targets.begin(), Pool.Targets.end(), [&](const auto *Target) {
          return !Target->IsReserved && hasRoom(Spec, *Target);
        });
    auto Reason = placement_failure::Size;
    if (Request.Report)
      Reason = reasonOf(Waiting, Spec, Key, Pool.Targets);
    // Each member of the gang has a place, but not all at the same time.
    if (Reason == placement_failure::Count)
      Reason = gangFailure(Waiting, Spec, Key, Pool.Targets);
    recordFailure(Waiting, Spec, Key, Reason);
    if (HasRoom)
      return Pool.Targets.size();
    Pool.IsShort |=
        Waiting.Rank.Group == InTimeGroup || Waiting.Rank.Group == LateGroup;
    missing_room New{reservedSize(Spec), Spec.RequiredLabel, Spec.IsLongRunning,
                     Reason};
    std::erase_if(Pool.Missing, [&](const missing_room &Known) {
      return New.covers(Known.Size, Known.RequiredLabel, Known.IsLongRunning);
    });
    Pool.Missing.push_back(std::move(New));
    return 0;
  }

  /// \returns whether the endpoint has room for a task of any step that asks
  /// for the same.
  bool hasRoom(const step_spec &Spec, const placement_target &Target) const {
    return fits(Target.Free, reservedSize(Spec)) &&
           (Spec.RequiredLabel.empty() ||
            hasLabel(Target, Spec.RequiredLabel)) &&
           isSchedulable(Target) &&
           (!Spec.IsLongRunning || acceptsLongRunning(Target));
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
           (!Spec.IsLongRunning || acceptsLongRunning(Target));
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

  bool isUnanswered(const placement_target &Target) const {
    if (!Request.IsUnanswered)
      return false;
    auto &Answer = Answers[Target.Endpoint].IsUnanswered;
    if (!Answer)
      Answer = Request.IsUnanswered(Target.Endpoint);
    return *Answer;
  }

  bool acceptsLongRunning(const placement_target &Target) const {
    return !mayBeInterrupted(Target) && !isUnanswered(Target);
  }

  /// Records that the step ended with a task without a place.
  void recordFailure(const waiting_step &Waiting, const step_spec &Spec,
                     const task_key &Key, placement_failure Reason) {
    if (!Request.Report)
      return;
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
    if (Spec.IsLongRunning && isUnanswered(Target))
      return placement_failure::Contact;
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
    auto Last = placement_failure::NoEndpoint;
    for (const auto *Target : Pool)
      if (auto Reason = reasonOn(Waiting, Spec, Key, *Target);
          Reason > Last && isSchedulable(*Target))
        Last = Reason;
    return Last;
  }

  /// \returns why a gang has no place although each member has one.
  placement_failure gangFailure(const waiting_step &Waiting,
                                const step_spec &Spec, const task_key &Key,
                                const target_list &Pool) const {
    bool HasUnanswered =
        std::any_of(Pool.begin(), Pool.end(), [&](const auto *Target) {
          return reasonOn(Waiting, Spec, Key, *Target) ==
                     placement_failure::Contact &&
                 isSchedulable(*Target);
        });
    return HasUnanswered ? placement_failure::Contact
                         : placement_failure::GangRoom;
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
    if (Request.Budget)
      Request.Budget->add(Waiting.Job->Workspace, usageOf(Spec));
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
  std::map<std::string, pool_round> Pools;
  bool HasReserved = false; ///< A target is reserved.
  bool IsLimitReached = false;
  mutable std::unordered_map<std::uint32_t, endpoint_answers> Answers;
  std::vector<placement> Placements;
  std::vector<const std::string *> PoolsOfPlacements; ///< Of each placement.
  bool PlacesSuspects = false;
};

/// The steps of a class that a round has not looked at.
struct class_cursor {
  const std::string *Name; ///< Of the pool.
  pool_round *Pool;
  const waiting_index::request_class *Class;
  const waiting_index::class_steps::rank_set *Steps;
  resource_amounts LeastSize;
  waiting_index::class_steps::rank_set::const_iterator Next;
  std::size_t Left;       ///< Steps that were not tried.
  placement_bound *Bound; ///< Or null if the class has none.
  workspaces::share_level Level = workspaces::share_level::Within;
  std::size_t LimitFailures = 0; ///< Steps held by the limit of the workspace.

  /// \returns whether the other cursor's next step is placed first.
  bool isAfter(const class_cursor &Other) const {
    const auto &Own = **Next;
    const auto &Others = **Other.Next;
    // Shares order the work within a group of ranks; long-running tasks are
    // few and serve others.
    bool ComparesLevels = Own.Rank.Group == Others.Rank.Group &&
                          Own.Rank.Group != LongRunningGroup;
    if (ComparesLevels && Level != Other.Level)
      return Level > Other.Level;
    return Others < Own;
  }
};

/// Records that the round tries none of the steps that are left.
void leave(placement_round &Round, const class_cursor &Cursor,
           placement_failure Reason, const placement_report *Report) {
  Round.recordPassedOver(*Cursor.Name, Cursor.Left, Reason);
  if (!Report || !Cursor.Class->IsLongRunning)
    return;
  auto Step = Cursor.Next;
  for (std::size_t Count = 0;
       Count != MaxReportedSteps && Step != Cursor.Steps->end();
       ++Count, ++Step)
    Round.recordPassedOver((*Step)->Step, Reason);
}

/// Places the next step of the class, unless the bound leaves it out.
/// \returns whether the class has a further step to look at.
bool advance(placement_round &Round, class_cursor &Cursor,
             const placement_report *Report) {
  if (const auto *Missing = Cursor.Pool->findMissing(
          Cursor.LeastSize, Cursor.Class->RequiredLabel,
          Cursor.Class->IsLongRunning)) {
    leave(Round, Cursor, Missing->Reason, Report);
    return false;
  }
  // place() starts none of these steps; a backlog is not visited for that.
  if (Round.holdsOverRate(*Cursor.Pool) &&
      (*Cursor.Next)->Rank.Group == OverRateGroup) {
    waiting_index::indexed_step FirstExpired;
    FirstExpired.Rank.Group = ExpiredGroup;
    Cursor.Next = Cursor.Steps->lower_bound(&FirstExpired);
    if (Cursor.Next == Cursor.Steps->end())
      leave(Round, Cursor, placement_failure::Size, Report);
    return Cursor.Next != Cursor.Steps->end();
  }
  if (!Round.mayStart(Cursor.Class->Workspace, Cursor.LeastSize)) {
    leave(Round, Cursor, placement_failure::WorkspaceLimit, Report);
    return false;
  }
  const auto &Step = **Cursor.Next;
  if (Cursor.Bound && Cursor.Bound->isSpent()) {
    leave(Round, Cursor, placement_failure::Skipped, Report);
    return false;
  }
  if (Cursor.Bound && !Cursor.Bound->mayTry(Step)) {
    Cursor.Next = Cursor.Steps->upper_bound(&*Cursor.Bound->resumesAfter());
    if (Cursor.Next == Cursor.Steps->end())
      leave(Round, Cursor, placement_failure::Skipped, Report);
    return Cursor.Next != Cursor.Steps->end();
  }
  auto Visits = Round.place(Step.Step, *Cursor.Pool);
  if (Cursor.Bound && Visits > 0)
    Cursor.Bound->recordFailure(Step, Visits);
  --Cursor.Left;
  ++Cursor.Next;
  // The other steps of the class ask for about as much, but for gangs, which
  // the bound limits.
  if (Round.isLimitReached() && !Cursor.Bound &&
      ++Cursor.LimitFailures == MaxLimitFailures) {
    leave(Round, Cursor, placement_failure::WorkspaceLimit, Report);
    return false;
  }
  return Cursor.Next != Cursor.Steps->end();
}

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

placement_outlook explainPlacement(const waiting_step &Waiting,
                                   std::span<placement_target *const> Targets,
                                   const placement_request &Request) {
  return placement_round(Targets, Request).explain(Waiting);
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
  for (; Next != Waiting.end() && !Round.isFull(); ++Next) {
    if (auto *Pool = Round.findPool(Next->Job->Pool))
      Round.place(*Next, *Pool);
    else
      Round.recordPassedOver(Next->Job->Pool, 1, placement_failure::NoEndpoint);
  }
  for (; Request.Report && Next != Waiting.end(); ++Next)
    Round.recordPassedOver(Next->Job->Pool, 1, placement_failure::Skipped);
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
  std::vector<class_cursor> Cursors;
  for (const auto &[Name, Classes] : Waiting.classes()) {
    auto *Pool = Round.findPool(Name);
    if (!Pool) {
      Round.recordPassedOver(Name, Waiting.pools().at(Name).size(),
                             placement_failure::NoEndpoint);
      continue;
    }
    placement_bound *Bound = nullptr;
    placement_bound *BoundAbove = nullptr;
    if (Request.Bounds) {
      Bound = &(*Request.Bounds)[Name];
      Bound->beginRound(Pool->Targets.size());
      if (Request.LevelOf) {
        BoundAbove = &(*Request.Bounds)[Name + SuffixAbove];
        BoundAbove->beginRound(Pool->Targets.size());
      }
    }
    for (const auto &[Class, Steps] : Classes) {
      const auto &ByRank = Steps.byRank();
      class_cursor Cursor{&Name,
                          Pool,
                          &Class,
                          &ByRank,
                          Steps.leastSize(),
                          ByRank.begin(),
                          ByRank.size(),
                          Class.IsConstrained ? Bound : nullptr};
      if (!Cursor.LeastSize.fitsIn(Pool->MostFree)) {
        leave(Round, Cursor, placement_failure::Size, Request.Report);
        continue;
      }
      if (Request.LevelOf && !Class.Workspace.empty())
        Cursor.Level = Request.LevelOf(Name, Class.Workspace);
      if (Cursor.Bound && Cursor.Level == workspaces::share_level::Above)
        Cursor.Bound = BoundAbove;
      Cursors.push_back(Cursor);
    }
  }
  // Merges pools and classes by rank; all pools share the limit of starts.
  auto IsLater = [](const class_cursor &Left, const class_cursor &Right) {
    return Left.isAfter(Right);
  };
  std::make_heap(Cursors.begin(), Cursors.end(), IsLater);
  while (!Round.isFull() && !Cursors.empty()) {
    std::pop_heap(Cursors.begin(), Cursors.end(), IsLater);
    if (advance(Round, Cursors.back(), Request.Report))
      std::push_heap(Cursors.begin(), Cursors.end(), IsLater);
    else
      Cursors.pop_back();
  }
  for (const auto &Cursor : Cursors)
    Round.recordPassedOver(*Cursor.Name, Cursor.Left,
                           placement_failure::Skipped);
  if (Request.Bounds)
    for (auto &[Name, Bound] : *Request.Bounds)
      Bound.recordEnd(Round.isFull());
  return Round.take();
}

} // namespace lycheetrestle::scheduling
