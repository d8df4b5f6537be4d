#include "reconciler/wave_steps.h"

#include "maintenance/wave_planner.h"

namespace lycheetrestle::reconciler {

namespace {

using fleet::host_goal;
using fleet::host_record;
using fleet::host_state;
using maintenance::host_phase;

// The wave cannot finish before such a host returns, but the host does not
// count against the limit of parallel hosts.
bool isDrainedByOperator(const host_record &Host) {
  return Host.State == host_state::Drained && Host.Goal == host_goal::Drain;
}

host_phase phaseOf(const round &Round, const host_record &Host,
                   std::uint64_t Wave) {
  // An operator's goal that waits for the budget has priority over the wave.
  if (isInTransit(Host) || isDrainedByOperator(Host) ||
      Round.hasStepped(Host.Spec.Name) ||
      (Host.State == host_state::InService && Host.Goal != host_goal::None))
    return host_phase::Busy;
  if (Host.State != host_state::InService)
    return host_phase::Lost;
  if (Host.LastWave >= Wave)
    return host_phase::Done;
  const auto *Report = Round.report(Host.Spec.Name);
  bool Up = Report && Report->Condition != platform::host_condition::Down;
  // A host that is reported down but not failed yet cannot be rebooted.
  return Up ? host_phase::Waiting : host_phase::Busy;
}

void planWave(round &Round, const fleet::wave_record &Wave) {
  const auto &Maintenance = Round.State.currentDeclaration().Maintenance;
  std::vector<maintenance::wave_host> Hosts;
  std::uint32_t OperatorDrained = 0;
  for (const auto &[Name, Host] : Round.State.hosts()) {
    Hosts.push_back({Name, Host.Pool, Host.Spec.Zone, Host.Spec.Rack,
                     phaseOf(Round, Host, Wave.Id)});
    OperatorDrained += isDrainedByOperator(Host) ? 1 : 0;
  }
  auto Summaries = Round.State.pools();
  std::vector<maintenance::wave_pool> Pools;
  for (const auto &Pool : Summaries)
    Pools.push_back(
        {Pool.Name, Round.available(Pool.Name), Round.minimum(Pool.Name)});
  auto Step =
      maintenance::planWaveStep(Pools, Hosts,
                                {Maintenance.MaxParallelHosts + OperatorDrained,
                                 Maintenance.PauseAfterFailures,
                                 Wave.Failures + Round.lossesOf(Wave.Id)});
  if (Step.Pause) {
    Round.Output.Commands.push_back(
        fleet::pause_wave{Wave.Id, std::move(Step.Reason)});
    return;
  }
  if (Step.Finished) {
    Round.Output.Commands.push_back(fleet::finish_wave{Wave.Id});
    return;
  }
  for (auto Name : Step.Start)
    if (auto Host = Round.State.hosts().find(Name);
        Host != Round.State.hosts().end())
      Round.cordon(Host->second, host_goal::Reboot, "", Wave.Id, "wave");
}

} // namespace

void planWaves(round &Round) {
  for (const auto &[Id, Wave] : Round.State.waves())
    if (Wave.State == fleet::wave_state::Running)
      planWave(Round, Wave);
}

} // namespace lycheetrestle::reconciler
