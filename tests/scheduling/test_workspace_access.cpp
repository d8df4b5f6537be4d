#include "control/control_frames.h"
#include "replication/messages.h"
#include "schedule_fixture.h"
#include "scheduling/open_changes.h"
#include "scheduling/schedule_node.h"
#include "workspaces/key_digest.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;
using workspaces::digestOf;

namespace {

const std::string PublicPrefix = "/public/";
const std::string FirstKey = digestOf("first");
const std::string SecondKey = digestOf("second");
const std::string OtherKey = digestOf("other");
const std::string UnknownKey = digestOf("unknown");

/// \returns a configuration with a public and another queue, and the workspaces
/// `w` with the given keys and `other` with OtherKey.
configuration withWorkspaces(std::uint64_t Version,
                             std::vector<std::string> Keys) {
  auto Configuration = makeConfiguration(Version);
  auto Queue = Configuration.Queues.front();
  Queue.Name = "public";
  Queue.PathPrefix = PublicPrefix;
  Queue.IsPublic = true;
  Configuration.Queues.push_back(std::move(Queue));
  Configuration.RequiresKeys = true;
  Configuration.Workspaces = {{"w", std::move(Keys), 1, 4, {8000, 100, 0}},
                              {"other", {OtherKey}, 0, 1, {}}};
  return Configuration;
}

submit_job submit(const std::string &Id, std::string Key,
                  const std::string &PathPrefix = Prefix) {
  return {Host, PathPrefix + Id, makeJob(Id, {makeStep(1)}), std::move(Key)};
}

cancel_job cancel(const std::string &Id, std::string Key,
                  const std::string &PathPrefix = Prefix) {
  return {Host, PathPrefix + Id, Id, std::move(Key)};
}

/// A state with FirstKey as the only key of `w`, and a job `j` of it.
class workspace_state {
public:
  workspace_state() {
    State.apply(set_configuration{withWorkspaces(1, {FirstKey})}, 0);
    REQUIRE(State.apply(submit("j", FirstKey), 0) == apply_outcome::Accepted);
  }
  void setKeys(std::vector<std::string> Keys) {
    auto Version = State.currentConfiguration().Version + 1;
    State.apply(set_configuration{withWorkspaces(Version, std::move(Keys))}, 0);
  }
  apply_outcome apply(const command &Command) {
    return State.apply(Command, 0);
  }
  caller_access access(const std::string &Key, const std::string &Path,
                       const std::string &Job = "") const {
    return State.accessOf(Key, Host, Path, State.findJob(Job));
  }

  schedule_state State;
};

/// The leader of three voters. The second one syncs and answers everything
/// unless it is silent; the third one is silent.
class leader_of_three {
public:
  leader_of_three() : Node(makeNode()) {
    while (!Node.isLeading()) {
      REQUIRE(Now < core::time_point(20s));
      step();
    }
    change(configure_call{withWorkspaces(2, {FirstKey})});
    change(submitCall("j", FirstKey));
  }

  static submit_call submitCall(const std::string &Id, const std::string &Key) {
    return {Host, Prefix + Id, makeJob(Id, {makeStep(1)}), Key};
  }
  static job_state_call stateCall(const std::string &Key) {
    return {Host, Prefix + "j", "j", Key};
  }

  void change(call_body Body) {
    auto Call = call(std::move(Body));
    REQUIRE(replyTo(Call, 1s) == reply_kind::Accepted);
  }
  /// \returns the id of the call.
  std::uint64_t call(call_body Body) {
    Node.handle({++LastCall, std::move(Body)}, Now);
    collect();
    return LastCall;
  }
  std::optional<reply_kind> replyTo(std::uint64_t Call, core::duration Within) {
    for (auto Until = Now + Within; Now < Until && Replies.count(Call) == 0;)
      step();
    auto Found = Replies.find(Call);
    return Found == Replies.end() ? std::nullopt : std::optional(Found->second);
  }
  void advance(core::duration Time) {
    for (auto End = Now + Time; Now < End;)
      step();
  }
  /// Lets time pass in which the process does nothing.
  void suspend(core::duration Time) { Now += Time; }

private:
  void step() {
    Now += 10ms;
    Node.tick(Now);
    collect();
  }

  void collect() {
    auto Actions = Node.takeActions(Now);
    for (const auto &Write : Actions.Writes)
      Node.stored(Write.Ticket, Now);
    for (const auto &Reply : Actions.Replies)
      Replies[Reply.Id] = Reply.Kind;
    if (!IsSecondSilent)
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
      Reply.Granted = true;
      Reply.Term = Request->Term;
      send(Reply);
    } else if (const auto *Append =
                   std::get_if<replication::append_message>(&Message->Body)) {
      replication::append_reply Reply;
      Reply.Term = Append->Term;
      Reply.Round = Append->Round;
      Reply.Accepted = true;
      Reply.Received = Append->PrevIndex + Append->Entries.size();
      if (!IsSecondStalled)
        Reply.Match = Reply.Received;
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
  core::time_point Now{1s};
  std::uint64_t LastCall = 0;
  std::map<std::uint64_t, reply_kind> Replies;

public:
  bool IsSecondSilent = false;
  bool IsSecondStalled = false; ///< Its disk syncs nothing.
  schedule_node Node;
};

} // namespace

TEST_CASE("a change without a key or with an unknown key does nothing") {
  workspace_state Site;
  for (const auto &Key : {std::string(), UnknownKey}) {
    CHECK(Site.apply(submit("k", Key)) == apply_outcome::Unauthorized);
    CHECK(Site.apply(submit("j", Key)) == apply_outcome::Unauthorized);
    CHECK(Site.apply(cancel("j", Key)) == apply_outcome::Unauthorized);
    CHECK(Site.access(Key, Prefix) == caller_access::Unauthorized);
    CHECK(Site.access(Key, Prefix + "j", "j") == caller_access::Unauthorized);
  }
  CHECK_FALSE(Site.State.findJob("k"));
  CHECK(Site.State.findJob("j")->State == job_state::Queued);
  CHECK(Site.State.findJob("j")->Workspace == "w");
}

TEST_CASE("a repeated submission is one job of its workspace, and the key of "
          "another workspace changes nothing") {
  workspace_state Site;
  CHECK(Site.apply(submit("j", FirstKey)) == apply_outcome::Unchanged);
  CHECK(Site.apply(submit("j", OtherKey)) == apply_outcome::Forbidden);
  CHECK(Site.apply(cancel("j", OtherKey)) == apply_outcome::Forbidden);
  CHECK(Site.access(OtherKey, Prefix + "j", "j") == caller_access::Forbidden);
  CHECK(Site.access(OtherKey, Prefix) == caller_access::Allowed);
  CHECK(Site.State.findJob("j")->Workspace == "w");
  CHECK(Site.State.findJob("j")->State == job_state::Queued);
  CHECK(Site.apply(cancel("j", FirstKey)) == apply_outcome::Accepted);
}

TEST_CASE("a withdrawn key is refused, and a rotated one serves the jobs of "
          "the earlier one") {
  workspace_state Site;
  Site.setKeys({FirstKey, SecondKey});
  CHECK(Site.access(FirstKey, Prefix + "j", "j") == caller_access::Allowed);
  CHECK(Site.access(SecondKey, Prefix + "j", "j") == caller_access::Allowed);
  Site.setKeys({SecondKey});
  CHECK(Site.access(FirstKey, Prefix + "j", "j") ==
        caller_access::Unauthorized);
  CHECK(Site.apply(submit("j", FirstKey)) == apply_outcome::Unauthorized);
  CHECK(Site.apply(submit("j", SecondKey)) == apply_outcome::Unchanged);
  CHECK(Site.apply(cancel("j", SecondKey)) == apply_outcome::Accepted);
}

TEST_CASE("a public queue requires no key") {
  workspace_state Site;
  CHECK(Site.access("", PublicPrefix) == caller_access::Allowed);
  CHECK(Site.apply(submit("p", "", PublicPrefix)) == apply_outcome::Accepted);
  CHECK(Site.State.findJob("p")->Workspace.empty());
  CHECK(Site.access(UnknownKey, PublicPrefix + "p", "p") ==
        caller_access::Allowed);
  CHECK(Site.apply(cancel("p", "", PublicPrefix)) == apply_outcome::Accepted);
  // Also after the end of a job that was submitted with a key.
  CHECK(Site.apply(submit("r", FirstKey, PublicPrefix)) ==
        apply_outcome::Accepted);
  CHECK(Site.apply(cancel("r", "", PublicPrefix)) == apply_outcome::Accepted);
  CHECK(Site.access("", PublicPrefix + "r", "r") == caller_access::Allowed);
}

// Guards against a caller that reads or cancels any job by naming a public
// queue in the path: the id alone identifies the job.
TEST_CASE("the path of a public queue gives no access to the jobs of others") {
  workspace_state Site;
  auto Path = PublicPrefix + "j";
  CHECK(Site.access("", Path, "j") == caller_access::Unauthorized);
  CHECK(Site.access(OtherKey, Path, "j") == caller_access::Forbidden);
  CHECK(Site.access(FirstKey, Path, "j") == caller_access::Allowed);
  CHECK(Site.apply(cancel("j", "", PublicPrefix)) ==
        apply_outcome::Unauthorized);
  CHECK(Site.apply(submit("j", OtherKey, PublicPrefix)) ==
        apply_outcome::Forbidden);
  CHECK(Site.State.findJob("j")->State == job_state::Queued);
  CHECK(Site.apply(cancel("j", FirstKey)) == apply_outcome::Accepted);
  CHECK(Site.access("", Path, "j") == caller_access::Unauthorized);
}

TEST_CASE("a job whose queue was removed still belongs to its workspace") {
  workspace_state Site;
  auto Configuration = withWorkspaces(2, {FirstKey});
  Configuration.Queues.erase(Configuration.Queues.begin());
  Site.apply(set_configuration{Configuration});
  CHECK(Site.access("", Prefix + "j", "j") == caller_access::Unauthorized);
  CHECK(Site.access(OtherKey, Prefix + "j", "j") == caller_access::Forbidden);
  CHECK(Site.apply(cancel("j", FirstKey)) == apply_outcome::Accepted);
  CHECK(Site.access("", Prefix + "j", "j") == caller_access::Unauthorized);
}

TEST_CASE("a path without a queue is not a matter of keys") {
  workspace_state Site;
  for (const auto &Key : {std::string(), UnknownKey, FirstKey}) {
    CHECK(Site.access(Key, "/none/") == caller_access::Allowed);
    CHECK(Site.apply(submit("n", Key, "/none/")) == apply_outcome::NoSuchQueue);
  }
}

TEST_CASE("a configuration without workspaces ignores keys") {
  auto State = makeState(0);
  CHECK(State.apply(submit("j", UnknownKey), 0) == apply_outcome::Accepted);
  CHECK(State.findJob("j")->Workspace.empty());
  CHECK(State.apply(cancel("j", ""), 0) == apply_outcome::Accepted);
  // Workspaces that come later do not own it.
  State.apply(set_configuration{withWorkspaces(2, {FirstKey})}, 0);
  CHECK(State.accessOf(FirstKey, Host, Prefix + "j", State.findJob("j")) ==
        caller_access::Allowed);
  CHECK(State.accessOf("", Host, Prefix + "j", State.findJob("j")) ==
        caller_access::Unauthorized);
}

TEST_CASE("a snapshot keeps workspaces, keys and the workspace of a job") {
  workspace_state Site;
  auto OverRate = submit("o", FirstKey);
  OverRate.IsOverRate = true;
  Site.apply(OverRate);
  auto Bytes = Site.State.snapshot();
  auto Outcome = core::capture([&] { return schedule_state::restore(Bytes); });
  REQUIRE(Outcome.index() == 0);
  auto &Copy = std::get<0>(Outcome);
  CHECK(Copy.currentConfiguration() == Site.State.currentConfiguration());
  CHECK(Copy.findJob("j")->Workspace == "w");
  CHECK_FALSE(Copy.findJob("j")->IsOverRate);
  CHECK(Copy.findJob("o")->IsOverRate);
  REQUIRE(Copy.findWorkspace(FirstKey));
  CHECK(Copy.findWorkspace(FirstKey)->Name == "w");
  CHECK_FALSE(Copy.findWorkspace(UnknownKey));
  CHECK(Copy.apply(cancel("j", OtherKey), 0) == apply_outcome::Forbidden);
  CHECK(Copy.snapshot() == Bytes);
}

TEST_CASE("commands with keys are encoded and decoded unchanged") {
  command_batch Batch;
  auto OverRate = submit("j", FirstKey);
  OverRate.IsOverRate = true;
  Batch.Commands = {set_configuration{withWorkspaces(3, {FirstKey})}, OverRate,
                    cancel("j", FirstKey)};
  auto Copy = decodeBatch(encodeBatch(Batch));
  REQUIRE(Copy);
  CHECK(Copy->Commands == Batch.Commands);
}

// Guards against a log or a snapshot of an earlier version that no longer can
// be read, and against one that an earlier version can't read although nothing
// uses workspaces.
TEST_CASE("records without workspaces are encoded as earlier versions did") {
  command_batch Batch;
  Batch.Commands = {set_configuration{makeConfiguration(3)}, submit("j", ""),
                    cancel("j", "")};
  auto Bytes = encodeBatch(Batch);
  auto Items = nlohmann::json::from_cbor(Bytes);
  REQUIRE(Items.size() == 7);
  CHECK(Items[2][0].size() == 4);        // The configuration.
  CHECK(Items[2][0][1][0].size() == 10); // A queue.
  CHECK(Items[4].size() == 3);
  CHECK(Items[6].size() == 3);
  auto Copy = decodeBatch(Bytes);
  REQUIRE(Copy);
  CHECK(Copy->Commands == Batch.Commands);

  auto State = makeState(0);
  State.apply(submit("j", ""), 0);
  auto Restored =
      core::capture([&] { return schedule_state::restore(State.snapshot()); });
  REQUIRE(Restored.index() == 0);
  CHECK_FALSE(std::get<0>(Restored).currentConfiguration().RequiresKeys);
  CHECK(std::get<0>(Restored).findJob("j")->Workspace.empty());
}

TEST_CASE("the leader answers each kind of call by the caller's key") {
  leader_of_three Site;
  auto Reply = [&](call_body Body) {
    return Site.replyTo(Site.call(std::move(Body)), 1s);
  };
  for (const auto &Key : {std::string(), UnknownKey}) {
    CHECK(Reply(Site.stateCall(Key)) == reply_kind::Unauthorized);
    CHECK(Reply(queue_length_call{Host, Prefix, Key}) ==
          reply_kind::Unauthorized);
    CHECK(Reply(cancel_call{Host, Prefix + "j", "j", Key}) ==
          reply_kind::Unauthorized);
    CHECK(Reply(Site.submitCall("k", Key)) == reply_kind::Unauthorized);
    CHECK(Reply(queue_length_call{Host, PublicPrefix, Key}) ==
          reply_kind::QueueLength);
    CHECK(Reply(queue_length_call{Host, "/none/", Key}) ==
          reply_kind::NoSuchQueue);
  }
  CHECK(Reply(Site.stateCall(OtherKey)) == reply_kind::Forbidden);
  CHECK(Reply(cancel_call{Host, Prefix + "j", "j", OtherKey}) ==
        reply_kind::Forbidden);
  CHECK(Reply(Site.submitCall("j", OtherKey)) == reply_kind::Forbidden);
  CHECK(Reply(Site.stateCall(FirstKey)) == reply_kind::State);
  CHECK(Reply(queue_length_call{Host, Prefix, OtherKey}) ==
        reply_kind::QueueLength);
  CHECK_FALSE(Site.Node.state().findJob("k"));
}

// Guards against a leader that was replaced while it was suspended or cut off,
// and that serves a key which its successor has withdrawn.
TEST_CASE("a leader whose last confirmation is older than 200 ms confirms its "
          "leadership before it answers a read") {
  leader_of_three Site;
  CHECK(Site.replyTo(Site.call(Site.stateCall(FirstKey)), 1s) ==
        reply_kind::State);
  Site.IsSecondSilent = true;
  SECTION("a recent confirmation is enough") {
    CHECK(Site.replyTo(Site.call(Site.stateCall(FirstKey)), 10ms) ==
          reply_kind::State);
  }
  SECTION("a read waits for the confirmation") {
    Site.advance(250ms);
    auto Read = Site.call(Site.stateCall(FirstKey));
    CHECK_FALSE(Site.replyTo(Read, 100ms));
    Site.IsSecondSilent = false;
    CHECK(Site.replyTo(Read, 200ms) == reply_kind::State);
  }
  SECTION("a read is refused when the confirmation fails") {
    Site.advance(250ms);
    auto Read = Site.call(Site.stateCall(FirstKey));
    auto Unknown = Site.call(Site.stateCall(UnknownKey));
    CHECK(Site.replyTo(Read, 5s) == reply_kind::NotLeader);
    CHECK(Site.replyTo(Unknown, 5s) == reply_kind::NotLeader);
  }
  SECTION("time in which the process was suspended counts") {
    Site.suspend(10s);
    CHECK(Site.replyTo(Site.call(Site.stateCall(FirstKey)), 5s) ==
          reply_kind::NotLeader);
  }
}

// Guards against an answer that depends on the key of another caller: a copy of
// a change with one key decides nothing for a call with another key.
TEST_CASE("a call does not get the answer to a copy with another key") {
  leader_of_three Site;
  Site.IsSecondStalled = true;
  auto First = Site.call(Site.submitCall("k", FirstKey));
  // The log accepts nothing once a command has waited for a second.
  Site.advance(1200ms);
  auto Same = Site.call(Site.submitCall("k", FirstKey));
  auto Other = Site.call(Site.submitCall("k", OtherKey));
  CHECK(Site.replyTo(Other, 10ms) == reply_kind::Unknown);
  CHECK_FALSE(Site.replyTo(Same, 10ms));
  Site.IsSecondStalled = false;
  CHECK(Site.replyTo(First, 500ms) == reply_kind::Accepted);
  CHECK(Site.replyTo(Same, 500ms) == reply_kind::Accepted);
  CHECK(Site.replyTo(Site.call(Site.submitCall("k", OtherKey)), 1s) ==
        reply_kind::Forbidden);
}

// Guards against a caller with a rotated key that is told that its job never
// runs while the copy with the earlier key may be committed.
TEST_CASE("a change that is dropped is not answered as not executed while a "
          "copy with another key may be committed") {
  open_changes Changes;
  Changes.add(submit("k", FirstKey));
  Changes.add(submit("k", SecondKey));
  CHECK_FALSE(Changes.wait(submit("k", OtherKey), 1, {}));
  CHECK(Changes.wait(submit("k", SecondKey), 2, {}));
  CHECK(Changes.recordDropped(submit("k", SecondKey)) ==
        std::vector<std::uint64_t>{2});
  CHECK(Changes.contains(submit("k", SecondKey)));
  CHECK(Changes.wait(submit("k", FirstKey), 3, {}));
  CHECK(Changes.recordApplied(submit("k", FirstKey)) ==
        std::vector<std::uint64_t>{3});
  CHECK_FALSE(Changes.contains(submit("k", SecondKey)));
}
