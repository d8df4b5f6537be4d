#include "fleet_fixture.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle::fleet;

namespace {

struct job_fixture : fleet_fixture {
  job_fixture() { REQUIRE(declare(smallDeclaration(1)) == "accepted"); }

  std::uint64_t submit(resources Size = {8, 1024, 0},
                       const std::string &Team = "planning") {
    REQUIRE(code(submit_job{Team, "gate", work_class::Normal, Size, 60}) ==
            "accepted");
    return State.jobs().rbegin()->first;
  }
  std::string start(std::uint64_t Job, const std::string &Host = "w1") {
    return code(start_job{Job, Host, host(Host).Epoch, TimeMs + 10'000});
  }
  std::string report(std::uint64_t Job, job_state To, resources Learned = {}) {
    return code(change_job_state{Job, job(Job).Lease, To, Learned, "report"});
  }
  const job_record &job(std::uint64_t Id) const {
    return State.jobs().find(Id)->second;
  }
};

} // namespace

TEST_CASE("a job runs under a lease from start to end") {
  job_fixture Fleet;
  auto Job = Fleet.submit();
  CHECK(Fleet.start(Job) == "accepted");
  CHECK(Fleet.job(Job).Lease == 1);
  CHECK(Fleet.report(Job, job_state::Running) == "accepted");
  CHECK(Fleet.code(renew_job_lease{Job, 1, Fleet.TimeMs + 20'000}) ==
        "accepted");
  CHECK(Fleet.report(Job, job_state::Succeeded) == "accepted");
  CHECK(Fleet.job(Job).EndedIndex == Fleet.Index);
  CHECK(Fleet.start(Job) == "conflict");
}

TEST_CASE("team and pool are checked on submission") {
  job_fixture Fleet;
  CHECK(Fleet.code(submit_job{"absent", "gate", {}, {1, 1, 0}, 1}) ==
        "not-found");
  CHECK(Fleet.code(submit_job{"planning", "absent", {}, {1, 1, 0}, 1}) ==
        "not-found");
  CHECK(Fleet.code(submit_job{"planning", "gate", {}, {0, 1, 0}, 1}) ==
        "bad-input");
}

// Placement races with host changes, so each start is checked when it commits.
TEST_CASE("a start checks pool, state and epoch of the host") {
  job_fixture Fleet;
  auto Job = Fleet.submit();
  CHECK(Fleet.start(Job, "r1") == "conflict");
  CHECK(Fleet.code(start_job{Job, "w1", 9, Fleet.TimeMs + 1}) == "stale-epoch");
  CHECK(Fleet.code(start_job{Job, "absent", 1, Fleet.TimeMs + 1}) ==
        "not-found");
  Fleet.step("w1", host_state::Cordoned, host_goal::Reboot);
  CHECK(Fleet.start(Job) == "conflict");
  CHECK(Fleet.job(Job).State == job_state::Waiting);
}

TEST_CASE("a job is on one host at most") {
  job_fixture Fleet;
  auto Job = Fleet.submit();
  REQUIRE(Fleet.start(Job, "w1") == "accepted");
  CHECK(Fleet.start(Job, "w2") == "conflict");
  Fleet.report(Job, job_state::Running);
  CHECK(Fleet.start(Job, "w2") == "conflict");
  CHECK(Fleet.report(Job, job_state::Waiting) == "conflict");
  Fleet.TimeMs += 10'000;
  CHECK(Fleet.report(Job, job_state::Waiting) == "accepted");
  CHECK(Fleet.start(Job, "w2") == "accepted");
  CHECK(Fleet.job(Job).Lease == 2);
}

// A host that was partitioned must not affect the job's next run.
TEST_CASE("a report under an old lease is refused") {
  job_fixture Fleet;
  auto Job = Fleet.submit();
  Fleet.start(Job);
  Fleet.TimeMs += 10'000;
  Fleet.report(Job, job_state::Waiting);
  Fleet.start(Job, "w2");
  CHECK(Fleet.code(change_job_state{Job, 1, job_state::Succeeded, {}, ""}) ==
        "stale-epoch");
  CHECK(Fleet.code(renew_job_lease{Job, 1, Fleet.TimeMs + 90'000}) ==
        "stale-epoch");
  CHECK(Fleet.job(Job).State == job_state::Starting);
  CHECK(Fleet.code(renew_job_lease{Job, 2, Fleet.TimeMs}) == "conflict");
}

TEST_CASE("a start stays within the quota of the team") {
  job_fixture Fleet;
  auto First = Fleet.submit({32, 1024, 0}), Second = Fleet.submit({32, 1, 0});
  auto Third = Fleet.submit({1, 1, 0});
  CHECK(Fleet.start(First, "w1") == "accepted");
  CHECK(Fleet.start(Second, "w2") == "accepted");
  CHECK(Fleet.start(Third, "w3") == "overloaded");
  Fleet.report(First, job_state::Succeeded);
  CHECK(Fleet.start(Third, "w3") == "accepted");
}

TEST_CASE("a start stays within the size of the host by learned usage") {
  job_fixture Fleet;
  auto First = Fleet.submit({8, 1024, 0});
  auto Second = Fleet.submit({8, 1024, 0}, "intake");
  Fleet.start(First, "w1");
  Fleet.report(First, job_state::Running, {28, 0, 0});
  CHECK(Fleet.start(Second, "w1") == "overloaded");
  Fleet.report(First, job_state::Running, {2, 0, 0});
  CHECK(Fleet.start(Second, "w1") == "accepted");
}

TEST_CASE("a host with jobs does not become drained") {
  job_fixture Fleet;
  auto Job = Fleet.submit();
  Fleet.start(Job, "w1");
  Fleet.step("w1", host_state::Cordoned, host_goal::Move, "records");
  Fleet.step("w1", host_state::Draining);
  CHECK(Fleet.step("w1", host_state::Drained) == "conflict");
  Fleet.report(Job, job_state::Checkpointed);
  CHECK(Fleet.step("w1", host_state::Drained) == "accepted");
  CHECK(Fleet.job(Job).Host.empty());
}

TEST_CASE("a lost host is not removed while a job holds a lease on it") {
  job_fixture Fleet;
  auto Job = Fleet.submit();
  Fleet.start(Job, "w8");
  Fleet.step("w8", host_state::Failed);
  auto Next = smallDeclaration(2);
  std::erase_if(Next.Hosts, [](const auto &Host) { return Host.Name == "w8"; });
  CHECK(Fleet.declare(Next) == "conflict");
  CHECK(Fleet.step("w8", host_state::Drained) == "conflict");
  Fleet.report(Job, job_state::Failed);
  CHECK(Fleet.declare(Next) == "accepted");
}

TEST_CASE("failures are kept by distinct host and the job may wait again") {
  job_fixture Fleet;
  auto Job = Fleet.submit();
  for (const auto *Host : {"w1", "w1", "w2"}) {
    REQUIRE(Fleet.start(Job, Host) == "accepted");
    REQUIRE(Fleet.report(Job, job_state::Failed) == "accepted");
    REQUIRE(Fleet.report(Job, job_state::Waiting) == "accepted");
  }
  CHECK(Fleet.job(Job).FailedOn == std::vector<std::string>{"w1", "w2"});
  CHECK(Fleet.report(Job, job_state::Impossible) == "accepted");
  CHECK(Fleet.report(Job, job_state::Waiting) == "conflict");
}

TEST_CASE("a leased job is cancelled only after its host has stopped it") {
  job_fixture Fleet;
  auto Waiting = Fleet.submit(), Running = Fleet.submit();
  CHECK(Fleet.code(cancel_job{Waiting}) == "accepted");
  CHECK(Fleet.job(Waiting).State == job_state::Cancelled);
  CHECK(Fleet.start(Waiting) == "conflict");
  Fleet.start(Running);
  CHECK(Fleet.code(cancel_job{Running}) == "accepted");
  CHECK(Fleet.job(Running).State == job_state::Starting);
  CHECK(Fleet.job(Running).CancelRequested);
  Fleet.report(Running, job_state::Checkpointed);
  CHECK(Fleet.job(Running).State == job_state::Cancelled);
  CHECK(Fleet.code(cancel_job{Running}) == "accepted");
  CHECK(Fleet.code(cancel_job{99}) == "not-found");
}

// Without a limit, the ended jobs of a year would fill the memory.
TEST_CASE("ended jobs are dropped oldest first") {
  job_fixture Fleet;
  for (int Count = 0; Count < 2'010; ++Count)
    Fleet.code(cancel_job{Fleet.submit()});
  CHECK(Fleet.State.jobs().size() == 2'000);
  CHECK(Fleet.State.jobs().begin()->first == 11);
}
