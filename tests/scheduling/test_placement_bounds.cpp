#include "schedule_fixture.h"
#include "scheduling/placement_bound.h"
#include "scheduling/placer.h"
#include "scheduling/waiting_index.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;

namespace {

constexpr std::int64_t NowMs = 2000;
const std::string AdvisedPrefix = "/advised/";

/// \returns a state with the queue of the fixture and one with advice.
schedule_state makeAdvisedState() {
  auto Configuration = makeConfiguration(1);
  auto Advised = Configuration.Queues.front();
  Advised.Name = "advised";
  Advised.PathPrefix = AdvisedPrefix;
  Advised.Advice = advice_terms{10, 1, 1000};
  Configuration.Queues.push_back(Advised);
  schedule_state State;
  State.apply(set_configuration{Configuration}, 0);
  return State;
}

/// A pool with steps that have no place.
class crowded_pool {
public:
  crowded_pool(std::uint64_t Seed, std::size_t Endpoints)
      : Random(Seed), Targets(Endpoints) {
    std::uint32_t Number = 0;
    for (auto &Target : Targets) {
      Target.Endpoint = ++Number;
      Target.Pool = "a";
      Target.Free = {static_cast<std::uint32_t>(10'000 + Random() % 8000),
                     static_cast<std::uint32_t>(10'000 + Random() % 8000), 0};
      if (Number % 2 == 0)
        Target.Labels = {"even"};
    }
    // Only endpoints that don't accept runs have room for the largest tasks.
    Targets.back().Free = {100'000, 100'000, 0};
  }

  /// Adds a step that has no place, for one of several reasons.
  void addUnplaceable(const std::string &Id) {
    auto Step = makeStep(1, static_cast<std::uint32_t>(100 + Random() % 900));
    Step.IsLongRunning = Random() % 2 == 0;
    std::string Path = Prefix;
    switch (Random() % 6) {
    case 0: // On each endpoint already.
      Step.MaxPerEndpoint = 1;
      for (auto &Target : Targets)
        Target.RunsByStep[stepKey({Id, 0, 0, 0})] = 1;
      break;
    case 1:
      Step.RequiredLabel = "none";
      break;
    case 2: // Larger than each endpoint that accepts runs.
      Step.Size = {static_cast<std::uint32_t>(20'000 + Random() % 50'000),
                   static_cast<std::uint32_t>(Random() % 50'000), 0};
      break;
    case 3:
      Path = AdvisedPrefix;
      break;
    case 4: // One member for each endpoint, one of which accepts no runs.
      Step.Count = static_cast<std::uint32_t>(Targets.size());
      Step.Size.MilliCores = 9501;
      Step.IsGang = true;
      break;
    default: // Much memory, few cores.
      Step.Size = {1, static_cast<std::uint32_t>(20'000 + Random() % 50'000),
                   0};
    }
    submit(Id, Step, Path);
  }

  /// Adds a step that has a place. \returns its task.
  task_key addPlaceable(const std::string &Id) {
    auto Step = makeStep(1, static_cast<std::uint32_t>(100 + Random() % 900));
    switch (Random() % 5) {
    case 0:
      Step.MaxPerEndpoint = 1;
      break;
    case 1:
      Step.RequiredLabel = "even";
      break;
    case 2:
      Step.IsLongRunning = true;
      break;
    case 3:
      Step.IsGang = true;
      break;
    default:
      break;
    }
    submit(Id, Step, Prefix);
    return {Id, 0, 0, 0};
  }

  /// \returns the tasks that a placement without any bound starts.
  std::set<task_key> startsWithoutBound() {
    duration_models Durations;
    rank_cache Ranks(Durations);
    auto Waiting = waitingSteps(State, Ranks, NowMs);
    auto Copies = Targets;
    std::set<task_key> Started;
    for (const auto &Placement :
         placeRuns(Waiting, pointersTo(Copies), makeRequest()))
      Started.insert(Placement.Start.Task);
    return Started;
  }

  /// Places in rounds, and starts what was placed.
  /// \returns the number of the round in which each task was started.
  std::map<task_key, std::size_t> placeInRounds(std::size_t Rounds) {
    duration_models Durations;
    rank_cache Ranks(Durations);
    waiting_index Index(State, Ranks);
    placement_bounds Bounds;
    std::map<task_key, std::size_t> Started;
    for (std::size_t Round = 1; Round <= Rounds; ++Round) {
      Index.update(NowMs);
      auto Request = makeRequest();
      Request.Bounds = &Bounds;
      for (const auto &Placement :
           placeRuns(Index, {}, pointersTo(Targets), Request)) {
        Started[Placement.Start.Task] = Round;
        State.apply(Placement.Start, NowMs);
        Index.recordApplied(Placement.Start);
      }
    }
    return Started;
  }

  schedule_state State = makeAdvisedState();

private:
  static std::vector<placement_target *>
  pointersTo(std::vector<placement_target> &Targets) {
    std::vector<placement_target *> Pointers;
    for (auto &Target : Targets)
      Pointers.push_back(&Target);
    return Pointers;
  }

  placement_request makeRequest() {
    placement_request Request;
    Request.MaxStarts = 100'000;
    Request.IsSchedulable = [this](std::uint32_t Endpoint) {
      return Endpoint != Targets.size();
    };
    Request.IsAllowed = [this](const task_key &, const job_record &Job,
                               std::uint32_t) {
      return !State.queueOf(Job)->Advice;
    };
    return Request;
  }

  void submit(const std::string &Id, const step_spec &Step,
              const std::string &Path) {
    State.apply(submit_job{Host, Path + Id, makeJob(Id, {Step})},
                static_cast<std::int64_t>(Random() % 1000));
  }

  std::mt19937_64 Random;
  std::vector<placement_target> Targets;
};

} // namespace

// Guards against a limit of a round by count: steps without a place that rank
// first kept all other steps of their pool from starting, for ever.
TEST_CASE("steps without a place never keep out a step that has one") {
  std::size_t Steps = 0;
  for (std::uint64_t Seed = 1; Seed <= 24; ++Seed) {
    CAPTURE(Seed);
    std::size_t Endpoints = 4 + Seed * 5 % 60;
    std::size_t Unplaceable = Seed % 8 == 0 ? 10'000 : 100 * Seed;
    crowded_pool Pool(Seed, Endpoints);
    for (std::size_t Job = 0; Job != Unplaceable; ++Job)
      Pool.addUnplaceable("n" + std::to_string(Job));
    std::set<task_key> Placeable;
    for (int Job = 0; Job != 10; ++Job)
      Placeable.insert(Pool.addPlaceable("y" + std::to_string(Job)));
    REQUIRE(Pool.startsWithoutBound() == Placeable);
    auto Rounds = placement_bound::roundsToTryAll(
        Unplaceable + Placeable.size(), Endpoints);
    std::set<task_key> Started;
    for (const auto &[Task, Round] : Pool.placeInRounds(Rounds))
      Started.insert(Task);
    CHECK(Started == Placeable);
    Steps += Unplaceable;
  }
  CHECK(Steps > 50'000);
}

// Guards against a bound that stretches without a limit: 10,000 constrained
// steps without a place on a pool of the largest size.
TEST_CASE("each constrained step is tried within a stated number of rounds") {
  CHECK(placement_bound::roundsToTryAll(10'000, 8) == 8);
  CHECK(placement_bound::roundsToTryAll(10'000, 1100) == 835);
  for (std::size_t Endpoints : {1u, 8u, 350u, 1100u, 5000u}) {
    constexpr std::size_t Count = 1000;
    std::vector<waiting_index::indexed_step> Steps(Count);
    for (std::size_t Index = 0; Index != Count; ++Index)
      Steps[Index].SubmittedMs = static_cast<std::int64_t>(Index);
    placement_bound Bound;
    std::set<std::size_t> Tried;
    auto Rounds = placement_bound::roundsToTryAll(Count, Endpoints);
    for (std::size_t Round = 0; Round != Rounds; ++Round) {
      Bound.beginRound(Endpoints);
      std::size_t Visits = 0;
      for (std::size_t Index = 0; Index != Count && !Bound.isSpent(); ++Index)
        if (Bound.mayTry(Steps[Index])) {
          Tried.insert(Index);
          Visits += Endpoints;
          Bound.recordFailure(Steps[Index], Endpoints);
        }
      Bound.recordEnd();
      CHECK(Visits <=
            std::max<std::size_t>(24 * Endpoints, 26'400) + 2 * Endpoints);
    }
    CHECK(Tried.size() == Count);
  }
}

// Guards against a resume position that forgets the number of a step: the steps
// of one job were tried again in each round, and those behind it never.
TEST_CASE("many steps of one job without a place let later jobs be tried") {
  constexpr std::size_t Endpoints = 1100;
  constexpr std::uint32_t StepsOfJob = 40;
  std::vector<waiting_index::indexed_step> Steps(StepsOfJob + 1);
  for (std::uint32_t Index = 0; Index != StepsOfJob; ++Index) {
    Steps[Index].Job = "a";
    Steps[Index].Step.Step = Index;
  }
  Steps.back().Job = "b";
  placement_bound Bound;
  bool WasTried = false;
  for (std::size_t Round = 0;
       Round != placement_bound::roundsToTryAll(Steps.size(), Endpoints);
       ++Round) {
    Bound.beginRound(Endpoints);
    for (const auto &Step : Steps)
      if (Bound.mayTry(Step)) {
        WasTried |= Step.Job == "b";
        Bound.recordFailure(Step, Endpoints);
      }
    Bound.recordEnd();
  }
  CHECK(WasTried);
}

// Guards against a resume position that is lost when the limit of starts ends a
// round: with a steady backlog the lowest ranks were never tried.
TEST_CASE(
    "a round that reaches the limit of starts keeps the resume position") {
  std::vector<waiting_index::indexed_step> Steps(100);
  for (std::size_t Index = 0; Index != Steps.size(); ++Index)
    Steps[Index].SubmittedMs = static_cast<std::int64_t>(Index);
  placement_bound Bound;
  Bound.beginRound(1100);
  for (const auto &Step : Steps)
    if (Bound.mayTry(Step))
      Bound.recordFailure(Step, 1100);
  Bound.recordEnd();
  REQUIRE(Bound.resumesAfter());
  auto Position = Bound.resumesAfter()->SubmittedMs;
  Bound.beginRound(1100);
  Bound.recordEnd(true);
  REQUIRE(Bound.resumesAfter());
  CHECK(Bound.resumesAfter()->SubmittedMs == Position);
  Bound.beginRound(1100);
  Bound.recordEnd();
  CHECK_FALSE(Bound.resumesAfter());
}

// Review case 3: 26 long-running jobs have one task on each of seven endpoints
// and one without a place, since an eighth is lost.
TEST_CASE("long-running jobs short of an endpoint let ordinary jobs start") {
  auto State = makeState(0);
  std::vector<placement_target> Targets(7);
  std::vector<placement_target *> Pointers;
  std::uint32_t Number = 0;
  for (auto &Target : Targets) {
    Target.Endpoint = ++Number;
    Target.Pool = "a";
    Target.Free = {32'000, 64'000, 0};
    Pointers.push_back(&Target);
  }
  for (int Job = 0; Job != 26; ++Job) {
    auto Step = makeStep(8, 500);
    Step.IsLongRunning = true;
    Step.MaxPerEndpoint = 1;
    State.apply(submission(makeJob("long" + std::to_string(Job), {Step})),
                1000);
  }
  for (int Job = 0; Job != 5; ++Job)
    State.apply(
        submission(makeJob("short" + std::to_string(Job), {makeStep(2)})),
        1500);
  duration_models Durations;
  rank_cache Ranks(Durations);
  waiting_index Index(State, Ranks);
  Index.update(NowMs);
  placement_request Request;
  Request.MaxStarts = 1000;
  std::size_t Long = 0;
  std::size_t Short = 0;
  for (const auto &Placement : placeRuns(Index, {}, Pointers, Request))
    ++(Placement.Start.Task.Job.starts_with("long") ? Long : Short);
  CHECK(Long == 26 * 7);
  CHECK(Short == 5 * 2);
}
