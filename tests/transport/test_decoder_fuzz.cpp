#include "document_mutator.h"
#include "transport/hello.h"

using namespace lycheetrestle;
using namespace lycheetrestle::transport;
using lycheetrestle::test::document_format;

// Guards against a connection whose first message ends a process.
TEST_CASE("fuzz: odd hellos are refused") {
  const std::vector<std::string> Samples{encodeHello({"10.0.0.1", 1}),
                                         encodeHello({"gateway-a", 1u << 31})};
  test::fuzzOptional(
      document_format::Cbor, Samples, 2000,
      [](std::string_view Bytes) { return decodeHello(std::string(Bytes)); },
      [](const hello &Hello) {
        REQUIRE_FALSE(Hello.Name.empty());
        REQUIRE(Hello.Name.size() <= MaxNameBytes);
        auto Again = decodeHello(encodeHello(Hello));
        REQUIRE(Again);
        REQUIRE(Again->Name == Hello.Name);
        REQUIRE(Again->Stamp == Hello.Stamp);
      });
}

// Guards against a stamp that is read as a large number: no later link of that
// process would replace the one with this hello.
TEST_CASE("a hello whose stamp is not a whole number is refused") {
  for (const nlohmann::json &Stamp :
       std::vector<nlohmann::json>{-1, 1.5, 1e300, true, "1"}) {
    std::string Bytes;
    nlohmann::json::to_cbor(
        {{"type", "hello"}, {"from", "a"}, {"stamp", Stamp}, {"version", 1}},
        Bytes);
    INFO(Stamp);
    CHECK_FALSE(decodeHello(Bytes));
  }
}
