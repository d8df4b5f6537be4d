#include "membership_site.h"

#include "replication/membership_rules.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

/// Service must be back this long after all hosts are back.
constexpr core::duration RecoveryTime = 12s;
/// A cluster without faults has all its voters within this time.
constexpr core::duration FormingTime = 8s;
/// A lost disk counts as lost until this long after its host is back.
constexpr core::duration CatchUpTime = 4s;

std::uint64_t fromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? Default : std::strtoull(Value, nullptr, 10);
}

/// Three availability zones with two hosts each.
/// \param Disks number of hosts with a disk in each zone.
site_shape makeShape(std::size_t Disks, std::size_t ToleratedLosses,
                     std::vector<std::size_t> Seeds) {
  site_shape Shape;
  for (const char *Zone : {"z1", "z2", "z3"})
    for (std::size_t Host = 0; Host != 2; ++Host) {
      Shape.HasDisk.push_back(Host < Disks);
      Shape.Zones.emplace_back(Zone);
    }
  Shape.ToleratedLosses = ToleratedLosses;
  Shape.Seeds = std::move(Seeds);
  return Shape;
}

site_shape randomShape(std::uint64_t Seed) {
  std::mt19937_64 Random(Seed * 7919);
  site_shape Shape;
  switch (Random() % 5) {
  case 0: // One host with a disk in each zone.
    Shape = makeShape(1, 1, {});
    break;
  case 1: // One to three zones of one to three hosts, at least one disk.
    for (std::size_t Zone = 0, Zones = 1 + Random() % 3; Zone != Zones; ++Zone)
      for (std::size_t Host = 0, Count = 1 + Random() % 3; Host != Count;
           ++Host) {
        Shape.HasDisk.push_back(Shape.HasDisk.empty() || Random() % 2 == 0);
        Shape.Zones.push_back("z" + std::to_string(Zone));
      }
    Shape.ToleratedLosses =
        (static_cast<std::size_t>(
             std::count(Shape.HasDisk.begin(), Shape.HasDisk.end(), true)) -
         1) /
        2;
    break;
  case 2: // Four hosts with a disk and one loss: one is a spare.
    Shape = makeShape(1, 1, {});
    Shape.HasDisk[1] = true;
    break;
  default: // Two hosts with a disk in each zone.
    Shape = makeShape(2, 2, {});
    break;
  }
  std::vector<std::size_t> Order(Shape.HasDisk.size());
  for (std::size_t Index = 0; Index != Order.size(); ++Index)
    Order[Index] = Index;
  std::shuffle(Order.begin(), Order.end(), Random);
  // Sometimes seeds without a disk are preferred.
  if (Random() % 3 == 0)
    std::stable_partition(Order.begin(), Order.end(), [&](std::size_t Index) {
      return !Shape.HasDisk[Index];
    });
  // resize() gives a false warning (array-bounds) with GCC 12.
  if (Order.size() > 3)
    Order.erase(Order.begin() + 3, Order.end());
  Shape.Seeds = Order;
  Shape.Seed = Seed;
  Shape.SnapshotEveryEntries = Random() % 2 == 0 ? 20 + Random() % 40 : 4000;
  return Shape;
}

/// A deployment with random faults.
class faulty_site {
public:
  explicit faulty_site(std::uint64_t Seed)
      : Shape(randomShape(Seed)), Site(Shape) {}

  void play() {
    form();
    if (!Site.isFounded() && !Site.hasFoundingMajority())
      return; // Too many seeds were restarted before the voters were chosen.
    settle();
    INFO(Site.describe());
    REQUIRE(Site.acknowledgedVersion() > 0);
    for (int Round = 0, Rounds = 1 + static_cast<int>(Site.randomBelow(2));
         Round != Rounds; ++Round) {
      disrupt();
      settle();
    }
    failAtOnce();
    settle();
  }

private:
  void startAll(core::duration Within) {
    for (std::size_t Index = 0; Index != Site.size(); ++Index)
      Site.start(Index, Site.randomTime(Within));
  }

  /// Starts all hosts for the first time, with or without faults.
  void form() {
    bool IsSlow = Site.randomBelow(4) == 0;
    bool IsDisturbed = Site.randomBelow(2) == 0;
    startAll(IsSlow ? 4s : 300ms);
    if (IsDisturbed) {
      auto LostThousandths = static_cast<unsigned>(Site.randomBelow(400));
      Site.disturb(LostThousandths, Site.randomTime(800ms));
    }
    // A cluster that is founded while hosts are missing has too few voters to
    // bear the loss of a disk until they have joined.
    bool MayLoseDisks = !IsSlow && !IsDisturbed;
    std::size_t DisksLost = 0;
    for (auto Left = Site.randomBelow(4) * (IsDisturbed ? 2 : 1); Left > 0;
         --Left) {
      Site.run(Site.randomTime(900ms));
      auto Index = Site.randomBelow(Site.size());
      auto Other = Site.randomBelow(Site.size());
      switch (Site.randomBelow(4)) {
      case 0:
        Site.freeze(Index, Site.randomTime(3s));
        MayLoseDisks = false;
        break;
      case 1:
        Site.cut(Index, Other, Site.randomTime(5s));
        MayLoseDisks = false;
        break;
      default:
        if (!Site.isUp(Index))
          break;
        Site.losePower(Index);
        if (MayLoseDisks && Site.hasDisk(Index) &&
            DisksLost < Shape.ToleratedLosses && Site.randomBelow(4) == 0) {
          ++DisksLost;
          Site.loseDisk(Index);
        }
        Site.start(Index, Site.randomTime(2s));
        break;
      }
    }
    Site.run(Site.randomTime(2s));
    Site.disturb(0, 5ms);
    if (Site.isFounded() || Site.hasFoundingMajority())
      Site.runUntil([&] { return Site.acknowledgedVersion() > 0; },
                    FormingTime + RecoveryTime);
  }

  /// Random faults for some seconds, with at most the tolerated number of lost
  /// disks.
  void disrupt() {
    if (Site.randomBelow(3) == 0) {
      auto LostThousandths = static_cast<unsigned>(Site.randomBelow(200));
      Site.disturb(LostThousandths, Site.randomTime(300ms));
    }
    std::size_t DisksLost = 0;
    for (int Left = 2 + static_cast<int>(Site.randomBelow(7)); Left > 0;
         --Left) {
      Site.run(Site.randomTime(1500ms));
      auto Index = Site.randomBelow(Site.size());
      if (Site.randomBelow(3) == 0)
        Index = Site.leader().value_or(Index);
      switch (Site.randomBelow(6)) {
      case 0:
        Site.freeze(Index, Site.randomTime(7s));
        break;
      case 1:
        for (std::size_t Other = 0; Other != Site.size(); ++Other)
          if (Other != Index && Site.randomBelow(3) != 0)
            Site.cut(Index, Other, Site.randomTime(6s));
        break;
      case 2:
        splitInHalves();
        break;
      default:
        if (!Site.isUp(Index))
          break;
        if (Site.randomBelow(2) == 0)
          Site.kill(Index);
        else
          Site.losePower(Index);
        if (Site.hasDisk(Index) && DisksLost < Shape.ToleratedLosses &&
            Site.randomBelow(2) == 0) {
          ++DisksLost;
          Site.loseDisk(Index);
        }
        Site.start(Index, Site.randomTime(8s));
        break;
      }
    }
    Site.disturb(0, 5ms);
  }

  void splitInHalves() {
    auto Time = Site.randomTime(6s);
    std::vector<bool> Side;
    for (std::size_t Index = 0; Index != Site.size(); ++Index)
      Side.push_back(Site.randomBelow(2) == 0);
    for (std::size_t First = 0; First != Site.size(); ++First)
      for (std::size_t Second = 0; Second != First; ++Second)
        if (Side[First] != Side[Second])
          Site.cut(First, Second, Time);
  }

  /// As many disks as are tolerated are lost, and all other hosts lose power,
  /// at the same moment.
  void failAtOnce() {
    Site.run(Site.randomTime(2s));
    std::vector<std::size_t> Lost;
    for (std::size_t Index = 0; Index != Site.size(); ++Index)
      if (Site.hasDisk(Index))
        Lost.push_back(Index);
    for (auto Index = Lost.size(); Index > 1; --Index)
      std::swap(Lost[Index - 1], Lost[Site.randomBelow(Index)]);
    Lost.resize(std::min(Lost.size(), Shape.ToleratedLosses));
    bool AllLosePower = Site.randomBelow(4) != 0;
    for (std::size_t Index = 0; Index != Site.size(); ++Index) {
      bool IsLost = std::find(Lost.begin(), Lost.end(), Index) != Lost.end();
      if (!IsLost && !AllLosePower)
        continue;
      if (Site.isUp(Index))
        Site.losePower(Index);
      if (IsLost)
        Site.loseDisk(Index);
    }
    startAll(Site.randomTime(3s));
  }

  /// Waits until all hosts are back and checks that service is.
  void settle() {
    REQUIRE(Site.runUntil([&] { return Site.isCalm(); }, 10s));
    auto Version = Site.acknowledgedVersion();
    auto Jobs = Site.acknowledgedJobs();
    bool IsServing = Site.runUntil(
        [&] {
          return Site.acknowledgedVersion() > Version &&
                 Site.acknowledgedJobs() > Jobs;
        },
        RecoveryTime);
    INFO(Site.describe());
    REQUIRE(IsServing);
    bool IsComplete =
        Site.runUntil([&] { return Site.isComplete(); }, RecoveryTime);
    INFO(Site.describe());
    REQUIRE(IsComplete);
    Site.run(CatchUpTime);
  }

  site_shape Shape;
  membership_site Site;
};

void startAll(membership_site &Site, core::duration Within = 300ms) {
  for (std::size_t Index = 0; Index != Site.size(); ++Index)
    Site.start(Index, Site.randomTime(Within));
}

bool isServing(membership_site &Site, core::duration Within) {
  auto Version = Site.acknowledgedVersion();
  return Site.runUntil([&] { return Site.acknowledgedVersion() > Version; },
                       Within);
}

std::size_t voters(const membership_site &Site, const std::string &Zone,
                   const site_shape &Shape) {
  std::size_t Count = 0;
  const auto Status = Site.replica(*Site.leader())->status();
  for (std::size_t Index = 0; Index != Site.size(); ++Index)
    for (const auto &Member : Status.Members.Members)
      Count += Member.Voter && Shape.Zones[Index] == Zone &&
               Member.Id.Name == "10.0.0." + std::to_string(Index + 1);
  return Count;
}

} // namespace

// Guards against the loss of acknowledged changes with two disks: three voters
// have a majority of two.
TEST_CASE("two lost disks of six lose nothing, while all other hosts lose "
          "power") {
  for (std::uint64_t Seed = 1; Seed != 9; ++Seed) {
    auto Shape = makeShape(2, 2, {0, 2, 4});
    Shape.Seed = Seed;
    membership_site Site(Shape);
    startAll(Site);
    REQUIRE(isServing(Site, FormingTime));
    CHECK(Site.voters() == 5);
    CHECK(Site.firstCopies() >= 3);
    for (const char *Zone : {"z1", "z2", "z3"})
      CHECK(voters(Site, Zone, Shape) >= 1);
    // The two disks that have certainly stored what the leader acknowledged.
    auto First = *Site.leader();
    auto Second = (First + 1 + Seed % 5) % Site.size();
    for (std::size_t Index = 0; Index != Site.size(); ++Index)
      Site.losePower(Index);
    Site.loseDisk(First);
    Site.loseDisk(Second);
    startAll(Site, 1s);
    INFO("seed " << Seed << ", " << Site.describe());
    REQUIRE(isServing(Site, RecoveryTime));
    CHECK(Site.runUntil([&] { return Site.isComplete(); }, RecoveryTime));
  }
}

// Guards against a second cluster, and against none, when hosts without a disk
// are seeds or start first.
TEST_CASE("hosts form one cluster in any start order, also through seeds "
          "without a disk") {
  auto Seeds = GENERATE(
      std::vector<std::size_t>{1, 3, 5}, std::vector<std::size_t>{0, 1, 2},
      std::vector<std::size_t>{0, 2, 4}, std::vector<std::size_t>{3});
  auto Disks = GENERATE(std::size_t(1), std::size_t(2));
  for (std::uint64_t Seed = 1; Seed != 7; ++Seed) {
    auto Shape = makeShape(Disks, Disks, Seeds);
    Shape.Seed = Seed;
    membership_site Site(Shape);
    for (std::size_t Index = 0; Index != Site.size(); ++Index)
      Site.start(Index,
                 (Site.hasDisk(Index) == (Seed % 2 == 0) ? 0ms : 1500ms) +
                     Site.randomTime(1s));
    bool IsServing = isServing(Site, 2 * FormingTime);
    INFO("seed " << Seed << ", " << Disks << " disks, " << Site.describe());
    REQUIRE(IsServing);
    CHECK(Site.voters() == (Disks == 1 ? 3 : 5));
    CHECK(Site.runUntil([&] { return Site.isComplete(); }, RecoveryTime));
    Site.run(3s);
    for (std::size_t Index = 0; Index != Site.size(); ++Index)
      if (!Site.hasDisk(Index))
        CHECK(Site.observer(Index)->leader(Site.now()) ==
              Site.replica(*Site.leader())->leaderAddress());
  }
}

TEST_CASE("a deployment with one scheduler serves") {
  site_shape Shape;
  Shape.HasDisk = {true};
  Shape.Zones = {"z1"};
  Shape.Seeds = {0};
  membership_site Site(Shape);
  startAll(Site);
  CHECK(isServing(Site, FormingTime));
  Site.losePower(0);
  Site.start(0, 1s);
  CHECK(isServing(Site, FormingTime));
}

// Guards against four voters of which one is not needed, and of which two must
// be up to elect a leader of three.
TEST_CASE("a fourth scheduler with a disk is a spare and replaces a silent "
          "voter") {
  auto Shape = makeShape(1, 1, {0, 2, 4});
  Shape.HasDisk[1] = true;
  membership_site Site(Shape);
  startAll(Site);
  REQUIRE(isServing(Site, FormingTime));
  CHECK(Site.runUntil([&] { return Site.isComplete(); }, FormingTime));
  CHECK(Site.voters() == 3);
  auto Lost = Site.size();
  auto Status = Site.replica(*Site.leader())->status();
  // A voter other than the leader.
  for (const auto &Member : Status.Members.Members)
    for (std::size_t Index = 0; Index != Site.size(); ++Index)
      if (Member.Voter && Index != *Site.leader() &&
          Member.Id.Name == "10.0.0." + std::to_string(Index + 1))
        Lost = Index;
  REQUIRE(Lost < Site.size());
  Site.kill(Lost);
  Site.run(8s);
  INFO(Site.describe());
  CHECK(Site.voters() == 3);
  for (const auto &Member :
       Site.replica(*Site.leader())->status().Members.Members)
    if (Member.Id.Name == "10.0.0." + std::to_string(Lost + 1))
      CHECK(!Member.Voter);
  // One more loss leaves a majority.
  auto Leader = *Site.leader();
  Site.kill(Leader);
  CHECK(isServing(Site, RecoveryTime));
}

// Guards against data folders that cannot be read any more, and against a
// cluster of them that stays at three voters.
TEST_CASE("a cluster of an earlier version grows to the wanted voters") {
  auto Shape = makeShape(2, 2, {0, 2, 4});
  Shape.IsEarlierVersion = true;
  membership_site Site(Shape);
  startAll(Site);
  REQUIRE(isServing(Site, FormingTime));
  CHECK(Site.runUntil([&] { return Site.isComplete(); }, RecoveryTime));
  INFO(Site.describe());
  CHECK(Site.voters() == 5);
  for (std::size_t Index = 0; Index != Site.size(); ++Index)
    Site.losePower(Index);
  Site.loseDisk(0);
  Site.loseDisk(2);
  startAll(Site, 1s);
  CHECK(isServing(Site, RecoveryTime));
}

// LT_FIRST_SEED and LT_SEEDS choose the seeds.
TEST_CASE("random faults lose nothing that was acknowledged, found one cluster "
          "only, and service recovers") {
  auto First = fromEnvironment("LT_FIRST_SEED", 1);
  auto Count = fromEnvironment("LT_SEEDS", 60);
  for (auto Seed = First; Seed < First + Count; ++Seed) {
    INFO("LT_FIRST_SEED=" << Seed << " LT_SEEDS=1");
    faulty_site(Seed).play();
  }
}

// Guards against hosts with a disk that can't join because silent learners
// count towards the largest number of members.
TEST_CASE("hosts join a full cluster in the place of silent learners") {
  auto First = fromEnvironment("LT_FIRST_SEED", 1);
  auto Count = fromEnvironment("LT_SEEDS", 2);
  for (auto Seed = First; Seed < First + Count; ++Seed) {
    INFO("LT_FIRST_SEED=" << Seed << " LT_SEEDS=1");
    site_shape Shape;
    Shape.HasDisk.assign(replication::MaxMembers + 2, true);
    for (std::size_t Index = 0; Index != Shape.HasDisk.size(); ++Index)
      Shape.Zones.push_back("z" + std::to_string(Index % 3));
    Shape.Seeds = {0, 1, 2};
    Shape.Seed = Seed;
    membership_site Site(Shape);
    for (std::size_t Index = 0; Index != replication::MaxMembers; ++Index)
      Site.start(Index, Site.randomTime(300ms));
    REQUIRE(isServing(Site, FormingTime));
    auto Members = [&] {
      std::vector<std::string> Names;
      for (const auto &Member :
           Site.replica(*Site.leader())->status().Members.Members)
        Names.push_back(Member.Id.Name);
      return Names;
    };
    REQUIRE(Site.runUntil(
        [&] { return Members().size() == replication::MaxMembers; },
        FormingTime));
    std::vector<std::size_t> Lost;
    auto Status = Site.replica(*Site.leader())->status();
    for (const auto &Member : Status.Members.Members)
      if (Lost.size() < 2 && !Member.Voter)
        Lost.push_back(Site.indexOf(Member.Id.Name));
    for (auto Index : Lost)
      Site.losePower(Index);
    Site.start(replication::MaxMembers, 0ms);
    Site.start(replication::MaxMembers + 1, 0ms);
    bool HasJoined = Site.runUntil(
        [&] {
          auto Names = Site.leader() ? Members() : std::vector<std::string>();
          return Names.size() == replication::MaxMembers &&
                 std::all_of(Names.begin(), Names.end(), [&](const auto &Name) {
                   return Site.isUp(Site.indexOf(Name));
                 });
        },
        RecoveryTime);
    INFO(Site.describe());
    CHECK(HasJoined);
    CHECK(isServing(Site, RecoveryTime));
  }
}

// Guards against changes that are stored by fewer disks than are needed to bear
// the tolerated losses, while lost disks are replaced and a disk is too slow to
// catch up.
TEST_CASE("two voters are replaced without spares under load, and there are "
          "never fewer voters than wanted") {
  auto First = fromEnvironment("LT_FIRST_SEED", 1);
  auto Count = fromEnvironment("LT_SEEDS", 4);
  for (auto Seed = First; Seed < First + Count; ++Seed) {
    INFO("LT_FIRST_SEED=" << Seed << " LT_SEEDS=1");
    site_shape Shape;
    Shape.HasDisk.assign(5, true);
    Shape.Zones = {"z1", "z1", "z2", "z2", "z3"};
    Shape.Seeds = {0, 2, 4};
    Shape.ToleratedLosses = 2;
    Shape.Seed = Seed;
    Shape.SnapshotEveryEntries = 40;
    membership_site Site(Shape);
    startAll(Site);
    REQUIRE(isServing(Site, FormingTime));
    REQUIRE(Site.runUntil([&] { return Site.isComplete(); }, FormingTime));
    Site.run(Site.randomTime(2s));
    std::vector<std::size_t> Lost;
    for (auto Index = Site.randomBelow(5); Lost.size() != 2;
         Index = (Index + 1) % 5)
      if (Index != *Site.leader())
        Lost.push_back(Index);
    for (auto Index : Lost) {
      Site.losePower(Index);
      Site.loseDisk(Index);
      Site.start(Index, Site.randomTime(2s));
    }
    // The first one can't store entries as fast as they come.
    Site.slowDown(Lost[0], 3s);
    std::size_t Fewest = Site.voters();
    auto Watch = [&] {
      if (Site.leader())
        Fewest = std::min(Fewest, Site.voters());
      return false;
    };
    Site.runUntil(Watch, 20s);
    INFO(Site.describe());
    CHECK(Fewest >= 5);
    // The other one does not wait for it.
    auto Status = Site.replica(*Site.leader())->status();
    CHECK(replication::isVoter(Status.Members, Site.identity(Lost[1])));
    CHECK(isServing(Site, RecoveryTime));
    Site.slowDown(Lost[0], 8ms);
    Site.runUntil([&] { return Watch() || Site.isComplete(); }, RecoveryTime);
    CHECK(Site.isComplete());
    CHECK(Site.voters() == 5);
    CHECK(Fewest >= 5);
  }
}

// Guards against a system that can't be started: the acceptors are the seeds of
// the first start, and a host that knows only one of them finds no majority.
TEST_CASE("hosts that restart with other seeds before the choice found a "
          "cluster") {
  auto First = fromEnvironment("LT_FIRST_SEED", 1);
  auto Count = fromEnvironment("LT_SEEDS", 8);
  for (auto Seed = First; Seed < First + Count; ++Seed) {
    INFO("LT_FIRST_SEED=" << Seed << " LT_SEEDS=1");
    auto Shape = makeShape(1, 1, {1, 3, 5});
    Shape.LaterSeeds = {0, 1, 2};
    Shape.Seed = Seed;
    membership_site Site(Shape);
    startAll(Site);
    Site.run(400ms);
    REQUIRE(!Site.isFounded());
    for (std::size_t Index : {0, 2, 4}) {
      Site.losePower(Index);
      Site.start(Index, Site.randomTime(1s));
    }
    bool IsServing = isServing(Site, 2 * FormingTime);
    INFO(Site.describe());
    CHECK(IsServing);
    CHECK(Site.voters() == 3);
  }
}

// Guards against two clusters when hosts are started again with the settings of
// the first start: seeds without a disk forget what they have promised.
TEST_CASE("seeds without a disk that start again with the settings of the "
          "first start choose no second cluster",
          "[!shouldfail]") {
  auto First = fromEnvironment("LT_FIRST_SEED", 1);
  auto Count = fromEnvironment("LT_SEEDS", 20);
  for (auto Seed = First; Seed < First + Count; ++Seed) {
    INFO("LT_FIRST_SEED=" << Seed << " LT_SEEDS=1");
    auto Shape = makeShape(1, 1, {1, 3, 5});
    Shape.Seed = Seed;
    Shape.IsAlwaysFounding = true;
    membership_site Site(Shape);
    startAll(Site);
    REQUIRE(isServing(Site, FormingTime));
    Site.run(Site.randomTime(3s));
    // A disk is lost, and no other host with a disk is reached for some time.
    for (std::size_t Index = 0; Index != Site.size(); ++Index)
      Site.losePower(Index);
    Site.loseDisk(0);
    for (std::size_t Index = 0; Index != Site.size(); ++Index)
      Site.start(Index, Index == 2 || Index == 4 ? 6s : Site.randomTime(300ms));
    Site.run(15s);
    INFO(Site.describe());
    CHECK(isServing(Site, RecoveryTime));
  }
}

// Guards against a system that can't be started: seeds that restart before the
// initial voters are chosen take no part in the choice any more.
TEST_CASE("a cluster is founded although a majority of the seeds restarts "
          "before the choice",
          "[!shouldfail]") {
  auto First = fromEnvironment("LT_FIRST_SEED", 1);
  auto Count = fromEnvironment("LT_SEEDS", 20);
  for (auto Seed = First; Seed < First + Count; ++Seed) {
    INFO("LT_FIRST_SEED=" << Seed << " LT_SEEDS=1");
    auto Shape = makeShape(2, 2, {0, 2, 4});
    Shape.Seed = Seed;
    Shape.IsAlwaysFounding = true;
    membership_site Site(Shape);
    startAll(Site);
    Site.run(400ms);
    REQUIRE(!Site.isFounded());
    for (std::size_t Index : {0, 2}) {
      Site.losePower(Index);
      Site.start(Index, Site.randomTime(1s));
    }
    bool IsServing = isServing(Site, 2 * FormingTime);
    INFO(Site.describe());
    CHECK(IsServing);
  }
}
