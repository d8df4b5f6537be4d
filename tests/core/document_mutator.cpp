#include "document_mutator.h"

#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <new>
#include <utility>
#include <vector>

namespace {

thread_local std::size_t AllocatedBytes = 0;
thread_local std::size_t PeakBytes = 0;

void *allocate(std::size_t Size) {
  void *Memory = std::malloc(Size == 0 ? 1 : Size);
  if (!Memory)
    throw std::bad_alloc();
  AllocatedBytes += malloc_usable_size(Memory);
  PeakBytes = std::max(PeakBytes, AllocatedBytes);
  return Memory;
}

void release(void *Memory) {
  if (!Memory)
    return;
  // Memory of another thread may be released here.
  AllocatedBytes -= std::min(AllocatedBytes, malloc_usable_size(Memory));
  std::free(Memory);
}

} // namespace

void *operator new(std::size_t Size) { return allocate(Size); }
void *operator new[](std::size_t Size) { return allocate(Size); }
void operator delete(void *Memory) noexcept { release(Memory); }
void operator delete[](void *Memory) noexcept { release(Memory); }
void operator delete(void *Memory, std::size_t) noexcept { release(Memory); }
void operator delete[](void *Memory, std::size_t) noexcept { release(Memory); }

namespace lycheetrestle::test {

namespace {

using nlohmann::json;

// Replaced by a raw value after encoding.
constexpr std::string_view Placeholder = "<raw>";

std::uint64_t environmentNumber(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

std::string repeated(std::string_view Text, std::size_t Count) {
  std::string Result;
  Result.reserve(Text.size() * Count);
  for (std::size_t Index = 0; Index != Count; ++Index)
    Result += Text;
  return Result;
}

void collect(json &Value, std::vector<json *> &Values) {
  Values.push_back(&Value);
  if (Value.is_structured())
    for (auto &Element : Value)
      collect(Element, Values);
}

} // namespace

document_mutator::document_mutator(document_format Format, std::uint64_t Seed)
    : Format(Format), Random(Seed) {}

json document_mutator::parse(std::string_view Text) const {
  return Format == document_format::Json
             ? json::parse(Text, nullptr, true, true)
             : json::from_cbor(Text);
}

std::string document_mutator::write(const json &Document) const {
  std::string Bytes;
  if (Format == document_format::Json)
    return Document.dump(-1, ' ', false, json::error_handler_t::ignore);
  json::to_cbor(Document, Bytes);
  return Bytes;
}

json document_mutator::oddValue() {
  static const std::vector<json> Values{
      nullptr,
      true,
      0,
      -1,
      1.5,
      1e300,
      65535,
      65536,
      99999,
      std::int64_t{4294967296},
      std::numeric_limits<std::int64_t>::max(),
      std::numeric_limits<std::int64_t>::min(),
      std::uint64_t{1} << 63,
      std::numeric_limits<std::uint64_t>::max(),
      "",
      "a",
      "-1",
      "1e999",
      "NaN",
      std::string("a\0b", 3),
      "a\r\nb: c\x7f\x1b[2J",
      "10.0.0.1:99999",
      "10.0.0.1:0",
      "10.0.0.1:18446744073709551617",
      "http://user@10.0.0.1:80/x",
      "\xc3\xa9\xe2\x82\xac",
      std::string(257, 'x'),
      std::string(5000, 'x'),
      json::array(),
      json::object(),
      json::array({json::array({json::object()})}),
      json::object({{"", 1}, {std::string(10'000, 'k'), 2}}),
      json::array({1, "a", nullptr, -1, 1.5}),
  };
  // Rare, because a decoder spends most of its time on them.
  static const std::vector<json> LargeValues{
      std::string(100'000, 'x'), json(std::vector<int>(30'000, 1)),
      json(std::vector<json>(20'001, json::object()))};
  if (below(100) == 0)
    return LargeValues[below(LargeValues.size())];
  auto Value = Values[below(Values.size())];
  if (Format == document_format::Cbor && below(8) == 0)
    return json::binary(std::vector<std::uint8_t>(below(3) * 1000, 0xff));
  return Value;
}

std::string document_mutator::rawValue() {
  if (Format == document_format::Json) {
    static const std::vector<std::string> Values{
        "1e999",
        "-1e999",
        "9223372036854775808",
        "18446744073709551617",
        "1180591620717411303424",
        "-9223372036854775809",
        "1.0",
        "-0",
        "NaN",
        "Infinity",
        "\"\xff\xfe\"",
        "\"\xed\xa0\x80\"",
        "\"\\ud800\"",
        "\"\\u0000\"",
        "\"" + std::string(1000, '\xf0') + "\"",
        std::string(100'000, '9'),
        R"({"a":1,"a":2,"a":[3]})",
        R"({"a\u001b[2Jb\n":1})",
        "/* comment */ 1",
        std::string("\"a\nb\""),
    };
    auto Choice = below(Values.size() + 2);
    if (Choice < Values.size())
      return Values[Choice];
    if (Choice == Values.size())
      return std::string(MutatedDepth, '[') + std::string(MutatedDepth, ']');
    return repeated(R"({"a":)", MutatedDepth) + "1" +
           std::string(MutatedDepth, '}');
  }
  using namespace std::string_literals;
  static const std::vector<std::string> Values{
      "\xf9\x7e\x00"s,                         // NaN
      "\xf9\x7c\x00"s,                         // Infinity
      "\xfb\x7e\x37\xe4\x3c\x88\x00\x75\x9c"s, // 1e300
      "\xfb\x3f\xf8\x00\x00\x00\x00\x00\x00"s, // 1.5
      "\x20"s,                                 // -1
      "\x3b\xff\xff\xff\xff\xff\xff\xff\xff"s, // -2^64
      "\x1b\xff\xff\xff\xff\xff\xff\xff\xff"s, // 2^64 - 1
      "\x1b\x80\x00\x00\x00\x00\x00\x00\x00"s, // 2^63
      "\x62\xff\xfe"s,                         // Bad UTF-8.
      "\x63\x61\x00\x62"s,                     // Text with a zero byte.
      // Lengths that the document does not have.
      "\x9b\xff\xff\xff\xff\xff\xff\xff\xff"s, "\x9a\x7f\xff\xff\xff"s,
      "\xbb\x00\x00\x00\xff\xff\xff\xff\xff"s,
      "\x5b\x7f\xff\xff\xff\xff\xff\xff\xff"s,
      "\x7b\xff\xff\xff\xff\xff\xff\xff\xff"s, "\x7a\x7f\xff\xff\xff"s,
      "\x9f\x01\xff"s, // Indefinite lengths.
      "\xbf\x61\x61\x01\xff"s, "\x7f\x61\x61\xff"s,
      "\xa2\x61\x61\x01\x61\x61\x02"s, // Duplicated key.
      "\xa1\x01\x02"s,                 // Key that is not text.
      "\xc1\x01"s,                     // Tag.
      "\xf7"s,                         // Undefined.
      "\xff"s,                         // Break without a start.
  };
  static const std::vector<std::string> Nested{
      "\x81"s, "\xa1\x61\x61"s, "\x9f"s, "\xbf\x61\x61"s,
      "\x7f"s, "\x5f"s,         "\xc1"s};
  auto Choice = below(Values.size() + 4);
  if (Choice < Values.size())
    return Values[Choice];
  return repeated(Nested[below(Nested.size())], MutatedDepth) + "\x01";
}

void document_mutator::changeValue(json &Document) {
  std::vector<json *> Values;
  collect(Document, Values);
  auto &Value = *Values[below(Values.size())];
  auto PutRaw = [&](json &Target, std::string Raw) {
    // One placeholder for each document, because their order is not known.
    if (RawValues.empty()) {
      RawValues.push_back(std::move(Raw));
      Target = Placeholder;
    } else {
      Target = oddValue();
    }
  };
  switch (below(10)) {
  case 0:
    PutRaw(Value, rawValue());
    return;
  case 1:
    if (Value.is_object() && !Value.empty()) {
      auto Member = Value.begin();
      std::advance(Member, below(Value.size()));
      Value.erase(Member);
      return;
    }
    break;
  case 2:
    if (Value.is_object()) {
      Value[below(2) ? "unknown" : ""] = oddValue();
      return;
    }
    break;
  case 3:
    if (Value.is_object() && !Value.empty()) {
      auto Member = Value.begin();
      std::advance(Member, below(Value.size()));
      if (Format == document_format::Json) {
        // The same key twice, with different values.
        auto Name = json(Member.key())
                        .dump(-1, ' ', false, json::error_handler_t::ignore);
        PutRaw(*Member, write(*Member) + "," + Name + ":" + write(oddValue()));
      } else {
        *Member = oddValue();
      }
      return;
    }
    break;
  case 4:
    if (Value.is_array() && !Value.empty()) {
      auto Element = Value[below(Value.size())];
      // A valid element many times, bounded for long elements.
      auto Count = std::min<std::size_t>(below(10) ? 2 : 25'000,
                                         400'000 / (write(Element).size() + 1));
      for (std::size_t Index = 0; Index != Count; ++Index)
        Value.push_back(Element);
      return;
    }
    break;
  case 5:
    if (Value.is_array()) {
      Value.push_back(oddValue());
      return;
    }
    break;
  case 6:
    if (Value.is_array() && !Value.empty()) {
      Value.erase(below(Value.size()));
      return;
    }
    break;
  case 7: {
    auto Copy = *Values[below(Values.size())];
    Value = std::move(Copy);
    return;
  }
  default:
    break;
  }
  Value = oddValue();
}

void document_mutator::damage(std::string &Bytes,
                              std::span<const std::string> Samples) {
  switch (below(8)) {
  case 0:
    Bytes.clear();
    return;
  case 1:
    Bytes.resize(below(Bytes.size() + 1));
    return;
  case 2:
    Bytes += Samples[below(Samples.size())];
    return;
  case 3:
    Bytes.insert(below(Bytes.size() + 1), rawValue());
    return;
  default:
    for (auto Count = 1 + below(4); Count != 0 && !Bytes.empty(); --Count)
      Bytes[below(Bytes.size())] = static_cast<char>(Random());
    return;
  }
}

std::string document_mutator::mutate(std::span<const std::string> Samples) {
  RawValues.clear();
  auto Document = parse(Samples[below(Samples.size())]);
  for (auto Count = below(4); Count != 0; --Count)
    changeValue(Document);
  auto Bytes = write(Document);
  if (!RawValues.empty()) {
    // The encoded placeholder: with quotes in JSON, with a head in CBOR.
    auto Encoded = write(json(Placeholder));
    if (auto At = Bytes.find(Encoded); At != std::string::npos)
      Bytes.replace(At, Encoded.size(), RawValues.front());
  }
  if (below(4) == 0)
    damage(Bytes, Samples);
  return Bytes;
}

allocation_meter::allocation_meter() {
  AllocatedBytes = 0;
  PeakBytes = 0;
}

std::size_t allocation_meter::peakBytes() const { return PeakBytes; }

std::size_t fuzzRounds(std::size_t Default) {
  return environmentNumber("LT_SEEDS", Default);
}

std::uint64_t fuzzSeed() { return environmentNumber("LT_FIRST_SEED", 1); }

void checkFailure(const core::failure &Failure) {
  CHECK_FALSE(Failure.Message.empty());
  REQUIRE(Failure.Message.size() <= MaxFailureTextBytes);
  REQUIRE(Failure.Field.size() <= MaxFailureTextBytes);
  REQUIRE(Failure.Value.size() <= MaxFailureTextBytes);
}

} // namespace lycheetrestle::test
