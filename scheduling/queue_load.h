#ifndef LYCHEETRESTLE_SCHEDULING_QUEUE_LOAD_H
#define LYCHEETRESTLE_SCHEDULING_QUEUE_LOAD_H

#include "scheduling/duration_models.h"
#include "scheduling/schedule_state.h"
#include "scheduling/waiting_index.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lycheetrestle::scheduling {

/// Size of a job relative to the newer jobs of its queue.
enum class job_size : std::uint8_t {
  Small,
  NextFifth,   ///< The fifth below the largest tenth.
  LargestTenth ///< The tenth with the most work.
};
inline constexpr std::size_t JobSizes = 3;

/// Classifies the jobs of one queue by their work.
class job_size_classifier {
public:
  /// Adds a job to those that the next ones are compared with.
  /// \param Work in core-seconds.
  void record(double Work);
  job_size classify(double Work) const;

private:
  void update();

  std::vector<double> Newest; ///< Work of the newest jobs.
  std::size_t Next = 0;       ///< Index that the next job overwrites.
  std::size_t SinceUpdate = 0;
  double LargestTenthFrom = std::numeric_limits<double>::infinity();
  double NextFifthFrom = std::numeric_limits<double>::infinity();
};

/// A count for each job_size.
struct size_counts {
  std::array<std::uint64_t, JobSizes> BySize{};
  void add(job_size Size, std::uint64_t Amount = 1) {
    BySize[static_cast<std::size_t>(Size)] += Amount;
  }
  std::uint64_t total() const;
  /// \returns the counts from small to large, separated by slashes.
  std::string text() const;
};

/// Jobs of one queue within an interval.
struct queue_load {
  std::string Pool;
  size_counts AcceptedJobs;
  size_counts StartedTasks;
  size_counts CompletedJobs;
  size_counts WaitingTasks; ///< At the end of the interval.
  std::int64_t OldestWaitMs = 0;
};

/// Counts what each queue was offered and what its jobs got, by their size, so
/// that a log shows whether jobs wait for hosts, for the scheduler or behind
/// other jobs. Jobs with long-running steps are not counted.
class queue_load_counter {
public:
  /// Host name and path prefix of a queue.
  using queue_key = std::pair<std::string, std::string>;

  /// \param Durations learned durations; must outlive this object.
  explicit queue_load_counter(const duration_models &Durations)
      : Durations(Durations) {}

  void recordAccepted(const job_record &Job);
  void recordStart(const job_record &Job);
  void recordCompleted(const job_record &Job);
  /// \param NowMs wall time.
  /// \returns the queues with jobs since the previous call, or with waiting
  /// ones.
  std::map<queue_key, queue_load> take(const waiting_index &Waiting,
                                       std::int64_t NowMs);

private:
  /// \returns the queue's counts, or null when the job is not counted.
  queue_load *find(const job_record &Job);
  job_size sizeOf(const job_record &Job) const;
  double workOf(const job_record &Job) const;

  const duration_models &Durations;
  std::map<queue_key, job_size_classifier> Classifiers;
  std::map<queue_key, queue_load> Loads; ///< Since the last take().
};

} // namespace lycheetrestle::scheduling

#endif
