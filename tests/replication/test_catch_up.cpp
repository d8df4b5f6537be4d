#include "replication/membership_rules.h"
#include "replication/messages.h"
#include "replication/raft_node.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <variant>

using namespace lycheetrestle;
using namespace lycheetrestle::replication;
using std::chrono::milliseconds;

namespace {

const replica_id Self{"control-1", 1};
const replica_id Peer{"control-2", 2};
const replica_id Learner{"control-3", 3};

/// A leader with a voter that stores every entry at once, and a learner.
class loaded_leader {
public:
  loaded_leader()
      : Node({.Self = Self, .ElectionTimeout = milliseconds(600)}, {},
             {{{Self, true}, {Peer, true}, {Learner, false}}}, {}) {
    Now += milliseconds(3000);
    Node.tick(Now);
    Node.takeOutput();
    deliver(vote_reply{1, true, true, false}, Peer);
    sync();
    deliver(vote_reply{1, false, true, false}, Peer);
    commit();
  }

  /// Commits one entry every 10 ms.
  /// \param Stored returns what the learner has synced of the commit index.
  /// \returns whether the learner has caught up at the end.
  template <typename Function>
  bool run(core::duration Time, const Function &Stored) {
    for (auto End = Now + Time; Now < End;) {
      Now += milliseconds(10);
      Node.tick(Now);
      auto Outcome = core::capture([&] { return Node.propose("p"); });
      REQUIRE(std::holds_alternative<std::uint64_t>(Outcome));
      commit();
      Synced =
          std::max<std::uint64_t>(Synced, Stored(Node.status().CommitIndex));
      REQUIRE(Synced < Node.status().CommitIndex);
      if (Synced > 0)
        acknowledge(Learner, Synced);
    }
    return Node.hasCaughtUp(Learner);
  }

  core::time_point Now{};

private:
  void deliver(message_body Body, const replica_id &From) {
    Node.receive(From, encodeMessage({From, Self, std::move(Body)}), Now);
  }
  void acknowledge(const replica_id &From, std::uint64_t Index) {
    append_reply Reply;
    Reply.Term = 1;
    Reply.Accepted = true;
    Reply.Match = Index;
    Reply.Received = Index;
    deliver(Reply, From);
  }
  void sync() {
    while (auto Write = Node.takeOutput().Write)
      Node.stored(Write->Ticket, Now);
  }
  void commit() {
    sync();
    acknowledge(Peer, Node.status().LastIndex);
    REQUIRE(Node.status().CommitIndex == Node.status().LastIndex);
  }

  raft_node Node;
  std::uint64_t Synced = 0;
};

std::uint64_t behind(std::uint64_t Commit, std::uint64_t Entries) {
  return Commit - std::min(Commit, Entries);
}

} // namespace

// Guards against a spare that waits for as long as the load lasts: its disk is
// slower than those of a majority, so it never has the last committed entry.
TEST_CASE("a learner that is a fixed time behind under load has caught up") {
  loaded_leader Cluster;
  CHECK(Cluster.run(milliseconds(1500),
                    [](std::uint64_t Commit) { return behind(Commit, 10); }));
}

// Guards against a voter that delays every commit by more and more.
TEST_CASE("a learner that stores less than is committed has not caught up") {
  loaded_leader Cluster;
  CHECK_FALSE(Cluster.run(milliseconds(6000),
                          [](std::uint64_t Commit) { return Commit / 2; }));
}

// Guards against a voter that is behind by more than an election time-out.
TEST_CASE("a learner that is far behind or stops has not caught up") {
  loaded_leader Cluster;
  CHECK_FALSE(Cluster.run(milliseconds(3000), [](std::uint64_t Commit) {
    return behind(Commit, 100);
  }));
  CHECK(Cluster.run(milliseconds(3000),
                    [](std::uint64_t Commit) { return behind(Commit, 10); }));
  CHECK_FALSE(Cluster.run(milliseconds(600), [](std::uint64_t) { return 0; }));
}
