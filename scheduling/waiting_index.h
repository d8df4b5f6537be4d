#ifndef LYCHEETRESTLE_SCHEDULING_WAITING_INDEX_H
#define LYCHEETRESTLE_SCHEDULING_WAITING_INDEX_H

#include "scheduling/placer.h"
#include "scheduling/rank_cache.h"
#include "scheduling/schedule_state.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lycheetrestle::scheduling {

/// The waiting steps of each pool by rank, kept between rounds of placement.
///
/// Designed for a leader with ten thousand waiting tasks and room for a few: a
/// round examines the jobs that changed since the round before, those whose
/// rank is due to be computed again, and the steps that it tries to place,
/// instead of all jobs that wait. The order is the one of waitingSteps().
class waiting_index {
public:
  /// A step and what its place in the order depends on. The order does not
  /// follow the pointers in Step, which may refer to a job that has changed.
  struct indexed_step {
    job_rank Rank;
    std::int64_t SubmittedMs = 0;
    std::string Job;
    std::uint32_t Occurrence = 0;
    waiting_step Step;
    bool operator<(const indexed_step &Other) const;
  };
  using step_set = std::set<indexed_step>;

  /// \param State the jobs; must outlive this object.
  /// \param Ranks must outlive this object.
  waiting_index(const schedule_state &State, rank_cache &Ranks)
      : State(State), Ranks(Ranks) {}

  /// Records that a command was applied to the state.
  void recordApplied(const command &Command);
  /// Brings the index up to date. Call it after the commands of this round were
  /// recorded and before the steps are read.
  /// \param NowMs wall time.
  void update(std::int64_t NowMs);

  /// \returns the steps of each pool that has some, as of the last update().
  const std::map<std::string, step_set> &pools() const { return Pools; }
  /// \returns the steps of the jobs as of the last update(), by rank.
  std::vector<waiting_step> stepsOf(const std::set<std::string> &JobIds) const;
  /// \returns how many jobs all calls of update() have examined.
  std::uint64_t examinedJobs() const { return ExaminedJobs; }

private:
  struct job_entry {
    std::string Pool;
    std::vector<step_set::iterator> Steps;
    std::int64_t DueMs = 0; ///< When a rank may change without a command.
  };

  void erase(const std::string &Id);
  void insert(const std::string &Id, std::int64_t NowMs);
  void rebuild(std::int64_t NowMs);

  const schedule_state &State;
  rank_cache &Ranks;
  std::map<std::string, step_set> Pools;              ///< None is empty.
  std::unordered_map<std::string, job_entry> Jobs;    ///< With waiting steps.
  std::set<std::pair<std::int64_t, std::string>> Due; ///< DueMs and job.
  std::set<std::string> Changed; ///< Jobs changed since the last update().
  bool IsStale = true;           ///< Any job may have changed.
  std::int64_t UpdatedMs = 0;
  std::uint64_t ExaminedJobs = 0;
};

} // namespace lycheetrestle::scheduling

#endif
