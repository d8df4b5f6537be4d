#include "scheduling/leader.h"
#include "scheduling/placer.h"
#include "scheduling/schedule_state.h"
#include "scheduling/waiting_index.h"
#include "tests/scheduling/random_state.h"
#include "tests/scheduling/schedule_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;

namespace {

/// Compares what the state counts as it changes with a pass over all jobs.
void checkCounts(const schedule_state &State) {
  std::map<std::string, std::uint32_t> Pending;
  std::set<std::pair<std::int64_t, std::string>> Repeated;
  for (const auto &[Id, Job] : State.jobs()) {
    Pending[Job.QueuePrefix] += Job.State == job_state::Queued;
    if (!isOver(Job.State) && Job.Spec.RepeatCount > 0)
      Repeated.emplace(Job.SubmittedMs, Id);
  }
  for (const auto &Queue : State.currentConfiguration().Queues)
    CHECK(State.pendingJobs(Queue.HostName, Queue.PathPrefix) ==
          Pending[Queue.PathPrefix]);
  CHECK(State.repeatedJobs() == Repeated);
}

/// A waiting step by value, to be compared.
struct step_value {
  job_rank Rank;
  std::string Job;
  std::uint32_t Occurrence = 0;
  std::uint32_t Step = 0;
  bool operator==(const step_value &) const = default;
};

step_value valueOf(const waiting_step &Step) {
  return {Step.Rank, Step.Job->Spec.Id, Step.Occurrence->Number, Step.Step};
}

std::vector<step_value> stepsOfPool(const std::vector<waiting_step> &Waiting,
                                    const std::string &Pool) {
  std::vector<step_value> Result;
  for (const auto &Step : Waiting)
    if (Step.Job->Pool == Pool)
      Result.push_back(valueOf(Step));
  return Result;
}

/// Checks that each step is in one class, whose amounts it has at least. A step
/// in the wrong class would wait for room that it does not need.
void checkClasses(const waiting_index::class_map &Classes,
                  const waiting_index::step_set &Steps) {
  std::size_t Classed = 0;
  for (const auto &[Class, Members] : Classes) {
    Classed += Members.byRank().size();
    auto Least = Members.leastSize();
    bool IsReached = false;
    for (const auto *Member : Members.byRank()) {
      CHECK(Steps.count(*Member) == 1);
      const auto &Spec = Member->Step.Job->Spec.Steps[Member->Step.Step];
      CHECK(Class.RequiredLabel == Spec.RequiredLabel);
      CHECK(Class.IsLongRunning == Spec.IsLongRunning);
      CHECK(
          (Class.IsConstrained || (Spec.MaxPerEndpoint == 0 && !Spec.IsGang)));
      CHECK(Least.fitsIn(reservedSize(Spec)));
      IsReached |= reservedSize(Spec).MilliCores == Least.MilliCores;
    }
    CHECK(IsReached);
  }
  CHECK(Classed == Steps.size());
}

/// Checks that the index has the steps that a pass over all jobs finds, in the
/// same order.
void checkOrder(const waiting_index &Index,
                const std::vector<waiting_step> &Waiting) {
  std::set<std::string> Pools;
  for (const auto &Step : Waiting)
    Pools.insert(Step.Job->Pool);
  REQUIRE(Index.pools().size() == Pools.size());
  for (const auto &[Pool, Steps] : Index.pools()) {
    std::vector<step_value> Indexed;
    for (const auto &Step : Steps)
      Indexed.push_back(valueOf(Step.Step));
    CHECK(Indexed == stepsOfPool(Waiting, Pool));
    checkClasses(Index.classes().at(Pool), Steps);
  }
}

/// \returns the demand of each pool that a pass over all jobs finds.
std::map<std::string, pool_demand> demandOf(const schedule_state &State,
                                            rank_cache &Ranks,
                                            const duration_models &Durations,
                                            std::int64_t NowMs) {
  std::map<std::string, pool_demand> Result;
  for (const auto &[SubmittedMs, Id] : State.liveJobs()) {
    const auto &Job = *State.findJob(Id);
    auto &Demand = Result[Job.Pool];
    const auto &Model = Durations.modelOf(Job);
    for (const auto &Occurrence : Job.OpenOccurrences) {
      bool IsLate =
          Ranks.rankOf(Job, Occurrence, State.queueOf(Job), NowMs).Group >=
          LateGroup;
      for (std::size_t Step = 0; Step != Occurrence.Steps.size(); ++Step) {
        const auto &Spec = Job.Spec.Steps[Step];
        bool IsReady = std::all_of(Spec.DependsOn.begin(), Spec.DependsOn.end(),
                                   [&](std::uint32_t Earlier) {
                                     return Occurrence.Steps[Earlier].Done ==
                                            Job.Spec.Steps[Earlier].Count;
                                   });
        std::int64_t Cores = reservedSize(Spec).MilliCores;
        auto Waiting = std::llround(
            static_cast<double>(Cores) *
            std::min(1.0, Model.predictMs(Spec.EstimateMs) / 1000));
        for (const auto &Task : Occurrence.Steps[Step].Tasks) {
          if (Task.Endpoint != 0)
            (Spec.IsLongRunning ? Demand.LongMilliCores
                                : Demand.ShortMilliCores) += Cores;
          else if (Task.isWaiting() && IsReady && Spec.IsLongRunning)
            Demand.LongMilliCores += Cores;
          else if (Task.isWaiting() && IsReady && !IsLate)
            Demand.ShortMilliCores += Waiting;
        }
      }
    }
  }
  std::erase_if(Result,
                [](const auto &Item) { return Item.second == pool_demand(); });
  return Result;
}

/// \param Tolerance by how much predictions may differ, because the index keeps
/// them until they have changed noticeably.
void checkDemand(const waiting_index &Index,
                 const std::map<std::string, pool_demand> &Expected,
                 double Tolerance) {
  auto Demand = Index.demand();
  std::erase_if(Demand,
                [](const auto &Item) { return Item.second == pool_demand(); });
  REQUIRE(Demand.size() == Expected.size());
  for (const auto &[Pool, Cores] : Expected) {
    CHECK(Demand[Pool].LongMilliCores == Cores.LongMilliCores);
    CHECK(std::abs(Demand[Pool].ShortMilliCores - Cores.ShortMilliCores) <=
          Tolerance * static_cast<double>(Cores.ShortMilliCores));
  }
}

using committed_by_pool = std::map<std::string, admission::committed_work>;

/// Checks that all sums of Left are in Right.
void checkContains(const committed_by_pool &Left,
                   const committed_by_pool &Right) {
  const admission::committed_work None;
  for (const auto &[Pool, Work] : Left) {
    auto Found = Right.find(Pool);
    const auto &Other = Found == Right.end() ? None : Found->second;
    CHECK(Work.RunningCoreMs == Other.RunningCoreMs);
    for (const auto &[Class, Sum] : Work.Waiting) {
      REQUIRE(Other.Waiting.count(Class) == 1);
      CHECK(Sum.CoreMs == Other.Waiting.at(Class).CoreMs);
      CHECK(Sum.Jobs == Other.Waiting.at(Class).Jobs);
    }
  }
}

/// Checks the sums of committed work, which decide on the admission of jobs,
/// against those of an index that has just been built.
void checkCommitted(const waiting_index &Index, const schedule_state &State,
                    rank_cache &Ranks, std::int64_t NowMs) {
  waiting_index Fresh(State, Ranks);
  Fresh.update(NowMs);
  checkContains(Index.committed(), Fresh.committed());
  checkContains(Fresh.committed(), Index.committed());
}

/// \returns endpoints of both pools with room for some tasks.
std::vector<placement_target> randomTargets(std::mt19937_64 &Random) {
  std::vector<placement_target> Targets(4 + Random() % 4);
  std::uint32_t Number = 0;
  for (auto &Target : Targets) {
    Target.Endpoint = ++Number;
    Target.Pool = Random() % 3 == 0 ? "b" : "a";
    Target.Free = {static_cast<std::uint32_t>(Random() % 6000), 1u << 20, 0};
    Target.IsReserved = Random() % 8 == 0;
  }
  return Targets;
}

/// Checks that both kinds of placeRuns() start the same runs.
void checkPlacements(const waiting_index &Index,
                     const std::vector<waiting_step> &Waiting,
                     const schedule_state &State, std::mt19937_64 &Random) {
  placement_request Request;
  Request.MaxStarts = 1 + Random() % 30;
  Request.IsDeferred = [](const task_key &Key) { return Key.Index == 3; };
  std::map<task_key, std::uint32_t> Suspects;
  for (const auto &Id : State.suspectJobs())
    for (const auto &Suspect : State.findJob(Id)->Suspects)
      if (Suspect.isSuspect())
        Suspects[{Id, Suspect.Occurrence, Suspect.Step, Suspect.Index}] =
            static_cast<std::uint32_t>(Random() % 5);
  Request.EndpointFor =
      [&](const task_key &Key) -> std::optional<std::uint32_t> {
    auto Found = Suspects.find(Key);
    return Found == Suspects.end() ? std::nullopt
                                   : std::optional(Found->second);
  };
  auto Targets = randomTargets(Random);
  auto Copies = Targets;
  std::vector<placement_target *> Pointers;
  std::vector<placement_target *> CopyPointers;
  for (std::size_t Target = 0; Target != Targets.size(); ++Target) {
    Pointers.push_back(&Targets[Target]);
    CopyPointers.push_back(&Copies[Target]);
  }
  auto Expected = placeRuns(Waiting, Pointers, Request);
  auto Placed = placeRuns(Index, Index.stepsOf(State.suspectJobs()),
                          CopyPointers, Request);
  REQUIRE(Placed.size() == Expected.size());
  for (std::size_t Item = 0; Item != Placed.size(); ++Item)
    CHECK(Placed[Item].Start == Expected[Item].Start);
}

} // namespace

// The index replaces a pass over all jobs that wait. A job that it misses would
// wait for ever, and another order would be another decision.
TEST_CASE("the waiting index equals a pass over all jobs") {
  std::size_t Steps = 0;
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    CAPTURE(Seed);
    random_state Random(Seed);
    std::mt19937_64 Draw(Seed * 7919);
    duration_models Durations;
    rank_cache Ranks(Durations);
    rank_cache AllRanks(Durations);
    waiting_index Index(Random.State, Ranks);
    for (int Round = 0; Round != 150; ++Round) {
      for (auto Commands = Draw() % 6; Commands > 0; --Commands)
        Index.recordApplied(Random.change());
      bool Learns = Seed % 2 == 0;
      if (const auto *Job = Random.State.findJob("j1");
          Learns && Job && Draw() % 4 == 0)
        Durations.record(*Job, 500, 100 + static_cast<double>(Draw() % 4000));
      // The wall clock may be stepped.
      auto NowMs = Random.NowMs - (Draw() % 20 == 0 ? 700 : 0);
      Index.update(NowMs);
      auto Waiting = waitingSteps(Random.State, AllRanks, NowMs);
      Steps += Waiting.size();
      checkOrder(Index, Waiting);
      if (Draw() % 8 == 0)
        checkDemand(Index, demandOf(Random.State, AllRanks, Durations, NowMs),
                    Learns ? 0.25 : 0);
      if (!Learns && Draw() % 8 == 0)
        checkCommitted(Index, Random.State, Ranks, NowMs);
      checkPlacements(Index, Waiting, Random.State, Draw);
    }
  }
  CHECK(Steps > 10'000);
}

// A leader with 15,000 waiting tasks spent 50 % of its processor time on
// finding and sorting them in each round of placement. Its loop was full, and
// it lost the lead.
TEST_CASE("a round of placement examines the jobs that have changed") {
  constexpr int Jobs = 3000;
  auto State = makeState(2);
  for (int Job = 0; Job != Jobs; ++Job)
    State.apply(submission(makeJob("j" + std::to_string(Job), {makeStep(4)})),
                1000);
  core::metrics_registry Metrics;
  core::time_point Now{std::chrono::seconds(1)};
  leader Leader({}, 1, State, Metrics, Now);
  auto Examined = [&] {
    return Metrics.counter("placement_jobs_examined_total");
  };
  auto Round = [&](std::int64_t WallMs) {
    auto Before = Examined();
    Now += std::chrono::milliseconds(100);
    Leader.takeCommands(Now, WallMs);
    return Examined() - Before;
  };
  CHECK(Round(1000) == Jobs);
  CHECK(Round(1100) == 0);
  auto Submission = submission(makeJob("next", {makeStep(1)}));
  Leader.recordApplied(Submission, State.apply(Submission, 1150), Now);
  CHECK(Round(1200) == 1);
  // Nothing has changed and no job has become late.
  CHECK(Round(1500) == 0);
  // A host that joins or is replaced changes no job that does not run on it.
  command Joined = record_endpoint{makeEndpoint("joins")};
  Leader.recordApplied(Joined, State.apply(Joined, 1550), Now);
  CHECK(Round(1600) == 0);
}

// A round that examines a whole backlog because a duration was learned holds up
// the heartbeats of the leader.
TEST_CASE("learned durations change the ranks of a backlog in slices") {
  constexpr int Jobs = 3000;
  constexpr std::uint64_t MaxSlice = 200;
  auto State = makeState(0);
  for (int Job = 0; Job != Jobs; ++Job)
    State.apply(submission(makeJob("j" + std::to_string(Job), {makeStep(4)})),
                1000);
  duration_models Durations;
  rank_cache Ranks(Durations);
  rank_cache AllRanks(Durations);
  waiting_index Index(State, Ranks);
  Index.update(1000);
  for (int Task = 0; Task != 100; ++Task)
    Durations.record(*State.findJob("j1"), 500, 900 + Task);
  int Rounds = 0;
  for (std::uint64_t Examined = 1; Examined > 0; ++Rounds) {
    REQUIRE(Rounds <= Jobs);
    auto Before = Index.examinedJobs();
    Index.update(1000);
    Examined = Index.examinedJobs() - Before;
    REQUIRE(Examined <= MaxSlice);
  }
  CHECK(Rounds > Jobs / static_cast<int>(MaxSlice));
  checkOrder(Index, waitingSteps(State, AllRanks, 1000));
}

// Guards against a count that misses a way in which a job starts or ends:
// callers would be told a wrong length of their queue for ever.
TEST_CASE("pending and repeated jobs are counted as they change") {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    CAPTURE(Seed);
    random_state Random(Seed);
    for (int Step = 0; Step != 300; ++Step) {
      Random.change();
      checkCounts(Random.State);
    }
    auto Bytes = Random.State.snapshot();
    auto Restored =
        core::capture([&] { return schedule_state::restore(Bytes); });
    REQUIRE(Restored.index() == 0);
    checkCounts(std::get<0>(Restored));
  }
}
