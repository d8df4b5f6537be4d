#include "standin/load_report.h"
#include "standin/payload.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace lycheetrestle::standin;

namespace {

attempt_result makeResult() {
  attempt_result Result;
  Result.IsSent = true;
  Result.IsComplete = true;
  Result.Status = 200;
  Result.Verdict = "ran";
  Result.EchoedId = "id-1";
  Result.Body = makePayload("id-1", 50);
  return Result;
}

} // namespace

// Other tests rely on the load client to detect truncated, corrupt and crossed
// responses.
TEST_CASE("a payload is good only when intact and with the id of the request") {
  auto Body = makePayload("id-1", 50);
  CHECK(checkPayload(Body, "id-1") == payload_check::Good);
  CHECK(checkPayload(Body, "id-2") == payload_check::Foreign);
  CHECK(checkPayload(makePayload("id-1", 0), "id-1") == payload_check::Good);
  for (std::size_t Size = 0; Size < Body.size(); ++Size)
    CHECK(checkPayload(Body.substr(0, Size), "id-1") == payload_check::Corrupt);
  CHECK(checkPayload(Body + "x", "id-1") == payload_check::Corrupt);
  Body.back() ^= 1;
  CHECK(checkPayload(Body, "id-1") == payload_check::Corrupt);
}

TEST_CASE("an attempt counts as run only with verdict, id and payload") {
  CHECK(classify(makeResult(), "id-1", false) == attempt_kind::Ran);
  auto Change = GENERATE(
      as<std::function<void(attempt_result &)>>(),
      [](auto &Result) { Result.EchoedId = "id-2"; },
      [](auto &Result) { Result.EchoedId.clear(); },
      [](auto &Result) { Result.Verdict.clear(); },
      [](auto &Result) { Result.Status = 500; },
      [](auto &Result) { Result.Body.pop_back(); },
      [](auto &Result) { Result.Body = makePayload("id-2", 50); });
  auto Result = makeResult();
  Change(Result);
  CHECK(classify(Result, "id-1", false) == attempt_kind::Wrong);
}

TEST_CASE("refusals and losses are distinguished") {
  auto Result = makeResult();
  Result.Verdict = "not-run";
  CHECK(classify(Result, "id-1", false) == attempt_kind::NotRun);
  Result.Verdict = "may-have-run";
  CHECK(classify(Result, "id-1", false) == attempt_kind::MayHaveRun);
  Result.IsComplete = false;
  CHECK(classify(Result, "id-1", false) == attempt_kind::Lost);
  Result.IsTimeout = true;
  CHECK(classify(Result, "id-1", false) == attempt_kind::Timeout);
  Result.IsSent = false;
  CHECK(classify(Result, "id-1", false) == attempt_kind::NotRun);
}

// An endpoint sends no verdict with the response of a request that it ran.
TEST_CASE("a direct response needs no verdict") {
  auto Result = makeResult();
  Result.Verdict.clear();
  CHECK(classify(Result, "id-1", true) == attempt_kind::Ran);
}

TEST_CASE("the report counts final kinds, resends and latencies") {
  load_report Report;
  for (int Latency = 1; Latency <= 100; ++Latency)
    Report.add({"id", "", "GET", {attempt_kind::Ran}, {}, double(Latency)});
  Report.add({"id",
              "k",
              "POST",
              {attempt_kind::Lost, attempt_kind::MayHaveRun},
              {"key-held"},
              500});
  auto Json = nlohmann::json::parse(Report.json(10));
  CHECK(Json["requests"] == 101);
  CHECK(Json["attempts"] == 102);
  CHECK(Json["resends"] == 1);
  CHECK(Json["ran"] == 100);
  CHECK(Json["lost"] == 0);
  CHECK(Json["may_have_run"] == 1);
  CHECK(Json["attempts_by_kind"]["lost"] == 1);
  CHECK(Json["refusals"]["key-held"] == 1);
  CHECK(Json["latency_ms"]["median"] == 50);
  CHECK(Json["latency_ms"]["p99"] == 99);
  CHECK(Json["latency_ms"]["max"] == 100);
  CHECK(Report.wrong() == 0);
}
