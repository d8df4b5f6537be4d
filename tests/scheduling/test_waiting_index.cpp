#include "scheduling/schedule_state.h"
#include "tests/scheduling/random_state.h"
#include "tests/scheduling/schedule_fixture.h"

#include <catch2/catch.hpp>

#include <map>
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

} // namespace

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
