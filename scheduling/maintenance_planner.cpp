#include "scheduling/maintenance_planner.h"

#include <algorithm>

namespace lycheetrestle::scheduling {

namespace {

// Most short tasks end within this time. Interrupting the others costs less
// than keeping a cordoned host idle for longer.
constexpr std::int64_t DrainMs = 1500;
// Time from the order until the host is listed as up, not counting its
// downtime.
constexpr std::int64_t ReactionMs = 600;
// Share of the wave's deadline after which maintenance no longer waits for
// hosts to drain.
constexpr double MaxWaitShare = 0.7;
// Hosts cordoned in addition to those that may go down, so that the next host
// has drained when a slot of the wave becomes free.
constexpr std::size_t CordonAhead = 1;

bool precedes(const maintenance_host &Left, const maintenance_host &Right) {
  if (Left.IsCordoned != Right.IsCordoned)
    return Left.IsCordoned;
  if (Left.IsSurplus != Right.IsSurplus)
    return Left.IsSurplus;
  if (Left.MayInterrupt != Right.MayInterrupt)
    return Left.MayInterrupt;
  if (Left.LongRuns != Right.LongRuns)
    return Left.LongRuns < Right.LongRuns;
  if (Left.ShortRuns != Right.ShortRuns)
    return Left.ShortRuns < Right.ShortRuns;
  return Left.Name < Right.Name;
}

} // namespace

maintenance_plan planMaintenance(const wave_record &Wave,
                                 std::span<const maintenance_host> Hosts,
                                 std::int64_t ElapsedMs,
                                 std::int64_t MaintenanceMs) {
  maintenance_plan Plan;
  std::vector<maintenance_host> Waiting;
  std::size_t Down = 0;
  for (const auto &Host : Hosts) {
    if (Host.IsInMaintenance)
      ++Down;
    else if (Host.IsUp)
      Waiting.push_back(Host);
  }
  std::sort(Waiting.begin(), Waiting.end(), precedes);
  std::size_t Slots = Wave.MaxCount > Down ? Wave.MaxCount - Down : 0;
  auto RemainingMs =
      static_cast<std::int64_t>(Wave.DeadlineMs * MaxWaitShare) - ElapsedMs;
  auto WorkMs = static_cast<std::int64_t>(Waiting.size()) *
                (MaintenanceMs + DrainMs + ReactionMs);
  // Number of hosts that must be down at a time to meet the deadline; busy
  // hosts go down no faster than that.
  std::size_t RequiredDown =
      RemainingMs <= 0
          ? Wave.MaxCount
          : static_cast<std::size_t>((WorkMs + RemainingMs - 1) / RemainingMs);
  std::size_t BusySlots = std::min(
      Slots, RequiredDown > Down ? RequiredDown - Down : std::size_t(0));
  bool IsUrgent = RemainingMs <= 0 || RequiredDown >= Wave.MaxCount;
  std::size_t Cordoned = 0;
  for (const auto &Host : Waiting) {
    bool IsEmpty = Host.ShortRuns == 0 && Host.LongRuns == 0;
    if (IsEmpty && Host.IsSurplus && Slots > 0) {
      Plan.Order.push_back(Host.Name);
      --Slots;
      BusySlots = std::min(BusySlots, Slots);
      continue;
    }
    if (Cordoned >= BusySlots + (BusySlots > 0 ? CordonAhead : 0))
      continue;
    ++Cordoned;
    bool MayStart =
        Host.MayInterrupt &&
        (Host.ShortRuns == 0 ||
         (Host.IsCordoned && (IsUrgent || Host.CordonedMs >= DrainMs)));
    if (MayStart && Slots > 0 && BusySlots > 0) {
      Plan.Order.push_back(Host.Name);
      --Slots;
      --BusySlots;
      continue;
    }
    if (!Host.IsCordoned)
      Plan.Cordon.push_back(Host.Name);
  }
  return Plan;
}

} // namespace lycheetrestle::scheduling
