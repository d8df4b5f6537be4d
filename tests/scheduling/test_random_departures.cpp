#include "restartable_scheduler.h"
#include "schedule_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

// The users' bound for the next run of a long-running task, and how long before
// it nothing may have been disturbed.
constexpr core::duration NextRunBound = 9s;
constexpr core::duration CalmTime = 7s;
constexpr core::duration BeatInterval = 1500ms;
// An endpoint without an acknowledgement of its deregistration ends after it.
constexpr core::duration Patience = 3s;
constexpr std::uint32_t TaskCount = 6;

/// Endpoints that drain, deregister and exit, each replaced by another one,
/// while the scheduler is killed and started again.
class departures {
public:
  departures(std::uint64_t Seed, bool HasPlatform)
      : Random(Seed), Site(HasPlatform) {
    for (int Index = 0; Index != 4; ++Index)
      addEndpoint();
    advance(100ms);
    auto Step = makeStep(TaskCount, 2000);
    Step.IsLongRunning = true;
    Site.call(submit_call{Host, Prefix + "j", makeJob("j", {Step})});
    advance(3s);
  }

  /// What the scheduler has committed when it is killed.
  enum class kill_time : std::uint8_t {
    Any,      ///< Up to 5 s after the endpoint began to drain.
    AtStops,  ///< That it drains, but not the ends of its runs.
    AfterExit ///< That it deregistered, with its runs still at work.
  };

  /// One endpoint leaves, and the scheduler is killed meanwhile.
  void playRound(kill_time KillTime) {
    auto Id = Endpoints[Random() % Endpoints.size()].Id;
    addEndpoint();
    auto &Endpoint =
        *std::find_if(Endpoints.begin(), Endpoints.end(),
                      [&](const endpoint &Other) { return Other.Id == Id; });
    Endpoint.DrainMs = static_cast<int>(Random() % 3000);
    Endpoint.NextBeat = Site.Now;
    if (KillTime == kill_time::AfterExit)
      Endpoint.DeregisteredAt = Site.Now;
    else
      Endpoint.IsDraining = true;
    if (KillTime == kill_time::Any) {
      advance(std::chrono::milliseconds(Random() % 5000));
    } else if (KillTime == kill_time::AfterExit) {
      for (auto Before = Departures; Departures == Before;)
        advance(10ms);
      advance(std::chrono::milliseconds(Random() % 300));
    } else {
      while (!Site.isDraining(Id))
        advance(10ms);
      Site.IsDiskStalled = true;
      advance(50ms);
      Site.IsDiskStalled = false;
    }
    Site.kill();
    advance(std::chrono::milliseconds(200 + Random() % 3000));
    Site.start();
    DisturbedAt = Site.Now;
    advance(20s);
  }

  core::duration LongestGap{}; ///< Without a run, among those that count.
  std::uint64_t Departures = 0;
  std::size_t concurrentRuns() const { return Site.MaxConcurrentRuns; }

private:
  struct endpoint {
    std::string Id;
    core::time_point NextBeat{};
    bool IsDraining = false;
    int DrainMs = 0;
    std::uint64_t Call = 0; ///< The newest one.
    std::optional<core::time_point> DrainedAt;
    std::optional<core::time_point> DeregisteredAt;
    core::time_point NextCall{};
  };

  void addEndpoint() {
    endpoint Endpoint;
    Endpoint.Id = "e" + std::to_string(++LastEndpoint);
    Endpoint.NextBeat = Site.Now;
    Site.beat(Endpoint.Id);
    if (Random() % 2 == 0)
      Site.slowClock(Endpoint.Id);
    Endpoints.push_back(std::move(Endpoint));
  }

  /// \returns whether the endpoint has ended.
  bool act(endpoint &Endpoint) {
    bool IsAnswered = Site.replyTo(Endpoint.Call) == reply_kind::Accepted;
    if (Endpoint.DeregisteredAt) {
      if (IsAnswered || Site.Now - *Endpoint.DeregisteredAt >= Patience)
        return true;
      if (Site.Now >= Endpoint.NextCall) {
        Endpoint.Call = Site.call(deregister_call{Endpoint.Id});
        Endpoint.NextCall = Site.Now + 500ms;
      }
      return false;
    }
    if (Endpoint.IsDraining && IsAnswered && !Endpoint.DrainedAt)
      Endpoint.DrainedAt =
          Site.Now + std::chrono::milliseconds(Endpoint.DrainMs);
    if (Endpoint.DrainedAt && Site.Now >= *Endpoint.DrainedAt) {
      Endpoint.DeregisteredAt = Site.Now;
      Endpoint.NextCall = Site.Now;
    } else if (Site.Now >= Endpoint.NextBeat) {
      auto Call = Site.beat(Endpoint.Id, Endpoint.IsDraining);
      Endpoint.Call = Endpoint.IsDraining ? Call : 0;
      Endpoint.NextBeat = Site.Now + BeatInterval;
    }
    return false;
  }

  void advance(core::duration Time) {
    for (auto End = Site.Now + Time; Site.Now < End;) {
      Site.run(10ms);
      std::erase_if(Endpoints, [&](endpoint &Endpoint) {
        if (!act(Endpoint))
          return false;
        Site.exit(Endpoint.Id);
        ++Departures;
        return true;
      });
      for (std::uint32_t Index = 0; Index != TaskCount; ++Index)
        if (Site.isRunning({"j", 0, 0, Index}))
          LastRun[Index] = Site.Now;
        else if (LastRun.count(Index) > 0 && Site.Now - DisturbedAt >= CalmTime)
          LongestGap = std::max(LongestGap, Site.Now - LastRun[Index]);
    }
  }

  std::mt19937_64 Random;
  restartable_scheduler Site;
  std::vector<endpoint> Endpoints;
  int LastEndpoint = 0;
  core::time_point DisturbedAt{};
  std::map<std::uint32_t, core::time_point> LastRun;
};

} // namespace

TEST_CASE("long-running tasks of endpoints that leave around a change of "
          "leader run again in time, and never twice at once") {
  using kill_time = departures::kill_time;
  auto Seed = GENERATE(range(1, 301));
  auto KillTime =
      GENERATE(kill_time::Any, kill_time::AtStops, kill_time::AfterExit);
  // Without a platform an acknowledged deregistration alone proves the end.
  auto HasPlatform = KillTime != kill_time::AfterExit;
  INFO("seed " << Seed << ", kill time " << static_cast<int>(KillTime));
  departures Site(static_cast<std::uint64_t>(Seed), HasPlatform);
  for (int Round = 0; Round != 3; ++Round)
    Site.playRound(KillTime);
  CHECK(Site.Departures == 3);
  CHECK(Site.LongestGap < NextRunBound);
  CHECK(Site.concurrentRuns() == 1);
}
