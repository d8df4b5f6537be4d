#include "restartable_scheduler.h"
#include "schedule_fixture.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

constexpr core::duration StepTime = 100ms;
// A job of 100 tasks each 100 ms is more than ten times what eight cores can
// do; its tasks last up to half a second.
constexpr std::uint32_t TasksOfJob = 100;

/// One endpoint with eight cores, and a queue that is offered too much.
class crowded_scheduler : public restartable_scheduler {
public:
  crowded_scheduler() {
    runUntilLeading();
    call(configure_call{makeConfiguration(1)});
    beat("e1");
    finishRuns(500ms);
    run(200ms);
  }
  std::uint64_t submit(const std::string &Id) {
    return call(
        submit_call{Host, Prefix + Id, makeJob(Id, {makeStep(TasksOfJob)})});
  }
  /// Submits a new job each step of this time.
  void crowd(core::duration Time) {
    for (core::duration Passed{}; Passed < Time; Passed += StepTime) {
      auto Id = "j" + std::to_string(++Jobs);
      Calls[Id] = submit(Id);
      run(StepTime);
    }
  }

  std::map<std::string, std::uint64_t> Calls; ///< Submissions by job.

private:
  int Jobs = 0;
};

} // namespace

// Guards against jobs that are accepted although they cannot be served, and
// against refusals of jobs that run all the same.
TEST_CASE("jobs without a chance are refused at once and never run") {
  crowded_scheduler Scheduler;
  Scheduler.crowd(5s);
  std::size_t Refused = 0;
  std::size_t Accepted = 0;
  for (const auto &[Id, Call] : Scheduler.Calls) {
    INFO(Id);
    auto Reply = Scheduler.replyTo(Call);
    REQUIRE(Reply);
    bool IsRefused = *Reply == reply_kind::Overloaded;
    CHECK((IsRefused || *Reply == reply_kind::Accepted));
    Refused += IsRefused;
    Accepted += !IsRefused;
    CHECK((Scheduler.Node->state().findJob(Id) == nullptr) == IsRefused);
  }
  CHECK(Accepted >= 10);
  CHECK(Refused >= 10);
  // A copy of an accepted job is accepted again.
  auto Copy = Scheduler.submit("j1");
  auto New = Scheduler.submit("new");
  Scheduler.run(200ms);
  CHECK(Scheduler.replyTo(Copy) == reply_kind::Accepted);
  CHECK(Scheduler.replyTo(New) == reply_kind::Overloaded);
}

// Guards against a caller that is told that its job never runs while an earlier
// copy of the job waits for its commit.
TEST_CASE("a copy of a job that is not committed yet is not refused") {
  crowded_scheduler Scheduler;
  Scheduler.crowd(1500ms);
  Scheduler.IsDiskStalled = true;
  auto First = Scheduler.submit("p");
  Scheduler.run(900ms);
  CHECK_FALSE(Scheduler.replyTo(First));
  auto Copy = Scheduler.submit("p");
  auto New = Scheduler.submit("new");
  Scheduler.run(50ms);
  CHECK(Scheduler.replyTo(New) == reply_kind::Overloaded);
  CHECK(Scheduler.replyTo(Copy) != reply_kind::Overloaded);
  Scheduler.IsDiskStalled = false;
  Scheduler.run(500ms);
  CHECK(Scheduler.replyTo(First) == reply_kind::Accepted);
  CHECK(Scheduler.Node->state().findJob("p"));
  CHECK_FALSE(Scheduler.Node->state().findJob("new"));
}
