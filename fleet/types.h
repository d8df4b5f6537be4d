#ifndef LYCHEETRESTLE_FLEET_TYPES_H
#define LYCHEETRESTLE_FLEET_TYPES_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::fleet {

/// Life cycle of a host. Each change of state raises the host's epoch by one.
enum class host_state : std::uint8_t {
  InService, ///< Takes work and counts as available.
  Cordoned,  ///< Entries are told to send nothing new.
  Draining,  ///< The platform lets the work in flight finish.
  Drained,   ///< No work is left.
  Rebooting,
  Moving,    ///< Changes its pool.
  Returning, ///< Up again, not yet reported healthy.
  Failed,    ///< Lost without a plan.
  SetAside,  ///< Fails everything that it starts.
};

std::string_view toString(host_state State);
std::optional<host_state> parseHostState(std::string_view Name);

/// How a service's requests and jobs are ordered.
enum class work_class : std::uint8_t { Urgent, Normal, Batch };

std::string_view toString(work_class Class);
std::optional<work_class> parseWorkClass(std::string_view Name);

struct resources {
  std::uint32_t Cores = 0;
  std::uint64_t MemoryMb = 0;
  std::uint32_t Accelerators = 0;
  bool operator==(const resources &) const = default;
};

struct team_spec {
  std::string Name;
  resources Quota;
  bool operator==(const team_spec &) const = default;
};

/// Hosts that must stay available; exactly one of the two is set.
struct availability_budget {
  std::optional<std::uint32_t> MinAvailableHosts;
  std::optional<std::uint32_t> MinAvailablePercent;
  bool operator==(const availability_budget &) const = default;
  /// \param HomeHosts hosts whose home is the pool.
  /// \returns the smallest allowed number of available hosts; a percentage is
  /// rounded up.
  std::uint32_t minimum(std::uint32_t HomeHosts) const;
};

struct pool_spec {
  std::string Name;
  availability_budget Budget;
  bool Spare = false;    ///< Lends its hosts to the other pools.
  bool AutoSize = false; ///< May borrow hosts from the spare pool.
  bool operator==(const pool_spec &) const = default;
};

struct service_spec {
  std::string Name;
  std::string Pool;
  work_class DefaultClass = work_class::Normal;
  std::uint32_t DeadlineMs = 10000;
  bool operator==(const service_spec &) const = default;
};

struct host_spec {
  std::string Name;
  std::string HomePool;
  std::string Zone;
  std::string Rack;
  resources Size;
  bool operator==(const host_spec &) const = default;
};

struct maintenance_spec {
  std::uint32_t MaxParallelHosts = 4;
  std::uint32_t PauseAfterFailures = 2;
  bool operator==(const maintenance_spec &) const = default;
};

/// A declaration that passed all checks.
struct declaration {
  std::uint64_t Number = 0;
  std::vector<team_spec> Teams;
  std::vector<pool_spec> Pools;
  std::vector<service_spec> Services;
  std::vector<host_spec> Hosts;
  maintenance_spec Maintenance;
  bool operator==(const declaration &) const = default;
};

/// What an operator or the reconciler wants done with a host once it is
/// drained.
enum class host_goal : std::uint8_t { None, Drain, Reboot, Move };

std::string_view toString(host_goal Goal);

/// A host as the replicated state knows it.
struct host_record {
  host_spec Spec;
  std::string Pool; ///< The one pool that the host belongs to now.
  host_state State = host_state::InService;
  std::uint64_t Epoch = 1;
  host_goal Goal = host_goal::None;
  std::string TargetPool;         ///< Set when Goal is Move.
  std::uint64_t Wave = 0;         ///< Wave that drains the host, or 0.
  std::uint64_t LastWave = 0;     ///< Last wave that finished with the host.
  std::uint64_t ChangedIndex = 0; ///< Log index of the last change.
  std::int64_t ChangedMs = 0;     ///< Leader's stamp of the last change.
  /// Goal requested while the host reboots or moves; it becomes Goal when the
  /// host is Returning.
  host_goal NextGoal = host_goal::None;
  std::string NextTargetPool; ///< Set when NextGoal is Move.
  bool operator==(const host_record &) const = default;
};

enum class wave_state : std::uint8_t { Running, Paused, Finished };

std::string_view toString(wave_state State);

struct wave_record {
  std::uint64_t Id = 0;
  wave_state State = wave_state::Running;
  std::uint32_t Total = 0;
  std::uint32_t Done = 0;
  std::uint32_t Failures = 0; ///< Since the start or the last resume.
  std::string PauseReason;
  std::int64_t StartedMs = 0;
  std::int64_t FinishedMs = 0;
  bool operator==(const wave_record &) const = default;
};

enum class job_state : std::uint8_t {
  Waiting,
  Starting, ///< Committed to a worker; the platform has not confirmed.
  Running,
  Checkpointed, ///< Stopped for more urgent work; starts again later.
  Succeeded,
  Failed,
  Cancelled,
  Impossible, ///< No worker could ever run it; Reason says why.
};

std::string_view toString(job_state State);
/// \returns whether a job in this state occupies its worker.
bool holdsLease(job_state State);
/// \returns whether a job in this state does nothing more by itself. A failed
/// job may be set back to Waiting for another worker.
bool hasEnded(job_state State);

struct job_record {
  std::uint64_t Id = 0;
  std::string Team;
  std::string Pool;
  work_class Class = work_class::Normal;
  resources Declared;
  resources Learned; ///< From reported usage; zero until known.
  std::uint32_t DeclaredRunSeconds = 0;
  job_state State = job_state::Waiting;
  std::string Host;
  std::uint64_t HostEpoch = 0;
  std::uint64_t Lease = 0;           ///< Number of the lease; grows.
  std::int64_t LeaseUntilMs = 0;     ///< Leader's stamp; live until margin.
  std::vector<std::string> FailedOn; ///< Distinct hosts.
  std::string Reason;
  bool CancelRequested = false;
  std::int64_t SubmittedMs = 0;
  std::uint64_t EndedIndex = 0; ///< Log index at which it ended, or 0.
  bool operator==(const job_record &) const = default;
};

/// \returns what the job is assumed to use: each resource as learnt, or as
/// declared while nothing was learnt of it.
resources effectiveUse(const job_record &Job);

/// One line of the audit trail.
struct audit_record {
  std::uint64_t Index = 0; ///< Log index of the change.
  std::int64_t TimeMs = 0;
  std::string Actor;
  std::string Kind;   ///< For example `declaration`, `host`, `wave`, `job`.
  std::string Object; ///< Name of what changed.
  std::string Before;
  std::string After;
  std::string Result; ///< `accepted` or the error code.
  bool operator==(const audit_record &) const = default;
};

} // namespace lycheetrestle::fleet

#endif
