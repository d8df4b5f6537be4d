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

/// Ranks of waiting occurrences, cached between rounds of placement.
///
/// Designed for a backlog of thousands of jobs that is sorted many times a
/// second: the rank of an occurrence is computed again only when one of its
/// tasks is done, or its queue or the durations learned for that have changed.
class rank_cache {
public:
  /// \param Durations learned durations; must outlive this object.
  explicit rank_cache(const duration_models &Durations)
      : Durations(Durations) {}

  /// \param Queue the job's queue, or null when it was removed.
  /// \param NowMs wall time.
  /// \returns the rank as computed by scheduling::rankOf() with the durations
  /// of the newest revision.
  job_rank rankOf(const job_record &Job, const occurrence_record &Occurrence,
                  const queue_spec *Queue, std::int64_t NowMs);
  /// Evicts occurrences whose rank was not requested recently.
  void prune(std::int64_t NowMs);
  /// \returns the number of jobs with cached ranks.
  std::size_t size() const { return Entries.size(); }
  /// \returns the learned durations.
  const duration_models &durations() const { return Durations; }

private:
  /// What a rank depends on beside the job and the durations; a configuration
  /// may change it.
  struct queue_terms {
    std::uint32_t Priority = 0;
    std::uint32_t SlackThousandths = 0;
    std::uint32_t TargetLatencyMs = 0;
    bool HasQueue = false;
    bool operator==(const queue_terms &) const = default;
  };
  static queue_terms termsOf(const queue_spec *Queue);

  struct entry {
    std::uint32_t Occurrence = 0;
    std::uint32_t Done = 0; ///< Tasks done when the rank was computed.
    queue_terms Terms;
    std::uint64_t Revision = 0; ///< Of the queue's model at that time.
    std::int64_t RankedMs = 0;
    std::int64_t UsedMs = 0;
    job_rank Rank;
  };

  const duration_models &Durations;
  std::unordered_map<std::string, std::vector<entry>> Entries; ///< By job.
};

} // namespace lycheetrestle::scheduling

#endif
