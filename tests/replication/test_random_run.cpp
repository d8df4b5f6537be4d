#include "random_run.h"

#include "cluster_checks.h"
#include "core/invariant.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <stdexcept>

using namespace lycheetrestle;
using namespace lycheetrestle::replication;

namespace {

std::uint64_t fromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

void throwCheckFailed(std::string_view What) {
  throw check_failed("invariant: " + std::string(What));
}

} // namespace

// Guards against lost or changed entries, two leaders in a term, stale reads
// and a permanent loss of leadership under any mix of faults.
TEST_CASE("random faults violate no guarantee of the log") {
  const auto First = fromEnvironment("LT_FIRST_SEED", 1);
  const auto Seeds = fromEnvironment("LT_SEEDS", 200);
  const auto Default = core::setInvariantHandler(&throwCheckFailed);
  const auto Start = std::chrono::steady_clock::now();
  run_totals Totals;
  std::uint64_t Failures = 0;
  for (std::uint64_t Seed = First; Seed < First + Seeds; ++Seed) {
    try {
      const run_totals Run = runSeed(Seed);
      Totals.Committed += Run.Committed;
      Totals.ConfirmedReads += Run.ConfirmedReads;
      Totals.LostDisks += Run.LostDisks;
    } catch (const std::exception &Exception) {
      ++Failures;
      FAIL_CHECK("seed " << Seed << ": " << Exception.what()
                         << "; replay with LT_FIRST_SEED=" << Seed
                         << " LT_SEEDS=1");
    }
  }
  core::setInvariantHandler(Default);
  const std::chrono::duration<double> Time =
      std::chrono::steady_clock::now() - Start;
  std::cout << "seeds=" << Seeds << " first=" << First << " failed=" << Failures
            << " committed=" << Totals.Committed
            << " confirmed_reads=" << Totals.ConfirmedReads
            << " lost_disks=" << Totals.LostDisks << " seconds=" << Time.count()
            << '\n';
  // Guards against a run that checks nothing.
  CHECK(Totals.Committed > Seeds * 10);
  CHECK(Totals.ConfirmedReads > Seeds);
}
