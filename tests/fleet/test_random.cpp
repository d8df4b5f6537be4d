#include "core/invariant.h"
#include "random_commands.h"
#include "state_model.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>
#include <optional>
#include <stdexcept>
#include <string>

using namespace lycheetrestle;
using namespace lycheetrestle::fleet;

namespace {

std::uint64_t environmentNumber(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::stoull(Text) : Default;
}

/// Turns broken invariants into failures of the test that name the seed.
class throwing_invariants {
public:
  throwing_invariants()
      : Previous(core::setInvariantHandler([](std::string_view Invariant) {
          throw std::runtime_error("invariant: " + std::string(Invariant));
        })) {}
  ~throwing_invariants() { core::setInvariantHandler(Previous); }

private:
  core::invariant_handler Previous;
};

// With long time steps the keys expire after 1,440 steps.
constexpr int Steps = 2'000;

/// Runs one seed.
/// \returns the first violation, or nothing.
std::optional<std::string> runSeed(std::uint64_t Seed, state_model &Model) {
  random_commands Commands(Seed);
  fleet_state State;
  std::optional<fleet_state> Replica;
  for (std::uint64_t Index = 1; Index <= Steps; ++Index) {
    auto Command = Commands.next(State);
    auto Decoded =
        core::capture([&] { return decodeCommand(encode(Command)); });
    if (Decoded.index() != 0)
      return "step " + std::to_string(Index) + ": a command does not decode";
    auto Result = State.apply(std::get<0>(Decoded), Index);
    for (const auto &Violation : Model.check(Command, Result, State))
      return "step " + std::to_string(Index) + ": " + Violation;
    if (Replica) {
      auto Same = Replica->apply(Command, Index);
      if (Same.Response != Result.Response ||
          Same.Failure.has_value() != Result.Failure.has_value())
        return "step " + std::to_string(Index) +
               ": a restored state gives another result";
    }
    if (Commands.below(100) != 0)
      continue;
    if (Replica && Replica->digest() != State.digest())
      return "step " + std::to_string(Index) + ": a restored state diverged";
    auto Bytes = State.snapshot();
    auto Restored = core::capture([&] { return fleet_state::restore(Bytes); });
    if (Restored.index() != 0)
      return "step " + std::to_string(Index) + ": a snapshot is refused";
    Replica.emplace(std::move(std::get<0>(Restored)));
    if (Replica->snapshot() != Bytes)
      return "step " + std::to_string(Index) + ": a restored state differs";
  }
  return std::nullopt;
}

} // namespace

// Guards against races of operators, resends, stale and hostile commands, and
// restarts that break an invariant. Replay one seed with LT_FIRST_SEED=<seed>
// LT_SEEDS=1.
TEST_CASE("random and hostile commands keep the invariants") {
  throwing_invariants Guard;
  auto First = environmentNumber("LT_FIRST_SEED", 1);
  auto Seeds = environmentNumber("LT_SEEDS", 20);
  std::uint64_t Accepted = 0, Refused = 0, Resent = 0;
  for (auto Seed = First; Seed < First + Seeds; ++Seed) {
    state_model Model;
    std::optional<std::string> Violation;
    try {
      Violation = runSeed(Seed, Model);
    } catch (const std::exception &Exception) {
      Violation = Exception.what();
    }
    Accepted += Model.accepted();
    Refused += Model.refused();
    Resent += Model.resent();
    INFO("seed " << Seed << ": " << Violation.value_or(""));
    CHECK(!Violation);
  }
  std::cout << "random fleet commands: seeds " << First << " to "
            << First + Seeds - 1 << ", accepted " << Accepted << ", refused "
            << Refused << ", resent " << Resent << "\n";
}
