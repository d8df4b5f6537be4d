#include "control/write_batch.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lycheetrestle::control {

namespace {

// Allowance for the fields of an entry other than its payload.
constexpr std::size_t EntryOverheadBytes = 64;

/// \returns whether the write only sets the hard state or appends entries.
bool isCombinable(const replication::storage_write &Write) {
  return !Write.Snapshot && !Write.TruncateFrom &&
         (Write.Hard || !Write.Append.empty());
}

std::size_t sizeOf(const replication::storage_write &Write) {
  std::size_t Bytes = 0;
  for (const auto &Entry : Write.Append)
    Bytes += EntryOverheadBytes + Entry.Payload.size();
  return Bytes;
}

} // namespace

write_batch::write_batch(replication::storage_write First)
    : Combined(std::move(First)), Bytes(sizeOf(Combined)) {}

bool write_batch::add(replication::storage_write &Next) {
  auto NextBytes = sizeOf(Next);
  if (!isCombinable(Combined) || !isCombinable(Next) ||
      Bytes + NextBytes > MaxBytes)
    return false;
  Bytes += NextBytes;
  Combined.Ticket = Next.Ticket;
  if (Next.Hard)
    Combined.Hard = std::move(Next.Hard);
  std::move(Next.Append.begin(), Next.Append.end(),
            std::back_inserter(Combined.Append));
  return true;
}

} // namespace lycheetrestle::control
