#ifndef LYCHEETRESTLE_WORKSPACES_SHARE_POLICY_H
#define LYCHEETRESTLE_WORKSPACES_SHARE_POLICY_H

#include "core/clock.h"
#include "workspaces/usage.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lycheetrestle::workspaces {

/// Whether a workspace uses more of a pool than its weight gives it.
enum class share_level : std::uint8_t { Within, Above };

/// Compares what each workspace has used of one pool, over a window of seconds,
/// with its share by weight among the workspaces that ask for the pool.
///
/// Designed for a full pool in which one workspace asks for several times its
/// share: what it uses above that goes after the work of the others, and is
/// lent to it while they ask for less. A workspace counts as above only beyond
/// its share and a tenth of the pool, because a small one exceeds its exact
/// share with a single job.
class share_policy {
public:
  /// The average use decays with this time constant.
  static constexpr core::duration Window = std::chrono::seconds(5);
  /// A workspace ranks behind the others when its part of the pool's use
  /// exceeds Tolerance times its share plus Slack.
  static constexpr double Tolerance = 1.1;
  static constexpr double Slack = 0.1;

  /// Begins a round: the uses that were recorded before have lasted until now,
  /// and those of this round are still to be recorded.
  void beginRound(core::time_point Now);
  /// Records the use of a workspace from this round on.
  void recordUse(std::string_view Workspace, const resource_usage &Use);
  /// Records that a workspace has work that waits.
  void recordAsking(std::string_view Workspace, std::uint32_t Weight);
  /// Computes the levels of all that ask, after all records of this round.
  void finishRound();
  /// \returns the level of a workspace in this round; Within for one that does
  /// not ask.
  share_level levelOf(std::string_view Workspace) const;
  /// \returns its part of the pool's use over the window, of the resource of
  /// which it uses the largest part, from 0 to 1.
  double dominantShareOf(std::string_view Workspace) const;

private:
  struct average_use {
    double MilliCores = 0;
    double MemoryMb = 0;
    double Accelerators = 0;
  };
  struct entry {
    resource_usage Use;
    average_use Average;
    core::time_point UpdatedAt{};
    std::uint32_t Weight = 0;
    bool IsAsking = false;
    share_level Level = share_level::Within;
  };
  entry &find(std::string_view Workspace);
  static void advance(entry &Entry, core::time_point Now);
  double dominantShareOf(const entry &Entry) const;

  std::map<std::string, entry, std::less<>> Entries;
  average_use Total;
  core::time_point RoundAt{};
};

} // namespace lycheetrestle::workspaces

#endif
