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

// Sizing counts its rounds in seconds, however often the leader plans.
constexpr auto SizingInterval = std::chrono::seconds(1);

} // namespace

struct reconciler::memory {
  host_memory Hosts;
  lease_memory Leases;
};

reconciler::reconciler(reconciler_settings Given)
    : Settings(Given), Sizer(Given.Sizer), Memory(std::make_unique<memory>()) {}
reconciler::~reconciler() = default;
reconciler::reconciler(reconciler &&) noexcept = default;
reconciler &reconciler::operator=(reconciler &&) noexcept = default;

void reconciler::reset(core::time_point Now) {
  Sizer = capacity::pool_sizer(Settings.Sizer);
  Memory = std::make_unique<memory>();
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
    repeatOrders(Round, Memory->Hosts);
    return std::move(Round.Output);
  }
  planLosses(Round, Memory->Hosts);
  planLifeCycle(Round, Memory->Hosts);
  planGoals(Round);
  if (Now - LastSizing >= SizingInterval) {
    LastSizing = Now;
    planLending(Round, Sizer);
  }
  planWaves(Round);
  planJobs(Round, Memory->Leases);
  return std::move(Round.Output);
}

} // namespace lycheetrestle::reconciler
