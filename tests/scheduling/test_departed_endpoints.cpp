#include "restartable_scheduler.h"
#include "schedule_fixture.h"
#include "scheduling/departure_memory.h"

#include <catch2/catch.hpp>

#include <string>

// Guards against long-running tasks that wait for the lease of an endpoint
// after a change of leader although the endpoint has left.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

// The users' bound for the next run of a long-running task.
constexpr core::duration NextRunBound = 9s;

const task_key Task{"j", 0, 0, 0};

/// A long-running task at work on e1; e2 has capacity for it.
class departure : public restartable_scheduler {
public:
  departure() {
    auto Step = makeStep(1);
    Step.IsLongRunning = true;
    beat("e1");
    run(100ms);
    call(submit_call{Host, Prefix + "j", makeJob("j", {Step})});
    run(500ms);
    REQUIRE(isRunning(Task, "e1"));
    beat("e2");
    run(500ms);
  }

  /// Lets time pass, with heartbeats of e2, until the task runs there.
  /// \returns whether that is before the given time.
  bool runsOnOtherBefore(core::time_point Until) {
    while (Now < Until) {
      beat("e2");
      run(100ms);
      if (isRunning(Task, "e2"))
        return true;
    }
    return false;
  }
};

} // namespace

TEST_CASE("a deregistration is acknowledged only once it is committed, because "
          "the endpoint does not repeat an acknowledged one") {
  departure Site;
  Site.IsDiskStalled = true;
  auto Call = Site.call(deregister_call{"e1"});
  Site.run(1s);
  CHECK(!Site.replyTo(Call));
  Site.IsDiskStalled = false;
  Site.run(100ms);
  CHECK(Site.replyTo(Call) == reply_kind::Accepted);
}

TEST_CASE("the next leader starts the tasks of an endpoint that deregistered "
          "without waiting for its lease") {
  departure Site;
  auto Call = Site.call(deregister_call{"e1"});
  Site.run(50ms);
  REQUIRE(Site.replyTo(Call) == reply_kind::Accepted);
  Site.exit("e1");
  auto EndedAt = Site.Now;
  Site.restart(3s);
  CHECK(Site.runsOnOtherBefore(EndedAt + NextRunBound));
}

TEST_CASE("an endpoint that deregistered and then is out of reach keeps its "
          "task until its lease has expired") {
  // The acknowledgement may have been lost; the endpoint then runs on.
  departure Site;
  Site.call(deregister_call{"e1"});
  Site.run(50ms);
  Site.cutOff("e1");
  auto CutOffAt = Site.Now;
  Site.restart(1s);
  Site.runUntilLeading();
  CHECK(!Site.runsOnOtherBefore(CutOffAt + leader_settings().Lease));
  CHECK(Site.runsOnOtherBefore(Site.Now + 2 * leader_settings().Lease));
}

TEST_CASE("an endpoint that hears no acknowledgement of its deregistration "
          "keeps its task until its lease has expired") {
  departure Site;
  auto Call = Site.call(deregister_call{"e1"});
  Site.run(20ms);
  REQUIRE(Site.replyTo(Call) == reply_kind::Accepted);
  Site.cutOff("e1");
  auto CutOffAt = Site.Now;
  CHECK(!Site.runsOnOtherBefore(CutOffAt + leader_settings().Lease));
  CHECK(Site.runsOnOtherBefore(CutOffAt + NextRunBound));
  CHECK(Site.MaxConcurrentRuns == 1);
}

TEST_CASE("the tasks of an endpoint that deregistered and exited start "
          "elsewhere without waiting for its lease") {
  departure Site;
  Site.call(deregister_call{"e1"});
  Site.run(50ms);
  Site.exit("e1");
  CHECK(Site.runsOnOtherBefore(Site.Now + 500ms));
}

TEST_CASE("an endpoint whose deregistration is committed too late to be "
          "acknowledged keeps its task while it runs on") {
  departure Site;
  Site.IsDiskStalled = true;
  Site.call(deregister_call{"e1"});
  Site.run(2s);
  Site.IsDiskStalled = false;
  CHECK(!Site.runsOnOtherBefore(Site.Now + 2s));
  Site.exit("e1");
  CHECK(Site.runsOnOtherBefore(Site.Now + leader_settings().Lease));
}

TEST_CASE("a connection that was refused before an endpoint deregistered does "
          "not prove that it has exited") {
  departure Site;
  auto CutOffAt = Site.Now;
  Site.refuse("e1");
  Site.run(300ms);
  Site.cutOff("e1");
  Site.IsDiskStalled = true;
  Site.call(deregister_call{"e1"});
  Site.run(2s);
  Site.IsDiskStalled = false;
  CHECK(!Site.runsOnOtherBefore(CutOffAt + leader_settings().Lease));
}

TEST_CASE("a leader whose disk is slow after its election does not add that "
          "time to the leases of the previous leader") {
  departure Site;
  Site.exit("e1");
  Site.restart(100ms);
  while (Site.Node->status().Role != replication::raft_role::Leader)
    Site.run(10ms);
  auto ElectedAt = Site.Now;
  Site.IsDiskStalled = true;
  Site.run(3s);
  Site.IsDiskStalled = false;
  leader_settings Settings;
  // By then a lease has expired also by the slowest clock.
  auto LeaseExpiry =
      ElectedAt + Settings.PreviousLeaderGrace + Settings.Lease * 103 / 100;
  CHECK(Site.runsOnOtherBefore(LeaseExpiry + 500ms));
}

TEST_CASE("a deregistration that reached a scheduler without a leader is used "
          "when it becomes the leader") {
  departure Site;
  Site.kill();
  Site.start();
  Site.run(20ms);
  REQUIRE(!Site.Node->isLeading());
  auto Call =
      Site.call(deregister_call{"e1", makeEndpoint("e1").IncarnationMs});
  Site.run(20ms);
  CHECK(Site.replyTo(Call) == reply_kind::NotLeader);
  Site.exit("e1");
  CHECK(Site.runsOnOtherBefore(Site.Now + leader_settings().Lease));
}

TEST_CASE("a deregistration without a leader does not end an endpoint that is "
          "out of reach before its lease has expired") {
  departure Site;
  Site.kill();
  Site.start();
  Site.run(20ms);
  Site.call(deregister_call{"e1", makeEndpoint("e1").IncarnationMs});
  Site.cutOff("e1");
  CHECK(!Site.runsOnOtherBefore(Site.Now + leader_settings().Lease));
}

TEST_CASE("remembered deregistrations are bounded, name their incarnation and "
          "are forgotten when they are old") {
  departure_memory Memory;
  core::time_point Now{100s};
  Memory.record({"unnamed", std::nullopt}, Now);
  Memory.record({"old", 1}, Now);
  CHECK(Memory.take(Now + departure_memory::Retention + 1ms).empty());
  for (std::size_t Number = 0; Number <= departure_memory::MaxCalls; ++Number)
    for (int Repetition = 0; Repetition != 2; ++Repetition)
      Memory.record({"e" + std::to_string(Number), 1}, Now);
  auto Calls = Memory.take(Now);
  REQUIRE(Calls.size() == departure_memory::MaxCalls);
  CHECK(Calls.front().EndpointId == "e1");
  CHECK(Memory.take(Now).empty());
}
