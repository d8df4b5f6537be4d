#ifndef LYCHEETRESTLE_SCHEDULING_TYPES_H
#define LYCHEETRESTLE_SCHEDULING_TYPES_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lycheetrestle::scheduling {

/// What a task needs, or what an endpoint has.
struct resource_amounts {
  std::uint32_t MilliCores = 0;
  std::uint32_t MemoryMb = 0;
  std::uint32_t Accelerators = 0;
  bool operator==(const resource_amounts &) const = default;
};

/// Advice that a queue's policy asks for before a step may run somewhere.
struct advice_terms {
  std::uint32_t DecisionMs = 0; ///< Fixed part of the adviser's answer time.
  std::uint32_t PerEndpointMs = 0;
  std::uint32_t ValidMs = 0; ///< Life of a ticket.
  bool operator==(const advice_terms &) const = default;
};

/// A queue of jobs, found by host name and the longest matching path prefix.
struct queue_spec {
  std::string Name;
  std::string HostName;
  std::string PathPrefix;
  std::string Pool;
  std::uint32_t Priority = 0; ///< 0 comes first.
  std::uint32_t MaxAttempts = 1;
  std::uint32_t TimeoutMs = 0;
  std::uint32_t TargetLatencyMs = 0;
  /// The objective of a job is this many thousandths of its longest chain of
  /// work, and TargetLatencyMs more.
  std::uint32_t SlackThousandths = 1000;
  std::optional<advice_terms> Advice;
  bool operator==(const queue_spec &) const = default;
};

struct pool_spec {
  std::string Name;
  std::string HealthPath;
  /// Whether its endpoints refuse what does not fit; otherwise only the
  /// scheduler protects them from overload.
  bool EnforcesLimits = true;
  /// Hosts here are off and cost nothing.
  bool IsStandby = false;
  bool operator==(const pool_spec &) const = default;
};

struct configuration {
  std::uint64_t Version = 0;
  std::vector<queue_spec> Queues;
  std::vector<pool_spec> Pools;
  std::string Text; ///< The document as the operator sent it.
  bool operator==(const configuration &) const = default;
};

/// Tasks of one kind within a job.
struct step_spec {
  std::uint32_t Count = 1;
  resource_amounts Size;
  std::uint32_t EstimateMs = 0; ///< Rough.
  std::vector<std::uint32_t> DependsOn;
  bool IsCheckpointable = false;
  bool IsGang = false; ///< All tasks run together or not at all.
  bool PrefersSameRack = false;
  std::string RequiredLabel;
  std::string DataRack;
  std::uint32_t MaxPerEndpoint = 0; ///< 0 means no limit.
  bool AllowsSpeculativeCopies = false;
  bool IsLongRunning = false; ///< Runs until the job is cancelled.
  std::string Image;
  std::uint32_t TargetMs = 0;       ///< Tail latency that its own users expect.
  bool IsBestEffort = false;        ///< Uses what other tasks leave idle.
  std::uint32_t MaxUnavailable = 0; ///< Tasks that planned work may take away.
  bool operator==(const step_spec &) const = default;
};

struct job_spec {
  std::string Id;
  std::string Payload; ///< Passed to every task unchanged.
  std::vector<step_spec> Steps;
  std::uint32_t RepeatCount = 0; ///< 0 means once, at once.
  std::int64_t StartAtMs = 0;    ///< Wall time of occurrence 0.
  std::int64_t IntervalMs = 0;
  bool operator==(const job_spec &) const = default;
};

enum class job_state : std::uint8_t {
  Queued,
  Running,
  Complete,
  Failed,
  Cancelled,
};

/// \returns whether nothing of the job may start any more.
constexpr bool isOver(job_state State) { return State >= job_state::Complete; }

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
  Failed,          ///< Counts as an attempt.
  Stopped,         ///< By an order.
  Expired,         ///< Its lease ran out.
  GangMemberEnded, ///< Another member of the gang ended.
  GangIncomplete,  ///< The other members of the gang did not come.
  Refused,         ///< The endpoint did not start it.
  Lost, ///< The endpoint's life ended, or its lease is over by our clock.
};

/// One life of the program that runs tasks on a host. The same id with a later
/// birth time is another life that knows nothing of the earlier one.
struct endpoint_facts {
  std::string Id;
  std::uint64_t IncarnationMs = 0;
  std::string Address;
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
