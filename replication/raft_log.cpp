#include "replication/raft_log.h"

#include "core/invariant.h"
#include "replication/messages.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::replication {

namespace {

// Estimated memory overhead of an entry, so that limits also apply to entries
// without a payload.
constexpr std::size_t EntryOverheadBytes = 64;

} // namespace

raft_log::raft_log(persistent_state Persisted, membership Initial) {
  snapshot First;
  First.Members = std::move(Initial);
  RestorePending = Persisted.Snapshot.has_value();
  if (Persisted.Snapshot)
    First = std::move(*Persisted.Snapshot);
  BaseSnapshot = std::make_shared<const snapshot>(std::move(First));
  Memberships.push_back({BaseSnapshot->LastIndex, BaseSnapshot->Members});
  Commit = Delivered = BaseSnapshot->LastIndex;
  IssuedLastIndex =
      Persisted.Entries.empty() ? lastIndex() : Persisted.Entries.back().Index;
  for (log_entry &Entry : Persisted.Entries) {
    if (Entry.Index <= BaseSnapshot->LastIndex)
      continue;
    core::checkInvariant(Entry.Index == lastIndex() + 1,
                         "stored entries are contiguous");
    // A crash between the parts of a write can leave a new snapshot in front
    // of entries that it should have removed; the next write removes them.
    if (Entry.Term < lastTerm())
      break;
    append(std::move(Entry));
  }
  Durable = lastIndex();
  DirtyFrom = lastIndex() + 1;
}

std::uint64_t raft_log::lastTerm() const {
  return Entries.empty() ? BaseSnapshot->LastTerm : Entries.back().Term;
}

std::optional<std::uint64_t> raft_log::termAt(std::uint64_t Index) const {
  if (Index < BaseSnapshot->LastIndex || Index > lastIndex())
    return std::nullopt;
  return Index == BaseSnapshot->LastIndex ? BaseSnapshot->LastTerm
                                          : at(Index).Term;
}

const log_entry &raft_log::at(std::uint64_t Index) const {
  core::checkInvariant(Index > BaseSnapshot->LastIndex && Index <= lastIndex(),
                       "an entry that is read is in the log");
  return Entries[Index - BaseSnapshot->LastIndex - 1];
}

std::uint64_t raft_log::lastIndexNotAfter(std::uint64_t Index,
                                          std::uint64_t Term) const {
  Index = std::min(Index, lastIndex());
  if (Index <= BaseSnapshot->LastIndex)
    return Index;
  const auto End = Entries.begin() +
                   static_cast<std::ptrdiff_t>(Index - BaseSnapshot->LastIndex);
  const auto Later = std::partition_point(
      Entries.begin(), End,
      [Term](const log_entry &Entry) { return Entry.Term <= Term; });
  return BaseSnapshot->LastIndex +
         static_cast<std::uint64_t>(Later - Entries.begin());
}

std::size_t raft_log::cost(const log_entry &Entry) {
  return Entry.Payload.size() + EntryOverheadBytes;
}

void raft_log::append(log_entry Entry) {
  core::checkInvariant(Entry.Index == lastIndex() + 1,
                       "an appended entry follows the last one");
  DirtyFrom = std::min(DirtyFrom, Entry.Index);
  UncommittedBytes += cost(Entry);
  if (Entry.Kind == entry_kind::Membership)
    addMembership(Entry);
  Entries.push_back(std::move(Entry));
}

void raft_log::addMembership(const log_entry &Entry) {
  std::optional<membership> Members = decodeMembership(Entry.Payload);
  core::checkInvariant(Members.has_value(), "a membership entry is valid");
  Memberships.push_back({Entry.Index, std::move(*Members)});
}

void raft_log::truncateFrom(std::uint64_t Index) {
  core::checkInvariant(Index > Commit, "a committed entry is never removed");
  while (lastIndex() >= Index) {
    UncommittedBytes -= cost(Entries.back());
    Entries.pop_back();
  }
  while (Memberships.size() > 1 && Memberships.back().Index >= Index)
    Memberships.pop_back();
  DirtyFrom = std::min(DirtyFrom, Index);
  Durable = std::min(Durable, Index - 1);
  // Writes in progress may sync entries that are no longer valid.
  for (issued_write &Write : Issued)
    Write.LastIndex = std::min(Write.LastIndex, Index - 1);
}

void raft_log::compact(std::uint64_t Index, std::string State) {
  if (Index <= BaseSnapshot->LastIndex)
    return;
  core::checkInvariant(Index <= Delivered,
                       "only applied entries are compacted");
  snapshot Next;
  Next.LastIndex = Index;
  Next.LastTerm = at(Index).Term;
  std::size_t Effective = 0;
  while (Effective + 1 < Memberships.size() &&
         Memberships[Effective + 1].Index <= Index)
    ++Effective;
  Next.Members = Memberships[Effective].Members;
  Next.State = std::move(State);
  Memberships.erase(Memberships.begin(),
                    Memberships.begin() +
                        static_cast<std::ptrdiff_t>(Effective));
  Entries.erase(Entries.begin(),
                Entries.begin() + static_cast<std::ptrdiff_t>(
                                      Index - BaseSnapshot->LastIndex));
  BaseSnapshot = std::make_shared<const snapshot>(std::move(Next));
  SnapshotDirty = true;
}

void raft_log::install(snapshot Snapshot) {
  core::checkInvariant(Snapshot.LastIndex > Commit,
                       "an installed snapshot is ahead of the commit index");
  truncateFrom(Commit + 1);
  Entries.clear();
  UncommittedBytes = 0;
  BaseSnapshot = std::make_shared<const snapshot>(std::move(Snapshot));
  Memberships.assign(1, {BaseSnapshot->LastIndex, BaseSnapshot->Members});
  Commit = Delivered = BaseSnapshot->LastIndex;
  SnapshotDirty = true;
  RestorePending = true;
}

void raft_log::commitTo(std::uint64_t Index) {
  core::checkInvariant(Index <= lastIndex(), "a committed entry is in the log");
  for (; Commit < Index; ++Commit)
    UncommittedBytes -= cost(at(Commit + 1));
}

std::vector<log_entry> raft_log::takeCommitted() {
  std::vector<log_entry> Result;
  for (; Delivered < Commit; ++Delivered)
    Result.push_back(at(Delivered + 1));
  return Result;
}

std::optional<snapshot> raft_log::takeRestore() {
  if (!std::exchange(RestorePending, false))
    return std::nullopt;
  return *BaseSnapshot;
}

bool raft_log::isDirty() const {
  return SnapshotDirty || DirtyFrom <= std::max(IssuedLastIndex, lastIndex());
}

void raft_log::fillWrite(storage_write &Write) {
  if (SnapshotDirty) {
    Write.Snapshot = *BaseSnapshot;
    IssuedLastIndex = std::max(IssuedLastIndex, BaseSnapshot->LastIndex);
    DirtyFrom = std::max(DirtyFrom, BaseSnapshot->LastIndex + 1);
    SnapshotDirty = false;
  }
  if (DirtyFrom <= IssuedLastIndex)
    Write.TruncateFrom = DirtyFrom;
  std::size_t Bytes = 0;
  for (std::uint64_t Index = DirtyFrom; Index <= lastIndex(); ++Index) {
    Write.Append.push_back(at(Index));
    Bytes += cost(Write.Append.back());
  }
  IssuedLastIndex = lastIndex();
  DirtyFrom = lastIndex() + 1;
  UnstoredBytes += Bytes;
  Issued.push_back({Write.Ticket, IssuedLastIndex, Bytes});
}

void raft_log::stored(std::uint64_t Ticket) {
  while (!Issued.empty() && Issued.front().Ticket <= Ticket) {
    Durable = std::max(Durable, Issued.front().LastIndex);
    UnstoredBytes -= Issued.front().Bytes;
    Issued.pop_front();
  }
}

} // namespace lycheetrestle::replication
