#ifndef LYCHEETRESTLE_FLEET_TYPES_H
#define LYCHEETRESTLE_FLEET_TYPES_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::fleet {

/// Life cycle of a host. Each transition increments the host's epoch by one.
enum class host_state : std::uint8_t {
  InService, ///< Accepts work and counts as available.
  Cordoned,  ///< Entry processes send it no new work.
  Draining,  ///< The platform waits for the work in flight.
  Drained,   ///< No work is left.
  Rebooting,
  Moving,    ///< The platform is moving it to another pool.
  Returning, ///< Up, but not yet reported healthy.
  Failed,    ///< Unplanned loss.
  SetAside,  ///< Quarantined, because the tasks that it starts fail.
};

std::string_view toString(host_state State);
/// \returns the state, or nothing for an unknown name.
std::optional<host_state> parseHostState(std::string_view Name);

/// Priority class of requests and jobs.
enum class work_class : std::uint8_t { Urgent, Normal, Batch };

std::string_view toString(work_class Class);
/// \returns the class, or nothing for an unknown name.
std::optional<work_class> parseWorkClass(std::string_view Name);

/// Resources of a host, a job or a quota.
struct resources {
  std::uint32_t Cores = 0;
  std::uint64_t MemoryMb = 0;
  std::uint32_t Accelerators = 0;
  bool operator==(const resources &) const = default;
};

/// A declared team and the limit on what its running jobs use.
struct team_spec {
  std::string Name;
  resources Quota;
  bool operator==(const team_spec &) const = default;
};

/// Number or share of a pool's hosts that must stay available; exactly one of
/// the two is set.
struct availability_budget {
  std::optional<std::uint32_t> MinAvailableHosts;
  std::optional<std::uint32_t> MinAvailablePercent;
  bool operator==(const availability_budget &) const = default;
  /// \param HomeHosts hosts whose home is the pool.
  /// \returns the smallest allowed number of available hosts; a percentage is
  /// rounded up.
  std::uint32_t minimum(std::uint32_t HomeHosts) const;
};

/// A declared pool.
struct pool_spec {
  std::string Name;
  availability_budget Budget;
  bool Spare = false;    ///< Lends its hosts to the other pools.
  bool AutoSize = false; ///< May borrow hosts from the spare pool.
  bool operator==(const pool_spec &) const = default;
};

/// A declared service with the defaults of its requests.
struct service_spec {
  std::string Name;
  std::string Pool;
  work_class DefaultClass = work_class::Normal;
  std::uint32_t DeadlineMs = 10000;
  bool operator==(const service_spec &) const = default;
};

/// A declared host.
struct host_spec {
  std::string Name;
  std::string HomePool;
  std::string Zone;
  std::string Rack;
  resources Size;
  bool operator==(const host_spec &) const = default;
};

/// Limits on planned work on hosts.
struct maintenance_spec {
  std::uint32_t MaxParallelHosts = 4;
  std::uint32_t PauseAfterFailures = 2; ///< Losses that pause a wave.
  bool operator==(const maintenance_spec &) const = default;
};

/// The desired state of the fleet. An accepted one has passed all checks.
struct declaration {
  std::uint64_t Number = 0;
  std::vector<team_spec> Teams;
  std::vector<pool_spec> Pools;
  std::vector<service_spec> Services;
  std::vector<host_spec> Hosts;
  maintenance_spec Maintenance;
  bool operator==(const declaration &) const = default;
};

/// The operation that an operator or the reconciler requested for a host once
/// it is drained.
enum class host_goal : std::uint8_t { None, Drain, Reboot, Move };

std::string_view toString(host_goal Goal);

/// The replicated record of a host.
struct host_record {
  host_spec Spec;
  std::string Pool; ///< The one pool that the host belongs to now.
  host_state State = host_state::InService;
  std::uint64_t Epoch = 1;
  host_goal Goal = host_goal::None;
  std::string TargetPool; ///< Set when Goal is Move.
  std::uint64_t Wave = 0; ///< Wave that drains the host, or 0.
  /// Last wave that finished with the host, or that was open when the host was
  /// declared and excludes it.
  std::uint64_t LastWave = 0;
  std::uint64_t ChangedIndex = 0; ///< Log index of the last change of State
                                  ///< or Spec.
  std::int64_t ChangedMs = 0; ///< Leader's time of the last change of State.
  /// Goal requested while the host reboots or moves; it becomes Goal when the
  /// host is Returning.
  host_goal NextGoal = host_goal::None;
  std::string NextTargetPool; ///< Set when NextGoal is Move.
  bool operator==(const host_record &) const = default;
};

enum class wave_state : std::uint8_t { Running, Paused, Finished };

std::string_view toString(wave_state State);

/// A maintenance wave, which reboots each of its hosts once.
struct wave_record {
  std::uint64_t Id = 0;
  wave_state State = wave_state::Running;
  /// Hosts at the start, without those removed before they were done.
  std::uint32_t Total = 0;
  std::uint32_t Done = 0; ///< Hosts that returned to service in the wave.
  /// Hosts lost in the wave since its start or last resume.
  std::uint32_t Failures = 0;
  std::string PauseReason;
  std::int64_t StartedMs = 0;
  std::int64_t FinishedMs = 0;
  bool operator==(const wave_record &) const = default;
};

enum class job_state : std::uint8_t {
  Waiting,
  Starting, ///< Committed to a host; the platform has not confirmed it.
  Running,
  Checkpointed, ///< Stopped for more urgent work; starts again later.
  Succeeded,
  Failed,
  Cancelled,
  Impossible, ///< No host could ever run it; Reason says why.
};

std::string_view toString(job_state State);
/// \returns whether a job in this state occupies its host.
bool holdsLease(job_state State);
/// \returns whether a job in this state has stopped. A failed job may be set
/// back to Waiting to run on another host.
bool hasEnded(job_state State);

/// The replicated record of a job.
struct job_record {
  std::uint64_t Id = 0;
  std::string Team;
  std::string Pool;
  work_class Class = work_class::Normal;
  resources Declared;
  resources Learned; ///< From reported usage; zero while unknown.
  std::uint32_t DeclaredRunSeconds = 0;
  job_state State = job_state::Waiting;
  std::string Host;
  std::uint64_t HostEpoch = 0;
  std::uint64_t Lease = 0; ///< Number of the lease, larger for each start.
  /// Expiry by the leader's clock. From then on the job may be set back to
  /// Waiting; placement counts it as running until a margin later.
  std::int64_t LeaseUntilMs = 0;
  std::vector<std::string> FailedOn; ///< Distinct hosts it failed on.
  std::string Reason;
  bool CancelRequested = false;
  std::int64_t SubmittedMs = 0;
  std::uint64_t EndedIndex = 0; ///< Log index at which it ended, or 0.
  bool operator==(const job_record &) const = default;
};

/// \returns the usage assumed for the job: each resource as learned from
/// reports, or as declared while no usage of it is known.
resources effectiveUse(const job_record &Job);

/// An entry of the audit trail.
struct audit_record {
  std::uint64_t Index = 0; ///< Log index of the change.
  std::int64_t TimeMs = 0;
  std::string Actor;
  std::string Kind;   ///< For example `declaration`, `host`, `wave`, `job`.
  std::string Object; ///< Name of the changed object.
  std::string Before;
  std::string After;
  std::string Result; ///< `accepted` or the error code.
  bool operator==(const audit_record &) const = default;
};

} // namespace lycheetrestle::fleet

#endif
