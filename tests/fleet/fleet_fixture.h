#ifndef LYCHEETRESTLE_TESTS_FLEET_FLEET_FIXTURE_H
#define LYCHEETRESTLE_TESTS_FLEET_FLEET_FIXTURE_H

#include "fleet/fleet_state.h"

#include <cstdint>
#include <string>
#include <utility>

namespace lycheetrestle::fleet {

/// \returns a declaration with pools `gate` (8 hosts w1 to w8, 50 %) and
/// `records` (4 hosts r1 to r4, at least 2, spare), two hosts in each rack.
inline declaration smallDeclaration(std::uint64_t Number) {
  declaration Next;
  Next.Number = Number;
  Next.Teams = {{"planning", {64, 65536, 2}}, {"intake", {32, 65536, 0}}};
  Next.Pools = {{"gate", {std::nullopt, 50}, false, true},
                {"records", {2, std::nullopt}, true, false}};
  Next.Services = {{"plots", "gate", work_class::Urgent, 2000}};
  auto Add = [&](std::string Name, std::string Pool, int Index) {
    std::string Rack = Pool + "-r" + std::to_string(Index / 2);
    Next.Hosts.push_back({std::move(Name),
                          std::move(Pool),
                          "zone" + std::to_string(Index / 4),
                          Rack,
                          {32, 65536, 2}});
  };
  for (int Index = 0; Index < 8; ++Index)
    Add("w" + std::to_string(Index + 1), "gate", Index);
  for (int Index = 0; Index < 4; ++Index)
    Add("r" + std::to_string(Index + 1), "records", Index);
  return Next;
}

/// A state with helpers that apply commands at the current time and the next
/// log index.
struct fleet_fixture {
  fleet_state State;
  std::uint64_t Index = 0;
  std::int64_t TimeMs = 1'000'000;

  apply_result run(command_body Body, std::string Submission = "",
                   std::string Actor = "system") {
    return State.apply(
        {std::move(Submission), std::move(Actor), TimeMs, std::move(Body)},
        ++Index);
  }
  /// \returns the code of the failure, or `accepted`.
  std::string code(command_body Body, std::string Submission = "",
                   std::string Actor = "system") {
    auto Result = run(std::move(Body), std::move(Submission), std::move(Actor));
    return Result.Failure ? std::string(core::toString(Result.Failure->Code))
                          : "accepted";
  }
  std::string declare(const declaration &Next, std::string Submission = "",
                      std::string Actor = "ann") {
    return code(submit_declaration{Next}, std::move(Submission),
                std::move(Actor));
  }
  const host_record &host(const std::string &Name) const {
    return State.hosts().find(Name)->second;
  }
  /// Requests a transition of a host under its current epoch.
  std::string step(const std::string &Name, host_state To,
                   host_goal Goal = host_goal::None, std::string Pool = "",
                   std::uint64_t Wave = 0) {
    auto Found = State.hosts().find(Name);
    auto Epoch = Found == State.hosts().end() ? 0 : Found->second.Epoch;
    return code(change_host_state{Name, Epoch, To, Goal, std::move(Pool), Wave,
                                  "test"});
  }
  pool_summary pool(const std::string &Name) const {
    for (const auto &Pool : State.pools())
      if (Pool.Name == Name)
        return Pool;
    return {};
  }
};

} // namespace lycheetrestle::fleet

#endif
