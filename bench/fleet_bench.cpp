// Applies declarations, host transitions, jobs and idempotency keys to the
// fleet state machine for one fleet size. Prints the mean time of each command,
// the size and time of snapshots and the resident memory. Each size needs its
// own process, because freed memory is not always returned to the system.

#include "fleet/fleet_state.h"

#include <gflags/gflags.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>
#include <utility>

DEFINE_uint32(hosts, 10'000, "number of hosts");
DEFINE_uint32(pools, 47, "number of pools");
DEFINE_uint32(teams, 1'200, "number of teams");
DEFINE_uint32(changes, 27'000, "number of host transitions");
DEFINE_uint32(keys, 200'000, "number of idempotency keys");

using namespace lycheetrestle;
using namespace lycheetrestle::fleet;

namespace {

using steady = std::chrono::steady_clock;

double secondsSince(steady::time_point Start) {
  return std::chrono::duration<double>(steady::now() - Start).count();
}

double residentMb() {
  std::ifstream Status("/proc/self/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with("VmRSS:"))
      return std::stod(Line.substr(6)) / 1024;
  return 0;
}

std::string poolName(std::uint32_t Index) {
  return "pool-" + std::to_string(Index);
}

std::string hostName(std::uint32_t Index) {
  return "host-" + std::to_string(Index);
}

declaration makeDeclaration(std::uint64_t Number) {
  declaration Next;
  Next.Number = Number;
  // Ten hosts a pool or more, so that each pool has a host that can be drained.
  auto Pools = std::min(FLAGS_pools, std::max(1u, FLAGS_hosts / 10));
  for (std::uint32_t Team = 0; Team < FLAGS_teams; ++Team)
    Next.Teams.push_back(
        {"team-" + std::to_string(Team), {1'000'000, 1ull << 40, 1'000}});
  for (std::uint32_t Pool = 0; Pool < Pools; ++Pool)
    Next.Pools.push_back({poolName(Pool), {std::nullopt, 80}, Pool == 0, true});
  Next.Services = {{"plots", poolName(0), work_class::Urgent, 2'000}};
  for (std::uint32_t Host = 0; Host < FLAGS_hosts; ++Host)
    Next.Hosts.push_back({hostName(Host),
                          poolName(Host % Pools),
                          "zone-" + std::to_string(Host / 4 % 31),
                          "rack-" + std::to_string(Host / 4),
                          {64, 131'072, 2}});
  return Next;
}

/// A fleet state with its own log index and clock.
class bench_fleet {
public:
  apply_result run(command_body Body, std::string Submission = "") {
    command Command{std::move(Submission), "system", ++TimeMs, std::move(Body)};
    return State.apply(Command, ++Index);
  }

  /// Applies Count commands and prints the mean time of one.
  void time(const char *Name, std::uint32_t Count,
            const std::function<command_body(std::uint32_t)> &MakeBody,
            bool AsSubmission = false) {
    double Seconds = 0;
    std::uint32_t Refused = 0;
    for (std::uint32_t Round = 0; Round < Count; ++Round) {
      command Command{AsSubmission ? Name + std::to_string(Round) : "",
                      "system", ++TimeMs, MakeBody(Round)};
      auto Start = steady::now();
      auto Result = State.apply(Command, ++Index);
      Seconds += secondsSince(Start);
      Refused += Result.Failure ? 1 : 0;
    }
    std::printf("apply %-22s %8u times %10.2f us each, %u refused\n", Name,
                Count, Seconds * 1e6 / Count, Refused);
  }

  fleet_state State;
  std::int64_t TimeMs = 1'700'000'000'000;

private:
  std::uint64_t Index = 0;
};

/// Cycles hosts through their states until all changes are made.
void timeTransitions(bench_fleet &Fleet) {
  // Indexed by the current state.
  static constexpr host_state NextState[] = {
      host_state::Cordoned,  host_state::Draining,  host_state::Drained,
      host_state::Rebooting, host_state::Returning, host_state::Returning,
      host_state::InService, host_state::Returning, host_state::Returning};
  Fleet.time("change_host_state", FLAGS_changes, [&](std::uint32_t Round) {
    const auto &Host =
        Fleet.State.hosts().find(hostName(Round / 6 % FLAGS_hosts))->second;
    return change_host_state{Host.Spec.Name,
                             Host.Epoch,
                             NextState[static_cast<int>(Host.State)],
                             host_goal::Reboot,
                             "",
                             0,
                             "bench"};
  });
}

void timeJobs(bench_fleet &Fleet) {
  auto Jobs = std::min(10'000u, FLAGS_hosts * 4);
  auto Pools = static_cast<std::uint32_t>(Fleet.State.pools().size());
  auto HostOf = [&](std::uint32_t Job) { return Job % FLAGS_hosts; };
  Fleet.time("submit_job", Jobs, [&](std::uint32_t Job) {
    return submit_job{"team-" + std::to_string(Job % FLAGS_teams),
                      poolName(HostOf(Job) % Pools),
                      work_class::Normal,
                      {4, 1'024, 0},
                      60};
  });
  Fleet.time("start_job", Jobs, [&](std::uint32_t Job) {
    auto Name = hostName(HostOf(Job));
    return start_job{Job + 1, Name,
                     Fleet.State.hosts().find(Name)->second.Epoch,
                     Fleet.TimeMs + 1'000'000};
  });
  Fleet.time("change_job_state", Jobs, [](std::uint32_t Job) {
    return change_job_state{Job + 1, 1, job_state::Running, {3, 900, 0}, ""};
  });
  Fleet.time("renew_job_lease", Jobs, [&](std::uint32_t Job) {
    return renew_job_lease{Job + 1, 1, Fleet.TimeMs + 2'000'000};
  });
}

void timeKeys(bench_fleet &Fleet) {
  auto Name = [](std::uint32_t Key) {
    char Text[64];
    // The length of a service name and a UUID.
    std::snprintf(Text, sizeof(Text), "plots/%08x-0000-4000-8000-%012x", Key,
                  Key);
    return std::string(Text);
  };
  auto Holder = [](std::uint32_t Key) {
    return "entry-" + std::to_string(Key % 12) + "#17000000/" +
           std::to_string(Key);
  };
  Fleet.time("reserve_key", FLAGS_keys, [&](std::uint32_t Key) {
    return reserve_key{Name(Key), Key, Holder(Key)};
  });
  Fleet.time("complete_key", FLAGS_keys, [&](std::uint32_t Key) {
    return complete_key{Name(Key),
                        Holder(Key),
                        201,
                        "application/json",
                        "{\"plot\":\"a-17\",\"ok\":true}",
                        false};
  });
}

/// Times encoding and decoding of a declaration.
void timeCodec(const fleet_state &State) {
  constexpr int Rounds = 10;
  command Command{"submission", "ann", 1,
                  submit_declaration{State.currentDeclaration()}};
  std::string Bytes;
  auto Start = steady::now();
  for (int Round = 0; Round < Rounds; ++Round)
    Bytes = encode(Command);
  auto Encode = secondsSince(Start);
  Start = steady::now();
  bool Decoded = true;
  for (int Round = 0; Round < Rounds; ++Round)
    Decoded = Decoded &&
              core::capture([&] { return decodeCommand(Bytes); }).index() == 0;
  std::printf("declaration of %zu bytes: encode %.2f ms, decode %.2f ms (%s)\n",
              Bytes.size(), Encode * 1e3 / Rounds,
              secondsSince(Start) * 1e3 / Rounds,
              Decoded ? "accepted" : "refused");
}

void timeSnapshot(const fleet_state &State) {
  auto Start = steady::now();
  auto Bytes = State.snapshot();
  auto Write = secondsSince(Start);
  Start = steady::now();
  auto Restored = core::capture([&] { return fleet_state::restore(Bytes); });
  std::printf("snapshot %.2f MB, write %.0f ms, restore %.0f ms (%s)\n",
              static_cast<double>(Bytes.size()) / 1e6, Write * 1e3,
              secondsSince(Start) * 1e3,
              Restored.index() == 0 ? "accepted" : "refused");
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  std::printf("hosts %u, teams %u, changes %u, keys %u\n", FLAGS_hosts,
              FLAGS_teams, FLAGS_changes, FLAGS_keys);
  double Empty = residentMb();
  bench_fleet Fleet;
  Fleet.run(submit_declaration{makeDeclaration(1)});
  auto Loaded = residentMb();
  Fleet.time(
      "submit_declaration", 10,
      [](std::uint32_t Round) {
        auto Next = makeDeclaration(Round + 2);
        Next.Hosts[Round].Size.Cores = 32 + Round;
        return submit_declaration{std::move(Next)};
      },
      true);
  timeCodec(Fleet.State);
  timeTransitions(Fleet);
  Fleet.time("refused transition", 10'000, [](std::uint32_t Round) {
    return change_host_state{hostName(Round % FLAGS_hosts),
                             0,
                             host_state::Cordoned,
                             {},
                             "",
                             0,
                             "bench"};
  });
  Fleet.time("request_host_goal", 10'000, [](std::uint32_t Round) {
    return request_host_goal{hostName(Round % FLAGS_hosts),
                             Round % 2 ? host_goal::None : host_goal::Reboot,
                             ""};
  });
  timeJobs(Fleet);
  auto Changed = residentMb();
  std::printf("without keys: ");
  timeSnapshot(Fleet.State);
  auto BeforeKeys = residentMb();
  timeKeys(Fleet);
  auto Full = residentMb();
  std::printf("with keys: ");
  timeSnapshot(Fleet.State);
  std::printf("resident MB: empty %.1f, declared %.1f, changed %.1f, keys add "
              "%.1f, peak with snapshots %.1f\n",
              Empty, Loaded, Changed, Full - BeforeKeys, residentMb());
  return 0;
}
