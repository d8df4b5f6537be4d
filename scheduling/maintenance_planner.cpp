#include "scheduling/maintenance_planner.h"

#include <algorithm>
#include <array>
#include <unordered_map>

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
// Time until the tasks of an interrupted host are at work elsewhere and the
// budgets of their steps are free again: a long-running task is started again
// within 1 to 2 s, and the host drains before.
constexpr std::int64_t BudgetRoundMs = 3000;

/// A host that is up and not in maintenance.
struct candidate : maintenance_host {
  /// It can begin in time only if it and the others that share a budget with
  /// it begin from now on.
  bool IsCritical = false;
};

bool precedes(const candidate &Left, const candidate &Right) {
  if (Left.IsCritical != Right.IsCritical)
    return Left.IsCritical;
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

/// \returns the time left until maintenance no longer waits for hosts to drain.
std::int64_t remainingMs(const wave_record &Wave, std::int64_t ElapsedMs) {
  return static_cast<std::int64_t>(Wave.DeadlineMs * MaxWaitShare) - ElapsedMs;
}

/// \returns how many hosts must be down or drain at a time from now on.
std::size_t requiredDown(const wave_record &Wave, std::size_t Pending,
                         std::int64_t RemainingMs, std::int64_t MaintenanceMs) {
  if (RemainingMs <= 0)
    return Wave.MaxCount;
  auto WorkMs = static_cast<std::int64_t>(Pending) *
                (MaintenanceMs + DrainMs + ReactionMs);
  return static_cast<std::size_t>((WorkMs + RemainingMs - 1) / RemainingMs);
}

} // namespace

std::string_view toText(maintenance_blocker Blocker) {
  switch (Blocker) {
  case maintenance_blocker::Availability:
    return "availability";
  case maintenance_blocker::Runs:
    return "runs";
  case maintenance_blocker::Slot:
    return "slot";
  case maintenance_blocker::Move:
    return "move";
  case maintenance_blocker::Down:
    return "down";
  case maintenance_blocker::Platform:
    return "platform";
  }
  return "unknown";
}

std::string wave_delay::counts() const {
  std::array<std::size_t, MaintenanceBlockerCount> Counts{};
  for (const auto &Host : Waiting)
    ++Counts[static_cast<std::size_t>(Host.Blocker)];
  std::string Text;
  for (std::size_t Index = 0; Index != Counts.size(); ++Index)
    if (Counts[Index] > 0)
      Text += (Text.empty() ? "" : ",") +
              std::string(toText(static_cast<maintenance_blocker>(Index))) +
              ":" + std::to_string(Counts[Index]);
  return Text;
}

std::string wave_delay::names(std::size_t Limit) const {
  std::string Text;
  for (bool IsSlot : {false, true})
    for (const auto &Host : Waiting) {
      if ((Host.Blocker == maintenance_blocker::Slot) != IsSlot)
        continue;
      if (Limit-- == 0)
        return Text;
      Text += (Text.empty() ? "" : ",") + Host.Name + ":" +
              std::string(toText(Host.Blocker));
    }
  return Text;
}

maintenance_plan planMaintenance(const wave_record &Wave,
                                 std::span<const maintenance_host> Hosts,
                                 std::int64_t ElapsedMs,
                                 std::int64_t MaintenanceMs) {
  maintenance_plan Plan;
  auto Block = [&](const maintenance_host &Host, maintenance_blocker Blocker) {
    Plan.Waiting.push_back({Host.Name, Blocker});
  };
  std::vector<candidate> Waiting;
  std::size_t Down = 0;
  std::size_t Absent = 0; // Moving or down; they come back and wait then.
  auto LeftMs = static_cast<std::int64_t>(Wave.DeadlineMs) - ElapsedMs;
  for (const auto &Host : Hosts) {
    if (Host.IsInMaintenance) {
      ++Down;
      if (!Host.HasBegun)
        Block(Host, Host.MayInterrupt ? maintenance_blocker::Platform
                                      : maintenance_blocker::Availability);
    } else if (Host.IsUp) {
      // One more round for a task that is unavailable for another reason.
      Waiting.push_back(
          {Host, Host.BudgetRounds > 0 &&
                     (Host.BudgetRounds + 1) * BudgetRoundMs >= LeftMs});
    } else {
      ++Absent;
      Block(Host, Host.IsMoving ? maintenance_blocker::Move
                                : maintenance_blocker::Down);
    }
  }
  std::sort(Waiting.begin(), Waiting.end(), precedes);
  std::size_t Slots = Wave.MaxCount > Down ? Wave.MaxCount - Down : 0;
  auto RemainingMs = remainingMs(Wave, ElapsedMs);
  // Busy hosts go down no faster than the deadline requires.
  auto Required =
      requiredDown(Wave, Waiting.size() + Absent, RemainingMs, MaintenanceMs);
  std::size_t BusySlots =
      std::min(Slots, Required > Down ? Required - Down : std::size_t(0));
  bool IsUrgent = RemainingMs <= 0 || Required >= Wave.MaxCount;
  // Hosts whose budgets are used up do not hold up those that could begin.
  std::size_t Cordoned = 0;
  std::size_t BlockedCordoned = 0;
  std::size_t CriticalCordoned = 0;
  std::unordered_map<std::uint32_t, std::size_t> CordonedInGroup;
  for (const auto &Host : Waiting) {
    bool IsEmpty = Host.ShortRuns == 0 && Host.LongRuns == 0;
    if (IsEmpty && Host.IsSurplus && Slots > 0) {
      Plan.Order.push_back(Host.Name);
      --Slots;
      BusySlots = std::min(BusySlots, Slots);
      continue;
    }
    auto &Count = Host.IsCritical     ? CriticalCordoned
                  : Host.MayInterrupt ? Cordoned
                                      : BlockedCordoned;
    auto MaxCount =
        Host.IsCritical ? Slots : BusySlots + (BusySlots > 0 ? CordonAhead : 0);
    // The others of the group would stand idle until the budget is free again.
    bool IsLaterRound = Host.IsCritical && CordonedInGroup[Host.BudgetGroup] >=
                                               Host.HostsPerRound + CordonAhead;
    if (IsLaterRound || Count >= MaxCount) {
      Block(Host, IsLaterRound ? maintenance_blocker::Availability
                               : maintenance_blocker::Slot);
      continue;
    }
    ++Count;
    if (Host.IsCritical)
      ++CordonedInGroup[Host.BudgetGroup];
    bool HasDrained =
        Host.ShortRuns == 0 ||
        (Host.IsCordoned && (IsUrgent || Host.CordonedMs >= DrainMs));
    bool HasSlot = Slots > 0 && (BusySlots > 0 || Host.IsCritical);
    if (Host.MayInterrupt && HasDrained && HasSlot) {
      Plan.Order.push_back(Host.Name);
      --Slots;
      BusySlots -= std::min(BusySlots, std::size_t(1));
      --Count;
      continue;
    }
    Block(Host, !Host.MayInterrupt ? maintenance_blocker::Availability
                : !HasDrained      ? maintenance_blocker::Runs
                                   : maintenance_blocker::Slot);
    if (!Host.IsCordoned)
      Plan.Cordon.push_back(Host.Name);
  }
  return Plan;
}

bool mustStayUp(const wave_record &Wave, std::int64_t ElapsedMs,
                std::int64_t MoveMs) {
  return remainingMs(Wave, ElapsedMs) <= MoveMs + ReactionMs &&
         ElapsedMs < static_cast<std::int64_t>(Wave.DeadlineMs);
}

} // namespace lycheetrestle::scheduling
