#include "scheduling/ahead_decoder.h"

#include <algorithm>
#include <iterator>

namespace lycheetrestle::scheduling {

ahead_decoder::ahead_decoder(std::vector<replication::log_entry> Log)
    : Entries(std::make_move_iterator(Log.begin()),
              std::make_move_iterator(Log.end())) {}

void ahead_decoder::decode(std::size_t Bytes) {
  while (!Entries.empty() && Bytes > 0) {
    auto Entry = std::move(Entries.front());
    Entries.pop_front();
    if (Entry.Kind != replication::entry_kind::Command)
      continue;
    Bytes -= std::min(Bytes, Entry.Payload.size());
    // One that cannot be decoded matters only if it is committed.
    if (auto Batch = decodeBatch(Entry.Payload))
      Decoded.emplace(Entry.Index, std::pair(Entry.Term, std::move(*Batch)));
  }
}

std::optional<command_batch> ahead_decoder::take(std::uint64_t Index,
                                                 std::uint64_t Term) {
  while (!Entries.empty() && Entries.front().Index <= Index)
    Entries.pop_front();
  std::optional<command_batch> Batch;
  auto Found = Decoded.find(Index);
  if (Found != Decoded.end() && Found->second.first == Term)
    Batch = std::move(Found->second.second);
  Decoded.erase(Decoded.begin(), Decoded.upper_bound(Index));
  return Batch;
}

void ahead_decoder::clear() {
  Entries.clear();
  Decoded.clear();
}

} // namespace lycheetrestle::scheduling
