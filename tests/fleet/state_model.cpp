#include "state_model.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lycheetrestle::fleet {

namespace {

constexpr std::int64_t DayMs = 24ll * 3600 * 1000;
// Largest increment of the age of a key by one command.
constexpr std::int64_t MaxAgeStepMs = 60 * 1000;

bool isKeyCommand(const command_body &Body) {
  return std::holds_alternative<reserve_key>(Body) ||
         std::holds_alternative<complete_key>(Body) ||
         std::holds_alternative<abandon_key>(Body);
}

bool sameResult(const apply_result &First, const apply_result &Second) {
  if (First.Failure.has_value() != Second.Failure.has_value() ||
      First.Response != Second.Response)
    return false;
  return !First.Failure || (First.Failure->Code == Second.Failure->Code &&
                            First.Failure->Message == Second.Failure->Message &&
                            First.Failure->Value == Second.Failure->Value);
}

std::string contentBytes(const command &Command) {
  return encode({"", Command.Actor, 0, Command.Body});
}

/// The host life cycle of the design page, including the transitions back to
/// Returning and Drained.
bool isAllowedTransition(host_state From, host_state To) {
  using state = host_state;
  static const std::set<std::pair<state, state>> AllowedTransitions = {
      {state::InService, state::Cordoned}, {state::Cordoned, state::Draining},
      {state::Draining, state::Drained},   {state::Drained, state::Rebooting},
      {state::Drained, state::Moving},     {state::Rebooting, state::Returning},
      {state::Moving, state::Returning},   {state::Returning, state::InService},
      {state::Cordoned, state::Returning}, {state::Draining, state::Returning},
      {state::Drained, state::Returning},  {state::Failed, state::Returning},
      {state::SetAside, state::Returning}, {state::Failed, state::Drained},
      {state::SetAside, state::Drained}};
  return To == state::Failed || To == state::SetAside ||
         AllowedTransitions.count({From, To}) != 0;
}

std::uint32_t minimumOf(const declaration &Declared, const pool_spec &Pool) {
  double Home = static_cast<double>(
      std::count_if(Declared.Hosts.begin(), Declared.Hosts.end(),
                    [&](const auto &H) { return H.HomePool == Pool.Name; }));
  if (Pool.Budget.MinAvailableHosts)
    return *Pool.Budget.MinAvailableHosts;
  auto Minimum =
      static_cast<std::uint32_t>(Home * *Pool.Budget.MinAvailablePercent / 100);
  return Minimum * 100 < Home * *Pool.Budget.MinAvailablePercent ? Minimum + 1
                                                                 : Minimum;
}

std::uint32_t availableIn(const fleet_state &State, const std::string &Pool) {
  return static_cast<std::uint32_t>(std::count_if(
      State.hosts().begin(), State.hosts().end(), [&](const auto &Item) {
        return Item.second.Pool == Pool &&
               Item.second.State == host_state::InService;
      }));
}

} // namespace

void state_model::expect(bool Holds, std::string_view Invariant) {
  if (!Holds)
    Violations.emplace_back(Invariant);
}

bool state_model::checkResend(const command &Command,
                              const apply_result &Result) {
  if (Command.Submission.empty() || isKeyCommand(Command.Body))
    return false;
  auto Earlier = Results.find(Command.Submission);
  if (Earlier == Results.end()) {
    Results[Command.Submission] = {contentBytes(Command), Result};
    return false;
  }
  ++Resent;
  if (Earlier->second.Bytes != contentBytes(Command)) {
    expect(Result.Failure && Result.Failure->Code == core::error_code::Conflict,
           "a submission is not used for another command");
    return false;
  }
  expect(sameResult(Earlier->second.Result, Result),
         "a resend gives the first result");
  return true;
}

void state_model::checkDeclarations(const command &Command,
                                    const apply_result &Result,
                                    const fleet_state &State) {
  const auto *Submitted = std::get_if<submit_declaration>(&Command.Body);
  const auto &Current = State.currentDeclaration();
  if (!Submitted || Result.Failure) {
    expect(Current == Before.Declaration,
           "the declaration changes only by an accepted one");
    return;
  }
  auto Number = Submitted->Declaration.Number;
  expect(AcceptedBy.emplace(Number, Command.Submission).second,
         "a declaration number is accepted at most once");
  expect(Number > Before.Declaration.Number, "declaration numbers increase");
  expect(Current == Submitted->Declaration,
         "the accepted declaration is current");
}

void state_model::checkHostChange(const command &Command,
                                  const host_record &Old,
                                  const host_record &New,
                                  const fleet_state &State) {
  bool StateChanged = Old.State != New.State;
  expect(New.Epoch == Old.Epoch + (StateChanged ? 1 : 0),
         "each transition increments the epoch by one");
  if (Old.Pool != New.Pool) {
    expect(Old.State == host_state::Moving &&
               New.State == host_state::Returning && New.Pool == Old.TargetPool,
           "a pool changes only when a move ends");
    for (const auto &[Id, Job] : State.jobs())
      expect(!holdsLease(Job.State) || Job.Host != New.Spec.Name,
             "a host with jobs does not change its pool");
  }
  if (!StateChanged)
    return;
  expect(isAllowedTransition(Old.State, New.State),
         "every transition is part of the life cycle");
  const auto *Change = std::get_if<change_host_state>(&Command.Body);
  expect(Change && Change->Host == New.Spec.Name &&
             Change->FromEpoch == Old.Epoch,
         "a state changes only by a command with its epoch");
  if (New.State == host_state::Cordoned)
    for (const auto &Pool : State.currentDeclaration().Pools)
      if (Pool.Name == New.Pool)
        expect(availableIn(State, Pool.Name) >=
                   minimumOf(State.currentDeclaration(), Pool),
               "a planned transition keeps the pool within its budget");
}

void state_model::checkHosts(const command &Command, const fleet_state &State) {
  const auto &Declared = State.currentDeclaration();
  expect(State.hosts().size() == Declared.Hosts.size(),
         "the hosts are the declared ones");
  for (const auto &[Name, Host] : State.hosts()) {
    auto Old = Before.Hosts.find(Name);
    if (Old == Before.Hosts.end()) {
      auto Largest = LargestEpochs.find(Name);
      expect(Largest == LargestEpochs.end() || Host.Epoch > Largest->second,
             "a host that is declared again has a larger epoch");
      expect(Host.State == host_state::InService &&
                 Host.Pool == Host.Spec.HomePool,
             "a new host starts in its home pool and in service");
    } else if (Old->second != Host) {
      checkHostChange(Command, Old->second, Host, State);
    }
    LargestEpochs[Name] = std::max(LargestEpochs[Name], Host.Epoch);
  }
  for (const auto &[Name, Host] : Before.Hosts)
    if (!State.hosts().count(Name))
      expect(Host.State == host_state::Drained ||
                 Host.State == host_state::Failed ||
                 Host.State == host_state::SetAside,
             "a removed host was out of service");
}

void state_model::checkPools(const fleet_state &State) {
  const auto &Declared = State.currentDeclaration();
  std::size_t Counted = 0;
  for (const auto &Pool : Declared.Pools) {
    auto Summaries = State.pools();
    auto Found =
        std::find_if(Summaries.begin(), Summaries.end(),
                     [&](const auto &S) { return S.Name == Pool.Name; });
    if (Found == Summaries.end()) {
      expect(false, "every declared pool has counters");
      continue;
    }
    auto Hosts = std::count_if(
        State.hosts().begin(), State.hosts().end(),
        [&](const auto &H) { return H.second.Pool == Pool.Name; });
    expect(Found->Hosts == static_cast<std::uint32_t>(Hosts) &&
               Found->Available == availableIn(State, Pool.Name) &&
               Found->Minimum == minimumOf(Declared, Pool),
           "the counters of a pool equal a recount");
    Counted += static_cast<std::size_t>(Hosts);
  }
  expect(Counted == State.hosts().size(),
         "every host is in exactly one declared pool");
}

void state_model::checkJobs(const fleet_state &State) {
  struct sums {
    std::uint64_t Cores = 0, MemoryMb = 0, Accelerators = 0;
  };
  std::map<std::string, sums> ByHost, ByTeam;
  for (const auto &[Id, Job] : State.jobs()) {
    auto Old = Before.Jobs.find(Id);
    if (Old != Before.Jobs.end()) {
      const auto &Earlier = Old->second;
      expect(Job.Lease >= Earlier.Lease, "lease numbers never decrease");
      expect(!holdsLease(Job.State) || !holdsLease(Earlier.State) ||
                 Job.Host == Earlier.Host,
             "a job changes its host only between leases");
    }
    if (!holdsLease(Job.State))
      continue;
    auto Use = effectiveUse(Job);
    for (auto *Sum : {&ByHost[Job.Host], &ByTeam[Job.Team]}) {
      Sum->Cores += Use.Cores;
      Sum->MemoryMb += Use.MemoryMb;
      Sum->Accelerators += Use.Accelerators;
    }
    expect(State.hosts().count(Job.Host) != 0, "a leased job has a host");
  }
  auto Fits = [](const sums &Sum, const resources &Limit) {
    return Sum.Cores <= Limit.Cores && Sum.MemoryMb <= Limit.MemoryMb &&
           Sum.Accelerators <= Limit.Accelerators;
  };
  for (const auto &[Id, Job] : State.jobs()) {
    auto Old = Before.Jobs.find(Id);
    if (Job.State != job_state::Starting || Old == Before.Jobs.end() ||
        holdsLease(Old->second.State))
      continue;
    const auto &Host = State.hosts().find(Job.Host)->second;
    expect(Host.State == host_state::InService && Host.Pool == Job.Pool &&
               Host.Epoch == Job.HostEpoch,
           "a job starts on a host in service in its pool");
    expect(Job.Lease == Old->second.Lease + 1, "a start takes a new lease");
    expect(!Old->second.CancelRequested, "a cancelled job does not start");
    expect(Fits(ByHost[Job.Host], Host.Spec.Size),
           "a start stays within the size of the host");
    for (const auto &Team : State.currentDeclaration().Teams)
      expect(Team.Name != Job.Team || Fits(ByTeam[Job.Team], Team.Quota),
             "a start stays within the quota of the team");
  }
}

void state_model::checkWaves(const fleet_state &State) {
  int Open = 0;
  for (const auto &[Id, Wave] : State.waves()) {
    Open += Wave.State != wave_state::Finished ? 1 : 0;
    expect(Wave.Done <= Wave.Total,
           "a wave has at most as many done hosts as hosts");
    auto Old = Before.Waves.find(Id);
    if (Wave.State == wave_state::Finished && Old != Before.Waves.end() &&
        Old->second.State != wave_state::Finished)
      for (const auto &[Name, Host] : State.hosts())
        expect(Host.LastWave >= Id || Host.State == host_state::Failed ||
                   Host.State == host_state::SetAside,
               "a finished wave has no host left");
    bool Lost =
        Old != Before.Waves.end() && Wave.Failures > Old->second.Failures;
    if (Lost && Wave.Failures >=
                    State.currentDeclaration().Maintenance.PauseAfterFailures)
      expect(Wave.State == wave_state::Paused,
             "a wave pauses at the declared number of failures");
  }
  expect(Open <= 1, "one wave runs at a time");
}

void state_model::checkKeys(const command &Command, const apply_result &Result,
                            const fleet_state &State) {
  KeyClockMs += std::min(State.timeMs() - Before.TimeMs, MaxAgeStepMs);
  std::erase_if(Keys, [&](const auto &Item) {
    return Item.second.ReservedMs < KeyClockMs - DayMs;
  });
  if (const auto *Reserve = std::get_if<reserve_key>(&Command.Body)) {
    auto Outcome =
        Result.Failure
            ? std::string("failed")
            : nlohmann::json::parse(Result.Response).value("outcome", "");
    auto Held = Keys.find(Reserve->Key);
    if (Outcome == "granted") {
      expect(Held == Keys.end() || (Held->second.Holder == Reserve->Holder &&
                                    !Held->second.Completed),
             "a key is granted to one holder, and never after it completed");
      if (Held == Keys.end())
        Keys[Reserve->Key] = {Reserve->Holder, false, KeyClockMs};
    }
    if (Outcome == "stored")
      expect(Held != Keys.end() && Held->second.Completed,
             "only a completed key gives a stored response");
  } else if (const auto *Complete = std::get_if<complete_key>(&Command.Body);
             Complete && !Result.Failure) {
    auto Held = Keys.find(Complete->Key);
    expect(Held != Keys.end() && Held->second.Holder == Complete->Holder,
           "only the holder completes a key");
    if (Held != Keys.end())
      Held->second.Completed = true;
  } else if (const auto *Abandon = std::get_if<abandon_key>(&Command.Body);
             Abandon && !Result.Failure) {
    auto Held = Keys.find(Abandon->Key);
    expect(Held == Keys.end() || (Held->second.Holder == Abandon->Holder &&
                                  !Held->second.Completed),
           "only the holder of an uncompleted key releases it");
    Keys.erase(Abandon->Key);
  }
  expect(State.keyCount() == Keys.size(), "no key is lost or kept too long");
}

void state_model::checkAudit(const command &Command, const apply_result &Result,
                             bool IsResend, const fleet_state &State) {
  audit_filter New;
  New.AfterIndex = State.appliedIndex() - 1;
  auto Records = State.audit(New);
  if (IsResend || isKeyCommand(Command.Body)) {
    expect(Records.empty(), "resends and key commands are not audited");
    return;
  }
  bool Routine = !Result.Failure &&
                 (std::holds_alternative<renew_job_lease>(Command.Body) ||
                  std::holds_alternative<change_job_state>(Command.Body));
  expect(Records.size() == 1 || (Routine && Records.empty()),
         "every other command has one audit record");
  for (const auto &Record : Records)
    expect(Record.Actor == Command.Actor &&
               Record.Result == (Result.Failure
                                     ? core::toString(Result.Failure->Code)
                                     : std::string_view("accepted")),
           "an audit record contains actor and result");
}

std::vector<std::string> state_model::check(const command &Command,
                                            const apply_result &Result,
                                            const fleet_state &State) {
  Violations.clear();
  bool IsResend = checkResend(Command, Result);
  ++(Result.Failure ? Refused : Accepted);
  if (IsResend || Result.Failure)
    expect(State.hosts() == Before.Hosts && State.waves() == Before.Waves &&
               State.jobs() == Before.Jobs &&
               State.currentDeclaration() == Before.Declaration &&
               State.viewIndex() == Before.ViewIndex,
           "resends and refusals change nothing");
  else
    checkDeclarations(Command, Result, State);
  checkHosts(Command, State);
  checkPools(State);
  checkJobs(State);
  checkWaves(State);
  checkKeys(Command, Result, State);
  checkAudit(Command, Result, IsResend, State);
  expect(State.viewIndex() >= Before.ViewIndex,
         "the view index never decreases");
  expect(State.timeMs() == std::max(Before.TimeMs, Command.TimeMs),
         "time is the largest command time");
  Before = {State.hosts(),     State.waves(),
            State.jobs(),      State.currentDeclaration(),
            State.viewIndex(), State.timeMs()};
  return Violations;
}

} // namespace lycheetrestle::fleet
