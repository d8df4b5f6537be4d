#include "random_commands.h"

#include "fleet_fixture.h"

#include <algorithm>

namespace lycheetrestle::fleet {

std::string random_commands::randomPool() {
  const char *const Names[] = {"gate", "records", "third", "absent"};
  return Names[below(chance(90) ? 3 : 4)];
}

std::string random_commands::randomHost(const fleet_state &State) {
  if (State.hosts().empty() || chance(2))
    return "absent";
  return randomElement(State.hosts()).first;
}

std::uint64_t random_commands::randomJob(const fleet_state &State) {
  if (State.jobs().empty() || chance(2))
    return below(5) == 0 ? ~0ull : below(50);
  return randomElement(State.jobs()).first;
}

std::uint64_t random_commands::maybeWrong(std::uint64_t Value) {
  if (chance(93))
    return Value;
  return chance(20) ? ~0ull : Value + below(4) - 2;
}

declaration random_commands::randomDeclaration(const fleet_state &State) {
  auto Number = State.currentDeclaration().Number;
  // Some numbers repeat, as when operators race.
  Number = chance(70) ? Number + 1 : Number + below(5) - (Number > 1 ? 2 : 0);
  auto Next = smallDeclaration(Number);
  Next.Pools.push_back({"third", {std::nullopt, 40}, false, false});
  for (int Host = 1; Host <= 4; ++Host)
    Next.Hosts.push_back({"t" + std::to_string(Host),
                          "third",
                          "zone9",
                          "third-r" + std::to_string(Host / 2),
                          {32, 65536, 2}});
  Next.Maintenance.PauseAfterFailures =
      static_cast<std::uint32_t>(1 + below(3));
  Next.Pools[0].Budget.MinAvailablePercent =
      static_cast<std::uint32_t>(below(90));
  Next.Teams[0].Quota.Cores = static_cast<std::uint32_t>(below(128));
  for (auto &Host : Next.Hosts)
    if (chance(4))
      Host.HomePool = randomPool();
  // Lost hosts are often removed, as by an operator who replaces them.
  std::erase_if(Next.Hosts, [&](const auto &Host) {
    auto Found = State.hosts().find(Host.Name);
    bool Lost = Found != State.hosts().end() &&
                (Found->second.State == host_state::Failed ||
                 Found->second.State == host_state::Drained);
    return chance(Lost ? 60 : 1);
  });
  if (chance(3))
    Next.Hosts.push_back(Next.Hosts.front());
  if (chance(5))
    Next.Pools.erase(Next.Pools.begin() + 1);
  return Next;
}

command_body random_commands::randomHostChange(const fleet_state &State) {
  auto Name = randomHost(State);
  change_host_state Change{Name, 1, {}, {}, "", 0, "random"};
  auto Found = State.hosts().find(Name);
  if (Found == State.hosts().end())
    return Change;
  const auto &Host = Found->second;
  Change.FromEpoch = maybeWrong(Host.Epoch);
  auto Goal = static_cast<host_goal>(1 + below(3));
  std::string Target = Goal == host_goal::Move ? randomPool() : "";
  if (Host.Goal != host_goal::None && chance(90)) {
    Goal = Host.Goal;
    Target = Host.TargetPool;
  }
  static constexpr host_state Following[] = {
      host_state::Cordoned,  host_state::Draining,  host_state::Drained,
      host_state::Rebooting, host_state::Returning, host_state::Returning,
      host_state::InService, host_state::Returning, host_state::Returning};
  Change.To = Following[static_cast<std::size_t>(Host.State)];
  if (Host.State == host_state::Drained && Host.Goal == host_goal::Move)
    Change.To = host_state::Moving;
  if (chance(6))
    Change.To = chance(70) ? host_state::Failed : host_state::SetAside;
  else if (chance(6))
    Change.To = static_cast<host_state>(below(9));
  if (Change.To == host_state::Cordoned) {
    Change.Goal = Goal;
    Change.TargetPool = Target;
    if (Goal == host_goal::Reboot && !State.waves().empty())
      Change.Wave = maybeWrong(State.waves().rbegin()->first);
  }
  return Change;
}

command_body random_commands::randomJobCommand(const fleet_state &State) {
  auto Kind = below(10);
  if (Kind < 2 || State.jobs().empty())
    return submit_job{chance(60) ? "planning" : "intake",
                      randomPool(),
                      work_class::Normal,
                      {static_cast<std::uint32_t>(below(20)), below(40'000),
                       static_cast<std::uint32_t>(below(2))},
                      60};
  auto Id = randomJob(State);
  if (Kind == 2 && chance(30))
    return cancel_job{Id};
  auto Found = State.jobs().find(Id);
  if (Found == State.jobs().end())
    return change_job_state{Id, 1, job_state::Running, {}, ""};
  const auto &Job = Found->second;
  if (!holdsLease(Job.State) && Job.State != job_state::Failed) {
    auto Host = randomHost(State);
    auto Record = State.hosts().find(Host);
    auto Epoch = Record == State.hosts().end() ? 1 : Record->second.Epoch;
    return start_job{Id, Host, maybeWrong(Epoch),
                     TimeMs + static_cast<std::int64_t>(below(3'000))};
  }
  if (chance(20))
    return renew_job_lease{Id, maybeWrong(Job.Lease),
                           TimeMs + static_cast<std::int64_t>(below(3'000))};
  return change_job_state{Id,
                          maybeWrong(Job.Lease),
                          static_cast<job_state>(below(8)),
                          {static_cast<std::uint32_t>(below(20)), below(9), 0},
                          "random"};
}

command_body random_commands::randomKeyCommand() {
  auto Key = "k" + std::to_string(below(40));
  auto Holder = "e" + std::to_string(below(3));
  auto Kind = below(10);
  if (Kind < 6)
    return reserve_key{Key, chance(95) ? 1 : below(9), Holder};
  if (Kind < 9)
    return complete_key{Key,
                        Holder,
                        200,
                        "text/plain",
                        std::string(below(chance(10) ? 20'000 : 100), 'b'),
                        chance(10)};
  return abandon_key{Key, Holder};
}

command_body random_commands::randomBody(const fleet_state &State) {
  auto Kind = below(100);
  if (State.hosts().empty() || Kind < 5)
    return submit_declaration{randomDeclaration(State)};
  if (Kind < 55)
    return randomHostChange(State);
  if (Kind < 62) {
    auto Goal = static_cast<host_goal>(below(4));
    return request_host_goal{randomHost(State), Goal,
                             Goal == host_goal::Move || chance(2) ? randomPool()
                                                                  : ""};
  }
  if (Kind < 68) {
    auto Wave = State.waves().empty() ? 1 : State.waves().rbegin()->first;
    switch (below(4)) {
    case 0:
      return start_wave{};
    case 1:
      return pause_wave{maybeWrong(Wave), "random"};
    case 2:
      return resume_wave{maybeWrong(Wave)};
    default:
      return finish_wave{maybeWrong(Wave)};
    }
  }
  if (Kind < 88)
    return randomJobCommand(State);
  return randomKeyCommand();
}

command random_commands::next(const fleet_state &State) {
  // With long steps the keys reach the end of their 24 hours.
  TimeMs += static_cast<std::int64_t>(HasLongSteps ? 60'000 + below(40'000)
                                                   : below(500));
  if (chance(1) && chance(30))
    TimeMs += 9ll * 3600 * 1000;
  if (!Sent.empty() && chance(8)) {
    auto Resent = Sent[below(Sent.size())];
    Resent.TimeMs = TimeMs;
    return Resent;
  }
  command Command{"", chance(50) ? "ann" : "bob", TimeMs, randomBody(State)};
  if (chance(40)) {
    // Some submissions are reused for another command.
    Command.Submission =
        "s" + std::to_string(chance(98) ? Submissions++ : below(50));
    Sent.push_back(Command);
  }
  // The clock of a new leader may be behind.
  Command.TimeMs -= chance(5) ? static_cast<std::int64_t>(below(5'000)) : 0;
  return Command;
}

} // namespace lycheetrestle::fleet
