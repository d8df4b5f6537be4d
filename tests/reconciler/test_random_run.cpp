// Randomised simulations of the reconciler with the state machine, a platform
// and entries on a virtual clock. LT_FIRST_SEED and LT_SEEDS select the seeds.
// A failure prints its seed, which reproduces the run.

#include "tests/reconciler/fleet_run.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace lycheetrestle;
using namespace lycheetrestle::testing;

namespace {

constexpr std::int64_t FaultPhaseMs = 150'000;
// Waves, leases and loans of hosts must end within this time after the faults.
constexpr std::int64_t SettleLimitMs = 1'500'000;

std::uint64_t fromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Value = std::getenv(Name);
  return Value ? std::strtoull(Value, nullptr, 10) : Default;
}

class random_faults {
public:
  random_faults(fleet_run &Run) : Run(Run) {
    for (const auto &[Name, Host] : Run.State.hosts()) {
      Names.push_back(Name);
      Racks[Host.Spec.Rack].push_back(Name);
      Zones[Host.Spec.Zone].push_back(Name);
    }
  }

  void step() {
    endExpiredFaults();
    std::vector<std::string> Hosts;
    std::string Pool;
    switch (pick(100)) {
    case 0:
      Hosts = {randomHost()};
      failHosts(Hosts, 8000 + pick(60000));
      break;
    case 1:
      if (pick(4) == 0) {
        Hosts = randomGroup(Racks);
        failHosts(Hosts, 8000 + pick(40000));
      }
      break;
    case 2:
      if (pick(25) == 0) {
        Hosts = randomGroup(Zones);
        failHosts(Hosts, 8000 + pick(30000));
      }
      break;
    case 3:
      Hosts = {randomHost()};
      injectFault(Hosts[0], {false, true, false, false}, 30000 + pick(60000));
      break;
    case 4:
      if (pick(3) == 0) {
        Hosts = {randomHost()};
        injectFault(Hosts[0], {false, false, true, false}, 20000 + pick(30000));
      }
      break;
    case 5:
      Hosts = {randomHost()};
      injectFault(Hosts[0], {false, false, false, true}, 20000 + pick(30000));
      break;
    case 6:
      requestRandomGoal();
      break;
    case 7:
      if (pick(3) == 0)
        Run.changeLeader();
      break;
    case 8:
      Run.Entries[pick(Run.Entries.size())].SilentUntilMs =
          Run.NowMs + 1000 + std::int64_t(pick(20000));
      break;
    case 9:
      if (pick(4) == 0)
        UnreachableUntilMs = Run.NowMs + std::int64_t(pick(8000));
      break;
    case 10:
      resumeOrStartWave();
      break;
    case 11:
      Pool = randomPool();
      Run.setBusySlots(Pool + "-service", std::uint32_t(pick(160)));
      break;
    default:
      if (pick(4) == 0)
        submitJob();
      break;
    }
    Run.PlatformReachable = Run.NowMs >= UnreachableUntilMs;
  }

  void endAllFaults() {
    for (const auto &Name : Names)
      Run.setFaults(Name, {});
    Ends.clear();
    Run.PlatformReachable = true;
    for (auto &Entry : Run.Entries)
      Entry.SilentUntilMs = 0;
    for (const auto &Pool : Run.State.pools())
      Run.setBusySlots(Pool.Name + "-service", 0);
    for (const auto &[Id, Job] : Run.State.jobs())
      Jobs.push_back(Id);
    for (auto Job : Jobs)
      Run.commit(fleet::cancel_job{Job});
  }

  // Acts as the operator: withdraws drains and resumes paused waves.
  void cleanUp() {
    for (const auto &Name : Names) {
      const auto &Host = Run.State.hosts().at(Name);
      if (Host.Goal == fleet::host_goal::Drain)
        Run.commit(fleet::request_host_goal{Name, fleet::host_goal::None, ""});
    }
    resumeWave();
  }

  void resumeWave() {
    for (const auto &[Id, Wave] : Run.State.waves())
      if (Wave.State == fleet::wave_state::Paused)
        Run.commit(fleet::resume_wave{Id});
  }
  void resumeOrStartWave() {
    resumeWave();
    // Refused while a wave is open.
    Run.commit(fleet::start_wave{});
  }

private:
  std::size_t pick(std::size_t Bound) { return Run.Random() % Bound; }
  const std::string &randomHost() { return Names[pick(Names.size())]; }
  std::string randomPool() {
    auto Pools = Run.State.pools();
    return Pools[pick(Pools.size())].Name;
  }
  template <typename Map>
  std::vector<std::string> randomGroup(const Map &Groups) {
    auto Chosen = Groups.begin();
    std::advance(Chosen, std::ptrdiff_t(pick(Groups.size())));
    return Chosen->second;
  }

  void injectFault(const std::string &Host, standin::host_faults Faults,
                   std::size_t ForMs) {
    Run.setFaults(Host, Faults);
    Ends.emplace(Run.NowMs + std::int64_t(ForMs), Host);
  }
  void failHosts(const std::vector<std::string> &Hosts, std::size_t ForMs) {
    for (const auto &Host : Hosts)
      injectFault(Host, {true, false, false, false}, ForMs);
  }
  void endExpiredFaults() {
    while (!Ends.empty() && Ends.begin()->first <= Run.NowMs) {
      Run.setFaults(Ends.begin()->second, {});
      Ends.erase(Ends.begin());
    }
  }

  void requestRandomGoal() {
    auto Goal = fleet::host_goal(pick(4));
    Run.commit(fleet::request_host_goal{
        randomHost(), Goal,
        Goal == fleet::host_goal::Move ? randomPool() : ""});
  }

  void submitJob() {
    fleet::submit_job Job;
    Job.Team = pick(3) == 0 ? "transport" : "planning";
    Job.Pool = randomPool();
    Job.Class = fleet::work_class(pick(3));
    Job.Declared = {std::uint32_t(1 + pick(24)), 1024 + pick(16384), 0};
    auto Result = Run.commit(Job);
    if (pick(10) == 0 && !Run.State.jobs().empty())
      Run.commit(fleet::cancel_job{Run.State.jobs().rbegin()->first});
  }

  fleet_run &Run;
  std::vector<std::string> Names;
  std::map<std::string, std::vector<std::string>> Racks, Zones;
  std::multimap<std::int64_t, std::string> Ends;
  std::vector<std::uint64_t> Jobs;
  std::int64_t UnreachableUntilMs = 0;
};

bool hasSettled(const fleet_run &Run) {
  if (!Run.allInService())
    return false;
  for (const auto &[Id, Wave] : Run.State.waves())
    if (Wave.State != fleet::wave_state::Finished)
      return false;
  for (const auto &[Name, Host] : Run.State.hosts())
    if (Host.Pool != Host.Spec.HomePool)
      return false;
  return std::none_of(Run.State.jobs().begin(), Run.State.jobs().end(),
                      [](const auto &Job) {
                        return Job.second.State == fleet::job_state::Running ||
                               Job.second.State == fleet::job_state::Starting;
                      });
}

void runSeed(const deployment &Shape, std::uint64_t Seed) {
  INFO("deployment " << Shape.Name << ", replay with LT_FIRST_SEED=" << Seed
                     << " LT_SEEDS=1");
  fleet_run Run(Shape, Seed);
  random_faults Faults(Run);
  auto Start = Run.NowMs;
  while (Run.NowMs - Start < FaultPhaseMs && Run.Violation.empty()) {
    Run.round();
    Run.round();
    Faults.step();
  }
  INFO(Run.dump());
  REQUIRE(Run.Violation == "");
  Faults.endAllFaults();
  Faults.resumeOrStartWave();
  auto FaultsEndMs = Run.NowMs;
  while (Run.NowMs - FaultsEndMs < SettleLimitMs && Run.Violation.empty() &&
         !hasSettled(Run)) {
    Run.round();
    if ((Run.NowMs - FaultsEndMs) % 10'000 == 0 && !hasSettled(Run))
      Faults.cleanUp();
  }
  INFO(Run.dump());
  CHECK(Run.Violation == "");
  CHECK(hasSettled(Run));
  for (const auto &Pool : Run.State.pools())
    CHECK(Pool.Available >= Pool.Minimum);
}

} // namespace

// Guards against combinations of host losses, operator requests, leader changes
// and silent entries in which a planned step breaks a budget, stops running
// work or uses an old epoch, or after which a wave or a host stays stuck
// although the faults have ended.
TEST_CASE("randomised runs keep the invariants and settle") {
  auto First = fromEnvironment("LT_FIRST_SEED", 1);
  auto Count = fromEnvironment("LT_SEEDS", 4);
  for (auto Seed = First; Seed < First + Count; ++Seed) {
    runSeed(threeZones(), Seed);
    runSeed(fourZones(), Seed);
  }
}
