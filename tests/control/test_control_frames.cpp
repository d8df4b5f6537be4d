#include "control/cluster_bootstrap.h"
#include "control/control_frames.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::control;

namespace {

control_settings threeReplicas() {
  control_settings Settings;
  Settings.Name = "c1";
  Settings.Cluster = "alpha";
  for (const char *Name : {"c1", "c2", "c3"})
    Settings.Controls.push_back({Name, "z", {}, {}});
  return Settings;
}

std::string replyFrom(const std::string &Name, bool IsFormed) {
  control_frame Frame;
  Frame.Kind = frame_kind::ClusterReply;
  Frame.Cluster = "alpha";
  Frame.From = {Name, 1};
  Frame.IsFormed = IsFormed;
  return encodeFrame(Frame);
}

} // namespace

TEST_CASE("encoding and decoding a frame keeps all its fields") {
  control_frame Frame;
  Frame.Kind = frame_kind::Replication;
  Frame.Cluster = "alpha";
  Frame.From = {"c1", 0xffffffffffffffffu};
  Frame.To = {"c2", 3};
  Frame.Bytes = std::string("\0\xff binary", 9);
  auto Bytes = encodeFrame(Frame);
  CHECK(isControlFrame(Bytes));
  auto Outcome = core::capture([&] { return decodeFrame(Bytes); });
  REQUIRE(Outcome.index() == 0);
  const auto &Read = std::get<0>(Outcome);
  CHECK(Read.From == Frame.From);
  CHECK(Read.To == Frame.To);
  CHECK(Read.Cluster == Frame.Cluster);
  CHECK(Read.Bytes == Frame.Bytes);
}

// Guards against a crash or a wrong result on invalid bytes from a faulty peer.
TEST_CASE("truncated and malformed frames are rejected") {
  auto Bytes = replyFrom("c2", true);
  for (std::size_t Length = 0; Length != Bytes.size(); ++Length) {
    auto Cut = Bytes.substr(0, Length);
    auto Outcome = core::capture([&] { return decodeFrame(Cut); });
    REQUIRE(Outcome.index() == 1);
    CHECK(std::get<1>(Outcome).Code == core::error_code::Corrupt);
  }
  auto Refused = [](const nlohmann::json &Value) {
    std::string Text;
    nlohmann::json::to_cbor(Value, Text);
    return core::capture([&] { return decodeFrame(Text); }).index() == 1;
  };
  auto Complete = nlohmann::json::from_cbor(Bytes);
  CHECK_FALSE(Refused(Complete));
  auto Longer = Complete;
  Longer.push_back(0);
  CHECK(Refused(Longer));
  auto Unknown = Complete;
  Unknown[0] = 7;
  CHECK(Refused(Unknown));
  CHECK_FALSE(isControlFrame(""));
  CHECK_FALSE(isControlFrame("\xa2")); // A CBOR map: a message of an entry.
}

// Guards against bootstrapping a second cluster next to an existing one, which
// would split the state in two.
TEST_CASE("--init is refused when a peer belongs to a formed cluster") {
  cluster_check Check(threeReplicas());
  CHECK(Check.queries().size() == 2);
  Check.receive("c2", replyFrom("c2", false));
  CHECK(Check.queries().size() == 1);
  CHECK(Check.formedPeer().empty());
  Check.receive("c3", replyFrom("c3", true));
  CHECK(Check.isComplete());
  CHECK(Check.formedPeer() == "c3");
}

TEST_CASE("replicas that bootstrap together reply that no cluster is formed") {
  cluster_check First(threeReplicas());
  auto Settings = threeReplicas();
  Settings.Name = "c2";
  cluster_check Second(Settings);
  for (const auto &Query : First.queries()) {
    if (Query.Peer != "c2")
      continue;
    auto Reply = Second.receive("c1", Query.Bytes);
    REQUIRE(Reply);
    First.receive("c2", Reply->Bytes);
  }
  CHECK(First.queries().size() == 1);
  CHECK(First.formedPeer().empty());
}

TEST_CASE("a new identity is an initial voter with --init, and not a member "
          "without it") {
  auto InitialVoter = newIdentity(threeReplicas(), true, 99);
  CHECK(InitialVoter.Replica.Incarnation == 1);
  CHECK(InitialVoter.Initial.Members.size() == 3);
  auto Joiner = newIdentity(threeReplicas(), false, 99);
  CHECK(Joiner.Replica.Incarnation == 99);
  CHECK(Joiner.Initial.Members.empty());
  // With the incarnation of an initial voter, the lost votes of that voter
  // would count for the new replica.
  CHECK(newIdentity(threeReplicas(), false, 1).Replica.Incarnation > 1);
}

TEST_CASE("the identity of a data folder must match the settings") {
  auto Identity = newIdentity(threeReplicas(), true, 0);
  auto FieldOf = [&](const control_settings &Settings, bool Initialize) {
    auto Failure = core::captureFailure(
        [&] { return checkIdentity(Identity, Settings, Initialize); });
    return Failure ? Failure->Field : std::string();
  };
  CHECK(FieldOf(threeReplicas(), false).empty());
  CHECK(FieldOf(threeReplicas(), true) == "data_folder");
  auto Settings = threeReplicas();
  Settings.Cluster = "other";
  CHECK(FieldOf(Settings, false) == "cluster");
  Settings = threeReplicas();
  Settings.Name = "c2";
  CHECK(FieldOf(Settings, false) == "name");
}
