#include "scheduling/admission_control.h"

#include <algorithm>

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// Starts are counted in intervals of this length. Shorter ones would take the
// starts of a single batch for a rate.
constexpr core::duration RateInterval = milliseconds(500);
// The rate is the highest one in this time, so that a stall of commits or a
// change of leader does not make a pool look slow.
constexpr core::duration RateWindow = milliseconds(4000);
// A host needs about 1.5 s to move to a pool whose demand has risen.
constexpr core::duration MinBacklogAge = milliseconds(2000);
// Callers that are told to wait for longer than this would miss the time at
// which a peak is over.
constexpr core::duration MaxRetryAfter = std::chrono::seconds(10);

double seconds(core::duration Duration) {
  return std::chrono::duration<double>(Duration).count();
}

core::duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<core::duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

void admission_control::recordStart(const std::string &Pool,
                                    core::time_point Now) {
  auto &Intervals = Pools[Pool].Intervals;
  if (Intervals.empty() || Now - Intervals.back().Begin >= RateInterval)
    Intervals.push_back({Now, 0});
  ++Intervals.back().Starts;
  while (Now - Intervals.front().Begin > RateWindow)
    Intervals.pop_front();
}

void admission_control::recordBacklog(const std::string &Pool, bool HasWaiting,
                                      core::time_point Now) {
  auto &Since = Pools[Pool].WaitingSince;
  if (!HasWaiting)
    Since.reset();
  else if (!Since)
    Since = Now;
}

double admission_control::startsPerS(const pool_record &Pool,
                                     core::time_point Now) {
  std::uint64_t Most = 0;
  for (const auto &Interval : Pool.Intervals)
    if (Now - Interval.Begin <= RateWindow)
      Most = std::max(Most, Interval.Starts);
  return static_cast<double>(Most) / seconds(RateInterval);
}

std::optional<admission_control::refusal>
admission_control::check(const std::string &Pool, const task_backlog &Backlog,
                         std::uint32_t Priority, const wait_limits &Limits,
                         core::time_point Now) const {
  auto Found = Pools.find(Pool);
  if (Found == Pools.end() || !Found->second.WaitingSince ||
      Now - *Found->second.WaitingSince < MinBacklogAge)
    return std::nullopt;
  refusal Refusal;
  for (const auto &[Other, Tasks] : Backlog)
    if (Other <= Priority)
      Refusal.Ahead = {Refusal.Ahead.InTime + Tasks.InTime,
                       Refusal.Ahead.Late + Tasks.Late};
  Refusal.StartsPerS = startsPerS(Found->second, Now);
  if (Refusal.StartsPerS <= 0)
    return std::nullopt;
  auto WaitInTime =
      static_cast<double>(Refusal.Ahead.InTime) / Refusal.StartsPerS;
  auto Wait =
      WaitInTime + static_cast<double>(Refusal.Ahead.Late) / Refusal.StartsPerS;
  if (WaitInTime <= seconds(Limits.InTime) || Wait <= seconds(Limits.OfAnyUse))
    return std::nullopt;
  Refusal.ExpectedWait = fromSeconds(Wait);
  // A job is accepted again as soon as one of the two waits is short enough.
  Refusal.RetryAfter = std::clamp<core::duration>(
      fromSeconds(std::min(WaitInTime - seconds(Limits.InTime),
                           Wait - seconds(Limits.OfAnyUse))),
      std::chrono::seconds(1), MaxRetryAfter);
  return Refusal;
}

} // namespace lycheetrestle::scheduling
