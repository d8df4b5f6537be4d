#include "cluster_checks.h"

#include "core/checksum.h"

#include <cstring>

namespace lycheetrestle::replication {

namespace {

// Makes a snapshot large enough for several parts.
constexpr std::size_t PaddingBytes = 3000;

} // namespace

void expect(bool Holds, const std::string &Check) {
  if (!Holds)
    throw check_failed(Check);
}

void applied_state::apply(const log_entry &Entry) {
  expect(Entry.Index == Index + 1, "entries are applied once and in order");
  Index = Entry.Index;
  Digest = core::stableHash(std::to_string(Digest) + "/" +
                            std::to_string(Entry.Term) + "/" + Entry.Payload);
}

std::string applied_state::toBytes() const {
  std::string Bytes(2 * sizeof(std::uint64_t), '\0');
  std::memcpy(Bytes.data(), &Index, sizeof Index);
  std::memcpy(Bytes.data() + sizeof Index, &Digest, sizeof Digest);
  return Bytes + std::string(PaddingBytes, static_cast<char>(Digest));
}

applied_state applied_state::fromBytes(const std::string &Bytes) {
  applied_state State;
  expect(Bytes.size() == 2 * sizeof(std::uint64_t) + PaddingBytes,
         "a restored snapshot is complete");
  std::memcpy(&State.Index, Bytes.data(), sizeof State.Index);
  std::memcpy(&State.Digest, Bytes.data() + sizeof State.Index,
              sizeof State.Digest);
  expect(Bytes == State.toBytes(), "a restored snapshot is unchanged");
  return State;
}

void cluster_checks::checkStatus(const replica_id &Id,
                                 const raft_status &Status) {
  expect(Status.ConflictingMessages == 0,
         "no message contradicts committed entries");
  auto &Commit = CommitIndexes[Id];
  expect(Status.CommitIndex >= Commit, "a commit index never decreases");
  Commit = Status.CommitIndex;
  if (Status.Role != raft_role::Leader)
    return;
  const auto [Leader, IsNew] = Leaders.try_emplace(Status.Term, Id);
  expect(Leader->second == Id, "at most one leader per term");
  for (const auto &[Term, Index] : LastCommittedByTerm)
    expect(Term > Status.Term || Index <= Status.LastIndex,
           "a leader has every committed entry");
}

void cluster_checks::checkCommitted(const log_entry &Entry,
                                    std::uint64_t ObserverTerm) {
  if (Entry.Index == Committed.size() + 1)
    Committed.push_back(Entry);
  expect(Entry.Index <= Committed.size(), "entries commit without a gap");
  expect(Committed[Entry.Index - 1] == Entry,
         "committed entries are never lost or changed");
  auto &Last = LastCommittedByTerm[ObserverTerm];
  Last = std::max(Last, Entry.Index);
}

void cluster_checks::checkState(const applied_state &State) {
  const auto [Digest, IsNew] = Digests.try_emplace(State.Index, State.Digest);
  expect(Digest->second == State.Digest, "equal applied state at equal index");
}

void cluster_checks::acknowledge(std::uint64_t Index, std::uint64_t Term) {
  Acknowledged[Index] = Term;
  LastAcknowledged = std::max(LastAcknowledged, Index);
}

void cluster_checks::checkRead(std::uint64_t Index,
                               std::uint64_t AcknowledgedBefore) {
  ++ConfirmedReads;
  expect(Index >= AcknowledgedBefore,
         "a confirmed read covers all earlier acknowledged proposals");
}

void cluster_checks::checkAcknowledgedKept(const applied_state &State) const {
  expect(State.Index >= LastAcknowledged,
         "acknowledged proposals are never lost");
  for (const auto &[Index, Term] : Acknowledged)
    expect(Committed.at(Index - 1).Term == Term,
           "an acknowledged proposal is the entry that was committed");
}

} // namespace lycheetrestle::replication
