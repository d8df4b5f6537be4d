#include "fleet/cbor_sequence.h"
#include "fleet/commands.h"
#include "fleet_fixture.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <random>
#include <vector>

using namespace lycheetrestle;
using namespace lycheetrestle::fleet;

namespace {

std::vector<command> sampleCommands() {
  resources Size{8, 1024, 1};
  std::vector<command_body> Bodies = {
      submit_declaration{smallDeclaration(3)},
      request_host_goal{"w1", host_goal::Move, "records"},
      change_host_state{"w1", 7, host_state::Cordoned, host_goal::Move,
                        "records", 3, "why"},
      start_wave{},
      pause_wave{4, "surge"},
      resume_wave{4},
      finish_wave{4},
      submit_job{"planning", "gate", work_class::Batch, Size, 60},
      cancel_job{9},
      start_job{9, "w1", 7, 1'000'000},
      renew_job_lease{9, 2, 1'000'001},
      change_job_state{9, 2, job_state::Checkpointed, Size, "urgent work"},
      reserve_key{"plots/k", ~0ull, "e1#1/2"},
      complete_key{"plots/k", "e1#1/2", 200, "text/plain",
                   std::string("\0\xff", 2), true},
      abandon_key{"plots/k", "e1#1/2"}};
  std::vector<command> Commands;
  for (auto &Body : Bodies)
    Commands.push_back({"s1", "ann", -5, std::move(Body)});
  return Commands;
}

bool decodes(std::string_view Bytes) {
  return core::capture([&] { return decodeCommand(Bytes); }).index() == 0;
}

} // namespace

TEST_CASE("every command round-trips") {
  auto Commands = sampleCommands();
  REQUIRE(Commands.size() == std::variant_size_v<command_body>);
  for (const auto &Command : Commands) {
    auto Bytes = encode(Command);
    auto Outcome = core::capture([&] { return decodeCommand(Bytes); });
    REQUIRE(Outcome.index() == 0);
    const auto &Decoded = std::get<0>(Outcome);
    CHECK(Decoded.Submission == "s1");
    CHECK(Decoded.TimeMs == -5);
    CHECK(Decoded.Body.index() == Command.Body.index());
    CHECK(encode(Decoded) == Bytes);
  }
  auto Bytes = encode(Commands[0]);
  auto Outcome = core::capture([&] { return decodeCommand(Bytes); });
  CHECK(std::get<submit_declaration>(std::get<0>(Outcome).Body).Declaration ==
        smallDeclaration(3));
}

TEST_CASE("truncated and extended commands are refused") {
  for (const auto &Command : sampleCommands()) {
    auto Bytes = encode(Command);
    for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
      CHECK(!decodes(std::string_view(Bytes).substr(0, Size)));
    CHECK(!decodes(Bytes + '\0'));
  }
}

// Deep nesting would overflow the stack of the recursive parser.
TEST_CASE("hostile bytes are refused without a crash") {
  CHECK(!decodes(std::string(3u << 20, '\x81')));
  CHECK(!decodes(std::string(5u << 20, '\0')));
  // An array and a text whose headers claim more than 10^18 elements.
  CHECK(!decodes("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"));
  CHECK(!decodes("\x7b\x7f\xff\xff\xff\xff\xff\xff\xff"));
  std::string Wide = "\x9a";
  Wide += std::string("\x00\x30\x00\x00", 4) + std::string(0x300000, '\xf6');
  CHECK(!decodes(Wide));
  // Such an array would take 48 MB as a document before its type is checked.
  CHECK(!cbor_sequence(Wide).next());
}

TEST_CASE("values outside their range are refused") {
  using nlohmann::json;
  auto Decodes = [](const json &Body, int Kind) {
    auto Item = json::array({"", "ann", 1, Kind, Body});
    auto Bytes = json::to_cbor(Item);
    return decodes(
        {reinterpret_cast<const char *>(Bytes.data()), Bytes.size()});
  };
  CHECK(Decodes(json::array({"w1", 1, ""}), 1));
  CHECK(!Decodes(json::array({"w1", 9, ""}), 1));
  CHECK(!Decodes(json::array({"w1", -1, ""}), 1));
  CHECK(!Decodes(json::array({"w1", 1.5, ""}), 1));
  CHECK(!Decodes(json::array({"w1", 1}), 1));
  CHECK(!Decodes(json::array({"w1", 1, "", ""}), 1));
  CHECK(!Decodes(json::array({std::string(5'000, 'w'), 1, ""}), 1));
  CHECK(!Decodes(json::array(), 15));
  CHECK(!Decodes(json::object(), 3));
}

TEST_CASE("random changes of valid bytes never crash the decoder") {
  std::mt19937_64 Random(20261204);
  auto Commands = sampleCommands();
  for (int Round = 0; Round < 20'000; ++Round) {
    auto Bytes = encode(Commands[Random() % Commands.size()]);
    for (auto Changes = 1 + Random() % 4; Changes > 0; --Changes)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    auto Outcome = core::capture([&] { return decodeCommand(Bytes); });
    if (Outcome.index() == 1)
      CHECK(std::get<1>(Outcome).Code == core::error_code::Corrupt);
  }
}
