#ifndef LYCHEETRESTLE_RECONCILER_RECONCILER_H
#define LYCHEETRESTLE_RECONCILER_RECONCILER_H

#include "capacity/pool_sizer.h"
#include "core/clock.h"
#include "fleet/fleet_state.h"
#include "placement/placer.h"
#include "platform/types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lycheetrestle::reconciler {

/// Last report of an entry to the leader.
struct entry_status {
  std::string Name;
  std::uint64_t ViewIndex = 0; ///< fleet_state::viewIndex() of its view.
  core::time_point LastReportAt{};
  bool HasReported = false; ///< False until the first report.
  std::map<std::string, std::uint32_t> InFlightByHost; ///< Requests.
  std::map<std::string, double> DemandByService;       ///< Requests a second.
  std::map<std::string, std::uint32_t> QueuedByService;
  std::map<std::string, std::uint32_t> BusySlotsByService;
};

/// Timeouts and settings of the planners.
struct reconciler_settings {
  /// An entry that has not reported for this long refuses requests by itself.
  core::duration EntrySilence = std::chrono::milliseconds(3500);
  /// A host that the platform reports Down or not at all for this long counts
  /// as failed.
  core::duration DownBeforeFailed = std::chrono::seconds(5);
  /// A host whose reboot, move or return takes longer counts as failed, and so
  /// does a host that lost its drain by a restart.
  core::duration ReturnTimeout = std::chrono::minutes(10);
  /// Converts slots in use and queued requests to hosts for pool sizing.
  std::uint32_t SlotsPerHost = 8;
  capacity::sizer_settings Sizer;
  placement::placer_settings Placer;
};

/// Result of one round.
struct reconciler_output {
  std::vector<fleet::command_body> Commands; ///< To propose as actor `system`.
  std::vector<platform::order> Orders; ///< Idempotent; repeated until executed.
};

/// The leader's control loop: compares the replicated state with the reports of
/// the platform and the entries, and decides the next steps. It has no other
/// inputs; the observations that it holds between rounds are rebuilt by a new
/// leader within a few rounds.
class reconciler {
public:
  explicit reconciler(reconciler_settings Settings);
  ~reconciler();
  reconciler(reconciler &&) noexcept;
  reconciler &operator=(reconciler &&) noexcept;
  /// Discards the observations of an earlier leadership. Call it when this
  /// replica becomes leader.
  void reset(core::time_point Now);
  /// Plans one round.
  /// \param State the state, applied up to the commit index.
  /// \param Reports the platform's last report, or nothing when it is
  /// unreachable.
  /// \param Entries every configured entry.
  /// \param Now the time of the round.
  /// \param WallMs the leader's wall time, from which leases are counted. When
  /// it is 0 the time is derived from the last committed command and Now; after
  /// a change of leader that is behind until the next command.
  reconciler_output
  plan(const fleet::fleet_state &State,
       const std::optional<std::vector<platform::host_report>> &Reports,
       std::span<const entry_status> Entries, core::time_point Now,
       std::int64_t WallMs = 0);

private:
  struct tracking;
  /// \returns the latest of StateMs, WallMs and the previous estimate advanced
  /// by the time since.
  std::int64_t estimateWallMs(std::int64_t StateMs, std::int64_t WallMs,
                              core::time_point Now);

  reconciler_settings Settings;
  capacity::pool_sizer Sizer;
  std::unique_ptr<tracking> Tracking;
  core::time_point LastSizing{};
  core::time_point StartedAt{}; ///< Start of this leadership.
  std::int64_t AnchorMs = 0;    ///< Wall time estimated at AnchorAt.
  core::time_point AnchorAt{};
};

} // namespace lycheetrestle::reconciler

#endif
