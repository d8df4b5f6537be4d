#include "scheduling/maintenance_planner.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>

using namespace lycheetrestle::scheduling;

namespace {

constexpr std::int64_t StepMs = 100;
constexpr std::int64_t MaintenanceMs = 2000;
constexpr std::int64_t MoveMs = 1500;
constexpr std::int64_t DeadlineMs = 24'000;

struct play_settings {
  std::size_t Hosts = 170;
  std::uint32_t MaxCount = 60;
  /// Long-running steps with a budget of one task each, and the hosts of the
  /// wave that run a task of them.
  std::size_t Steps = 3;
  std::size_t HostsPerStep = 6;
  /// From the stop of a long-running task until it is available elsewhere.
  std::int64_t RestartMs = 2200;
  /// Hosts that are moving to another pool at any time.
  std::size_t Moving = 0;
};

/// What is left of a wave at its deadline, and whether a rule was broken.
struct play_result {
  std::size_t Missed = 0;
  std::size_t MostInMaintenance = 0;
  /// Mean time for which a host was cordoned or in maintenance.
  std::int64_t WithoutWorkMs = 0;
  std::vector<waiting_host> Waiting;
};

/// Plays a wave over hosts that always have short runs. Orders take up to
/// 500 ms, and a host is listed as up up to 500 ms after its maintenance.
class wave_play {
public:
  wave_play(const play_settings &Settings, std::uint64_t Seed)
      : Settings(Settings), Random(Seed), Hosts(Settings.Hosts),
        FreeAtMs(Settings.Steps, 0) {
    for (std::size_t Index = 0; Index != Hosts.size(); ++Index) {
      Hosts[Index].Name = "h" + std::to_string(1000 + Index);
      if (Index < Settings.Steps * Settings.HostsPerStep)
        Hosts[Index].Step = static_cast<int>(Index / Settings.HostsPerStep);
    }
    Wave.MaxCount = Settings.MaxCount;
    Wave.DeadlineMs = DeadlineMs;
  }

  play_result run() {
    for (NowMs = 0; NowMs < DeadlineMs; NowMs += StepMs) {
      move();
      evacuate();
      auto Views = view();
      auto Plan = planMaintenance(Wave, Views, NowMs, MaintenanceMs);
      for (const auto &Name : Plan.Cordon)
        find(Name).CordonedMs = std::max(find(Name).CordonedMs, NowMs);
      for (const auto &Name : Plan.Order)
        order(find(Name));
      count();
      Result.Waiting = std::move(Plan.Waiting);
    }
    Result.Missed = static_cast<std::size_t>(
        std::count_if(Hosts.begin(), Hosts.end(), [&](const auto &Host) {
          return Host.BeginsMs < 0 || Host.BeginsMs > DeadlineMs;
        }));
    Result.WithoutWorkMs =
        WithoutWorkMs / static_cast<std::int64_t>(Hosts.size());
    return Result;
  }

private:
  struct played_host {
    std::string Name;
    int Step = -1; ///< Of its long-running task.
    std::int64_t CordonedMs = -1;
    std::int64_t BeginsMs = -1;
    std::int64_t UpMs = 0;
    std::int64_t MovesUntilMs = 0;
  };

  std::int64_t upTo(std::int64_t Limit) {
    return static_cast<std::int64_t>(Random() %
                                     static_cast<std::uint64_t>(Limit));
  }

  played_host &find(const std::string &Name) {
    return *std::find_if(Hosts.begin(), Hosts.end(),
                         [&](const auto &Host) { return Host.Name == Name; });
  }

  bool isFree(int Step) const {
    return Step < 0 || FreeAtMs[static_cast<std::size_t>(Step)] <= NowMs;
  }

  /// Its task starts again on a host outside the wave.
  void interrupt(played_host &Host, std::int64_t InMs) {
    if (Host.Step >= 0)
      FreeAtMs[static_cast<std::size_t>(std::exchange(Host.Step, -1))] =
          NowMs + InMs + Settings.RestartMs;
  }

  void evacuate() {
    for (auto &Host : Hosts)
      if (Host.CordonedMs >= 0 && Host.BeginsMs < 0 && isFree(Host.Step))
        interrupt(Host, 0);
  }

  void move() {
    std::size_t Moving = 0;
    for (const auto &Host : Hosts)
      Moving += Host.MovesUntilMs > NowMs;
    // As the leader does when it plans moves.
    if (mustStayUp(Wave, NowMs, MoveMs))
      return;
    for (; Moving < Settings.Moving; ++Moving) {
      auto &Host = Hosts[Random() % Hosts.size()];
      if (Host.BeginsMs < 0 && Host.CordonedMs < 0 && Host.Step < 0)
        Host.MovesUntilMs = NowMs + MoveMs + upTo(500);
    }
  }

  void order(played_host &Host) {
    // The leader asks the budgets again for each host of a plan.
    if (!isFree(Host.Step))
      return;
    auto DelayMs = 100 + upTo(400);
    interrupt(Host, DelayMs);
    Host.CordonedMs = NowMs;
    Host.BeginsMs = NowMs + DelayMs;
    Host.UpMs = Host.BeginsMs + MaintenanceMs + upTo(500);
  }

  std::vector<maintenance_host> view() const {
    std::map<int, std::uint32_t> Waiting;
    for (const auto &Host : Hosts)
      if (Host.BeginsMs < 0)
        ++Waiting[Host.Step];
    std::vector<maintenance_host> Views;
    for (const auto &Host : Hosts) {
      if (Host.BeginsMs >= 0 && Host.UpMs <= NowMs)
        continue;
      maintenance_host View;
      View.Name = Host.Name;
      View.IsInMaintenance = Host.BeginsMs >= 0;
      View.HasBegun = View.IsInMaintenance && Host.BeginsMs <= NowMs;
      View.IsMoving = Host.MovesUntilMs > NowMs;
      View.IsUp = !View.IsMoving;
      View.IsCordoned = Host.CordonedMs >= 0;
      View.CordonedMs = View.IsCordoned ? NowMs - Host.CordonedMs : 0;
      View.LongRuns = Host.Step >= 0;
      View.ShortRuns = View.CordonedMs < 1200 ? 4 : 0;
      View.MayInterrupt = isFree(Host.Step);
      View.BudgetRounds = Host.Step >= 0 ? Waiting.at(Host.Step) : 0;
      View.BudgetGroup = static_cast<std::uint32_t>(Host.Step + 1);
      Views.push_back(std::move(View));
    }
    return Views;
  }

  void count() {
    std::size_t InMaintenance = 0;
    std::size_t WithoutWork = 0;
    for (const auto &Host : Hosts) {
      bool IsDown = Host.BeginsMs >= 0 && Host.UpMs > NowMs;
      InMaintenance += IsDown;
      WithoutWork += IsDown || (Host.CordonedMs >= 0 && Host.BeginsMs < 0);
    }
    Result.MostInMaintenance =
        std::max(Result.MostInMaintenance, InMaintenance);
    WithoutWorkMs += static_cast<std::int64_t>(WithoutWork) * StepMs;
  }

  play_settings Settings;
  std::mt19937_64 Random;
  wave_record Wave;
  std::vector<played_host> Hosts;
  std::vector<std::int64_t> FreeAtMs; ///< By step.
  std::int64_t NowMs = 0;
  std::int64_t WithoutWorkMs = 0; ///< Of all hosts.
  play_result Result;
};

} // namespace

// Guards against hosts that begin too late because the budgets of their tasks
// allow only one at a time: they were the last to be cordoned.
TEST_CASE("hosts that share budgets begin before the deadline of their wave") {
  play_settings Settings;
  Settings.HostsPerStep =
      GENERATE(std::size_t(1), std::size_t(3), std::size_t(5), std::size_t(7));
  for (std::uint64_t Seed = 1; Seed != 11; ++Seed) {
    auto Result = wave_play(Settings, Seed).run();
    wave_delay Delay{0, Result.Waiting};
    INFO(Settings.HostsPerStep << " hosts a step, seed " << Seed << ": "
                               << Delay.counts());
    CHECK(Result.Missed == 0);
    CHECK(Result.MostInMaintenance <= Settings.MaxCount);
  }
}

// Guards against slots that hosts take up which only move to another pool.
TEST_CASE("hosts that move take no slot of a wave") {
  play_settings Settings;
  Settings.HostsPerStep = 0;
  Settings.MaxCount = 24;
  Settings.Moving = 12;
  for (std::uint64_t Seed = 1; Seed != 11; ++Seed) {
    auto Result = wave_play(Settings, Seed).run();
    wave_delay Delay{0, Result.Waiting};
    INFO("seed " << Seed << ": " << Delay.counts());
    CHECK(Result.Missed == 0);
    CHECK(Result.MostInMaintenance <= Settings.MaxCount);
  }
}

// Guards against a wave that keeps hosts from work for longer than their drain,
// order and maintenance take, about 4.3 s, and one round of a budget for which
// the next host is cordoned ahead.
TEST_CASE("a wave takes no more work from hosts than it needs") {
  play_settings Settings;
  Settings.HostsPerStep =
      GENERATE(std::size_t(0), std::size_t(2), std::size_t(7));
  auto LongHosts =
      static_cast<std::int64_t>(Settings.Steps * Settings.HostsPerStep);
  auto AheadMs = Settings.RestartMs * LongHosts /
                 static_cast<std::int64_t>(Settings.Hosts);
  for (std::uint64_t Seed = 1; Seed != 11; ++Seed) {
    auto Result = wave_play(Settings, Seed).run();
    INFO(Settings.HostsPerStep << " hosts a step, seed " << Seed);
    CHECK(Result.Missed == 0);
    CHECK(Result.WithoutWorkMs <= 4600 + AheadMs);
  }
}

TEST_CASE("the plan says what each waiting host waits for") {
  wave_record Wave;
  Wave.MaxCount = 3;
  Wave.DeadlineMs = 10'000;
  std::vector<maintenance_host> Hosts(6);
  const char *Names[] = {"blocked", "busy",    "moving",
                         "down",    "ordered", "last"};
  for (std::size_t Index = 0; Index != Hosts.size(); ++Index) {
    Hosts[Index].Name = Names[Index];
    Hosts[Index].IsUp = true;
    Hosts[Index].ShortRuns = 1;
  }
  Hosts[0].MayInterrupt = false;
  Hosts[0].LongRuns = 1;
  Hosts[0].BudgetRounds = 3;
  Hosts[2].IsMoving = true;
  Hosts[2].IsUp = false;
  Hosts[3].IsUp = false;
  Hosts[4].IsInMaintenance = true;
  Hosts[5].ShortRuns = 2;
  auto Plan = planMaintenance(Wave, Hosts, 0, 2000);
  CHECK(Plan.Order.empty());
  wave_delay Delay{10'000, Plan.Waiting};
  CHECK(Delay.counts() == "availability:1,runs:2,move:1,down:1,platform:1");
  CHECK(Delay.names(2) == "moving:move,down:down");
}
