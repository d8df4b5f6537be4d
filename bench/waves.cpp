// Simulates a maintenance wave over the whole fleet with random host losses and
// compares the wave planner with the baseline, one host of each pool at a time.
// Prints the roll-out time, pauses, the lowest number of hosts above the budget
// and the racks of a pool reduced at once, over the seeds.

#include "bench/seed_summary.h"
#include "maintenance/wave_planner.h"

#include <cstdlib>
#include <map>
#include <random>
#include <string_view>

using namespace lycheetrestle;
using namespace lycheetrestle::bench;
using namespace lycheetrestle::maintenance;

namespace {

constexpr std::int64_t MaxSeconds = 21ll * 24 * 3600;
// Time until an operator resumes a paused wave.
constexpr std::int64_t ResumeSeconds = 600;
constexpr std::int64_t RepairSeconds = 1800;
constexpr double LossProbabilityInWave = 0.01;
// 120 of 10,000 hosts fail on an ordinary day.
constexpr double LossProbabilityPerSecond = 0.012 / 86400;
constexpr std::uint32_t BudgetPercent = 70;

using planner = wave_step (*)(std::span<const wave_pool>,
                              std::span<const wave_host>, const wave_limits &);

struct wave_shape {
  const char *Name;
  std::uint32_t Zones, Hosts, Pools;
  std::uint32_t MaxParallelHosts, PauseAfterFailures;
  std::int64_t StepSeconds; ///< Interval between two decisions.
};

constexpr std::uint32_t MaxParallelHosts = 8;
constexpr std::uint32_t PauseAfterFailures = 2;
constexpr wave_shape TargetShape = {"target", 31, 10000, 47, 64, 8, 30};

struct simulated_host {
  std::string Name, Pool, Zone, Rack;
  host_phase Phase = host_phase::Waiting;
  bool Maintained = false;
  std::int64_t UntilSecond = 0;
};

struct outcome {
  double Minutes = 0;
  double Pauses = 0;
  double LowestPlannedMargin = 1e9; ///< Hosts above the budget after a step.
  double LowestMargin = 1e9;        ///< Hosts above the budget, with losses.
  double MaxRacks = 0; ///< Racks of a pool with hosts in maintenance.
};

class wave_run {
public:
  wave_run(const wave_shape &Shape, std::uint64_t Seed, planner Plan)
      : Shape(Shape), Random(Seed), Plan(Plan) {
    for (std::uint32_t Index = 0; Index < Shape.Hosts; ++Index) {
      auto Rack = Index / HostsPerRack;
      Hosts.push_back({"w" + std::to_string(10000 + Index),
                       "pool" + std::to_string(Index % Shape.Pools),
                       "z" + std::to_string(Rack % Shape.Zones),
                       "r" + std::to_string(1000 + Rack)});
      ++HomeHosts[Hosts.back().Pool];
    }
  }

  outcome run() {
    for (Second = 0; Second < MaxSeconds; Second += Shape.StepSeconds) {
      advance();
      if (PausedUntil > Second)
        continue;
      if (decide())
        break;
    }
    Outcome.Minutes = double(Second) / 60;
    return Outcome;
  }

private:
  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }
  std::map<std::string, std::uint32_t> available() const {
    std::map<std::string, std::uint32_t> Counts;
    for (const auto &Host : Hosts)
      Counts[Host.Pool] +=
          Host.Phase == host_phase::Waiting || Host.Phase == host_phase::Done;
    return Counts;
  }
  std::uint32_t minimum(const std::string &Pool) const {
    return (HomeHosts.at(Pool) * BudgetPercent + 99) / 100;
  }
  double budgetMargin() const {
    double Least = 1e9;
    auto Available = available();
    for (const auto &[Pool, Count] : HomeHosts)
      Least = std::min(Least, double(Available[Pool]) - minimum(Pool));
    return Least;
  }

  void failHost(simulated_host &Host) {
    Host.Phase = host_phase::Lost;
    Host.UntilSecond = Second + RepairSeconds;
  }

  void advance() {
    for (auto &Host : Hosts) {
      bool IsAvailable =
          Host.Phase == host_phase::Waiting || Host.Phase == host_phase::Done;
      if (IsAvailable &&
          uniform() < LossProbabilityPerSecond * double(Shape.StepSeconds)) {
        failHost(Host);
      } else if (!IsAvailable && Second >= Host.UntilSecond) {
        if (Host.Phase == host_phase::Busy &&
            uniform() < LossProbabilityInWave) {
          failHost(Host);
          ++Failures;
          continue;
        }
        Host.Maintained = Host.Maintained || Host.Phase == host_phase::Busy;
        Host.Phase = Host.Maintained ? host_phase::Done : host_phase::Waiting;
      }
    }
    Outcome.LowestMargin = std::min(Outcome.LowestMargin, budgetMargin());
  }

  // Returns whether the wave has finished.
  bool decide() {
    std::vector<wave_host> Views;
    for (const auto &Host : Hosts)
      Views.push_back({Host.Name, Host.Pool, Host.Zone, Host.Rack, Host.Phase});
    std::vector<wave_pool> Pools;
    auto Available = available();
    for (const auto &[Pool, Count] : HomeHosts)
      Pools.push_back({Pool, Available[Pool], minimum(Pool)});
    auto Step =
        Plan(Pools, Views,
             {Shape.MaxParallelHosts, Shape.PauseAfterFailures, Failures});
    if (Step.Pause) {
      ++Outcome.Pauses;
      Failures = 0;
      PausedUntil = Second + ResumeSeconds;
      return false;
    }
    if (Step.Finished)
      return true;
    for (auto Name : Step.Start)
      for (auto &Host : Hosts)
        if (Host.Name == Name) {
          Host.Phase = host_phase::Busy;
          // Cordon and drain, then a reboot of 2 to 8 minutes.
          Host.UntilSecond = Second + 15 + std::int64_t(120 + uniform() * 360);
        }
    if (!Step.Start.empty())
      Outcome.LowestPlannedMargin =
          std::min(Outcome.LowestPlannedMargin, budgetMargin());
    std::map<std::string, std::map<std::string, int>> Reduced;
    for (const auto &Host : Hosts)
      if (Host.Phase == host_phase::Busy)
        ++Reduced[Host.Pool][Host.Rack];
    for (const auto &[Pool, Racks] : Reduced)
      Outcome.MaxRacks = std::max(Outcome.MaxRacks, double(Racks.size()));
    return false;
  }

  wave_shape Shape;
  std::mt19937_64 Random;
  planner Plan;
  std::vector<simulated_host> Hosts;
  std::map<std::string, std::uint32_t> HomeHosts;
  std::int64_t Second = 0;
  std::int64_t PausedUntil = 0;
  std::uint32_t Failures = 0;
  outcome Outcome;
};

void compare(const wave_shape &Shape, const char *Name, planner Plan,
             std::uint64_t Seeds) {
  seed_summary Minutes, Pauses, PlannedMargin, Margin, Racks;
  for (auto Seed = FirstSeed; Seed < FirstSeed + Seeds; ++Seed) {
    auto Outcome = wave_run(Shape, Seed, Plan).run();
    Minutes.add(Outcome.Minutes);
    Pauses.add(Outcome.Pauses);
    PlannedMargin.add(Outcome.LowestPlannedMargin);
    Margin.add(Outcome.LowestMargin);
    Racks.add(Outcome.MaxRacks);
  }
  printMeasure(Shape.Name, Name, "roll-out time, min", Minutes);
  printMeasure(Shape.Name, Name, "pauses", Pauses);
  printMeasure(Shape.Name, Name, "budget left after a step, hosts",
               PlannedMargin, true);
  printMeasure(Shape.Name, Name, "budget left with losses, hosts", Margin,
               true);
  printMeasure(Shape.Name, Name, "racks of a pool reduced at once", Racks);
}

} // namespace

int main(int Count, char **Arguments) {
  // The target size takes minutes, so it runs only with --target.
  if (Count == 2 && std::string_view(Arguments[1]) == "--target") {
    constexpr std::uint64_t Seeds = 3;
    compare(TargetShape, "planner", planWaveStep, Seeds);
    compare(TargetShape, "one-by-one (baseline)", planWaveStepOneByOne, Seeds);
    return EXIT_SUCCESS;
  }
  std::printf("waves: seeds %d to %d; no moves are part of a wave\n",
              int(FirstSeed), int(FirstSeed + SeedCount - 1));
  for (const auto &Deployment : Deployments) {
    wave_shape Shape = {Deployment.Name,
                        Deployment.Zones,
                        Deployment.Hosts,
                        PoolCount,
                        MaxParallelHosts,
                        PauseAfterFailures,
                        5};
    compare(Shape, "planner", planWaveStep, SeedCount);
    compare(Shape, "one-by-one (baseline)", planWaveStepOneByOne, SeedCount);
  }
  return EXIT_SUCCESS;
}
