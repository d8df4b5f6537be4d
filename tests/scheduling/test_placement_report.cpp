#include "schedule_fixture.h"
#include "scheduling/placement_report.h"
#include "scheduling/placer.h"
#include "scheduling/waiting_index.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;

namespace {

constexpr std::uint32_t Reserved = 3;
constexpr std::uint32_t Ordered = 2;

placement_target makeTarget(std::uint32_t Endpoint, std::uint32_t MilliCores) {
  placement_target Target;
  Target.Endpoint = Endpoint;
  Target.Pool = "a";
  Target.Free = {MilliCores, 100'000, 0};
  Target.IsReserved = Endpoint == Reserved;
  if (Endpoint == Ordered)
    Target.Labels = {"kind-a"};
  return Target;
}

/// \returns the report of a round with one step, on an endpoint with 4 cores
/// and two with 8 cores: one with a label, whose host has an order, and one
/// that is reserved.
placement_report reportOf(step_spec Step, placement_request Request = {},
                          std::string Pool = "a") {
  auto State = makeState(0);
  State.apply(submission(makeJob("j", {std::move(Step)})), 1000);
  duration_models Durations;
  rank_cache Ranks(Durations);
  waiting_index Index(State, Ranks);
  Index.update(2000);
  std::vector<placement_target> Targets{
      makeTarget(1, 4000), makeTarget(Ordered, 8000), makeTarget(3, 8000)};
  std::vector<placement_target *> Pointers;
  for (auto &Target : Targets) {
    Target.Pool = Pool;
    Pointers.push_back(&Target);
  }
  placement_report Report;
  Request.MaxStarts = 100;
  Request.MayBeInterrupted = [](std::uint32_t Endpoint) {
    return Endpoint == Ordered;
  };
  Request.Report = &Report;
  placeRuns(Index, {}, Pointers, Request);
  return Report;
}

placement_counts countsOf(step_spec Step, placement_request Request = {}) {
  return reportOf(std::move(Step), std::move(Request)).Pools["a"];
}

} // namespace

// Guards against a log that names capacity where something else keeps a task
// from its endpoints: the incident of issue 48 could not be told from a pool
// that is full.
TEST_CASE("the report of a round names what kept a task from starting") {
  auto Fits = countsOf(makeStep(3));
  CHECK(Fits.Tried == 1);
  CHECK(Fits.Placed == 3);
  for (auto Failed : Fits.Failed)
    CHECK(Failed == 0);

  auto Large = makeStep(1, 9000);
  CHECK(countsOf(Large)[placement_failure::Size] == 1);

  auto Labelled = makeStep(1);
  Labelled.RequiredLabel = "kind-b";
  CHECK(countsOf(Labelled)[placement_failure::Label] == 1);

  CHECK(countsOf(makeStep(2, 8000))[placement_failure::Reserved] == 1);

  auto Spread = makeStep(3, 100);
  Spread.MaxPerEndpoint = 1;
  auto Counts = countsOf(Spread);
  CHECK(Counts.Placed == 2);
  CHECK(Counts[placement_failure::Spread] == 1);

  auto Lasting = makeStep(1, 5000);
  Lasting.IsLongRunning = true;
  auto Report = reportOf(Lasting);
  CHECK(Report.Pools["a"][placement_failure::OrderedHost] == 1);
  CHECK(Report.LongRunning.at({"j", 0, 0, 0}) ==
        placement_failure::OrderedHost);

  placement_request Request;
  Request.IsAllowed = [](const task_key &, const job_record &, std::uint32_t) {
    return false;
  };
  CHECK(countsOf(makeStep(1), Request)[placement_failure::Advice] == 1);

  auto Gang = makeStep(20);
  Gang.IsGang = true;
  CHECK(countsOf(Gang)[placement_failure::GangRoom] == 1);

  Request = {};
  Request.IsDeferred = [](const task_key &) { return true; };
  CHECK(countsOf(makeStep(2), Request)[placement_failure::Deferred] == 1);

  Request = {};
  Request.IsSchedulable = [](std::uint32_t) { return false; };
  CHECK(countsOf(makeStep(1), Request)[placement_failure::NoEndpoint] == 1);
  CHECK(reportOf(makeStep(1), {}, "b")
            .Pools["a"][placement_failure::NoEndpoint] == 1);
}

// Guards against a report that calls a backlog tried when the limit of starts
// ended the round.
TEST_CASE("the report of a round counts the steps that were not tried") {
  auto State = makeState(0);
  for (int Job = 0; Job != 100; ++Job)
    State.apply(submission(makeJob("j" + std::to_string(Job), {makeStep(1)})),
                1000);
  duration_models Durations;
  rank_cache Ranks(Durations);
  waiting_index Index(State, Ranks);
  Index.update(2000);
  auto Target = makeTarget(1, 1'000'000);
  std::vector<placement_target *> Pointers{&Target};
  placement_report Report;
  placement_request Request;
  Request.MaxStarts = 10;
  Request.Report = &Report;
  CHECK(placeRuns(Index, {}, Pointers, Request).size() == 10);
  auto &Counts = Report.Pools["a"];
  CHECK(Counts.Tried == 10);
  CHECK(Counts.Placed == 10);
  CHECK(Counts[placement_failure::Skipped] == 90);
}
