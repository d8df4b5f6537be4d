#ifndef LYCHEETRESTLE_SCHEDULING_WAITING_INDEX_H
#define LYCHEETRESTLE_SCHEDULING_WAITING_INDEX_H

#include "admission/admission.h"
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
  /// What decides which endpoints have room for a step.
  struct request_class {
    std::string RequiredLabel; ///< Or empty.
    std::string Workspace;     ///< Of the job, or empty.
    bool IsLongRunning = false;
    /// Whether a step has further conditions, so that it may have no place
    /// although an endpoint has room: a limit per endpoint, a gang, or a queue
    /// with advice.
    bool IsConstrained = false;
    /// The amounts of each step without all but their leading bits.
    resource_amounts Size;
    bool operator<(const request_class &Other) const;
  };
  struct rank_less {
    bool operator()(const indexed_step *Left, const indexed_step *Right) const {
      return *Left < *Right;
    }
  };
  /// Steps of one class.
  class class_steps {
  public:
    using rank_set = std::set<const indexed_step *, rank_less>;
    const rank_set &byRank() const { return Steps; }
    /// \returns the least of each amount of the steps. There must be one.
    resource_amounts leastSize() const;
    /// \param Size amounts of the step.
    /// \returns its place, for erase().
    rank_set::iterator insert(const indexed_step &Step,
                              const resource_amounts &Size);
    void erase(rank_set::iterator Step, const resource_amounts &Size);

  private:
    using amount_counts = std::map<std::uint32_t, std::size_t>;
    rank_set Steps;
    amount_counts MilliCores;
    amount_counts MemoryMb;
    amount_counts Accelerators;
  };
  using class_map = std::map<request_class, class_steps>;

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
  /// \returns the steps of pools() by what they ask for. None is empty.
  const std::map<std::string, class_map> &classes() const { return Classes; }
  /// \returns the steps of the jobs as of the last update(), by rank.
  std::vector<waiting_step> stepsOf(const std::set<std::string> &JobIds) const;
  /// \returns the demand of each pool that has had some, as of the last
  /// update().
  const std::map<std::string, pool_demand> &demand() const { return Demand; }
  /// \returns the work that is committed in each pool that has had some, as of
  /// the last update().
  const std::map<std::string, admission::committed_work> &committed() const {
    return Committed;
  }
  /// \returns how many jobs all calls of update() have examined.
  std::uint64_t examinedJobs() const { return ExaminedJobs; }

private:
  /// Where a step is among those that ask for the same.
  struct class_place {
    class_map::iterator Class;
    class_steps::rank_set::iterator Step;
    resource_amounts Size;
  };
  struct job_entry {
    std::string Pool;
    std::vector<step_set::iterator> Steps;
    std::vector<class_place> Classes; ///< Of each of the steps.
    std::int64_t DueMs = 0; ///< When a rank may change without a command.
    pool_demand Demand;
    admission::committed_work Committed;
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
  /// Adds the work of the occurrence that is not done.
  /// \param Rank rank of the occurrence, if a step of it waits.
  void addCommitted(admission::committed_work &Committed, const job_record &Job,
                    const occurrence_record &Occurrence,
                    const std::optional<job_rank> &Rank) const;
  request_class classOf(const job_record &Job, const step_spec &Step) const;

  const schedule_state &State;
  rank_cache &Ranks;
  std::map<std::string, step_set> Pools; ///< None is empty.
  std::map<std::string, class_map> Classes;
  /// With waiting steps or demand.
  std::unordered_map<std::string, job_entry> Jobs;
  std::map<std::string, pool_demand> Demand;                  ///< By pool.
  std::map<std::string, admission::committed_work> Committed; ///< By pool.
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
