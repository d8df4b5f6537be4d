#include "reconciler/reconciler.h"

#include "reconciler/host_steps.h"
#include "reconciler/job_steps.h"
#include "reconciler/lending.h"
#include "reconciler/round.h"
#include "reconciler/wave_steps.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::reconciler {

namespace {

// The pool sizer counts rounds of one second, independent of how often the
// leader plans.
constexpr auto SizingInterval = std::chrono::seconds(1);

} // namespace

struct reconciler::tracking {
  host_tracking Hosts;
  lease_tracking Leases;
};

reconciler::reconciler(reconciler_settings InitialSettings)
    : Settings(InitialSettings), Sizer(InitialSettings.Sizer),
      Tracking(std::make_unique<tracking>()) {}
reconciler::~reconciler() = default;
reconciler::reconciler(reconciler &&) noexcept = default;
reconciler &reconciler::operator=(reconciler &&) noexcept = default;

void reconciler::reset(core::time_point Now) {
  Sizer = capacity::pool_sizer(Settings.Sizer);
  Tracking = std::make_unique<tracking>();
  LastSizing = {};
  StartedAt = Now;
  AnchorMs = 0;
  AnchorAt = Now;
}

std::int64_t reconciler::estimateWallMs(std::int64_t StateMs,
                                        std::int64_t WallMs,
                                        core::time_point Now) {
  auto Elapsed =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now - AnchorAt);
  auto Estimate = std::max({AnchorMs + Elapsed.count(), StateMs, WallMs});
  AnchorMs = Estimate;
  AnchorAt = Now;
  return Estimate;
}

reconciler_output reconciler::plan(
    const fleet::fleet_state &State,
    const std::optional<std::vector<platform::host_report>> &Reports,
    std::span<const entry_status> Entries, core::time_point Now,
    std::int64_t WallMs) {
  round Round(State, Reports ? &*Reports : nullptr, Entries, Settings, Now,
              StartedAt, estimateWallMs(State.timeMs(), WallMs, Now));
  if (!Round.platformReachable()) {
    repeatOrders(Round, Tracking->Hosts);
    return std::move(Round.Output);
  }
  planLosses(Round, Tracking->Hosts);
  planLifeCycle(Round, Tracking->Hosts);
  planGoals(Round);
  if (Now - LastSizing >= SizingInterval) {
    LastSizing = Now;
    planLending(Round, Sizer);
  }
  planWaves(Round);
  planJobs(Round, Tracking->Leases);
  return std::move(Round.Output);
}

} // namespace lycheetrestle::reconciler
