#include "core/invariant.h"
#include "fleet/rules.h"

#include <algorithm>
#include <string>

namespace lycheetrestle::fleet {

namespace {

constexpr std::size_t MaxOpenJobs = 20'000;
constexpr std::size_t MaxEndedJobs = 2'000;
constexpr std::size_t MaxFailedOn = 32;
constexpr std::size_t MaxReasonBytes = 256;
// Prevent overflow of the 64-bit sums over all jobs.
constexpr std::uint32_t MaxCores = 1u << 20;
constexpr std::uint64_t MaxMemoryMb = 1ull << 40;
constexpr std::uint32_t MaxAccelerators = 1u << 16;

bool isBounded(const resources &Use) {
  return Use.Cores <= MaxCores && Use.MemoryMb <= MaxMemoryMb &&
         Use.Accelerators <= MaxAccelerators;
}

core::failure refuseJob(core::error_code Code, std::string Message,
                        std::uint64_t Job) {
  return refuse(Code, std::move(Message), "job", std::to_string(Job));
}

std::string describe(const job_record &Job) {
  std::string Text(toString(Job.State));
  if (!Job.Host.empty())
    Text += " host=" + Job.Host;
  if (Job.Lease != 0)
    Text += " lease=" + std::to_string(Job.Lease);
  if (Job.CancelRequested)
    Text += " cancel_requested";
  return Text;
}

change makeChange(const job_record &Job, std::string Before) {
  auto After = describe(Job);
  if (!Job.Reason.empty())
    After += " reason=" + Job.Reason;
  return {std::to_string(Job.Id), std::move(Before), After,
          jsonText({{"job", Job.Id},
                    {"state", toString(Job.State)},
                    {"lease", Job.Lease}}),
          false};
}

/// \returns whether a report or decision may change a job's state like this.
bool isLegal(job_state From, job_state To) {
  switch (To) {
  case job_state::Running:
    return holdsLease(From);
  case job_state::Waiting:
    return holdsLease(From) || From == job_state::Failed;
  case job_state::Checkpointed:
  case job_state::Succeeded:
    return holdsLease(From);
  case job_state::Failed:
  case job_state::Cancelled:
    return holdsLease(From);
  case job_state::Impossible:
    return From == job_state::Waiting || From == job_state::Checkpointed ||
           From == job_state::Failed;
  default:
    return false;
  }
}

void endJob(job_record &Job, job_state To, std::uint64_t Index) {
  Job.State = To;
  Job.EndedIndex = Index;
}

void dropOldJobs(state_data &State) {
  while (State.EndedJobs.size() > MaxEndedJobs) {
    State.Jobs.erase(State.EndedJobs.begin()->second);
    State.EndedJobs.erase(State.EndedJobs.begin());
  }
}

std::optional<core::failure> checkStart(const state_data &State,
                                        const job_record &Job,
                                        const start_job &Command) {
  if (Job.State != job_state::Waiting && Job.State != job_state::Checkpointed)
    return refuseJob(core::error_code::Conflict,
                     "the job is " + std::string(toString(Job.State)), Job.Id);
  if (Job.CancelRequested)
    return refuseJob(core::error_code::Conflict,
                     "the job was asked to be cancelled", Job.Id);
  auto Found = State.Hosts.find(Command.Host);
  if (Found == State.Hosts.end())
    return refuse(core::error_code::NotFound, "the host is not declared",
                  "host", Command.Host);
  const auto &Host = Found->second;
  if (Host.Epoch != Command.HostEpoch)
    return refuse(core::error_code::StaleEpoch,
                  "the host has epoch " + std::to_string(Host.Epoch), "epoch",
                  std::to_string(Command.HostEpoch));
  if (Host.State != host_state::InService)
    return refuse(core::error_code::Conflict,
                  "the host is " + std::string(toString(Host.State)), "host",
                  Command.Host);
  if (Host.Pool != Job.Pool)
    return refuse(core::error_code::Conflict,
                  "the host belongs to pool " + Host.Pool, "pool", Job.Pool);
  if (Command.LeaseUntilMs <= State.TimeMs)
    return refuse(core::error_code::BadInput, "the lease must end in future",
                  "lease_until_ms", std::to_string(Command.LeaseUntilMs));
  auto Team = State.Teams.find(Job.Team);
  if (Team == State.Teams.end() || !Team->second.Declared)
    return refuse(core::error_code::NotFound, "the team is not declared",
                  "team", Job.Team);
  auto Use = effectiveUse(Job);
  if (!Team->second.Use.fitsWith(Use, Team->second.Quota))
    return refuse(core::error_code::Overloaded,
                  "the job would exceed the quota of its team", "team",
                  Job.Team);
  auto Load = State.Loads.find(Command.Host);
  auto InUse = Load == State.Loads.end() ? resource_sum() : Load->second.Use;
  if (!InUse.fitsWith(Use, Host.Spec.Size))
    return refuse(core::error_code::Overloaded,
                  "the host has no room for the job", "host", Command.Host);
  return std::nullopt;
}

} // namespace

change_outcome applyTo(state_data &State, const submit_job &Command,
                       const origin &) {
  auto Team = State.Teams.find(Command.Team);
  if (Team == State.Teams.end() || !Team->second.Declared)
    return refuse(core::error_code::NotFound, "the team is not declared",
                  "team", Command.Team);
  if (State.Pools.find(Command.Pool) == State.Pools.end())
    return refuse(core::error_code::NotFound, "the pool is not declared",
                  "pool", Command.Pool);
  if (Command.Declared.Cores == 0 || !isBounded(Command.Declared))
    return refuse(core::error_code::BadInput,
                  "must be at least one core and within the bounds",
                  "resources", std::to_string(Command.Declared.Cores));
  if (State.Jobs.size() - State.EndedJobs.size() >= MaxOpenJobs)
    return refuse(core::error_code::Overloaded, "the table of jobs is full",
                  "team", Command.Team);
  job_record Job;
  Job.Id = State.NextJob++;
  Job.Team = Command.Team;
  Job.Pool = Command.Pool;
  Job.Class = Command.Class;
  Job.Declared = Command.Declared;
  Job.DeclaredRunSeconds = Command.RunSeconds;
  Job.SubmittedMs = State.TimeMs;
  auto &Added = State.Jobs.emplace(Job.Id, std::move(Job)).first->second;
  auto Change = makeChange(Added, "");
  Change.After += " team=" + Added.Team + " pool=" + Added.Pool;
  return Change;
}

change_outcome applyTo(state_data &State, const cancel_job &Command,
                       const origin &From) {
  auto Found = State.Jobs.find(Command.Job);
  if (Found == State.Jobs.end())
    return refuseJob(core::error_code::NotFound, "the job does not exist",
                     Command.Job);
  auto &Job = Found->second;
  if (Job.State == job_state::Succeeded || Job.State == job_state::Impossible)
    return refuseJob(core::error_code::Conflict,
                     "the job is " + std::string(toString(Job.State)), Job.Id);
  auto Before = describe(Job);
  if (Job.State != job_state::Cancelled)
    State.changeJob(Job, [&](job_record &Changed) {
      Changed.CancelRequested = true;
      // A host that runs the job must stop it first.
      if (!holdsLease(Changed.State))
        endJob(Changed, job_state::Cancelled, From.Index);
    });
  auto Change = makeChange(Job, Before);
  dropOldJobs(State);
  return Change;
}

change_outcome applyTo(state_data &State, const start_job &Command,
                       const origin &) {
  auto Found = State.Jobs.find(Command.Job);
  if (Found == State.Jobs.end())
    return refuseJob(core::error_code::NotFound, "the job does not exist",
                     Command.Job);
  auto &Job = Found->second;
  if (auto Failure = checkStart(State, Job, Command))
    return *Failure;
  auto Before = describe(Job);
  State.changeJob(Job, [&](job_record &Changed) {
    Changed.State = job_state::Starting;
    Changed.Host = Command.Host;
    Changed.HostEpoch = Command.HostEpoch;
    ++Changed.Lease;
    Changed.LeaseUntilMs = Command.LeaseUntilMs;
    Changed.Reason.clear();
  });
  const auto &Load = State.Loads.find(Job.Host)->second;
  core::checkInvariant(
      Load.Use.fitsWith({}, State.Hosts.find(Job.Host)->second.Spec.Size),
      "a started job fits into its host");
  return makeChange(Job, Before);
}

change_outcome applyTo(state_data &State, const renew_job_lease &Command,
                       const origin &) {
  auto Found = State.Jobs.find(Command.Job);
  if (Found == State.Jobs.end())
    return refuseJob(core::error_code::NotFound, "the job does not exist",
                     Command.Job);
  auto &Job = Found->second;
  if (!holdsLease(Job.State) || Job.Lease != Command.Lease)
    return refuse(core::error_code::StaleEpoch, "the job is " + describe(Job),
                  "lease", std::to_string(Command.Lease));
  if (Command.LeaseUntilMs < Job.LeaseUntilMs)
    return refuse(core::error_code::Conflict, "a lease cannot become shorter",
                  "lease_until_ms", std::to_string(Command.LeaseUntilMs));
  Job.LeaseUntilMs = Command.LeaseUntilMs;
  auto Change = makeChange(Job, "");
  Change.Routine = true;
  return Change;
}

change_outcome applyTo(state_data &State, const change_job_state &Command,
                       const origin &From) {
  auto Found = State.Jobs.find(Command.Job);
  if (Found == State.Jobs.end())
    return refuseJob(core::error_code::NotFound, "the job does not exist",
                     Command.Job);
  auto &Job = Found->second;
  if (Job.Lease != Command.Lease)
    return refuse(core::error_code::StaleEpoch,
                  "the job has lease " + std::to_string(Job.Lease), "lease",
                  std::to_string(Command.Lease));
  if (!isLegal(Job.State, Command.To))
    return refuseJob(core::error_code::Conflict,
                     "a job cannot go from " +
                         std::string(toString(Job.State)) + " to " +
                         std::string(toString(Command.To)),
                     Job.Id);
  // The host may run the job until its lease has expired.
  if (Command.To == job_state::Waiting && holdsLease(Job.State) &&
      State.TimeMs < Job.LeaseUntilMs)
    return refuseJob(core::error_code::Conflict, "the lease is still live",
                     Job.Id);
  if (!isBounded(Command.Learned))
    return refuse(core::error_code::BadInput, "must be within the bounds",
                  "learnt", std::to_string(Command.Learned.Cores));
  auto Before = describe(Job);
  bool Routine = Job.State == Command.To;
  State.changeJob(Job, [&](job_record &Changed) {
    if (Command.Learned != resources())
      Changed.Learned = Command.Learned;
    Changed.Reason = Command.Reason.substr(0, MaxReasonBytes);
    auto &Hosts = Changed.FailedOn;
    if (Command.To == job_state::Failed && Hosts.size() < MaxFailedOn &&
        std::find(Hosts.begin(), Hosts.end(), Changed.Host) == Hosts.end())
      Hosts.push_back(Changed.Host);
    bool Waits = Command.To == job_state::Waiting ||
                 Command.To == job_state::Checkpointed;
    if (Waits && Changed.CancelRequested)
      endJob(Changed, job_state::Cancelled, From.Index);
    else if (hasEnded(Command.To))
      endJob(Changed, Command.To, From.Index);
    else
      Changed.State = Command.To;
    if (!hasEnded(Changed.State))
      Changed.EndedIndex = 0;
    // An ended job keeps its last host for the operator.
    if (!holdsLease(Changed.State) && !hasEnded(Changed.State)) {
      Changed.Host.clear();
      Changed.HostEpoch = 0;
      Changed.LeaseUntilMs = 0;
    }
  });
  auto Change = makeChange(Job, Before);
  Change.Routine = Routine;
  dropOldJobs(State);
  return Change;
}

} // namespace lycheetrestle::fleet
