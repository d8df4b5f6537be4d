#include "reconciler/host_steps.h"

#include <algorithm>

namespace lycheetrestle::reconciler {

namespace {

using fleet::host_goal;
using fleet::host_record;
using fleet::host_state;
using platform::host_condition;
using platform::order_kind;

bool isDown(const round &Round, const host_record &Host) {
  const auto *Report = Round.report(Host.Spec.Name);
  return !Report || Report->Condition == host_condition::Down;
}

// A host that restarts by itself during a drain is up under the epoch of the
// drain order, and the platform does not execute the repeated order again.
bool hasLostDrain(const round &Round, const host_record &Host) {
  const auto *Report = Round.report(Host.Spec.Name);
  return Host.State == host_state::Draining && Report &&
         Report->Epoch == Host.Epoch && Report->Condition == host_condition::Up;
}

bool hasReturnTimedOut(const round &Round, const host_record &Host) {
  if (Host.State != host_state::Rebooting && Host.State != host_state::Moving &&
      Host.State != host_state::Returning && !hasLostDrain(Round, Host))
    return false;
  auto LimitMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                     Round.Settings.ReturnTimeout)
                     .count();
  return Round.NowMs - Host.ChangedMs > LimitMs;
}

bool hasLiveTasks(const platform::host_report &Report) {
  return std::any_of(Report.Tasks.begin(), Report.Tasks.end(),
                     [](const platform::task_report &Task) {
                       return Task.State == fleet::job_state::Running ||
                              Task.State == fleet::job_state::Starting;
                     });
}

// Returns whether no entry sends requests to the host any more. Entries that
// reach a majority of their peers keep serving without control and receive a
// newer view only from a peer that has it. So a silent entry counts as stopped
// only when a majority of the entries has confirmed the change and EntrySilence
// has passed since then.
bool entriesReleasedHost(round &Round, const host_record &Host,
                         host_tracking &Tracking) {
  std::size_t Confirmed = 0;
  bool AllConfirmed = true;
  bool OthersSilent = true;
  for (const auto &Entry : Round.Entries) {
    bool HasConfirmed =
        Entry.HasReported && Entry.ViewIndex >= Host.ChangedIndex;
    auto InFlight = Entry.InFlightByHost.find(Host.Spec.Name);
    bool IsIdle =
        InFlight == Entry.InFlightByHost.end() || InFlight->second == 0;
    Confirmed += HasConfirmed ? 1 : 0;
    if (HasConfirmed && IsIdle)
      continue;
    AllConfirmed = false;
    OthersSilent = OthersSilent && Round.isSilent(Entry);
  }
  if (AllConfirmed)
    return true;
  if (Confirmed * 2 <= Round.Entries.size())
    return false;
  auto &Confirmation = Tracking.ConfirmedSince[Host.Spec.Name];
  if (Confirmation.Epoch != Host.Epoch)
    Confirmation = {Host.Epoch, Round.Now};
  return OthersSilent &&
         Round.Now - Confirmation.Since > Round.Settings.EntrySilence;
}

// Returns whether the platform has executed an order of the host's current
// epoch.
bool isCurrent(const platform::host_report *Report, const host_record &Host) {
  return Report && Report->Epoch == Host.Epoch;
}

bool isFullyDrained(const round &Round, const host_record &Host) {
  const auto *Report = Round.report(Host.Spec.Name);
  return isCurrent(Report, Host) &&
         Report->Condition == host_condition::Drained &&
         !hasLiveTasks(*Report) && !Round.hasBoundJobs(Host.Spec.Name);
}

void planDrained(round &Round, const host_record &Host) {
  switch (Host.Goal) {
  case host_goal::Drain:
    return;
  case host_goal::Reboot:
    Round.step(Host, host_state::Rebooting, "drained");
    return;
  case host_goal::Move:
    // The host stays in its pool while losses hold the pool under its minimum.
    if (Round.available(Host.Pool) >= Round.minimum(Host.Pool))
      Round.step(Host, host_state::Moving, "drained");
    return;
  case host_goal::None:
    Round.step(Host, host_state::Returning, "nothing left to do");
    return;
  }
}

void addOrder(round &Round, const host_record &Host, host_tracking &Tracking) {
  const auto *Report = Round.report(Host.Spec.Name);
  switch (Host.State) {
  case host_state::SetAside:
    if (Host.Goal == host_goal::None || Host.Goal == host_goal::Drain ||
        !entriesReleasedHost(Round, Host, Tracking))
      return;
    [[fallthrough]];
  case host_state::Draining:
    if (!isCurrent(Report, Host) || Report->Condition == host_condition::Up)
      Round.order(Host, order_kind::Drain);
    return;
  case host_state::Rebooting:
    if (!isCurrent(Report, Host) ||
        Report->Condition == host_condition::Drained)
      Round.order(Host, order_kind::Reboot);
    return;
  case host_state::Moving:
    if (!isCurrent(Report, Host) ||
        Report->Condition == host_condition::Drained)
      Round.order(Host, order_kind::Move).TargetPool = Host.TargetPool;
    return;
  case host_state::Returning:
    // A host that was lost during a move may still be in its old pool.
    if (Report && Report->Pool != Host.Pool)
      Round.order(Host, order_kind::Move).TargetPool = Host.Pool;
    else
      Round.order(Host, order_kind::Return);
    return;
  default:
    return;
  }
}

void planNextState(round &Round, const host_record &Host,
                   host_tracking &Tracking) {
  const auto *Report = Round.report(Host.Spec.Name);
  auto Condition = Report ? Report->Condition : host_condition::Down;
  bool IsCurrent = isCurrent(Report, Host);
  switch (Host.State) {
  case host_state::Cordoned:
    if (Host.Goal == host_goal::None)
      Round.step(Host, host_state::Returning, "the goal was withdrawn");
    else if (entriesReleasedHost(Round, Host, Tracking))
      Round.step(Host, host_state::Draining, "no entry uses the host");
    return;
  case host_state::Draining:
    if (Host.Goal == host_goal::None)
      Round.step(Host, host_state::Returning, "the goal was withdrawn");
    else if (isFullyDrained(Round, Host))
      Round.step(Host, host_state::Drained, "no work is left");
    return;
  case host_state::SetAside:
    if (Host.Goal == host_goal::None)
      Round.step(Host, host_state::Returning, "its operator asked for it");
    else if (Host.Goal != host_goal::Drain && isFullyDrained(Round, Host))
      Round.step(Host, host_state::Drained, "no work is left");
    return;
  case host_state::Drained:
    planDrained(Round, Host);
    return;
  case host_state::Rebooting:
    if (IsCurrent && Condition == host_condition::Up)
      Round.step(Host, host_state::Returning, "rebooted");
    return;
  case host_state::Moving:
    if (IsCurrent && Condition == host_condition::Up &&
        Report->Pool == Host.TargetPool)
      Round.step(Host, host_state::Returning, "moved");
    return;
  case host_state::Returning:
    if (IsCurrent && Condition == host_condition::Up &&
        Report->Pool == Host.Pool)
      Round.step(Host, host_state::InService, "up in its pool");
    return;
  case host_state::Failed:
    if (Report && Condition != host_condition::Down &&
        Condition != host_condition::Rebooting)
      Round.step(Host, host_state::Returning, "the platform has it again");
    return;
  case host_state::InService:
    return;
  }
}

} // namespace

void planLosses(round &Round, host_tracking &Tracking) {
  for (const auto &[Name, Host] : Round.State.hosts()) {
    if (!isDown(Round, Host)) {
      Tracking.DownSince.erase(Name);
    } else {
      auto Since =
          Tracking.DownSince.try_emplace(Name, Round.Now).first->second;
      if (Host.State != host_state::Failed &&
          Host.State != host_state::SetAside &&
          Round.Now - Since > Round.Settings.DownBeforeFailed) {
        Round.step(Host, host_state::Failed, "the platform reports it down");
        continue;
      }
      Round.countSuspectedLoss(Host);
    }
    if (hasReturnTimedOut(Round, Host))
      Round.step(Host, host_state::Failed, "its step did not end in time");
  }
}

void planLifeCycle(round &Round, host_tracking &Tracking) {
  for (const auto &[Name, Host] : Round.State.hosts()) {
    if (Host.State == host_state::InService)
      continue;
    if (Host.State != host_state::Cordoned &&
        Host.State != host_state::SetAside)
      Tracking.ConfirmedSince.erase(Name);
    if (Round.hasStepped(Name))
      continue;
    planNextState(Round, Host, Tracking);
    if (!Round.hasStepped(Name))
      addOrder(Round, Host, Tracking);
  }
}

void repeatOrders(round &Round, host_tracking &Tracking) {
  for (const auto &[Name, Host] : Round.State.hosts())
    addOrder(Round, Host, Tracking);
}

void planGoals(round &Round) {
  const auto &Hosts = Round.State.hosts();
  for (const auto &[Name, Host] : Hosts)
    if (Host.State == host_state::InService && Host.Goal != host_goal::None &&
        !Round.hasStepped(Name) && !isDown(Round, Host))
      Round.cordon(Host, Host.Goal, Host.TargetPool, 0, "asked for");
  auto Busy = std::uint32_t(
      std::count_if(Hosts.begin(), Hosts.end(), [](const auto &Entry) {
        return isInTransit(Entry.second);
      }));
  auto Limit = Round.State.currentDeclaration().Maintenance.MaxParallelHosts;
  for (const auto &[Name, Host] : Hosts) {
    if (Busy >= Limit)
      return;
    if (Host.State != host_state::InService || Host.Goal != host_goal::None ||
        Host.Pool == Host.Spec.HomePool || isLent(Round.State, Host) ||
        Round.hasStepped(Name) || isDown(Round, Host))
      continue;
    if (Round.cordon(Host, host_goal::Move, Host.Spec.HomePool, 0,
                     "its declared home is another pool"))
      ++Busy;
  }
}

} // namespace lycheetrestle::reconciler
