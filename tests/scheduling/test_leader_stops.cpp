#include "fake_site.h"
#include "schedule_fixture.h"

#include <catch2/catch.hpp>

#include <set>

// Guards against stops that end long-running tasks at work although nobody
// asked for it, and against runs that outlive the cancellation or the retention
// of their job.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;

namespace {

/// \returns the tasks of which a stop was sent.
std::set<task_key> stoppedTasks(const fake_site &Site) {
  std::set<task_key> Tasks;
  for (const auto &Order : Site.SentOrders)
    if (const auto *Stop = std::get_if<stop_order>(&Order.Body))
      Tasks.insert(Stop->Task);
  return Tasks;
}

/// A job with three long-running tasks, of which the first crashes its
/// endpoints until the job is given up.
class given_up_job {
public:
  given_up_job() : Site(6, 1, {}, true) {
    Site.formRacks();
    auto Step = makeStep(3);
    Step.IsLongRunning = true;
    Step.MaxPerEndpoint = 1;
    Step.MaxUnavailable = 1;
    Site.markDeadly({"l", 0, 0, 0});
    Site.apply(submission(makeJob("l", {Step})));
    for (int Second = 0; Second != 60 && !isOver(job().State); ++Second)
      Site.run(1000);
    REQUIRE(job().State == job_state::Failed);
    Site.run(1000);
    // A crash of the first task may have taken another one with it, which the
    // verdict then leaves without a run.
    REQUIRE(job().RunsLeft == 2);
  }

  const job_record &job() const { return *Site.State.findJob("l"); }

  fake_site Site;
};

} // namespace

TEST_CASE("the verdict on a long-running task leaves the others of its step at "
          "work until the job is cancelled") {
  given_up_job Play;
  CHECK(stoppedTasks(Play.Site).empty());
  Play.Site.changeLeader();
  Play.Site.run(10'000);
  CHECK(Play.job().RunsLeft == 2);
  CHECK(stoppedTasks(Play.Site).empty());
  Play.Site.apply(cancel_job{Host, Prefix + "l", "l"});
  CHECK(Play.job().State == job_state::Cancelled);
  // A later leader knows of the cancellation.
  Play.Site.changeLeader();
  Play.Site.run(2000);
  CHECK(Play.job().RunsLeft == 0);
  CHECK(stoppedTasks(Play.Site).size() == 2);
}

TEST_CASE("the tasks of a job that was given up are stopped when the job is no "
          "longer kept") {
  given_up_job Play;
  Play.Site.run(static_cast<int>(JobRetentionMs) - 5000);
  CHECK(Play.job().RunsLeft == 2);
  Play.Site.run(10'000);
  CHECK(Play.job().RunsLeft == 0);
}
