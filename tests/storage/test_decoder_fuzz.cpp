#include "document_mutator.h"
#include "storage/log_store.h"
#include "storage/record_codec.h"

using namespace lycheetrestle;
using namespace lycheetrestle::storage;
using lycheetrestle::test::document_format;

namespace {

const replication::replica_id A{"10.0.0.1", 1};
const replication::replica_id B{"10.0.0.2", 9};
const replication::membership Members{{{A, true}, {B, false}}};

replication::storage_write sampleWrite() {
  replication::storage_write Write;
  Write.Hard = replication::hard_state{3, A};
  Write.Snapshot = replication::snapshot{4, 2, Members, "state"};
  Write.TruncateFrom = 7;
  Write.Append = {
      {7, 3, replication::entry_kind::Command, std::string("\0\xff", 2)},
      {8, 3, replication::entry_kind::Noop, ""}};
  return Write;
}

/// \returns the write that gives the change.
replication::storage_write toWrite(const log_change &Change) {
  replication::storage_write Write;
  Write.Hard = Change.Hard;
  if (Change.Snapshot)
    Write.Snapshot = replication::snapshot{
        Change.Snapshot->LastIndex, Change.Snapshot->LastTerm, {}, {}};
  Write.TruncateFrom = Change.TruncateFrom;
  Write.Append = Change.Append;
  return Write;
}

template <typename Type, typename Encoder, typename Decoder>
void fuzzRecord(const Type &Sample, Encoder &&Encode, Decoder &&Decode) {
  const std::vector<std::string> Samples{Encode(Sample)};
  test::fuzzOptional(document_format::Cbor, Samples, 2000, Decode,
                     [&](const auto &Value) {
                       auto Bytes = Encode(Value);
                       auto Again = Decode(Bytes);
                       REQUIRE(Again);
                       REQUIRE(Encode(*Again) == Bytes);
                     });
}

} // namespace

// Guards against a file that ends the process instead of being reported as
// damaged. The payloads here are those of records with a valid checksum.
TEST_CASE("fuzz: odd payloads of records are refused") {
  segment_header Header;
  Header.PreviousSize = 100;
  Header.Hard = {3, A};
  Header.Snapshot = {4, 2};
  Header.LastIndex = 8;
  fuzzRecord(Header, encodeHeader, decodeHeader);
  const std::vector<std::string> Changes{encodeChange(sampleWrite()),
                                         encodeChange({})};
  test::fuzzOptional(document_format::Cbor, Changes, 2000, decodeChange,
                     [](const log_change &Change) {
                       auto Bytes = encodeChange(toWrite(Change));
                       auto Again = decodeChange(Bytes);
                       REQUIRE(Again);
                       REQUIRE(encodeChange(toWrite(*Again)) == Bytes);
                     });
  fuzzRecord(replication::snapshot{4, 2, Members, "state"}, encodeSnapshot,
             decodeSnapshot);
  fuzzRecord(folder_identity{"schedulers", A, Members}, encodeIdentity,
             decodeIdentity);
}

TEST_CASE("a deeply nested record is refused without recursion") {
  for (const char *Nested : {"\x81", "\x9f", "\x7f", "\xa1\x61\x61"}) {
    std::string Bytes = "\x84";
    for (std::size_t Depth = 0; Depth != test::MutatedDepth; ++Depth)
      Bytes += Nested;
    CHECK_FALSE(decodeHeader(Bytes));
    CHECK_FALSE(decodeChange(Bytes));
    CHECK_FALSE(decodeSnapshot(Bytes));
    CHECK_FALSE(decodeIdentity(Bytes));
  }
}

// Guards against a number that is converted to another one: -1 is not the
// largest index, and 1.5 is not index 1.
TEST_CASE("a record with numbers of other types is refused") {
  auto Valid =
      nlohmann::json::from_cbor(encodeSnapshot({4, 2, Members, "state"}));
  for (std::size_t Field : {1, 2})
    for (const nlohmann::json &Number :
         std::vector<nlohmann::json>{-1, 1.5, 1e300, true}) {
      auto Snapshot = Valid;
      Snapshot[Field] = Number;
      std::string Bytes;
      nlohmann::json::to_cbor(Snapshot, Bytes);
      INFO("field " << Field << " " << Number);
      CHECK_FALSE(decodeSnapshot(Bytes));
    }
}

// Guards against a length or position that makes the reader leave the file.
TEST_CASE("fuzz: damaged frames of records are refused") {
  auto Record = frameRecord(record_type::Write, 3, 0, "payload");
  auto Rounds = test::fuzzRounds(3000);
  for (std::size_t Round = 0; Round != Rounds; ++Round) {
    auto Seed = test::fuzzSeed() + Round;
    INFO("LT_FIRST_SEED=" << Seed << " LT_SEEDS=1");
    test::document_mutator Mutator(document_format::Cbor, Seed);
    auto Bytes = Record;
    for (auto Count = 1 + Mutator.below(4); Count != 0; --Count)
      Bytes[Mutator.below(Bytes.size())] =
          static_cast<char>(Mutator.below(256));
    if (Mutator.below(3) == 0)
      Bytes.resize(Mutator.below(Bytes.size() + 1));
    auto Found = readRecord(Bytes, 3, 0);
    REQUIRE((!Found || Bytes == Record));
    findRecord(Bytes, 3, 0);
  }
}
