#ifndef LYCHEETRESTLE_SCHEDULING_VERDICT_LOG_H
#define LYCHEETRESTLE_SCHEDULING_VERDICT_LOG_H

#include "core/clock.h"
#include "scheduling/types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace lycheetrestle::scheduling {

/// Why a run was recorded as ended although its endpoint did not list its end.
struct run_verdict {
  std::uint32_t Attempt = 0;
  std::uint32_t Endpoint = 0; ///< Number of the incarnation.
  run_end Outcome = run_end::Lost;
  std::string Reason;
  core::time_point At{};
  /// A start order had no answer, so that it may have been executed later.
  bool HasOpenStart = false;
  core::time_point StartSentAt{}; ///< Of the newest one, or zero.
  /// The endpoint's leases had expired, which ends its runs. An end that it
  /// lists later is from before that, or counts for nothing.
  bool WasLeaseOver = false;
};

/// The newest verdicts of a leader, so that a list which contradicts one can be
/// traced to its evidence. Bounded: the oldest verdicts are forgotten.
class verdict_log {
public:
  void record(const task_key &Task, run_verdict Verdict);
  /// \returns the verdict on this attempt, or null.
  const run_verdict *find(const task_key &Task, std::uint32_t Attempt) const;

  /// About 1 MB. Enough for the runs of 200 endpoints that are lost together.
  static constexpr std::size_t MaxVerdicts = 4096;

private:
  std::unordered_map<task_key, run_verdict, task_key_hash> Verdicts;
  std::deque<task_key> Order; ///< Oldest first.
};

} // namespace lycheetrestle::scheduling

#endif
