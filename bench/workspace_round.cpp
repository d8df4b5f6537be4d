// Measures a round of placement with many workspaces and a large backlog beside
// a round with the same backlog and no workspaces.

#include "core/clock.h"
#include "scheduling/placement_bound.h"
#include "scheduling/placer.h"
#include "scheduling/waiting_index.h"
#include "scheduling/workspace_shares.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

// NOLINTBEGIN(readability-identifier-naming): gflags derives these names.
DEFINE_uint32(workspaces, 10'000, "number of workspaces");
DEFINE_uint32(tasks, 100'000, "number of waiting tasks");
DEFINE_uint32(endpoints, 350, "number of endpoints, in 5 pools");
DEFINE_uint32(rounds, 50, "measured rounds");
// NOLINTEND(readability-identifier-naming)

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;

namespace {

constexpr std::uint32_t Pools = 5;
constexpr std::uint32_t TasksOfJob = 10;
constexpr std::uint32_t HostMilliCores = 64'000;
constexpr std::uint32_t Sizes = 8; // Of tasks, from 6 cores upwards.
constexpr std::size_t MaxStarts = 256;
constexpr std::int64_t NowMs = 1'000'000;

std::string nameOf(char Kind, std::uint32_t Index) {
  return Kind + std::to_string(Index);
}

/// A backlog whose jobs are spread over the pools and the workspaces.
class backlog {
public:
  /// \param Count number of workspaces, or 0.
  /// \param Limit of each workspace in thousandths of a core, or 0.
  backlog(std::uint32_t Count, std::uint32_t Limit) : Count(Count) {
    configure(Limit);
    for (std::uint32_t Index = 0; Index != FLAGS_endpoints; ++Index) {
      auto &Target = Targets.emplace_back();
      Target.Endpoint = Index + 1;
      Target.Pool = nameOf('p', Index % Pools);
    }
    for (auto &Target : Targets)
      Pointers.push_back(&Target);
    for (std::uint32_t Job = 0; Job != FLAGS_tasks / TasksOfJob; ++Job)
      submit(Job);
  }

  /// Plays rounds in which each endpoint has this much room.
  void measure(const char *What, std::uint32_t FreeMilliCores) {
    std::vector<double> Times;
    std::size_t Placed = 0;
    for (std::uint32_t Round = 0; Round != FLAGS_rounds; ++Round) {
      for (auto &Target : Targets)
        Target.Free = {FreeMilliCores, 1'000'000, 0};
      auto Begin = core::thread_cpu_clock::now();
      Placed = place(Round);
      Times.push_back(std::chrono::duration<double, std::milli>(
                          core::thread_cpu_clock::now() - Begin)
                          .count());
    }
    std::sort(Times.begin(), Times.end());
    std::printf("%-34s %-24s median %7.3f ms, largest %7.3f ms, placed %zu\n",
                describe().c_str(), What, Times[Times.size() / 2], Times.back(),
                Placed);
  }

private:
  void configure(std::uint32_t Limit) {
    configuration Configuration;
    Configuration.Version = 1;
    for (std::uint32_t Index = 0; Index != Pools; ++Index) {
      queue_spec Queue;
      Queue.HostName = nameOf('h', Index);
      Queue.PathPrefix = "/";
      Queue.Pool = nameOf('p', Index);
      Queue.MaxAttempts = 2;
      Queue.TargetLatencyMs = 600;
      Queue.SlackThousandths = 1600;
      Configuration.Queues.push_back(Queue);
      Configuration.Pools.push_back({Queue.Pool, "", true, false});
    }
    for (std::uint32_t Index = 0; Index != Count; ++Index) {
      workspaces::workspace_spec Spec;
      Spec.Name = nameOf('w', Index);
      Spec.Keys = {workspaces::digestOf(Spec.Name)};
      Spec.Weight = 1 + Index % 100;
      Spec.Limit.MilliCores = Limit;
      Configuration.Workspaces.push_back(std::move(Spec));
    }
    Configuration.RequiresKeys = Count > 0;
    State.apply(set_configuration{Configuration}, NowMs);
  }

  void submit(std::uint32_t Number) {
    job_spec Job;
    Job.Id = nameOf('j', Number);
    step_spec Step;
    Step.Count = TasksOfJob;
    Step.Size = {6000 + 1000 * (Number % Sizes), 100, 0};
    Step.EstimateMs = 1000;
    Job.Steps.push_back(Step);
    submit_job Submit{nameOf('h', Number % Pools), "/" + Job.Id,
                      std::move(Job)};
    if (Count > 0)
      Submit.KeyDigest = workspaces::digestOf(nameOf('w', Number % Count));
    State.apply(Submit, NowMs);
    Index.recordApplied(Submit);
  }

  std::size_t place(std::uint32_t Round) {
    Index.update(NowMs);
    placement_request Request;
    Request.MaxStarts = MaxStarts;
    Request.Bounds = &Bounds;
    placement_report Report;
    Request.Report = &Report;
    workspaces::start_budget Budget([this](std::string_view Name) {
      return workspaces::start_budget::account{
          {}, State.findWorkspaceByName(Name)->Limit};
    });
    if (Count > 0) {
      Shares.update(State, Index,
                    core::time_point(std::chrono::milliseconds(15 * Round)));
      Request.Budget = &Budget;
      Request.LevelOf = [this](const std::string &Pool,
                               const std::string &Workspace) {
        return Shares.levelOf(Pool, Workspace);
      };
    }
    return placeRuns(Index, {}, Pointers, Request).size();
  }

  std::string describe() const {
    return std::to_string(Count) + " workspaces, " +
           std::to_string(FLAGS_tasks) + " tasks";
  }

  std::uint32_t Count;
  schedule_state State;
  duration_models Durations;
  rank_cache Ranks{Durations};
  waiting_index Index{State, Ranks};
  workspace_shares Shares;
  placement_bounds Bounds;
  std::vector<placement_target> Targets;
  std::vector<placement_target *> Pointers;
};

void measure(std::uint32_t Workspaces, std::uint32_t Limit) {
  backlog Backlog(Workspaces, Limit);
  std::printf("limit %u thousandths of a core\n", Limit);
  Backlog.measure("no room", 0);
  Backlog.measure("room for one each", 14'000);
  Backlog.measure("empty endpoints", HostMilliCores);
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  measure(0, 0);
  for (std::uint32_t Workspaces = 20; Workspaces < FLAGS_workspaces;
       Workspaces *= 10)
    measure(Workspaces, 0);
  measure(FLAGS_workspaces, 0);
  measure(FLAGS_workspaces, 20'000);
}
