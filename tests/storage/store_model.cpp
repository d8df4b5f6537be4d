#include "tests/storage/store_model.h"

#include <algorithm>

namespace lycheetrestle::storage::test {

using namespace replication;

namespace {

std::uint64_t firstIndex(const persistent_state &State) {
  return (State.Snapshot ? State.Snapshot->LastIndex : 0) + 1;
}

std::uint64_t lastIndex(const persistent_state &State) {
  return firstIndex(State) - 1 + State.Entries.size();
}

std::string randomBytes(std::size_t Size, std::mt19937_64 &Random) {
  std::string Bytes(Size, '\0');
  for (auto &Byte : Bytes)
    Byte = static_cast<char>(Random());
  return Bytes;
}

} // namespace

bool isSame(const persistent_state &Left, const persistent_state &Right) {
  return Left.Hard == Right.Hard && Left.Snapshot == Right.Snapshot &&
         Left.Entries == Right.Entries;
}

persistent_state applyWrite(persistent_state State,
                            const storage_write &Write) {
  if (Write.Hard)
    State.Hard = *Write.Hard;
  auto &Entries = State.Entries;
  if (Write.Snapshot) {
    std::erase_if(Entries, [&](const auto &Entry) {
      return Entry.Index <= Write.Snapshot->LastIndex;
    });
    State.Snapshot = Write.Snapshot;
  }
  if (Write.TruncateFrom)
    std::erase_if(Entries, [&](const auto &Entry) {
      return Entry.Index >= *Write.TruncateFrom;
    });
  Entries.insert(Entries.end(), Write.Append.begin(), Write.Append.end());
  return State;
}

storage_write randomWrite(const persistent_state &State,
                          std::mt19937_64 &Random) {
  storage_write Write;
  auto Term = State.Hard.Term;
  if (Random() % 4 == 0) {
    Write.Hard = hard_state{++Term, std::nullopt};
    if (Random() % 2 == 0)
      Write.Hard->Vote =
          replica_id{"control-" + std::to_string(Random() % 5), Random()};
  }
  auto First = firstIndex(State);
  auto Last = lastIndex(State);
  if (Random() % 8 == 0) {
    // Covers an index in the log, or one beyond it like a leader's snapshot.
    auto Index = First + Random() % (Last - First + 8);
    Write.Snapshot = snapshot{
        Index, Term, {{{{"control-1", 1}, true}}}, randomBytes(100, Random)};
    First = Index + 1;
    Last = std::max(Last, Index);
  }
  if (First <= Last && Random() % 4 == 0) {
    Write.TruncateFrom = First + Random() % (Last - First + 1);
    Last = *Write.TruncateFrom - 1;
  }
  auto Count = Random() % 4;
  for (std::uint64_t I = 0; I < Count; ++I)
    Write.Append.push_back({++Last, Term, entry_kind::Command,
                            randomBytes(Random() % 80, Random)});
  return Write;
}

storage_write appendWrite(const persistent_state &State, std::size_t Count,
                          std::size_t PayloadBytes) {
  storage_write Write;
  auto Last = lastIndex(State);
  for (std::size_t I = 0; I < Count; ++I)
    Write.Append.push_back({++Last, State.Hard.Term, entry_kind::Command,
                            std::string(PayloadBytes, 'x')});
  return Write;
}

} // namespace lycheetrestle::storage::test
