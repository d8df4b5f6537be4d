#include "fake_site.h"
#include "schedule_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>

// Guards against hosts that get no work for as long as the platform does not
// carry out their maintenance: long-running tasks stood still beside idle
// hosts.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;

namespace {

// The users' bound for the next run of a long-running task.
constexpr int NextRunBoundMs = 9000;
constexpr int StepMs = 100;
constexpr std::uint32_t HostCount = 6;
// One host has room while another one is down.
constexpr std::uint32_t TaskCount = HostCount - 1;
constexpr std::uint64_t WaveNumber = 1;
const std::string LastingJob = "lasting";

/// A site without moves whose hosts have all one wave. It has a long-running
/// task for each host but one, and short jobs beside them.
class wave_site : public fake_site {
public:
  explicit wave_site(std::uint64_t Seed)
      : fake_site(HostCount, Seed, {}, true), Random(Seed) {
    formRacks();
    run(2000);
    auto Step = makeStep(TaskCount, 1000);
    Step.IsLongRunning = true;
    Step.MaxPerEndpoint = 1;
    Step.MaxUnavailable = 1;
    apply(submission(makeJob(LastingJob, {Step})));
    advance(3000);
  }
  void startWave(std::uint32_t MaxCount) {
    start_wave Wave;
    Wave.Wave = WaveNumber;
    for (std::uint32_t Number = 1; Number <= HostCount; ++Number)
      Wave.Hosts.push_back("h" + std::to_string(Number));
    Wave.DeadlineMs = 60'000;
    Wave.MaxCount = MaxCount;
    apply(Wave);
  }
  bool isWaveComplete() const {
    return State.waves().at(WaveNumber).isComplete();
  }
  void advance(int Ms) {
    for (int Past = 0; Past < Ms; Past += StepMs) {
      if (++Steps % 5 == 0)
        apply(submission(
            makeJob("s" + std::to_string(Steps), {makeStep(1, 500)})));
      run(StepMs);
      for (std::uint32_t Index = 0; Index != TaskCount; ++Index) {
        auto &Gap = Gaps[Index];
        Gap = isRunning({LastingJob, 0, 0, Index}) ? 0 : Gap + StepMs;
        LongestGapMs = std::max(LongestGapMs, Gap);
      }
    }
  }
  /// Crashes one host after the other for 6 s.
  void crashHosts(int Count) {
    for (int Round = 0; Round != Count; ++Round) {
      auto Index = static_cast<std::uint32_t>(Random() % HostCount);
      if (!isDown(Index))
        crashHost(Index, 6000);
      advance(11'000 + static_cast<int>(Random() % 1000));
    }
  }

  int LongestGapMs = 0; ///< Of a long-running task without a run.

private:
  std::mt19937_64 Random;
  std::array<int, TaskCount> Gaps{};
  int Steps = 0;
};

} // namespace

TEST_CASE("long-running tasks run again in time while the platform does not "
          "carry out the maintenance of hosts",
          "[!shouldfail]") {
  const std::optional<order_answer> Answers[] = {
      std::nullopt, host_verdict::Busy, host_verdict::Fenced,
      no_answer{.MayHaveRun = true, .Reason = "timeout"},
      no_answer{
          .MayHaveRun = true, .Reason = "status 503", .HasResponse = true}};
  auto Kind = GENERATE(range(0, 5));
  auto MaxCount = GENERATE(3u, HostCount);
  auto Seed = GENERATE(range(1, 6));
  CAPTURE(Kind, MaxCount, Seed);
  wave_site Site(static_cast<std::uint64_t>(Seed));
  Site.setMaintenanceAnswer(Answers[Kind]);
  Site.startWave(MaxCount);
  Site.crashHosts(4);
  CHECK(Site.LongestGapMs < NextRunBoundMs);
  CHECK(Site.MaxConcurrentRuns == 1);
  // The wave goes on once the platform carries out its orders again.
  Site.setMaintenanceAnswer(std::nullopt);
  Site.advance(30'000);
  CHECK(Site.isWaveComplete());
}
