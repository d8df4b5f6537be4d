#include "reconciler/job_steps.h"

#include "placement/worker_capacity.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace lycheetrestle::reconciler {

namespace {

using fleet::host_record;
using fleet::host_state;
using fleet::job_record;
using fleet::job_state;
using placement::action_kind;
using platform::order_kind;
using platform::task_report;

// A lease is renewed when less than this share of it is left, so that it
// survives two lost rounds.
constexpr double RenewalShare = 0.6;
// The platform's copy of a lease is renewed when it is this far behind.
constexpr std::int64_t MaxRenewalLagMs = 1000;
// Reported usage is recorded only when it has grown by this factor, because
// each record is a command in the log.
constexpr double UsageGrowthFactor = 1.1;

constexpr auto PlacementInterval = std::chrono::seconds(1);

// Returns whether a task reported in this state has ended.
bool hasTaskEnded(job_state State) {
  return State == job_state::Succeeded || State == job_state::Failed ||
         State == job_state::Checkpointed;
}

fleet::resources elementwiseMax(const fleet::resources &Left,
                                const fleet::resources &Right) {
  return {std::max(Left.Cores, Right.Cores),
          std::max(Left.MemoryMb, Right.MemoryMb),
          std::max(Left.Accelerators, Right.Accelerators)};
}

bool hasGrown(const fleet::resources &Recorded,
              const fleet::resources &Reported) {
  return double(Reported.Cores) > double(Recorded.Cores) * UsageGrowthFactor ||
         double(Reported.MemoryMb) >
             double(Recorded.MemoryMb) * UsageGrowthFactor;
}

class job_round {
public:
  job_round(round &Round, lease_tracking &Tracking)
      : Round(Round), Tracking(Tracking) {}

  void run() {
    readReports();
    trackLeases();
    for (const auto &[Id, Job] : Round.State.jobs())
      if (placement::isBound(Job) && Changed.count(Id) == 0)
        maintainLease(Job);
    if (!isPlacementDue())
      return;
    Tracking.LastPlacement = Round.Now;
    place();
  }

private:
  const host_record *findHost(std::string_view Name) const {
    auto Found = Round.State.hosts().find(Name);
    return Found == Round.State.hosts().end() ? nullptr : &Found->second;
  }

  void proposeState(const job_record &Job, job_state To,
                    fleet::resources Learned, std::string Reason) {
    fleet::change_job_state Change;
    Change.Job = Job.Id;
    Change.Lease = Job.Lease;
    Change.To = To;
    Change.Learned = Learned;
    Change.Reason = std::move(Reason);
    Round.Output.Commands.push_back(std::move(Change));
    Changed[Job.Id] = To;
  }

  void orderTask(const host_record &Host, order_kind Kind, std::uint64_t Job,
                 std::uint64_t Lease, std::int64_t LeaseMs = 0,
                 fleet::resources Size = {}) {
    auto &Order = Round.order(Host, Kind);
    Order.Job = Job;
    Order.Lease = Lease;
    Order.LeaseMs = std::uint32_t(std::max<std::int64_t>(0, LeaseMs));
    Order.Size = Size;
  }

  void readReports() {
    for (const auto &[Name, Host] : Round.State.hosts())
      if (const auto *Report = Round.report(Name);
          Report && Report->Condition != platform::host_condition::Down)
        for (const auto &Task : Report->Tasks)
          readTask(Host, Task);
  }

  void readTask(const host_record &Host, const task_report &Task) {
    auto Found = Round.State.jobs().find(Task.Job);
    bool IsCurrent = Found != Round.State.jobs().end() &&
                     Found->second.Lease == Task.Lease &&
                     Found->second.Host == Host.Spec.Name &&
                     placement::isBound(Found->second);
    if (!IsCurrent) {
      // The task runs under an older lease, or its end is already recorded.
      orderTask(Host, order_kind::StopTask, Task.Job, Task.Lease);
      return;
    }
    const auto &Job = Found->second;
    Tasks[Job.Id] = &Task;
    auto LargestUsage = elementwiseMax(Job.Learned, Task.Used);
    ReportedUsage[Job.Id] = LargestUsage;
    if (hasTaskEnded(Task.State)) {
      bool IsCancellation =
          Job.CancelRequested && Task.State == job_state::Checkpointed;
      proposeState(Job, IsCancellation ? job_state::Cancelled : Task.State,
                   LargestUsage, Task.Reason);
    } else if (Job.CancelRequested) {
      orderTask(Host, order_kind::StopTask, Job.Id, Job.Lease);
      StopOrdered.insert(Job.Id);
    } else if (Job.State == job_state::Starting ||
               hasGrown(Job.Learned, Task.Used)) {
      proposeState(Job, job_state::Running, LargestUsage, "");
    }
  }

  void trackLeases() {
    for (auto Entry = Tracking.Observed.begin();
         Entry != Tracking.Observed.end();) {
      auto Job = Round.State.jobs().find(Entry->first);
      bool Bound =
          Job != Round.State.jobs().end() && placement::isBound(Job->second);
      Entry = Bound ? std::next(Entry) : Tracking.Observed.erase(Entry);
    }
    for (const auto &[Id, Job] : Round.State.jobs()) {
      if (!placement::isBound(Job))
        continue;
      auto &Observation = Tracking.Observed[Id];
      if (Observation.Lease != Job.Lease ||
          Observation.LeaseUntilMs != Job.LeaseUntilMs)
        Observation = {Job.Lease, Job.LeaseUntilMs, Round.Now};
    }
  }

  // The wall clocks of two leaders may differ, so a lease counts as expired
  // only when this leader has also observed it without renewal for its full
  // length.
  bool hasObservedExpiry(const job_record &Job) const {
    auto Found = Tracking.Observed.find(Job.Id);
    const auto &Placer = Round.Settings.Placer;
    return Found != Tracking.Observed.end() &&
           Round.Now - Found->second.Since >=
               std::chrono::milliseconds(Placer.LeaseMs + Placer.LeaseMarginMs);
  }

  void maintainLease(const job_record &Job) {
    const auto *Host = findHost(Job.Host);
    if (!Host)
      return;
    auto LeftMs = Job.LeaseUntilMs - Round.NowMs;
    auto Found = Tasks.find(Job.Id);
    if (Found == Tasks.end()) {
      cancelOrResendStart(Job, *Host, LeftMs);
      return;
    }
    if (StopOrdered.count(Job.Id) != 0)
      return;
    if (Host->State == host_state::Draining) {
      orderTask(*Host, order_kind::CheckpointTask, Job.Id, Job.Lease);
      StopOrdered.insert(Job.Id);
    }
    renew(Job, *Host, *Found->second, LeftMs);
  }

  void renew(const job_record &Job, const host_record &Host,
             const task_report &Task, std::int64_t LeftMs) {
    auto LeaseMs = Round.Settings.Placer.LeaseMs;
    if (double(LeftMs) < double(LeaseMs) * RenewalShare)
      Round.Output.Commands.push_back(
          fleet::renew_job_lease{Job.Id, Job.Lease, Round.NowMs + LeaseMs});
    // Only the committed lease time may be granted to the platform.
    if (LeftMs > 0 && std::int64_t(Task.LeaseLeftMs) + MaxRenewalLagMs < LeftMs)
      orderTask(Host, order_kind::RenewTask, Job.Id, Job.Lease, LeftMs);
  }

  // Handles a bound job whose task the platform does not report. Cancels the
  // job if that was requested. Otherwise repeats the start order for the rest
  // of the lease, while the host still has the epoch under which the job was
  // started.
  void cancelOrResendStart(const job_record &Job, const host_record &Host,
                           std::int64_t LeftMs) {
    if (Job.CancelRequested) {
      proposeState(Job, job_state::Cancelled, Job.Learned, "cancelled");
      return;
    }
    if (Job.State == job_state::Starting && LeftMs > 0 &&
        Host.State == host_state::InService && Host.Epoch == Job.HostEpoch &&
        !Round.hasStepped(Job.Host))
      orderTask(Host, order_kind::StartTask, Job.Id, Job.Lease, LeftMs,
                Job.Declared);
  }

  // A placement goes through every job, which takes most of a round with a
  // large fleet. So it runs once per PlacementInterval, and in every round only
  // while an urgent job waits.
  bool isPlacementDue() const {
    if (Round.Now - Tracking.LastPlacement >= PlacementInterval)
      return true;
    const auto &Jobs = Round.State.jobs();
    return std::any_of(Jobs.begin(), Jobs.end(), [](const auto &Entry) {
      const auto &Job = Entry.second;
      return Job.Class == fleet::work_class::Urgent &&
             (Job.State == job_state::Waiting ||
              Job.State == job_state::Checkpointed) &&
             !Job.CancelRequested;
    });
  }

  void place() {
    std::vector<placement::worker_view> Workers;
    for (const auto &[Name, Host] : Round.State.hosts()) {
      const auto *Report = Round.report(Name);
      bool Up = Report && Report->Condition == platform::host_condition::Up;
      bool AcceptsJobs = Host.State == host_state::InService &&
                         Host.Goal == fleet::host_goal::None && Up &&
                         !Round.hasStepped(Name);
      Workers.push_back({Name, Host.Pool, Host.Spec.Zone, Host.Spec.Rack,
                         Host.Spec.Size, Host.Epoch, AcceptsJobs,
                         Host.ChangedMs});
    }
    std::vector<job_record> Jobs;
    Jobs.reserve(Round.State.jobs().size());
    for (const auto &[Id, Job] : Round.State.jobs())
      Jobs.push_back(Job);
    // The states and usage that this round records are committed before its
    // starts, so the placement uses them.
    for (auto &Job : Jobs) {
      if (auto Found = ReportedUsage.find(Job.Id); Found != ReportedUsage.end())
        Job.Learned = Found->second;
      if (auto Found = Changed.find(Job.Id); Found != Changed.end())
        Job.State = Found->second;
    }
    for (const auto &Action : placement::planPlacement(
             Workers, Jobs, Round.State.currentDeclaration().Teams, Round.NowMs,
             Round.Settings.Placer))
      apply(Action);
  }

  void apply(const placement::placement_action &Action) {
    if (Action.Kind == action_kind::SetAside) {
      if (const auto *Host = findHost(Action.Host))
        Round.step(*Host, host_state::SetAside, Action.Reason);
      return;
    }
    auto Found = Round.State.jobs().find(Action.Job);
    if (Found == Round.State.jobs().end() || Changed.count(Action.Job) != 0)
      return;
    const auto &Job = Found->second;
    switch (Action.Kind) {
    case action_kind::Start:
      if (!Round.hasStepped(Action.Host))
        Round.Output.Commands.push_back(
            fleet::start_job{Job.Id, Action.Host, Action.HostEpoch,
                             Round.NowMs + Round.Settings.Placer.LeaseMs});
      return;
    case action_kind::Checkpoint:
    case action_kind::Throttle:
      if (const auto *Host = findHost(Job.Host);
          Host && StopOrdered.insert(Job.Id).second && Tasks.count(Job.Id) != 0)
        orderTask(*Host, order_kind::CheckpointTask, Job.Id, Job.Lease);
      return;
    case action_kind::Impossible:
      proposeState(Job, job_state::Impossible, Job.Learned, Action.Reason);
      return;
    case action_kind::ExpireLease:
      if (hasObservedExpiry(Job))
        proposeState(Job, job_state::Waiting, Job.Learned, Action.Reason);
      return;
    case action_kind::Retry:
      proposeState(Job, job_state::Waiting, Job.Learned, Action.Reason);
      return;
    case action_kind::SetAside:
      return;
    }
  }

  round &Round;
  lease_tracking &Tracking;
  // Reports of the tasks under the current leases, by job.
  std::unordered_map<std::uint64_t, const task_report *> Tasks;
  // Largest usage reported so far, by job.
  std::unordered_map<std::uint64_t, fleet::resources> ReportedUsage;
  // States proposed in this round, by job.
  std::unordered_map<std::uint64_t, fleet::job_state> Changed;
  // Jobs whose tasks are ordered to stop or checkpoint in this round.
  std::unordered_set<std::uint64_t> StopOrdered;
};

} // namespace

void planJobs(round &Round, lease_tracking &Tracking) {
  job_round(Round, Tracking).run();
}

} // namespace lycheetrestle::reconciler
