#include "schedule_fixture.h"
#include "scheduling/queue_load.h"

#include <catch2/catch.hpp>

#include <string>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;

TEST_CASE("jobs are classified by their work relative to newer jobs") {
  job_size_classifier Sizes;
  CHECK(Sizes.classify(1000) == job_size::Small);
  for (int Round = 0; Round != 10; ++Round)
    for (int Work = 1; Work <= 100; ++Work)
      Sizes.record(Work);
  CHECK(Sizes.classify(60) == job_size::Small);
  CHECK(Sizes.classify(80) == job_size::NextFifth);
  CHECK(Sizes.classify(97) == job_size::LargestTenth);
  // The queue's jobs have become larger.
  for (int Round = 0; Round != 10; ++Round)
    for (int Work = 101; Work <= 200; ++Work)
      Sizes.record(Work);
  CHECK(Sizes.classify(97) == job_size::Small);
}

TEST_CASE("the load of a queue has its jobs and waiting tasks by size") {
  auto State = makeState(1);
  duration_models Durations;
  rank_cache Ranks(Durations);
  waiting_index Waiting(State, Ranks);
  queue_load_counter Counter(Durations);
  auto Submit = [&](const std::string &Id, std::uint32_t Tasks, int AtMs) {
    State.apply(submission(makeJob(Id, {makeStep(Tasks)})), AtMs);
    Waiting.recordApplied(submission(makeJob(Id, {makeStep(Tasks)})));
    Counter.recordAccepted(*State.findJob(Id));
  };
  for (int Index = 0; Index != 100; ++Index)
    Submit("j" + std::to_string(Index),
           static_cast<std::uint32_t>(1 + Index % 10), 1000);
  Waiting.update(3000);
  auto Loads = Counter.take(Waiting, 3000);
  REQUIRE(Loads.size() == 1);
  const auto &Load = Loads.begin()->second;
  CHECK(Loads.begin()->first.second == Prefix);
  CHECK(Load.Pool == "a");
  CHECK(Load.AcceptedJobs.total() == 100);
  CHECK(Load.WaitingTasks.total() == 550);
  CHECK(Load.WaitingTasks.BySize[2] == 100);
  CHECK(Load.OldestWaitMs == 2000);
  Counter.recordStart(*State.findJob("j9"));
  Counter.recordCompleted(*State.findJob("j0"));
  Loads = Counter.take(Waiting, 3000);
  REQUIRE(Loads.size() == 1);
  CHECK(Loads.begin()->second.AcceptedJobs.total() == 0);
  CHECK(Loads.begin()->second.StartedTasks.text() == "0/0/1");
  CHECK(Loads.begin()->second.CompletedJobs.text() == "1/0/0");
}
