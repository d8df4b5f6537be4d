#include "ctl/refusal.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle::ctl;

TEST_CASE("a refusal shows code, rule, field and value") {
  auto Refusal = readRefusal(
      {409,
       R"({"error":"conflict","rule":"must be larger than 7","field":"number",)"
       R"("value":7,"verdict":"not-run"})",
       "", ""});
  CHECK(Refusal.Message == "conflict: must be larger than 7 (number is 7)");
  CHECK(Refusal.Code == exit_code::Refused);
  CHECK(Refusal.Final);
  CHECK(Refusal.CertainlyNotRun);
}

// Without a verdict the tool must not report that nothing was changed.
TEST_CASE("a reply without a verdict leaves the outcome uncertain") {
  CHECK_FALSE(readRefusal({503, "", "", ""}).CertainlyNotRun);
  CHECK_FALSE(readRefusal({503, "<html>", "", ""}).CertainlyNotRun);
  CHECK_FALSE(readRefusal({503, "[1]", "", "maybe"}).CertainlyNotRun);
  CHECK(readRefusal({503, "", "", "not-run"}).CertainlyNotRun);
}

TEST_CASE("only refusals that a retry would get again are final") {
  CHECK(readRefusal({404, "", "", ""}).Final);
  CHECK_FALSE(readRefusal({503, "", "", "not-run"}).Final);
  CHECK_FALSE(readRefusal({409, "", "", "may-have-run"}).Final);
}

TEST_CASE("bad input is distinguished from other refusals") {
  CHECK(readRefusal({400, "", "", ""}).Code == exit_code::BadInput);
  CHECK(readRefusal({413, "", "", ""}).Code == exit_code::BadInput);
  CHECK(readRefusal({404, "", "", ""}).Code == exit_code::Refused);
}
