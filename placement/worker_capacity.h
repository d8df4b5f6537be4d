#ifndef LYCHEETRESTLE_PLACEMENT_WORKER_CAPACITY_H
#define LYCHEETRESTLE_PLACEMENT_WORKER_CAPACITY_H

#include "placement/placer.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lycheetrestle::placement {

/// Sum of sizes; wide and signed, because sums may exceed a worker.
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
  bool fitsIn(const resource_vector &Other) const;
};

/// What is reserved on one worker.
struct worker_capacity {
  const worker_view *Worker = nullptr;
  resource_vector
      Free; ///< Negative when usage turned out larger than estimated.
  resource_vector Releasing; ///< Held by jobs that are being checkpointed.
  std::vector<const fleet::job_record *> BatchJobs; ///< That may give way.
  resource_vector Preemptible; ///< Sum of the estimates of BatchJobs.

  /// \returns what is free once the checkpoints are done.
  resource_vector freeAfterCheckpoints() const;
  /// Keeps room for a job that starts once the checkpoints are done.
  void reserveAfterCheckpoints(const resource_vector &Size);
};

/// Capacities of all workers by pool.
class capacity_map {
public:
  explicit capacity_map(std::span<const worker_view> Workers);

  worker_capacity *find(std::string_view Host);
  /// \returns all rooms, in the order of the workers.
  std::vector<worker_capacity> &all() { return Capacities; }
  /// \returns the rooms of a pool, in the order of the workers.
  std::vector<worker_capacity *> &poolCapacities(std::string_view Pool);
  /// \returns whether any worker of the pool, in service or not, has this size.
  bool couldEverFit(std::string_view Pool, const fleet::resources &Size) const;

private:
  std::vector<worker_capacity> Capacities;
  std::unordered_map<std::string_view, worker_capacity *> ByHost;
  std::unordered_map<std::string_view, std::vector<worker_capacity *>> ByPool;
  std::unordered_map<std::string_view, std::vector<fleet::resources>>
      SizesByPool;
};

/// What teams may still start.
class quota_ledger {
public:
  explicit quota_ledger(std::span<const fleet::team_spec> Teams);
  void charge(std::string_view Team, const fleet::resources &Size);
  /// \returns whether the team may start a job of this size now. A team that
  /// is not declared has no quota.
  bool allows(std::string_view Team, const fleet::resources &Size) const;
  /// \returns whether the team may ever start a job of this size.
  bool couldEverAllow(std::string_view Team,
                      const fleet::resources &Size) const;

private:
  struct account {
    resource_vector Total;
    resource_vector Remaining;
  };
  std::unordered_map<std::string_view, account> Accounts;
};

/// \returns whether the job holds its worker.
bool isBound(const fleet::job_record &Job);
/// \returns whether the lease of a bound job and its margin are over.
bool isExpired(const fleet::job_record &Job, std::int64_t NowMs,
               const placer_settings &Settings);

} // namespace lycheetrestle::placement

#endif
