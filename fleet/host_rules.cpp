#include "core/invariant.h"
#include "fleet/rules.h"

#include <string>
#include <string_view>

namespace lycheetrestle::fleet {

namespace {

bool isLost(host_state State) {
  return State == host_state::Failed || State == host_state::SetAside;
}

/// \returns whether the goal can change in this state without affecting an
/// operation that the platform is carrying out.
bool acceptsGoalNow(host_state State) {
  return State != host_state::Rebooting && State != host_state::Moving;
}

bool isLegal(host_state From, host_state To) {
  if (isLost(To))
    return From != To;
  switch (To) {
  case host_state::Cordoned:
    return From == host_state::InService;
  case host_state::Draining:
    return From == host_state::Cordoned;
  case host_state::Drained:
    // A lost host may be rebooted or moved without returning first.
    return From == host_state::Draining || isLost(From);
  case host_state::Rebooting:
  case host_state::Moving:
    return From == host_state::Drained;
  case host_state::Returning:
    return From != host_state::InService && From != host_state::Returning;
  case host_state::InService:
    return From == host_state::Returning;
  default:
    return false;
  }
}

std::optional<core::failure> checkTarget(const state_data &State,
                                         const host_record &Host,
                                         host_goal Goal,
                                         std::string_view TargetPool) {
  if (Goal != host_goal::Move)
    return TargetPool.empty()
               ? std::nullopt
               : std::optional(refuse(core::error_code::BadInput,
                                      "must be empty unless the goal is move",
                                      "pool", TargetPool));
  if (State.Pools.find(TargetPool) == State.Pools.end())
    return refuse(core::error_code::NotFound, "the pool is not declared",
                  "pool", TargetPool);
  // While a host moves, Pool is still the old pool. Requests to move it back
  // there or to its current target are valid.
  if (Host.Pool == TargetPool && Host.State != host_state::Moving)
    return refuse(core::error_code::Conflict,
                  "the host belongs to the pool already", "pool", TargetPool);
  return std::nullopt;
}

core::failure refuseBudget(const host_record &Host, const pool_entry &Pool) {
  return refuse(core::error_code::BudgetExceeded,
                "pool " + Host.Pool + " has " + std::to_string(Pool.Available) +
                    " hosts in service and must keep " +
                    std::to_string(Pool.minimum()),
                "host", Host.Spec.Name);
}

std::optional<core::failure> checkCordon(const state_data &State,
                                         const host_record &Host,
                                         const change_host_state &Command) {
  if (Command.Goal == host_goal::None)
    return refuse(core::error_code::BadInput,
                  "a host is taken out of service for a goal", "goal", "none");
  if (auto Failure = checkTarget(State, Host, Command.Goal, Command.TargetPool))
    return Failure;
  if (Host.Goal != host_goal::None &&
      (Host.Goal != Command.Goal || Host.TargetPool != Command.TargetPool))
    return refuse(core::error_code::Conflict,
                  "the goal " + std::string(toString(Host.Goal)) +
                      " was requested for the host and comes first",
                  "goal", toString(Command.Goal));
  if (Command.Wave != 0) {
    auto Wave = State.Waves.find(Command.Wave);
    if (Wave == State.Waves.end())
      return refuse(core::error_code::NotFound, "the wave does not exist",
                    "wave", std::to_string(Command.Wave));
    if (Wave->second.State != wave_state::Running)
      return refuse(core::error_code::Conflict,
                    "the wave is " + std::string(toString(Wave->second.State)),
                    "wave", std::to_string(Command.Wave));
    if (Command.Goal != host_goal::Reboot)
      return refuse(core::error_code::BadInput, "a wave reboots its hosts",
                    "goal", toString(Command.Goal));
    if (Host.LastWave >= Command.Wave)
      return refuse(core::error_code::Conflict,
                    "the wave has finished with the host", "host",
                    Host.Spec.Name);
  }
  const auto &Pool = State.Pools.find(Host.Pool)->second;
  if (Pool.Available <= Pool.minimum())
    return refuseBudget(Host, Pool);
  return std::nullopt;
}

std::optional<core::failure> checkStep(const state_data &State,
                                       const host_record &Host,
                                       const change_host_state &Command) {
  auto RefuseGoal = [&] {
    return refuse(core::error_code::Conflict,
                  "the goal of the host is " + std::string(toString(Host.Goal)),
                  "state", toString(Command.To));
  };
  auto RefuseWork = [&] {
    return refuse(core::error_code::Conflict, "jobs still hold the host",
                  "host", Host.Spec.Name);
  };
  bool HasJobs = State.hasJobs(Host.Spec.Name);
  switch (Command.To) {
  case host_state::Cordoned:
    return checkCordon(State, Host, Command);
  case host_state::Drained:
    if (HasJobs)
      return RefuseWork();
    return std::nullopt;
  case host_state::Rebooting:
    if (Host.Goal != host_goal::Reboot)
      return RefuseGoal();
    return std::nullopt;
  case host_state::Moving: {
    if (Host.Goal != host_goal::Move)
      return RefuseGoal();
    // A pool that failures left below its budget needs the host back.
    const auto &Pool = State.Pools.find(Host.Pool)->second;
    if (Pool.Available < Pool.minimum())
      return refuseBudget(Host, Pool);
    return std::nullopt;
  }
  case host_state::Returning:
    if (Host.State == host_state::Moving && HasJobs)
      return RefuseWork();
    // The goal must be withdrawn before the host returns without reaching it,
    // so that a delayed decision cannot cancel an operator's request.
    if ((Host.State == host_state::Cordoned ||
         Host.State == host_state::Draining ||
         Host.State == host_state::Drained ||
         Host.State == host_state::SetAside) &&
        Host.Goal != host_goal::None)
      return RefuseGoal();
    return std::nullopt;
  default:
    return std::nullopt;
  }
}

void setGoal(host_record &Host, host_goal Goal, const std::string &Pool) {
  Host.Goal = Goal;
  Host.TargetPool = Pool;
}

void promoteNextGoal(host_record &Host) {
  setGoal(Host, Host.NextGoal, Host.NextTargetPool);
  Host.NextGoal = host_goal::None;
  Host.NextTargetPool.clear();
  if (Host.Goal == host_goal::Move && Host.TargetPool == Host.Pool)
    setGoal(Host, host_goal::None, "");
}

/// Sets the state, and updates goal, pool and wave accordingly.
void applyTransition(state_data &State, host_record &Host,
                     const change_host_state &Command) {
  auto From = Host.State;
  switch (Command.To) {
  case host_state::Cordoned:
    setGoal(Host, Command.Goal, Command.TargetPool);
    Host.Wave = Command.Wave;
    break;
  case host_state::Returning:
    if (From == host_state::Moving)
      Host.Pool = Host.TargetPool;
    if (!acceptsGoalNow(From))
      promoteNextGoal(Host);
    else
      Host.Wave = 0;
    break;
  case host_state::InService:
    recordWaveDone(State, Host);
    break;
  case host_state::Failed:
  case host_state::SetAside: {
    auto Wave = Host.Wave;
    Host.Wave = 0;
    if (!acceptsGoalNow(From) && Host.NextGoal != host_goal::None)
      promoteNextGoal(Host);
    else if (Wave != 0)
      setGoal(Host, host_goal::None, "");
    // A quarantined host stays out until an operator requests its return.
    if (Command.To == host_state::SetAside)
      setGoal(Host, host_goal::Drain, "");
    recordWaveFailure(State, Wave);
    break;
  }
  default:
    break;
  }
  Host.State = Command.To;
}

std::string describe(const host_record &Host) {
  std::string Text = std::string(toString(Host.State)) +
                     " epoch=" + std::to_string(Host.Epoch) +
                     " pool=" + Host.Pool;
  if (Host.Goal != host_goal::None)
    Text += " goal=" + std::string(toString(Host.Goal));
  if (!Host.TargetPool.empty())
    Text += " target=" + Host.TargetPool;
  if (Host.NextGoal != host_goal::None)
    Text += " next_goal=" + std::string(toString(Host.NextGoal));
  if (Host.Wave != 0)
    Text += " wave=" + std::to_string(Host.Wave);
  return Text;
}

std::string responseFor(const host_record &Host) {
  return jsonText({{"host", Host.Spec.Name},
                   {"state", toString(Host.State)},
                   {"epoch", Host.Epoch},
                   {"pool", Host.Pool},
                   {"goal", toString(Host.Goal)}});
}

} // namespace

change_outcome applyTo(state_data &State, const request_host_goal &Command,
                       const origin &) {
  auto Found = State.Hosts.find(Command.Host);
  if (Found == State.Hosts.end())
    return refuse(core::error_code::NotFound, "the host is not declared",
                  "host", Command.Host);
  auto &Host = Found->second;
  if (auto Failure = checkTarget(State, Host, Command.Goal, Command.TargetPool))
    return *Failure;
  auto Before = describe(Host);
  State.changeHost(Host, [&](host_record &Changed) {
    if (acceptsGoalNow(Changed.State)) {
      setGoal(Changed, Command.Goal, Command.TargetPool);
      // An operator's goal replaces that of a wave, which selects the host
      // again later.
      if (Command.Goal != host_goal::Reboot &&
          Changed.State != host_state::Returning)
        Changed.Wave = 0;
    } else {
      bool IsInProgress = Command.Goal == Changed.Goal &&
                          Command.TargetPool == Changed.TargetPool;
      Changed.NextGoal = IsInProgress ? host_goal::None : Command.Goal;
      Changed.NextTargetPool =
          IsInProgress ? std::string() : Command.TargetPool;
    }
  });
  return change{"", Before, describe(Host), responseFor(Host), false};
}

change_outcome applyTo(state_data &State, const change_host_state &Command,
                       const origin &From) {
  auto Found = State.Hosts.find(Command.Host);
  if (Found == State.Hosts.end())
    return refuse(core::error_code::NotFound, "the host is not declared",
                  "host", Command.Host);
  auto &Host = Found->second;
  if (Host.Epoch != Command.FromEpoch)
    return refuse(core::error_code::StaleEpoch,
                  "the host has epoch " + std::to_string(Host.Epoch), "epoch",
                  std::to_string(Command.FromEpoch));
  if (!isLegal(Host.State, Command.To))
    return refuse(core::error_code::Conflict,
                  "a host cannot go from " + std::string(toString(Host.State)) +
                      " to " + std::string(toString(Command.To)),
                  "state", toString(Command.To));
  if (auto Failure = checkStep(State, Host, Command))
    return *Failure;

  auto Before = describe(Host);
  auto EpochBefore = Host.Epoch;
  State.changeHost(Host, [&](host_record &Changed) {
    applyTransition(State, Changed, Command);
    ++Changed.Epoch;
    Changed.ChangedIndex = From.Index;
    Changed.ChangedMs = State.TimeMs;
  });
  State.ViewIndex = From.Index;
  core::checkInvariant(Host.Epoch == EpochBefore + 1,
                       "a host transition increments the epoch by one");
  if (Command.To == host_state::Cordoned) {
    const auto &Pool = State.Pools.find(Host.Pool)->second;
    core::checkInvariant(
        Pool.Available >= Pool.minimum(),
        "a planned transition keeps the pool within its budget");
  }
  auto After = describe(Host);
  if (!Command.Reason.empty())
    After += " reason=" + Command.Reason;
  return change{"", Before, After, responseFor(Host), false};
}

} // namespace lycheetrestle::fleet
