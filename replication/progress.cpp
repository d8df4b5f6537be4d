#include "replication/progress.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::replication {

namespace {

// Bounds the bookkeeping when entries are small.
constexpr std::size_t MaxBatchesInFlight = 256;

} // namespace

void progress::addInFlight(std::uint64_t LastIndex, std::size_t Bytes) {
  InFlight.push_back({LastIndex, Bytes});
  InFlightBytes += Bytes;
}

bool progress::hasInFlightCapacity(std::size_t MaxBytes) const {
  return InFlight.empty() ||
         (InFlightBytes < MaxBytes && InFlight.size() < MaxBatchesInFlight);
}

bool progress::advance(std::uint64_t Synced) {
  while (!InFlight.empty() && InFlight.front().LastIndex <= Synced) {
    InFlightBytes -= InFlight.front().Bytes;
    InFlight.pop_front();
  }
  if (Synced <= Match)
    return false;
  Match = Synced;
  Next = std::max(Next, Match + 1);
  return true;
}

void progress::startProbe(std::uint64_t NextIndex) {
  Mode = progress_mode::Probe;
  Next = std::max(NextIndex, Match + 1);
  ProbeSent = false;
  PendingSnapshot.reset();
  clearInFlight();
}

void progress::startReplicate() {
  Mode = progress_mode::Replicate;
  PendingSnapshot.reset();
  clearInFlight();
}

void progress::startSnapshot(std::shared_ptr<const snapshot> Snapshot) {
  Mode = progress_mode::Snapshot;
  PendingSnapshot = std::move(Snapshot);
  Offset = 0;
  PartSent = false;
  clearInFlight();
}

void progress::clearInFlight() {
  InFlight.clear();
  InFlightBytes = 0;
}

} // namespace lycheetrestle::replication
