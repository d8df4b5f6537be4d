#include "document_mutator.h"
#include "fleet/cbor_sequence.h"
#include "fleet/commands.h"
#include "fleet/snapshot.h"
#include "fleet_fixture.h"
#include "random_commands.h"

using namespace lycheetrestle;
using namespace lycheetrestle::fleet;
using lycheetrestle::test::document_format;

// Guards against a proposal or a log entry that ends each replica that reads
// it.
TEST_CASE("fuzz: odd commands of the fleet state are refused") {
  fleet_fixture Fleet;
  Fleet.declare(smallDeclaration(1));
  random_commands Commands(1);
  std::vector<std::string> Samples{
      encode(command{"s", "ann", 1, submit_declaration{smallDeclaration(2)}})};
  for (int Count = 0; Count != 60; ++Count)
    Samples.push_back(encode(Commands.next(Fleet.State)));
  test::fuzzResult(document_format::Cbor, Samples, 2000, decodeCommand,
                   [](const command &Command) {
                     auto Bytes = encode(Command);
                     auto Again =
                         core::capture([&] { return decodeCommand(Bytes); });
                     REQUIRE(Again.index() == 0);
                     REQUIRE(encode(std::get<0>(Again)) == Bytes);
                   });
}

TEST_CASE("fuzz: odd snapshots of the fleet state are refused") {
  fleet_fixture Fleet;
  Fleet.declare(smallDeclaration(1));
  random_commands Commands(2);
  for (int Count = 0; Count != 300; ++Count)
    Fleet.State.apply(Commands.next(Fleet.State), ++Fleet.Index);
  auto Bytes = Fleet.State.snapshot();
  // The items of the sequence, each as a document, because the mutations need
  // one item.
  std::vector<std::string> Items;
  cbor_sequence Sequence(Bytes);
  while (!Sequence.atEnd()) {
    auto Item = Sequence.next();
    REQUIRE(Item);
    appendCbor(Items.emplace_back(), *Item);
  }
  REQUIRE_FALSE(Items.empty());
  auto Rounds = test::fuzzRounds(700);
  std::size_t Refused = 0;
  for (std::size_t Round = 0; Round != Rounds; ++Round) {
    auto Seed = test::fuzzSeed() + Round;
    INFO("LT_FIRST_SEED=" << Seed << " LT_SEEDS=1");
    test::document_mutator Mutator(document_format::Cbor, Seed);
    auto Changed = Items;
    auto &Item = Changed[Mutator.below(Changed.size())];
    Item = Mutator.mutate(std::vector<std::string>{Item});
    std::string Document;
    for (const auto &Part : Changed)
      Document += Part;
    auto Before = core::thread_cpu_clock::now();
    auto Data = readSnapshot(Document);
    REQUIRE(core::thread_cpu_clock::now() - Before < test::MaxDecodeTime);
    Refused += !Data;
    if (!Data)
      continue;
    auto Again = readSnapshot(writeSnapshot(*Data));
    REQUIRE(Again);
    REQUIRE(writeSnapshot(*Again) == writeSnapshot(*Data));
  }
  if (Rounds >= 700)
    CHECK(Refused > Rounds / 10);
}

// Chunks of a text of indefinite length may have indefinite length themselves;
// the parser recurses for each.
TEST_CASE("nested texts of indefinite length are refused without recursion") {
  std::string Bytes(test::MutatedDepth, '\x7f');
  cbor_sequence Sequence(Bytes);
  CHECK_FALSE(Sequence.next());
  auto InArray = "\x81" + Bytes;
  cbor_sequence Second(InArray);
  CHECK_FALSE(Second.next());
}
