#include "document_mutator.h"
#include "routing/entry_router.h"
#include "routing/messages.h"

#include <cmath>

using namespace lycheetrestle;
using namespace lycheetrestle::routing;
using lycheetrestle::test::document_format;

namespace {

std::vector<std::string> sampleMessages() {
  peer_reply Reply;
  Reply.Nonce = UINT64_MAX;
  Reply.Anchored = true;
  Reply.Delta.ViewIndex = 9;
  Reply.Delta.IsFull = true;
  Reply.Delta.Hosts = {
      {"w01", "gate", "kv-1", fleet::host_state::Draining, 4, 9}};
  Reply.Delta.Services = {{{"plots", "gate", fleet::work_class::Urgent, 2000}}};
  const std::vector<message> All = {
      probe{1, 2},
      probe_reply{3, true, "control-1", Reply.Delta},
      entry_report{1,
                   2,
                   true,
                   {{"w01", 3}},
                   {{"plots", 0.5}},
                   {{"plots", 1}},
                   {{"plots", 2}}},
      key_reserve{1, "plots/k", UINT64_MAX, "e1#1/2"},
      key_complete{1, "plots/k", "e1#1/2", 200, "text/plain",
                   std::string("\0\xff", 2), false},
      key_abandon{1, "plots/k", "e1#1/2"},
      key_reply{1, key_outcome::Stored, "", 200, "text/plain", "body", true},
      peer_probe{5, 6},
      Reply,
      announcements{7,
                    {{"ep1", 1, 2, "plots", "gate", "w01", "kv-1",
                      "10.0.0.1:80", 8, 64, true, 3, 40}}},
      slot_request{1, 2, "plots", fleet::work_class::Batch, 100, {"ep1"}},
      slot_grant{1, "plots", "ep1", 5},
      slot_refusal{1, "overloaded"},
      slot_cancel{1, "plots"},
      slot_release{"plots", "ep1", 5, 20, true},
      slot_report{"plots", 3, {{"ep1", 5, 100}}}};
  std::vector<std::string> Samples;
  for (const auto &Message : All)
    Samples.push_back(encode(Message));
  return Samples;
}

} // namespace

// Guards against a message of a peer that ends an entry or a control replica.
TEST_CASE("fuzz: odd messages between entries and control are refused") {
  test::fuzzResult(
      document_format::Cbor, sampleMessages(), 2000, decodeMessage,
      [](const message &Message) {
        if (const auto *Report = std::get_if<entry_report>(&Message))
          for (const auto &[Service, Demand] : Report->DemandByService)
            REQUIRE(std::isfinite(Demand));
        auto Bytes = encode(Message);
        auto Again = core::capture([&] { return decodeMessage(Bytes); });
        REQUIRE(Again.index() == 0);
        REQUIRE(encode(std::get<0>(Again)) == Bytes);
      });
}

// Chunks of a text of indefinite length may have indefinite length themselves;
// the parser recurses for each.
TEST_CASE("nested texts of indefinite length are refused without recursion") {
  auto Bytes = "\xa1" + std::string(test::MutatedDepth, '\x7f');
  CHECK(core::capture([&] { return decodeMessage(Bytes); }).index() == 1);
}

// Guards against an announcement that ends an entry, or that names no endpoint
// and is routed to nevertheless.
TEST_CASE("fuzz: odd announcements are refused") {
  const std::vector<std::string> Samples{
      R"({"endpoint":"ep1","incarnation":1,"sequence":2,"service":"plots",
          "pool":"gate","host":"w01","zone":"kv-1","address":"10.0.0.1:80",
          "slots":8,"connections":64,"state":"ready","in_flight":3})",
      R"({"endpoint":"ep1","incarnation":1,"sequence":2,"service":"plots",
          "pool":"gate","host":"w01","zone":"kv-1","address":"[::1]:65535",
          "state":"leaving"})"};
  test::fuzzResult(document_format::Json, Samples, 400, parseAnnouncement,
                   [](const announcement &Value) {
                     REQUIRE_FALSE(Value.Endpoint.empty());
                     REQUIRE_FALSE(Value.Service.empty());
                     REQUIRE_FALSE(Value.Host.empty());
                     REQUIRE(Value.Slots >= 1);
                     REQUIRE(Value.Connections >= 1);
                     REQUIRE(Value.Address.size() <= 64);
                     REQUIRE(Value.Address.find_first_of("@/ \r\n") ==
                             std::string::npos);
                   });
}
