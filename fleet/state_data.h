#ifndef LYCHEETRESTLE_FLEET_STATE_DATA_H
#define LYCHEETRESTLE_FLEET_STATE_DATA_H

#include "fleet/audit_trail.h"
#include "fleet/change.h"
#include "fleet/key_table.h"
#include "fleet/submission_table.h"
#include "fleet/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace lycheetrestle::fleet {

/// A sum of the resources of many jobs, in 64 bits to prevent overflow.
struct resource_sum {
  std::uint64_t Cores = 0;
  std::uint64_t MemoryMb = 0;
  std::uint64_t Accelerators = 0;
  void add(const resources &Use);
  void subtract(const resources &Use);
  /// \returns whether the sum plus one more use stays within the limit.
  bool fitsWith(const resources &Use, const resources &Limit) const;
  bool operator==(const resource_sum &) const = default;
};

/// A declared pool with its counters.
struct pool_entry {
  availability_budget Budget;
  std::uint32_t Hosts = 0;
  std::uint32_t HomeHosts = 0;
  std::uint32_t Available = 0;
  std::uint32_t Targets = 0; ///< Requested moves to this pool.
  std::uint32_t minimum() const { return Budget.minimum(HomeHosts); }
};

/// A team with its quota and usage.
struct team_entry {
  resources Quota;
  bool Declared = false; ///< False while only running jobs refer to it.
  resource_sum Use;      ///< Of the team's jobs that hold a lease.
};

/// Jobs that hold a lease on a host.
struct host_load {
  std::set<std::uint64_t> Jobs;
  resource_sum Use;
};

/// An accepted declaration. Old entries lose their body first; the rest is kept
/// for longer.
struct declaration_entry {
  std::string Submission;
  std::string Actor;
  std::uint64_t Index = 0;
  std::int64_t TimeMs = 0;
  std::shared_ptr<const declaration> Body;
};

template <typename Value>
using name_map = std::map<std::string, Value, std::less<>>;

/// The data of the state machine. The members from Pools on are derived from
/// those before, so that no command iterates over all jobs, and only
/// submit_declaration and finish_wave iterate over all hosts.
struct state_data {
  std::uint64_t AppliedIndex = 0;
  std::int64_t TimeMs = 0; ///< Largest command time so far.
  /// Sum of the increments of TimeMs, each limited to one minute. Keys expire
  /// by it, so that a leader whose clock is far ahead cannot expire them early.
  std::int64_t KeyClockMs = 0;
  std::uint64_t ViewIndex = 0;
  std::uint64_t DeclarationIndex = 0;
  std::shared_ptr<const declaration> Current =
      std::make_shared<const declaration>();
  std::map<std::uint64_t, declaration_entry> History;
  name_map<host_record> Hosts;
  std::map<std::uint64_t, wave_record> Waves;
  std::map<std::uint64_t, job_record> Jobs;
  std::uint64_t NextWave = 1;
  std::uint64_t NextJob = 1;
  /// Largest epoch of any removed host. New hosts start above it, so that a
  /// name that is declared again never repeats an epoch.
  std::uint64_t RetiredEpoch = 0;
  key_table Keys;
  submission_table Submissions;
  audit_trail Audit;

  name_map<pool_entry> Pools;
  name_map<team_entry> Teams;
  name_map<host_load> Loads; ///< Only hosts with jobs.
  std::size_t LeasedJobs = 0;
  /// Ended jobs by the log index of their end; the oldest are dropped first.
  std::set<std::pair<std::uint64_t, std::uint64_t>> EndedJobs;
  std::uint64_t OpenWave = 0; ///< The wave that is not finished, or 0.

  /// Adds a host to or subtracts it from the counters of its pools.
  void countHost(const host_record &Host);
  void uncountHost(const host_record &Host);
  /// Adds a job to or removes it from the counters of its team and host and the
  /// set of ended jobs.
  void countJob(const job_record &Job);
  void uncountJob(const job_record &Job);
  bool hasJobs(std::string_view Host) const;
  /// Replaces pools and teams by those of the current declaration; the counters
  /// of those that stay are kept.
  void indexDeclaration();

  /// Changes a host through a function and updates the counters.
  template <typename Callable>
  void changeHost(host_record &Host, Callable &&Function) {
    uncountHost(Host);
    Function(Host);
    countHost(Host);
  }
  /// Changes a job through a function and updates the counters.
  template <typename Callable>
  void changeJob(job_record &Job, Callable &&Function) {
    uncountJob(Job);
    Function(Job);
    countJob(Job);
  }
};

} // namespace lycheetrestle::fleet

#endif
