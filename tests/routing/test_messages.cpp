#include "routing/messages.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <random>

using namespace lycheetrestle;
using namespace lycheetrestle::routing;

namespace {

bool isRefused(std::string_view Bytes) {
  auto Outcome = core::capture([&] { return decodeMessage(Bytes); });
  auto *Failure = std::get_if<1>(&Outcome);
  return Failure && Failure->Code == core::error_code::Corrupt;
}

message decodeOrThrow(std::string_view Bytes) {
  return std::get<0>(core::capture([&] { return decodeMessage(Bytes); }));
}

peer_reply fullReply() {
  peer_reply Reply;
  Reply.Nonce = UINT64_MAX;
  Reply.ConfirmationAgeMs = -1;
  Reply.Anchored = true;
  Reply.Delta.ViewIndex = 9;
  Reply.Delta.IsFull = true;
  Reply.Delta.Hosts = {
      {"w01", "gate", "kv-1", fleet::host_state::Draining, 4, 9}};
  Reply.Delta.Services = {{{"plots", "gate", fleet::work_class::Urgent, 2000}}};
  return Reply;
}

} // namespace

// A member that is encoded and decoded under different names would be lost.
TEST_CASE("every message is the same after encoding and decoding") {
  std::vector<message> All = {
      probe{1, 2},
      probe_reply{3, true, "control-1", fullReply().Delta},
      entry_report{1,
                   2,
                   true,
                   {{"w01", 3}},
                   {{"plots", 0.5}},
                   {{"plots", 1}},
                   {{"plots", 2}}},
      key_reserve{1, "plots/k", UINT64_MAX, "e1#1/2"},
      key_complete{1, "plots/k", "e1#1/2", 200, "text/plain",
                   std::string("\0\xff", 2), false},
      key_abandon{1, "plots/k", "e1#1/2"},
      key_reply{1, key_outcome::Stored, "", 200, "text/plain", "body", true},
      peer_probe{5, 6},
      fullReply(),
      announcements{7,
                    {{"ep1", 1, 2, "plots", "gate", "w01", "kv-1",
                      "10.0.0.1:80", 8, 64, true, 3, 40}}},
      slot_request{1, 2, "plots", fleet::work_class::Batch, 100, {"ep1"}},
      slot_grant{1, "plots", "ep1", 5},
      slot_refusal{1, "queue-full"},
      slot_cancel{1, "plots"},
      slot_release{"plots", "ep1", 5, 12, true},
      slot_report{"plots", 8, {{"ep1", 5, 100}}},
  };
  REQUIRE(All.size() == std::variant_size_v<message>);
  for (std::size_t Index = 0; Index < All.size(); ++Index) {
    INFO("message " << Index);
    CHECK(All[Index].index() == Index);
    auto Bytes = encode(All[Index]);
    auto Decoded = decodeOrThrow(Bytes);
    CHECK(Decoded.index() == Index);
    CHECK(encode(Decoded) == Bytes);
  }
  auto Reply = std::get<peer_reply>(decodeOrThrow(encode(fullReply())));
  CHECK(Reply.Nonce == UINT64_MAX);
  CHECK(Reply.ConfirmationAgeMs == -1);
  CHECK(Reply.Delta.Hosts.at(0).State == fleet::host_state::Draining);
  CHECK(Reply.Delta.Services.value().at(0).DeadlineMs == 2000);
  auto Complete = std::get<key_complete>(decodeOrThrow(encode(All[4])));
  CHECK(Complete.Body == std::string("\0\xff", 2));
}

// A faulty peer must not crash this process or exhaust its memory.
TEST_CASE("malformed and oversized bytes are refused") {
  CHECK(isRefused(""));
  CHECK(isRefused("\x01"));
  CHECK(isRefused(std::string((4u << 20) - 1, '\x81')));
  // An array that claims 2^60 elements.
  CHECK(isRefused(std::string("\x9b\x10\0\0\0\0\0\0\0", 9)));
  CHECK(isRefused(std::string((4u << 20) + 1, '\0')));
  announcements Batch;
  Batch.List.resize(20001);
  CHECK(isRefused(encode(Batch)));
  CHECK(isRefused(encode(slot_refusal{1, std::string(2000, 'x')})));
  CHECK(isRefused(encode(key_complete{
      1, "k", "h", 200, "", std::string((1u << 20) + 1, 'x'), false})));
}

TEST_CASE("wrong types, unknown choices and missing members are refused") {
  auto Document = nlohmann::json::from_cbor(encode(slot_request{}));
  auto IsRefusedWith = [&](const char *Name, const nlohmann::json &Value) {
    auto Changed = Document;
    Changed["body"][Name] = Value;
    std::string Bytes;
    nlohmann::json::to_cbor(Changed, Bytes);
    return isRefused(Bytes);
  };
  CHECK_FALSE(IsRefusedWith("class", 2));
  CHECK(IsRefusedWith("class", 3));
  CHECK(IsRefusedWith("id", -1));
  CHECK(IsRefusedWith("id", "1"));
  CHECK(IsRefusedWith("deadline", 4294967296));
  CHECK(IsRefusedWith("avoid", nlohmann::json::array({1})));
  Document["body"].erase("service");
  std::string Bytes;
  nlohmann::json::to_cbor(Document, Bytes);
  CHECK(isRefused(Bytes));
}

// The parser recurses, so deep input would overflow the stack without a limit.
TEST_CASE("deeply nested input is refused even in ignored unknown members") {
  auto Document = nlohmann::json::from_cbor(encode(slot_cancel{1, "plots"}));
  nlohmann::json Nested = 1;
  auto IsRefusedAt = [&](int Depth) {
    for (int Level = 0; Level < Depth; ++Level)
      Nested = nlohmann::json::array({Nested});
    Document["body"]["unknown"] = Nested;
    std::string Bytes;
    nlohmann::json::to_cbor(Document, Bytes);
    return isRefused(Bytes);
  };
  CHECK_FALSE(IsRefusedAt(6));
  CHECK(IsRefusedAt(1));
}

TEST_CASE("damaged bytes never throw") {
  std::mt19937_64 Random(7);
  auto Bytes = encode(fullReply());
  for (int Round = 0; Round < 20000; ++Round) {
    auto Damaged = Bytes;
    for (int Flip = 0; Flip < 3; ++Flip)
      Damaged[Random() % Damaged.size()] = static_cast<char>(Random());
    if (Round % 2 == 0)
      Damaged.resize(Random() % Damaged.size());
    CHECK_NOTHROW(core::capture([&] { return decodeMessage(Damaged); }));
  }
}
