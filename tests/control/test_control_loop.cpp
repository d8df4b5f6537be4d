#include "fake_cluster.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::control;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

nlohmann::json bodyOf(const control_answer &Answer) {
  return nlohmann::json::parse(Answer.Body);
}

fleet::submit_declaration declare(std::uint64_t Number) {
  return {smallDeclaration(Number)};
}

query_operation queryOf(query_kind Kind) {
  query_operation Query;
  Query.Kind = Kind;
  return Query;
}

/// \returns the names of the replicas that are not the leader.
std::vector<std::string> followers(fake_cluster &Cluster) {
  std::vector<std::string> Names;
  for (const char *Name : {"c1", "c2", "c3"})
    if (Name != Cluster.leader())
      Names.push_back(Name);
  return Names;
}

template <typename Message>
const Message *lastOf(const std::vector<routing::message> &Inbox) {
  for (auto Item = Inbox.rbegin(); Item != Inbox.rend(); ++Item)
    if (const auto *Found = std::get_if<Message>(&*Item))
      return Found;
  return nullptr;
}

bool replicasAreEqual(fake_cluster &Cluster) {
  return Cluster.runUntil([&] {
    auto Index = Cluster.loop("c1").appliedIndex();
    auto Digest = Cluster.loop("c1").state().digest();
    for (const char *Name : {"c2", "c3"})
      if (Cluster.loop(Name).appliedIndex() != Index ||
          Cluster.loop(Name).state().digest() != Digest)
        return false;
    return true;
  });
}

} // namespace

// Guards against an answer before a majority has synced the change.
TEST_CASE("a submission is answered after its commit") {
  fake_cluster Cluster(3);
  auto Leader = Cluster.awaitLeader();
  REQUIRE_FALSE(Leader.empty());
  for (const auto &Name : followers(Cluster))
    Cluster.setDiskStalled(Name, true);
  auto Id = Cluster.submit(Leader, "s-1", declare(1));
  Cluster.run(milliseconds(300));
  CHECK_FALSE(Cluster.answer(Id));
  CHECK(Cluster.loop(Leader).state().currentDeclaration().Number == 0);
  for (const auto &Name : followers(Cluster))
    Cluster.setDiskStalled(Name, false);
  CHECK(Cluster.await(Id).Status == 200);
  CHECK(replicasAreEqual(Cluster));
  CHECK(Cluster.loop("c1").state().currentDeclaration().Number == 1);
}

// Guards against a change that the log never accepts and that holds up all
// changes behind it until it expires.
TEST_CASE("a change that is too large for the log is refused at once") {
  fake_cluster Cluster(3);
  auto Leader = Cluster.awaitLeader();
  auto Large = smallDeclaration(1);
  for (int Index = 0; Index != 19'000; ++Index)
    Large.Hosts.push_back({std::string(240, 'w') + std::to_string(Index),
                           "gate",
                           "z1",
                           "r1",
                           {64, 131072, 0}});
  auto Refused =
      Cluster.submit(Leader, "s-1", fleet::submit_declaration{Large});
  auto Behind = Cluster.submit(Leader, "s-2", declare(2));
  Cluster.run(seconds(1));
  REQUIRE(Cluster.answer(Refused));
  CHECK(Cluster.answer(Refused)->Status == 413);
  REQUIRE(Cluster.answer(Behind));
  CHECK(Cluster.answer(Behind)->Status == 200);
}

// Guards against executing a resent change twice or answering it differently.
TEST_CASE("a resend under the same submission id gets the same answer") {
  fake_cluster Cluster(3);
  auto Leader = Cluster.awaitLeader();
  auto First = Cluster.await(Cluster.submit(Leader, "s-1", declare(5)));
  REQUIRE(First.Status == 200);
  auto Refused = Cluster.await(Cluster.submit(Leader, "s-2", declare(5)));
  CHECK(Refused.Status == 409);
  auto Resent = Cluster.await(Cluster.submit(Leader, "s-1", declare(5)));
  CHECK(Resent.Status == First.Status);
  CHECK(Resent.Body == First.Body);
  CHECK(Cluster.await(Cluster.submit(Leader, "s-2", declare(5))).Body ==
        Refused.Body);
  CHECK(Cluster.loop(Leader).state().declarationNumbers().size() == 1);
}

// Guards against reporting a change as accepted when the accepted change was
// another operator's under the same id.
TEST_CASE("another change under a used submission id is refused") {
  fake_cluster Cluster(3);
  auto Leader = Cluster.awaitLeader();
  REQUIRE(Cluster.await(Cluster.submit(Leader, "s-1", declare(5))).Status ==
          200);
  auto Other = Cluster.await(Cluster.submit(Leader, "s-1", declare(6)));
  CHECK(Other.Status == 409);
  CHECK(bodyOf(Other)["field"] == "submission");
  CHECK(Cluster.loop(Leader).state().currentDeclaration().Number == 5);
}

// Guards against refusing the resend of a change that was accepted.
TEST_CASE("a resend is answered while the entries send no reports") {
  fake_cluster Cluster(3, 1);
  auto Leader = Cluster.awaitLeader();
  Cluster.run(seconds(2));
  auto First = Cluster.await(Cluster.submit(Leader, "s-1", declare(1)));
  REQUIRE(First.Status == 200);
  Cluster.setReporting("e1", false);
  Cluster.run(seconds(5));
  auto Resent = Cluster.await(Cluster.submit(Leader, "s-1", declare(1)));
  CHECK(Resent.Status == 200);
  CHECK(Cluster.await(Cluster.submit(Leader, "s-2", declare(2))).Status == 503);
}

TEST_CASE(
    "pausing without a wave number pauses the latest one, also when resent") {
  fake_cluster Cluster(3);
  auto Leader = Cluster.awaitLeader();
  Cluster.await(Cluster.submit(Leader, "s-1", declare(1)));
  auto None = Cluster.await(Cluster.submit(Leader, "s-2", fleet::pause_wave{}));
  CHECK(None.Status == 404);
  Cluster.await(Cluster.submit(Leader, "s-3", fleet::start_wave{}));
  auto First =
      Cluster.await(Cluster.submit(Leader, "s-4", fleet::pause_wave{}));
  REQUIRE(First.Status == 200);
  auto Resent =
      Cluster.await(Cluster.submit(Leader, "s-4", fleet::pause_wave{}));
  CHECK(Resent.Status == 200);
  CHECK(Resent.Body == First.Body);
  auto Again =
      Cluster.await(Cluster.submit(Leader, "s-5", fleet::pause_wave{}));
  CHECK(Again.Status == 409);
}

TEST_CASE("a resend while the first request is pending is executed once") {
  fake_cluster Cluster(3);
  auto Leader = Cluster.awaitLeader();
  auto First = Cluster.submit(Leader, "s-1", declare(5));
  auto Second = Cluster.submit(Leader, "s-1", declare(5));
  CHECK(Cluster.await(First).Status == 200);
  CHECK(Cluster.await(Second).Body == Cluster.await(First).Body);
  CHECK(Cluster.loop(Leader).state().declarationNumbers().size() == 1);
}

// Guards against accepting both or neither of two concurrent changes.
TEST_CASE("of two declarations with equal numbers exactly one is accepted") {
  fake_cluster Cluster(3);
  auto Leader = Cluster.awaitLeader();
  auto Other = declare(3);
  Other.Declaration.Pools[0].Budget.MinAvailableHosts = 1;
  auto First = Cluster.submit(Leader, "s-1", declare(3));
  auto Second = Cluster.submit(Leader, "s-2", Other);
  auto Statuses = std::vector<int>{Cluster.await(First).Status,
                                   Cluster.await(Second).Status};
  std::sort(Statuses.begin(), Statuses.end());
  CHECK(Statuses == std::vector<int>{200, 409});
  CHECK(bodyOf(Cluster.await(Second))["error"] == "conflict");
}

TEST_CASE("a follower refuses changes and names the leader") {
  fake_cluster Cluster(3);
  auto Leader = Cluster.awaitLeader();
  auto Answer =
      Cluster.await(Cluster.submit(followers(Cluster)[0], "s-1", declare(1)));
  CHECK(Answer.Status == 421);
  CHECK(Answer.Leader == Leader + " 127.0.0.1:8000");
  CHECK(bodyOf(Answer)["verdict"] == "not-run");
}

// Guards against a definite answer about a change that the next leader may
// still commit or discard.
TEST_CASE("a change of leader gives may-have-run, and the resend the outcome") {
  bool WithCommit = GENERATE(true, false);
  fake_cluster Cluster(3);
  auto Old = Cluster.awaitLeader();
  auto Id = Cluster.submit(Old, "s-1", declare(1));
  if (WithCommit)
    // In two steps the followers receive the entry, but their acknowledgements
    // do not reach the leader.
    Cluster.run(2 * fake_cluster::Step);
  Cluster.isolate(Old);
  auto Answer = Cluster.await(Id);
  CHECK(Answer.Status == 504);
  CHECK(bodyOf(Answer)["verdict"] == "may-have-run");
  REQUIRE(Cluster.runUntil([&] { return Cluster.leader() != Old; }));
  Cluster.heal();
  auto New = Cluster.awaitLeader();
  auto Resent = Cluster.await(Cluster.submit(New, "s-1", declare(1)));
  CHECK(Resent.Status == 200);
  CHECK(replicasAreEqual(Cluster));
  CHECK(Cluster.loop(New).state().declarationNumbers().size() == 1);
}

// Guards against a change that is never answered because the disk is stalled.
TEST_CASE(
    "a change that is never synced is answered within the request timeout") {
  fake_cluster Cluster(1);
  auto Leader = Cluster.awaitLeader();
  Cluster.setDiskStalled(Leader, true);
  auto Logged = Cluster.submit(Leader, "s-1", declare(1));
  Cluster.run(seconds(11));
  REQUIRE(Cluster.answer(Logged));
  CHECK(bodyOf(*Cluster.answer(Logged))["verdict"] == "may-have-run");
}

// Guards against an earlier leader that confirms stale state to an entry.
TEST_CASE("probes are confirmed only by a leader with a majority") {
  fake_cluster Cluster(3, 1);
  auto Old = Cluster.awaitLeader();
  Cluster.run(seconds(2));
  REQUIRE(Cluster.await(Cluster.submit(Old, "s-1", declare(1))).Status == 200);
  Cluster.send("e1", Old, routing::probe{7, 0});
  REQUIRE(Cluster.runUntil(
      [&] { return lastOf<routing::probe_reply>(Cluster.inbox("e1")); }));
  const auto *Reply = lastOf<routing::probe_reply>(Cluster.inbox("e1"));
  CHECK(Reply->Nonce == 7);
  CHECK(Reply->Confirmed);
  CHECK(Reply->Delta.IsFull);
  CHECK(Reply->Delta.Hosts.size() == 4);
  CHECK(Reply->Delta.DeclarationNumber == 1);

  Cluster.inbox("e1").clear();
  Cluster.send("e1", Old, routing::probe{8, Reply->Delta.ViewIndex});
  Cluster.run(fake_cluster::Step);
  for (const auto &Name : followers(Cluster))
    Cluster.kill(Name);
  Cluster.run(seconds(5));
  const auto *Refused = lastOf<routing::probe_reply>(Cluster.inbox("e1"));
  REQUIRE(Refused);
  CHECK(Refused->Nonce == 8);
  CHECK_FALSE(Refused->Confirmed);
}

// Guards against a delta that omits a changed host or contains all hosts.
TEST_CASE("the reply to a probe contains the hosts changed since its index") {
  fake_cluster Cluster(3, 1);
  auto Leader = Cluster.awaitLeader();
  Cluster.run(seconds(2));
  Cluster.await(Cluster.submit(Leader, "s-1", declare(1)));
  auto Known = Cluster.loop(Leader).state().viewIndex();
  Cluster.send("e1", Leader, routing::probe{1, Known});
  Cluster.run(milliseconds(500));
  const auto *Reply = lastOf<routing::probe_reply>(Cluster.inbox("e1"));
  REQUIRE(Reply);
  CHECK(Reply->Confirmed);
  CHECK_FALSE(Reply->Delta.IsFull);
  CHECK(Reply->Delta.Hosts.empty());

  fleet::change_host_state Cordon;
  Cordon.Host = "w2";
  Cordon.FromEpoch = Cluster.loop(Leader).state().hosts().at("w2").Epoch;
  Cordon.To = fleet::host_state::Cordoned;
  Cordon.Goal = fleet::host_goal::Drain;
  REQUIRE(Cluster.await(Cluster.submit(Leader, "s-2", Cordon)).Status == 200);
  Cluster.send("e1", Leader, routing::probe{2, Known});
  Cluster.run(milliseconds(500));
  Reply = lastOf<routing::probe_reply>(Cluster.inbox("e1"));
  REQUIRE(Reply->Nonce == 2);
  CHECK(Reply->Delta.ViewIndex > Known);
  REQUIRE(Reply->Delta.Hosts.size() == 1);
  CHECK(Reply->Delta.Hosts[0].Name == "w2");
}

// Guards against accepting a declaration that does not reach a majority of the
// entries.
TEST_CASE("a declaration is refused without a fresh majority of entries") {
  fake_cluster Cluster(3, 3);
  Cluster.setReporting("e2", false);
  Cluster.setReporting("e3", false);
  auto Leader = Cluster.awaitLeader();
  Cluster.run(seconds(2));
  auto Answer = Cluster.await(Cluster.submit(Leader, "s-1", declare(1)));
  CHECK(Answer.Status == 503);
  CHECK(bodyOf(Answer)["field"] == "entries");
  CHECK(bodyOf(Answer)["verdict"] == "not-run");
  Cluster.setReporting("e2", true);
  Cluster.run(seconds(2));
  CHECK(Cluster.await(Cluster.submit(Leader, "s-1", declare(1))).Status == 200);
}

TEST_CASE(
    "the status reports a declaration in force after the silence bound of a "
    "silent entry") {
  fake_cluster Cluster(3, 3);
  auto Leader = Cluster.awaitLeader();
  Cluster.run(seconds(10));
  Cluster.setReporting("e3", false);
  Cluster.run(seconds(5));
  Cluster.await(Cluster.submit(Leader, "s-1", declare(1)));
  auto Accepted = Cluster.now();
  auto StatusOf = [&] {
    auto Id = Cluster.request(Leader, queryOf(query_kind::Status));
    return bodyOf(Cluster.await(Id));
  };
  Cluster.run(seconds(2));
  auto Status = StatusOf();
  CHECK(Status["leader"] == Leader);
  CHECK(Status["declaration_number"] == 1);
  CHECK(Status["in_force"]["number"] == 0);
  CHECK(Status["in_force"]["waiting"] == nlohmann::json{"e3"});
  REQUIRE(Cluster.runUntil(
      [&] { return StatusOf()["in_force"]["number"] == 1; }, seconds(6)));
  CHECK(Cluster.now() - Accepted > milliseconds(3500));
  CHECK(Cluster.now() - Accepted < seconds(6));
}

// Guards against counting the votes of a replica that lost its disk, and
// against a cluster that stays one voter short.
TEST_CASE("a replica that lost its disk rejoins and is promoted to voter") {
  fake_cluster Cluster(3);
  auto Leader = Cluster.awaitLeader();
  Cluster.await(Cluster.submit(Leader, "s-1", declare(1)));
  auto Lost = followers(Cluster)[0];
  Cluster.kill(Lost);
  Cluster.run(seconds(2));
  Cluster.restartEmpty(Lost, 77);
  auto IsVoter = [&] {
    auto Members = Cluster.loop(Cluster.leader()).status().Members.Members;
    return Members.size() == 3 &&
           std::count(Members.begin(), Members.end(),
                      replication::member{{Lost, 77}, true}) == 1;
  };
  REQUIRE(Cluster.runUntil(IsVoter));
  CHECK(replicasAreEqual(Cluster));
  CHECK(Cluster.loop(Lost).state().currentDeclaration().Number == 1);
  // The new voter counts in quorums: it and one other replica are a majority.
  auto Other = followers(Cluster);
  Other.erase(std::find(Other.begin(), Other.end(), Lost));
  Cluster.kill(Other[0]);
  auto Answer =
      Cluster.await(Cluster.submit(Cluster.awaitLeader(), "s-2", declare(2)));
  CHECK(Answer.Status == 200);
}

// Guards against processing a vote or an append that was sent to the
// incarnation whose disk was lost.
TEST_CASE("a frame for an earlier incarnation is dropped") {
  fake_cluster Cluster(2);
  auto Settings = Cluster.settings();
  Settings.Name = "c1";
  core::metrics_registry Metrics;
  control_loop Loop(Settings, {"c1", 77}, {}, {}, Metrics, Cluster.now());
  control_frame Frame;
  Frame.Cluster = Settings.Cluster;
  Frame.From = {"c2", 1};
  Frame.To = {"c1", 77};
  Loop.receive("c2", encodeFrame(Frame), Cluster.now());
  CHECK(Metrics.counter("messages_dropped_total") == 0);
  Frame.To = {"c1", 1};
  Loop.receive("c2", encodeFrame(Frame), Cluster.now());
  CHECK(Metrics.counter("messages_dropped_total") == 1);
  // Frames of another cluster and frames whose sender does not match the peer
  // are dropped as well.
  Frame.To = {"c1", 77};
  Loop.receive("c3", encodeFrame(Frame), Cluster.now());
  Frame.Cluster = "other";
  Loop.receive("c2", encodeFrame(Frame), Cluster.now());
  CHECK(Metrics.counter("messages_dropped_total") == 3);
}

// Guards against two holders that both dispatch the same keyed request.
TEST_CASE("a key is granted to one holder and its response is stored") {
  fake_cluster Cluster(3, 2);
  auto Leader = Cluster.awaitLeader();
  auto ReplyTo = [&](const std::string &Entry, const routing::message &M) {
    Cluster.inbox(Entry).clear();
    Cluster.send(Entry, Leader, M);
    Cluster.run(milliseconds(300));
    const auto *Reply = lastOf<routing::key_reply>(Cluster.inbox(Entry));
    return Reply ? *Reply : routing::key_reply{};
  };
  routing::key_reserve Reserve{11, "plots/k1", 5, "e1#1/1"};
  auto Granted = ReplyTo("e1", Reserve);
  CHECK(Granted.RequestId == 11);
  CHECK(Granted.Outcome == routing::key_outcome::Granted);
  CHECK(ReplyTo("e1", Reserve).Outcome == routing::key_outcome::Granted);
  routing::key_reserve Other{12, "plots/k1", 5, "e2#1/1"};
  CHECK(ReplyTo("e2", Other).Outcome == routing::key_outcome::Held);
  Other.RequestDigest = 6;
  CHECK(ReplyTo("e2", Other).Outcome == routing::key_outcome::Mismatch);
  routing::key_complete Complete{13,    "plots/k1", "e1#1/1", 201,
                                 "a/b", "response", false};
  CHECK(ReplyTo("e1", Complete).Outcome == routing::key_outcome::Granted);
  Other.RequestDigest = 5;
  auto Stored = ReplyTo("e2", Other);
  CHECK(Stored.Outcome == routing::key_outcome::Stored);
  CHECK(Stored.Status == 201);
  CHECK(Stored.Body == "response");
  routing::key_reserve Second{14, "plots/k2", 5, "e1#1/2"};
  CHECK(ReplyTo("e1", Second).Outcome == routing::key_outcome::Granted);
  ReplyTo("e1", routing::key_abandon{15, "plots/k2", "e1#1/2"});
  Second.Holder = "e2#1/2";
  CHECK(ReplyTo("e2", Second).Outcome == routing::key_outcome::Granted);
}

// Guards against granting a key a second time after the leader is lost.
TEST_CASE("a key reserved before a change of leader stays held") {
  fake_cluster Cluster(3, 2);
  auto Old = Cluster.awaitLeader();
  Cluster.send("e1", Old, routing::key_reserve{1, "plots/k1", 5, "e1#1/1"});
  Cluster.run(milliseconds(300));
  Cluster.kill(Old);
  auto New = Cluster.awaitLeader();
  REQUIRE(New != Old);
  Cluster.send("e2", New, routing::key_reserve{2, "plots/k1", 5, "e2#1/1"});
  Cluster.run(milliseconds(300));
  const auto *Reply = lastOf<routing::key_reply>(Cluster.inbox("e2"));
  REQUIRE(Reply);
  CHECK(Reply->Outcome == routing::key_outcome::Held);
}

// Guards against state that differs between replaying the log and restoring a
// snapshot.
TEST_CASE("replicas are equal after snapshots, kills and restarts") {
  fake_cluster Cluster(3);
  Cluster.settings().SnapshotEveryEntries = 10;
  for (const char *Name : {"c1", "c2", "c3"}) {
    Cluster.kill(Name);
    Cluster.restart(Name);
  }
  for (std::uint64_t Number = 1; Number <= 60; ++Number) {
    auto Leader = Cluster.awaitLeader();
    REQUIRE_FALSE(Leader.empty());
    auto Id =
        Cluster.submit(Leader, "s-" + std::to_string(Number), declare(Number));
    CHECK(Cluster.await(Id).Status == 200);
    if (Number % 20 == 10)
      Cluster.kill(followers(Cluster)[0]);
    if (Number % 20 == 0)
      for (const char *Name : {"c1", "c2", "c3"})
        if (!Cluster.isRunning(Name))
          Cluster.restart(Name);
  }
  CHECK(replicasAreEqual(Cluster));
  auto Digest = Cluster.loop("c1").state().digest();
  auto Index = Cluster.loop("c1").appliedIndex();
  for (const char *Name : {"c1", "c2", "c3"}) {
    Cluster.kill(Name);
    Cluster.restart(Name);
  }
  // A restarted replica receives the commit index only from a new leader.
  REQUIRE(Cluster.runUntil(
      [&] { return Cluster.loop("c1").appliedIndex() >= Index; }));
  CHECK(replicasAreEqual(Cluster));
  CHECK(Cluster.loop("c1").state().digest() == Digest);
}

// Guards against a shutdown that drops answers or leaves the cluster without a
// leader until an election timeout.
TEST_CASE("a shutdown completes pending requests and transfers leadership") {
  fake_cluster Cluster(3);
  auto Old = Cluster.awaitLeader();
  auto Id = Cluster.submit(Old, "s-1", declare(1));
  auto Begin = Cluster.now();
  Cluster.loop(Old).beginShutdown(Begin);
  auto Late = Cluster.submit(Old, "s-2", declare(2));
  CHECK(bodyOf(Cluster.await(Late))["verdict"] == "not-run");
  CHECK(Cluster.await(Id).Status == 200);
  REQUIRE(Cluster.runUntil(
      [&] { return Cluster.loop(Old).isDrained(Cluster.now()); }));
  CHECK(Cluster.leader() != Old);
  // Without the transfer the other replicas would wait for an election timeout.
  CHECK(Cluster.now() - Begin < milliseconds(1000));
}
