#include "fleet/rules.h"

#include <algorithm>
#include <string>

namespace lycheetrestle::fleet {

namespace {

constexpr std::size_t MaxWaves = 100;
constexpr std::size_t MaxReasonBytes = 256;

change makeChange(const wave_record &Wave, std::string Before) {
  return {std::to_string(Wave.Id), std::move(Before),
          std::string(toString(Wave.State)) +
              " total=" + std::to_string(Wave.Total) +
              " done=" + std::to_string(Wave.Done) +
              (Wave.PauseReason.empty() ? "" : " reason=" + Wave.PauseReason),
          jsonText({{"wave", Wave.Id}, {"state", toString(Wave.State)}}),
          false};
}

/// \returns the wave, or a failure if it does not exist or has another state.
core::outcome<wave_record *> findWave(state_data &State, std::uint64_t Id,
                                      wave_state Expected) {
  auto Found = State.Waves.find(Id);
  if (Found == State.Waves.end())
    return refuse(core::error_code::NotFound, "the wave does not exist", "wave",
                  std::to_string(Id));
  if (Found->second.State != Expected)
    return refuse(core::error_code::Conflict,
                  "the wave is " + std::string(toString(Found->second.State)),
                  "wave", std::to_string(Id));
  return &Found->second;
}

bool isDoneOrLost(const host_record &Host, std::uint64_t Wave) {
  return Host.LastWave >= Wave || Host.State == host_state::Failed ||
         Host.State == host_state::SetAside;
}

} // namespace

change_outcome applyTo(state_data &State, const start_wave &, const origin &) {
  if (State.OpenWave != 0)
    return refuse(core::error_code::Conflict,
                  "wave " + std::to_string(State.OpenWave) + " is not finished",
                  "wave", std::to_string(State.OpenWave));
  if (State.Hosts.empty())
    return refuse(core::error_code::Conflict, "no host is declared", "wave",
                  "");
  wave_record Wave;
  Wave.Id = State.NextWave++;
  Wave.Total = static_cast<std::uint32_t>(State.Hosts.size());
  Wave.StartedMs = State.TimeMs;
  State.OpenWave = Wave.Id;
  State.Waves.emplace(Wave.Id, Wave);
  if (State.Waves.size() > MaxWaves)
    State.Waves.erase(State.Waves.begin());
  return makeChange(Wave, "");
}

change_outcome applyTo(state_data &State, const pause_wave &Command,
                       const origin &) {
  auto Found = findWave(State, Command.Wave, wave_state::Running);
  if (auto *Failure = std::get_if<core::failure>(&Found))
    return *Failure;
  auto &Wave = *std::get<wave_record *>(Found);
  Wave.State = wave_state::Paused;
  Wave.PauseReason = Command.Reason.substr(0, MaxReasonBytes);
  return makeChange(Wave, "running");
}

change_outcome applyTo(state_data &State, const resume_wave &Command,
                       const origin &) {
  auto Found = findWave(State, Command.Wave, wave_state::Paused);
  if (auto *Failure = std::get_if<core::failure>(&Found))
    return *Failure;
  auto &Wave = *std::get<wave_record *>(Found);
  Wave.State = wave_state::Running;
  Wave.Failures = 0;
  Wave.PauseReason.clear();
  return makeChange(Wave, "paused");
}

change_outcome applyTo(state_data &State, const finish_wave &Command,
                       const origin &) {
  auto Found = findWave(State, Command.Wave, wave_state::Running);
  if (auto *Failure = std::get_if<core::failure>(&Found))
    return *Failure;
  auto &Wave = *std::get<wave_record *>(Found);
  auto Unfinished = std::find_if(
      State.Hosts.begin(), State.Hosts.end(),
      [&](const auto &Item) { return !isDoneOrLost(Item.second, Wave.Id); });
  if (Unfinished != State.Hosts.end())
    return refuse(core::error_code::Conflict,
                  "the wave has not finished with host " + Unfinished->first,
                  "wave", std::to_string(Wave.Id));
  Wave.State = wave_state::Finished;
  Wave.FinishedMs = State.TimeMs;
  State.OpenWave = 0;
  return makeChange(Wave, "running");
}

void recordWaveFailure(state_data &State, std::uint64_t Wave) {
  auto Found = State.Waves.find(Wave);
  if (Found == State.Waves.end() || Found->second.State == wave_state::Finished)
    return;
  auto &Record = Found->second;
  ++Record.Failures;
  if (Record.State != wave_state::Running ||
      Record.Failures < State.Current->Maintenance.PauseAfterFailures)
    return;
  Record.State = wave_state::Paused;
  Record.PauseReason =
      std::to_string(Record.Failures) + " hosts were lost in the wave";
}

void recordWaveDone(state_data &State, host_record &Host) {
  if (Host.Wave == 0)
    return;
  Host.LastWave = Host.Wave;
  Host.Wave = 0;
  auto Found = State.Waves.find(Host.LastWave);
  if (Found != State.Waves.end())
    ++Found->second.Done;
}

void recordWaveRemoval(state_data &State, const host_record &Host) {
  auto Found = State.Waves.find(State.OpenWave);
  if (Found == State.Waves.end() || Host.LastWave >= State.OpenWave)
    return;
  --Found->second.Total;
}

} // namespace lycheetrestle::fleet
