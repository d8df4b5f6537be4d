#ifndef LYCHEETRESTLE_SCHEDULING_SCHEDULE_STATE_H
#define LYCHEETRESTLE_SCHEDULING_SCHEDULE_STATE_H

#include "core/failure.h"
#include "core/indexed_map.h"
#include "scheduling/commands.h"
#include "scheduling/crash_backoff.h"
#include "scheduling/job_tombstones.h"
#include "scheduling/pending_job_counter.h"
#include "scheduling/types.h"
#include "workspaces/usage.h"
#include "workspaces/workspace_index.h"

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

/// Progress of one task.
struct task_record {
  std::uint32_t Attempt = 0; ///< Number of the newest run.
  /// Runs that ended as failed. Of the members of a gang that fail in one
  /// attempt, the first one counts.
  std::uint32_t Failures = 0;
  std::uint32_t Endpoint = 0; ///< Incarnation that may run it, or 0.
  bool IsDone = false;
  std::string Checkpoint;     ///< The next run continues from here.
  std::int64_t StartedMs = 0; ///< Wall time of the newest start.
  /// Wall time at which a start order of the newest run was recorded as
  /// unanswered, or at which its incarnation ended while one may have been, or
  /// 0.
  std::int64_t OpenStartMs = 0;
  /// The only start order of the newest run was executed by the incarnation
  /// that it is assigned to, or by a later one with the same id. Recorded for
  /// long-running steps only.
  bool IsStartAnswered = false;
  bool isWaiting() const { return !IsDone && Endpoint == 0; }
};

/// Progress of one step of an occurrence.
struct step_record {
  std::vector<task_record> Tasks;
  std::uint32_t Done = 0; ///< Tasks that are done.
  /// Newest attempt of a gang that counts as failed, or 0.
  std::uint32_t FailedAttempt = 0;
};

/// Progress of one occurrence of a job.
struct occurrence_record {
  std::uint32_t Number = 0;
  std::vector<step_record> Steps;
  std::uint32_t StepsDone = 0;
};

/// An incarnation that crashed while it may have run a task.
struct crash_record {
  std::uint32_t Incarnation = 0; ///< Number of the incarnation.
  std::string EndpointId;
  std::string Host;     ///< Empty when it is not known.
  bool IsAlone = false; ///< No other run could be blamed.
  /// Wall time at which it was recorded; 0 if an earlier version did.
  std::int64_t TimeMs = 0;
  /// Time from the start of the run to the record; unknown from an earlier
  /// version.
  std::int64_t RanMs = SoundRunMs;
  /// Time from the last sign of life of the endpoint to the record, at most
  /// RanMs.
  std::int64_t SilentMs = 0;
};

/// A task that may have crashed endpoints.
struct suspect_record {
  std::uint32_t Occurrence = 0;
  std::uint32_t Step = 0;
  std::uint32_t Index = 0;
  /// Newest run for which a crash was counted. A run counts once, also when it
  /// was transferred to a later incarnation or the proof of the crash came
  /// after the run was recorded as lost.
  std::uint32_t Attempt = 0;
  std::vector<crash_record> Crashes; ///< The newest MaxCrashRecords.
  std::int64_t RanMs = 0; ///< Shortest time from a start to the crash.
  std::uint32_t RackFailures = 0;
  /// Crashes were taken off because another task explains them.
  /// Done once only, so that tasks that crash endpoints together do not clear
  /// each other for ever.
  bool WasExonerated = false;
  bool isSuspect() const { return !Crashes.empty(); }
  /// \returns what the pause after a crash depends on.
  crash_history history() const;
};

/// A crash that was counted against a task.
struct counted_crash {
  task_key Task;
  bool IsBlamed = false; ///< The task explains the crash; see exonerate().
};

/// A run that was recorded as lost while its incarnation may have been alive.
struct lost_run {
  task_key Task;
  std::uint32_t Attempt = 0;
  std::int64_t StartedMs = 0; ///< Wall time.
  std::int64_t EndedMs = 0;   ///< Wall time at which it was recorded as lost.
};

/// A job and its progress.
struct job_record {
  job_spec Spec;
  /// The queue is identified by host name and prefix, because a configuration
  /// may change its name.
  std::string QueueHost;
  std::string QueuePrefix;
  std::string Pool; ///< Pool of the queue, kept after the queue is removed.
  job_state State = job_state::Queued;
  std::int64_t SubmittedMs = 0; ///< Wall time.
  std::int64_t EndedMs = 0;     ///< Wall time.
  std::uint32_t NextOccurrence = 0;
  std::uint32_t OccurrencesDone = 0;
  std::vector<occurrence_record> OpenOccurrences; ///< Not complete.
  std::uint32_t RunsLeft = 0;                     ///< Runs that have not ended.
  std::vector<suspect_record> Suspects; ///< Empty once the job has ended.
  /// Index of the queue in the configuration; not part of a snapshot.
  std::optional<std::uint32_t> QueueNumber;
  /// The queue as it was when a configuration removed it; empty while there is
  /// one, and once the job has ended.
  std::optional<queue_spec> RemovedQueue;
  /// Runs were started, and none has ended otherwise than refused: no task has
  /// begun if none of them is left. False in snapshots of earlier versions.
  bool HasOnlyRefusals = false;
  std::string
      Workspace; ///< Name of the workspace that it counts for, or empty.
  /// It was submitted above the rate of its workspace.
  bool IsOverRate = false;

  /// \returns the total number of occurrences.
  std::uint32_t occurrences() const {
    return Spec.RepeatCount == 0 ? 1 : Spec.RepeatCount;
  }
  /// \returns the occurrence, or null when it is not open.
  const occurrence_record *findOpen(std::uint32_t Occurrence) const;
  occurrence_record *findOpen(std::uint32_t Occurrence);
  /// \returns the record of the task if endpoints crashed under it, or null.
  const suspect_record *findSuspect(const task_key &Task) const;
};

/// One incarnation of an endpoint.
struct endpoint_record {
  std::uint32_t Number = 0; ///< Unique for each incarnation, never 0.
  endpoint_facts Facts;
  std::vector<task_key> Runs; ///< Runs that have not ended.
  std::string Host;           ///< Empty until a list of hosts shows it.
  /// Maintenance of its host was ordered, which explains its end.
  bool IsMaintenanceOrdered = false;
  /// Runs recorded as lost since it was last known to be alive, at most
  /// MaxLostRuns. A later proof of a crash still counts for them.
  std::vector<lost_run> LostRuns;
  bool HasDeregistered = false; ///< It exits, or has done so.
  /// It is kept without its address for runs whose starts a later incarnation
  /// with its id may still execute.
  bool HasEnded = false;
  /// Wall time at which it took the place of an earlier incarnation with its
  /// id, or followed one that had ended lately, or 0. Orders for that one may
  /// give it leases in another clock.
  std::int64_t TookOverMs = 0;
};

/// A maintenance wave and its progress.
struct wave_record {
  std::uint64_t Wave = 0;
  std::vector<std::string> Hosts;
  std::vector<std::string> Ordered; ///< Maintenance may have begun.
  /// Maintenance has begun, or the platform did not know the host for too long.
  std::vector<std::string> Begun;
  std::uint32_t MaxCount = 1;   ///< Hosts under maintenance at the same time.
  std::uint32_t DeadlineMs = 0; ///< Counted from StartedMs.
  std::int64_t StartedMs = 0;   ///< Wall time.
  bool isComplete() const { return Begun.size() >= Hosts.size(); }
};

/// Result of applying a command.
enum class apply_outcome : std::uint8_t {
  Accepted,
  Unchanged, ///< The state already contained it, or something newer.
  NoSuchQueue,
  NoSuchJob,
  Unauthorized, ///< The queue requires a key, and no workspace has this one.
  Forbidden,    ///< The job belongs to another workspace than the key.
  TooMany,      ///< A limit of the state is reached; no effect.
  Stale,        ///< The task, incarnation or wave has changed; no effect.
  /// No correct leader proposes it in this state; no effect. Stopping instead
  /// would stop every replica that replays the entry.
  Invalid,
};

/// What a caller may do with a queue or a job.
enum class caller_access : std::uint8_t {
  Allowed,
  Unauthorized, ///< The queue requires a key, and no workspace has this one.
  Forbidden,    ///< The job belongs to another workspace than the key.
};

/// What the runs of a workspace use that have not ended.
struct workspace_usage {
  workspaces::resource_usage Total;
  /// By the pool of the job.
  std::map<std::string, workspaces::resource_usage, std::less<>> ByPool;
};

/// By name of the workspace.
using usage_map = std::map<std::string, workspace_usage, std::less<>>;

/// \returns what a run of the step counts for its workspace, on all endpoints
/// together. Best-effort tasks count with their cores, too.
workspaces::resource_usage usageOf(const step_spec &Step);

/// Transparent hash: allows a lookup by string view without a copy.
struct text_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view Text) const {
    return std::hash<std::string_view>()(Text);
  }
};

using job_map =
    std::unordered_map<std::string, job_record, text_hash, std::equal_to<>>;

/// The replicated state: configuration, jobs, runs, endpoints and waves.
/// Deterministic: the same commands in the same order give the same state.
class schedule_state {
public:
  /// Applies a committed command.
  /// \param TimeMs wall time of the leader that proposed the command. A time
  /// smaller than that of an earlier command is ignored.
  apply_outcome apply(const command &Command, std::int64_t TimeMs);

  /// \returns the state as CBOR.
  std::string snapshot() const;
  /// \param Bytes bytes that snapshot() returned.
  /// \returns the state, or Corrupt.
  static core::result<schedule_state> restore(std::string_view Bytes);

  /// \returns the wall time of the newest command, or a later one.
  std::int64_t timeMs() const { return TimeMs; }
  const configuration &currentConfiguration() const { return Configuration; }
  /// \returns the queue of the host name whose prefix of the path is the
  /// longest, or null.
  const queue_spec *findQueue(std::string_view HostName,
                              std::string_view Path) const;
  /// \param Job id at the end of the path, or an empty string.
  /// \returns the same queue if only the id follows its prefix, or null.
  const queue_spec *findQueue(std::string_view HostName, std::string_view Path,
                              std::string_view Job) const;
  /// \param Job id at the end of the path.
  /// \returns whether the path is one of a job with the id. Whatever queue it
  /// names, the id alone identifies the job.
  bool namesJob(std::string_view HostName, std::string_view Path,
                std::string_view Job) const;
  /// \returns the queue of a job. After the queue was removed, as it was then:
  /// the job keeps its attempts, its priority and its policy. Null only once
  /// the job has ended, or when a snapshot of an earlier version lacks the
  /// removed queue.
  const queue_spec *queueOf(const job_record &Job) const;
  const pool_spec *findPool(std::string_view Name) const;
  /// \returns the workspace that has the key, or null.
  const workspaces::workspace_spec *
  findWorkspace(std::string_view KeyDigest) const;
  /// \returns the workspace with the name, or null.
  const workspaces::workspace_spec *
  findWorkspaceByName(std::string_view Name) const;
  /// \returns what the runs that have not ended use, by the name of the
  /// workspace of their job; only workspaces with such runs.
  const usage_map &workspaceUsage() const { return WorkspaceUsage; }
  /// \param HostName,Path select the queue.
  /// \param Job the job that the caller names, or null when it names none or
  /// an unknown one.
  /// \returns what the caller with the key may do. A path without a queue
  /// allows everything as long as there is no job.
  caller_access accessOf(std::string_view KeyDigest, std::string_view HostName,
                         std::string_view Path, const job_record *Job) const;
  const job_record *findJob(std::string_view Id) const;
  /// \returns whether a waiting task, or a gang without a run, has failed as
  /// often as the queue of the job allows, so that it never starts again.
  bool hasExhaustedTask(const job_record &Job) const;
  /// \param Queue the queue that the submission names.
  /// \returns the record of a job that is accepted now.
  job_record recordOf(const submit_job &Submit, const queue_spec &Queue) const;
  const job_map &jobs() const { return Jobs; }
  /// \returns time of submission and id of the jobs that have not ended, in
  /// that order.
  const std::set<std::pair<std::int64_t, std::string>> &liveJobs() const {
    return LiveJobs;
  }
  /// \returns those of the live jobs whose occurrences open when they are due.
  const std::set<std::pair<std::int64_t, std::string>> &repeatedJobs() const {
    return RepeatedJobs;
  }
  const core::indexed_map<std::uint32_t, endpoint_record> &endpoints() const {
    return Endpoints;
  }
  /// \returns the incarnation if it is the newest with this id, or null.
  const endpoint_record *findEndpoint(std::string_view Id,
                                      std::uint64_t IncarnationMs) const;
  /// \returns the newest incarnation with this id, or null.
  const endpoint_record *findEndpoint(std::string_view Id) const;
  const std::map<std::uint64_t, wave_record> &waves() const { return Waves; }
  /// \returns whether a queue of the configuration, or one that was removed
  /// while a job of it was live, requires advice.
  bool mayRequireAdvice() const;
  /// \returns the ids of the live jobs with a suspect task.
  const std::set<std::string> &suspectJobs() const { return SuspectJobs; }
  /// \returns the second and later crashes under tasks that the newest command
  /// has counted.
  const std::vector<counted_crash> &newlyCounted() const {
    return NewlyCounted;
  }
  /// \returns the recent crashes that no task explains, and the number of
  /// endpoints of each pool; see explainsCrashes().
  crash_census crashCensus() const;
  /// \returns the ids of the jobs whose runs the newest command has moved to
  /// another incarnation or ended together with one; an id may be repeated. The
  /// job that a command names is not among them.
  const std::vector<std::string> &affectedJobs() const { return AffectedJobs; }
  /// \returns the task, or null when its occurrence is not open.
  const task_record *findTask(const task_key &Task) const;
  /// \returns the number of jobs of the queue of which no task has started.
  /// A job whose endpoints refused all its starts counts.
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
  apply_outcome applyTyped(const record_host &Command);
  apply_outcome applyTyped(const record_contact &Command);
  apply_outcome applyTyped(const record_deregistration &Command);
  apply_outcome applyTyped(const record_open_start &Command);
  apply_outcome applyTyped(const record_answered_start &Command);
  apply_outcome applyTyped(const fail_job &Command);
  /// Counts the crash of an incarnation for the runs that may have caused it.
  /// No job ends because of that: only ends as failed count as attempts.
  void recordCrash(const endpoint_record &Endpoint, const incarnation_end &End);
  void recordLostRun(const end_run &End, const task_record &Task);
  /// \returns the record of the task if the crash was counted, or null.
  suspect_record *countCrash(job_record &Job, const lost_run &Run,
                             const endpoint_record &Endpoint,
                             const incarnation_end &End, bool IsAlone);
  /// Takes the crashes that a task explains off all others, but for members of
  /// its gang.
  void exonerate(const task_key &Blamed,
                 const std::vector<crash_record> &Crashes);
  void forgetSuspect(job_record &Job, const task_key &Task);
  void updateSuspectJob(const job_record &Job);
  bool isSameGang(const task_key &Left, const task_key &Right) const;
  task_record *mutableTask(const task_key &Task);
  void removeRun(job_record &Job, task_record &Task, const task_key &Key);
  void addUsage(const job_record &Job, const step_spec &Step);
  void removeUsage(const job_record &Job, const step_spec &Step);
  /// Computes the usage from all runs that have not ended.
  void rebuildUsage();
  /// \returns whether the end as done belongs to an earlier run of a task that
  /// waits because the run was recorded otherwise.
  bool isUnclaimedDone(const end_run &End) const;
  /// Completes the task of such an end.
  void claimDone(const task_key &Task);
  /// Records that a run of a live job has ended, which shows whether a task of
  /// the job has begun. Counts the job as pending again when all were refused.
  void recordBegin(job_record &Job, run_end Outcome);
  void finishTask(job_record &Job, const task_key &Key);
  /// Marks all tasks of a gang as done when one member reports that it is done.
  void finishGang(job_record &Job, const task_key &Key);
  void finishJob(job_record &Job, job_state State);
  void evictEndedJobs();
  std::uint32_t maxAttempts(const job_record &Job) const;
  /// \param Earlier the configuration that the numbers so far refer to, or null
  /// when no job has one.
  void assignQueueNumbers(const configuration *Earlier);

  std::int64_t TimeMs = 0; ///< Largest time of a command.
  configuration Configuration;
  workspaces::workspace_index Workspaces; ///< Of the configuration.
  usage_map WorkspaceUsage;               ///< Not part of a snapshot.
  job_map Jobs;
  std::set<std::pair<std::int64_t, std::string>> LiveJobs;
  std::set<std::pair<std::int64_t, std::string>> RepeatedJobs;
  pending_job_counter PendingJobs;
  std::set<std::pair<std::int64_t, std::string>> EndedJobs; ///< By end time.
  std::uint32_t LastEndpoint = 0;
  core::indexed_map<std::uint32_t, endpoint_record> Endpoints;
  std::unordered_map<std::string, std::uint32_t, text_hash, std::equal_to<>>
      EndpointNumbers; ///< Newest incarnation by id.
  std::map<std::uint64_t, wave_record> Waves;
  std::set<std::string> AdvisedRemovedJobs; ///< Live, by RemovedQueue.
  std::set<std::string> SuspectJobs;
  std::vector<recent_crash> RecentCrashes; ///< The oldest first.
  job_tombstones Tombstones;
  std::vector<counted_crash> NewlyCounted; ///< Not part of a snapshot.
  std::vector<std::string> AffectedJobs;   ///< Not part of a snapshot.
};

/// Crashes that are kept for a task. The pause after a crash has reached its
/// maximum by then.
inline constexpr std::size_t MaxCrashRecords = 16;
inline constexpr std::size_t MaxLostRuns = 256;

/// How long the state of a job is kept after its end. Callers may query it for
/// 120 s, and their clocks may differ from the leader's by some seconds.
inline constexpr std::int64_t JobRetentionMs = 180'000;
/// Maximum number of ended jobs that are kept; the oldest are evicted first.
/// Bounds their memory to about 40 MB in each replica.
inline constexpr std::size_t MaxEndedJobs = 100'000;

} // namespace lycheetrestle::scheduling

#endif
