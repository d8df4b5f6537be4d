#include "restartable_scheduler.h"
#include "schedule_fixture.h"
#include "scheduling/fields.h"
#include "scheduling/job_tombstones.h"

#include <catch2/catch.hpp>

#include <string>

// Guards against a job that runs although its caller was told, when it
// cancelled it, that there is no such job: a gateway still held the submission.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t Retention = job_tombstones::RetentionMs;

cancel_job cancellation(const std::string &Job, std::string Key = {}) {
  return {Host, Prefix + Job, Job, std::move(Key), true};
}

schedule_state copyOf(const schedule_state &State) {
  auto Bytes = State.snapshot();
  auto Restored = core::capture([&] { return schedule_state::restore(Bytes); });
  REQUIRE(Restored.index() == 0);
  CHECK(std::get<0>(Restored).snapshot() == Bytes);
  return std::move(std::get<0>(Restored));
}

/// A state whose queue requires the key of one of two workspaces, `x` and `y`.
schedule_state makeKeyedState() {
  auto State = makeState(1);
  auto Configuration = makeConfiguration(2);
  Configuration.RequiresKeys = true;
  for (std::string Name : {"x", "y"}) {
    workspaces::workspace_spec Workspace;
    Workspace.Name = Name;
    Workspace.Keys = {workspaces::digestOf(Name)};
    Configuration.Workspaces.push_back(Workspace);
  }
  State.apply(set_configuration{Configuration}, 0);
  return State;
}

} // namespace

TEST_CASE("a job whose cancellation overtakes its submission never starts") {
  auto State = makeState(1);
  REQUIRE(State.apply(cancellation("j"), 10) == apply_outcome::NoSuchJob);
  // Snapshots carry it to the next leader.
  State = copyOf(State);
  CHECK(State.apply(submission(makeJob("j", {makeStep(1)})), 20) ==
        apply_outcome::Unchanged);
  CHECK(State.findJob("j")->State == job_state::Cancelled);
  CHECK(State.liveJobs().empty());
  CHECK(State.pendingJobs(Host, Prefix) == 0);
  CHECK(State.apply(start_run{{"j", 0, 0, 0}, 1, 1}, 30) ==
        apply_outcome::Stale);
  // Neither does a later copy start it.
  State.apply(submission(makeJob("j", {makeStep(1)})), 40);
  CHECK(State.findJob("j")->State == job_state::Cancelled);
  CHECK(State.apply(cancellation("j"), 50) == apply_outcome::Unchanged);
  copyOf(State);
}

TEST_CASE("the cancellation of an unknown job holds for other jobs as little "
          "as after its retention") {
  auto State = makeState(1);
  State.apply(cancellation("j"), 10);
  State.apply(submission(makeJob("k", {makeStep(1)})), 20);
  CHECK(State.findJob("k")->State == job_state::Queued);
  State.apply(submission(makeJob("j", {makeStep(1)})), 11 + Retention);
  CHECK(State.findJob("j")->State == job_state::Queued);
}

TEST_CASE("a cancellation in the log of an earlier version binds no later "
          "submission") {
  auto State = makeState(1);
  cancel_job Earlier{Host, Prefix + "j", "j"};
  CHECK(State.apply(Earlier, 10) == apply_outcome::NoSuchJob);
  CHECK(State.apply(submission(makeJob("j", {makeStep(1)})), 20) ==
        apply_outcome::Accepted);
  for (const auto &Command : {Earlier, cancellation("j"),
                              cancellation("j", workspaces::digestOf("x"))}) {
    auto Batch = decodeBatch(encodeBatch({5, {Command}}));
    REQUIRE(Batch);
    CHECK(std::get<cancel_job>(Batch->Commands[0]) == Command);
  }
}

TEST_CASE("another workspace cannot cancel a job before its submission") {
  auto State = makeKeyedState();
  auto X = workspaces::digestOf("x");
  auto Submit = submission(makeJob("j", {makeStep(1)}));
  Submit.KeyDigest = X;
  CHECK(State.apply(cancellation("j", "unknown"), 10) ==
        apply_outcome::Unauthorized);
  State.apply(cancellation("j", workspaces::digestOf("y")), 10);
  SECTION("only the other one did") {
    CHECK(State.apply(Submit, 20) == apply_outcome::Accepted);
  }
  SECTION("both did") {
    State.apply(cancellation("j", X), 10);
    CHECK(State.apply(Submit, 20) == apply_outcome::Unchanged);
  }
}

TEST_CASE("cancellations of unknown jobs are bounded, and those beyond the "
          "bound are refused") {
  job_tombstones Tombstones;
  for (std::size_t Number = 0; Number != job_tombstones::MaxTombstones;
       ++Number)
    REQUIRE(Tombstones.add("j" + std::to_string(Number), "", 10));
  CHECK(!Tombstones.add("one more", "", 10));
  CHECK(Tombstones.add("j0", "", 20));
  CHECK(Tombstones.size() == job_tombstones::MaxTombstones);
  CHECK(!Tombstones.add("one more", "", 10 + Retention));
  CHECK(Tombstones.add("one more", "", 11 + Retention));
  CHECK(Tombstones.size() == 2);
  CHECK(Tombstones.covers("j0", "", false, 20 + Retention));
  CHECK(!Tombstones.covers("j0", "", false, 21 + Retention));
  Tombstones.remove("j0");
  CHECK(!Tombstones.covers("j0", "", false, 20));
}

TEST_CASE("the next leader keeps the promise of a cancelled job that was "
          "unknown") {
  restartable_scheduler Site;
  Site.beat("e1");
  Site.run(100ms);
  auto Cancel = Site.call(cancel_call{Host, Prefix + "j", "j"});
  Site.run(100ms);
  REQUIRE(Site.replyTo(Cancel) == reply_kind::NoSuchJob);
  Site.restart(1s);
  Site.runUntilLeading();
  auto Submit =
      Site.call(submit_call{Host, Prefix + "j", makeJob("j", {makeStep(1)})});
  Site.run(1s);
  CHECK(Site.replyTo(Submit) == reply_kind::Accepted);
  CHECK(!Site.isRunning({"j", 0, 0, 0}));
  CHECK(Site.Node->state().findJob("j")->State == job_state::Cancelled);
}
