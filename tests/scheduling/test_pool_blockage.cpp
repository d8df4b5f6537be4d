#include "fake_site.h"
#include "schedule_fixture.h"
#include "scheduling/pool_blockage.h"

#include <catch2/catch.hpp>

#include <algorithm>

// Guards against tasks that stand still beside free room without a line that
// tells what the leader holds the room for.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;

namespace {

core::time_point now(const fake_site &Site) {
  return core::time_point(std::chrono::milliseconds(Site.wallMs()));
}

step_spec longRunningStep(std::uint32_t Count, std::uint32_t MilliCores) {
  auto Step = makeStep(Count, MilliCores);
  Step.IsLongRunning = true;
  return Step;
}

/// \returns the blocked pools after some seconds of looks once a second.
std::vector<pool_blockage> observe(fake_site &Site, int Seconds) {
  for (int Second = 0; Second != Seconds; ++Second) {
    Site.current().unservedTasks(now(Site), Site.wallMs(), false);
    Site.run(1000);
  }
  Site.current().unservedTasks(now(Site), Site.wallMs(), false);
  return Site.current().blockedPools(now(Site), Site.wallMs());
}

std::size_t count(const pool_blockage &Pool, endpoint_use Use) {
  return Pool.Endpoints[static_cast<std::size_t>(Use)];
}

const held_room &held(const pool_blockage &Pool, room_holder Holder) {
  return Pool.Held[static_cast<std::size_t>(Holder)];
}

} // namespace

TEST_CASE("a pool whose tasks are at work is not reported as blocked") {
  fake_site Site(3, 1, {});
  Site.run(1600);
  Site.apply(submission(makeJob("j", {longRunningStep(2, 1000)})));
  CHECK(observe(Site, 6).empty());
}

TEST_CASE("a blocked pool is reported with the state of its endpoints and the "
          "room that runs hold") {
  fake_site Site(4, 1, {});
  Site.run(1600);
  Site.apply(submission(makeJob("j", {longRunningStep(2, 3000)})));
  Site.run(1000);
  Site.apply(submission(makeJob("large", {longRunningStep(1, 9000)})));
  Site.setReachable(3, false);
  auto Pools = observe(Site, 5);
  REQUIRE(Pools.size() == 1);
  const auto &Pool = Pools[0];
  CHECK(Pool.Pool == "a");
  CHECK(Pool.UnservedTasks == 1);
  CHECK(Pool.WaitingJobs == 1);
  CHECK(Pool.OldestWait >= std::chrono::seconds(5));
  CHECK(count(Pool, endpoint_use::Schedulable) +
            count(Pool, endpoint_use::Silent) +
            count(Pool, endpoint_use::Unanswered) ==
        4);
  CHECK(count(Pool, endpoint_use::Schedulable) == 3);
  const auto &Running = held(Pool, room_holder::Running);
  CHECK(Running.Runs == 2);
  CHECK(Running.Size.MilliCores == 6000);
  CHECK(Running.Oldest >= std::chrono::seconds(5));
  CHECK(held(Pool, room_holder::Untracked).Runs == 0);
  CHECK(Pool.Free.MilliCores == 3 * 8000 - 6000);
}

TEST_CASE("an order without a result is reported with its age") {
  fake_site Site(1, 1, {});
  Site.run(1600);
  Site.setFaults({1000, 0, 0});
  Site.apply(submission(makeJob("j", {longRunningStep(1, 1000)})));
  // A leader starts it only on an endpoint that has just answered.
  Site.apply(
      start_run{{"j", 0, 0, 0}, 1, Site.State.findEndpoint("e1")->Number});
  // Shorter than the lease, after which the run is lost.
  auto Pools = observe(Site, 3);
  REQUIRE(Pools.size() == 1);
  const auto &Orders = Pools[0].Orders;
  std::size_t Pending = 0;
  for (auto Kind : {order_kind::Start, order_kind::Poll})
    Pending += Orders[static_cast<std::size_t>(Kind)].Orders;
  CHECK(Pending >= 1);
  CHECK(count(Pools[0], endpoint_use::Unanswered) == 1);
  CHECK(held(Pools[0], room_holder::Starting).Runs == 1);
}

TEST_CASE("the time that a task waits does not begin anew with each leader") {
  fake_site Site(1, 1, {});
  Site.run(1600);
  Site.apply(submission(makeJob("large", {longRunningStep(1, 9000)})));
  Site.run(4000);
  Site.changeLeader();
  Site.run(1000);
  auto Tasks = Site.current().unservedTasks(now(Site), Site.wallMs(), false);
  REQUIRE(Tasks.size() == 1);
  CHECK(Tasks[0].Since == core::duration());
  CHECK(Tasks[0].Waiting == core::duration(std::chrono::seconds(5)));
}

TEST_CASE("at most four blocked pools are reported, those with the oldest work "
          "first") {
  fake_site Site(1, 1, {});
  auto Configuration = makeConfiguration(2, 3);
  auto Queue = Configuration.Queues[0];
  auto Pool = Configuration.Pools[0];
  for (int Number = 1; Number <= 6; ++Number) {
    Pool.Name = "p" + std::to_string(Number);
    Queue.Name = Pool.Name;
    Queue.PathPrefix = "/p" + std::to_string(Number) + "/";
    Queue.Pool = Pool.Name;
    Configuration.Pools.push_back(Pool);
    Configuration.Queues.push_back(Queue);
  }
  Site.apply(set_configuration{Configuration});
  for (int Number = 1; Number <= 6; ++Number) {
    auto Id = "j" + std::to_string(Number);
    Site.apply(submit_job{Host, "/p" + std::to_string(Number) + "/" + Id,
                          makeJob(Id, {longRunningStep(1, 1000)})});
    Site.run(100);
  }
  auto Pools = observe(Site, 6);
  REQUIRE(Pools.size() == 4);
  CHECK(Pools[0].Pool == "p1");
  CHECK(Pools[3].Pool == "p4");
}
