#include "control/control_frames.h"
#include "replication/messages.h"
#include "schedule_fixture.h"
#include "scheduling/schedule_node.h"

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

/// The only scheduler of its cluster, started with a log; its writes finish
/// immediately.
class restarted_scheduler {
public:
  /// \param Entries number of log entries, each with CommandsPerEntry commands
  /// that record an endpoint.
  restarted_scheduler(std::size_t Entries, std::size_t CommandsPerEntry)
      : Node(makeNode(Entries, CommandsPerEntry)) {}

  void advance() {
    Now += 10ms;
    Node.tick(Now);
    for (const auto &Write : Node.takeActions(Now).Writes) {
      HasSnapshot |= Write.Snapshot.has_value();
      Node.stored(Write.Ticket, Now);
    }
  }

  core::metrics_registry Metrics;
  core::time_point Now{1s};
  schedule_node Node;
  bool HasSnapshot = false;

private:
  schedule_node makeNode(std::size_t Entries, std::size_t CommandsPerEntry) {
    scheduler_settings Settings;
    Settings.Address = "10.0.0.1";
    replication::replica_id Self{Settings.Address, 1};
    replication::membership Initial;
    Initial.Members.push_back({Self, true});
    replication::persistent_state Persisted;
    Persisted.Hard.Term = 1;
    std::size_t Endpoint = 0;
    for (std::size_t Index = 1; Index <= Entries; ++Index) {
      command_batch Batch;
      for (std::size_t Command = 0; Command != CommandsPerEntry; ++Command)
        Batch.Commands.emplace_back(
            record_endpoint{makeEndpoint("e" + std::to_string(++Endpoint))});
      Persisted.Entries.push_back(
          {Index, 1, replication::entry_kind::Command, encodeBatch(Batch)});
    }
    return {Settings, Self, std::move(Persisted), Initial, Metrics, Now};
  }
};

/// The leader of a cluster of one, whose writes finish immediately unless its
/// disk is stalled.
class leading_scheduler {
public:
  leading_scheduler() : Node(makeNode()) {
    while (!Node.isLeading())
      advance();
    call(configure_call{makeConfiguration(2)});
    while (Node.state().currentConfiguration().Version != 2)
      advance();
  }

  void advance() {
    Now += 10ms;
    Node.tick(Now);
    auto Actions = Node.takeActions(Now);
    for (const auto &Write : Actions.Writes)
      LastTicket = Write.Ticket;
    if (!IsStalled)
      Node.stored(LastTicket, Now);
    for (const auto &Reply : Actions.Replies)
      Replies[Reply.Id] = Reply.Kind;
  }

  /// \returns the id of the call.
  std::uint64_t call(call_body Body) {
    Node.handle({++LastCall, std::move(Body)}, Now);
    return LastCall;
  }

  /// \returns the reply to the call, once there is one within the time.
  std::optional<reply_kind> awaitReply(std::uint64_t Call,
                                       core::duration Within) {
    for (auto Until = Now + Within; Now < Until && Replies.count(Call) == 0;)
      advance();
    auto Found = Replies.find(Call);
    return Found == Replies.end() ? std::nullopt : std::optional(Found->second);
  }

private:
  // Declared before Node, whose construction uses them.
  core::metrics_registry Metrics;
  core::time_point Now{1s};
  std::uint64_t LastCall = 0;
  std::uint64_t LastTicket = 0;
  std::map<std::uint64_t, reply_kind> Replies;

public:
  bool IsStalled = false;
  schedule_node Node;

private:
  schedule_node makeNode() {
    scheduler_settings Settings;
    Settings.Address = "10.0.0.1";
    replication::replica_id Self{Settings.Address, 1};
    replication::membership Initial;
    Initial.Members.push_back({Self, true});
    return {Settings, Self, {}, Initial, Metrics, Now};
  }
};

/// One of three voters. The second one answers requests for votes and
/// heartbeats but syncs nothing; the third one is silent.
class voter_of_three {
public:
  voter_of_three() : Node(makeNode()) {}

  void advance(core::duration Time) {
    for (auto End = Now + Time; Now < End;)
      step();
  }
  void elect() {
    auto Limit = Now + 10s;
    while (Node.status().Role != replication::raft_role::Leader) {
      REQUIRE(Now < Limit);
      step();
    }
    step(); // The node notices it.
  }

private:
  void step() {
    Now += 10ms;
    Node.tick(Now);
    auto Actions = Node.takeActions(Now);
    for (const auto &Write : Actions.Writes)
      LastTicket = Write.Ticket;
    if (!IsStalled)
      Node.stored(LastTicket, Now);
    for (const auto &Message : Actions.Messages)
      if (Message.Peer == Second.Name)
        answer(Message.Bytes);
  }

  void answer(const std::string &Bytes) {
    auto Frame = core::capture([&] { return control::decodeFrame(Bytes); });
    REQUIRE(Frame.index() == 0);
    if (std::get<0>(Frame).Kind != control::frame_kind::Replication)
      return;
    auto Message = replication::decodeMessage(std::get<0>(Frame).Bytes);
    REQUIRE(Message);
    if (const auto *Request =
            std::get_if<replication::vote_request>(&Message->Body)) {
      replication::vote_reply Reply;
      Reply.Pre = Request->Pre;
      Reply.Granted = GrantsVotes;
      // A refused request for a pre-vote is answered with the current term.
      Reply.Term =
          Request->Pre && !GrantsVotes ? Request->Term - 1 : Request->Term;
      if (AnswersVotes)
        send(Reply);
    } else if (const auto *Append =
                   std::get_if<replication::append_message>(&Message->Body)) {
      replication::append_reply Reply;
      Reply.Term = Append->Term;
      Reply.Round = Append->Round;
      Reply.Accepted = true;
      Reply.Received = Append->PrevIndex + Append->Entries.size();
      send(Reply);
    }
  }

  void send(replication::message_body Body) {
    control::control_frame Frame;
    Frame.Cluster = "schedulers";
    Frame.From = Second;
    Frame.To = Self;
    Frame.Bytes = replication::encodeMessage({Second, Self, std::move(Body)});
    Node.receive(Second.Name, control::encodeFrame(Frame), Now);
  }

  schedule_node makeNode() {
    scheduler_settings Settings;
    Settings.Address = Self.Name;
    replication::membership Initial;
    for (const auto &Id :
         {Self, Second, replication::replica_id{"10.0.0.3", 1}})
      Initial.Members.push_back({Id, true});
    replication::persistent_state Persisted;
    Persisted.Hard.Term = 1;
    return {Settings, Self, std::move(Persisted), Initial, Metrics, Now};
  }

  // Declared before Node, whose construction uses them.
  const replication::replica_id Self{"10.0.0.1", 1};
  const replication::replica_id Second{"10.0.0.2", 1};
  core::metrics_registry Metrics;
  std::uint64_t LastTicket = 0;

public:
  core::time_point Now{1s};
  bool AnswersVotes = true;
  bool GrantsVotes = true;
  bool IsStalled = false; ///< Its own disk.
  schedule_node Node;
};

/// \returns a configuration with this many more queues, and a document of 190
/// bytes for each, as the operator's has.
configuration makeLargeConfiguration(std::uint64_t Version,
                                     std::size_t Queues) {
  auto Configuration = makeConfiguration(Version);
  for (std::size_t Index = 0; Index != Queues; ++Index) {
    auto Queue = Configuration.Queues.front();
    Queue.Name = "r-" + std::to_string(Index);
    Queue.PathPrefix = "/queue" + std::to_string(Index) + "/";
    Configuration.Queues.push_back(std::move(Queue));
  }
  Configuration.Text = "{\"" + std::string(190 * Queues, 'r') + "\"}";
  return Configuration;
}

submit_call submitCall(const std::string &Id, std::size_t PayloadBytes = 1) {
  auto Job = makeJob(Id, {makeStep(1)});
  Job.Payload.assign(PayloadBytes, 'x');
  return {Host, Prefix + Id, std::move(Job)};
}

// Time in which the users require the acknowledgement of a change, without the
// 3 ms for each route.
constexpr core::duration AcknowledgementBound = 4s;

} // namespace

TEST_CASE("a configuration of 1 MB and more is acknowledged, and so is the "
          "work that is submitted after it") {
  leading_scheduler Scheduler;
  auto Change = Scheduler.call(configure_call{makeLargeConfiguration(3, 6000)});
  auto Submission = Scheduler.call(submitCall("j"));
  CHECK(Scheduler.awaitReply(Change, AcknowledgementBound) ==
        reply_kind::Accepted);
  CHECK(Scheduler.awaitReply(Submission, AcknowledgementBound) ==
        reply_kind::Accepted);
  CHECK(Scheduler.Node.state().currentConfiguration().Queues.size() == 6001);
}

TEST_CASE("submissions that were queued during a stall of the disk are "
          "acknowledged after it, also when they exceed the largest entry") {
  leading_scheduler Scheduler;
  Scheduler.IsStalled = true;
  Scheduler.call(submitCall("first"));
  Scheduler.advance();
  std::vector<std::uint64_t> Calls;
  for (int Index = 0; Index != 400; ++Index)
    Calls.push_back(
        Scheduler.call(submitCall("j" + std::to_string(Index), 4000)));
  for (int Step = 0; Step != 50; ++Step)
    Scheduler.advance();
  Scheduler.IsStalled = false;
  for (auto Call : Calls)
    CHECK(Scheduler.awaitReply(Call, AcknowledgementBound) ==
          reply_kind::Accepted);
}

TEST_CASE("a change that is too large for the log is refused at once and "
          "holds up nothing behind it") {
  leading_scheduler Scheduler;
  auto Change =
      Scheduler.call(configure_call{makeLargeConfiguration(3, 60'000)});
  auto Submission = Scheduler.call(submitCall("j"));
  CHECK(Scheduler.awaitReply(Submission, AcknowledgementBound) ==
        reply_kind::Accepted);
  CHECK(Scheduler.awaitReply(Change, 100ms) == reply_kind::TooLarge);
  CHECK(Scheduler.Node.state().currentConfiguration().Version == 2);
}

TEST_CASE("calls that cannot reach the log are answered as not executed") {
  leading_scheduler Scheduler;
  Scheduler.IsStalled = true;
  // More than the log accepts without a commit.
  std::vector<std::uint64_t> Calls;
  for (int Index = 0; Index != 400; ++Index)
    Calls.push_back(
        Scheduler.call(submitCall("j" + std::to_string(Index), 60'000)));
  std::size_t NotExecuted = 0;
  for (auto Call : Calls) {
    auto Reply = Scheduler.awaitReply(Call, AcknowledgementBound);
    CHECK(Reply.has_value());
    NotExecuted += Reply == reply_kind::Unavailable;
  }
  CHECK(NotExecuted > 200);
  auto Later = Scheduler.call(submitCall("later", 60'000));
  CHECK(Scheduler.awaitReply(Later, 100ms) == reply_kind::Unavailable);
}

// Guards against a caller that is told that its job never runs while an earlier
// copy of the submission is committed later.
TEST_CASE("a repeated change is not answered as not executed while an earlier "
          "copy may be committed") {
  leading_scheduler Scheduler;
  Scheduler.IsStalled = true;
  auto First = Scheduler.call(submitCall("j"));
  for (int Step = 0; Step != 120; ++Step)
    Scheduler.advance();
  auto Copy = Scheduler.call(submitCall("j"));
  auto Other = Scheduler.call(submitCall("k"));
  CHECK(Scheduler.awaitReply(Other, 100ms) == reply_kind::Unavailable);
  CHECK(!Scheduler.awaitReply(Copy, 500ms));

  SECTION("the earlier copy is committed") {
    Scheduler.IsStalled = false;
    CHECK(Scheduler.awaitReply(Copy, 100ms) == reply_kind::Accepted);
    CHECK(Scheduler.awaitReply(First, 100ms) == reply_kind::Accepted);
  }
  SECTION("the disk stays stalled") {
    CHECK(Scheduler.awaitReply(First, AcknowledgementBound) ==
          reply_kind::Unknown);
    CHECK(Scheduler.awaitReply(Copy, AcknowledgementBound) ==
          reply_kind::Unknown);
    Scheduler.IsStalled = false;
    for (int Step = 0; Step != 10; ++Step)
      Scheduler.advance();
    CHECK(Scheduler.Node.state().findJob("j"));
  }
}

TEST_CASE("a repeated change that waits in the queue until it expires is not "
          "answered as not executed while an earlier copy is in the log") {
  leading_scheduler Scheduler;
  Scheduler.IsStalled = true;
  auto First = Scheduler.call(submitCall("j"));
  Scheduler.advance();
  // More than the log accepts without a commit.
  std::vector<std::uint64_t> Calls;
  for (int Index = 0; Index != 400; ++Index)
    Calls.push_back(
        Scheduler.call(submitCall("j" + std::to_string(Index), 60'000)));
  auto Copy = Scheduler.call(submitCall("j"));
  CHECK(Scheduler.awaitReply(First, AcknowledgementBound) ==
        reply_kind::Unknown);
  CHECK(Scheduler.awaitReply(Copy, AcknowledgementBound) ==
        reply_kind::Unknown);
  CHECK(Scheduler.awaitReply(Calls.back(), AcknowledgementBound) ==
        reply_kind::Unavailable);
  Scheduler.IsStalled = false;
  for (int Step = 0; Step != 100; ++Step)
    Scheduler.advance();
  CHECK(Scheduler.Node.state().findJob("j"));
  CHECK(!Scheduler.Node.state().findJob("j399"));
}

// Guards against a leader that cannot commit its first entry and reports that
// nothing waits.
TEST_CASE("a leader whose first entry is not committed reports what it waits "
          "for") {
  voter_of_three Voter;
  Voter.elect();
  auto Load = Voter.Node.replicationLoad(Voter.Now);
  REQUIRE(Load);
  Voter.advance(1500ms);
  Load = Voter.Node.replicationLoad(Voter.Now);
  REQUIRE(Load);
  CHECK_FALSE(Voter.Node.isLeading());
  CHECK(Load->IsStarting);
  CHECK(Load->UncommittedEntries == 1);
  CHECK(Load->OldestEntry >= 1500ms);
  CHECK(Load->cause() == "majority");
  CHECK(Load->ReachableVoters == "10.0.0.1,10.0.0.2");
  CHECK(Load->SyncedIndices == "10.0.0.2:0,10.0.0.3:0");
}

// Guards against a deployment without a leader in whose log no line says why.
TEST_CASE("a voter without a leader reports whom it hears and who votes") {
  voter_of_three Voter;
  Voter.AnswersVotes = false;
  Voter.advance(3s);
  auto State = Voter.Node.leaderless(Voter.Now);
  REQUIRE(State);
  CHECK(State->Since >= 2900ms);
  CHECK(State->Role == "pre_vote");
  CHECK(State->Voters == 3);
  CHECK(State->HeardVoters == 1);
  CHECK(State->GrantedBy == "10.0.0.1");
  CHECK(State->cause() == "majority");

  Voter.AnswersVotes = true;
  Voter.GrantsVotes = false;
  Voter.advance(3s);
  State = Voter.Node.leaderless(Voter.Now);
  REQUIRE(State);
  CHECK(State->HeardFrom == "10.0.0.2");
  CHECK(State->RefusedBy == "10.0.0.2");
  CHECK(State->cause() == "votes");

  // The own vote waits for the disk.
  Voter.GrantsVotes = true;
  Voter.IsStalled = true;
  for (int Step = 0; Step != 300; ++Step) {
    Voter.advance(10ms);
    State = Voter.Node.leaderless(Voter.Now);
    REQUIRE(State);
    if (State->PendingWrites > 0 && State->cause() == "write")
      break;
  }
  CHECK(State->PendingWrites > 0);
  CHECK(State->cause() == "write");

  Voter.Node.storageFailed(Voter.Now);
  CHECK(Voter.Node.leaderless(Voter.Now)->cause() == "storage");
  Voter.IsStalled = false;
  Voter.elect();
  CHECK_FALSE(Voter.Node.leaderless(Voter.Now));
}

TEST_CASE("a restarted scheduler replays its log in steps that are short "
          "compared to the election time-out") {
  // 5,000 commands take 35 ms at a third of a core; the time-out is 600 ms.
  constexpr std::size_t MaxCommandsPerStep = 5000;
  constexpr std::size_t Commands = 40 * 500;
  restarted_scheduler Scheduler(40, 500);
  std::size_t Largest = 0;
  while (!Scheduler.Node.isLeading()) {
    auto Before = Scheduler.Node.state().endpoints().size();
    Scheduler.advance();
    REQUIRE(Scheduler.Now < core::time_point(60s));
    Largest =
        std::max(Largest, Scheduler.Node.state().endpoints().size() - Before);
  }
  CHECK(Scheduler.Node.state().endpoints().size() == Commands);
  CHECK(Largest <= MaxCommandsPerStep);
}

TEST_CASE("a log of few entries with many commands is compacted, so that a "
          "restart does not replay all of them") {
  restarted_scheduler Scheduler(120, 500);
  while (!Scheduler.Node.isLeading())
    Scheduler.advance();
  Scheduler.advance();
  CHECK(Scheduler.HasSnapshot);
}
