#include "core/cbor_limits.h"
#include "replication/membership_rules.h"
#include "replication/messages.h"
#include "virtual_cluster.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::replication;

namespace {

const replica_id A{"control-1", 1};
const replica_id B{"control-2", 2};

std::vector<message> sampleMessages() {
  const membership Members{{{A, true}, {B, false}}};
  std::vector<message> List;
  const auto Add = [&](message_body Body) {
    List.push_back({A, B, std::move(Body)});
  };
  append_message Append{3, 9, 4, 2, 4, {}};
  Append.Entries.push_back(
      {5, 3, entry_kind::Command, std::string("\0\xff", 2)});
  Append.Entries.push_back(
      {6, 3, entry_kind::Membership, encodeMembership(Members)});
  Add(Append);
  Add(append_reply{3, 9, true, false, 4, 5, 0, 0, 0});
  Add(vote_request{3, true, false, 4, 2});
  Add(vote_reply{3, false, true, false});
  Add(snapshot_part{3, 9, 4, 2, Members, 10, 4, "abc"});
  Add(snapshot_reply{3, 9, 4, 7});
  Add(transfer_now{3});
  return List;
}

// The state that a message could change, as text.
std::string describe(const raft_node &Node) {
  const raft_status S = Node.status();
  return std::to_string(static_cast<int>(S.Role)) + "/" +
         std::to_string(S.Term) + "/" + std::to_string(S.CommitIndex) + "/" +
         std::to_string(S.LastIndex) + "/" + (S.Leader ? S.Leader->Name : "");
}

} // namespace

TEST_CASE("every message decodes to what was encoded") {
  for (const message &Message : sampleMessages())
    CHECK(decodeMessage(encodeMessage(Message)) == Message);
}

// Guards against two encodings of one message: a replica of an earlier version
// reads the general one.
TEST_CASE("every message has the bytes of the general encoder") {
  for (const message &Message : sampleMessages()) {
    const std::string Bytes = encodeMessage(Message);
    std::string General;
    nlohmann::json::to_cbor(nlohmann::json::from_cbor(Bytes), General);
    CHECK(Bytes == General);
  }
}

TEST_CASE("truncated messages and messages with extra bytes are refused") {
  for (const message &Message : sampleMessages()) {
    const std::string Bytes = encodeMessage(Message);
    for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
      CHECK_FALSE(decodeMessage(std::string_view(Bytes).substr(0, Size)));
    CHECK_FALSE(decodeMessage(Bytes + "x"));
  }
}

// nlohmann-json decodes both forms recursively and would overflow the stack.
TEST_CASE("deep nesting and indefinite lengths are refused") {
  for (const char Head : {'\x81', '\x7f', '\x5f', '\x9f', '\xbf', '\xc1'})
    CHECK_FALSE(decodeMessage(std::string(1u << 20, Head)));
  CHECK_FALSE(
      core::isBoundedCbor("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 6, 1000));
  CHECK_FALSE(
      core::isBoundedCbor("\x5b\xff\xff\xff\xff\xff\xff\xff\xff", 6, 1000));
}

TEST_CASE("oversized messages are refused") {
  snapshot_part Part{3, 9, 4, 2, {{{A, true}}}, MaxMessageBytes, 0, ""};
  Part.Bytes.resize(MaxMessageBytes);
  CHECK_FALSE(decodeMessage(encodeMessage({A, B, Part})));
}

TEST_CASE("messages that no correct replica sends are refused") {
  const auto Refused = [](message_body Body) {
    return !decodeMessage(encodeMessage({A, B, std::move(Body)}));
  };
  using entries = std::vector<log_entry>;
  const entries Gap{{6, 3, entry_kind::Noop, ""}};
  const entries NewerTerm{{5, 4, entry_kind::Noop, ""}};
  const entries BadMembers{{5, 3, entry_kind::Membership, "x"}};
  CHECK(Refused(append_message{3, 1, 4, 2, 0, Gap}));
  CHECK(Refused(append_message{3, 1, 4, 2, 0, NewerTerm}));
  CHECK(Refused(append_message{3, 1, 4, 2, 0, BadMembers}));
  CHECK(Refused(append_message{3, 1, 4, 0, 0, {}}));
  CHECK(Refused(append_message{MaxCounter, 1, 0, 0, 0, {}}));
  CHECK(Refused(vote_request{3, false, false, 4, 3}));
  CHECK(Refused(snapshot_part{3, 9, 4, 2, {{{A, true}}}, 3, 2, "abc"}));
  CHECK(Refused(snapshot_part{3, 9, 4, 2, {{{A, true}, {A, true}}}, 0, 0, ""}));
  CHECK(Refused(snapshot_part{3, 9, 4, 2, {{{A, false}}}, 0, 0, ""}));
}

// Guards against state changes by messages of a faulty or malicious peer.
TEST_CASE("invalid messages change nothing") {
  virtual_cluster Cluster(3, 5);
  REQUIRE(Cluster.runUntil(std::chrono::seconds(5),
                           [&] { return Cluster.leader().has_value(); }));
  Cluster.run(std::chrono::milliseconds(500));
  const std::size_t Target = (*Cluster.leader() + 1) % 3;
  const replica_id To = Cluster.host(Target).Id;
  const replica_id Peer = Cluster.host((Target + 1) % 3).Id;
  const raft_status Status = Cluster.node(Target).status();
  const std::string Before = describe(Cluster.node(Target));
  const auto Term = Status.Term;
  const auto Receive = [&](const replica_id &From, message_body Body) {
    Cluster.node(Target).receive(
        From, encodeMessage({From, To, std::move(Body)}), Cluster.now());
  };
  // A term far ahead would exhaust the range of terms.
  Receive(Peer, append_message{Term + (1ull << 40u), 1, 0, 0, 0, {}});
  // Contradicts the committed no-op entry.
  append_message Contradiction{Term + 1, 1, 0, 0, 0, {}};
  Contradiction.Entries.push_back({1, Term + 1, entry_kind::Noop, ""});
  Receive(Peer, Contradiction);
  // A second leader in one term.
  Receive({"control-9", 9}, append_message{Term, 1, 0, 0, 0, {}});
  // A snapshot larger than the limit.
  Receive(Peer, snapshot_part{Term + 1, 1, 99, 1, Status.Members, 1ull << 40u,
                              0, "abc"});
  // A vote request while a leader is active; legitimate, so not counted.
  Receive(Peer, vote_request{Term + 5, false, false, 99, Term});
  // The message names another sender than the transport.
  Cluster.node(Target).receive(
      {"control-9", 0},
      encodeMessage({Peer, To, append_message{Term + 1, 1, 0, 0, 0, {}}}),
      Cluster.now());
  CHECK(describe(Cluster.node(Target)) == Before);
  CHECK(Cluster.node(Target).status().DroppedMessages +
            Cluster.node(Target).status().ConflictingMessages >=
        5);
}

// Guards against crashes by corrupted bytes; the node's invariants are checked.
TEST_CASE("randomly corrupted messages do not crash a replica") {
  std::mt19937_64 Random(7);
  const replica_id To{"control-1", 1};
  raft_node Node({.Self = To}, {}, {{{To, true}, {B, true}}}, {});
  for (int I = 0; I < 20000; ++I) {
    message Message = sampleMessages()[Random() % 7];
    Message.From = B;
    Message.To = To;
    std::string Bytes = encodeMessage(Message);
    for (std::size_t Flips = 1 + Random() % 3; Flips > 0; --Flips)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    Node.receive(B, Bytes, {});
  }
  CHECK(Node.status().DroppedMessages > 0);
}

// Guards against two members that no replica can tell apart, and against a list
// of incarnations without a bound.
TEST_CASE("a membership has at most two incarnations of a name") {
  membership Members{{{{"a", 1}, true}, {{"b", 1}, true}}};
  CHECK(isValidMembership(Members));
  Members.Members.push_back({{"b", 2}, false});
  CHECK(isValidMembership(Members));
  CHECK(decodeMembership(encodeMembership(Members)) == Members);
  auto Third = Members;
  Third.Members.push_back({{"b", 3}, false});
  CHECK_FALSE(isValidMembership(Third));
  CHECK_FALSE(decodeMembership(encodeMembership(Third)));
  auto Twice = Members;
  Twice.Members.push_back({{"a", 1}, false});
  CHECK_FALSE(isValidMembership(Twice));
  Members.Members.push_back({{"", 1}, false});
  CHECK_FALSE(isValidMembership(Members));
}
