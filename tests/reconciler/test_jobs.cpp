#include "tests/reconciler/fleet_run.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::testing;
using fleet::job_state;
using fleet::work_class;

namespace {

void submit(fleet_run &Run, work_class Class, std::uint32_t Cores,
            const char *Team = "planning") {
  fleet::submit_job Job;
  Job.Team = Team;
  Job.Pool = "water";
  Job.Class = Class;
  Job.Declared = {Cores, 1000, 0};
  REQUIRE_FALSE(Run.commit(Job).Failure);
}

void runFor(fleet_run &Run, std::int64_t Ms) {
  for (auto End = Run.NowMs + Ms; Run.NowMs < End && Run.Violation.empty();)
    Run.round();
}

const fleet::job_record &job(const fleet_run &Run, std::uint64_t Id) {
  return Run.State.jobs().at(Id);
}

} // namespace

TEST_CASE("leases of jobs are renewed until the jobs succeed") {
  fleet_run Run(threeZones(), 31);
  for (int Count = 0; Count < 20; ++Count)
    submit(Run, work_class::Normal, 4);
  runFor(Run, 60'000);
  INFO(Run.dump());
  CHECK(Run.Violation == "");
  for (std::uint64_t Id = 1; Id <= 20; ++Id) {
    CHECK(job(Run, Id).State == job_state::Succeeded);
    CHECK(job(Run, Id).Lease == 1);
  }
  CHECK(Run.Refused == 0);
}

TEST_CASE("urgent work checkpoints batch work and starts within 1.1 s") {
  fleet_run Run(threeZones(), 32);
  for (int Count = 0; Count < 10; ++Count)
    submit(Run, work_class::Batch, 60);
  runFor(Run, 1000);
  submit(Run, work_class::Urgent, 30);
  runFor(Run, 1000);
  INFO(Run.dump());
  CHECK(Run.Violation == "");
  CHECK(job(Run, 11).State == job_state::Running);
}

// Guards against two running copies of a job: the platform stops a task only
// when its lease expires.
TEST_CASE("the job of a lost worker starts elsewhere after its lease") {
  fleet_run Run(threeZones(), 33);
  submit(Run, work_class::Normal, 4);
  runFor(Run, 600);
  auto Host = job(Run, 1).Host;
  auto Until = job(Run, 1).LeaseUntilMs;
  Run.setFaults(Host, {true, false, false, false});
  while (Run.NowMs < Until + 1800) {
    Run.round();
    REQUIRE(job(Run, 1).Lease == 1);
  }
  runFor(Run, 8000);
  INFO(Run.dump());
  CHECK(Run.Violation == "");
  CHECK(job(Run, 1).Lease == 2);
  CHECK(job(Run, 1).Host != Host);
}

TEST_CASE("a job that fits no worker is reported as impossible") {
  fleet_run Run(fourZones(), 34);
  fleet::submit_job Job;
  Job.Team = "planning";
  Job.Pool = "crews";
  Job.Declared = {33, 1000, 0};
  Run.commit(Job);
  runFor(Run, 400);
  CHECK(job(Run, 1).State == job_state::Impossible);
  CHECK(job(Run, 1).Reason.find("33 cores") != std::string::npos);
}

TEST_CASE("a worker that fails every task is set aside, its jobs succeed") {
  fleet_run Run(threeZones(), 35);
  submit(Run, work_class::Normal, 1);
  runFor(Run, 400);
  auto Bad = job(Run, 1).Host;
  Run.setFaults(Bad, {false, false, true, false});
  for (int Count = 0; Count < 4; ++Count)
    submit(Run, work_class::Normal, 1);
  runFor(Run, 60'000);
  INFO(Run.dump());
  CHECK(Run.Violation == "");
  CHECK(Run.State.hosts().at(Bad).State == fleet::host_state::SetAside);
  for (std::uint64_t Id = 1; Id <= 5; ++Id)
    CHECK(job(Run, Id).State == job_state::Succeeded);
}

TEST_CASE("a cancelled job is stopped on its worker") {
  fleet_run Run(threeZones(), 36);
  submit(Run, work_class::Normal, 4);
  runFor(Run, 1000);
  Run.commit(fleet::cancel_job{1});
  runFor(Run, 1000);
  CHECK(job(Run, 1).State == job_state::Cancelled);
  for (const auto &Report : Run.Platform.report(Run.NowMs))
    CHECK(Report.Tasks.empty());
}

TEST_CASE("a drained host's jobs are checkpointed and continue elsewhere") {
  fleet_run Run(threeZones(), 37);
  submit(Run, work_class::Normal, 4);
  runFor(Run, 1000);
  auto Host = job(Run, 1).Host;
  Run.commit(fleet::request_host_goal{Host, fleet::host_goal::Drain, ""});
  runFor(Run, 10'000);
  INFO(Run.dump());
  CHECK(Run.Violation == "");
  CHECK(Run.State.hosts().at(Host).State == fleet::host_state::Drained);
  CHECK(job(Run, 1).Lease == 2);
}
