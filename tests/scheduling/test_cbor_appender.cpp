#include "core/cbor_limits.h"
#include "fleet/cbor_appender.h"
#include "fleet/cbor_cursor.h"
#include "scheduling/fields.h"
#include "tests/scheduling/random_state.h"
#include "tests/scheduling/schedule_fixture.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;

namespace {

template <typename Type> std::string appended(const Type &Value) {
  std::string Bytes;
  fleet::cbor_appender(Bytes).append(Value);
  return Bytes;
}

/// \returns the encoding of earlier versions.
template <typename Type> std::string encodedByJson(const Type &Value) {
  std::string Bytes;
  nlohmann::json::to_cbor(fleet::cbor_writer::toJson(Value), Bytes);
  return Bytes;
}

template <typename Type> void checkNumbers() {
  using limits = std::numeric_limits<Type>;
  for (auto Number : {Type(0), Type(1), Type(23), Type(24), Type(127),
                      limits::min(), limits::max(), Type(limits::max() / 2),
                      Type(limits::min() / 2), Type(limits::max() / 2 + 1)})
    CHECK(appended(Number) == encodedByJson(Number));
}

} // namespace

// Replicas of earlier versions read these bytes, and equal states must have
// equal snapshots in a cluster of both versions.
TEST_CASE("records are encoded as earlier versions did") {
  SECTION("numbers") {
    checkNumbers<std::int32_t>();
    checkNumbers<std::int64_t>();
    checkNumbers<std::uint32_t>();
    checkNumbers<std::uint64_t>();
    for (std::int64_t Number = -70'000; Number <= 70'000; Number += 7)
      CHECK(appended(Number) == encodedByJson(Number));
  }
  SECTION("lengths") {
    for (std::size_t Length :
         {0u, 1u, 23u, 24u, 255u, 256u, 65'535u, 65'536u}) {
      CHECK(appended(std::string(Length, 'x')) ==
            encodedByJson(std::string(Length, 'x')));
      CHECK(appended(std::vector<std::uint32_t>(Length, 7)) ==
            encodedByJson(std::vector<std::uint32_t>(Length, 7)));
      auto Job = makeJob("j", {makeStep(1)});
      Job.Payload.assign(Length, '\xff');
      CHECK(appended(Job) == encodedByJson(Job));
    }
  }
  SECTION("no value") {
    CHECK(appended(std::optional<std::uint32_t>()) ==
          encodedByJson(std::optional<std::uint32_t>()));
    CHECK(appended(std::optional<std::uint32_t>(5)) ==
          encodedByJson(std::optional<std::uint32_t>(5)));
  }
  SECTION("commands and records of random states") {
    std::size_t Records = 0;
    for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
      CAPTURE(Seed);
      random_state Random(Seed);
      for (int Step = 0; Step != 300; ++Step) {
        auto Command = Random.change();
        std::visit(
            [](const auto &Typed) {
              CHECK(appended(Typed) == encodedByJson(Typed));
            },
            Command);
      }
      const auto &State = Random.State;
      CHECK(appended(State.currentConfiguration()) ==
            encodedByJson(State.currentConfiguration()));
      for (const auto &[Id, Job] : State.jobs())
        CHECK(appended(Job) == encodedByJson(Job));
      for (const auto &[Number, Endpoint] : State.endpoints())
        CHECK(appended(Endpoint) == encodedByJson(Endpoint));
      Records += State.jobs().size();
    }
    CHECK(Records > 500);
  }
}

// The cursor must read what the other reader does and refuse what it refuses:
// both read messages of the same sender.
TEST_CASE("the cursor and the reader of JSON values agree on odd records") {
  auto Step = makeStep(2);
  Step.DependsOn = {0};
  auto Job = makeJob("j", {makeStep(2), Step});
  Job.StartAtMs = -5;
  std::string Bytes;
  fleet::cbor_appender(Bytes).append(Job);
  std::mt19937_64 Random(7);
  std::size_t Accepted = 0;
  std::size_t Refused = 0;
  for (int Round = 0; Round != 50'000; ++Round) {
    auto Odd = Bytes;
    for (auto Changes = Random() % 3; Changes > 0; --Changes)
      Odd[Random() % Odd.size()] = static_cast<char>(Random());
    if (Random() % 8 == 0)
      Odd.resize(Random() % Odd.size());
    constexpr std::size_t MaxDepth = 8;
    constexpr std::size_t MaxItems = 1000;
    job_spec Expected;
    auto Document = core::parseCbor(Odd, MaxDepth, MaxItems);
    bool IsExpected =
        Document && fleet::cbor_reader::fromJson(*Document, Expected);
    job_spec Read;
    fleet::cbor_cursor Cursor(Odd);
    bool IsRead = core::isBoundedCbor(Odd, MaxDepth, MaxItems) &&
                  Cursor.read(Read) && Cursor.isComplete();
    REQUIRE(IsRead == IsExpected);
    if (IsRead)
      REQUIRE(Read == Expected);
    ++(IsRead ? Accepted : Refused);
  }
  CHECK(Accepted > 1000);
  CHECK(Refused > 1000);
}
