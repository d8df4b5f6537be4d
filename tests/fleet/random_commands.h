#ifndef LYCHEETRESTLE_TESTS_FLEET_RANDOM_COMMANDS_H
#define LYCHEETRESTLE_TESTS_FLEET_RANDOM_COMMANDS_H

#include "fleet/commands.h"
#include "fleet/fleet_state.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace lycheetrestle::fleet {

/// Generates random commands: mostly valid ones, some that are stale or
/// hostile, declarations with equal numbers from several operators, and
/// resends.
class random_commands {
public:
  explicit random_commands(std::uint64_t Seed)
      : Random(Seed), HasLongSteps(Seed % 4 == 0) {}

  command next(const fleet_state &State);
  /// \returns a number below the limit.
  std::uint64_t below(std::uint64_t Limit) { return Random() % Limit; }

private:
  /// \returns true with the given probability.
  bool chance(unsigned Percent) { return below(100) < Percent; }
  template <typename Map> const auto &randomElement(const Map &Items) {
    return *std::next(Items.begin(),
                      static_cast<std::ptrdiff_t>(below(Items.size())));
  }
  std::string randomPool();
  std::string randomHost(const fleet_state &State);
  std::uint64_t randomJob(const fleet_state &State);
  /// \returns the value, or with a probability of 7 % a wrong one.
  std::uint64_t maybeWrong(std::uint64_t Value);
  declaration randomDeclaration(const fleet_state &State);
  command_body randomHostChange(const fleet_state &State);
  command_body randomJobCommand(const fleet_state &State);
  command_body randomKeyCommand();
  command_body randomBody(const fleet_state &State);

  std::mt19937_64 Random;
  bool HasLongSteps = false;
  std::int64_t TimeMs = 1'000'000;
  std::uint64_t Submissions = 0;
  std::vector<command> Sent;
};

} // namespace lycheetrestle::fleet

#endif
