#include "fake_site.h"
#include "random_site.h"
#include "schedule_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <random>
#include <string>
#include <vector>

// Guards against a workspace that exceeds its limit because a run is counted
// too early as ended, and against one that waits for its limit because a run
// counts for ever.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;

namespace {

struct limited_workspace {
  std::string Name;
  std::uint32_t Limit = 0;
  std::uint64_t Allowed = 0; ///< What ran when the limit was lowered, or more.
  int SettledMs = 0;         ///< Earlier starts are committed until then.
  int WaitingMs = 0;         ///< Since when a task waits below half the limit.
};

/// Three workspaces whose limits together leave room on the endpoints, under
/// random work and disturbances, and then in calm.
class limited_play {
public:
  explicit limited_play(std::uint64_t Seed)
      : Random(Seed * 15'485'863), Site(Count, Seed, {}) {
    Site.formRacks();
    Site.setRunTimes(300, 1500);
    configure();
    Site.run(1600);
  }

  /// \returns what was wrong.
  std::string play() {
    for (; TimeMs < DisturbedMs && Wrong.empty(); TimeMs += TickMs) {
      if (draw(10) == 0)
        disturb();
      tick();
    }
    endDisturbances();
    for (; TimeMs < DisturbedMs + LateOrderMs && Wrong.empty();
         TimeMs += TickMs)
      tick();
    for (; TimeMs < DisturbedMs + LateOrderMs + CalmMs && Wrong.empty();
         TimeMs += TickMs) {
      tick();
      for (auto &Workspace : Workspaces)
        checkWaiting(Workspace);
    }
    if (Wrong.empty() && Site.Starts < 200)
      Wrong = std::to_string(Site.Starts) + " starts only";
    return Wrong;
  }

private:
  static constexpr std::uint32_t Count = 8;
  static constexpr std::uint32_t NormalLimit = 12'000;
  static constexpr std::uint32_t MaxTask = 1500;
  static constexpr int TickMs = 50;
  static constexpr int DisturbedMs = 12'000;
  // An endpoint executes a late order up to 12 s after it was sent, and a host
  // on which endpoints crashed twice is avoided for 15 s after it was down.
  static constexpr int LateOrderMs = 19'000;
  static constexpr int CalmMs = 5000;
  // Starts that are decided before a limit is lowered are committed by then.
  static constexpr int CommitMs = 200;
  static constexpr int MaxWaitMs = 1000;

  std::uint64_t draw(std::uint64_t Range) { return Random() % Range; }

  void tick() {
    for (int Attempt = 0; Attempt != 2; ++Attempt)
      if (draw(4) == 0)
        submit();
    Site.run(TickMs);
    auto Running = Site.runningMilliCores();
    for (auto &Workspace : Workspaces)
      checkLimit(Workspace, Running[Workspace.Name]);
    if (TimeMs % 1000 == 0)
      checkUsage();
  }

  void configure() {
    auto Configuration = Site.State.currentConfiguration();
    ++Configuration.Version;
    Configuration.RequiresKeys = true;
    Configuration.Workspaces.clear();
    for (const auto &Workspace : Workspaces) {
      workspaces::workspace_spec Spec;
      Spec.Name = Workspace.Name;
      Spec.Keys = {workspaces::digestOf(Workspace.Name)};
      Spec.Weight = 1000;
      Spec.Limit.MilliCores = Workspace.Limit;
      Configuration.Workspaces.push_back(Spec);
    }
    Site.apply(set_configuration{Configuration});
  }

  void setLimit(limited_workspace &Workspace, std::uint32_t Limit) {
    if (Limit < Workspace.Limit)
      Workspace.SettledMs = TimeMs + CommitMs;
    Workspace.Allowed =
        std::max<std::uint64_t>({Workspace.Allowed, Workspace.Limit, Limit});
    Workspace.Limit = Limit;
    configure();
  }

  void submit() {
    const auto &Workspace = Workspaces[draw(Workspaces.size())];
    auto Id = "j" + std::to_string(++Jobs);
    auto Step =
        makeStep(1 + static_cast<std::uint32_t>(draw(4)),
                 200 + static_cast<std::uint32_t>(draw(MaxTask - 199)), 500);
    Step.IsGang = draw(5) == 0;
    auto Submit = submission(makeJob(Id, {Step}));
    Submit.KeyDigest = workspaces::digestOf(Workspace.Name);
    Site.apply(Submit);
    if (draw(8) == 0) {
      cancel_job Cancel{Host, Prefix + Id, Id};
      Cancel.KeyDigest = Submit.KeyDigest;
      Site.apply(Cancel);
    }
  }

  void disturb() {
    auto Index = static_cast<std::uint32_t>(draw(Count));
    switch (draw(8)) {
    case 0:
      Site.changeLeader();
      break;
    case 1:
      Site.crash(Index);
      break;
    case 2:
      Site.crashHost(Index, 200 + static_cast<int>(draw(3000)));
      break;
    case 3:
      Site.setReachable(Index, draw(2) == 0);
      break;
    case 4: {
      fault_rates Rates;
      Rates.LostOrders = static_cast<unsigned>(draw(200));
      Rates.LostAnswers = static_cast<unsigned>(draw(200));
      Rates.LateOrders = static_cast<unsigned>(draw(200));
      Rates.OrdersThatOutliveRestarts = 300;
      Site.setFaults(Rates);
      break;
    }
    case 5:
      Site.setFaults({});
      break;
    default: {
      auto &Workspace = Workspaces[draw(Workspaces.size())];
      setLimit(Workspace,
               NormalLimit / (1 + static_cast<std::uint32_t>(draw(4))));
      break;
    }
    }
  }

  void endDisturbances() {
    Site.setFaults({});
    for (std::uint32_t Index = 0; Index != Count; ++Index)
      Site.setReachable(Index, true);
    for (auto &Workspace : Workspaces)
      setLimit(Workspace, NormalLimit);
  }

  std::uint64_t usageOf(const std::string &Workspace) const {
    auto Found = Site.State.workspaceUsage().find(Workspace);
    return Found == Site.State.workspaceUsage().end()
               ? 0
               : Found->second.Total.MilliCores;
  }

  void checkLimit(limited_workspace &Workspace, std::uint64_t Running) {
    if (TimeMs >= Workspace.SettledMs)
      Workspace.Allowed = std::max<std::uint64_t>(
          Workspace.Limit,
          std::min(Workspace.Allowed, usageOf(Workspace.Name)));
    if (Running > Workspace.Allowed + MaxTask)
      Wrong += Workspace.Name + " runs " + std::to_string(Running) + " of " +
               std::to_string(Workspace.Allowed) + " at " +
               std::to_string(TimeMs) + " ms\n";
  }

  void checkUsage() {
    std::map<std::string, std::uint64_t> Expected;
    for (const auto &[Id, Job] : Site.State.jobs())
      for (const auto &Occurrence : Job.OpenOccurrences)
        for (std::size_t Step = 0; Step != Occurrence.Steps.size(); ++Step)
          for (const auto &Task : Occurrence.Steps[Step].Tasks)
            if (Task.Endpoint != 0)
              Expected[Job.Workspace] += Job.Spec.Steps[Step].Size.MilliCores;
    for (const auto &Workspace : Workspaces)
      if (Expected[Workspace.Name] != usageOf(Workspace.Name))
        Wrong += Workspace.Name + " has a usage of " +
                 std::to_string(usageOf(Workspace.Name)) + " instead of " +
                 std::to_string(Expected[Workspace.Name]) + "\n";
  }

  bool hasWaitingTask(const std::string &Workspace) const {
    for (const auto &[SubmittedMs, Id] : Site.State.liveJobs()) {
      const auto &Job = *Site.State.findJob(Id);
      // A task under which endpoints crashed may pause for minutes.
      if (Job.Workspace != Workspace || Site.State.suspectJobs().count(Id) > 0)
        continue;
      for (const auto &Occurrence : Job.OpenOccurrences)
        for (const auto &Step : Occurrence.Steps)
          if (std::any_of(Step.Tasks.begin(), Step.Tasks.end(),
                          [](const auto &Task) { return Task.isWaiting(); }))
            return true;
    }
    return false;
  }

  void checkWaiting(limited_workspace &Workspace) {
    if (usageOf(Workspace.Name) * 2 >= Workspace.Limit ||
        !hasWaitingTask(Workspace.Name)) {
      Workspace.WaitingMs = 0;
      return;
    }
    Workspace.WaitingMs += TickMs;
    if (Workspace.WaitingMs > MaxWaitMs)
      Wrong += Workspace.Name + " waits below half of its limit at " +
               std::to_string(TimeMs) + " ms\n";
  }

  std::mt19937_64 Random;
  fake_site Site;
  std::array<limited_workspace, 3> Workspaces{
      {{"u", NormalLimit, NormalLimit},
       {"v", NormalLimit, NormalLimit},
       {"w", NormalLimit, NormalLimit}}};
  std::uint64_t Jobs = 0;
  int TimeMs = 0;
  std::string Wrong;
};

std::uint64_t numberFrom(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

} // namespace

TEST_CASE("workspaces: limits hold under random disturbances, and no task "
          "waits for a limit that is less than half used") {
  throwing_invariants Invariants;
  auto First = numberFrom("LT_FIRST_SEED", 1);
  auto Seeds = numberFrom("LT_SEEDS", 40);
  for (auto Seed = First; Seed != First + Seeds; ++Seed) {
    INFO("seed " << Seed);
    std::string Wrong;
    CHECK_NOTHROW(Wrong = limited_play(Seed).play());
    CHECK(Wrong == "");
  }
}
