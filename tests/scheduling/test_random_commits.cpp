#include "restartable_scheduler.h"
#include "schedule_fixture.h"

#include <catch2/catch.hpp>

#include <array>
#include <cstdint>
#include <random>
#include <string>

// Whether a cursor can confirm an end that is not committed: with a real log,
// whose batches are put off by a stalled disk, split over several entries or
// lost with the process.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t EndpointCount = 4;
constexpr int Ticks = 300; // Of 100 ms.

std::string endpointId(std::uint32_t Index) {
  return "e" + std::to_string(Index + 1);
}

class committing_site {
public:
  explicit committing_site(std::uint64_t Seed) : Random(Seed * 49'979'687) {
    Site.finishRuns(1s);
  }

  void simulate() {
    for (int Tick = 0; Tick != Ticks; ++Tick) {
      for (std::uint32_t Index = 0; Index != EndpointCount; ++Index) {
        if (CutTicks[Index] > 0 && --CutTicks[Index] == 0)
          Site.reconnect(endpointId(Index));
        if (CutTicks[Index] == 0 && Tick % 15 == 0)
          Site.beat(endpointId(Index));
      }
      if (Site.Node && Site.Node->isLeading())
        submit();
      disturb();
      Site.run(100ms);
    }
  }

  restartable_scheduler Site;

private:
  void submit() {
    submitJob(1 + static_cast<std::uint32_t>(Random() % 12));
    // Fills the queue beyond the size of one entry during a long stall.
    for (int Index = 0; StallTicks > 0 && Index != 8; ++Index)
      submitJob(1);
  }

  void submitJob(std::uint32_t Tasks) {
    auto Job = makeJob("j" + std::to_string(++Jobs), {makeStep(Tasks, 300)});
    Job.Payload.assign(4000, 'p');
    auto Path = Prefix + Job.Id;
    Site.call(submit_call{Host, Path, std::move(Job)});
  }

  void disturb() {
    if (DownTicks > 0 && --DownTicks == 0)
      Site.start();
    if (StallTicks > 0 && --StallTicks == 0)
      Site.IsDiskStalled = false;
    auto Event = Random() % 100;
    if (Event < 2 && DownTicks == 0) {
      Site.kill();
      DownTicks = 1 + static_cast<int>(Random() % 20);
    } else if (Event < 8 && StallTicks == 0) {
      Site.IsDiskStalled = true;
      StallTicks = 1 + static_cast<int>(Random() % 10);
    } else if (Event < 12) {
      auto Index = static_cast<std::uint32_t>(Random() % EndpointCount);
      if (CutTicks[Index] == 0) {
        Site.cutOff(endpointId(Index));
        CutTicks[Index] = 1 + static_cast<int>(Random() % 60);
      }
    }
  }

  std::mt19937_64 Random;
  std::array<int, EndpointCount> CutTicks{};
  int DownTicks = 0;
  int StallTicks = 0;
  int Jobs = 0;
};

} // namespace

TEST_CASE("no cursor confirms an end that is not committed despite stalled "
          "disks, restarts and endpoints that are cut off") {
  auto Seed = GENERATE(range(1, 201));
  INFO("seed " << Seed);
  committing_site Site(static_cast<std::uint64_t>(Seed));
  Site.simulate();
  CHECK(Site.Site.Confirmations > 30);
  CHECK(Site.Site.UnreadConfirmations == 0);
  CHECK(Site.Site.TasksStartedAgain == 0);
  CHECK(Site.Site.MaxConcurrentRuns == 1);
}
