#include "scheduling/leader.h"

#include "core/event_log.h"
#include "scheduling/job_order.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// Heartbeat intervals without a heartbeat or an answer after which an endpoint
// gets no new work. A single heartbeat may be lost or late; two in a row
// indicate a fault.
constexpr int MaxSilentIntervals = 3;
// An endpoint without runs is removed after this time without a heartbeat or an
// answer.
constexpr core::duration SilentEndpointRetention = std::chrono::seconds(30);
// An endpoint that obeys a higher fencing token is recorded again after this
// time. A later leader has deposed this one by then, so that the token came
// from an order for another incarnation or from another writer.
constexpr core::duration FencedEndpointRetention = std::chrono::seconds(5);
// Limit of starts in one log entry; keeps an entry below 64 KB.
constexpr std::size_t MaxStartsPerBatch = 400;
// Limit of unanswered start orders. It bounds the queueing time of an order in
// this process to a fraction of the order's timeout: load beyond the send rate
// of one process lowers the rate of starts instead of making all of them time
// out. At 1,200 starts per second and 20 ms per answer about 25 are pending.
constexpr std::size_t MaxPendingOwnStarts = 256;
// The same when delegates send them. Each way of an order and of its answer
// waits for a batch, so that at full load a start is committed after about 40
// ms and answered 60 ms later; the limit must not be what bounds the rate then.
constexpr std::size_t MaxPendingDelegatedStarts = 512;
// Ranks depend on the time, so placement also runs without an event.
constexpr core::duration PlacementInterval = milliseconds(100);
// Events within this time share a round of placement, because a round over a
// large backlog is expensive. Short compared to the latency objectives of jobs.
constexpr core::duration MinPlacementInterval = milliseconds(15);
constexpr core::duration LostCheckInterval = milliseconds(20);
// How late an endpoint that has become able to accept runs gets its first one.
// A pass over a thousand endpoints takes half a millisecond.
constexpr core::duration CandidateInterval = milliseconds(50);
constexpr core::duration PruneInterval = std::chrono::seconds(2);
// Interval of lists of hosts while runs wait for a lease: a list may prove the
// end of their endpoint earlier. The platform charges for calls, and an
// endpoint that is only out of reach costs as many lists as its lease has
// seconds.
constexpr core::duration ProofListInterval = std::chrono::seconds(1);
// The same while an endpoint that deregistered has runs.
constexpr core::duration DepartureListInterval = milliseconds(400);
constexpr core::duration TickInterval = milliseconds(20);
// Limits of the open occurrences of one job; occurrences beyond them wait until
// an earlier one ends. A job whose interval is 0, or whose start lies far in
// the past, would otherwise open one every 20 ms until each replica has no
// memory left. The number of tasks is the limit of one submission.
constexpr std::size_t MaxOpenOccurrences = 256;
constexpr std::uint64_t MaxOpenTasks = 10'000;
// Bits of an order id below the fencing token: enough for three years of one
// leadership at 10,000 orders per second.
constexpr unsigned OrderBits = 40;

bool mayOpenOccurrence(const job_record &Job) {
  std::uint64_t Tasks = 0;
  for (const auto &Step : Job.Spec.Steps)
    Tasks += Step.Count;
  auto Open = Job.OpenOccurrences.size();
  return Open == 0 ||
         (Open < MaxOpenOccurrences && (Open + 1) * Tasks <= MaxOpenTasks);
}

// A suspect waits for an empty endpoint, which another host would not provide
// sooner.
bool isSuspectTask(const job_record &Job, const task_key &Key) {
  const auto *Suspect = Job.findSuspect(Key);
  return Suspect && Suspect->isSuspect();
}

} // namespace

leader::leader(leader_settings Settings, std::uint64_t Fence,
               const schedule_state &State, core::metrics_registry &Metrics,
               core::time_point Now)
    : Settings(Settings), Fence(Fence), State(State), Metrics(Metrics),
      StartedAt(Now), LastOrder(Fence << OrderBits) {
  restoreRuns(Now);
}

tracked_endpoint &leader::trackEndpoint(std::uint32_t Endpoint,
                                        core::time_point Now) {
  auto [Found, IsNew] = TrackedEndpoints.emplace(Endpoint);
  if (IsNew) {
    Found->second.Endpoint = Endpoint;
    Found->second.TrackedSince = Now;
    Found->second.MayObeyEarlier = true;
    auto Record = State.endpoints().find(Endpoint);
    if (Record != State.endpoints().end()) {
      // No order can reach an incarnation without an address.
      Found->second.IsSuspect = !Record->second.Facts.Address;
      Found->second.Id = Record->second.Facts.Id;
      Found->second.Rack = Record->second.Facts.Rack;
      Found->second.Host = hostOf(Record->second);
      Found->second.Earlier =
          std::exchange(NewestTracked[Found->second.Id], Endpoint);
      Advice.discardEndpoint(Found->second.Id);
    }
    Found->second.LastHeartbeat = Now;
    DueEndpoints.push_back(Endpoint);
  }
  return Found->second;
}

void leader::restoreRuns(core::time_point Now) {
  MayFollowMoves = Settings.HasPlatform && !State.endpoints().empty();
  for (const auto &[Number, Endpoint] : State.endpoints()) {
    auto &Tracked = trackEndpoint(Number, Now);
    // The previous leader may have issued a full lease just before it stopped
    // leading.
    Tracked.LeaseExpiry = Now + Settings.PreviousLeaderGrace +
                          Settings.Lease * MaxLeasePercent / 100;
    // As transferRuns() or inheritLeases() did when it was recorded.
    if (Endpoint.TookOverMs != 0)
      Tracked.LeaseExpiry =
          std::max(Tracked.LeaseExpiry,
                   endOfLongestLease(Now + MaxOrderDelay -
                                     logTimeSince(Endpoint.TookOverMs)));
    for (const auto &Key : Endpoint.Runs) {
      const auto *Task = State.findTask(Key);
      if (!Task)
        continue;
      auto &Run = Tracked.Runs[Key];
      Run.Attempt = Task->Attempt;
      Run.TrackedSince = Now;
      forgetThrottle(Key, Run);
      EndpointOfRun[Key] = Number;
      inheritOpenStart(Run, *Task, Endpoint.HasEnded, Now);
    }
    Tracked.HasEnded = Endpoint.HasEnded;
    Tracked.HadRunsAtStart = !Endpoint.Runs.empty();
    if (!Endpoint.LostRuns.empty())
      Tracked.RunsLostAt = Now;
    if (Endpoint.HasDeregistered)
      Tracked.DeregisteredAt = Now;
  }
  for (const auto &[Id, Job] : State.jobs())
    if (isOver(Job.State) && Job.RunsLeft > 0)
      stopRunsOf(Job, Now);
  noteExhaustedJobs();
}

void leader::stopRunsOf(const job_record &Job, core::time_point Now) {
  for (const auto &Occurrence : Job.OpenOccurrences)
    for (std::uint32_t Step = 0; Step != Occurrence.Steps.size(); ++Step) {
      const auto &Tasks = Occurrence.Steps[Step].Tasks;
      for (std::uint32_t Index = 0; Index != Tasks.size(); ++Index) {
        if (Tasks[Index].Endpoint == 0)
          continue;
        auto &Tracked = trackEndpoint(Tasks[Index].Endpoint, Now);
        auto Run =
            Tracked.Runs.find({Job.Spec.Id, Occurrence.Number, Step, Index});
        if (Run == Tracked.Runs.end())
          continue;
        beginStop(Run->second, stop_reason::JobOver, Now);
        markDue(Tracked);
      }
    }
}

void leader::beginStop(tracked_run &Run, stop_reason Reason,
                       core::time_point Now) {
  Run.Phase = run_phase::Stopping;
  Run.StopReason = Reason;
  Run.StopDecidedAt = Now;
  Run.NextOrder = Now;
}

void leader::markDue(tracked_endpoint &Tracked) {
  if (std::exchange(Tracked.DueAt, core::time_point()) != core::time_point())
    DueEndpoints.push_back(Tracked.Endpoint);
}

void leader::recordRunsChanged(std::uint32_t Endpoint) {
  auto Found = TrackedEndpoints.find(Endpoint);
  if (Found == TrackedEndpoints.end())
    return;
  Found->second.IsCapacityStale = true;
  markDue(Found->second);
}

void leader::recordApplied(const command &Command, apply_outcome Outcome,
                           core::time_point Now) {
  IsPlacementDue = true;
  Waiting.recordApplied(Command);
  countQueueLoad(Command, Outcome);
  if (const auto *End = std::get_if<end_run>(&Command)) {
    if (End->Outcome == run_end::Lost)
      if (auto Place = EndpointOfRun.find(End->Task);
          Place != EndpointOfRun.end())
        trackEndpoint(Place->second, Now).RunsLostAt = Now;
    removeRun(End->Task, End->Attempt);
    const auto *Job = State.findJob(End->Task.Job);
    if (Job && isOver(Job->State))
      recordCompletion(*Job, Now);
    if (Job && isOver(Job->State) && Job->RunsLeft > 0)
      stopRunsOf(*Job, Now);
    return;
  }
  if (const auto *Start = std::get_if<start_run>(&Command);
      Start && Outcome == apply_outcome::Stale)
    if (const auto *Job = State.findJob(Start->Task.Job))
      noteExhausted(*Job);
  if (Outcome == apply_outcome::Stale || Outcome == apply_outcome::Invalid)
    return;
  if (std::holds_alternative<set_configuration>(Command)) {
    noteExhaustedJobs();
    return;
  }
  if (const auto *Fail = std::get_if<fail_job>(&Command)) {
    const auto &Job = *State.findJob(Fail->Job);
    recordCompletion(Job, Now);
    stopRunsOf(Job, Now);
    return;
  }
  if (const auto *Place = std::get_if<record_host>(&Command)) {
    trackEndpoint(Place->Endpoint, Now).Host = Place->Host;
    return;
  }
  if (const auto *Record = std::get_if<record_deregistration>(&Command)) {
    trackEndpoint(Record->Endpoint, Now).DeregisteredAt = Now;
    return;
  }
  if (const auto *Start = std::get_if<start_run>(&Command)) {
    auto &Tracked = trackEndpoint(Start->Endpoint, Now);
    // The start order is sent next and carries a lease.
    Tracked.LeaseExpiry = std::max(
        Tracked.LeaseExpiry, Now + Settings.Lease * MaxLeasePercent / 100);
    auto &Run = Tracked.Runs[Start->Task];
    Run = {};
    Run.Attempt = Start->Attempt;
    Run.TrackedSince = Now;
    // Entries of earlier leaders are applied before this one is created.
    Run.MayBeStartedByOther = false;
    EndpointOfRun[Start->Task] = Start->Endpoint;
    recordRunsChanged(Start->Endpoint);
    if (ClaimedTasks.count(Start->Task) > 0)
      withdrawClaimed(Tracked, Start->Task, Now);
    return;
  }
  if (const auto *Open = std::get_if<record_open_start>(&Command)) {
    recordOpenStart(*Open, Now);
    return;
  }
  if (const auto *Submit = std::get_if<submit_job>(&Command)) {
    const auto *Job = State.findJob(Submit->Job.Id);
    if (Job && Outcome == apply_outcome::Accepted && Job->Spec.RepeatCount == 0)
      Demand.record(Job->Pool,
                    workCoreSeconds(Job->Spec, Durations.modelOf(*Job)), Now);
    return;
  }
  if (const auto *Cancel = std::get_if<cancel_job>(&Command)) {
    const auto *Job = State.findJob(Cancel->Job);
    if (Job && Job->RunsLeft > 0)
      stopRunsOf(*Job, Now);
    return;
  }
  if (const auto *Record = std::get_if<record_endpoint>(&Command)) {
    if (const auto *Endpoint =
            State.findEndpoint(Record->Facts.Id, Record->Facts.IncarnationMs)) {
      auto &Tracked = trackEndpoint(Endpoint->Number, Now);
      Tracked.HasEnded = Endpoint->HasEnded;
      Tracked.IsAddressTaken = false;
      Tracked.EndListedAt = {};
      applyFirstHeartbeat(Tracked, Endpoint->Facts);
      auto Earlier =
          TrackedEndpoints.find(Tracked.Earlier) == TrackedEndpoints.end()
              ? 0
              : Tracked.Earlier;
      bool IsCounted =
          Earlier != 0 && TrackedEndpoints.find(Earlier)->second.HasEnded;
      if (Earlier != 0)
        transferRuns(Tracked, *Endpoint, Now);
      inheritLeases(Tracked);
      if (Record->End.Cause != end_cause::Unknown && !IsCounted)
        recordEnd(Tracked, Earlier, Record->End, Now);
      recordRunsChanged(Endpoint->Number);
    }
    Hosts.NextList = std::min(Hosts.NextList, Now);
    return;
  }
  if (std::holds_alternative<start_wave>(Command)) {
    Hosts.NextPlan = {};
    Hosts.NextWavePlan = {};
  }
  if (const auto *End = std::get_if<end_endpoint>(&Command)) {
    if (auto Found = TrackedEndpoints.find(End->Endpoint);
        Found != TrackedEndpoints.end()) {
      recordEnd(Found->second, End->Endpoint, End->End, Now);
      rememberLeases(Found->second, Now);
      logRunsOfEnded(Found->second, End->End.Cause, Now);
      std::erase_if(Found->second.Runs, [&](const auto &Item) {
        const auto &[Key, Run] = Item;
        const auto *Task = State.findTask(Key);
        if (Task && Task->Endpoint == End->Endpoint)
          return false;
        recordVerdict(Found->second, Key, Run, run_end::Lost,
                      toText(End->End.Cause), Now);
        if (auto Place = EndpointOfRun.find(Key);
            Place != EndpointOfRun.end() && Place->second == End->Endpoint)
          EndpointOfRun.erase(Place);
        return true;
      });
      removeCandidate(Found->second);
      if (Found->second.Runs.empty()) {
        OrphanEndpoints.erase(End->Endpoint);
        TrackedEndpoints.erase(Found);
      } else
        keepOpenStarts(Found->second, Now);
    }
    EndedIncarnations.erase(End->Endpoint);
  }
}

const step_spec *leader::findStep(const task_key &Task) const {
  const auto *Job = State.findJob(Task.Job);
  return Job && Task.Step < Job->Spec.Steps.size() ? &Job->Spec.Steps[Task.Step]
                                                   : nullptr;
}

void leader::forgetThrottle(const task_key &Task, tracked_run &Run) const {
  const auto *Step = findStep(Task);
  if (Step && Step->IsBestEffort)
    Run.ThrottlePercent.reset();
}

void leader::removeRun(const task_key &Task, std::uint32_t Attempt) {
  auto Place = EndpointOfRun.find(Task);
  if (Place == EndpointOfRun.end())
    return;
  auto Number = Place->second;
  auto Tracked = TrackedEndpoints.find(Number);
  if (Tracked != TrackedEndpoints.end()) {
    auto Run = Tracked->second.Runs.find(Task);
    // A later attempt of the same task may already have been applied.
    if (Run != Tracked->second.Runs.end() && Run->second.Attempt != Attempt)
      return;
    if (Run != Tracked->second.Runs.end())
      Tracked->second.Runs.erase(Run);
  }
  EndpointOfRun.erase(Place);
  recordRunsChanged(Number);
}

void leader::transferRuns(tracked_endpoint &Tracked,
                          const endpoint_record &Endpoint,
                          core::time_point Now) {
  for (const auto &Key : Endpoint.Runs) {
    const auto *Task = State.findTask(Key);
    if (!Task)
      continue;
    auto [Found, IsNew] = Tracked.Runs.try_emplace(Key);
    if (!IsNew)
      continue;
    auto &Run = Found->second;
    EndpointOfRun[Key] = Endpoint.Number;
    Run.Attempt = Task->Attempt;
    Run.TrackedSince = Now;
    Run.Phase = run_phase::Unconfirmed;
    Run.MayStartLate = true;
    Run.MayBeStartedByOther = false;
    Run.OpenUntil = Now + MaxOrderDelay;
    forgetThrottle(Key, Run);
    for (const auto &[Number, Earlier] : TrackedEndpoints) {
      auto Previous = Earlier.Runs.find(Key);
      if (Number == Endpoint.Number || Previous == Earlier.Runs.end())
        continue;
      Run.Checkpoint = Previous->second.Checkpoint;
      Run.OpenUntil = openUntil(Previous->second, Now);
      Run.IsOpenAssumed = Previous->second.IsOpenAssumed;
    }
    Tracked.LeaseExpiry = std::max(
        Tracked.LeaseExpiry, Now + Settings.Lease * MaxLeasePercent / 100);
  }
  auto Replaced = core::eraseIf(TrackedEndpoints, [this](const auto &Item) {
    if (State.endpoints().find(Item.first) != State.endpoints().end())
      return false;
    removeCandidate(Item.second);
    return true;
  });
  // Orders for the earlier incarnation may reach this one, late ones too; their
  // leases are in the other one's clock, so only the endpoint's maximum bounds
  // them.
  if (Replaced == 0)
    return;
  Tracked.LeaseExpiry =
      std::max(Tracked.LeaseExpiry,
               Now + MaxOrderDelay + Settings.MaxLease * MaxLeasePercent / 100);
}

void leader::recordReplacement(tracked_endpoint &Tracked,
                               core::time_point Now) {
  if (std::exchange(Tracked.IsReplaced, true))
    return;
  // The runs move to the other incarnation when it sends a heartbeat. Without
  // one they are lost once no order for them can still be executed there: late
  // ones arrive within MaxOrderDelay, and their leases are in another clock.
  Tracked.LeaseExpiry =
      std::max(Tracked.LeaseExpiry,
               Now + MaxOrderDelay + Settings.MaxLease * MaxLeasePercent / 100);
  core::logEvent(core::log_level::Warning, "endpoint_answered_as_another",
                 {{"endpoint", Tracked.Id}, {"runs", Tracked.Runs.size()}});
}

void leader::applyFirstHeartbeat(tracked_endpoint &Tracked,
                                 const endpoint_facts &Facts) {
  auto First = UncommittedHeartbeats.find(Facts.Id);
  if (First == UncommittedHeartbeats.end())
    return;
  const auto &[Heartbeat, ReceivedAt] = First->second;
  if (Heartbeat.Facts.IncarnationMs == Facts.IncarnationMs &&
      Tracked.ClockAt == core::time_point()) {
    Tracked.ClockMs = Heartbeat.ClockMs;
    Tracked.ClockAt = ReceivedAt;
    Tracked.Sequence = Heartbeat.Sequence;
    Tracked.HeartbeatClockMs = Heartbeat.ClockMs;
    Tracked.LastHeartbeat = ReceivedAt;
    recordCapacity(Tracked, Heartbeat, ReceivedAt);
  }
  UncommittedHeartbeats.erase(First);
}

void leader::recordCapacity(tracked_endpoint &Tracked,
                            const endpoint_heartbeat &Heartbeat,
                            core::time_point ReceivedAt) {
  Tracked.IsCapacityStale |=
      Tracked.AnnouncedCapacity != Heartbeat.Facts.Capacity;
  Tracked.AnnouncedCapacity = Heartbeat.Facts.Capacity;
  Tracked.AnnouncedAt = ReceivedAt;
}

std::optional<record_deregistration>
leader::recordDeregistration(std::string_view Id, core::time_point Now,
                             std::optional<std::uint64_t> IncarnationMs) {
  const auto *Endpoint = State.findEndpoint(Id);
  if (!Endpoint ||
      (IncarnationMs && *IncarnationMs != Endpoint->Facts.IncarnationMs))
    return std::nullopt;
  auto &Tracked = trackEndpoint(Endpoint->Number, Now);
  Tracked.DeregisteredAt = Now;
  // Its end is awaited: asks at once whether it still answers.
  Tracked.NextPoll = std::min(Tracked.NextPoll, Now);
  markDue(Tracked);
  if (Endpoint->HasDeregistered)
    return std::nullopt; // The call is acknowledged at once.
  return record_deregistration{Endpoint->Number};
}

bool leader::collectDeparture(const tracked_endpoint &Tracked,
                              std::vector<command> &Commands,
                              core::time_point Now) {
  if (!Tracked.DeregisteredAt)
    return false;
  auto Proof = proveEnd(evidenceOf(Tracked), Now);
  bool HasLeft =
      Proof == end_proof::NoRuns || Proof == end_proof::ConnectionRefused;
  if (!HasLeft) {
    if (!Tracked.Runs.empty())
      requestHostList(DepartureListInterval);
    return false;
  }
  core::logEvent(core::log_level::Info, "endpoint_left",
                 {{"endpoint", Tracked.Id},
                  {"number", Tracked.Endpoint},
                  {"runs", Tracked.Runs.size()},
                  {"proof", toText(Proof)},
                  {"waited_ms", std::chrono::duration_cast<milliseconds>(
                                    Now - *Tracked.DeregisteredAt)
                                    .count()}});
  Commands.emplace_back(describeEnd(Tracked, {end_cause::Planned, 0, {}}, Now));
  return true;
}

std::vector<command> leader::takeCommands(core::time_point Now,
                                          std::int64_t WallMs) {
  std::vector<command> Commands;
  Timer.beginIteration();
  for (auto &[Number, Cursor] : CursorAfterBatch) {
    auto Found = TrackedEndpoints.find(Number);
    if (Found == TrackedEndpoints.end())
      continue;
    Found->second.Cursor = std::max(Found->second.Cursor, Cursor);
    markDue(Found->second);
  }
  CursorAfterBatch.clear();
  collectEnds(Commands);
  Timer.finishPhase(Ends);
  if (Now >= NextLostCheck) {
    NextLostCheck = Now + LostCheckInterval;
    collectLosses(Commands, Now);
    collectOccurrences(Commands, WallMs);
  }
  collectIncarnations(Commands, Now);
  Timer.finishPhase(Losses);
  planHosts(Commands, Now, WallMs);
  collectHosts(Commands);
  Timer.finishPhase(HostPlans);
  if ((IsPlacementDue && Now >= EarliestPlacement) || Now >= NextPlacement)
    collectStarts(Commands, Now, WallMs);
  Timer.finishPhase(Starts);
  Timer.finishIteration();
  refreshPoolLoads(Now);
  logQueues(Now, WallMs);
  if (Now >= NextPrune) {
    NextPrune = Now + PruneInterval;
    core::eraseIf(TrackedEndpoints, [this](const auto &Item) {
      if (State.endpoints().find(Item.first) != State.endpoints().end())
        return false;
      removeCandidate(Item.second);
      return true;
    });
    std::erase_if(NewestTracked, [this](const auto &Item) {
      return TrackedEndpoints.find(Item.second) == TrackedEndpoints.end();
    });
    std::erase_if(OrphanEndpoints, [this](std::uint32_t Number) {
      return TrackedEndpoints.find(Number) == TrackedEndpoints.end();
    });
    Ranks.prune(WallMs);
    Rates.prune(Now);
    std::erase_if(EndsWithLeases, [Now](const auto &Item) {
      return Now >= Item.second + MaxOrderDelay;
    });
    Advice.prune(Now);
    pruneCandidates(Now);
  }
  return Commands;
}

void leader::collectEnds(std::vector<command> &Commands) {
  // Before the ends of earlier runs of the same tasks, see claimDone().
  for (auto &End : UnstartedRuns)
    Commands.emplace_back(std::move(End));
  UnstartedRuns.clear();
  for (auto &Open : OpenStarts)
    Commands.emplace_back(std::move(Open));
  OpenStarts.clear();
  for (auto &Answered : AnsweredStarts)
    Commands.emplace_back(std::move(Answered));
  AnsweredStarts.clear();
  ClaimedTasks.clear();
  collectExhausted(Commands);
  for (auto Number : std::exchange(PolledEndpoints, {})) {
    auto Found = TrackedEndpoints.find(Number);
    if (Found == TrackedEndpoints.end())
      continue;
    auto &Tracked = Found->second;
    for (auto &End : Tracked.PendingEnds)
      Commands.emplace_back(std::move(End));
    Tracked.PendingEnds.clear();
    if (Tracked.LastEndNumber > Tracked.Cursor)
      CursorAfterBatch[Number] = Tracked.LastEndNumber;
  }
}

void leader::collectLosses(std::vector<command> &Commands,
                           core::time_point Now) {
  for (auto Number : EndedIncarnations)
    if (auto Found = State.endpoints().find(Number);
        Found != State.endpoints().end())
      Commands.emplace_back(describeEnd(trackEndpoint(Number, Now),
                                        Found->second.HasEnded
                                            ? incarnation_end{}
                                            : endOf(Found->second, Now),
                                        Now));
  for (auto &[Number, Tracked] : TrackedEndpoints) {
    if (EndedIncarnations.count(Number) > 0)
      continue;
    if (Tracked.HasEnded) {
      collectOpenStarts(Tracked, Commands, Now);
      continue;
    }
    if (collectDeparture(Tracked, Commands, Now))
      continue;
    if (Tracked.RunsLostAt && !Tracked.IsSuspect &&
        Tracked.LastAnswer > *Tracked.RunsLostAt) {
      Tracked.RunsLostAt.reset();
      Commands.emplace_back(record_contact{Number});
    }
    if (Tracked.Runs.empty()) {
      auto Record = State.endpoints().find(Number);
      if (Record != State.endpoints().end() && !Record->second.Facts.Address) {
        Commands.emplace_back(end_endpoint{Number});
        continue;
      }
      if (Now - std::max(Tracked.LastHeartbeat, Tracked.LastAnswer) >
          SilentEndpointRetention)
        Commands.emplace_back(end_endpoint{Number});
      else if (Tracked.FencedAt && Now >= Tracked.LeaseExpiry &&
               Now - *Tracked.FencedAt >= FencedEndpointRetention) {
        // Its next heartbeat records it again, with a higher fencing token.
        core::logEvent(core::log_level::Warning, "fenced_endpoint_dropped",
                       {{"endpoint", Tracked.Id},
                        {"number", Number},
                        {"fence", fenceOf(Number)}});
        Commands.emplace_back(end_endpoint{Number});
      }
      continue;
    }
    // The polls of an endpoint that answers report the state of its runs. One
    // that another incarnation replaced is not polled.
    auto Evidence = evidenceOf(Tracked);
    if (!Evidence.IsOutOfReach)
      continue;
    if (proveEnd(Evidence, Now) == end_proof::None) {
      requestHostList(ProofListInterval);
      continue;
    }
    for (auto &[Key, Run] : Tracked.Runs) {
      // Another incarnation may have the id by now, or have it soon.
      auto Until = Run.IsOpenAssumed ? core::time_point() : openUntil(Run, Now);
      if (Until == core::time_point() || Now >= endOfLongestLease(Until))
        loseRun(Tracked, Key, Run, "lease expired", Commands, Now);
      else
        requestHostList(ProofListInterval);
    }
  }
}

void leader::collectOccurrences(std::vector<command> &Commands,
                                std::int64_t WallMs) {
  for (const auto &[SubmittedMs, Id] : State.repeatedJobs()) {
    const auto &Job = *State.findJob(Id);
    if (Job.NextOccurrence < Job.Spec.RepeatCount &&
        Job.Spec.StartAtMs + Job.NextOccurrence * Job.Spec.IntervalMs <=
            WallMs &&
        mayOpenOccurrence(Job))
      Commands.emplace_back(open_occurrence{Id, Job.NextOccurrence});
  }
}

bool leader::isSchedulable(const endpoint_record &Endpoint,
                           const tracked_endpoint &Tracked,
                           core::time_point Now) const {
  if (!Endpoint.Facts.Address || Endpoint.Facts.IsDraining ||
      Tracked.IsSuspect || Tracked.FencedAt || Tracked.IsReplaced ||
      Tracked.DeregisteredAt || Tracked.ClockAt == core::time_point() ||
      Tracked.Health.isAvoided(Now))
    return false;
  auto LastHeard = std::max(Tracked.LastHeartbeat, Tracked.LastAnswer);
  if (Now - LastHeard > MaxSilentIntervals * Settings.HeartbeatInterval)
    return false;
  const auto *Pool = State.findPool(Endpoint.Facts.Pool);
  if (!Pool || Pool->IsStandby ||
      (!Pool->EnforcesLimits && !isCapacityKnown(Tracked, Now)))
    return false;
  const auto &Host = hostOf(Endpoint);
  return Host.empty() ||
         (!HostCrashes.isAvoided(Host, Now) &&
          Hosts.Cordoned.find(Host) == Hosts.Cordoned.end() &&
          Hosts.Operations.find(Host) == Hosts.Operations.end());
}

bool leader::isUnguarded(const endpoint_record &Endpoint) const {
  const auto *Pool = State.findPool(Endpoint.Facts.Pool);
  return Pool && !Pool->EnforcesLimits;
}

bool leader::isCapacityKnown(const tracked_endpoint &Tracked,
                             core::time_point Now) const {
  return Tracked.AnnouncedAt != core::time_point() &&
         Now - Tracked.AnnouncedAt <=
             MaxSilentIntervals * Settings.HeartbeatInterval;
}

void leader::computeFreeCapacity(tracked_endpoint &Tracked,
                                 const endpoint_record &Endpoint) const {
  Tracked.IsCapacityStale = false;
  auto &Target = Tracked.FreeCapacity;
  Target = {};
  Target.Endpoint = Endpoint.Number;
  Target.Pool = Endpoint.Facts.Pool;
  bool IsUnguarded = isUnguarded(Endpoint);
  auto Capacity =
      IsUnguarded ? Tracked.AnnouncedCapacity : Endpoint.Facts.Capacity;
  capacity_use Use;
  Target.Runs = static_cast<std::uint32_t>(Endpoint.Runs.size());
  Target.Labels = Endpoint.Facts.Labels;
  Target.Rack = Endpoint.Facts.Rack;
  for (const auto &Key : Endpoint.Runs) {
    const auto *Found = findStep(Key);
    if (!Found)
      continue;
    const auto &Step = *Found;
    Use.add(reservedSize(Step));
    Target.LatencySensitiveRuns += Step.TargetMs > 0;
    Target.BestEffortRuns += Step.IsBestEffort;
    Target.LongRunning += Step.IsLongRunning;
    if (Step.MaxPerEndpoint > 0)
      ++Target.RunsByStep[stepKey(Key)];
  }
  for (const auto &[Key, Run] : Tracked.OrphanedRuns) {
    const auto *Job = State.findJob(Key.Job);
    if (!Job || Key.Step >= Job->Spec.Steps.size()) {
      // Its size is unknown.
      Target.Free = {};
      return;
    }
    Use.add(reservedSize(Job->Spec.Steps[Key.Step]));
  }
  // Only the scheduler can keep work from an endpoint that is over its shrunk
  // capacity and enforces no limits.
  Target.Free = IsUnguarded && !Use.fits(Capacity) ? resource_amounts{}
                                                   : Use.freeOf(Capacity);
}

bool leader::isSchedulable(const tracked_endpoint &Tracked,
                           core::time_point Now) const {
  auto Endpoint = State.endpoints().find(Tracked.Endpoint);
  return Endpoint != State.endpoints().end() &&
         isSchedulable(Endpoint->second, Tracked, Now);
}

void leader::refreshCandidates(core::time_point Now) {
  NextCandidates = Now + CandidateInterval;
  for (auto &[Pool, Targets] : CandidateTargets)
    Targets.clear();
  std::unordered_set<std::string_view> DueHosts;
  for (const auto &[Number, Wave] : State.waves()) {
    if (Wave.isComplete())
      continue;
    DueHosts.insert(Wave.Hosts.begin(), Wave.Hosts.end());
    for (const auto &Host : Wave.Begun)
      DueHosts.erase(Host);
  }
  for (auto &[Number, Tracked] : TrackedEndpoints) {
    auto Endpoint = State.endpoints().find(Number);
    if (Endpoint == State.endpoints().end() ||
        !isSchedulable(Endpoint->second, Tracked, Now))
      continue;
    Tracked.IsMaintenanceDue = DueHosts.count(hostOf(Endpoint->second)) > 0;
    CandidateTargets[Endpoint->second.Facts.Pool].push_back(&Tracked);
  }
  std::erase_if(CandidateTargets,
                [](const auto &Item) { return Item.second.empty(); });
}

void leader::removeCandidate(const tracked_endpoint &Tracked) {
  for (auto &[Pool, Targets] : CandidateTargets)
    std::erase(Targets, &Tracked);
}

std::span<tracked_endpoint *const>
leader::candidateTargets(const std::string &Pool, core::time_point Now) {
  if (Now >= NextCandidates)
    refreshCandidates(Now);
  auto Found = CandidateTargets.find(Pool);
  if (Found == CandidateTargets.end())
    return {};
  for (auto *Tracked : Found->second) {
    if (Tracked->IsCapacityStale)
      computeFreeCapacity(*Tracked,
                          State.endpoints().find(Tracked->Endpoint)->second);
    Tracked->FreeCapacity.IsMaintenanceDue = Tracked->IsMaintenanceDue;
  }
  return Found->second;
}

placement_request leader::placementRequest(core::time_point Now) const {
  placement_request Request;
  Request.IsDeferred = [this, Now](const task_key &Key) {
    return DeferredTasks.find(Key) != DeferredTasks.end() ||
           isOrphaned(Key, Now);
  };
  Request.IsSchedulable = [this, Now](std::uint32_t Endpoint) {
    return isSchedulable(TrackedEndpoints.find(Endpoint)->second, Now);
  };
  Request.MayBeInterrupted = [this, Now](std::uint32_t Endpoint) {
    return mayBeOnOrderedHost(Endpoint, Now) ||
           mayBeMovedByEarlierLeader(Endpoint, Now);
  };
  Request.IsUnanswered = [this, Now](std::uint32_t Endpoint) {
    return isUnanswered(TrackedEndpoints.find(Endpoint)->second, Now);
  };
  Request.IsAllowed = [this, Now](const task_key &Key, const job_record &Job,
                                  std::uint32_t Endpoint) {
    return isAllowed(Key, Job, Endpoint, Now);
  };
  Request.CrashesOf = [this](const task_key &Key) { return crashesOf(Key); };
  Request.HostRisk = [this, Now](const task_key &Key, std::uint32_t Endpoint) {
    return hostRisk(Key, Endpoint, Now);
  };
  return Request;
}

void leader::collectStarts(std::vector<command> &Commands, core::time_point Now,
                           std::int64_t WallMs) {
  IsPlacementDue = false;
  auto MaxPendingStarts = TrackedEndpoints.size() > Settings.OwnEndpoints
                              ? MaxPendingDelegatedStarts
                              : MaxPendingOwnStarts;
  if (PendingStarts >= MaxPendingStarts) {
    Metrics.add("placements_put_off_total");
    IsPlacementDue = true;
    return;
  }
  PlacementBefore = std::exchange(LastPlacement, Now);
  NextPlacement = Now + PlacementInterval;
  EarliestPlacement = Now + MinPlacementInterval;
  std::erase_if(DeferredTasks,
                [&](const auto &Item) { return Item.second <= Now; });
  auto ExaminedBefore = Waiting.examinedJobs();
  Waiting.update(WallMs);
  LastRound = {};
  Metrics.add("placement_jobs_examined_total",
              Waiting.examinedJobs() - ExaminedBefore);
  auto HasTrial = [&](const tracked_endpoint &Tracked) {
    return std::any_of(
        Tracked.Runs.begin(), Tracked.Runs.end(), [&](const auto &Run) {
          const auto *Job = State.findJob(Run.first.Job);
          const auto *Suspect = Job ? Job->findSuspect(Run.first) : nullptr;
          const auto *Task = State.findTask(Run.first);
          return Suspect && Task && Suspect->isSuspect() &&
                 isOnTrial(Run.first, *Suspect, *Task, Now);
        });
  };
  // Also without waiting work, so that an end counts from now on.
  if (State.currentConfiguration().RequiresKeys)
    Shares.update(State, Waiting, Now);
  if (Waiting.pools().empty()) {
    for (auto &[Pool, Quarantine] : Quarantines)
      Quarantine.recordPlacement(false, Now);
    // No suspect waits: what is reserved for one would stay so, and keep runs
    // on cordoned hosts from being evacuated to it.
    if (HasSuspectMarks)
      for (auto &[Number, Tracked] : TrackedEndpoints)
        if (Tracked.FreeCapacity.IsReserved)
          Tracked.FreeCapacity.IsReserved = HasTrial(Tracked);
    return;
  }
  std::vector<placement_target *> Targets;
  for (const auto &[Pool, Steps] : Waiting.pools())
    for (auto *Tracked : candidateTargets(Pool, Now))
      // Reservations for suspects are planned over all targets.
      if (State.suspectJobs().empty() || isSchedulable(*Tracked, Now))
        Targets.push_back(&Tracked->FreeCapacity);
  requestAdvice(Targets, Now);
  auto Request = placementRequest(Now);
  Request.MaxStarts =
      std::min(MaxStartsPerBatch, MaxPendingStarts - PendingStarts);
  auto Suspects = planSuspects(Targets, Now, WallMs);
  if (!Suspects.empty())
    Request.EndpointFor =
        [&](const task_key &Key) -> std::optional<std::uint32_t> {
      auto Found = Suspects.find(Key);
      return Found == Suspects.end() ? std::nullopt
                                     : std::optional(Found->second);
    };
  std::set<std::string> HeldUp;
  Request.RecordHeldUp = [&](const std::string &Pool) { HeldUp.insert(Pool); };
  Request.Report = &LastRound;
  Request.Bounds = &PlacementBounds;
  auto Orphaned = orphanedUse(Now);
  workspaces::start_budget Budget([&](std::string_view Workspace) {
    return accountOf(Workspace, Orphaned);
  });
  if (State.currentConfiguration().RequiresKeys) {
    Request.Budget = &Budget;
    Request.LevelOf = [this](const std::string &Pool,
                             const std::string &Workspace) {
      return Shares.levelOf(Pool, Workspace);
    };
  }
  auto Placements = placeRuns(Waiting, Waiting.stepsOf(State.suspectJobs()),
                              Targets, Request);
  // They have a place, so that no host moves for them.
  auto Held = holdForContact(Placements, Now);
  std::set<task_key> Placed(Held.begin(), Held.end());
  for (auto &Placement : Placements) {
    recordRunsChanged(Placement.Start.Endpoint);
    Placed.insert(Placement.Start.Task);
    Commands.emplace_back(std::move(Placement.Start));
  }
  for (auto &[Pool, Quarantine] : Quarantines)
    Quarantine.recordPlacement(HeldUp.count(Pool) > 0, Now);
  recordUnplaceableTasks(Placed, Now);
}

void leader::recordUnplaceableTasks(const std::set<task_key> &Placed,
                                    core::time_point Now) {
  for (const auto &[Pool, Steps] : Waiting.pools())
    for (const auto &Indexed : Steps) {
      // Jobs with a long-running step precede all others.
      if (Indexed.Rank.Group != LongRunningGroup)
        break;
      const auto &Step = Indexed.Step;
      if (!Step.Job->Spec.Steps[Step.Step].IsLongRunning)
        continue;
      const auto &Tasks = Step.Occurrence->Steps[Step.Step].Tasks;
      for (std::uint32_t Index = 0; Index != Tasks.size(); ++Index)
        if (task_key Key{Step.Job->Spec.Id, Step.Occurrence->Number, Step.Step,
                         Index};
            Tasks[Index].isWaiting() && Placed.count(Key) == 0 &&
            !isSuspectTask(*Step.Job, Key) &&
            failureOf(Key) != placement_failure::WorkspaceLimit &&
            failureOf(Key) != placement_failure::Contact)
          Hosts.UnplaceableAt[Pool] = Now;
    }
}

core::time_point leader::nextTime(core::time_point Now) const {
  return Now + TickInterval;
}

} // namespace lycheetrestle::scheduling
