#include "gateway_group.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

/// Service is back this long after all hosts are back.
constexpr core::duration RecoveryTime = 12s;
/// A process that is linked with the leader, directly or by way of others,
/// knows it within this time.
constexpr core::duration DiscoveryTime = 3s;

const std::vector<std::size_t> Replicas{0, 2, 4};
const std::vector<std::size_t> Observers{1, 3, 5};
/// Has a disk, and is started later than the others.
constexpr std::size_t Spare = 6;

/// Three availability zones with two hosts each, one of them with a disk, and a
/// spare host.
site_shape makeShape(std::uint64_t Seed) {
  site_shape Shape;
  for (const char *Zone : {"z1", "z2", "z3"})
    for (bool HasDisk : {true, false}) {
      Shape.HasDisk.push_back(HasDisk);
      Shape.Zones.emplace_back(Zone);
    }
  Shape.HasDisk.push_back(true);
  Shape.Zones.emplace_back("z1");
  Shape.Seeds = Replicas;
  Shape.Seed = Seed;
  Shape.MaxRedialDelay = 1s;
  return Shape;
}

/// Schedulers and gateways that are founded with the replicas as seeds.
class discovery_site {
public:
  explicit discovery_site(std::uint64_t Seed, std::size_t GatewayCount = 3)
      : Schedulers(makeShape(Seed)), Gateways(Schedulers, GatewayCount) {
    Schedulers.skipFirstStart(Spare);
    for (std::size_t Host = 0; Host != Spare; ++Host)
      Schedulers.start(Host, Schedulers.randomTime(300ms));
    for (std::size_t Index = 0; Index != GatewayCount; ++Index)
      Gateways.start(Index, Replicas);
    REQUIRE(Schedulers.runUntil(
        [&] { return Schedulers.acknowledgedVersion() > 0; }, RecoveryTime));
    Schedulers.run(DiscoveryTime);
  }

  /// Kills hosts at once and starts each of them again.
  /// \param Seeds what the settings name from now on.
  void restart(const std::vector<std::size_t> &Hosts,
               const std::vector<std::size_t> &Seeds,
               core::duration Within = {}) {
    Schedulers.setLaterSeeds(Seeds);
    for (auto Host : Hosts)
      Schedulers.kill(Host);
    for (auto Host : Hosts)
      Schedulers.start(Host, 1100ms + Schedulers.randomTime(Within));
    Schedulers.run(1200ms + Within);
  }

  /// \returns whether all that are linked with the leader know it.
  bool isKnown() {
    auto Leader = Schedulers.leader();
    if (!Leader)
      return false;
    auto Reached = reachableFrom(*Leader);
    for (std::size_t Host = 0; Host != Schedulers.size(); ++Host)
      if (const auto *Observer = Schedulers.observer(Host);
          Observer && Reached[Host] &&
          Observer->leader(Schedulers.now()) != Schedulers.name(*Leader))
        return false;
    for (std::size_t Index = 0; Index != Gateways.size(); ++Index)
      if (Reached[Schedulers.size() + Index] &&
          Gateways.target(Index) != Schedulers.name(*Leader))
        return false;
    return true;
  }

  /// \returns whether each gateway is linked with the leader by way of others.
  bool areGatewaysLinked() const {
    auto Leader = Schedulers.leader();
    if (!Leader)
      return false;
    auto Reached = reachableFrom(*Leader);
    return std::all_of(Reached.begin() +
                           static_cast<std::ptrdiff_t>(Schedulers.size()),
                       Reached.end(), [](bool IsReached) { return IsReached; });
  }

  membership_site Schedulers;
  gateway_group Gateways;

private:
  bool isLinked(std::size_t First, std::size_t Second) const {
    auto [Low, High] = std::minmax(First, Second);
    if (High < Schedulers.size())
      return Schedulers.isLinked(Low, High);
    return Low < Schedulers.size() &&
           Gateways.isLinked(High - Schedulers.size(), Low);
  }

  /// \returns for each host, and then for each gateway, whether there is a path
  /// of links to it.
  std::vector<bool> reachableFrom(std::size_t Host) const {
    std::vector<bool> Reached(Schedulers.size() + Gateways.size());
    std::vector<std::size_t> Open{Host};
    Reached[Host] = true;
    while (!Open.empty()) {
      auto Last = Open.back();
      Open.pop_back();
      for (std::size_t Next = 0; Next != Reached.size(); ++Next)
        if (!Reached[Next] && isLinked(Last, Next)) {
          Reached[Next] = true;
          Open.push_back(Next);
        }
    }
    return Reached;
  }
};

} // namespace

// Guards against gateways that refuse every request after a restart because all
// seeds have forgotten the replicas.
TEST_CASE("gateways find the leader after all seeds without a disk were "
          "restarted at once") {
  bool IsLeaderLost = GENERATE(false, true);
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    discovery_site Site(Seed);
    for (auto Host : {0, 1, 2, 3, 4, 5})
      Site.restart({static_cast<std::size_t>(Host)}, Observers);
    auto Lost = Observers;
    auto Leader = Site.Schedulers.leader();
    REQUIRE(Leader);
    if (IsLeaderLost)
      Lost.push_back(*Leader);
    Site.restart(Lost, Observers);
    for (std::size_t Index = 0; Index != Site.Gateways.size(); ++Index) {
      Site.Gateways.start(Index, Observers);
      Site.Schedulers.run(1s);
    }
    Site.Schedulers.run(DiscoveryTime);
    INFO(Site.Schedulers.describe());
    CHECK(Site.areGatewaysLinked());
    CHECK(Site.isKnown());
  }
}

// Guards against a replica that never opens a link to seeds which its settings
// don't name, so that these stay without a leader.
TEST_CASE("seeds without a disk find the leader although the settings of the "
          "replicas never named them") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    discovery_site Site(Seed, 1);
    Site.restart(Observers, Observers);
    Site.Gateways.start(0, Observers);
    Site.Schedulers.run(DiscoveryTime);
    INFO(Site.Schedulers.describe());
    CHECK(Site.areGatewaysLinked());
    CHECK(Site.isKnown());
  }
}

// Guards against seeds that stay without a leader because only gateways still
// know both them and the leader.
TEST_CASE("gateways name the leader to seeds that no replica remembers") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    discovery_site Site(Seed, 2);
    Site.Gateways.start(0, Observers);
    Site.Schedulers.run(DiscoveryTime);
    for (auto Host : Observers)
      Site.Schedulers.kill(Host);
    Site.restart(Replicas, Replicas);
    Site.restart(Observers, Observers);
    Site.Gateways.start(1, Observers);
    REQUIRE(Site.Schedulers.runUntil(
        [&] { return Site.Schedulers.leader().has_value(); }, RecoveryTime));
    Site.Schedulers.run(DiscoveryTime);
    INFO(Site.Schedulers.describe());
    CHECK(Site.areGatewaysLinked());
    CHECK(Site.isKnown());
  }
}

// Guards against a replacement that is never added because the seeds have
// forgotten the leader.
TEST_CASE("a new replica joins by way of seeds without a disk that were "
          "restarted at once") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    discovery_site Site(Seed, 0);
    Site.restart(Observers, Observers);
    Site.Schedulers.start(Spare, 0ms);
    INFO(Site.Schedulers.describe());
    CHECK(Site.Schedulers.runUntil([&] { return Site.Schedulers.isComplete(); },
                                   RecoveryTime));
  }
}

// Guards against processes that keep a former leader, or none, after restarts
// in any order.
TEST_CASE("each process that is linked with the leader knows it after random "
          "restarts") {
  std::size_t RoundsWithAllGateways = 0;
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    discovery_site Site(Seed);
    for (int Round = 0; Round != 4; ++Round) {
      auto Draw = [&] { return Site.Schedulers.randomBelow(2) == 0; };
      std::vector<std::size_t> Hosts, Seeds = Draw() ? Observers : Replicas;
      for (std::size_t Host = 0; Host != Spare; ++Host)
        if (Draw())
          Hosts.push_back(Host);
      if (Draw())
        Seeds[Site.Schedulers.randomBelow(Seeds.size())] =
            Site.Schedulers.randomBelow(Spare);
      Site.restart(Hosts, Seeds, 2s);
      for (std::size_t Index = 0; Index != Site.Gateways.size(); ++Index)
        if (Draw())
          Site.Gateways.start(Index, Seeds);
      INFO("seed " << Seed << " round " << Round);
      REQUIRE(Site.Schedulers.runUntil(
          [&] { return Site.Schedulers.leader().has_value(); }, RecoveryTime));
      Site.Schedulers.run(DiscoveryTime);
      INFO(Site.Schedulers.describe());
      REQUIRE(Site.isKnown());
      RoundsWithAllGateways += Site.areGatewaysLinked();
    }
  }
  CHECK(RoundsWithAllGateways > 100);
}
