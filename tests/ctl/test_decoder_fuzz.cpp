#include "ctl/command_context.h"
#include "ctl/refusal.h"
#include "ctl/report.h"
#include "ctl/wait_command.h"
#include "document_mutator.h"

#include <algorithm>
#include <sstream>

using namespace lycheetrestle;
using namespace lycheetrestle::ctl;
using lycheetrestle::test::document_format;

namespace {

const std::vector<std::string> Replies{
    R"({"hosts":[{"name":"w1","state":"in_service","since":1700000000000,
        "jobs":[1,2]},{"name":"w2","epoch":3}]})",
    R"({"declaration_number":7,"in_force":{"number":6,"waiting":["e1","e2"]},
        "time_ms":1700000000000,"replicas":[{"name":"c1"}]})",
    R"({"error":"conflict","rule":"must be larger than 7","field":"number",
        "value":7,"verdict":"not-run"})",
    "[]", R"(["a",1,null])"};

/// Bytes that would change a terminal; a line ends with a line break.
bool isSafe(const std::string &Text) {
  return std::none_of(Text.begin(), Text.end(), [](unsigned char C) {
    return (C < 0x20 && C != '\n') || C == 0x7f;
  });
}

} // namespace

// Guards against a reply of a replica that ends the tool.
TEST_CASE("fuzz: odd replies are shown without a failure") {
  test::fuzzDecoder(
      document_format::Json, Replies, 400, [](std::string_view Body) {
        std::ostringstream Report, Json;
        writeReport(Report, Body);
        writeJson(Json, Body);
        REQUIRE(isSafe(Report.str()));
        // A body that is not JSON is shown as it is.
        REQUIRE(Report.str().size() <= 100 * Body.size() + 1000);
        call_outcome Outcome;
        Outcome.Body = std::string(Body);
        checkChangedObject(Outcome, "name", "w1");
        auto Refusal = readRefusal({409, std::string(Body), "", ""});
        REQUIRE_FALSE(Refusal.Message.empty());
        REQUIRE(isSafe(Refusal.Message));
        return !Json.str().empty() && nlohmann::json::accept(Body);
      });
}

TEST_CASE("a deeply nested reply is shown without recursion") {
  auto Nested = std::string(test::MutatedDepth, '[') +
                std::string(test::MutatedDepth, ']');
  for (const auto &Body :
       {Nested, R"({"hosts":)" + Nested + "}",
        R"({"error":)" + Nested + R"(,"name":)" + Nested + "}"}) {
    std::ostringstream Out;
    writeReport(Out, Body);
    writeJson(Out, Body);
    CHECK_FALSE(Out.str().empty());
    call_outcome Outcome;
    Outcome.Body = Body;
    checkChangedObject(Outcome, "name", "w1");
    CHECK_FALSE(readRefusal({409, Body, "", ""}).Message.empty());
    CHECK_FALSE(readRolloutProgress(Body));
  }
}

// Guards against a wait that ends too early: -1 is not the largest number.
TEST_CASE("a rollout status with odd numbers is refused") {
  for (const char *Number : {"-1", "1.5", "1e300", "true", "\"7\"", "null"}) {
    INFO(Number);
    auto Status = [&](std::string Accepted, std::string InForce) {
      return R"({"declaration_number":)" + Accepted +
             R"(,"in_force":{"number":)" + InForce + R"(,"waiting":[]}})";
    };
    CHECK_FALSE(readRolloutProgress(Status(Number, "7")));
    CHECK_FALSE(readRolloutProgress(Status("7", Number)));
    CHECK(readRolloutProgress(Status("7", "7")));
  }
}

TEST_CASE("fuzz: odd rollout states are refused") {
  const std::vector<std::string> Samples{Replies[1]};
  test::fuzzOptional(document_format::Json, Samples, 400, readRolloutProgress,
                     [](const rollout_progress &Progress) {
                       REQUIRE(isSafe(Progress.Waiting));
                     });
}
