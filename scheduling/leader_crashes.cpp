#include "core/event_log.h"
#include "scheduling/leader.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// Endpoints of a rack that lose power or network together go down at once, and
// the list of hosts and unanswered polls show it within this time.
constexpr core::duration RackFailureWindow = std::chrono::seconds(2);
// A rack has failed when at least this many of its endpoints, and half of them,
// went down together. One task that crashes endpoints takes down one at a time.
constexpr std::size_t MinRackFailures = 3;
// Assumed time since the last contact with an endpoint that only earlier
// leaders had contact with. Without runs it would have been removed by then.
constexpr core::duration UnknownSilence = std::chrono::seconds(30);

// Heartbeat intervals without a sign of life after which an endpoint had
// crashed before an order that got no answer. A shorter silence says nothing:
// an endpoint that crashes because of a start may not have answered it.
constexpr int MaxQuietIntervals = 2;

constexpr core::duration SuspectLogInterval = std::chrono::seconds(1);
// Lines task_backed_off for the crash of one endpoint; the counter has all.
constexpr std::size_t MaxBackoffLines = 10;

std::uint32_t toMs(core::duration Duration) {
  auto Count = std::chrono::duration_cast<milliseconds>(Duration).count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Count, 0, std::numeric_limits<int>::max()));
}

} // namespace

const std::string &leader::hostOf(const endpoint_record &Endpoint) const {
  auto Host = Hosts.HostOfEndpoint.find(Endpoint.Facts.Id);
  return Host == Hosts.HostOfEndpoint.end() ? Endpoint.Host : Host->second;
}

bool leader::isEndOrdered(const endpoint_record &Endpoint,
                          core::time_point Now) const {
  if (Endpoint.IsMaintenanceOrdered)
    return true;
  auto Host = hostOf(Endpoint);
  auto Operation = Hosts.Operations.find(Host);
  if (Operation != Hosts.Operations.end() &&
      (Operation->second.HasBegun || Operation->second.IsOrderPending ||
       Now < Operation->second.MayTakeEffectUntil))
    return true;
  // An earlier leader may have ordered a move.
  const auto *Row = Hosts.find(Host);
  return Row && (Row->State == host_state::Moving ||
                 Row->State == host_state::Maintenance ||
                 (!Row->Pool.empty() && Row->Pool != Endpoint.Facts.Pool));
}

bool leader::failedWithRack(const endpoint_record &Endpoint,
                            core::time_point Now) const {
  const auto &Rack = Endpoint.Facts.Rack;
  if (Rack.empty())
    return false;
  std::size_t Known = 0;
  std::size_t Down = 0;
  for (const auto &[Number, Tracked] : TrackedEndpoints) {
    // An ended one is among UnplannedEnds.
    if (Tracked.Rack != Rack || Tracked.HasEnded)
      continue;
    ++Known;
    Down +=
        Number == Endpoint.Number || EndedIncarnations.count(Number) > 0 ||
        (Tracked.IsSuspect && Now - Tracked.SuspectedAt <= RackFailureWindow);
  }
  for (const auto &End : UnplannedEnds) {
    if (End.Rack != Rack || Now - End.At > RackFailureWindow)
      continue;
    ++Known;
    ++Down;
  }
  return Down >= MinRackFailures && 2 * Down >= Known;
}

end_cause leader::causeOfEnd(const endpoint_record &Endpoint,
                             core::time_point Now) const {
  auto Tracked = TrackedEndpoints.find(Endpoint.Number);
  bool HasDeregistered =
      Tracked != TrackedEndpoints.end() && Tracked->second.DeregisteredAt;
  if (Endpoint.Facts.IsDraining || HasDeregistered ||
      isEndOrdered(Endpoint, Now))
    return end_cause::Planned;
  return failedWithRack(Endpoint, Now) ? end_cause::FailedWithRack
                                       : end_cause::Crashed;
}

incarnation_end leader::endOf(const endpoint_record &Endpoint,
                              core::time_point Now) const {
  incarnation_end End;
  End.Cause = causeOfEnd(Endpoint, Now);
  auto Found = TrackedEndpoints.find(Endpoint.Number);
  if (Found == TrackedEndpoints.end() ||
      Found->second.ClockAt == core::time_point()) {
    End.SilentMs = toMs(UnknownSilence);
    return End;
  }
  const auto &Tracked = Found->second;
  auto LastAlive = std::max(Tracked.LastAnswer, Tracked.LastHeartbeat);
  End.SilentMs = toMs(Now - LastAlive);
  for (const auto &[Key, Run] : Tracked.Runs)
    if (!Run.mayHaveCrashed(LastAlive +
                            MaxQuietIntervals * Settings.HeartbeatInterval))
      End.Unstarted.push_back(Key);
  return End;
}

std::unordered_map<task_key, std::uint32_t, task_key_hash>
leader::planSuspects(std::span<placement_target *const> Targets,
                     core::time_point Now, std::int64_t WallMs) {
  std::unordered_map<task_key, std::uint32_t, task_key_hash> Places;
  if (std::exchange(HasSuspectMarks, false))
    for (auto &[Number, Tracked] : TrackedEndpoints) {
      Tracked.FreeCapacity.IsReserved = false;
      Tracked.FreeCapacity.SuspectRuns.clear();
    }
  auto EarlierPauses = std::exchange(StartPauses, {});
  if (State.suspectJobs().empty()) {
    Quarantines.clear();
    NextSuspectLog.clear();
    return Places;
  }
  HasSuspectMarks = true;
  auto Census = State.crashCensus();
  std::unordered_map<std::uint32_t, placement_target *> TargetOf;
  for (auto *Target : Targets)
    TargetOf[Target->Endpoint] = Target;
  // The suspect members of a gang are one task here.
  std::map<std::string, std::map<task_key, quarantined_task>> Pools;
  std::vector<std::pair<task_key, task_key>> Members;
  for (const auto &Id : State.suspectJobs()) {
    const auto &Job = *State.findJob(Id);
    for (const auto &Suspect : Job.Suspects) {
      task_key Key{Id, Suspect.Occurrence, Suspect.Step, Suspect.Index};
      const auto *Task = State.findTask(Key);
      if (!Suspect.isSuspect() || !Task || Task->IsDone)
        continue;
      if (auto Target = TargetOf.find(Task->Endpoint); Target != TargetOf.end())
        for (const auto &Crash : Suspect.Crashes)
          ++Target->second->SuspectRuns[Crash.Incarnation];
      bool IsLongRunning = Job.Spec.Steps[Key.Step].IsLongRunning;
      auto History = Suspect.history();
      auto Pause = pauseAfterCrashes(History, Census, Job.Pool, IsLongRunning);
      bool IsPaused =
          Task->isWaiting() &&
          recordPause(Key, History, Pause, EarlierPauses, Now, WallMs);
      bool IsProven = Pause.Evidence == crash_evidence::Strong;
      // A trial would keep a long-running task away for seconds, which counts
      // against its budget; its crashes are counted all the same.
      if (IsLongRunning) {
        if (IsPaused)
          Places[Key] = 0;
        continue;
      }
      auto Unit = Key;
      if (Job.Spec.Steps[Key.Step].IsGang)
        Unit.Index = 0;
      if (Task->Endpoint != 0 && !isOnTrial(Key, Suspect, *Task, Now))
        continue;
      auto [Entry, IsNew] = Pools[Job.Pool].try_emplace(Unit);
      auto &Quarantined = Entry->second;
      Quarantined.Task = Unit;
      Quarantined.Attempt = std::max(Quarantined.Attempt, Task->Attempt);
      Quarantined.RanMs =
          IsNew ? Suspect.RanMs : std::min(Quarantined.RanMs, Suspect.RanMs);
      // The other members end at once, before the crash is proved.
      if (Job.Spec.Steps[Key.Step].IsGang)
        Quarantined.Silence = std::max<core::duration>(
            Quarantined.Silence, milliseconds(History.SilentMs));
      Quarantined.IsPaused |= IsPaused;
      Quarantined.IsProven |= IsProven;
      for (const auto &Crash : Suspect.Crashes)
        Quarantined.CrashedHosts.insert(Crash.Host);
      if (Task->Endpoint != 0) {
        Quarantined.Endpoints.push_back(Task->Endpoint);
        continue;
      }
      Members.emplace_back(Key, Unit);
      Places[Key] = 0;
    }
  }
  for (auto &[Pool, Tasks] : Pools) {
    std::vector<quarantine_endpoint> Endpoints;
    for (auto *Target : Targets)
      if (Target->Pool == Pool) {
        auto &Endpoint = State.endpoints().find(Target->Endpoint)->second;
        Endpoints.push_back({Target->Endpoint, hostOf(Endpoint), Target->Runs,
                             Target->LongRunning});
      }
    std::vector<quarantined_task> List;
    for (auto &[Key, Task] : Tasks)
      List.push_back(std::move(Task));
    auto Plan = Quarantines[Pool].plan(
        Endpoints, List,
        [&](const task_key &Key, std::uint32_t Endpoint) {
          return mayHoldAlone(Key, Endpoint, Now);
        },
        Now);
    for (auto Endpoint : Plan.Reserved)
      if (auto Found = TargetOf.find(Endpoint); Found != TargetOf.end())
        Found->second->IsReserved = true;
    for (const auto &[Key, Unit] : Members) {
      if (auto Start = Plan.Starts.find(Unit); Start != Plan.Starts.end())
        Places[Key] = Start->second;
      else if (Plan.Spread.count(Unit) > 0)
        Places[Key] = AnyEndpoint;
    }
    logSuspects(Pool, Plan, Now);
  }
  std::erase_if(Quarantines,
                [&](const auto &Item) { return Pools.count(Item.first) == 0; });
  return Places;
}

bool leader::recordPause(const task_key &Key, const crash_history &History,
                         const crash_pause &Pause,
                         const std::map<task_key, start_pause> &Earlier,
                         core::time_point Now, std::int64_t WallMs) {
  if (Pause.Ms == 0)
    return false;
  auto Known = Earlier.find(Key);
  auto &Entry = StartPauses[Key];
  if (Known != Earlier.end() && Known->second.CrashMs == History.NewestMs) {
    Entry = Known->second;
  } else {
    // The clocks of leaders differ and may be stepped: the wall time is used
    // once, and the rest is counted with the steady clock.
    auto PassedMs = std::clamp<std::int64_t>(
        WallMs - History.NewestMs + History.SilentMs, 0, Pause.Ms);
    Entry = {History.NewestMs, Now - milliseconds(PassedMs), {}};
  }
  Entry.Until = Entry.CrashedAt + milliseconds(Pause.Ms);
  return Now < Entry.Until;
}

core::duration leader::pauseLeft(const task_key &Key,
                                 core::time_point Now) const {
  auto Found = StartPauses.find(Key);
  return Found == StartPauses.end()
             ? core::duration()
             : std::max(core::duration(), Found->second.Until - Now);
}

void leader::logSuspects(const std::string &Pool, const quarantine_plan &Plan,
                         core::time_point Now) {
  auto &Next = NextSuspectLog[Pool];
  if (Plan.Waiting == 0 || Now < Next)
    return;
  Next = Now + SuspectLogInterval;
  Metrics.add("suspects_waiting_lines_total{pool=\"" + Pool + "\"}");
  core::logEvent(core::log_level::Info, "suspects_waiting",
                 {{"pool", Pool},
                  {"waiting", Plan.Waiting},
                  {"oldest_wait_ms", toMs(Plan.OldestWait)},
                  {"on_trial", Plan.OnTrial},
                  {"spread", Plan.Spread.size()},
                  {"reserved", Plan.Reserved.size()}});
}

std::vector<std::uint32_t> leader::crashesOf(const task_key &Key) const {
  std::vector<std::uint32_t> Incarnations;
  if (const auto *Job = State.findJob(Key.Job))
    if (const auto *Suspect = Job->findSuspect(Key))
      for (const auto &Crash : Suspect->Crashes)
        Incarnations.push_back(Crash.Incarnation);
  return Incarnations;
}

std::uint32_t leader::hostRisk(const task_key &Key, std::uint32_t Endpoint,
                               core::time_point Now) const {
  const auto &Host = hostOf(State.endpoints().find(Endpoint)->second);
  if (Host.empty())
    return 0;
  const auto *Suspect = State.findJob(Key.Job)->findSuspect(Key);
  if (Suspect && std::any_of(Suspect->Crashes.begin(), Suspect->Crashes.end(),
                             [&](const crash_record &Crash) {
                               return Crash.Host == Host;
                             }))
    return 2;
  return HostCrashes.hasCrashed(Host, Now) ? 1 : 0;
}

bool leader::waitsForTrial(const task_key &Key, const job_record &Job) const {
  auto Unit = Key;
  if (Job.Spec.Steps[Key.Step].IsGang)
    Unit.Index = 0;
  auto Found = Quarantines.find(Job.Pool);
  return Found != Quarantines.end() && Found->second.waitsForTrial(Unit);
}

bool leader::isOnTrial(const task_key &Key, const suspect_record &Suspect,
                       const task_record &Task, core::time_point Now) const {
  auto Tracked = TrackedEndpoints.find(Task.Endpoint);
  if (Tracked == TrackedEndpoints.end())
    return true;
  // It only waits for what the next incarnation says of its start.
  if (Tracked->second.HasEnded)
    return false;
  auto Run = Tracked->second.Runs.find(Key);
  // A running run is visible since its start, since the first poll of this
  // leader that listed it, or since this leader leads if the log says that its
  // start was answered.
  return Run == Tracked->second.Runs.end() ||
         Run->second.Phase != run_phase::Running ||
         Now - Run->second.VisibleSince < trialTime(Suspect.RanMs);
}

bool leader::mayHoldAlone(const task_key &Key, std::uint32_t Endpoint,
                          core::time_point Now) const {
  const auto &Job = *State.findJob(Key.Job);
  const auto &Step = Job.Spec.Steps[Key.Step];
  const auto &Record = State.endpoints().find(Endpoint)->second;
  const auto &Facts = Record.Facts;
  auto IsOfStep = [&](const task_key &Other) {
    return Other.Job == Key.Job && Other.Occurrence == Key.Occurrence &&
           Other.Step == Key.Step;
  };
  if (Step.MaxPerEndpoint > 0 &&
      std::count_if(Record.Runs.begin(), Record.Runs.end(), IsOfStep) >=
          static_cast<std::ptrdiff_t>(Step.MaxPerEndpoint))
    return false;
  auto Size = reservedSize(Step);
  return Size.MilliCores <= Facts.Capacity.MilliCores &&
         Size.MemoryMb <= Facts.Capacity.MemoryMb &&
         Size.Accelerators <= Facts.Capacity.Accelerators &&
         (Step.RequiredLabel.empty() ||
          std::find(Facts.Labels.begin(), Facts.Labels.end(),
                    Step.RequiredLabel) != Facts.Labels.end()) &&
         isAllowed(Key, Job, Endpoint, Now);
}

void leader::collectHosts(std::vector<command> &Commands) {
  if (!std::exchange(Hosts.IsNewList, false))
    return;
  for (const auto &[Number, Endpoint] : State.endpoints()) {
    auto Host = Hosts.HostOfEndpoint.find(Endpoint.Facts.Id);
    if (Host != Hosts.HostOfEndpoint.end() && Host->second != Endpoint.Host)
      Commands.emplace_back(record_host{Number, Host->second});
  }
}

void leader::recordEnd(const tracked_endpoint &Tracked, std::uint32_t Number,
                       const incarnation_end &End, core::time_point Now) {
  if (End.Cause == end_cause::Unknown)
    return;
  if (End.Cause != end_cause::Planned) {
    Metrics.add("endpoint_crashes_total{cause=\"" +
                std::string(toText(End.Cause)) + "\"}");
    std::erase_if(UnplannedEnds, [&](const unplanned_end &Earlier) {
      return Now - Earlier.At > RackFailureWindow;
    });
    UnplannedEnds.push_back({Tracked.Rack, Now});
    core::logEvent(core::log_level::Warning, "endpoint_crashed",
                   {{"endpoint", Tracked.Id},
                    {"number", Number},
                    {"host", Tracked.Host},
                    {"rack", Tracked.Rack},
                    {"cause", toText(End.Cause)},
                    {"runs", Tracked.Runs.size()},
                    {"unstarted", End.Unstarted.size()},
                    {"silent_ms", End.SilentMs}});
    std::set<task_key> Tasks;
    for (const auto &[Key, Run] : Tracked.Runs)
      Tasks.insert(Key);
    if (const auto &Pool = Tracked.FreeCapacity.Pool; !Pool.empty())
      Quarantines[Pool].recordCrash(Now);
    if (End.Cause == end_cause::Crashed)
      HostCrashes.record(Tracked.Host, Number, std::move(Tasks), Now);
    else
      HostCrashes.recordRackFailure(Tracked.Host, Now);
  }
  recordCountedCrashes();
}

void leader::recordCountedCrashes() {
  if (State.newlyCounted().empty())
    return;
  auto Census = State.crashCensus();
  std::size_t Lines = 0;
  for (const auto &[Key, IsBlamed] : State.newlyCounted()) {
    const auto *Job = State.findJob(Key.Job);
    const auto *Suspect = Job ? Job->findSuspect(Key) : nullptr;
    if (!Suspect || !Suspect->isSuspect())
      continue;
    if (IsBlamed)
      for (const auto &Crash : Suspect->Crashes)
        HostCrashes.forgive(Crash.Incarnation);
    auto History = Suspect->history();
    auto Pause = pauseAfterCrashes(History, Census, Job->Pool,
                                   Job->Spec.Steps[Key.Step].IsLongRunning);
    Metrics.add("crash_backoffs_total{evidence=\"" +
                std::string(toText(Pause.Evidence)) + "\"}");
    if (++Lines > MaxBackoffLines)
      continue;
    core::logEvent(core::log_level::Warning, "task_backed_off",
                   {{"job", Key.Job},
                    {"occurrence", Key.Occurrence},
                    {"step", Key.Step},
                    {"index", Key.Index},
                    {"attempt", Suspect->Attempt},
                    {"crashes", History.Crashes},
                    {"alone", History.Alone},
                    {"pause_ms", Pause.Ms},
                    {"evidence", toText(Pause.Evidence)}});
  }
}

} // namespace lycheetrestle::scheduling
