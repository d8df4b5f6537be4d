#include "scheduling/call_delegator.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <set>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace std::chrono_literals;

namespace {

core::time_point at(core::duration Time) { return core::time_point(Time); }

http::client_call makeCall(std::uint64_t Id) {
  http::client_call Call;
  Call.Id = Id;
  Call.Address = core::network_address::parse("10.0.0.1:80");
  Call.Request.Method = "POST";
  Call.Request.Target = "/x";
  Call.Request.Headers = {{"A", "b"}};
  Call.Request.Body = std::string("\0\xff body", 7);
  Call.Timeout = 700ms;
  return Call;
}

} // namespace

TEST_CASE("the leader sends itself only while it has few endpoints or no "
          "delegate") {
  sender_table Senders(2);
  Senders.addDelegate("b");
  CHECK(Senders.senderOf(1, at(1s)).empty());
  CHECK(Senders.senderOf(2, at(1s)).empty());
  for (std::uint32_t Endpoint = 3; Endpoint != 0; --Endpoint)
    CHECK(Senders.senderOf(Endpoint, at(1s)) == "b");
  Senders.removeDelegate("b");
  for (std::uint32_t Endpoint = 3; Endpoint != 0; --Endpoint)
    CHECK(Senders.senderOf(Endpoint, at(1s)).empty());
}

TEST_CASE("delegates share the endpoints evenly, and an endpoint keeps its "
          "sender") {
  sender_table Senders(0);
  Senders.addDelegate("a");
  Senders.addDelegate("b");
  std::map<std::string, int> Count;
  std::map<std::uint32_t, std::string> First;
  for (std::uint32_t Endpoint = 1; Endpoint <= 100; ++Endpoint) {
    First[Endpoint] = Senders.senderOf(Endpoint, at(1s));
    ++Count[First[Endpoint]];
  }
  CHECK(Count["a"] == 50);
  CHECK(Count["b"] == 50);
  Senders.addDelegate("c");
  for (const auto &[Endpoint, Sender] : First)
    CHECK(Senders.senderOf(Endpoint, at(2s)) == Sender);
  // The endpoints of a lost delegate are assigned to another one.
  Senders.removeDelegate("a");
  for (const auto &[Endpoint, Sender] : First)
    CHECK(Senders.senderOf(Endpoint, at(2s)) == (Sender == "a" ? "c" : "b"));
}

TEST_CASE(
    "an endpoint that gets no more orders no longer counts for the leader's "
    "limit") {
  sender_table Senders(1);
  Senders.addDelegate("a");
  CHECK(Senders.senderOf(1, at(1s)).empty());
  Senders.prune(at(30s));
  CHECK(Senders.senderOf(2, at(30s)).empty());
}

TEST_CASE(
    "a delegated call is made by the delegate and its result is returned") {
  call_delegator Leader(0);
  call_delegator Delegate(0);
  Leader.peerConnected("delegate");
  auto Call = makeCall(7);
  REQUIRE(Leader.delegate(1, Call, at(1s)));
  auto Messages = Leader.takeMessages();
  REQUIRE(Messages.size() == 1);
  CHECK(Messages[0].Peer == "delegate");
  auto Received = Delegate.receive("leader", Messages[0].Bytes, at(5s));
  REQUIRE(Received.Calls.size() == 1);
  CHECK(Received.Calls[0].Request.Body == makeCall(7).Request.Body);
  CHECK(Received.Calls[0].Request.Headers[0].Value == "b");
  CHECK(Received.Calls[0].Timeout == 700ms);
  CHECK(Received.Calls[0].Issued == at(5s));
  http::client_result Result;
  Result.Id = Received.Calls[0].Id;
  Result.IsComplete = true;
  Result.Response.Status = 200;
  Result.Response.Body = "answer";
  REQUIRE(Delegate.finish(Result));
  auto Answers = Delegate.takeMessages();
  REQUIRE(Answers.size() == 1);
  auto Back = Leader.receive("delegate", Answers[0].Bytes, at(1s));
  REQUIRE(Back.Results.size() == 1);
  CHECK(Back.Results[0].Id == 7);
  CHECK(Back.Results[0].Response.Body == "answer");
  // A duplicate of the result is ignored.
  CHECK(Leader.receive("delegate", Answers[0].Bytes, at(1s)).Results.empty());
}

// Otherwise the leader takes an endpoint that has ended for one out of reach.
TEST_CASE("the result of a delegated call tells whether it was refused") {
  call_delegator Leader(0);
  call_delegator Delegate(0);
  Leader.peerConnected("delegate");
  for (bool IsRefused : {true, false}) {
    auto Call = makeCall(7);
    REQUIRE(Leader.delegate(1, Call, at(1s)));
    auto Received =
        Delegate.receive("leader", Leader.takeMessages().at(0).Bytes, at(1s));
    http::client_result Result;
    Result.Id = Received.Calls.at(0).Id;
    Result.Reason = "no connection";
    Result.IsRefused = IsRefused;
    REQUIRE(Delegate.finish(Result));
    auto Back =
        Leader.receive("delegate", Delegate.takeMessages().at(0).Bytes, at(1s));
    REQUIRE(Back.Results.size() == 1);
    CHECK(Back.Results[0].IsRefused == IsRefused);
  }
}

TEST_CASE("a result of an own call is not sent to a peer") {
  call_delegator Delegator(0);
  http::client_result Result;
  Result.Id = 7;
  CHECK(!Delegator.finish(Result));
}

TEST_CASE("a call to a lost or silent delegate is reported as may have run") {
  call_delegator Leader(0);
  Leader.peerConnected("delegate");
  auto First = makeCall(1);
  REQUIRE(Leader.delegate(1, First, at(1s)));
  Leader.takeMessages();
  auto Lost = Leader.peerDisconnected("delegate");
  REQUIRE(Lost.size() == 1);
  CHECK(Lost[0].WasSent);
  CHECK(Lost[0].IsLocal);
  CHECK(!Lost[0].IsComplete);
  Leader.peerConnected("delegate");
  auto Second = makeCall(2);
  REQUIRE(Leader.delegate(1, Second, at(2s)));
  Leader.takeMessages();
  CHECK(Leader.expire(at(2900ms)).empty());
  auto Silent = Leader.expire(at(3100ms));
  REQUIRE(Silent.size() == 1);
  CHECK(Silent[0].Id == 2);
  CHECK(Silent[0].WasSent);
  CHECK(Silent[0].IsLocal);
  // A silent delegate gets no more calls until it answers.
  auto Third = makeCall(3);
  CHECK(!Leader.delegate(1, Third, at(3200ms)));
}

TEST_CASE("a call whose message was not sent is reported as not run") {
  call_delegator Leader(0);
  Leader.peerConnected("delegate");
  auto Call = makeCall(1);
  REQUIRE(Leader.delegate(1, Call, at(1s)));
  auto Messages = Leader.takeMessages();
  auto Results = Leader.sendFailed(Messages.at(0));
  REQUIRE(Results.size() == 1);
  CHECK(!Results[0].WasSent);
  CHECK(Leader.expire(at(10s)).empty());
}

TEST_CASE("bytes that are not a delegation message are rejected") {
  CHECK(!decodeDelegation(""));
  CHECK(!decodeDelegation("\xa1\x61x\x80"));
  CHECK(!decodeDelegation("\x80"));
  auto Bytes = encodeDelegation(delegated_calls{{makeCall(1)}});
  CHECK(!decodeDelegation(std::string_view(Bytes).substr(0, Bytes.size() - 1)));
}

// Guards against an answer that the leader refuses together with its message:
// it would take one delegate after the other for silent.
TEST_CASE("a response that is too large fails alone, not its delegate") {
  call_delegator Delegate(0);
  call_delegator Leader(0);
  Leader.peerConnected("d");
  for (std::uint64_t Id = 1; Id <= 2; ++Id) {
    auto Call = makeCall(Id);
    REQUIRE(Leader.delegate(1, Call, at(1s)));
  }
  std::vector<http::client_call> Calls;
  for (const auto &Message : Leader.takeMessages())
    for (auto &Call : Delegate.receive("l", Message.Bytes, at(1s)).Calls)
      Calls.push_back(std::move(Call));
  REQUIRE(Calls.size() == 2);
  for (std::size_t Index = 0; Index != 2; ++Index) {
    http::client_result Result;
    Result.Id = Calls[Index].Id;
    Result.WasSent = true;
    Result.IsComplete = true;
    Result.Response.Status = 200;
    Result.Response.Body = std::string(Index == 0 ? 3u << 20 : 10u, 'r');
    REQUIRE(Delegate.finish(Result));
  }
  std::map<std::uint64_t, http::client_result> Results;
  for (const auto &Message : Delegate.takeMessages()) {
    auto Received = Leader.receive("d", Message.Bytes, at(1s));
    REQUIRE(Received.IsValid);
    for (auto &Result : Received.Results)
      Results[Result.Id] = std::move(Result);
  }
  REQUIRE(Results.size() == 2);
  CHECK_FALSE(Results[1].IsComplete);
  CHECK(Results[1].WasSent);
  CHECK(Results[2].IsComplete);
  CHECK(Leader.expire(at(10s)).empty());
}

// Guards against a batch that no link accepts, so that all of its calls fail
// and are sent again in the same batch.
TEST_CASE("calls and results are sent in messages that a link accepts") {
  constexpr std::size_t MaxMessageBytes = 4u << 20;
  call_delegator Leader(0);
  call_delegator Delegate(0);
  Leader.peerConnected("d");
  for (std::uint64_t Id = 1; Id <= 300; ++Id) {
    auto Call = makeCall(Id);
    Call.Request.Body = std::string(30'000, 'b');
    REQUIRE(Leader.delegate(1, Call, at(1s)));
  }
  std::size_t Received = 0;
  for (const auto &Message : Leader.takeMessages()) {
    CHECK(Message.Bytes.size() < MaxMessageBytes);
    CHECK_FALSE(Message.DelegatedCalls.empty());
    for (auto &Call : Delegate.receive("l", Message.Bytes, at(1s)).Calls) {
      http::client_result Result;
      Result.Id = Call.Id;
      Result.IsComplete = true;
      Result.Response.Body = std::string(30'000, 'b');
      Delegate.finish(Result);
      ++Received;
    }
  }
  CHECK(Received == 300);
  std::size_t Results = 0;
  for (const auto &Message : Delegate.takeMessages()) {
    CHECK(Message.Bytes.size() < MaxMessageBytes);
    Results += Leader.receive("d", Message.Bytes, at(1s)).Results.size();
  }
  CHECK(Results == 300);
}

// Guards against a delegate that calls what is not the address of an endpoint.
TEST_CASE(
    "a delegated call keeps a valid address, and any other text is none") {
  auto Bytes = encodeDelegation(delegated_calls{{makeCall(1)}});
  auto Received = decodeDelegation(Bytes);
  REQUIRE(Received);
  CHECK(std::get<delegated_calls>(*Received).Calls[0].Address ==
        makeCall(1).Address);
  auto Map = nlohmann::json::from_cbor(Bytes);
  for (const char *Text : {"10.0.0.1:99999", "u@10.0.0.1:80", "host:80", ""}) {
    Map["calls"][0][1] = Text;
    std::string Odd;
    nlohmann::json::to_cbor(Map, Odd);
    Received = decodeDelegation(Odd);
    REQUIRE(Received);
    CHECK(!std::get<delegated_calls>(*Received).Calls[0].Address);
  }
}

TEST_CASE("a deeply nested message of a delegate is rejected") {
  call_delegator Delegator(0);
  CHECK_FALSE(
      Delegator.receive("d", std::string(4u << 20, '\x81'), at(1s)).IsValid);
}
