#ifndef LYCHEETRESTLE_TESTS_REPLICATION_RANDOM_RUN_H
#define LYCHEETRESTLE_TESTS_REPLICATION_RANDOM_RUN_H

#include <cstdint>
#include <string>

namespace lycheetrestle::replication {

/// Totals of one run.
struct run_totals {
  std::uint64_t Committed = 0;
  std::uint64_t ConfirmedReads = 0;
  std::uint64_t LostDisks = 0;
};

/// Runs 3 or 5 replicas with clients and random faults, ends the faults, and
/// expects a leader to commit again. Deterministic for a seed. Throws
/// check_failed.
run_totals runSeed(std::uint64_t Seed);

} // namespace lycheetrestle::replication

#endif
