#ifndef LYCHEETRESTLE_SCHEDULING_WAITING_INDEX_H
#define LYCHEETRESTLE_SCHEDULING_WAITING_INDEX_H

#include "scheduling/placer.h"
#include "scheduling/rank_cache.h"
#include "scheduling/schedule_state.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lycheetrestle::scheduling {

/// Cores that the live jobs of a pool use or wait for, in thousandths.
struct pool_demand {
  std::int64_t LongMilliCores = 0; ///< Of long-running tasks.
  /// Of other tasks. Waiting ones count by their expected duration, and not at
  /// all once their job is late.
  std::int64_t ShortMilliCores = 0;
  pool_demand &operator+=(const pool_demand &Other);
  pool_demand &operator-=(const pool_demand &Other);
  bool operator==(const pool_demand &) const = default;
};

/// The waiting steps of each pool by rank, and the demand of each pool, kept
/// between rounds of placement.
///
/// Designed for a leader with tens of thousands of waiting tasks and room for a
/// few: a round examines the jobs that changed since the round before, those
/// that have become late, and the steps that it tries to place, instead of all
/// jobs that wait. When learned durations change, the waiting jobs are examined
/// in slices over the next rounds. The order is the one of waitingSteps().
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
  /// \returns the demand of each pool that has had some, as of the last
  /// update().
  const std::map<std::string, pool_demand> &demand() const { return Demand; }
  /// \returns how many jobs all calls of update() have examined.
  std::uint64_t examinedJobs() const { return ExaminedJobs; }

private:
  struct job_entry {
    std::string Pool;
    std::vector<step_set::iterator> Steps;
    std::int64_t DueMs = 0; ///< When a rank may change without a command.
    pool_demand Demand;
  };

  void erase(const std::string &Id);
  void insert(const std::string &Id, std::int64_t NowMs);
  void rebuild(std::int64_t NowMs);
  /// Adds the next slice of the jobs whose ranks were computed with durations
  /// of an earlier revision to the changed ones.
  void collectOutdated();
  /// \param Rank rank of the occurrence, if a step of it waits.
  pool_demand demandOf(const job_record &Job,
                       const occurrence_record &Occurrence,
                       const std::optional<job_rank> &Rank) const;

  const schedule_state &State;
  rank_cache &Ranks;
  std::map<std::string, step_set> Pools; ///< None is empty.
  /// With waiting steps or demand.
  std::unordered_map<std::string, job_entry> Jobs;
  std::map<std::string, pool_demand> Demand;          ///< By pool.
  std::set<std::pair<std::int64_t, std::string>> Due; ///< DueMs and job.
  std::set<std::string> Changed; ///< Jobs changed since the last update().
  std::uint64_t Revision = 0;    ///< Of the durations behind the ranks.
  /// Jobs whose ranks may be of an earlier revision.
  std::vector<std::string> Outdated;
  bool IsStale = true; ///< Any job may have changed.
  std::int64_t UpdatedMs = 0;
  std::uint64_t ExaminedJobs = 0;
};

} // namespace lycheetrestle::scheduling

#endif
