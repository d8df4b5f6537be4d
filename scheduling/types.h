#ifndef LYCHEETRESTLE_SCHEDULING_TYPES_H
#define LYCHEETRESTLE_SCHEDULING_TYPES_H

#include "core/network_address.h"
#include "workspaces/workspace.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lycheetrestle::scheduling {

/// Resources that a task requires, or the capacity of an endpoint.
struct resource_amounts {
  std::uint32_t MilliCores = 0; ///< Thousandths of a core.
  std::uint32_t MemoryMb = 0;
  std::uint32_t Accelerators = 0;
  /// \returns whether Room holds at least these amounts.
  bool fitsIn(const resource_amounts &Room) const {
    return MilliCores <= Room.MilliCores && MemoryMb <= Room.MemoryMb &&
           Accelerators <= Room.Accelerators;
  }
  bool operator==(const resource_amounts &) const = default;
};

/// Policy of a queue that requires advice on which endpoints may run a step,
/// before the step may run on them.
struct advice_terms {
  std::uint32_t DecisionMs = 0; ///< Fixed part of the adviser's response time.
  std::uint32_t PerEndpointMs = 0; ///< Added for each endpoint of a request.
  std::uint32_t ValidMs = 0;       ///< Time until a ticket expires.
  bool operator==(const advice_terms &) const = default;
};

/// A queue of jobs. Requests select it by host name and the longest matching
/// path prefix.
struct queue_spec {
  std::string Name;
  std::string HostName;
  std::string PathPrefix;
  std::string Pool;
  std::uint32_t Priority = 0; ///< 0 is the highest priority.
  std::uint32_t MaxAttempts = 1;
  std::uint32_t TimeoutMs = 0;
  std::uint32_t TargetLatencyMs = 0;
  /// The latency objective of a job is the duration of its longest chain of
  /// steps times this many thousandths, plus TargetLatencyMs.
  std::uint32_t SlackThousandths = 1000;
  std::optional<advice_terms> Advice;
  bool IsPublic = false; ///< Its callers need no key.
  bool operator==(const queue_spec &) const = default;
};

/// A pool of hosts.
struct pool_spec {
  std::string Name;
  std::string HealthPath;
  /// Whether its endpoints reject a run that exceeds their capacity; otherwise
  /// only the scheduler protects them from overload.
  bool EnforcesLimits = true;
  /// Whether its hosts are powered off and cost nothing.
  bool IsStandby = false;
  bool operator==(const pool_spec &) const = default;
};

/// The operator's configuration of queues and pools.
struct configuration {
  std::uint64_t Version = 0;
  std::vector<queue_spec> Queues;
  std::vector<pool_spec> Pools;
  std::vector<workspaces::workspace_spec> Workspaces;
  /// Whether callers of queues that are not public need a key of a workspace.
  bool RequiresKeys = false;
  std::string Text; ///< The unchanged document of the operator.
  bool operator==(const configuration &) const = default;
};

/// Tasks of one kind within a job.
struct step_spec {
  std::uint32_t Count = 1;
  resource_amounts Size;
  std::uint32_t EstimateMs = 0; ///< Caller's rough estimate of the duration.
  std::vector<std::uint32_t> DependsOn; ///< Numbers of earlier steps.
  bool IsCheckpointable = false;
  bool IsGang = false; ///< All tasks run at the same time or none does.
  bool PrefersSameRack = false;
  std::string RequiredLabel; ///< Label that the endpoint must have, or empty.
  std::string DataRack;      ///< Rack that holds the input data, or empty.
  std::uint32_t MaxPerEndpoint = 0; ///< 0 means no limit.
  bool AllowsSpeculativeCopies = false;
  bool IsLongRunning = false; ///< Runs until the job is cancelled.
  std::string Image;
  std::uint32_t TargetMs = 0; ///< Target of its tail latency, or 0.
  bool IsBestEffort = false;  ///< Runs on capacity that others leave idle.
  /// Tasks that planned work may make unavailable at the same time.
  std::uint32_t MaxUnavailable = 0;
  bool operator==(const step_spec &) const = default;
};

/// A job as it was submitted.
struct job_spec {
  std::string Id;
  std::string Payload; ///< Passed to every task unchanged.
  std::vector<step_spec> Steps;
  std::uint32_t RepeatCount = 0; ///< 0 means once, immediately.
  std::int64_t StartAtMs = 0;    ///< Wall time of occurrence 0.
  std::int64_t IntervalMs = 0;   ///< Between two occurrences.
  bool operator==(const job_spec &) const = default;
};

enum class job_state : std::uint8_t {
  Queued,
  Running,
  Complete,
  Failed,
  Cancelled,
};

/// \returns whether the job has ended, so that none of its tasks may start.
constexpr bool isOver(job_state State) { return State >= job_state::Complete; }

/// Identifies a task.
struct task_key {
  std::string Job;
  std::uint32_t Occurrence = 0;
  std::uint32_t Step = 0;
  std::uint32_t Index = 0;
  // clang-tidy 14 reports a variable inside the generated function.
  // NOLINTNEXTLINE(readability-identifier-naming)
  auto operator<=>(const task_key &) const = default;
};

struct task_key_hash {
  std::size_t operator()(const task_key &Key) const {
    auto Numbers = (std::size_t(Key.Occurrence) << 40) ^
                   (std::size_t(Key.Step) << 24) ^ Key.Index;
    return std::hash<std::string>()(Key.Job) ^
           (Numbers * 0x9e3779b97f4a7c15); // Spreads small numbers.
  }
};

/// How a run of a task ended.
enum class run_end : std::uint8_t {
  Done,
  Failed,          ///< The only end that counts towards MaxAttempts.
  Stopped,         ///< Stopped by an order.
  Expired,         ///< Its lease ran out.
  GangMemberEnded, ///< Another member of the gang ended.
  GangIncomplete,  ///< The other members of the gang did not start in time.
  Refused,         ///< The endpoint rejected the start.
  Lost, ///< The incarnation ended, or the lease expired by the leader's clock.
};

/// Why an incarnation of an endpoint ended.
enum class end_cause : std::uint8_t {
  Unknown, ///< Not decided; also that of entries of earlier versions.
  Planned, ///< It drained, deregistered, or an order to its host ended it.
  Crashed, ///< Its host is down, or has a later incarnation, without an order.
  /// It crashed together with most of its rack, which says nothing about the
  /// tasks that it ran.
  FailedWithRack,
};

/// A run that has been at work for this long is not blamed for the crash of its
/// endpoint. The tasks that were seen to crash endpoints did so within tens of
/// milliseconds; without a limit a long-running task would collect the crashes
/// of its hosts over weeks.
inline constexpr std::int64_t SoundRunMs = 10'000;

/// One incarnation of the program that runs tasks on a host. The same id with a
/// later IncarnationMs is a new incarnation without the state of the earlier
/// one.
struct endpoint_facts {
  std::string Id;
  std::uint64_t IncarnationMs = 0; ///< Wall time at which the program started.
  /// Empty only in records of earlier versions, which did not check it. Such an
  /// incarnation is never used.
  std::optional<core::network_address> Address;
  std::string Pool;
  std::string Zone;
  resource_amounts Capacity;
  std::vector<std::string> Labels;
  std::string Rack; ///< One of the labels, or empty.
  bool IsDraining = false;
  bool operator==(const endpoint_facts &) const = default;
};

} // namespace lycheetrestle::scheduling

#endif
