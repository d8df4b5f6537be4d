#include "declaration/declaration.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <string>

using namespace lycheetrestle;
using namespace lycheetrestle::declaration;

namespace {

const char *const Valid = R"({
  "number": 7, // with a comment
  "teams": [{"name": "planning", "quota": {"cores": 512, "memory_mb": 4096, "accelerators": 8}}],
  "pools": [{"name": "gate", "budget": {"min_available_percent": 50}, "auto_size": true},
            {"name": "records", "budget": {"min_available_hosts": 1}, "spare": true}],
  "services": [{"name": "plots", "pool": "gate", "default_class": "urgent", "deadline_ms": 2000}],
  "hosts": [{"name": "w1", "pool": "gate", "zone": "z1", "rack": "r1", "cores": 64, "memory_mb": 1024, "accelerators": 2},
            {"name": "w2", "pool": "gate", "zone": "z1", "rack": "r1", "cores": 64, "memory_mb": 1024},
            {"name": "w3", "pool": "records", "zone": "z2", "rack": "r2", "cores": 64, "memory_mb": 1024},
            {"name": "w4", "pool": "records", "zone": "z2", "rack": "r2", "cores": 64, "memory_mb": 1024}],
  "maintenance": {"max_parallel_hosts": 8, "pause_after_failures": 3}
})";

core::outcome<fleet::declaration> parse(const std::string &Text) {
  return core::capture([&] { return parseDeclaration(Text); });
}

/// \returns field and message of the failure after a change of the valid
/// document, or `accepted`.
std::string failureOf(const std::function<void(nlohmann::json &)> &Change) {
  auto Document = nlohmann::json::parse(Valid, nullptr, true, true);
  Change(Document);
  auto Outcome = parse(Document.dump());
  if (Outcome.index() == 0)
    return "accepted";
  const auto &Failure = std::get<1>(Outcome);
  return Failure.Field + ": " + Failure.Message;
}

} // namespace

TEST_CASE("a valid declaration is parsed and serialized completely") {
  auto Outcome = parse(Valid);
  REQUIRE(Outcome.index() == 0);
  const auto &Parsed = std::get<0>(Outcome);
  CHECK(Parsed.Number == 7);
  CHECK(Parsed.Teams[0].Quota == fleet::resources{512, 4096, 8});
  CHECK(Parsed.Pools[0].Budget.MinAvailablePercent == 50u);
  CHECK(Parsed.Pools[0].AutoSize);
  CHECK(Parsed.Pools[1].Spare);
  CHECK(Parsed.Services[0].DefaultClass == fleet::work_class::Urgent);
  CHECK(Parsed.Hosts[1].Size == fleet::resources{64, 1024, 0});
  CHECK(Parsed.Maintenance.PauseAfterFailures == 3);
  auto Again = parse(toJson(Parsed));
  REQUIRE(Again.index() == 0);
  CHECK(std::get<0>(Again) == Parsed);
}

// Guards against a generator that misspells or omits a part and so removes or
// changes what the fleet has.
TEST_CASE("unknown and missing fields are refused with their path") {
  CHECK(failureOf([](auto &D) { D["pools"][1]["budget"]["minimum"] = 1; }) ==
        "pools[1].budget.minimum: is not a known field");
  CHECK(failureOf([](auto &D) { D["hosts"][2]["colour"] = 1; }) ==
        "hosts[2].colour: is not a known field");
  for (const auto *List : {"teams", "pools", "services", "hosts"})
    CHECK(failureOf([&](auto &D) { D.erase(List); }) ==
          std::string(List) + ": is required and must be an array");
  CHECK(failureOf([](auto &D) { D["pools"][0].erase("budget"); }) ==
        "pools[0].budget: is required and must be an object");
}

TEST_CASE("duplicate names are refused") {
  for (const auto *List : {"teams", "pools", "services", "hosts"})
    CHECK(failureOf([&](auto &D) { D[List].push_back(D[List][0]); }) ==
          std::string(List) + "[" +
              std::to_string(
                  nlohmann::json::parse(Valid, nullptr, true, true)[List]
                      .size()) +
              "].name: must not occur twice");
}

TEST_CASE("references must name what is declared") {
  CHECK(failureOf([](auto &D) { D["services"][0]["pool"] = "absent"; }) ==
        "services[0].pool: must name a declared pool");
  CHECK(failureOf([](auto &D) { D["hosts"][3]["pool"] = "absent"; }) ==
        "hosts[3].pool: must name a declared pool");
}

TEST_CASE("a rack is in one zone") {
  CHECK(failureOf([](auto &D) { D["hosts"][1]["zone"] = "z9"; }) ==
        "hosts[1].zone: rack r1 is already in zone z1");
}

TEST_CASE("a budget names exactly one minimum within its range") {
  const std::string Rule =
      "pools[0].budget: must have exactly one of min_available_hosts and "
      "min_available_percent";
  CHECK(failureOf([](auto &D) {
          D["pools"][0]["budget"]["min_available_hosts"] = 1;
        }) == Rule);
  CHECK(failureOf([](auto &D) {
          D["pools"][0]["budget"] = nlohmann::json::object();
        }) == Rule);
  CHECK(failureOf([](auto &D) {
          D["pools"][0]["budget"]["min_available_percent"] = 101;
        }) == "pools[0].budget.min_available_percent: must be 0 to 100");
}

// The hosts of such a pool could never be maintained.
TEST_CASE("a budget must leave a host to drain") {
  CHECK(failureOf([](auto &D) {
          D["pools"][0]["budget"]["min_available_percent"] = 51;
        }) == "pools[0].budget: leaves none of the 2 hosts of pool gate to "
              "drain");
  CHECK(failureOf([](auto &D) {
          D["pools"][1]["budget"]["min_available_hosts"] = 2;
        }) == "pools[1].budget: leaves none of the 2 hosts of pool records to "
              "drain");
  CHECK(failureOf([](auto &D) {
          D["pools"].push_back(
              {{"name", "new"}, {"budget", {{"min_available_percent", 100}}}});
        }) == "accepted");
}

TEST_CASE("there is one spare pool at most") {
  CHECK(failureOf([](auto &D) { D["pools"][0]["spare"] = true; }) ==
        "pools[1].spare: only one pool may be the spare pool");
}

TEST_CASE("ranges and counts are bounded") {
  CHECK(failureOf([](auto &D) { D["number"] = 0; }) ==
        "number: must be 1 to 9223372036854775807");
  CHECK(failureOf([](auto &D) { D["hosts"][0]["cores"] = 0; }) ==
        "hosts[0].cores: must be 1 to 1048576");
  CHECK(failureOf([](auto &D) {
          D["maintenance"]["max_parallel_hosts"] = 0;
        }) == "maintenance.max_parallel_hosts: must be 1 to 20000");
  CHECK(failureOf([](auto &D) {
          for (int Pool = 0; Pool < 200; ++Pool)
            D["pools"].push_back({{"name", "p" + std::to_string(Pool)},
                                  {"budget", {{"min_available_hosts", 0}}}});
        }) == "pools: must have at most 200 elements");
}

TEST_CASE("documents that are not a declaration are refused") {
  for (const std::string Text : {"", "[]", "7", "{", "{\"number\": \"7\"}"})
    CHECK(parse(Text).index() == 1);
  CHECK(std::get<1>(parse(std::string(MaxDeclarationBytes + 1, ' '))).Code ==
        core::error_code::TooLarge);
}
