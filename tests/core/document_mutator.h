#ifndef LYCHEETRESTLE_TESTS_CORE_DOCUMENT_MUTATOR_H
#define LYCHEETRESTLE_TESTS_CORE_DOCUMENT_MUTATOR_H

#include "core/clock.h"
#include "core/failure.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>

namespace lycheetrestle::test {

enum class document_format : std::uint8_t { Json, Cbor };

/// Depth of nested mutations. Without a limit a recursive decoder overflows its
/// stack of 8 MiB at about a quarter of it.
inline constexpr std::size_t MutatedDepth = 200'000;

/// Derives odd documents from valid ones: extreme and wrongly typed values,
/// missing, unknown and duplicated members, deep nesting, long arrays and
/// texts, bad UTF-8, truncation, flipped bytes and concatenations.
class document_mutator {
public:
  /// \param Seed the same seed gives the same document.
  document_mutator(document_format Format, std::uint64_t Seed);

  /// \param Samples valid documents, at least one.
  /// \returns a document that is usually invalid.
  std::string mutate(std::span<const std::string> Samples);

  /// \returns a random number below the limit.
  std::size_t below(std::size_t Limit) { return Random() % Limit; }

private:
  nlohmann::json parse(std::string_view Text) const;
  std::string write(const nlohmann::json &Document) const;
  /// Replaces one value, or removes, repeats or adds a member or element.
  void changeValue(nlohmann::json &Document);
  nlohmann::json oddValue();
  /// \returns bytes that no JSON value of the library can represent.
  std::string rawValue();
  void damage(std::string &Bytes, std::span<const std::string> Samples);

  document_format Format;
  std::mt19937_64 Random;
  /// Inserted in place of the placeholder values, in this order.
  std::vector<std::string> RawValues;
};

/// Peak of the bytes that a thread has allocated since the meter was created.
class allocation_meter {
public:
  allocation_meter();
  std::size_t peakBytes() const;
};

/// \returns the rounds for each decoder: LT_SEEDS, or the default.
std::size_t fuzzRounds(std::size_t Default);
/// \returns the first seed: LT_FIRST_SEED, or 1. Round N uses seed + N.
std::uint64_t fuzzSeed();

/// Limits for one document. Decoding takes microseconds per kilobyte; the limit
/// of time leaves a margin for slow machines and finds quadratic decoders.
inline constexpr core::duration MaxDecodeTime = std::chrono::seconds(1);
/// A CBOR item of one byte becomes a value of 16 bytes in an array that grows
/// by doubling, beside a list of records.
inline constexpr std::size_t MaxBytesPerInputByte = 200;
inline constexpr std::size_t MaxFixedBytes = 4u << 20;
/// A failure is logged and returned to the sender, so its texts are short.
inline constexpr std::size_t MaxFailureTextBytes = 1000;

/// Checks that a failure has a short message.
void checkFailure(const core::failure &Failure);

/// Passes mutated documents to a decoder and checks its time and memory.
/// \param Decode called with a document; checks the result and returns whether
/// the document was accepted. An exception fails the test.
template <typename Callable>
void fuzzDecoder(document_format Format, std::span<const std::string> Samples,
                 std::size_t DefaultRounds, Callable &&Decode) {
  for (const auto &Sample : Samples) {
    INFO(Sample.substr(0, 500));
    REQUIRE(Decode(std::string_view(Sample)));
  }
  std::size_t Refused = 0;
  auto Rounds = fuzzRounds(DefaultRounds);
  for (std::size_t Round = 0; Round != Rounds; ++Round) {
    auto Seed = fuzzSeed() + Round;
    document_mutator Mutator(Format, Seed);
    auto Document = Mutator.mutate(Samples);
    INFO("LT_FIRST_SEED=" << Seed << " LT_SEEDS=1, " << Document.size()
                          << " bytes: " << Document.substr(0, 300));
    allocation_meter Meter;
    auto Before = core::thread_cpu_clock::now();
    Refused += !Decode(std::string_view(Document));
    REQUIRE(core::thread_cpu_clock::now() - Before < MaxDecodeTime);
    REQUIRE(Meter.peakBytes() <=
            MaxFixedBytes + MaxBytesPerInputByte * Document.size());
  }
  // Guards against mutations that no longer reach the decoder.
  if (Rounds >= DefaultRounds)
    CHECK(Refused > Rounds / 10);
}

/// Fuzzes a decoder that returns core::result.
/// \param Decode the decoder.
/// \param Check called with each accepted value.
template <typename Decoder, typename Checker>
void fuzzResult(document_format Format, std::span<const std::string> Samples,
                std::size_t Rounds, Decoder &&Decode, Checker &&Check) {
  fuzzDecoder(Format, Samples, Rounds, [&](std::string_view Document) {
    // core::capture() would turn an exception into a failure.
    bool HasThrown = false;
    auto Outcome = core::capture([&] {
      try {
        return Decode(Document);
      } catch (...) {
        HasThrown = true;
        throw;
      }
    });
    REQUIRE_FALSE(HasThrown);
    if (const auto *Failure = std::get_if<core::failure>(&Outcome)) {
      checkFailure(*Failure);
      return false;
    }
    Check(std::get<0>(Outcome));
    return true;
  });
}

/// Fuzzes a decoder that returns std::optional.
template <typename Decoder, typename Checker>
void fuzzOptional(document_format Format, std::span<const std::string> Samples,
                  std::size_t Rounds, Decoder &&Decode, Checker &&Check) {
  fuzzDecoder(Format, Samples, Rounds, [&](std::string_view Document) {
    auto Value = Decode(Document);
    if (!Value)
      return false;
    Check(*Value);
    return true;
  });
}

} // namespace lycheetrestle::test

#endif
