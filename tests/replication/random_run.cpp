#include "random_run.h"

#include "virtual_cluster.h"

#include <algorithm>

namespace lycheetrestle::replication {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto Step = milliseconds(20);
constexpr int FaultySteps = 600; // 12 s
constexpr auto RecoveryTimeout = seconds(30);
constexpr auto CommitTimeout = seconds(10);

class random_run {
public:
  explicit random_run(std::uint64_t Seed)
      : Cluster(Seed % 2 == 0 ? 3 : 5, Seed, settings()) {}

  run_totals run();

private:
  virtual_cluster Cluster;
  std::uint64_t NextProposal = 1;
  run_totals Totals;

  static raft_settings settings() {
    raft_settings Settings;
    Settings.MaxAppendBytes = 2048; // several batches and parts each time
    Settings.SnapshotPartBytes = 1000;
    Settings.MaxInFlightBytes = 8192;
    Settings.MaxUnstoredBytes = 16384;
    return Settings;
  }

  std::size_t randomHost() { return Cluster.Random() % Cluster.size(); }
  bool chance(unsigned Percent) { return Cluster.Random() % 100 < Percent; }
  void clientStep();
  void faultStep();
  void partition();
  void recover();
};

void random_run::clientStep() {
  // Clients also send requests to replaced leaders that still act as leaders.
  for (std::size_t Host = 0; Host < Cluster.size(); ++Host) {
    const std::size_t Proposals = chance(60) ? Cluster.Random() % 4 : 0;
    for (std::size_t I = 0; I < Proposals; ++I)
      Cluster.propose(Host, "p" + std::to_string(NextProposal++) +
                                std::string(Cluster.Random() % 300, 'x'));
    if (chance(30))
      Cluster.read(Host);
  }
  if (chance(30))
    Cluster.repairMembership();
}

void random_run::partition() {
  // Stale reads are possible only with an isolated leader.
  const auto Leader = chance(50) ? Cluster.leader() : std::nullopt;
  const bool OneWay = !Leader && chance(50);
  const std::uint64_t Side =
      Leader ? std::uint64_t{1} << *Leader : Cluster.Random();
  for (std::size_t A = 0; A < Cluster.size(); ++A)
    for (std::size_t B = 0; B < Cluster.size(); ++B)
      if ((Side >> A & 1u) == 1 && (Side >> B & 1u) == 0) {
        Cluster.setBlocked(A, B, true);
        if (!OneWay)
          Cluster.setBlocked(B, A, true);
      }
}

void random_run::faultStep() {
  const std::size_t Host = randomHost();
  switch (Cluster.Random() % 14) {
  case 0:
    Cluster.Faults = {static_cast<unsigned>(Cluster.Random() % 40),
                      static_cast<unsigned>(Cluster.Random() % 30),
                      chance(50) ? 3 : 400};
    return;
  case 1:
    partition();
    return;
  case 2:
  case 3:
    for (std::size_t A = 0; A < Cluster.size(); ++A)
      for (std::size_t B = 0; B < Cluster.size(); ++B)
        Cluster.setBlocked(A, B, false);
    Cluster.Faults = {};
    return;
  case 4:
    Cluster.freeze(Host, milliseconds(Cluster.Random() % 4000));
    return;
  case 5:
    Cluster.crash(Host);
    return;
  case 6:
  case 7:
    for (std::size_t I = 0; I < Cluster.size(); ++I)
      Cluster.restart(I);
    return;
  case 8:
    Cluster.setDiskFull(Host, chance(40));
    return;
  case 9:
    if (!Cluster.mayLoseDisk(Host))
      return;
    Cluster.loseDisk(Host);
    ++Totals.LostDisks;
    return;
  case 10:
    Cluster.changeMembership();
    return;
  case 11:
    // A slow disk has many unsynced writes when its host crashes.
    Cluster.host(Host).MaxSyncMs = chance(50) ? 10 : 300;
    return;
  case 12:
    for (std::size_t I = 0; I < Cluster.size(); ++I)
      if (chance(70))
        Cluster.crash(I);
    return;
  default:
    if (const auto Leader = Cluster.leader()) {
      Cluster.node(*Leader).transferLeadership(Cluster.localNow(*Leader));
      Cluster.processOutput(*Leader);
    }
    return;
  }
}

void random_run::recover() {
  Cluster.healAll();
  const bool Repaired = Cluster.runUntil(RecoveryTimeout, [&] {
    Cluster.repairMembership();
    return Cluster.hasFullMembership();
  });
  expect(Repaired, "all replicas are voters again after the faults");
  // A proposal or a membership change may be lost with a leader that is
  // replaced before it commits, so both are proposed again.
  const std::uint64_t Before = Cluster.Checks.lastAcknowledged();
  core::time_point NextTry = Cluster.now();
  const bool Commits = Cluster.runUntil(CommitTimeout, [&] {
    const auto Leader = Cluster.leader();
    if (Leader && Cluster.now() >= NextTry) {
      Cluster.propose(*Leader, "last");
      NextTry = Cluster.now() + seconds(1);
    }
    Cluster.repairMembership();
    const std::uint64_t Last = Cluster.Checks.lastAcknowledged();
    if (Last <= Before || !Cluster.hasFullMembership())
      return false;
    for (std::size_t I = 0; I < Cluster.size(); ++I)
      if (Cluster.host(I).State.Index < Last)
        return false;
    return true;
  });
  expect(Commits, "a leader commits again after the faults");
  for (std::size_t I = 0; I < Cluster.size(); ++I)
    Cluster.Checks.checkAcknowledgedKept(Cluster.host(I).State);
}

run_totals random_run::run() {
  // With clocks of different speed a replaced leader may lead for some time,
  // and check-quorum alone does not prevent stale reads then.
  if (chance(50))
    for (std::size_t I = 0; I < Cluster.size(); ++I)
      Cluster.host(I).ClockRate =
          0.3 + 1.7 * static_cast<double>(Cluster.Random() % 100) / 100;
  // With four faults per second hardly any leader lasts; with one fault every
  // two seconds replaced leaders meet their successors.
  const unsigned FaultPercent = 1u << (Cluster.Random() % 4);
  Cluster.run(seconds(3));
  for (int I = 0; I < FaultySteps; ++I) {
    clientStep();
    if (chance(FaultPercent))
      faultStep();
    Cluster.run(Step);
  }
  recover();
  Totals.Committed = Cluster.Checks.lastCommitted();
  Totals.ConfirmedReads = Cluster.Checks.confirmedReads();
  return Totals;
}

} // namespace

run_totals runSeed(std::uint64_t Seed) { return random_run(Seed).run(); }

} // namespace lycheetrestle::replication
