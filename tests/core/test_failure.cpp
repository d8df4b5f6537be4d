#include "core/failure.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace lycheetrestle::core;

TEST_CASE("capture keeps the value") {
  auto Outcome = capture([]() -> result<int> { return 7; });
  REQUIRE(std::get<0>(Outcome) == 7);
}

TEST_CASE("capture keeps every field of a failure") {
  auto Outcome = capture(
      []() -> result<int> { return failInput("a.b", "x", "must be y"); });
  const auto &Failure = std::get<1>(Outcome);
  CHECK(Failure.Code == error_code::BadInput);
  CHECK(Failure.Field == "a.b");
  CHECK(Failure.Value == "x");
  CHECK(Failure.Message == "must be y");
  CHECK(Failure.Verdict == verdict::NotRun);
}

// An exception does not show whether the request ran, so it must not become
// not-run.
TEST_CASE("capture turns an exception into may-have-run") {
  auto Outcome =
      capture([]() -> result<int> { throw std::runtime_error("broken"); });
  CHECK(std::get<1>(Outcome).Verdict == verdict::MayHaveRun);
}

TEST_CASE("captureFailure distinguishes success from failure") {
  CHECK(!captureFailure([]() -> result<void> { return {}; }));
  auto Failure = captureFailure([]() -> result<void> {
    return fail({error_code::Overloaded, "full", "", "", verdict::NotRun});
  });
  REQUIRE(Failure);
  CHECK(Failure->Code == error_code::Overloaded);
}

TEST_CASE("verdict names round-trip") {
  for (auto Value : {verdict::NotRun, verdict::MayHaveRun, verdict::Ran})
    CHECK(parseVerdict(toString(Value)) == Value);
  CHECK(!parseVerdict("executed"));
}
