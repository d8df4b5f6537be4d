#include "scheduling/verdict_log.h"

#include <catch2/catch.hpp>

#include <string>

using namespace lycheetrestle::scheduling;

TEST_CASE("a verdict is found for its attempt only, so that a list is not "
          "compared with the verdict on another run") {
  verdict_log Log;
  task_key Task{"j", 0, 0, 0};
  Log.record(Task, {1, 7, run_end::Refused, "unhealthy", {}});
  REQUIRE(Log.find(Task, 1));
  CHECK(Log.find(Task, 1)->Reason == "unhealthy");
  CHECK(!Log.find(Task, 2));
  Log.record(Task, {2, 8, run_end::Lost, "lease expired", {}});
  CHECK(!Log.find(Task, 1));
  CHECK(Log.find(Task, 2)->Endpoint == 8);
}

TEST_CASE("the memory of verdicts is bounded: the oldest ones are forgotten") {
  verdict_log Log;
  for (std::uint32_t Index = 0; Index <= verdict_log::MaxVerdicts; ++Index)
    Log.record({"j", 0, 0, Index}, {1, 1, run_end::Lost, "", {}});
  CHECK(!Log.find({"j", 0, 0, 0}, 1));
  CHECK(Log.find({"j", 0, 0, 1}, 1));
  CHECK(Log.find({"j", 0, 0, verdict_log::MaxVerdicts}, 1));
}
