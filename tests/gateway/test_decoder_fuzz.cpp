#include "document_mutator.h"
#include "gateway/gateway_settings.h"
#include "gateway/messages.h"

using namespace lycheetrestle;
using namespace lycheetrestle::gateway;
using lycheetrestle::test::document_format;

// Guards against a frame of a peer that ends a gateway or a scheduler.
TEST_CASE("fuzz: odd messages between gateways and schedulers are refused") {
  const std::vector<std::string> Samples{
      encodeMessage(status_message{true, 7, {"10.0.0.1", "10.0.0.2"}}),
      encodeMessage(call_message{3, "POST", "h.example", "/q/0123456789abcdef",
                                 std::string("{}\0\xff", 4),
                                 std::string(64, 'a')}),
      encodeMessage(reply_message{3, true, false, 503, 1, "body"})};
  test::fuzzOptional(
      document_format::Cbor, Samples, 2000, decodeMessage,
      [](const message &Message) {
        const auto *Reply = std::get_if<reply_message>(&Message);
        if (Reply && Reply->IsHandled)
          REQUIRE((Reply->Status >= 200 && Reply->Status <= 599));
        REQUIRE(decodeMessage(encodeMessage(Message)) == Message);
      });
}

TEST_CASE("fuzz: odd settings of a gateway are refused") {
  const std::vector<std::string> Samples{R"({
    "role":"gateway","name":"g1","address":"10.0.0.1","listen":"10.0.0.1:80",
    "readiness":"10.0.0.1:81","metrics":"10.0.0.1:9465","link_port":7001,
    "scheduler_link_port":7000,"seeds":["10.0.0.2:8080"]})"};
  test::fuzzResult(document_format::Json, Samples, 400, parseGatewaySettings,
                   [](const gateway_settings &Settings) {
                     REQUIRE_FALSE(Settings.Name.empty());
                     REQUIRE(Settings.Listen.Port != 0);
                     REQUIRE(Settings.Readiness.Port != 0);
                     REQUIRE(Settings.LinkPort != 0);
                     REQUIRE(Settings.SchedulerLinkPort != 0);
                   });
}
