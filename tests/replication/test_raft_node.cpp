#include "replication/membership_rules.h"
#include "replication/messages.h"
#include "virtual_cluster.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::replication;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const replica_id Self{"control-1", 1};
const replica_id Peer{"control-2", 2};
const replica_id Third{"control-3", 3};
const membership ThreeVoters{{{Self, true}, {Peer, true}, {Third, true}}};

core::time_point afterMs(int Milliseconds) {
  return core::time_point(milliseconds(Milliseconds));
}

template <typename Body>
std::vector<Body> bodies(const raft_output &Output, const replica_id &To) {
  std::vector<Body> Found;
  for (const outgoing_message &Message : Output.Messages) {
    const auto Decoded = decodeMessage(Message.Bytes);
    REQUIRE(Decoded);
    if (Decoded->To == To && std::holds_alternative<Body>(Decoded->Body))
      Found.push_back(std::get<Body>(Decoded->Body));
  }
  return Found;
}

void deliver(raft_node &Node, message_body Body, core::time_point Now,
             const replica_id &From = Peer) {
  Node.receive(From, encodeMessage({From, Self, std::move(Body)}), Now);
}

// Elects the node with the vote of Peer and syncs everything.
void elect(raft_node &Node, core::time_point Now) {
  Node.tick(Now);
  Node.takeOutput();
  const auto Term = Node.status().Term + 1;
  deliver(Node, vote_reply{Term, true, true, false}, Now);
  auto Output = Node.takeOutput();
  Node.stored(Output.Write->Ticket, Now);
  deliver(Node, vote_reply{Term, false, true, false}, Now);
  REQUIRE(Node.status().Role == raft_role::Leader);
}

core::error_code codeOf(const core::outcome<std::uint64_t> &Outcome) {
  REQUIRE(std::holds_alternative<core::failure>(Outcome));
  return std::get<core::failure>(Outcome).Code;
}

std::size_t waitForLeader(virtual_cluster &Cluster) {
  REQUIRE(Cluster.runUntil(seconds(10), [&] {
    const auto Leader = Cluster.leader();
    return Leader && Cluster.node(*Leader).status().CommitIndex > 0;
  }));
  Cluster.run(milliseconds(300));
  return *Cluster.leader();
}

void isolate(virtual_cluster &Cluster, std::size_t Host, bool Blocked) {
  for (std::size_t I = 0; I < Cluster.size(); ++I) {
    if (I == Host)
      continue;
    Cluster.setBlocked(I, Host, Blocked);
    Cluster.setBlocked(Host, I, Blocked);
  }
}

} // namespace

// A vote lost in a crash would allow two leaders in one term.
TEST_CASE("a vote is sent only after it is stored") {
  raft_node Node({.Self = Self}, {}, ThreeVoters, {});
  deliver(Node, vote_request{5, false, false, 0, 0}, {});
  auto Output = Node.takeOutput();
  REQUIRE(Output.Write);
  CHECK(Output.Write->Hard->Vote == Peer);
  CHECK(Output.Messages.empty());
  Node.stored(Output.Write->Ticket, {});
  const auto Replies = bodies<vote_reply>(Node.takeOutput(), Peer);
  REQUIRE(Replies.size() == 1);
  CHECK(Replies[0].Granted);
  deliver(Node, vote_request{5, false, false, 0, 0}, {}, Third);
  const auto Second = bodies<vote_reply>(Node.takeOutput(), Third);
  REQUIRE(Second.size() == 1);
  CHECK_FALSE(Second[0].Granted);
}

// Guards against initial voters whose logs differ, and against a leader of the
// term of the first entry.
TEST_CASE("a bootstrapped log begins with the membership, in a term without a "
          "leader") {
  raft_node Node({.Self = Self}, {}, {}, {});
  CHECK_FALSE(Node.bootstrap({}));
  REQUIRE(Node.bootstrap(ThreeVoters));
  CHECK_FALSE(Node.bootstrap(ThreeVoters));
  CHECK(Node.status().Members == ThreeVoters);
  auto Output = Node.takeOutput();
  REQUIRE(Output.Write);
  REQUIRE(Output.Write->Append.size() == 1);
  CHECK(Output.Write->Append[0].Index == 1);
  CHECK(Output.Write->Append[0].Term == 1);
  REQUIRE(Output.Write->Hard);
  CHECK(Output.Write->Hard->Term == 1);
  Node.stored(Output.Write->Ticket, {});
  elect(Node, afterMs(10'000));
  CHECK(Node.status().Term == 2);
  CHECK_FALSE(Node.bootstrap(ThreeVoters));
}

TEST_CASE("an initial voter that was not bootstrapped follows a leader that "
          "was") {
  raft_node Node({.Self = Self}, {}, {}, {});
  append_message Append;
  Append.Term = 2;
  Append.Entries = {
      {1, 1, entry_kind::Membership, encodeMembership(ThreeVoters)},
      {2, 2, entry_kind::Noop, ""}};
  deliver(Node, Append, {});
  CHECK(Node.status().Members == ThreeVoters);
  CHECK(Node.status().LastIndex == 2);
  CHECK_FALSE(Node.bootstrap(ThreeVoters));
}

// A replica that lost its disk must not act on messages for its previous
// incarnation, whose votes and entries it no longer has.
TEST_CASE("messages for another incarnation are ignored") {
  raft_node Node({.Self = Self}, {}, ThreeVoters, {});
  const replica_id Predecessor{Self.Name, Self.Incarnation + 7};
  Node.receive(
      Peer, encodeMessage({Peer, Predecessor, vote_request{5, false, false}}),
      {});
  CHECK(Node.status().Term == 0);
  const auto Output = Node.takeOutput();
  CHECK_FALSE(Output.Write);
  CHECK(Output.Messages.empty());
}

// A leader that lacks a committed entry would overwrite it.
TEST_CASE("a candidate with an older log gets no vote") {
  persistent_state Found;
  Found.Hard.Term = 3;
  Found.Entries = {{1, 1, entry_kind::Noop, ""}, {2, 3, entry_kind::Noop, ""}};
  raft_node Node({.Self = Self}, Found, ThreeVoters, {});
  const auto IsGranted = [&](const vote_request &Request) {
    deliver(Node, Request, {});
    if (auto Output = Node.takeOutput(); Output.Write)
      Node.stored(Output.Write->Ticket, {});
    else
      return bodies<vote_reply>(Output, Peer).back().Granted;
    return bodies<vote_reply>(Node.takeOutput(), Peer).back().Granted;
  };
  CHECK_FALSE(IsGranted({4, true, false, 1, 3}));
  CHECK_FALSE(IsGranted({4, true, false, 9, 2}));
  CHECK_FALSE(IsGranted({4, false, false, 1, 3}));
  CHECK_FALSE(IsGranted({5, false, false, 9, 2}));
  CHECK(IsGranted({6, false, false, 2, 3}));
}

// An entry that a crash could lose must not be acknowledged.
TEST_CASE("an append is acknowledged only as far as it is stored") {
  raft_node Node({.Self = Self}, {}, ThreeVoters, {});
  deliver(Node, append_message{2, 1, 0, 0, 0, {{1, 2, entry_kind::Noop, ""}}},
          {});
  auto Output = Node.takeOutput();
  REQUIRE(Output.Write);
  CHECK(Output.Messages.empty());
  Node.stored(Output.Write->Ticket, {});
  const auto Replies = bodies<append_reply>(Node.takeOutput(), Peer);
  REQUIRE_FALSE(Replies.empty());
  CHECK(Replies.back().Match == 1);
  deliver(Node,
          append_message{2, 2, 1, 2, 0, {{2, 2, entry_kind::Command, "x"}}},
          {});
  const auto Early = bodies<append_reply>(Node.takeOutput(), Peer);
  REQUIRE(Early.size() == 1);
  CHECK(Early[0].Match == 1);
  CHECK(Early[0].Received == 2);
}

// Entries after the matched ones may differ from those that were committed.
TEST_CASE("a follower commits only what matches the leader's log") {
  persistent_state Found;
  Found.Hard.Term = 1;
  Found.Entries = {{1, 1, entry_kind::Noop, ""}, {2, 1, entry_kind::Noop, ""}};
  raft_node Node({.Self = Self}, Found, ThreeVoters, {});
  deliver(Node, append_message{2, 1, 1, 1, 2, {}}, {});
  CHECK(Node.status().CommitIndex == 1);
}

TEST_CASE("a single replica commits only what it has stored") {
  raft_node Node({.Self = Self}, {}, {{{Self, true}}}, {});
  Node.tick(afterMs(3000));
  auto Vote = Node.takeOutput();
  REQUIRE(Vote.Write);
  Node.stored(Vote.Write->Ticket, afterMs(3001));
  REQUIRE(Node.status().Role == raft_role::Leader);
  auto Noop = Node.takeOutput();
  REQUIRE(Noop.Write);
  CHECK(Noop.Committed.empty());
  Node.stored(Noop.Write->Ticket, afterMs(3002));
  CHECK(Node.takeOutput().Committed.size() == 1);
}

// An entry of an older term can still be replaced, even when a majority has it.
TEST_CASE("an old entry commits only with one of the leader's term") {
  persistent_state Found;
  Found.Hard.Term = 1;
  Found.Entries = {{1, 1, entry_kind::Command, "old"}};
  raft_node Node({.Self = Self}, Found, ThreeVoters, {});
  elect(Node, afterMs(3000));
  auto Output = Node.takeOutput();
  Node.stored(Output.Write->Ticket, afterMs(3001));
  deliver(Node, append_reply{2, 1, true, false, 1, 1, 0, 0, 0}, afterMs(3002));
  CHECK(Node.status().CommitIndex == 0);
  deliver(Node, append_reply{2, 1, true, false, 2, 2, 0, 0, 0}, afterMs(3003));
  CHECK(Node.status().CommitIndex == 2);
}

TEST_CASE("a read needs a round that starts after it and an own commit") {
  raft_node Node({.Self = Self}, {}, ThreeVoters, {});
  elect(Node, afterMs(3000));
  auto Output = Node.takeOutput();
  Node.stored(Output.Write->Ticket, afterMs(3001));
  REQUIRE(std::holds_alternative<std::uint64_t>(
      core::capture([&] { return Node.requestRead(afterMs(3002)); })));
  // Round 2 starts before the no-op is committed.
  Node.tick(afterMs(3100));
  deliver(Node, append_reply{1, 2, true, false, 0, 0, 0, 0, 0}, afterMs(3101));
  CHECK(Node.takeOutput().Reads.empty());
  deliver(Node, append_reply{1, 2, true, false, 1, 1, 0, 0, 0}, afterMs(3102));
  CHECK(Node.takeOutput().Reads.empty());
  Node.tick(afterMs(3200));
  deliver(Node, append_reply{1, 2, true, false, 1, 1, 0, 0, 0}, afterMs(3201));
  CHECK(Node.takeOutput().Reads.empty());
  deliver(Node, append_reply{1, 3, true, false, 1, 1, 0, 0, 0}, afterMs(3202));
  const auto Reads = Node.takeOutput().Reads;
  REQUIRE(Reads.size() == 1);
  CHECK(Reads[0].Confirmed);
  CHECK(Reads[0].Index == 1);
}

TEST_CASE("bytes in flight to a follower and proposals are bounded") {
  raft_settings Settings{.Self = Self};
  Settings.MaxAppendBytes = 1000;
  Settings.MaxInFlightBytes = 4000;
  Settings.MaxUncommittedBytes = 50000;
  raft_node Node(Settings, {}, ThreeVoters, {});
  elect(Node, afterMs(3000));
  Node.takeOutput();
  deliver(Node, append_reply{1, 1, true, false, 0, 0, 0, 0, 0}, afterMs(3001));
  core::outcome<std::uint64_t> Last;
  for (int I = 0; I < 200; ++I)
    Last = core::capture([&] { return Node.propose(std::string(400, 'x')); });
  CHECK(codeOf(Last) == core::error_code::Overloaded);
  CHECK(codeOf(core::capture([&] {
          return Node.propose(std::string(Settings.MaxPayloadBytes + 1, 'x'));
        })) == core::error_code::TooLarge);
  std::size_t Sent = 0;
  for (const append_message &Append :
       bodies<append_message>(Node.takeOutput(), Peer))
    for (const log_entry &Entry : Append.Entries)
      Sent += Entry.Payload.size();
  CHECK(Sent >= 2000);
  CHECK(Sent <= 5000);
}

TEST_CASE("a long divergent log is matched in a few messages") {
  persistent_state Found;
  Found.Hard.Term = 3;
  for (std::uint64_t I = 1; I <= 1000; ++I)
    Found.Entries.push_back({I, I <= 10 ? 1u : 3u, entry_kind::Noop, ""});
  raft_node Node({.Self = Self}, Found, ThreeVoters, {});
  deliver(Node, append_message{4, 1, 900, 2, 0, {}}, {});
  auto Output = Node.takeOutput();
  Node.stored(Output.Write->Ticket, {});
  const auto Replies = bodies<append_reply>(Node.takeOutput(), Peer);
  REQUIRE(Replies.size() == 1);
  CHECK_FALSE(Replies[0].Accepted);
  CHECK(Replies[0].HintIndex == 10);
  CHECK(Replies[0].HintTerm == 1);
}

TEST_CASE("only one member may change, after an entry of the term commits") {
  raft_node Node({.Self = Self}, {}, ThreeVoters, {});
  elect(Node, afterMs(3000));
  const membership Two{{{Self, true}, {Peer, true}}};
  const auto Propose = [&](const membership &Target) {
    return core::capture([&] { return Node.proposeMembership(Target); });
  };
  CHECK(codeOf(Propose(Two)) == core::error_code::Conflict);
  auto Output = Node.takeOutput();
  Node.stored(Output.Write->Ticket, afterMs(3001));
  deliver(Node, append_reply{1, 1, true, false, 1, 1, 0, 0, 0}, afterMs(3002));
  CHECK(codeOf(Propose({{{Self, true}}})) == core::error_code::BadInput);
  CHECK(codeOf(Propose(ThreeVoters)) == core::error_code::BadInput);
  REQUIRE(std::holds_alternative<std::uint64_t>(Propose(Two)));
  CHECK(Node.status().Members == Two);
  CHECK(codeOf(Propose({{{Self, true}}})) == core::error_code::Conflict);
}

TEST_CASE("a truncated membership change is rolled back") {
  raft_node Node({.Self = Self}, {}, ThreeVoters, {});
  const membership Two{{{Self, true}, {Peer, true}}};
  deliver(
      Node,
      append_message{2,
                     1,
                     0,
                     0,
                     0,
                     {{1, 2, entry_kind::Membership, encodeMembership(Two)}}},
      {});
  CHECK(Node.status().Members == Two);
  deliver(Node, append_message{3, 1, 0, 0, 0, {{1, 3, entry_kind::Noop, ""}}},
          {}, Third);
  CHECK(Node.status().Members == ThreeVoters);
}

// An isolated leader must step down and fail its reads, or they may be stale.
TEST_CASE("an isolated leader steps down and another one is elected") {
  virtual_cluster Cluster(3, 11);
  const std::size_t Old = waitForLeader(Cluster);
  isolate(Cluster, Old, true);
  const auto Token = Cluster.read(Old);
  REQUIRE(Token);
  Cluster.run(milliseconds(1200));
  CHECK(Cluster.node(Old).status().Role != raft_role::Leader);
  CHECK(Cluster.host(Old).ConfirmedReads.count(*Token) == 0);
  CHECK(Cluster.host(Old).Reads.empty());
  const std::size_t New = waitForLeader(Cluster);
  CHECK(New != Old);
  // Pre-vote keeps the term of the isolated replica from growing.
  const auto Term = Cluster.node(New).status().Term;
  Cluster.run(seconds(20));
  isolate(Cluster, Old, false);
  Cluster.run(seconds(3));
  CHECK(Cluster.node(New).status().Role == raft_role::Leader);
  CHECK(Cluster.node(New).status().Term == Term);
}

TEST_CASE("a removed replica does not disturb the others") {
  virtual_cluster Cluster(3, 12);
  const std::size_t Leader = waitForLeader(Cluster);
  const std::size_t RemovedHost = (Leader + 1) % 3;
  isolate(Cluster, RemovedHost, true); // it is not notified of its removal
  membership Target = Cluster.node(Leader).status().Members;
  std::erase_if(Target.Members, [&](const member &Member) {
    return Member.Id == Cluster.host(RemovedHost).Id;
  });
  REQUIRE(std::holds_alternative<std::uint64_t>(core::capture(
      [&] { return Cluster.node(Leader).proposeMembership(Target); })));
  Cluster.processOutput(Leader);
  Cluster.run(seconds(5));
  isolate(Cluster, RemovedHost, false);
  const auto Term = Cluster.node(Leader).status().Term;
  Cluster.run(seconds(20));
  CHECK(Cluster.node(Leader).status().Role == raft_role::Leader);
  CHECK(Cluster.node(Leader).status().Term == Term);
  CHECK(Cluster.node(RemovedHost).status().Role == raft_role::Follower);
}

TEST_CASE("a lagging follower gets a snapshot although parts are lost") {
  raft_settings Settings;
  Settings.SnapshotPartBytes = 500;
  virtual_cluster Cluster(3, 13, Settings);
  const std::size_t Leader = waitForLeader(Cluster);
  const std::size_t Lagging = (Leader + 1) % 3;
  Cluster.crash(Lagging);
  for (int I = 0; I < 200; ++I) {
    Cluster.propose(Leader, "p");
    Cluster.run(milliseconds(10));
  }
  Cluster.run(milliseconds(200));
  const auto Last = Cluster.Checks.lastAcknowledged();
  REQUIRE(Last >= 200);
  Cluster.Faults = {30, 20, 50};
  Cluster.restart(Lagging);
  CHECK(Cluster.runUntil(
      seconds(20), [&] { return Cluster.host(Lagging).State.Index >= Last; }));
  CHECK(Cluster.node(Lagging).status().SnapshotIndex > 100);
}

TEST_CASE("leadership is transferred without waiting for a timeout") {
  virtual_cluster Cluster(5, 14);
  const std::size_t Old = waitForLeader(Cluster);
  Cluster.node(Old).transferLeadership(Cluster.now());
  Cluster.processOutput(Old);
  CHECK_FALSE(Cluster.propose(Old, "p"));
  CHECK(Cluster.runUntil(milliseconds(300), [&] {
    const auto Leader = Cluster.leader();
    return Leader && *Leader != Old;
  }));
}

TEST_CASE("a leader with a full disk steps down and recovers") {
  virtual_cluster Cluster(3, 15);
  const std::size_t Old = waitForLeader(Cluster);
  Cluster.setDiskFull(Old, true);
  Cluster.propose(Old, "p");
  Cluster.run(milliseconds(250));
  CHECK(Cluster.node(Old).status().Role == raft_role::Follower);
  CHECK(Cluster.node(Old).status().StorageFailing);
  const std::size_t New = waitForLeader(Cluster);
  CHECK(New != Old);
  CHECK(Cluster.propose(New, "q"));
  Cluster.run(seconds(1));
  Cluster.setDiskFull(Old, false);
  CHECK(Cluster.runUntil(seconds(5), [&] {
    return Cluster.host(Old).State.Index == Cluster.Checks.lastCommitted();
  }));
  CHECK_FALSE(Cluster.node(Old).status().StorageFailing);
}

TEST_CASE("lost disks return as learners and are promoted, twice") {
  virtual_cluster Cluster(3, 16);
  for (int I = 0; I < 2; ++I) {
    const std::size_t Leader = waitForLeader(Cluster);
    REQUIRE(Cluster.propose(Leader, "p"));
    Cluster.run(milliseconds(200));
    const std::size_t Lost = (Leader + static_cast<std::size_t>(I)) % 3;
    REQUIRE(Cluster.mayLoseDisk(Lost));
    Cluster.loseDisk(Lost);
    CHECK(Cluster.node(Lost).status().Role == raft_role::Learner);
    CHECK(Cluster.runUntil(seconds(20), [&] {
      Cluster.repairMembership();
      return Cluster.hasFullMembership();
    }));
  }
}
