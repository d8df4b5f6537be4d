#include "scheduling/observer_node.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace std::chrono_literals;

namespace {

core::time_point at(core::duration Time) { return core::time_point(1s + Time); }

scheduler_settings makeSettings(bool IsFounding) {
  scheduler_settings Settings;
  Settings.Address = "10.0.0.9";
  Settings.Seeds = {"10.0.0.9", "10.0.0.1"};
  Settings.IsFounding = IsFounding;
  return Settings;
}

std::string frame(const std::string &From, control::frame_kind Kind,
                  std::string Bytes = "") {
  control::control_frame Frame;
  Frame.Kind = Kind;
  Frame.Cluster = ClusterName;
  Frame.From = {From, 5};
  Frame.Bytes = std::move(Bytes);
  return control::encodeFrame(Frame);
}

std::string status(const std::string &From, bool IsLeading, std::uint64_t Term,
                   std::vector<std::string> Schedulers = {}) {
  gateway::status_message Status;
  Status.IsLeading = IsLeading;
  Status.Term = Term;
  Status.Schedulers = std::move(Schedulers);
  return frame(From, control::frame_kind::Status,
               gateway::encodeMessage(Status));
}

std::vector<std::string> receivers(const observer_actions &Actions,
                                   const std::string &Bytes) {
  std::vector<std::string> Result;
  for (const auto &Message : Actions.Messages)
    if (Message.Bytes == Bytes)
      Result.push_back(Message.Peer);
  return Result;
}

} // namespace

TEST_CASE("a scheduler without a disk knows the leader of the latest term as "
          "long as that says so") {
  observer_node Node(makeSettings(false));
  CHECK(Node.leader(at(0s)).empty());
  Node.receive("10.0.0.1", status("10.0.0.1", true, 3), at(0s));
  CHECK(Node.leader(at(0s)) == "10.0.0.1");
  Node.receive("10.0.0.2", status("10.0.0.2", true, 4), at(1s));
  CHECK(Node.leader(at(1s)) == "10.0.0.2");
  Node.receive("10.0.0.2", status("10.0.0.2", false, 4), at(2s));
  CHECK(Node.leader(at(2s)).empty());
}

TEST_CASE("a scheduler without a disk connects to the members that it learns "
          "of") {
  observer_node Node(makeSettings(false));
  CHECK(Node.takeActions().NewPeers == std::vector<std::string>{"10.0.0.1"});
  Node.receive("10.0.0.1",
               status("10.0.0.1", false, 1, {"10.0.0.1", "10.0.0.2"}), at(0s));
  CHECK(Node.takeActions().NewPeers == std::vector<std::string>{"10.0.0.2"});
  Node.tick(at(0s));
  CHECK(Node.takeActions().Messages.size() == 2);
  CHECK(Node.replicas() == std::vector<std::string>{"10.0.0.1", "10.0.0.2"});
}

// Guards against a scheduler whose seeds have no disk and that never finds the
// leader.
TEST_CASE("schedulers without a disk tell each other the members") {
  observer_node Node(makeSettings(false));
  Node.receive("10.0.0.1", status("10.0.0.1", true, 1, {"10.0.0.1"}), at(0s));
  Node.takeActions();
  Node.receive("10.0.0.8", frame("10.0.0.8", control::frame_kind::Observe),
               at(0s));
  auto Actions = Node.takeActions();
  REQUIRE(Actions.Messages.size() == 1);
  auto OtherSettings = makeSettings(false);
  OtherSettings.Address = "10.0.0.8";
  OtherSettings.Seeds = {"10.0.0.9"};
  observer_node Other(OtherSettings);
  Other.receive("10.0.0.9", Actions.Messages[0].Bytes, at(0s));
  CHECK(Other.replicas() == std::vector<std::string>{"10.0.0.1"});
  CHECK(Other.leader(at(0s)).empty());
}

// Guards against a scheduler that lost its disk and knows only seeds without a
// disk: nobody would add it again.
TEST_CASE("a request to join is passed on to the leader, or to all members") {
  observer_node Node(makeSettings(false));
  Node.receive("10.0.0.1",
               status("10.0.0.1", false, 1, {"10.0.0.1", "10.0.0.2"}), at(0s));
  auto Join = frame("10.0.0.3", control::frame_kind::Join, "z1");
  Node.receive("10.0.0.3", Join, at(0s));
  CHECK(receivers(Node.takeActions(), Join) ==
        std::vector<std::string>{"10.0.0.1", "10.0.0.2"});
  Node.receive("10.0.0.2", status("10.0.0.2", true, 2), at(0s));
  Node.receive("10.0.0.3", Join, at(0s));
  CHECK(receivers(Node.takeActions(), Join) ==
        std::vector<std::string>{"10.0.0.2"});
  // A request that was forwarded already is not forwarded again.
  Node.receive("10.0.0.4", Join, at(0s));
  CHECK(receivers(Node.takeActions(), Join).empty());
}

// Guards against two clusters: a seed that was restarted has forgotten what it
// accepted.
TEST_CASE("a seed without a disk takes part in the founding only at its first "
          "start") {
  founding_message Request;
  Request.Step = founding_step::Prepare;
  Request.Ballot = {1, "10.0.0.1", 1};
  auto Bytes =
      frame("10.0.0.1", control::frame_kind::Founding, encodeFounding(Request));
  observer_node First(makeSettings(true));
  First.receive("10.0.0.1", Bytes, at(0s));
  CHECK(First.takeActions().Messages.size() == 1);
  observer_node Restarted(makeSettings(false));
  Restarted.receive("10.0.0.1", Bytes, at(0s));
  CHECK(Restarted.takeActions().Messages.empty());
  auto Settings = makeSettings(true);
  Settings.Seeds = {"10.0.0.1"};
  observer_node Other(Settings);
  Other.receive("10.0.0.1", Bytes, at(0s));
  CHECK(Other.takeActions().Messages.empty());
}

// Guards against a restarted seed that never asks the replicas, which its own
// seeds don't name.
TEST_CASE("a scheduler without a disk asks whoever opens a link to it") {
  observer_node Node(makeSettings(false));
  Node.takeActions();
  Node.linkChanged("10.0.0.2", true);
  auto Actions = Node.takeActions();
  REQUIRE(Actions.Messages.size() == 1);
  CHECK(Actions.Messages[0].Peer == "10.0.0.2");
  auto Frame = core::capture(
      [&] { return control::decodeFrame(Actions.Messages[0].Bytes); });
  REQUIRE(Frame.index() == 0);
  CHECK(std::get<0>(Frame).Kind == control::frame_kind::Observe);
  Node.receive("10.0.0.2", status("10.0.0.2", true, 3), at(0s));
  CHECK(Node.leader(at(0s)) == "10.0.0.2");
  CHECK(Node.takeActions().NewPeers == std::vector<std::string>{"10.0.0.2"});
}

TEST_CASE(
    "a scheduler without a disk asks all that are linked with it until it "
    "knows the leader") {
  observer_node Node(makeSettings(false));
  Node.linkChanged("10.0.0.7", true);
  Node.linkChanged("10.0.0.8", true);
  Node.linkChanged("10.0.0.8", false);
  Node.takeActions();
  auto Asked = [&](core::duration Time) {
    Node.tick(at(Time));
    std::vector<std::string> Result;
    for (const auto &Message : Node.takeActions().Messages)
      Result.push_back(Message.Peer);
    return Result;
  };
  CHECK(Asked(0s) == std::vector<std::string>{"10.0.0.1", "10.0.0.7"});
  Node.receive("10.0.0.1", status("10.0.0.1", true, 3), at(0s));
  CHECK(Asked(1s) == std::vector<std::string>{"10.0.0.1"});
  CHECK(Asked(2s) == std::vector<std::string>{"10.0.0.1", "10.0.0.7"});
}

TEST_CASE("replicas that another process names are connected to unless the "
          "address is invalid or its own") {
  observer_node Node(makeSettings(false));
  Node.takeActions();
  std::vector<std::string> Addresses{"10.0.0.4", "x", "", "10.0.0.9"};
  Node.addReplicas(Addresses);
  CHECK(Node.takeActions().NewPeers == std::vector<std::string>{"10.0.0.4"});
  CHECK(Node.replicas() == std::vector<std::string>{"10.0.0.4"});
  CHECK(Node.leader(at(0s)).empty());
}

TEST_CASE("malformed frames change nothing") {
  observer_node Node(makeSettings(true));
  Node.takeActions();
  Node.receive("10.0.0.1", "", at(0s));
  Node.receive("10.0.0.1", frame("10.0.0.1", control::frame_kind::Status, "x"),
               at(0s));
  Node.receive("10.0.0.1",
               frame("10.0.0.1", control::frame_kind::Founding, "x"), at(0s));
  Node.receive("10.0.0.1", status("10.0.0.2", true, 9), at(0s));
  auto Actions = Node.takeActions();
  CHECK(Actions.Messages.empty());
  CHECK(Actions.NewPeers.empty());
  CHECK(Node.leader(at(0s)).empty());
}
