// Compares pool sizing with the baselines, no lending and a fixed share, over
// 2 h. The load peaks in one queue after the other at five times its mean and
// falls to a twentieth between the peaks. Prints idle and missing host-hours,
// shortage, moves and the hosts left above the budget over the seeds.

#include "bench/seed_summary.h"
#include "capacity/fixed_share.h"
#include "capacity/pool_sizer.h"

#include <array>
#include <cmath>
#include <cstdlib>
#include <random>

using namespace lycheetrestle;
using namespace lycheetrestle::bench;
using namespace lycheetrestle::capacity;

namespace {

constexpr std::int64_t RunSeconds = 2 * 3600;
// Duration of cordon, drain, move and return.
constexpr std::int64_t MoveSeconds = 45;
constexpr std::size_t SparePool = PoolCount - 1;
constexpr double PeakFactor = 5;
constexpr double QuietFactor = 0.05;

struct simulated_pool {
  std::string Name;
  double MeanHosts = 0;
  std::uint32_t Home = 10;
  std::uint32_t Minimum = 7;
  std::uint32_t Available = 10;
  std::uint32_t Borrowed = 0;
  std::vector<std::int64_t> Arrivals; ///< Seconds at which hosts arrive.
};

struct peak_shape {
  const char *Name;
  std::int64_t LowSeconds;
  std::int64_t HighSeconds;
};

// The short peaks are those of the two deployments. The long ones outlast a
// move, so that moved hosts can still serve them.
constexpr peak_shape Peaks[] = {{"peaks of 5 to 40 s", 5, 40},
                                {"peaks of 5 to 15 min", 300, 900}};

struct outcome {
  /// Hosts above demand and minimum, in all pools but the spare pool.
  double IdleHostHours = 0;
  /// Pool-seconds with fewer hosts than demanded, in all pools.
  double ShortageSeconds = 0;
  double ShortageHostHours = 0; ///< Hosts missing over that time.
  double Moves = 0;
  double LowestMargin = 1e9; ///< Hosts above the budget.
};

class sizing_run {
public:
  // The mean makes the demand of a peak exceed the pool.
  sizing_run(const deployment_shape &Shape, std::uint64_t Seed, peak_shape Peak)
      : Random(Seed), Peak(Peak) {
    auto HomeHosts = Shape.Hosts / PoolCount;
    for (std::size_t Index = 0; Index < PoolCount; ++Index) {
      auto &Pool = Pools[Index];
      Pool.Name = "pool" + std::to_string(Index);
      Pool.Home = Pool.Available = HomeHosts;
      Pool.Minimum = Index == SparePool ? HomeHosts / 2 : HomeHosts * 7 / 10;
      Pool.MeanHosts = HomeHosts * (0.21 + 0.03 * uniform());
    }
  }

  template <typename Policy> outcome run(Policy &&Plan) {
    for (Second = 0; Second < RunSeconds; ++Second) {
      receiveHosts();
      auto Demands = demand();
      measure(Demands);
      std::vector<pool_load> Loads;
      for (std::size_t Index = 0; Index < PoolCount; ++Index) {
        const auto &Pool = Pools[Index];
        Loads.push_back({Pool.Name, Demands[Index], Pool.Available,
                         Pool.Minimum, Pool.Borrowed,
                         std::uint32_t(Pool.Arrivals.size()),
                         Index == SparePool, Index != SparePool});
      }
      for (const auto &Transfer :
           Plan(Loads, core::time_point(std::chrono::seconds(Second + 1))))
        move(Transfer);
    }
    return Outcome;
  }

private:
  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }

  // One queue peaks at a time.
  std::array<double, PoolCount> demand() {
    if (Second >= PeakEnds) {
      PeakingPool = (PeakingPool + 1) % PoolCount;
      PeakEnds =
          Second + Peak.LowSeconds +
          std::int64_t(uniform() * double(Peak.HighSeconds - Peak.LowSeconds));
    }
    std::array<double, PoolCount> Demands{};
    for (std::size_t Index = 0; Index < PoolCount; ++Index)
      Demands[Index] = Pools[Index].MeanHosts *
                       (Index == PeakingPool ? PeakFactor : QuietFactor) *
                       (0.95 + 0.1 * uniform());
    return Demands;
  }

  void receiveHosts() {
    for (auto &Pool : Pools) {
      auto Due = std::partition(Pool.Arrivals.begin(), Pool.Arrivals.end(),
                                [&](std::int64_t At) { return At > Second; });
      Pool.Available += std::uint32_t(Pool.Arrivals.end() - Due);
      Pool.Arrivals.erase(Due, Pool.Arrivals.end());
    }
  }

  void measure(const std::array<double, PoolCount> &Demands) {
    for (std::size_t Index = 0; Index < PoolCount; ++Index) {
      const auto &Pool = Pools[Index];
      Outcome.LowestMargin = std::min(
          Outcome.LowestMargin, double(Pool.Available) - double(Pool.Minimum));
      auto Missing = Demands[Index] - Pool.Available;
      if (Missing > 0) {
        Outcome.ShortageSeconds += 1;
        Outcome.ShortageHostHours += Missing / 3600;
      }
      if (Index == SparePool)
        continue;
      auto Used = std::max(Demands[Index], double(Pool.Minimum));
      Outcome.IdleHostHours += std::max(0.0, Pool.Available - Used) / 3600;
    }
  }

  void move(const host_transfer &Transfer) {
    auto Find = [&](const std::string &Name) -> simulated_pool & {
      return *std::find_if(
          Pools.begin(), Pools.end(),
          [&](const simulated_pool &Pool) { return Pool.Name == Name; });
    };
    auto &From = Find(Transfer.FromPool);
    auto &To = Find(Transfer.ToPool);
    From.Available -= Transfer.Hosts;
    if (From.Borrowed >= Transfer.Hosts)
      From.Borrowed -= Transfer.Hosts;
    else
      To.Borrowed += Transfer.Hosts;
    for (std::uint32_t Count = 0; Count < Transfer.Hosts; ++Count)
      To.Arrivals.push_back(Second + MoveSeconds);
    Outcome.Moves += Transfer.Hosts;
  }

  std::mt19937_64 Random;
  peak_shape Peak;
  std::array<simulated_pool, PoolCount> Pools;
  std::int64_t Second = 0;
  std::int64_t PeakEnds = 0;
  std::size_t PeakingPool = 0;
  outcome Outcome;
};

template <typename MakePolicy>
void compare(const deployment_shape &Shape, peak_shape Peak, const char *Name,
             MakePolicy &&Make) {
  seed_summary Idle, Shortage, Missing, Moves, Margin;
  for (auto Seed = FirstSeed; Seed < FirstSeed + SeedCount; ++Seed) {
    auto Outcome = sizing_run(Shape, Seed, Peak).run(Make());
    Idle.add(Outcome.IdleHostHours);
    Shortage.add(Outcome.ShortageSeconds);
    Missing.add(Outcome.ShortageHostHours);
    Moves.add(Outcome.Moves);
    Margin.add(Outcome.LowestMargin);
  }
  printMeasure(Shape.Name, Name, "buffer, idle host-hours in 2 h", Idle);
  printMeasure(Shape.Name, Name, "short of need, pool-seconds in 2 h",
               Shortage);
  printMeasure(Shape.Name, Name, "missing host-hours in 2 h", Missing);
  printMeasure(Shape.Name, Name, "moves in 2 h", Moves);
  printMeasure(Shape.Name, Name, "budget left, hosts", Margin, true);
}

auto makeSizer(sizer_settings Settings) {
  return [Settings] {
    return [Sizer = pool_sizer(Settings)](const std::vector<pool_load> &Loads,
                                          core::time_point Now) mutable {
      return Sizer.plan(Loads, Now);
    };
  };
}

auto makeFixed(std::uint32_t HostsPerPool) {
  return [HostsPerPool] {
    return
        [HostsPerPool](const std::vector<pool_load> &Loads, core::time_point) {
          return planFixedShare(Loads, HostsPerPool);
        };
  };
}

} // namespace

int main() {
  std::printf("pool sizing: seeds %d to %d\n", int(FirstSeed),
              int(FirstSeed + SeedCount - 1));
  for (const auto &Peak : Peaks) {
    std::printf("%s\n", Peak.Name);
    for (const auto &Shape : Deployments) {
      compare(Shape, Peak, "sizer", makeSizer({}));
      sizer_settings HighBufferCost;
      HighBufferCost.BufferCostWeight = 4;
      compare(Shape, Peak, "sizer, buffer cost x4", makeSizer(HighBufferCost));
      sizer_settings HighMoveWeight;
      HighMoveWeight.MoveWeight = 4;
      compare(Shape, Peak, "sizer, move weight x4", makeSizer(HighMoveWeight));
      compare(Shape, Peak, "no lending (baseline)", makeFixed(0));
      compare(Shape, Peak, "share of 1 (baseline)", makeFixed(1));
    }
  }
  return EXIT_SUCCESS;
}
