#ifndef LYCHEETRESTLE_SCHEDULING_RANK_CACHE_H
#define LYCHEETRESTLE_SCHEDULING_RANK_CACHE_H

#include "scheduling/duration_models.h"
#include "scheduling/job_order.h"
#include "scheduling/schedule_state.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace lycheetrestle::scheduling {

/// A rank and the wall time from which on it is computed again.
struct cached_rank {
  job_rank Rank;
  std::int64_t RefreshMs = 0;
};

/// Ranks of waiting occurrences, cached between rounds of placement.
///
/// Designed for a backlog of a thousand jobs that is sorted many times a
/// second: the rank of an occurrence is computed again only when one of its
/// tasks is done, and otherwise twice a second, because the learned durations
/// change slowly.
class rank_cache {
public:
  /// \param Durations learned durations; must outlive this object.
  explicit rank_cache(const duration_models &Durations)
      : Durations(Durations) {}

  /// \param Queue the job's queue, or null when it was removed.
  /// \param NowMs wall time.
  /// \returns the rank as computed by scheduling::rankOf() with the durations
  /// learned up to half a second ago.
  job_rank rankOf(const job_record &Job, const occurrence_record &Occurrence,
                  const queue_spec *Queue, std::int64_t NowMs) {
    return find(Job, Occurrence, Queue, NowMs).Rank;
  }
  /// \returns the result of rankOf() and how long it holds, while no task of
  /// the occurrence is done.
  cached_rank find(const job_record &Job, const occurrence_record &Occurrence,
                   const queue_spec *Queue, std::int64_t NowMs);
  /// Evicts occurrences whose rank was not requested recently.
  void prune(std::int64_t NowMs);
  /// \returns the number of jobs with cached ranks.
  std::size_t size() const { return Entries.size(); }

private:
  struct entry {
    std::uint32_t Occurrence = 0;
    std::uint32_t Done = 0; ///< Tasks done when the rank was computed.
    std::int64_t RankedMs = 0;
    std::int64_t UsedMs = 0;
    job_rank Rank;
  };

  const duration_models &Durations;
  std::unordered_map<std::string, std::vector<entry>> Entries; ///< By job.
};

} // namespace lycheetrestle::scheduling

#endif
