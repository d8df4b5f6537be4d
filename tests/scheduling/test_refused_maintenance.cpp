#include "fake_site.h"
#include "schedule_fixture.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

// Guards against hosts that get no work for as long as the platform does not
// carry out their maintenance: tasks stood still beside idle hosts.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;

namespace {

constexpr std::uint32_t HostCount = 6;
constexpr std::uint32_t MaxCount = 3;
constexpr std::uint64_t WaveNumber = 1;

/// A site without moves, with a wave over all hosts that is due in a minute.
class wave_site : public fake_site {
public:
  explicit wave_site(std::uint64_t Seed)
      : fake_site(HostCount, Seed, {}, true) {
    formRacks();
    run(2000);
  }
  void startWave(std::uint32_t DeadlineMs = 60'000) {
    start_wave Wave;
    Wave.Wave = WaveNumber;
    for (std::uint32_t Number = 1; Number <= HostCount; ++Number)
      Wave.Hosts.push_back("h" + std::to_string(Number));
    Wave.DeadlineMs = DeadlineMs;
    Wave.MaxCount = MaxCount;
    apply(Wave);
  }
  /// Submits a job with one long-running task for each host.
  void submitSpreadJob() {
    auto Step = makeStep(HostCount, 1000);
    Step.IsLongRunning = true;
    Step.MaxPerEndpoint = 1;
    Step.MaxUnavailable = 1;
    apply(submission(makeJob("j", {Step})));
  }
  std::size_t hostsAtWork() const {
    std::size_t Count = 0;
    for (std::uint32_t Index = 0; Index != HostCount; ++Index)
      Count += runsOn(Index) > 0;
    return Count;
  }
  bool isWaveComplete() const {
    return State.waves().at(WaveNumber).isComplete();
  }
  /// \returns the time until the wave is complete, or nothing if it is not
  /// within the limit.
  std::optional<int> completeWave(int LimitMs) {
    for (int Ms = 0; Ms <= LimitMs; Ms += 100) {
      if (isWaveComplete())
        return Ms;
      run(100);
    }
    return std::nullopt;
  }
};

const no_answer Unanswered{.MayHaveRun = true, .Reason = "timeout"};
const no_answer ServerError{
    .MayHaveRun = true, .Reason = "status 503", .HasResponse = true};

void checkHostsAreUsed(const order_answer &Answer) {
  for (std::uint64_t Seed = 1; Seed != 6; ++Seed) {
    CAPTURE(Seed);
    wave_site Site(Seed);
    Site.setMaintenanceAnswer(Answer);
    Site.startWave();
    Site.run(8000);
    Site.submitSpreadJob();
    Site.run(3000);
    // One host may wait for the answer to a trial.
    CHECK(Site.hostsAtWork() + 1 >= HostCount);
    bool AreAllAtWork = false;
    for (int Round = 0; Round != 60 && !AreAllAtWork; ++Round) {
      Site.run(100);
      AreAllAtWork = Site.hostsAtWork() == HostCount;
    }
    CHECK(AreAllAtWork);
    CHECK(Site.Maintenances == 0);
    Site.setMaintenanceAnswer(std::nullopt);
    CHECK(Site.completeWave(45'000));
    CHECK(Site.Maintenances == HostCount);
  }
}

} // namespace

TEST_CASE("a host gets work while the platform refuses its maintenance as "
          "busy") {
  checkHostsAreUsed(host_verdict::Busy);
}

TEST_CASE("a host gets work while the platform refuses the token of its "
          "maintenance") {
  checkHostsAreUsed(host_verdict::Fenced);
}

TEST_CASE("a host gets work while the platform does not answer its "
          "maintenance") {
  checkHostsAreUsed(Unanswered);
}

TEST_CASE("a host gets work while the platform answers its maintenance with a "
          "server error") {
  checkHostsAreUsed(ServerError);
}

TEST_CASE("hosts of a wave get work while the platform answers nothing") {
  for (std::uint64_t Seed = 1; Seed != 6; ++Seed) {
    CAPTURE(Seed);
    wave_site Site(Seed);
    Site.setPlatformAvailable(false);
    Site.startWave();
    Site.run(8000);
    Site.submitSpreadJob();
    Site.run(3000);
    CHECK(Site.hostsAtWork() == HostCount);
    Site.setPlatformAvailable(true);
    CHECK(Site.completeWave(45'000));
    CHECK(Site.Maintenances == HostCount);
  }
}

TEST_CASE("a wave is complete in time after its platform was silent") {
  for (std::uint64_t Seed = 1; Seed != 6; ++Seed) {
    CAPTURE(Seed);
    wave_site Site(Seed);
    Site.submitSpreadJob();
    Site.run(3000);
    Site.startWave(40'000);
    Site.run(1000);
    Site.setPlatformAvailable(false);
    Site.run(6000);
    Site.setPlatformAvailable(true);
    CHECK(Site.completeWave(33'000));
  }
}

TEST_CASE("no more hosts of a wave are down than it allows while calls are "
          "slow") {
  for (std::uint64_t Seed = 1; Seed != 41; ++Seed) {
    CAPTURE(Seed);
    wave_site Site(Seed);
    fault_rates Rates;
    Rates.SlowCalls = 500;
    Rates.LostAnswers = 200;
    Rates.LostOrders = 100;
    Site.setFaults(Rates);
    Site.submitSpreadJob();
    Site.startWave();
    // The limit and the budget are checked by the site.
    Site.run(20'000);
    Site.setFaults({});
    CHECK(Site.completeWave(60'000));
  }
}
