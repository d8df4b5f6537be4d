// Measures one round of the leader's control loop with 50, 1,000 and 10,000
// workers (the target size), 47 pools, 1,200 teams, two jobs on each worker and
// a running maintenance wave. Prints the CPU time of the first round, and of
// the later ones as median and worst value.

#include "bench/seed_summary.h"
#include "reconciler/reconciler.h"

#include <cstdlib>
#include <ctime>
#include <map>
#include <random>

using namespace lycheetrestle;
using namespace lycheetrestle::bench;

namespace {

constexpr std::size_t Pools = 47;
constexpr std::size_t TeamCount = 1200;
constexpr std::size_t EntryCount = 12;
constexpr int RoundCount = 21;
// The bench exits with a failure above this number of refused commands.
constexpr std::uint64_t MaxRefusedCommands = 1000;
constexpr std::int64_t StartMs = 1'000'000;
// Planning interval of the leader; every fifth round also places jobs and sizes
// pools.
constexpr std::int64_t StepMs = 200;

class round_bench {
public:
  explicit round_bench(std::size_t WorkerCount) {
    fleet::declaration Declaration;
    Declaration.Number = 1;
    Declaration.Maintenance = {28, 2};
    for (std::size_t Index = 0; Index < TeamCount; ++Index)
      Declaration.Teams.push_back(
          {"t" + std::to_string(Index), {100000, 1u << 30, 1000}});
    for (std::size_t Index = 0; Index < Pools; ++Index) {
      fleet::pool_spec Pool;
      Pool.Name = "p" + std::to_string(Index);
      // With fewer than four hosts, 70 % rounded up allows no maintenance.
      Pool.Budget.MinAvailablePercent = WorkerCount < Pools * 4 ? 0 : 70;
      Pool.Spare = Index + 1 == Pools;
      Pool.AutoSize = !Pool.Spare;
      Declaration.Pools.push_back(Pool);
    }
    for (std::size_t Index = 0; Index < WorkerCount; ++Index)
      Declaration.Hosts.push_back({"w" + std::to_string(Index),
                                   "p" + std::to_string(Index % Pools),
                                   "z" + std::to_string(Index / 4 % 31),
                                   "r" + std::to_string(Index / 4),
                                   {64, 131072, 2}});
    commit(fleet::submit_declaration{std::move(Declaration)});
    Entries.resize(EntryCount);
  }

  /// Starts two jobs on each worker and a maintenance wave.
  void populate(std::size_t WorkerCount) {
    std::mt19937_64 Random(FirstSeed);
    std::size_t Number = 0;
    for (const auto &[Name, Host] : State.hosts()) {
      platform::host_report Report{
          Name, Host.Pool, platform::host_condition::Up, 1, {}};
      for (int Count = 0; Count < 2 && Number < WorkerCount * 2; ++Count) {
        fleet::submit_job Job;
        Job.Team = "t" + std::to_string(Random() % TeamCount);
        Job.Pool = Host.Pool;
        Job.Class = fleet::work_class(Random() % 3);
        Job.Declared = {std::uint32_t(8 + Random() % 20), 16384, 0};
        commit(Job);
        auto Id = State.jobs().rbegin()->first;
        commit(fleet::start_job{Id, Name, Host.Epoch, StartMs + 600'000});
        Report.Tasks.push_back(
            {Id, 1, fleet::job_state::Running, Job.Declared, 599'900, ""});
        ++Number;
      }
      Reports.push_back(std::move(Report));
    }
    commit(fleet::start_wave{});
  }

  // The first round also records that all jobs run, so it is printed apart.
  void measure(std::size_t WorkerCount) {
    reconciler::reconciler Reconciler({});
    Reconciler.reset(at(0));
    seed_summary Times;
    double First = 0;
    for (int Number = 0; Number < RoundCount; ++Number) {
      for (auto &Entry : Entries) {
        Entry.HasReported = true;
        Entry.LastReportAt = at(Number * StepMs);
        Entry.ViewIndex = State.viewIndex();
      }
      auto Before = std::clock();
      auto Output =
          Reconciler.plan(State, Reports, Entries, at(Number * StepMs),
                          StartMs + Number * StepMs);
      auto ElapsedMs = 1000.0 * double(std::clock() - Before) / CLOCKS_PER_SEC;
      if (Number == 0)
        First = ElapsedMs;
      else
        Times.add(ElapsedMs);
      for (auto &Command : Output.Commands)
        commit(std::move(Command));
    }
    std::printf("%zu workers, %zu jobs: first round %.2f CPU ms\n", WorkerCount,
                State.jobs().size(), First);
    printMeasure("", "reconciler", "later round, CPU ms", Times);
  }

private:
  static core::time_point at(std::int64_t Ms) {
    return core::time_point(std::chrono::milliseconds(1000 + Ms));
  }
  void commit(fleet::command_body Body) {
    fleet::command Command;
    Command.Actor = "bench";
    Command.TimeMs = StartMs;
    Command.Body = std::move(Body);
    if (auto Result = State.apply(Command, ++Index); Result.Failure)
      ++Refused;
    if (Refused > MaxRefusedCommands)
      std::exit(EXIT_FAILURE);
  }

  fleet::fleet_state State;
  std::vector<platform::host_report> Reports;
  std::vector<reconciler::entry_status> Entries;
  std::uint64_t Index = 0;
  std::uint64_t Refused = 0;
};

} // namespace

int main() {
  for (std::size_t Count : {50, 1000, 10000}) {
    round_bench Bench(Count);
    Bench.populate(Count);
    Bench.measure(Count);
  }
  return EXIT_SUCCESS;
}
