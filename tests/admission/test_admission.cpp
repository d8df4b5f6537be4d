#include "admission/admission.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace lycheetrestle::admission;

namespace {

constexpr std::int64_t NowMs = 1'000'000;

/// A pool of 100 cores, all in use, with work in front of its endpoints.
pool_load makeLoad(std::int64_t WaitingCoreMs, std::uint32_t Priority = 1) {
  pool_load Load;
  Load.IsKnown = true;
  Load.MilliCores = 100'000;
  if (WaitingCoreMs > 0)
    Load.Committed.add({work_group::InTime, Priority}, WaitingCoreMs, 100);
  return Load;
}

/// A job of one second on ten cores that is of use for six seconds.
job_demand makeJob(std::string_view Id = "0123456789abcdef") {
  job_demand Job;
  Job.Id = Id;
  Job.CoreMs = 10'000;
  Job.CriticalPathMs = 1000;
  Job.WidthMilliCores = 10'000;
  Job.LatestInTimeStartMs = NowMs + 1200;
  Job.LatestUsefulEndMs = NowMs + 6000;
  Job.Priority = 1;
  Job.Ticket = 1'000'000; // After all jobs of its priority.
  return Job;
}

} // namespace

TEST_CASE("a job that can be of use is accepted") {
  CHECK(!decide(makeLoad(0), makeJob(), NowMs).Refusal);
  CHECK(!decide(makeLoad(400'000), makeJob(), NowMs).Refusal);
}

TEST_CASE("a job that ends after it is of use is refused at once") {
  auto Decision = decide(makeLoad(600'000), makeJob(), NowMs);
  CHECK(Decision.Refusal == refusal_reason::TooLate);
  CHECK(Decision.WaitMs == 6000);
  CHECK(Decision.PredictedMs == 7000);
  CHECK(Decision.RetryAfterS >= 6);
  CHECK(Decision.RetryAfterS <= 10);
}

TEST_CASE("the margin of the estimates decides in favour of the job") {
  auto Load = makeLoad(600'000);
  Load.LowRatio = 0.8;
  CHECK(!decide(Load, makeJob(), NowMs).Refusal);
  Load.LowRatio = 0.9;
  CHECK(decide(Load, makeJob(), NowMs).Refusal);
}

TEST_CASE("hosts that can join in time count as capacity") {
  auto Load = makeLoad(900'000);
  Load.JoiningMs = 1800;
  CHECK(decide(Load, makeJob(), NowMs).Refusal);
  Load.JoiningMilliCores = 200'000;
  CHECK(drainMs(Load, 900'000) == 1800 + 2400);
  CHECK(!decide(Load, makeJob(), NowMs).Refusal);
}

TEST_CASE("without an estimate every job is accepted") {
  // After a change of leader the leader does not know the pool.
  auto Load = makeLoad(10'000'000);
  Load.IsKnown = false;
  CHECK(!decide(Load, makeJob(), NowMs).Refusal);
  Load.IsKnown = true;
  Load.MilliCores = 0;
  CHECK(!decide(Load, makeJob(), NowMs).Refusal);
}

TEST_CASE("a long-running job is never refused") {
  auto Job = makeJob();
  Job.IsLongRunning = true;
  Job.IsOverRate = true;
  CHECK(!decide(makeLoad(10'000'000), Job, NowMs).Refusal);
}

TEST_CASE("a small job that fits in free room is always accepted") {
  auto Load = makeLoad(10'000'000);
  Load.FreeMilliCores = 10'000;
  auto Job = makeJob();
  CHECK(!decide(Load, Job, NowMs).Refusal);
  Job.IsOverRate = true;
  CHECK(!decide(Load, Job, NowMs).Refusal);
  Job.WidthMilliCores = 10'001;
  CHECK(decide(Load, Job, NowMs).Refusal);
}

TEST_CASE("a job above the rate is refused first, when other work waits") {
  auto Job = makeJob();
  Job.IsOverRate = true;
  CHECK(!decide(makeLoad(0), Job, NowMs).Refusal);
  CHECK(!decide(makeLoad(20'000), Job, NowMs).Refusal);
  auto Load = makeLoad(30'000);
  CHECK(decide(Load, Job, NowMs).Refusal == refusal_reason::OverRate);
  CHECK(!decide(Load, makeJob(), NowMs).Refusal);
}

TEST_CASE("work above the rates and of no use does not delay other jobs") {
  pool_load Load = makeLoad(0);
  Load.Committed.add({work_group::OverRate, 0}, 10'000'000, 100);
  Load.Committed.add({work_group::Expired, 0}, 10'000'000, 100);
  CHECK(!decide(Load, makeJob(), NowMs).Refusal);
}

TEST_CASE("among the others the lowest priority is refused first") {
  auto Load = makeLoad(700'000);
  for (std::uint32_t Priority : {0U, 1U, 2U}) {
    auto Job = makeJob();
    Job.Priority = Priority;
    CHECK(decide(Load, Job, NowMs).Refusal.has_value() == (Priority > 0));
  }
}

TEST_CASE("no size starves: the lottery decides, not the size alone") {
  auto Load = makeLoad(2'000'000); // Jobs of 20,000 core-milliseconds.
  auto Job = makeJob();
  Job.CoreMs = 200'000;
  Job.Ticket = 2'000; // A lucky draw of a large job.
  CHECK(!decide(Load, Job, NowMs).Refusal);
  Job.Ticket = 200'000;
  CHECK(decide(Load, Job, NowMs).Refusal);
}

TEST_CASE("a job that will be late waits for the late jobs before it") {
  auto Load = makeLoad(200'000);
  Load.Committed.add({work_group::Late, 0}, 500'000, 10);
  auto Job = makeJob();
  CHECK(decide(Load, Job, NowMs).Refusal);
  Job.LatestInTimeStartMs = NowMs + 2500;
  CHECK(!decide(Load, Job, NowMs).Refusal);
}

TEST_CASE("refused clients return after the backlog, not all at once") {
  auto Load = makeLoad(800'000);
  std::set<std::uint32_t> Seen;
  for (int Number = 0; Number != 200; ++Number) {
    auto Id = "job" + std::to_string(Number);
    auto Decision = decide(Load, makeJob(Id), NowMs);
    REQUIRE(Decision.Refusal);
    CHECK(Decision.RetryAfterS >= 8);
    CHECK(Decision.RetryAfterS <= 12);
    Seen.insert(Decision.RetryAfterS);
  }
  CHECK(Seen.size() >= 3);
}

TEST_CASE("a higher priority and less work return earlier") {
  auto Load = makeLoad(2'000'000, 0);
  Load.Committed.add({work_group::InTime, 2}, 2'000'000, 100);
  auto RetryAfterS = [&](std::uint32_t Priority, std::int64_t CoreMs) {
    auto Job = makeJob();
    Job.Priority = Priority;
    Job.CoreMs = CoreMs;
    return decide(Load, Job, NowMs).RetryAfterS;
  };
  CHECK(RetryAfterS(0, 1'000) <= RetryAfterS(2, 1'000));
  CHECK(RetryAfterS(2, 1'000) <= RetryAfterS(2, 2'000'000));
  CHECK(RetryAfterS(0, 1'000) < RetryAfterS(2, 2'000'000));
}

TEST_CASE("Retry-After has bounds also for a pool without its hosts") {
  auto Load = makeLoad(100'000'000);
  Load.MilliCores = 1;
  auto Decision = decide(Load, makeJob(), NowMs);
  REQUIRE(Decision.Refusal);
  CHECK(Decision.RetryAfterS <= MaxRetryAfterS);
  auto Job = makeJob();
  Job.IsOverRate = true;
  CHECK(decide(makeLoad(30'000), Job, NowMs).RetryAfterS >= MinRetryAfterS);
}

TEST_CASE("sums return to empty when the work is removed") {
  committed_work Sum;
  committed_work Job;
  Job.add({work_group::Late, 3}, 500, 1);
  Job.RunningCoreMs = 40;
  Sum += Job;
  Sum += Job;
  CHECK(Sum.Waiting.at({work_group::Late, 3}).CoreMs == 1000);
  Sum -= Job;
  Sum -= Job;
  CHECK(Sum.Waiting.empty());
  CHECK(Sum.RunningCoreMs == 0);
}
