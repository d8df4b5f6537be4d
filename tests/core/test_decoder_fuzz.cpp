#include "core/object_reader.h"
#include "document_mutator.h"

using namespace lycheetrestle;
using namespace lycheetrestle::core;
using lycheetrestle::test::document_format;

namespace {

failure failureOf(std::string_view Text, std::size_t MaxBytes) {
  auto Outcome = capture([&]() -> result<bool> {
    BOOST_LEAF_AUTO(Value, parseJson(Text, MaxBytes));
    object_reader Reader(Value, "");
    Reader.readString("name");
    BOOST_LEAF_CHECK(Reader.finish());
    return true;
  });
  REQUIRE(Outcome.index() == 1);
  return std::get<1>(Outcome);
}

} // namespace

// Guards against a sender of 4 MiB that fills the log and gets a response of
// several times that size: the text of a syntax error holds the last token, and
// an unknown field holds its name.
TEST_CASE("a failure of a large document has short texts") {
  constexpr std::size_t Size = 1u << 20;
  auto BadText = failureOf("{\"name\":\"" + std::string(Size, 'x') + "\xff\"}",
                           Size + 100);
  test::checkFailure(BadText);
  // The text still tells where the error is.
  CHECK(BadText.Message.find("column") != std::string::npos);
  test::checkFailure(failureOf(
      "{\"name\":\"a\",\"" + std::string(Size, 'k') + "\":1}", Size + 100));
  test::checkFailure(
      failureOf("{\"name\":[\"" + std::string(Size, 'v') + "\"]}", Size + 100));
}

TEST_CASE("fuzz: the JSON parser refuses odd documents") {
  const std::vector<std::string> Samples{
      R"({"a":1,"b":[true,null,"text",-1.5],"c":{"d":{"e":[[]]}}})",
      "// Comment.\n{\"list\":[1,2,3]}"};
  test::fuzzResult(
      document_format::Json, Samples, 400,
      [](std::string_view Text) { return parseJson(Text, 4u << 20); },
      [](const nlohmann::json &Value) {
        auto Text =
            Value.dump(-1, ' ', false, nlohmann::json::error_handler_t::strict);
        auto Again = capture([&] { return parseJson(Text, 8u << 20); });
        REQUIRE(Again.index() == 0);
        REQUIRE(std::get<0>(Again) == Value);
      });
}
