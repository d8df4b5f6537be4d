#include "document_mutator.h"
#include "replication/messages.h"

using namespace lycheetrestle;
using namespace lycheetrestle::replication;
using lycheetrestle::test::document_format;

namespace {

const replica_id A{"10.0.0.1", 1};
const replica_id B{"10.0.0.2", 9};
const membership Members{{{A, true}, {B, false}}};

std::vector<std::string> sampleMessages() {
  append_message Append{3, 9, 4, 2, 4, {}};
  Append.Entries.push_back(
      {5, 3, entry_kind::Command, std::string("\0\xff", 2)});
  Append.Entries.push_back(
      {6, 3, entry_kind::Membership, encodeMembership(Members)});
  std::vector<std::string> Samples;
  for (const message_body &Body : std::vector<message_body>{
           Append, append_reply{3, 9, true, false, 4, 5, 0, 0, 0},
           vote_request{3, true, false, 4, 2},
           vote_reply{3, false, true, false},
           snapshot_part{3, 9, 4, 2, Members, 10, 4, "abc"},
           snapshot_reply{3, 9, 4, 7}, transfer_now{3}})
    Samples.push_back(encodeMessage({A, B, Body}));
  return Samples;
}

} // namespace

// Guards against a message of a replica that ends another one.
TEST_CASE("fuzz: odd messages between replicas are refused") {
  test::fuzzOptional(document_format::Cbor, sampleMessages(), 2000,
                     decodeMessage, [](const message &Message) {
                       REQUIRE_FALSE(Message.From.Name.empty());
                       REQUIRE(decodeMessage(encodeMessage(Message)) ==
                               Message);
                     });
}

TEST_CASE("fuzz: odd memberships are refused") {
  const std::vector<std::string> Samples{encodeMembership(Members)};
  test::fuzzOptional(document_format::Cbor, Samples, 2000, decodeMembership,
                     [](const membership &Value) {
                       REQUIRE_FALSE(Value.Members.empty());
                       REQUIRE(decodeMembership(encodeMembership(Value)) ==
                               Value);
                     });
}
