#ifndef LYCHEETRESTLE_SCHEDULING_SCHEDULER_SETTINGS_H
#define LYCHEETRESTLE_SCHEDULING_SCHEDULER_SETTINGS_H

#include "core/clock.h"
#include "core/common_settings.h"
#include "core/failure.h"
#include "http/limit_settings.h"
#include "scheduling/leader.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::scheduling {

/// Largest body of a request to a scheduler, in bytes: a configuration.
inline constexpr std::size_t MaxBodyBytes = std::size_t(4) << 20u;
/// Memory of the machines that run schedulers, in MiB.
inline constexpr std::size_t DefaultMemoryMb = 384;

/// Settings of a process with the role `scheduler`.
struct scheduler_settings {
  std::string Name;    ///< For logs, and as the lease holder at the platform.
  std::string Address; ///< IP address, which is also the name of the replica.
  core::socket_address Listen;
  core::socket_address Metrics;   ///< Port 0 disables the metrics server.
  std::uint16_t LinkPort = 0;     ///< The same at every scheduler.
  std::vector<std::string> Seeds; ///< IP addresses of schedulers.
  /// First start of the whole system: the seeds create the cluster.
  bool IsFounding = false;
  /// Empty on a host without a disk: the scheduler never votes, owns or
  /// acknowledges anything.
  std::string DataFolder;
  std::string Zone; ///< Availability zone; empty: not known.
  /// Number of schedulers that may lose their disks at the same time.
  std::size_t ToleratedLosses = 1;
  /// Differs between any two starts of the process.
  std::uint64_t StartNonce = 0;
  std::optional<core::network_address> PlatformAddress;
  std::optional<core::network_address> AdviserAddress;
  core::log_settings Log;
  /// Limits of the process, of which its HTTP connections use a part.
  http::process_limits Limits{DefaultMemoryMb, http::DefaultDescriptors};
  leader_settings Leader;
  /// Number of endpoints up to which the leader calls all of them itself; with
  /// more, all calls are delegated. The leader can send about 600 orders a
  /// second with a third of a core, as many as 60 endpoints of 64 cores receive
  /// at peak load.
  std::size_t OwnEndpoints = 60;
  /// Longest duration of a clean stop; the process then exits at once.
  core::duration StopGrace = std::chrono::milliseconds(4000);

  /// Interval of the leader's heartbeats to its followers.
  core::duration Heartbeat = std::chrono::milliseconds(50);
  core::duration ElectionTimeout = std::chrono::milliseconds(600);
  /// Applied entries between two snapshots.
  std::uint64_t SnapshotEveryEntries = 4000;
  /// Applied commands between two snapshots, whichever limit is reached first.
  /// A restarted scheduler replays that many in a third of a second at a third
  /// of a core.
  std::size_t SnapshotEveryCommands = 50'000;
  /// Bytes of applied entries between two snapshots. One entry may hold a
  /// configuration of 4 MiB, so that the other limits do not bound the log.
  std::uint64_t SnapshotEveryBytes = 32u << 20;
  /// Space for the data folder; 0: not known.
  std::uint64_t DiskBytes = 0;

  /// \returns the bytes of applied entries after which a snapshot is due. The
  /// log, the snapshot and the next one share half of the disk.
  std::uint64_t snapshotBytes() const {
    constexpr std::uint64_t LogPart = 6;
    return DiskBytes == 0 ? SnapshotEveryBytes
                          : std::min(SnapshotEveryBytes, DiskBytes / LogPart);
  }
  /// \returns the size at which the log starts a new file. Files are removed as
  /// a whole after a snapshot, so that a larger one would hold what the
  /// snapshot replaces.
  std::uint64_t segmentBytes() const {
    constexpr std::uint64_t DefaultBytes = 8u << 20;
    constexpr std::uint64_t SegmentPart = 16;
    return DiskBytes == 0 ? DefaultBytes
                          : std::min(DefaultBytes, DiskBytes / SegmentPart);
  }
  /// \returns the size of the stored files above which configurations and jobs
  /// are refused: the rest is for the next snapshot and for what the leader
  /// decides on the jobs that it has.
  std::uint64_t maxStoredBytes() const { return DiskBytes / 4 * 3; }
  /// \returns the bytes that remain beside the stored files and the next
  /// snapshot for changes that are not refused.
  std::uint64_t reservedBytes() const { return DiskBytes / 8; }

  /// \returns the number of voters to reach: with 2f + 1 voters every
  /// acknowledged change is on at least f + 1 disks. Never fewer than three,
  /// because schedulers are also suspended and restarted one at a time where no
  /// loss is tolerated.
  std::size_t wantedVoters() const {
    return std::max<std::size_t>(3, 2 * ToleratedLosses + 1);
  }
};

/// \param Text the settings file, JSON with comments.
/// \returns the settings, or BadInput with the invalid field.
core::result<scheduler_settings> parseSchedulerSettings(std::string_view Text);

} // namespace lycheetrestle::scheduling

#endif
