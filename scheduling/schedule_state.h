#ifndef LYCHEETRESTLE_SCHEDULING_SCHEDULE_STATE_H
#define LYCHEETRESTLE_SCHEDULING_SCHEDULE_STATE_H

#include "core/failure.h"
#include "scheduling/commands.h"
#include "scheduling/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lycheetrestle::scheduling {

struct task_record {
  std::uint32_t Attempt = 0; ///< Number of the newest start.
  std::uint32_t Failures = 0;
  std::uint32_t Endpoint = 0; ///< Life that may run it, or 0.
  bool IsDone = false;
  std::string Checkpoint;
  bool isWaiting() const { return !IsDone && Endpoint == 0; }
};

struct step_record {
  std::vector<task_record> Tasks;
  std::uint32_t Done = 0;
};

struct occurrence_record {
  std::uint32_t Number = 0;
  std::vector<step_record> Steps;
  std::uint32_t StepsDone = 0;
};

struct job_record {
  job_spec Spec;
  std::string QueueHost;   ///< Queue by host name and prefix, because a
  std::string QueuePrefix; ///< configuration may rename it.
  std::string Pool;        ///< Pool of the queue when it was last known.
  job_state State = job_state::Queued;
  std::int64_t SubmittedMs = 0;
  std::int64_t EndedMs = 0;
  std::uint32_t NextOccurrence = 0;
  std::uint32_t OccurrencesDone = 0;
  std::vector<occurrence_record> OpenOccurrences; ///< Opened and not complete.
  std::uint32_t RunsLeft = 0;                     ///< Runs that have not ended.
  /// Position of its queue in the configuration; not part of a snapshot.
  std::optional<std::uint32_t> QueueNumber;

  std::uint32_t occurrences() const {
    return Spec.RepeatCount == 0 ? 1 : Spec.RepeatCount;
  }
  const occurrence_record *findOpen(std::uint32_t Occurrence) const;
  occurrence_record *findOpen(std::uint32_t Occurrence);
};

struct endpoint_record {
  std::uint32_t Number = 0;
  endpoint_facts Facts;
  std::vector<task_key> Runs; ///< Runs that have not ended.
};

struct wave_record {
  std::uint64_t Wave = 0;
  std::vector<std::string> Hosts;
  std::vector<std::string> Ordered; ///< Their upkeep may have begun.
  std::vector<std::string> Begun;
  std::uint32_t MaxCount = 1;
  std::uint32_t DeadlineMs = 0;
  std::int64_t StartedMs = 0;
  bool isComplete() const { return Begun.size() >= Hosts.size(); }
};

/// What applying a command gave.
enum class apply_outcome : std::uint8_t {
  Accepted,
  Unchanged, ///< The state held it already, or something newer.
  NoSuchQueue,
  NoSuchJob,
  Stale, ///< The task, life or wave has moved on; nothing changed.
};

/// Hashes text of any kind, so that a view finds a string.
struct text_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view Text) const {
    return std::hash<std::string_view>()(Text);
  }
};

using job_map =
    std::unordered_map<std::string, job_record, text_hash, std::equal_to<>>;

/// The replicated state: configuration, jobs, runs, endpoints and waves. It is
/// deterministic: equal commands in equal order give equal states.
class schedule_state {
public:
  /// \param TimeMs wall time of the leader that proposed the batch.
  apply_outcome apply(const command &Command, std::int64_t TimeMs);

  std::string snapshot() const;
  /// \returns the state, or Corrupt.
  static core::result<schedule_state> restore(std::string_view Bytes);

  const configuration &currentConfiguration() const { return Configuration; }
  /// \returns the queue with the longest prefix of the path, or null.
  const queue_spec *findQueue(std::string_view HostName,
                              std::string_view Path) const;
  /// \returns the queue of a job, or null after its removal.
  const queue_spec *queueOf(const job_record &Job) const;
  const pool_spec *findPool(std::string_view Name) const;
  const job_record *findJob(std::string_view Id) const;
  const job_map &jobs() const { return Jobs; }
  /// \returns jobs that are not over, in the order of their acceptance.
  const std::set<std::pair<std::int64_t, std::string>> &liveJobs() const {
    return LiveJobs;
  }
  const std::map<std::uint32_t, endpoint_record> &endpoints() const {
    return Endpoints;
  }
  const endpoint_record *findEndpoint(std::string_view Id,
                                      std::uint64_t IncarnationMs) const;
  /// \returns the newest life with this id, or null.
  const endpoint_record *findEndpoint(std::string_view Id) const;
  const std::map<std::uint64_t, wave_record> &waves() const { return Waves; }
  const task_record *findTask(const task_key &Task) const;
  /// \returns accepted jobs of the queue for which no task has started.
  std::uint32_t pendingJobs(std::string_view QueueHost,
                            std::string_view QueuePrefix) const;

private:
  apply_outcome applyTyped(const set_configuration &Command);
  apply_outcome applyTyped(const submit_job &Command);
  apply_outcome applyTyped(const cancel_job &Command);
  apply_outcome applyTyped(const open_occurrence &Command);
  apply_outcome applyTyped(const start_run &Command);
  apply_outcome applyTyped(const end_run &Command);
  apply_outcome applyTyped(const record_endpoint &Command);
  apply_outcome applyTyped(const end_endpoint &Command);
  apply_outcome applyTyped(const start_wave &Command);
  apply_outcome applyTyped(const order_maintenance &Command);
  apply_outcome applyTyped(const record_maintenance &Command);
  task_record *mutableTask(const task_key &Task);
  void removeRun(job_record &Job, task_record &Task, const task_key &Key);
  void finishTask(job_record &Job, const task_key &Key);
  void finishGang(job_record &Job, const task_key &Key, std::uint32_t Attempt);
  void finishJob(job_record &Job, job_state State);
  void evictEndedJobs();
  std::uint32_t maxAttempts(const job_record &Job) const;
  void assignQueueNumbers();

  std::int64_t TimeMs = 0; ///< Largest time stamp so far.
  configuration Configuration;
  job_map Jobs;
  std::set<std::pair<std::int64_t, std::string>> LiveJobs;
  std::set<std::pair<std::int64_t, std::string>> EndedJobs; ///< By end time.
  std::uint32_t LastEndpoint = 0;
  std::map<std::uint32_t, endpoint_record> Endpoints;
  std::unordered_map<std::string, std::uint32_t, text_hash, std::equal_to<>>
      EndpointNumbers; ///< Newest life by id.
  std::map<std::uint64_t, wave_record> Waves;
};

/// How long the state of a job is kept after its end. Callers may ask for
/// 120 s and their clocks and the leader's may differ by some seconds.
inline constexpr std::int64_t JobRetentionMs = 180'000;
/// Jobs that are over and kept; the oldest go first. It bounds the memory of a
/// replica to about 40 MB of finished jobs.
inline constexpr std::size_t MaxEndedJobs = 100'000;

} // namespace lycheetrestle::scheduling

#endif
