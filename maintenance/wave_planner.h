#ifndef LYCHEETRESTLE_MAINTENANCE_WAVE_PLANNER_H
#define LYCHEETRESTLE_MAINTENANCE_WAVE_PLANNER_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::maintenance {

enum class host_phase : std::uint8_t {
  Waiting, ///< In service and not yet maintained in this wave.
  Busy,    ///< Out of service for the wave or another plan.
  Done,    ///< In service and maintained in this wave.
  Lost,    ///< Out of service without a plan.
};

struct wave_host {
  std::string_view Name, Pool, Zone, Rack;
  host_phase Phase = host_phase::Waiting;
};

struct wave_pool {
  std::string_view Name;
  std::uint32_t Available = 0; ///< Hosts in service now.
  std::uint32_t Minimum = 0;   ///< Smallest allowed number in service.
};

struct wave_limits {
  std::uint32_t MaxParallelHosts = 4;
  std::uint32_t PauseAfterFailures = 2;
  std::uint32_t FailuresInWave = 0;
};

struct wave_step {
  std::vector<std::string_view> Start; ///< Hosts to take out of service now.
  bool Pause = false;
  bool Finished = false;
  std::string Reason; ///< Set with Pause.
};

/// Decides which hosts a wave takes out of service next.
/// \param Pools every pool that has hosts.
/// \param Hosts every host of the wave.
/// \param Limits bounds and failures so far.
/// \returns hosts whose start keeps every pool at its minimum or above.
wave_step planWaveStep(std::span<const wave_pool> Pools,
                       std::span<const wave_host> Hosts,
                       const wave_limits &Limits);

/// Baseline: at most one host of each pool at a time, in the order given.
wave_step planWaveStepOneByOne(std::span<const wave_pool> Pools,
                               std::span<const wave_host> Hosts,
                               const wave_limits &Limits);

} // namespace lycheetrestle::maintenance

#endif
