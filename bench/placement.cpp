// Compares placement by observed usage with the baseline, first fit on declared
// sizes, for jobs with wrong declared sizes. Prints the start delay of urgent
// jobs, the work done, preemptions and overcommitment as median and worst value
// over the seeds, then the CPU time of one decision with 50 to 10,000 workers.

#include "bench/placement_run.h"

#include <cstdlib>
#include <ctime>

using namespace lycheetrestle;
using namespace lycheetrestle::bench;

namespace {

void compare(const deployment_shape &Shape, const char *Name, placer Plan,
             placement::placer_settings Settings) {
  seed_summary Median, P99, Largest, Late, Waiting, Work, Preemptions, Share,
      Worst;
  for (auto Seed = FirstSeed; Seed < FirstSeed + SeedCount; ++Seed) {
    auto Outcome = placement_run(Shape, Seed, Plan, Settings).run();
    auto &Delays = Outcome.UrgentDelaySeconds;
    std::sort(Delays.begin(), Delays.end());
    if (!Delays.empty()) {
      Median.add(Delays[Delays.size() / 2]);
      P99.add(Delays[Delays.size() * 99 / 100]);
      Largest.add(Delays.back());
      Late.add(100.0 *
               double(std::count_if(Delays.begin(), Delays.end(),
                                    [](double Delay) { return Delay > 1.1; })) /
               double(Delays.size()));
    }
    Waiting.add(Outcome.UrgentWaiting);
    Work.add(Outcome.CoreHoursDone);
    Preemptions.add(Outcome.Preemptions);
    Share.add(100 * Outcome.OvercommittedShare);
    Worst.add(Outcome.WorstOvercommit);
  }
  printMeasure(Shape.Name, Name, "urgent start delay, median, s", Median);
  printMeasure(Shape.Name, Name, "urgent start delay, p99, s", P99);
  printMeasure(Shape.Name, Name, "urgent start delay, largest, s", Largest);
  printMeasure(Shape.Name, Name, "urgent starts after 1.1 s, %", Late);
  printMeasure(Shape.Name, Name, "urgent jobs not started at the end", Waiting);
  printMeasure(Shape.Name, Name, "work done, core-hours in 3 min", Work, true);
  printMeasure(Shape.Name, Name, "preemptions in 3 min", Preemptions);
  printMeasure(Shape.Name, Name, "overcommitted worker time, %", Share);
  printMeasure(Shape.Name, Name, "worst use of a worker over size", Worst);
}

// Load: 47 pools, 1,200 teams, two running jobs on each worker and one waiting
// job for every five workers.
void timeDecision(std::size_t WorkerCount, const char *Name, placer Plan) {
  constexpr std::size_t Pools = 47;
  constexpr std::size_t TeamCount = 1200;
  std::mt19937_64 Random(FirstSeed);
  std::vector<std::string> Names, PoolNames;
  for (std::size_t Index = 0; Index < Pools; ++Index)
    PoolNames.push_back("p" + std::to_string(Index));
  for (std::size_t Index = 0; Index < WorkerCount; ++Index)
    Names.push_back("w" + std::to_string(Index));
  std::vector<placement::worker_view> Workers;
  for (std::size_t Index = 0; Index < WorkerCount; ++Index)
    Workers.push_back({Names[Index],
                       PoolNames[Index % Pools],
                       "z",
                       "r",
                       {64, 131072, 2},
                       1,
                       true});
  std::vector<fleet::team_spec> Teams;
  for (std::size_t Index = 0; Index < TeamCount; ++Index)
    Teams.push_back({"t" + std::to_string(Index), {100000, 1u << 30, 1000}});
  std::vector<fleet::job_record> Jobs;
  for (std::size_t Index = 0; Index < WorkerCount * 11 / 5; ++Index) {
    fleet::job_record Job;
    Job.Id = Index + 1;
    Job.Team = Teams[Random() % TeamCount].Name;
    Job.Pool = PoolNames[Index % WorkerCount % Pools];
    Job.Class = fleet::work_class(Random() % 3);
    Job.Declared = {std::uint32_t(8 + Random() % 24), 16384, 0};
    if (Index < WorkerCount * 2) {
      Job.State = fleet::job_state::Running;
      Job.Host = Names[Index % WorkerCount];
      Job.Lease = 1;
      Job.LeaseUntilMs = 10000;
      Job.Learned = {std::uint32_t(4 + Random() % 28), 8192, 0};
    }
    Jobs.push_back(std::move(Job));
  }
  seed_summary Times;
  for (int Repeat = 0; Repeat < 9; ++Repeat) {
    auto Before = std::clock();
    auto Actions = Plan(Workers, Jobs, Teams, 5000, {});
    auto ElapsedMs = 1000.0 * double(std::clock() - Before) / CLOCKS_PER_SEC;
    if (!Actions.empty())
      Times.add(ElapsedMs);
  }
  auto Label = std::to_string(WorkerCount) + " workers";
  printMeasure(Label.c_str(), Name, "one decision, CPU ms", Times);
}

} // namespace

int main() {
  // A run takes a minute; line buffering shows each result as soon as it is
  // known.
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::printf("placement: seeds %d to %d\n", int(FirstSeed),
              int(FirstSeed + SeedCount - 1));
  placement::placer_settings Scaled;
  Scaled.ScaleDownByTeamUsage = true;
  for (const auto &Shape : Deployments) {
    compare(Shape, "by usage", placement::planPlacement, {});
    compare(Shape, "by usage, scaled", placement::planPlacement, Scaled);
    compare(Shape, "first fit (baseline)", placement::planPlacementFirstFit,
            {});
  }
  for (std::size_t Count : {50, 1000, 10000}) {
    timeDecision(Count, "by usage", placement::planPlacement);
    timeDecision(Count, "first fit (baseline)",
                 placement::planPlacementFirstFit);
  }
  return EXIT_SUCCESS;
}
