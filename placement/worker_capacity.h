#ifndef LYCHEETRESTLE_PLACEMENT_WORKER_CAPACITY_H
#define LYCHEETRESTLE_PLACEMENT_WORKER_CAPACITY_H

#include "placement/placer.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lycheetrestle::placement {

/// Signed sum of resources. It is wider than fleet::resources, because sums may
/// exceed the size of a worker and differences may be negative.
struct resource_vector {
  std::int64_t Cores = 0;
  std::int64_t MemoryMb = 0;
  std::int64_t Accelerators = 0;

  resource_vector() = default;
  explicit resource_vector(const fleet::resources &Size)
      : Cores(Size.Cores), MemoryMb(std::int64_t(Size.MemoryMb)),
        Accelerators(Size.Accelerators) {}
  resource_vector &operator+=(const resource_vector &Other);
  resource_vector &operator-=(const resource_vector &Other);
  /// \returns whether no resource exceeds that of Other.
  bool fitsIn(const resource_vector &Other) const;
};

/// Free, releasing and preemptible resources of one worker.
struct worker_capacity {
  const worker_view *Worker = nullptr;
  /// Negative when the jobs use more than the worker has.
  resource_vector Free;
  resource_vector Releasing; ///< Held by jobs that are being checkpointed.
  /// Batch jobs that may be preempted.
  std::vector<const fleet::job_record *> BatchJobs;
  /// Sum of the resources that are reserved for BatchJobs.
  resource_vector Preemptible;

  /// \returns what is free when the running checkpoints are complete.
  resource_vector freeAfterCheckpoints() const;
  /// Reserves resources for a job that starts when the running checkpoints are
  /// complete: first from Releasing, then from Free.
  void reserveAfterCheckpoints(const resource_vector &Size);
};

/// Capacities of all workers, by host and by pool.
class capacity_map {
public:
  /// \param Workers every worker. They must outlive the map.
  explicit capacity_map(std::span<const worker_view> Workers);

  /// \returns the capacity of the host, or null when it is unknown.
  worker_capacity *find(std::string_view Host);
  /// \returns all capacities, in the order of the workers.
  std::vector<worker_capacity> &all() { return Capacities; }
  /// \returns the capacities of a pool, in the order of the workers.
  std::vector<worker_capacity *> &poolCapacities(std::string_view Pool);
  /// \returns whether any worker of the pool, in service or not, has at least
  /// this size; true for a pool without workers, which may get some later.
  bool couldEverFit(std::string_view Pool, const fleet::resources &Size) const;

private:
  std::vector<worker_capacity> Capacities;
  std::unordered_map<std::string_view, worker_capacity *> ByHost;
  std::unordered_map<std::string_view, std::vector<worker_capacity *>> ByPool;
  std::unordered_map<std::string_view, std::vector<fleet::resources>>
      SizesByPool;
};

/// Remaining quota of each team.
class quota_ledger {
public:
  explicit quota_ledger(std::span<const fleet::team_spec> Teams);
  /// Subtracts the size of a job from the remaining quota of its team. A team
  /// that is not declared is ignored.
  void charge(std::string_view Team, const fleet::resources &Size);
  /// \returns whether the team may start a job of this size now; false for a
  /// team that is not declared.
  bool allows(std::string_view Team, const fleet::resources &Size) const;
  /// \returns whether the team's whole quota is large enough for a job of this
  /// size; false for a team that is not declared.
  bool couldEverAllow(std::string_view Team,
                      const fleet::resources &Size) const;

private:
  struct account {
    resource_vector Total;
    resource_vector Remaining;
  };
  std::unordered_map<std::string_view, account> Accounts;
};

/// \returns whether the job is bound to a worker: starting or running.
bool isBound(const fleet::job_record &Job);
/// \returns whether the lease of a bound job and its margin have passed.
/// \param NowMs wall time.
bool isExpired(const fleet::job_record &Job, std::int64_t NowMs,
               const placer_settings &Settings);

} // namespace lycheetrestle::placement

#endif
