#include "fleet_fixture.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace lycheetrestle::fleet;

namespace {

struct key_fixture : fleet_fixture {
  std::string reserve(const std::string &Key, const std::string &Holder,
                      std::uint64_t Digest = 1) {
    return outcome(run(reserve_key{Key, Digest, Holder}));
  }
  std::string complete(const std::string &Key, const std::string &Holder,
                       std::string Body = "done") {
    return outcome(run(
        complete_key{Key, Holder, 201, "text/plain", std::move(Body), false}));
  }
  std::string abandon(const std::string &Key, const std::string &Holder) {
    return outcome(run(abandon_key{Key, Holder}));
  }
  static std::string outcome(const apply_result &Result) {
    if (Result.Failure)
      return std::string(lycheetrestle::core::toString(Result.Failure->Code));
    return nlohmann::json::parse(Result.Response)["outcome"];
  }
};

} // namespace

// A keyed request runs at most once, so only one holder may get its key.
TEST_CASE("a key is granted to one holder") {
  key_fixture Fleet;
  CHECK(Fleet.reserve("plots/k1", "e1#1/1") == "granted");
  CHECK(Fleet.reserve("plots/k1", "e1#1/1") == "granted");
  CHECK(Fleet.reserve("plots/k1", "e2#1/1") == "held");
  CHECK(Fleet.reserve("plots/k1", "e1#1/1", 2) == "mismatch");
  CHECK(Fleet.reserve("plots/k2", "e2#1/1") == "granted");
  CHECK(Fleet.State.keyCount() == 2);
}

TEST_CASE("a completed key gives the stored response") {
  key_fixture Fleet;
  Fleet.reserve("k", "a");
  CHECK(Fleet.complete("k", "b") == "conflict");
  CHECK(Fleet.complete("k", "a", std::string("\xff\x00", 2)) == "completed");
  CHECK(Fleet.reserve("k", "b") == "stored");
  CHECK(Fleet.reserve("k", "b", 2) == "mismatch");
  CHECK(Fleet.State.findKey("k").Body == std::string("\xff\x00", 2));
  CHECK(Fleet.State.findKey("k").HttpStatus == 201);
  // The first response stays, so that duplicates agree.
  CHECK(Fleet.complete("k", "a", "other") == "completed");
  CHECK(Fleet.State.findKey("k").Body == std::string("\xff\x00", 2));
  CHECK(Fleet.complete("absent", "a") == "not-found");
}

TEST_CASE("only the holder releases a key, and only before it completes") {
  key_fixture Fleet;
  Fleet.reserve("k", "a");
  CHECK(Fleet.abandon("k", "b") == "conflict");
  CHECK(Fleet.abandon("k", "a") == "abandoned");
  CHECK(Fleet.abandon("k", "a") == "abandoned");
  CHECK(Fleet.reserve("k", "b") == "granted");
  Fleet.complete("k", "b");
  CHECK(Fleet.abandon("k", "b") == "conflict");
}

TEST_CASE("keys are kept for 24 hours") {
  key_fixture Fleet;
  Fleet.reserve("k", "a");
  Fleet.complete("k", "a");
  // Longer steps would not count in full.
  for (int Minute = 0; Minute < 24 * 60; ++Minute) {
    Fleet.TimeMs += 60'000;
    Fleet.reserve("step", "a");
  }
  CHECK(Fleet.reserve("k", "b") == "stored");
  // A command with an older time does not turn time back.
  Fleet.TimeMs -= 5;
  CHECK(Fleet.reserve("k", "b") == "stored");
  Fleet.TimeMs += 6;
  CHECK(Fleet.reserve("k", "b") == "granted");
}

// Guards against a key that runs twice because a leader's clock was far ahead
// and expired every record at once.
TEST_CASE("a jump of the leader's clock expires no key") {
  key_fixture Fleet;
  Fleet.reserve("k", "a");
  Fleet.complete("k", "a");
  Fleet.TimeMs += 48ll * 3600 * 1000;
  CHECK(Fleet.reserve("k", "b") == "stored");
  auto Restored = fleet_state::restore(Fleet.State.snapshot());
  REQUIRE(Restored);
  Fleet.State = std::move(Restored.value());
  Fleet.TimeMs += 60'000;
  CHECK(Fleet.reserve("k", "b") == "stored");
}

TEST_CASE("the sizes of keys, holders and bodies are bounded") {
  key_fixture Fleet;
  CHECK(Fleet.reserve(std::string(513, 'k'), "a") == "bad-input");
  CHECK(Fleet.reserve("", "a") == "bad-input");
  CHECK(Fleet.reserve("k", std::string(129, 'h')) == "bad-input");
  Fleet.reserve("k", "a");
  CHECK(Fleet.complete("k", "a", std::string((16 << 10) + 1, 'b')) ==
        "completed");
  CHECK(Fleet.State.findKey("k").BodyDropped);
  CHECK(Fleet.State.findKey("k").Body.empty());
}

TEST_CASE("the oldest stored bodies are dropped first") {
  key_fixture Fleet;
  const std::string Body(16 << 10, 'b');
  // 8 MB hold 512 bodies of 16 KB.
  for (int Key = 0; Key < 514; ++Key) {
    auto Name = "k" + std::to_string(Key);
    Fleet.reserve(Name, "a");
    Fleet.complete(Name, "a", Body);
  }
  CHECK(Fleet.State.findKey("k0").BodyDropped);
  CHECK(Fleet.State.findKey("k1").BodyDropped);
  CHECK(Fleet.State.findKey("k2").Body == Body);
  CHECK(Fleet.reserve("k0", "b") == "stored");
}

// Guards against replicas that diverge after a restart because bodies are
// dropped in the order of reservation rather than of completion.
TEST_CASE("a restored state drops the same bodies first") {
  key_fixture Fleet;
  const std::string Body(16 << 10, 'b');
  for (const auto *Key : {"first", "second"})
    Fleet.reserve(Key, "a");
  for (const auto *Key : {"second", "first"})
    Fleet.complete(Key, "a", Body);
  auto Bytes = Fleet.State.snapshot();
  auto Restored =
      lycheetrestle::core::capture([&] { return fleet_state::restore(Bytes); });
  REQUIRE(Restored.index() == 0);
  Fleet.State = std::move(std::get<0>(Restored));
  for (int Key = 0; Key < 511; ++Key) {
    auto Name = "k" + std::to_string(Key);
    Fleet.reserve(Name, "a");
    Fleet.complete(Name, "a", Body);
  }
  CHECK(Fleet.State.findKey("second").BodyDropped);
  CHECK(Fleet.State.findKey("first").Body == Body);
}

TEST_CASE("a full table refuses new keys with the verdict not run") {
  key_fixture Fleet;
  for (int Key = 0; Key < 200'000; ++Key)
    Fleet.run(reserve_key{"k" + std::to_string(Key), 1, "a"});
  auto Result = Fleet.run(reserve_key{"one-more", 1, "a"});
  REQUIRE(Result.Failure);
  CHECK(Result.Failure->Code == lycheetrestle::core::error_code::Overloaded);
  CHECK(Result.Failure->Verdict == lycheetrestle::core::verdict::NotRun);
  CHECK(Fleet.reserve("k7", "b") == "held");
  Fleet.abandon("k7", "a");
  CHECK(Fleet.reserve("one-more", "a") == "granted");
}

TEST_CASE("key commands leave no audit records") {
  key_fixture Fleet;
  Fleet.reserve("k", "a");
  Fleet.complete("k", "b");
  CHECK(Fleet.State.audit({}).empty());
}
