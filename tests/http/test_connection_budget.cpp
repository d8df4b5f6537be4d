#include "http/connection_budget.h"

#include <catch2/catch.hpp>

#include <random>
#include <vector>

using namespace lycheetrestle::http;

namespace {

connection_account makeAccount(std::string Address,
                               listener_class Class = listener_class::Public) {
  connection_account Account;
  Account.Address = std::move(Address);
  Account.Class = Class;
  return Account;
}

// Connections 10 (2 reserved), allowance 100, shared 1000 (200 reserved), 400
// for each address.
constexpr budget_limits Limits{10, 2, 100, 1000, 200, 400};

} // namespace

TEST_CASE("A connection holds its allowance without a reservation",
          "[connection_budget]") {
  connection_budget Budget(Limits);
  std::vector<connection_account> Accounts;
  for (int Index = 0; Index != 5; ++Index)
    Accounts.push_back(makeAccount("a" + std::to_string(Index)));
  for (auto &Account : Accounts)
    Budget.open(Account);
  REQUIRE(Budget.reserve(Accounts[0], 500));
  REQUIRE(Budget.reserve(Accounts[1], 500));
  // The part for the public listeners is used up.
  REQUIRE_FALSE(Budget.reserve(Accounts[2], 101));
  REQUIRE(Budget.reserve(Accounts[2], 100));
  REQUIRE(Budget.sharedBytes() == 800);
}

TEST_CASE("One address cannot use up the room of the others",
          "[connection_budget]") {
  connection_budget Budget(Limits);
  auto First = makeAccount("a");
  auto Second = makeAccount("a");
  auto Other = makeAccount("b");
  for (auto *Account : {&First, &Second, &Other})
    Budget.open(*Account);
  REQUIRE(Budget.reserve(First, 400));
  REQUIRE_FALSE(Budget.reserve(Second, 201));
  REQUIRE(Budget.reserve(Second, 200));
  REQUIRE(Budget.reserve(Other, 500));
}

TEST_CASE("Public clients cannot use the reserved part",
          "[connection_budget]") {
  connection_budget Budget(Limits);
  auto First = makeAccount("a");
  auto Second = makeAccount("b");
  auto Third = makeAccount("c");
  auto Operator = makeAccount("a", listener_class::Reserved);
  for (auto *Account : {&First, &Second, &Third, &Operator})
    Budget.open(*Account);
  REQUIRE(Budget.reserve(First, 500));
  REQUIRE(Budget.reserve(Second, 500));
  REQUIRE_FALSE(Budget.reserve(Third, 200));
  REQUIRE(Budget.reserve(Operator, 300));
  REQUIRE_FALSE(Budget.reserve(Operator, 301));
  Budget.release(First);
  REQUIRE(Budget.reserve(Third, 200));
}

TEST_CASE("Connections are limited, with a part for the reserved listeners",
          "[connection_budget]") {
  connection_budget Budget(Limits);
  std::vector<connection_account> Accounts(9, makeAccount("a"));
  for (std::size_t Index = 0; Index != 8; ++Index)
    Budget.open(Accounts[Index]);
  REQUIRE_FALSE(Budget.isFull(listener_class::Public));
  Budget.open(Accounts[8]);
  REQUIRE(Budget.isFull(listener_class::Public));
  REQUIRE_FALSE(Budget.isFull(listener_class::Reserved));
  Budget.close(Accounts[0]);
  REQUIRE_FALSE(Budget.isFull(listener_class::Public));
  REQUIRE(Budget.connectionsFrom("a") == 8);
}

TEST_CASE("Reserved connections beyond their part make room for public ones",
          "[connection_budget]") {
  connection_budget Budget(Limits);
  std::vector<connection_account> Operators(
      10, makeAccount("a", listener_class::Reserved));
  for (auto &Account : Operators)
    Budget.open(Account);
  REQUIRE_FALSE(Budget.isFull(listener_class::Reserved));
  std::vector<connection_account> Callers(9, makeAccount("b"));
  for (std::size_t Index = 0; Index != 8; ++Index) {
    Budget.open(Callers[Index]);
    REQUIRE(Budget.isFull(listener_class::Public));
    REQUIRE(Budget.classToReduce() == listener_class::Reserved);
    Budget.close(Operators[Index]);
  }
  REQUIRE_FALSE(Budget.isFull(listener_class::Public));
  Budget.open(Callers[8]);
  REQUIRE(Budget.isFull(listener_class::Public));
  REQUIRE(Budget.classToReduce() == listener_class::Public);
}

TEST_CASE("One connection at a time may complete beyond the limits",
          "[connection_budget]") {
  connection_budget Budget(Limits);
  auto First = makeAccount("a");
  auto Second = makeAccount("b");
  auto Third = makeAccount("c");
  for (auto *Account : {&First, &Second, &Third})
    Budget.open(*Account);
  auto Largest = Limits.AllowanceBytes + Limits.SharedBytes;
  REQUIRE_FALSE(Budget.reserve(First, Largest));
  REQUIRE(Budget.beginCompletion(First));
  REQUIRE_FALSE(Budget.beginCompletion(Second));
  REQUIRE(Budget.reserve(First, Largest));
  REQUIRE_FALSE(Budget.reserve(Second, Limits.AllowanceBytes + 1));
  Budget.release(First);
  REQUIRE(Budget.sharedBytes() == 0);
  REQUIRE(Budget.beginCompletion(Second));
  REQUIRE(Budget.reserve(Second, Largest));
  Budget.close(Second);
  REQUIRE(Budget.beginCompletion(Third));
}

TEST_CASE("Closing returns all that was reserved", "[connection_budget]") {
  std::mt19937 Random(7);
  connection_budget Budget(Limits);
  std::vector<connection_account> Accounts;
  for (int Index = 0; Index != 8; ++Index)
    Accounts.push_back(makeAccount("a" + std::to_string(Index % 3),
                                   Index % 4 == 0 ? listener_class::Reserved
                                                  : listener_class::Public));
  for (int Step = 0; Step != 20'000; ++Step) {
    auto &Account = Accounts[Random() % Accounts.size()];
    if (!Account.IsOpen)
      Budget.open(Account);
    else if (auto Choice = Random() % 5; Choice == 0)
      Budget.close(Account);
    else if (Choice == 1)
      Budget.release(Account);
    else if (Choice == 2)
      Budget.reduce(Account, Random() % 700);
    else
      Budget.reserve(Account, Random() % 700);
    std::size_t Sum = 0;
    for (const auto &Each : Accounts)
      Sum += Each.SharedBytes;
    REQUIRE(Budget.sharedBytes() == Sum);
    REQUIRE(Sum <= Limits.SharedBytes);
  }
  for (auto &Account : Accounts)
    Budget.close(Account);
  REQUIRE(Budget.sharedBytes() == 0);
  REQUIRE(Budget.connections() == 0);
  REQUIRE(Budget.connectionsFrom("a0") == 0);
}

TEST_CASE("The default limits leave room for the documented requests",
          "[connection_budget]") {
  constexpr std::size_t GatewayRequest = 262'144 + 16'384;
  constexpr std::size_t SchedulerRequest = (4u << 20u) + 16'384;
  auto Gateway = limitsFor({160, 1024}, GatewayRequest);
  REQUIRE(Gateway.AddressBytes >= 6 * memoryFor(GatewayRequest));
  REQUIRE(Gateway.Connections == 512);
  for (std::size_t MemoryMb : {32, 160, 384}) {
    connection_budget Budget(limitsFor({MemoryMb, 1024}, SchedulerRequest));
    auto Account = makeAccount("a");
    Budget.open(Account);
    REQUIRE(Budget.reserve(Account, memoryFor(SchedulerRequest)));
  }
}
