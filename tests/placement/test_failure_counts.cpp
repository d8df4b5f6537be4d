#include "placement/failure_counts.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::placement;

namespace {

fleet::job_record failed(std::uint64_t Id, std::vector<std::string> Hosts,
                         fleet::job_state State = fleet::job_state::Waiting) {
  fleet::job_record Job;
  Job.Id = Id;
  Job.FailedOn = std::move(Hosts);
  Job.State = State;
  return Job;
}

} // namespace

// Guards against setting a repaired worker aside again because of failures
// before its repair.
TEST_CASE("failures before a worker's return do not count against it") {
  std::vector<fleet::job_record> Jobs = {failed(1, {"x"}), failed(2, {"x"}),
                                         failed(3, {"x"})};
  std::vector<worker_view> Workers = {
      {"x", "gate", "z", "r", {8, 8000, 0}, 5, true, 100}};
  CHECK(classifyFailures(Workers, Jobs, {}).BadWorkers.empty());
  for (auto &Job : Jobs)
    Job.SubmittedMs = 100;
  CHECK(classifyFailures(Workers, Jobs, {}).BadWorkers.size() == 1);
}

// Guards against jobs that fail everywhere taking good workers out of service.
TEST_CASE("a job that fails everywhere is bad, its workers are not") {
  std::vector<fleet::job_record> Jobs = {failed(1, {"a", "b", "c", "d"}),
                                         failed(2, {"a", "b", "c"}),
                                         failed(3, {"a", "b", "c"})};
  auto Verdicts = classifyFailures({}, Jobs, {});
  CHECK(Verdicts.BadJobs == std::set<std::uint64_t>{1, 2, 3});
  CHECK(Verdicts.BadWorkers.empty());
}

// Guards against faulty workers making good jobs fail permanently.
TEST_CASE("workers that fail distinct jobs are bad, the jobs are not") {
  std::vector<fleet::job_record> Jobs = {
      failed(1, {"x", "y", "z"}), failed(2, {"x", "y"}), failed(3, {"x", "z"}),
      failed(4, {"x", "y", "z"}, fleet::job_state::Succeeded),
      failed(5, {"y", "z"})};
  auto Verdicts = classifyFailures({}, Jobs, {});
  CHECK(Verdicts.BadWorkers == std::set<std::string_view>{"x", "y", "z"});
  CHECK(Verdicts.BadJobs.empty());
}

// Guards against a verdict on fewer distinct failures than the thresholds,
// which are three jobs and three workers.
TEST_CASE("failures below the thresholds make no worker and no job bad") {
  std::vector<fleet::job_record> Jobs = {failed(1, {"x"}), failed(2, {"x"})};
  auto Verdicts = classifyFailures({}, Jobs, {});
  CHECK(Verdicts.BadWorkers.empty());
  CHECK(Verdicts.BadJobs.empty());
}
