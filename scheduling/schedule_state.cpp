#include "scheduling/schedule_state.h"

#include "core/invariant.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

bool startsWith(std::string_view Text, std::string_view Prefix) {
  return Text.substr(0, Prefix.size()) == Prefix;
}

bool contains(const std::vector<std::string> &Names, const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

occurrence_record makeOccurrence(const job_spec &Spec, std::uint32_t Number) {
  occurrence_record Occurrence;
  Occurrence.Number = Number;
  for (const auto &Step : Spec.Steps)
    Occurrence.Steps.emplace_back().Tasks.resize(Step.Count);
  return Occurrence;
}

/// \returns how often the task has failed, or the gang that it belongs to.
std::uint32_t failuresOf(const step_spec &Spec, const step_record &Step,
                         std::uint32_t Index) {
  if (!Spec.IsGang)
    return Step.Tasks[Index].Failures;
  std::uint32_t Failures = 0;
  for (const auto &Member : Step.Tasks)
    Failures += Member.Failures;
  return Failures;
}

bool isReady(const job_spec &Spec, const occurrence_record &Occurrence,
             std::uint32_t Step) {
  return std::all_of(
      Spec.Steps[Step].DependsOn.begin(), Spec.Steps[Step].DependsOn.end(),
      [&](std::uint32_t Earlier) {
        return Occurrence.Steps[Earlier].Done == Spec.Steps[Earlier].Count;
      });
}

/// \returns the outcome of a command whose caller may not change the job.
apply_outcome toOutcome(caller_access Access) {
  return Access == caller_access::Forbidden ? apply_outcome::Forbidden
                                            : apply_outcome::Unauthorized;
}

} // namespace

workspaces::resource_usage usageOf(const step_spec &Step) {
  return {Step.Size.MilliCores, Step.Size.MemoryMb, Step.Size.Accelerators};
}

const occurrence_record *job_record::findOpen(std::uint32_t Occurrence) const {
  for (const auto &Candidate : OpenOccurrences)
    if (Candidate.Number == Occurrence)
      return &Candidate;
  return nullptr;
}

const suspect_record *job_record::findSuspect(const task_key &Task) const {
  for (const auto &Suspect : Suspects)
    if (Suspect.Occurrence == Task.Occurrence && Suspect.Step == Task.Step &&
        Suspect.Index == Task.Index)
      return &Suspect;
  return nullptr;
}

crash_history suspect_record::history() const {
  crash_history History;
  History.Crashes = Crashes.size();
  for (const auto &Crash : Crashes) {
    History.Alone += Crash.IsAlone;
    History.Short += Crash.RanMs <= ShortRunMs;
    if (Crash.TimeMs >= History.NewestMs) {
      History.NewestMs = Crash.TimeMs;
      History.SilentMs = Crash.SilentMs;
    }
    History.Incarnations.push_back(Crash.Incarnation);
  }
  return History;
}

occurrence_record *job_record::findOpen(std::uint32_t Occurrence) {
  return const_cast<occurrence_record *>(
      std::as_const(*this).findOpen(Occurrence));
}

apply_outcome schedule_state::apply(const command &Command,
                                    std::int64_t NewTimeMs) {
  TimeMs = std::max(TimeMs, NewTimeMs);
  NewlyCounted.clear();
  AffectedJobs.clear();
  return std::visit([this](const auto &Typed) { return applyTyped(Typed); },
                    Command);
}

const queue_spec *schedule_state::findQueue(std::string_view HostName,
                                            std::string_view Path) const {
  const queue_spec *Best = nullptr;
  for (const auto &Queue : Configuration.Queues)
    if (Queue.HostName == HostName && startsWith(Path, Queue.PathPrefix) &&
        (!Best || Queue.PathPrefix.size() > Best->PathPrefix.size()))
      Best = &Queue;
  return Best;
}

const queue_spec *schedule_state::findQueue(std::string_view HostName,
                                            std::string_view Path,
                                            std::string_view Job) const {
  const auto *Queue = findQueue(HostName, Path);
  return Queue && Path.substr(Queue->PathPrefix.size()) == Job ? Queue
                                                               : nullptr;
}

bool schedule_state::namesJob(std::string_view HostName, std::string_view Path,
                              std::string_view Job) const {
  if (!Path.ends_with(Job))
    return false;
  auto PathPrefix = Path.substr(0, Path.size() - Job.size());
  // Earlier versions took any last segment of a path as an id.
  if (PathPrefix.ends_with('/') || findQueue(HostName, Path, Job))
    return true;
  const auto *Known = findJob(Job);
  return Known && Known->QueueHost == HostName &&
         Known->QueuePrefix == PathPrefix;
}

const queue_spec *schedule_state::queueOf(const job_record &Job) const {
  if (Job.QueueNumber)
    return &Configuration.Queues[*Job.QueueNumber];
  return Job.RemovedQueue ? &*Job.RemovedQueue : nullptr;
}

bool schedule_state::mayRequireAdvice() const {
  return !AdvisedRemovedJobs.empty() ||
         std::any_of(
             Configuration.Queues.begin(), Configuration.Queues.end(),
             [](const queue_spec &Queue) { return Queue.Advice.has_value(); });
}

const pool_spec *schedule_state::findPool(std::string_view Name) const {
  for (const auto &Pool : Configuration.Pools)
    if (Pool.Name == Name)
      return &Pool;
  return nullptr;
}

const workspaces::workspace_spec *
schedule_state::findWorkspace(std::string_view KeyDigest) const {
  auto Found = Workspaces.findKey(KeyDigest);
  return Found ? &Configuration.Workspaces[*Found] : nullptr;
}

const workspaces::workspace_spec *
schedule_state::findWorkspaceByName(std::string_view Name) const {
  auto Found = Workspaces.findName(Name);
  return Found ? &Configuration.Workspaces[*Found] : nullptr;
}

void schedule_state::addUsage(const job_record &Job, const step_spec &Step) {
  if (Job.Workspace.empty() || usageOf(Step).isZero())
    return;
  auto &Usage = WorkspaceUsage[Job.Workspace];
  Usage.Total.add(usageOf(Step));
  Usage.ByPool[Job.Pool].add(usageOf(Step));
}

void schedule_state::removeUsage(const job_record &Job, const step_spec &Step) {
  // Runs that use nothing leave no entry.
  auto Usage = WorkspaceUsage.find(Job.Workspace);
  if (Usage == WorkspaceUsage.end())
    return;
  auto &ByPool = Usage->second.ByPool;
  auto Pool = ByPool.find(Job.Pool);
  if (Pool == ByPool.end())
    return;
  Usage->second.Total.remove(usageOf(Step));
  Pool->second.remove(usageOf(Step));
  if (Pool->second.isZero())
    ByPool.erase(Pool);
  if (ByPool.empty())
    WorkspaceUsage.erase(Usage);
}

void schedule_state::rebuildUsage() {
  WorkspaceUsage.clear();
  for (const auto &[Number, Endpoint] : Endpoints)
    for (const auto &Key : Endpoint.Runs)
      if (findTask(Key)) {
        const auto &Job = *findJob(Key.Job);
        addUsage(Job, Job.Spec.Steps[Key.Step]);
      }
}

caller_access schedule_state::accessOf(std::string_view KeyDigest,
                                       std::string_view HostName,
                                       std::string_view Path,
                                       const job_record *Job) const {
  if (!Configuration.RequiresKeys)
    return caller_access::Allowed;
  const auto *Queue = findQueue(HostName, Path);
  bool NeedsKey = Queue && !Queue->IsPublic;
  // The id alone identifies the job, whatever queue the path names. A job
  // without a workspace was accepted without a key.
  if (Job) {
    // A job that has ended has no queue, except for the one that the path
    // names.
    bool IsOwnPath = Queue && Queue->HostName == Job->QueueHost &&
                     Queue->PathPrefix == Job->QueuePrefix;
    const auto *JobQueue = IsOwnPath ? Queue : queueOf(*Job);
    NeedsKey |= JobQueue ? !JobQueue->IsPublic : !Job->Workspace.empty();
  }
  if (!NeedsKey)
    return caller_access::Allowed;
  const auto *Workspace = findWorkspace(KeyDigest);
  if (!Workspace)
    return caller_access::Unauthorized;
  return Job && !Job->Workspace.empty() && Job->Workspace != Workspace->Name
             ? caller_access::Forbidden
             : caller_access::Allowed;
}

job_record schedule_state::recordOf(const submit_job &Submit,
                                    const queue_spec &Queue) const {
  job_record Job;
  Job.Spec = Submit.Job;
  Job.QueueHost = Queue.HostName;
  Job.QueuePrefix = Queue.PathPrefix;
  Job.Pool = Queue.Pool;
  Job.QueueNumber =
      static_cast<std::uint32_t>(&Queue - Configuration.Queues.data());
  Job.SubmittedMs = TimeMs;
  if (const auto *Workspace = findWorkspace(Submit.KeyDigest))
    Job.Workspace = Workspace->Name;
  Job.IsOverRate = Submit.IsOverRate;
  if (Job.Spec.RepeatCount == 0) {
    Job.OpenOccurrences.push_back(makeOccurrence(Job.Spec, 0));
    Job.NextOccurrence = 1;
  }
  return Job;
}

const job_record *schedule_state::findJob(std::string_view Id) const {
  auto Found = Jobs.find(Id);
  return Found == Jobs.end() ? nullptr : &Found->second;
}

const endpoint_record *
schedule_state::findEndpoint(std::string_view Id,
                             std::uint64_t IncarnationMs) const {
  const auto *Endpoint = findEndpoint(Id);
  return Endpoint && Endpoint->Facts.IncarnationMs == IncarnationMs ? Endpoint
                                                                    : nullptr;
}

const endpoint_record *schedule_state::findEndpoint(std::string_view Id) const {
  auto Found = EndpointNumbers.find(Id);
  return Found == EndpointNumbers.end()
             ? nullptr
             : &Endpoints.find(Found->second)->second;
}

const task_record *schedule_state::findTask(const task_key &Task) const {
  const auto *Job = findJob(Task.Job);
  const auto *Occurrence = Job ? Job->findOpen(Task.Occurrence) : nullptr;
  if (!Occurrence || Task.Step >= Occurrence->Steps.size() ||
      Task.Index >= Occurrence->Steps[Task.Step].Tasks.size())
    return nullptr;
  return &Occurrence->Steps[Task.Step].Tasks[Task.Index];
}

task_record *schedule_state::mutableTask(const task_key &Task) {
  return const_cast<task_record *>(std::as_const(*this).findTask(Task));
}

std::uint32_t schedule_state::pendingJobs(std::string_view QueueHost,
                                          std::string_view QueuePrefix) const {
  return PendingJobs.count(QueueHost, QueuePrefix);
}

std::uint32_t schedule_state::maxAttempts(const job_record &Job) const {
  const auto *Queue = queueOf(Job);
  return Queue ? std::max(1u, Queue->MaxAttempts) : 1;
}

apply_outcome schedule_state::applyTyped(const set_configuration &Command) {
  if (Command.Configuration.Version <= Configuration.Version)
    return apply_outcome::Unchanged;
  auto Earlier = std::exchange(Configuration, Command.Configuration);
  Workspaces = workspaces::workspace_index(Configuration.Workspaces);
  assignQueueNumbers(&Earlier);
  for (const auto &[SubmittedMs, Id] : LiveJobs) {
    auto &Job = Jobs.find(Id)->second;
    if (const auto *Queue = queueOf(Job))
      Job.Pool = Queue->Pool;
  }
  rebuildUsage();
  return apply_outcome::Accepted;
}

void schedule_state::assignQueueNumbers(const configuration *Earlier) {
  using name = std::pair<std::string_view, std::string_view>;
  std::map<name, std::uint32_t> Numbers;
  for (std::uint32_t Number = 0; Number != Configuration.Queues.size();
       ++Number) {
    const auto &Queue = Configuration.Queues[Number];
    Numbers.emplace(name(Queue.HostName, Queue.PathPrefix), Number);
  }
  for (const auto &[SubmittedMs, Id] : LiveJobs) {
    auto &Job = Jobs.find(Id)->second;
    auto Found = Numbers.find({Job.QueueHost, Job.QueuePrefix});
    auto Previous = std::exchange(Job.QueueNumber, std::nullopt);
    if (Found != Numbers.end()) {
      Job.QueueNumber = Found->second;
      Job.RemovedQueue.reset();
    } else if (Earlier && Previous) {
      Job.RemovedQueue = Earlier->Queues[*Previous];
    }
    if (Job.RemovedQueue && Job.RemovedQueue->Advice)
      AdvisedRemovedJobs.insert(Id);
    else
      AdvisedRemovedJobs.erase(Id);
  }
}

apply_outcome schedule_state::applyTyped(const submit_job &Command) {
  const auto *Known = findJob(Command.Job.Id);
  auto Access =
      accessOf(Command.KeyDigest, Command.HostName, Command.Path, Known);
  if (Access != caller_access::Allowed)
    return toOutcome(Access);
  if (Known)
    return apply_outcome::Unchanged;
  const auto *Queue =
      Command.IsExactPath
          ? findQueue(Command.HostName, Command.Path, Command.Job.Id)
          : findQueue(Command.HostName, Command.Path);
  if (!Queue)
    return apply_outcome::NoSuchQueue;
  evictEndedJobs();
  auto &Job = Jobs[Command.Job.Id] = recordOf(Command, *Queue);
  LiveJobs.emplace(TimeMs, Job.Spec.Id);
  PendingJobs.add(Job.QueueHost, Job.QueuePrefix);
  if (Job.Spec.RepeatCount != 0)
    RepeatedJobs.emplace(TimeMs, Job.Spec.Id);
  bool IsShared =
      !Configuration.RequiresKeys || Queue->IsPublic || Job.Workspace.empty();
  if (Tombstones.covers(Job.Spec.Id, Job.Workspace, IsShared, TimeMs)) {
    // As if the cancellation had come after the submission.
    Tombstones.remove(Job.Spec.Id);
    finishJob(Job, job_state::Cancelled);
    return apply_outcome::Unchanged;
  }
  return apply_outcome::Accepted;
}

apply_outcome schedule_state::applyTyped(const cancel_job &Command) {
  auto Access = accessOf(Command.KeyDigest, Command.HostName, Command.Path,
                         findJob(Command.Job));
  if (Access != caller_access::Allowed)
    return toOutcome(Access);
  auto Found = Jobs.find(Command.Job);
  if (Found == Jobs.end()) {
    if (!Command.IsBinding)
      return apply_outcome::NoSuchJob;
    const auto *Workspace = findWorkspace(Command.KeyDigest);
    return Tombstones.add(Command.Job, Workspace ? Workspace->Name : "", TimeMs)
               ? apply_outcome::NoSuchJob
               : apply_outcome::TooMany;
  }
  auto &Job = Found->second;
  if (isOver(Job.State))
    return apply_outcome::Unchanged;
  finishJob(Job, job_state::Cancelled);
  return apply_outcome::Accepted;
}

apply_outcome schedule_state::applyTyped(const open_occurrence &Command) {
  auto Found = Jobs.find(Command.Job);
  if (Found == Jobs.end() || isOver(Found->second.State))
    return apply_outcome::Stale;
  auto &Job = Found->second;
  if (Command.Occurrence != Job.NextOccurrence ||
      Command.Occurrence >= Job.occurrences())
    return apply_outcome::Stale;
  Job.OpenOccurrences.push_back(makeOccurrence(Job.Spec, Job.NextOccurrence++));
  return apply_outcome::Accepted;
}

apply_outcome schedule_state::applyTyped(const start_run &Command) {
  auto *Task = mutableTask(Command.Task);
  auto Endpoint = Endpoints.find(Command.Endpoint);
  if (!Task || Endpoint == Endpoints.end() || Endpoint->second.HasEnded)
    return apply_outcome::Stale;
  auto &Job = Jobs.find(Command.Task.Job)->second;
  if (isOver(Job.State) || !Task->isWaiting() ||
      Command.Attempt <= Task->Attempt)
    return apply_outcome::Stale;
  // A configuration with a lower maximum of attempts may have been committed
  // after the leader decided on this start.
  const auto &Spec = Job.Spec.Steps[Command.Task.Step];
  const auto &Occurrence = *Job.findOpen(Command.Task.Occurrence);
  if (!Spec.IsLongRunning &&
      failuresOf(Spec, Occurrence.Steps[Command.Task.Step],
                 Command.Task.Index) >= maxAttempts(Job))
    return apply_outcome::Stale;
  if (!isReady(Job.Spec, Occurrence, Command.Task.Step))
    return apply_outcome::Invalid;
  Task->Attempt = Command.Attempt;
  Task->Endpoint = Command.Endpoint;
  Task->StartedMs = TimeMs;
  Task->OpenStartMs = 0;
  Task->IsStartAnswered = false;
  Endpoint->second.Runs.push_back(Command.Task);
  addUsage(Job, Spec);
  ++Job.RunsLeft;
  if (Job.State == job_state::Queued) {
    PendingJobs.remove(Job.QueueHost, Job.QueuePrefix);
    Job.HasOnlyRefusals = true;
  }
  Job.State = job_state::Running;
  return apply_outcome::Accepted;
}

void schedule_state::removeRun(job_record &Job, task_record &Task,
                               const task_key &Key) {
  auto Endpoint = Endpoints.find(Task.Endpoint);
  if (Endpoint != Endpoints.end())
    std::erase(Endpoint->second.Runs, Key);
  Task.Endpoint = 0;
  Task.IsStartAnswered = false;
  removeUsage(Job, Job.Spec.Steps[Key.Step]);
  --Job.RunsLeft;
}

apply_outcome schedule_state::applyTyped(const end_run &Command) {
  auto *Task = mutableTask(Command.Task);
  if (Task && isUnclaimedDone(Command)) {
    claimDone(Command.Task);
    return apply_outcome::Accepted;
  }
  if (!Task || Task->Endpoint == 0 || Task->Attempt != Command.Attempt)
    return apply_outcome::Stale;
  auto &Job = Jobs.find(Command.Task.Job)->second;
  const auto &Spec = Job.Spec.Steps[Command.Task.Step];
  if (Command.Outcome == run_end::Lost) {
    recordLostRun(Command, *Task);
  } else if (TimeMs - Task->StartedMs >= SoundRunMs) {
    bool WasAtWork = Command.Outcome == run_end::Done ||
                     Command.Outcome == run_end::Failed ||
                     Command.Outcome == run_end::Stopped;
    if (WasAtWork)
      forgetSuspect(Job, Command.Task);
  }
  removeRun(Job, *Task, Command.Task);
  if (isOver(Job.State)) {
    if (Job.RunsLeft == 0)
      Job.OpenOccurrences.clear();
    return apply_outcome::Accepted;
  }
  recordBegin(Job, Command.Outcome);
  auto &Step = Job.findOpen(Command.Task.Occurrence)->Steps[Command.Task.Step];
  if (!Command.Checkpoint.empty()) {
    Task->Checkpoint = Command.Checkpoint;
    if (Spec.IsGang)
      for (auto &Member : Step.Tasks)
        Member.Checkpoint = Command.Checkpoint;
  }
  if (Command.Outcome == run_end::Done && !Spec.IsLongRunning) {
    if (Spec.IsGang)
      finishGang(Job, Command.Task);
    else
      finishTask(Job, Command.Task);
    return apply_outcome::Accepted;
  }
  if (Command.Outcome != run_end::Failed || Spec.IsLongRunning)
    return apply_outcome::Accepted;
  // The members of a gang work only together, so one attempt fails once.
  if (Spec.IsGang) {
    if (Command.Attempt <= Step.FailedAttempt)
      return apply_outcome::Accepted;
    Step.FailedAttempt = Command.Attempt;
  }
  ++Task->Failures;
  if (failuresOf(Spec, Step, Command.Task.Index) >= maxAttempts(Job))
    finishJob(Job, job_state::Failed);
  return apply_outcome::Accepted;
}

bool schedule_state::isUnclaimedDone(const end_run &End) const {
  const auto *Task = findTask(End.Task);
  if (!Task || End.Outcome != run_end::Done || !Task->isWaiting() ||
      End.Attempt == 0 || End.Attempt > Task->Attempt)
    return false;
  const auto &Job = *findJob(End.Task.Job);
  const auto &Spec = Job.Spec.Steps[End.Task.Step];
  if (isOver(Job.State) || Spec.IsLongRunning)
    return false;
  // A later attempt of a gang may be at work.
  const auto &Members =
      Job.findOpen(End.Task.Occurrence)->Steps[End.Task.Step].Tasks;
  return !Spec.IsGang ||
         std::none_of(Members.begin(), Members.end(),
                      [](const auto &Member) { return Member.Endpoint != 0; });
}

void schedule_state::claimDone(const task_key &Task) {
  auto &Job = Jobs.find(Task.Job)->second;
  if (Job.State == job_state::Queued) {
    PendingJobs.remove(Job.QueueHost, Job.QueuePrefix);
    Job.State = job_state::Running;
  }
  Job.HasOnlyRefusals = false;
  if (Job.Spec.Steps[Task.Step].IsGang)
    finishGang(Job, Task);
  else
    finishTask(Job, Task);
}

void schedule_state::recordBegin(job_record &Job, run_end Outcome) {
  if (Outcome != run_end::Refused)
    Job.HasOnlyRefusals = false;
  if (!Job.HasOnlyRefusals || Job.RunsLeft > 0)
    return;
  Job.HasOnlyRefusals = false;
  Job.State = job_state::Queued;
  PendingJobs.add(Job.QueueHost, Job.QueuePrefix);
}

void schedule_state::finishTask(job_record &Job, const task_key &Key) {
  auto *Occurrence = Job.findOpen(Key.Occurrence);
  auto &Step = Occurrence->Steps[Key.Step];
  auto &Task = Step.Tasks[Key.Index];
  core::checkInvariant(!Task.IsDone, "a task is completed at most once");
  Task.IsDone = true;
  Task.Checkpoint.clear();
  if (!Job.Suspects.empty())
    forgetSuspect(Job, Key);
  ++Step.Done;
  if (Step.Done != Step.Tasks.size())
    return;
  if (++Occurrence->StepsDone != Occurrence->Steps.size())
    return;
  ++Job.OccurrencesDone;
  if (Job.OccurrencesDone == Job.occurrences()) {
    finishJob(Job, job_state::Complete);
    return;
  }
  std::erase_if(Job.OpenOccurrences, [&](const occurrence_record &Candidate) {
    return Candidate.Number == Key.Occurrence;
  });
}

void schedule_state::finishGang(job_record &Job, const task_key &Key) {
  auto Count = Job.Spec.Steps[Key.Step].Count;
  for (std::uint32_t Index = 0; Index != Count; ++Index) {
    task_key Member = Key;
    Member.Index = Index;
    auto *Task = mutableTask(Member);
    if (!Task || Task->IsDone)
      continue;
    // The end of one member represents all; a run that stays assigned would
    // refer to a task of an occurrence that is no longer open.
    if (Task->Endpoint != 0)
      removeRun(Job, *Task, Member);
    finishTask(Job, Member);
  }
}

void schedule_state::finishJob(job_record &Job, job_state State) {
  if (Job.State == job_state::Queued)
    PendingJobs.remove(Job.QueueHost, Job.QueuePrefix);
  Job.State = State;
  Job.QueueNumber.reset();
  Job.RemovedQueue.reset();
  Job.HasOnlyRefusals = false;
  AdvisedRemovedJobs.erase(Job.Spec.Id);
  Job.EndedMs = TimeMs;
  LiveJobs.erase({Job.SubmittedMs, Job.Spec.Id});
  RepeatedJobs.erase({Job.SubmittedMs, Job.Spec.Id});
  EndedJobs.emplace(TimeMs, Job.Spec.Id);
  if (Job.RunsLeft == 0)
    Job.OpenOccurrences.clear();
  Job.Spec.Payload.clear();
  if (!Job.Suspects.empty()) {
    Job.Suspects.clear();
    updateSuspectJob(Job);
  }
}

void schedule_state::evictEndedJobs() {
  while (!EndedJobs.empty() &&
         (EndedJobs.begin()->first + JobRetentionMs < TimeMs ||
          EndedJobs.size() > MaxEndedJobs)) {
    auto Found = Jobs.find(EndedJobs.begin()->second);
    // The job is needed until its last run has been stopped.
    if (Found->second.RunsLeft != 0)
      return;
    Jobs.erase(Found);
    EndedJobs.erase(EndedJobs.begin());
  }
}

apply_outcome schedule_state::applyTyped(const record_endpoint &Command) {
  const auto &Facts = Command.Facts;
  std::optional<std::uint32_t> Earlier;
  if (auto Number = EndpointNumbers.find(Facts.Id);
      Number != EndpointNumbers.end()) {
    auto &Current = Endpoints.find(Number->second)->second;
    if (Current.Facts.IncarnationMs > Facts.IncarnationMs &&
        Current.Number != Command.Replaces)
      return apply_outcome::Stale;
    if (Current.Facts == Facts)
      return apply_outcome::Unchanged;
    if (Current.Facts.IncarnationMs == Facts.IncarnationMs) {
      bool WasDraining = Current.Facts.IsDraining;
      Current.Facts = Facts;
      // A draining incarnation never accepts work again.
      Current.Facts.IsDraining = WasDraining || Facts.IsDraining;
      // It answers, so that it has not ended.
      Current.HasEnded = false;
      return apply_outcome::Accepted;
    }
    Earlier = Number->second;
  }
  EndpointNumbers[Facts.Id] = LastEndpoint + 1;
  auto &Endpoint = Endpoints[++LastEndpoint];
  Endpoint.Number = LastEndpoint;
  Endpoint.Facts = Facts;
  if (!Earlier) {
    if (Command.MayHoldEarlierLease)
      Endpoint.TookOverMs = TimeMs;
    return apply_outcome::Accepted;
  }
  // A start order for the earlier incarnation may have reached the new one, so
  // the runs end only after the new incarnation reports what it runs.
  auto &Previous = Endpoints.find(*Earlier)->second;
  if (!Previous.HasEnded)
    recordCrash(Previous, Command.End);
  Endpoint.TookOverMs = TimeMs;
  Endpoint.Host = std::move(Previous.Host);
  Endpoint.Runs = std::move(Previous.Runs);
  for (const auto &Key : Endpoint.Runs) {
    auto &Task = *mutableTask(Key);
    Task.Endpoint = LastEndpoint;
    // The earlier incarnation may have executed the order.
    Task.IsStartAnswered = false;
    AffectedJobs.push_back(Key.Job);
  }
  Endpoints.erase(*Earlier);
  return apply_outcome::Accepted;
}

apply_outcome schedule_state::applyTyped(const end_endpoint &Command) {
  auto Found = Endpoints.find(Command.Endpoint);
  if (Found == Endpoints.end())
    return apply_outcome::Stale;
  auto &Endpoint = Found->second;
  if (!Endpoint.HasEnded)
    recordCrash(Endpoint, Command.End);
  for (const auto &Key : std::vector<task_key>(Endpoint.Runs)) {
    auto *Task = mutableTask(Key);
    if (std::find(Command.OpenStarts.begin(), Command.OpenStarts.end(), Key) !=
        Command.OpenStarts.end()) {
      // No order for this incarnation is sent later.
      if (Task->OpenStartMs == 0)
        Task->OpenStartMs = TimeMs;
      Task->IsStartAnswered = false;
      continue;
    }
    applyTyped(end_run{Key, Task->Attempt, run_end::Lost, ""});
    AffectedJobs.push_back(Key.Job);
  }
  if (!Endpoint.Runs.empty()) {
    Endpoint.HasEnded = true;
    Endpoint.Facts.Address.reset();
    Endpoint.LostRuns.clear(); // The crash has been counted for them.
    return apply_outcome::Accepted;
  }
  EndpointNumbers.erase(Found->second.Facts.Id);
  Endpoints.erase(Found);
  return apply_outcome::Accepted;
}

apply_outcome schedule_state::applyTyped(const start_wave &Command) {
  if (Waves.find(Command.Wave) != Waves.end())
    return apply_outcome::Unchanged;
  auto &Wave = Waves[Command.Wave];
  Wave.Wave = Command.Wave;
  Wave.Hosts = Command.Hosts;
  Wave.MaxCount = std::max(1u, Command.MaxCount);
  Wave.DeadlineMs = Command.DeadlineMs;
  Wave.StartedMs = TimeMs;
  return apply_outcome::Accepted;
}

apply_outcome schedule_state::applyTyped(const order_maintenance &Command) {
  auto Found = Waves.find(Command.Wave);
  if (Found == Waves.end() || !contains(Found->second.Hosts, Command.Host))
    return apply_outcome::Stale;
  if (contains(Found->second.Ordered, Command.Host))
    return apply_outcome::Unchanged;
  Found->second.Ordered.push_back(Command.Host);
  for (auto &[Number, Endpoint] : Endpoints)
    Endpoint.IsMaintenanceOrdered |= Endpoint.Host == Command.Host;
  return apply_outcome::Accepted;
}

apply_outcome schedule_state::applyTyped(const record_maintenance &Command) {
  auto Found = Waves.find(Command.Wave);
  if (Found == Waves.end())
    return apply_outcome::Stale;
  auto &Wave = Found->second;
  if (!contains(Wave.Hosts, Command.Host) || contains(Wave.Begun, Command.Host))
    return apply_outcome::Unchanged;
  Wave.Begun.push_back(Command.Host);
  return apply_outcome::Accepted;
}

apply_outcome schedule_state::applyTyped(const record_host &Command) {
  auto Found = Endpoints.find(Command.Endpoint);
  if (Found == Endpoints.end())
    return apply_outcome::Stale;
  Found->second.Host = Command.Host;
  return apply_outcome::Accepted;
}

apply_outcome schedule_state::applyTyped(const record_contact &Command) {
  auto Found = Endpoints.find(Command.Endpoint);
  if (Found == Endpoints.end())
    return apply_outcome::Stale;
  Found->second.LostRuns.clear();
  return apply_outcome::Accepted;
}

apply_outcome schedule_state::applyTyped(const record_deregistration &Command) {
  auto Found = Endpoints.find(Command.Endpoint);
  if (Found == Endpoints.end())
    return apply_outcome::Stale;
  if (std::exchange(Found->second.HasDeregistered, true))
    return apply_outcome::Unchanged;
  return apply_outcome::Accepted;
}

apply_outcome schedule_state::applyTyped(const record_open_start &Command) {
  auto *Task = mutableTask(Command.Task);
  if (!Task || Task->Endpoint == 0 || Task->Attempt != Command.Attempt)
    return apply_outcome::Stale;
  Task->OpenStartMs = TimeMs;
  Task->IsStartAnswered = false;
  return apply_outcome::Accepted;
}

apply_outcome schedule_state::applyTyped(const record_answered_start &Command) {
  auto *Task = mutableTask(Command.Task);
  // Another copy of the order may be executed later.
  if (!Task || Task->Endpoint == 0 || Task->Attempt != Command.Attempt ||
      Task->OpenStartMs != 0)
    return apply_outcome::Stale;
  if (std::exchange(Task->IsStartAnswered, true))
    return apply_outcome::Unchanged;
  return apply_outcome::Accepted;
}

bool schedule_state::hasExhaustedTask(const job_record &Job) const {
  auto MaxAttempts = maxAttempts(Job);
  for (const auto &Occurrence : Job.OpenOccurrences)
    for (std::size_t Number = 0; Number != Occurrence.Steps.size(); ++Number) {
      const auto &Spec = Job.Spec.Steps[Number];
      const auto &Step = Occurrence.Steps[Number];
      if (Spec.IsLongRunning)
        continue;
      std::uint32_t Failures = 0; // Of the gang.
      bool IsAnyWaiting = false;
      bool HasRun = false;
      for (const auto &Task : Step.Tasks) {
        if (!Spec.IsGang && Task.isWaiting() && Task.Failures >= MaxAttempts)
          return true;
        Failures += Task.Failures;
        IsAnyWaiting |= Task.isWaiting();
        HasRun |= Task.Endpoint != 0;
      }
      // The members that run may still complete the gang.
      if (Spec.IsGang && IsAnyWaiting && !HasRun && Failures >= MaxAttempts)
        return true;
    }
  return false;
}

apply_outcome schedule_state::applyTyped(const fail_job &Command) {
  auto Found = Jobs.find(Command.Job);
  if (Found == Jobs.end() || isOver(Found->second.State) ||
      !hasExhaustedTask(Found->second))
    return apply_outcome::Stale;
  finishJob(Found->second, job_state::Failed);
  return apply_outcome::Accepted;
}

void schedule_state::recordLostRun(const end_run &End,
                                   const task_record &Task) {
  auto Endpoint = Endpoints.find(Task.Endpoint);
  if (Endpoint == Endpoints.end())
    return;
  auto &LostRuns = Endpoint->second.LostRuns;
  if (LostRuns.size() == MaxLostRuns)
    LostRuns.erase(LostRuns.begin());
  LostRuns.push_back({End.Task, End.Attempt, Task.StartedMs, TimeMs});
}

bool schedule_state::isSameGang(const task_key &Left,
                                const task_key &Right) const {
  const auto *Job = findJob(Left.Job);
  return Left.Job == Right.Job && Left.Occurrence == Right.Occurrence &&
         Left.Step == Right.Step && Job && Job->Spec.Steps[Left.Step].IsGang;
}

void schedule_state::recordCrash(const endpoint_record &Endpoint,
                                 const incarnation_end &End) {
  if (End.Cause != end_cause::Crashed && End.Cause != end_cause::FailedWithRack)
    return;
  std::erase_if(RecentCrashes, [&](const recent_crash &Crash) {
    return Crash.TimeMs + RecentCrashMs < TimeMs;
  });
  if (RecentCrashes.size() == MaxRecentCrashes)
    RecentCrashes.erase(RecentCrashes.begin());
  RecentCrashes.push_back({Endpoint.Number, Endpoint.Facts.Pool, TimeMs});
  auto Runs = Endpoint.LostRuns;
  for (const auto &Key : Endpoint.Runs) {
    if (std::find(End.Unstarted.begin(), End.Unstarted.end(), Key) !=
        End.Unstarted.end())
      continue;
    const auto *Task = findTask(Key);
    Runs.push_back({Key, Task->Attempt, Task->StartedMs, TimeMs});
  }
  auto LastAliveMs = TimeMs - End.SilentMs;
  std::erase_if(Runs, [&](const lost_run &Run) {
    if (LastAliveMs - Run.StartedMs < SoundRunMs)
      return false;
    if (auto Job = Jobs.find(Run.Task.Job); Job != Jobs.end())
      forgetSuspect(Job->second, Run.Task);
    return true;
  });
  for (const auto &Run : Runs) {
    auto Found = Jobs.find(Run.Task.Job);
    if (Found == Jobs.end() || isOver(Found->second.State))
      continue;
    bool IsAlone =
        End.Cause == end_cause::Crashed &&
        std::all_of(Runs.begin(), Runs.end(), [&](const lost_run &Other) {
          return Other.Task == Run.Task || isSameGang(Other.Task, Run.Task);
        });
    const auto *Suspect =
        countCrash(Found->second, Run, Endpoint, End, IsAlone);
    if (!Suspect || Suspect->Crashes.size() < 2)
      continue;
    NewlyCounted.push_back({Run.Task, IsAlone});
    if (IsAlone)
      exonerate(Run.Task, Suspect->Crashes);
  }
}

suspect_record *schedule_state::countCrash(job_record &Job, const lost_run &Run,
                                           const endpoint_record &Endpoint,
                                           const incarnation_end &End,
                                           bool IsAlone) {
  const auto *Task = findTask(Run.Task);
  if (!Task || Task->IsDone)
    return nullptr;
  auto *Suspect = const_cast<suspect_record *>(Job.findSuspect(Run.Task));
  if (!Suspect) {
    Suspect = &Job.Suspects.emplace_back();
    Suspect->Occurrence = Run.Task.Occurrence;
    Suspect->Step = Run.Task.Step;
    Suspect->Index = Run.Task.Index;
  }
  if (Suspect->Attempt >= Run.Attempt)
    return nullptr;
  Suspect->Attempt = Run.Attempt;
  // Several tasks that crash endpoints can look like the failure of a rack. It
  // is improbable that a second rack fails under the same task by chance.
  if (End.Cause == end_cause::FailedWithRack && Suspect->RackFailures++ == 0)
    return nullptr;
  auto RanMs = std::min(Run.EndedMs - Run.StartedMs, SoundRunMs);
  Suspect->RanMs =
      Suspect->Crashes.empty() ? RanMs : std::min(Suspect->RanMs, RanMs);
  if (Suspect->Crashes.size() == MaxCrashRecords)
    Suspect->Crashes.erase(Suspect->Crashes.begin());
  Suspect->Crashes.push_back({Endpoint.Number, Endpoint.Facts.Id, Endpoint.Host,
                              IsAlone, TimeMs, RanMs,
                              std::min<std::int64_t>(End.SilentMs, RanMs)});
  SuspectJobs.insert(Job.Spec.Id);
  return Suspect;
}

void schedule_state::exonerate(const task_key &Blamed,
                               const std::vector<crash_record> &Crashes) {
  for (const auto &Id : std::set<std::string>(SuspectJobs)) {
    auto &Job = Jobs.find(Id)->second;
    for (auto &Suspect : Job.Suspects) {
      const task_key Key{Id, Suspect.Occurrence, Suspect.Step, Suspect.Index};
      if (Suspect.WasExonerated || Key == Blamed || isSameGang(Key, Blamed) ||
          explainsCrashes(Suspect.history()))
        continue;
      auto IsExplained = [&](const crash_record &Crash) {
        return std::any_of(Crashes.begin(), Crashes.end(),
                           [&](const crash_record &Explained) {
                             return Explained.Incarnation == Crash.Incarnation;
                           });
      };
      Suspect.WasExonerated = std::erase_if(Suspect.Crashes, IsExplained) > 0;
    }
    updateSuspectJob(Job);
  }
}

crash_census schedule_state::crashCensus() const {
  std::set<std::uint32_t> Explained;
  for (const auto &Id : SuspectJobs)
    for (const auto &Suspect : findJob(Id)->Suspects) {
      auto History = Suspect.history();
      if (explainsCrashes(History))
        Explained.insert(History.Incarnations.begin(),
                         History.Incarnations.end());
    }
  crash_census Census;
  for (const auto &Crash : RecentCrashes)
    if (Explained.count(Crash.Incarnation) == 0)
      Census.Unexplained.push_back(Crash);
  for (const auto &[Number, Endpoint] : Endpoints)
    if (!Endpoint.HasEnded)
      ++Census.Endpoints[Endpoint.Facts.Pool];
  return Census;
}

void schedule_state::forgetSuspect(job_record &Job, const task_key &Task) {
  std::erase_if(Job.Suspects, [&](const suspect_record &Suspect) {
    return Suspect.Occurrence == Task.Occurrence && Suspect.Step == Task.Step &&
           Suspect.Index == Task.Index;
  });
  updateSuspectJob(Job);
}

void schedule_state::updateSuspectJob(const job_record &Job) {
  if (std::none_of(
          Job.Suspects.begin(), Job.Suspects.end(),
          [](const suspect_record &Suspect) { return Suspect.isSuspect(); }))
    SuspectJobs.erase(Job.Spec.Id);
}

} // namespace lycheetrestle::scheduling
