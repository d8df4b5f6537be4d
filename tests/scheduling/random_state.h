#ifndef LYCHEETRESTLE_TESTS_SCHEDULING_RANDOM_STATE_H
#define LYCHEETRESTLE_TESTS_SCHEDULING_RANDOM_STATE_H

#include "scheduling/schedule_state.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lycheetrestle::scheduling::test {

/// A state that random commands change: jobs of several queues and pools with
/// one and with several occurrences, starts, ends and crashes of runs, ends of
/// endpoints, cancellations and configurations.
class random_state {
public:
  explicit random_state(std::uint64_t Seed);
  /// Applies one command.
  /// \returns the command.
  command change();

  schedule_state State;
  std::int64_t NowMs = 1000;

private:
  command next();
  command submit();
  command configure();
  command startRun();
  command endRun();
  command endEndpoint();
  command recordEndpoint();
  std::uint32_t draw(std::uint32_t Limit);
  /// \returns a task of a live job for which the predicate holds.
  template <typename Predicate>
  std::optional<task_key> findTask(Predicate &&IsWanted);

  std::mt19937_64 Random;
  int Jobs = 0;
  std::uint64_t Version = 1;
  std::uint64_t Incarnation = 1;
};

} // namespace lycheetrestle::scheduling::test

#endif
