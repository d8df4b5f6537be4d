#ifndef LYCHEETRESTLE_SCHEDULING_JOB_TOMBSTONES_H
#define LYCHEETRESTLE_SCHEDULING_JOB_TOMBSTONES_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lycheetrestle::scheduling {

/// A cancellation of a job that was unknown.
struct job_tombstone {
  std::string Job;
  std::string Workspace;   ///< Of the caller's key; empty without one.
  std::int64_t TimeMs = 0; ///< Wall time of the newest such cancellation.
  bool operator==(const job_tombstone &) const = default;
};

/// Cancellations of unknown jobs. A gateway may still hold the submission and
/// forward it to the next leader, after the caller was told that there is no
/// such job. Deterministic, as part of the replicated state.
class job_tombstones {
public:
  /// A gateway forwards a submission for 55 s at most. The rest allows for
  /// processes that are suspended meanwhile.
  static constexpr std::int64_t RetentionMs = 120'000;
  /// Bounds the memory of each replica to about 4 MB.
  static constexpr std::size_t MaxTombstones = 20'000;

  /// Records a cancellation, and forgets those older than RetentionMs.
  /// \param TimeMs wall time.
  /// \returns false when there are too many, so that it is not recorded.
  bool add(std::string_view Job, std::string_view Workspace,
           std::int64_t TimeMs);
  /// \param IsShared whether each caller may cancel the job, whatever its
  /// workspace is.
  /// \param TimeMs wall time.
  /// \returns whether the job was cancelled within RetentionMs.
  bool covers(std::string_view Job, std::string_view Workspace, bool IsShared,
              std::int64_t TimeMs) const;
  /// Forgets the cancellations of a job, whose record keeps its state.
  void remove(std::string_view Job);

  bool empty() const { return Tombstones.empty(); }
  std::size_t size() const { return Tombstones.size(); }
  /// \returns the tombstones, by job and workspace.
  std::vector<job_tombstone> list() const;
  /// Adds a tombstone of a snapshot.
  void restore(job_tombstone Tombstone);

private:
  void prune(std::int64_t TimeMs);

  using key = std::pair<std::string, std::string>; ///< Job and workspace.
  std::map<key, std::int64_t> Tombstones;          ///< With the time.
  std::set<std::pair<std::int64_t, key>> ByTime;
};

} // namespace lycheetrestle::scheduling

#endif
