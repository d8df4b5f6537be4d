#ifndef LYCHEETRESTLE_MAINTENANCE_WAVE_PLANNER_H
#define LYCHEETRESTLE_MAINTENANCE_WAVE_PLANNER_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::maintenance {

/// State of a host with regard to a wave.
enum class host_phase : std::uint8_t {
  Waiting, ///< In service and not yet maintained in this wave.
  Busy,    ///< Out of service for an operation, or unable to start one now.
  Done,    ///< In service and maintained in this wave.
  Lost,    ///< Failed or set aside; the wave does not wait for it.
};

/// A host of the wave and its failure domains.
struct wave_host {
  std::string_view Name, Pool, Zone, Rack;
  host_phase Phase = host_phase::Waiting;
};

/// Availability budget of a pool.
struct wave_pool {
  std::string_view Name;
  std::uint32_t Available = 0; ///< Hosts in service now.
  std::uint32_t Minimum = 0;   ///< Smallest allowed number in service.
};

/// Bounds of a wave and its failures so far.
struct wave_limits {
  std::uint32_t MaxParallelHosts = 4; ///< Most hosts that may be Busy at once.
  std::uint32_t PauseAfterFailures = 2; ///< Zero counts as one.
  std::uint32_t FailuresInWave = 0;     ///< Since the start or the last resume.
};

/// Next step of a wave.
struct wave_step {
  std::vector<std::string_view> Start; ///< Hosts to take out of service now.
  bool Pause = false;                  ///< The limit of failures is reached.
  bool Finished = false;               ///< No host is waiting or busy.
  std::string Reason;                  ///< Set with Pause.
};

/// Decides which hosts a wave takes out of service next.
/// \param Pools every pool that has hosts.
/// \param Hosts every host of the wave.
/// \param Limits bounds and failures so far.
/// \returns a step that pauses or finishes the wave, or one with the hosts to
/// start; these take no pool below its minimum.
wave_step planWaveStep(std::span<const wave_pool> Pools,
                       std::span<const wave_host> Hosts,
                       const wave_limits &Limits);

/// Baseline for comparisons: at most one host of each pool at a time, in the
/// order given. The parameters are those of planWaveStep.
wave_step planWaveStepOneByOne(std::span<const wave_pool> Pools,
                               std::span<const wave_host> Hosts,
                               const wave_limits &Limits);

} // namespace lycheetrestle::maintenance

#endif
