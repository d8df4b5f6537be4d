#include "control/control_frames.h"
#include "control/control_settings.h"
#include "control/http_operations.h"
#include "document_mutator.h"

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace lycheetrestle;
using namespace lycheetrestle::control;
using lycheetrestle::test::document_format;

namespace {

control_frame sampleFrame() {
  control_frame Frame;
  Frame.Kind = frame_kind::Replication;
  Frame.Cluster = "alpha";
  Frame.From = {"c1", 0xffffffffffffffffu};
  Frame.To = {"c2", 3};
  Frame.Bytes = std::string("\0\xff binary", 9);
  return Frame;
}

std::string exampleSettings() {
  std::ifstream File(LT_EXAMPLE_SETTINGS);
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// Fuzzes a decoder of a request whose body is the document.
template <typename Decoder>
void fuzzOperation(const std::vector<std::string> &Samples, Decoder &&Decode) {
  test::fuzzResult(
      document_format::Json, Samples, 400,
      [&](std::string_view Text) {
        operator_request Request;
        Request.Submission = "s-1";
        Request.Actor = "ann";
        Request.Body = std::string(Text);
        return Decode(Request);
      },
      [](const operation &) {});
}

} // namespace

// Guards against a frame of a peer that ends a replica.
TEST_CASE("fuzz: odd frames between replicas are refused") {
  auto Reply = sampleFrame();
  Reply.Kind = frame_kind::ClusterReply;
  Reply.IsFormed = true;
  Reply.Bytes.clear();
  const std::vector<std::string> Samples{encodeFrame(sampleFrame()),
                                         encodeFrame(Reply)};
  test::fuzzResult(document_format::Cbor, Samples, 2000, decodeFrame,
                   [](const control_frame &Frame) {
                     REQUIRE_FALSE(Frame.From.Name.empty());
                     REQUIRE(Frame.From.Name.size() <= 256);
                     REQUIRE(Frame.To.Name.size() <= 256);
                     auto Bytes = encodeFrame(Frame);
                     auto Again =
                         core::capture([&] { return decodeFrame(Bytes); });
                     REQUIRE(Again.index() == 0);
                     REQUIRE(encodeFrame(std::get<0>(Again)) == Bytes);
                   });
}

TEST_CASE("a deeply nested frame is refused without recursion") {
  for (const char *Nested : {"\x81", "\x9f", "\x7f", "\xa1\x61\x61"}) {
    std::string Bytes = "\x88";
    for (std::size_t Depth = 0; Depth != test::MutatedDepth; ++Depth)
      Bytes += Nested;
    auto Outcome = core::capture([&] { return decodeFrame(Bytes); });
    REQUIRE(Outcome.index() == 1);
    CHECK(std::get<1>(Outcome).Code == core::error_code::Corrupt);
  }
}

// Guards against a frame whose numbers are converted to others: a kind of 2^32
// is not kind 0, and an incarnation of -1 is not the largest one.
TEST_CASE("a frame with numbers of other types or out of range is refused") {
  auto Valid = nlohmann::json::from_cbor(encodeFrame(sampleFrame()));
  const std::vector<nlohmann::json> Odd{-1, 1.5, 1e300, true};
  for (std::size_t Field : {0, 3, 5})
    for (const auto &Number : Odd) {
      auto Frame = Valid;
      Frame[Field] = Number;
      std::string Bytes;
      nlohmann::json::to_cbor(Frame, Bytes);
      INFO("field " << Field << " " << Number);
      CHECK(core::capture([&] { return decodeFrame(Bytes); }).index() == 1);
    }
  auto Frame = Valid;
  Frame[0] = std::uint64_t{1} << 32;
  std::string Bytes;
  nlohmann::json::to_cbor(Frame, Bytes);
  CHECK(core::capture([&] { return decodeFrame(Bytes); }).index() == 1);
}

// Guards against a request to join that is refused at each attempt and holds up
// those of other replicas, or that commits a membership which no replica can
// decode.
TEST_CASE("a frame whose sender has no name or a long one is refused") {
  for (const std::string &Name : {std::string(), std::string(257, 'n')}) {
    auto Frame = sampleFrame();
    Frame.Kind = frame_kind::Join;
    Frame.From.Name = Name;
    auto Bytes = encodeFrame(Frame);
    CHECK(core::capture([&] { return decodeFrame(Bytes); }).index() == 1);
  }
}

TEST_CASE("fuzz: odd settings of a control replica are refused") {
  const std::vector<std::string> Samples{exampleSettings()};
  test::fuzzResult(
      document_format::Json, Samples, 400, parseControlSettings,
      [](const control_settings &Settings) {
        REQUIRE_FALSE(Settings.Name.empty());
        REQUIRE(Settings.Listen.Port != 0);
        REQUIRE(Settings.Link.Port != 0);
        REQUIRE(std::any_of(Settings.Controls.begin(), Settings.Controls.end(),
                            [&](const auto &Replica) {
                              return Replica.Name == Settings.Name;
                            }));
        REQUIRE(Settings.Timing.Heartbeat.count() > 0);
        REQUIRE(Settings.Timing.ElectionTimeout > Settings.Timing.Heartbeat);
        REQUIRE(Settings.SnapshotEveryEntries > 0);
      });
}

TEST_CASE("fuzz: odd requests of operators are refused") {
  fuzzOperation({R"({"pool":"gate"})"}, [](const operator_request &Request) {
    return hostOperation("w1", "move", Request);
  });
  fuzzOperation({R"({"wave":1,"reason":"r"})"},
                [](const operator_request &Request) {
                  return maintenanceOperation("pause", Request);
                });
  fuzzOperation({R"({"team":"planning","pool":"gate","class":"normal",
      "cores":1,"memory_mb":10,"accelerators":0,"run_seconds":60})"},
                jobOperation);
}
