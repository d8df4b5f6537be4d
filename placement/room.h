#ifndef LYCHEETRESTLE_PLACEMENT_ROOM_H
#define LYCHEETRESTLE_PLACEMENT_ROOM_H

#include "placement/placer.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lycheetrestle::placement {

/// Sum of sizes; wide and signed, because sums may exceed a worker.
struct amount {
  std::int64_t Cores = 0;
  std::int64_t MemoryMb = 0;
  std::int64_t Accelerators = 0;

  amount() = default;
  explicit amount(const fleet::resources &Size)
      : Cores(Size.Cores), MemoryMb(std::int64_t(Size.MemoryMb)),
        Accelerators(Size.Accelerators) {}
  amount &operator+=(const amount &Other);
  amount &operator-=(const amount &Other);
  bool fitsIn(const amount &Other) const;
};

/// What is reserved on one worker.
struct worker_room {
  const worker_view *Worker = nullptr;
  amount Free;   ///< Negative when usage turned out larger than estimated.
  amount Coming; ///< Held by jobs that are being checkpointed.
  std::vector<const fleet::job_record *> BatchJobs; ///< That may give way.
  amount Preemptible; ///< Sum of the estimates of BatchJobs.

  /// \returns what is free once the checkpoints are done.
  amount freeSoon() const;
  /// Keeps room for a job that starts once the checkpoints are done.
  void hold(const amount &Size);
};

/// Rooms of all workers by pool.
class room_map {
public:
  explicit room_map(std::span<const worker_view> Workers);

  worker_room *find(std::string_view Host);
  /// \returns all rooms, in the order of the workers.
  std::vector<worker_room> &all() { return Rooms; }
  /// \returns the rooms of a pool, in the order of the workers.
  std::vector<worker_room *> &poolRooms(std::string_view Pool);
  /// \returns whether any worker of the pool, in service or not, has this size.
  bool couldEverFit(std::string_view Pool, const fleet::resources &Size) const;

private:
  std::vector<worker_room> Rooms;
  std::unordered_map<std::string_view, worker_room *> ByHost;
  std::unordered_map<std::string_view, std::vector<worker_room *>> ByPool;
  std::unordered_map<std::string_view, std::vector<fleet::resources>>
      SizesByPool;
};

/// What teams may still start.
class quota_book {
public:
  explicit quota_book(std::span<const fleet::team_spec> Teams);
  void charge(std::string_view Team, const fleet::resources &Size);
  /// \returns whether the team may start a job of this size now. A team that
  /// is not declared has no quota.
  bool allows(std::string_view Team, const fleet::resources &Size) const;
  /// \returns whether the team may ever start a job of this size.
  bool couldEverAllow(std::string_view Team,
                      const fleet::resources &Size) const;

private:
  struct account {
    amount Total;
    amount Left;
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
