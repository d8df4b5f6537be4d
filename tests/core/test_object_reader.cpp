#include "core/object_reader.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle::core;

namespace {

nlohmann::json parseOrThrow(std::string_view Text) {
  return std::get<0>(capture([&] { return parseJson(Text, 1 << 16); }));
}

} // namespace

TEST_CASE("comments are accepted and syntax errors are refused") {
  CHECK(parseOrThrow("{\"a\": 1 // one\n}")["a"] == 1);
  auto Outcome = capture([] { return parseJson("{\"a\": }", 100); });
  CHECK(std::get<1>(Outcome).Code == error_code::BadInput);
}

TEST_CASE("oversized and deeply nested documents are refused") {
  auto Large = capture([] { return parseJson("[1, 2, 3]", 4); });
  CHECK(std::get<1>(Large).Code == error_code::TooLarge);
  std::string Deep = std::string(100, '[') + std::string(100, ']');
  auto Nested = capture([&] { return parseJson(Deep, 1 << 16); });
  CHECK(std::get<1>(Nested).Code == error_code::BadInput);
}

TEST_CASE("the first error names path and value") {
  auto Value = parseOrThrow(R"({"slots": 99, "name": 3})");
  object_reader Reader(Value, "endpoints[2]");
  Reader.readInteger("slots", 1, 64);
  Reader.readString("name");
  auto Failure = captureFailure([&] { return Reader.finish(); });
  REQUIRE(Failure);
  CHECK(Failure->Field == "endpoints[2].slots");
  CHECK(Failure->Value == "99");
  CHECK(Failure->Message == "must be 1 to 64");
}

// A misspelled setting must not be ignored silently.
TEST_CASE("unknown and missing members are errors") {
  auto Value = parseOrThrow(R"({"slot": 8})");
  object_reader Unknown(Value, "");
  auto First = captureFailure([&] { return Unknown.finish(); });
  REQUIRE(First);
  CHECK(First->Field == "slot");
  object_reader Missing(Value, "");
  Missing.readInteger("slots", 1, 64);
  auto Second = captureFailure([&] { return Missing.finish(); });
  REQUIRE(Second);
  CHECK(Second->Field == "slots");
}

TEST_CASE("integers outside the 64-bit range are refused") {
  auto Value = parseOrThrow(R"({"n": 18446744073709551615})");
  object_reader Reader(Value, "");
  Reader.readInteger("n", 0, INT64_MAX);
  CHECK(Reader.error());
}
