#include "fleet/types.h"

#include <array>

namespace lycheetrestle::fleet {

namespace {

constexpr std::array<std::string_view, 9> HostStateNames = {
    "in_service", "cordoned",  "draining", "drained",  "rebooting",
    "moving",     "returning", "failed",   "set_aside"};
constexpr std::array<std::string_view, 3> WorkClassNames = {"urgent", "normal",
                                                            "batch"};
constexpr std::array<std::string_view, 4> HostGoalNames = {"none", "drain",
                                                           "reboot", "move"};
constexpr std::array<std::string_view, 3> WaveStateNames = {"running", "paused",
                                                            "finished"};
constexpr std::array<std::string_view, 8> JobStateNames = {
    "waiting",   "starting", "running",   "checkpointed",
    "succeeded", "failed",   "cancelled", "impossible"};

template <std::size_t Size, typename Type>
std::string_view nameOf(const std::array<std::string_view, Size> &Names,
                        Type Value) {
  auto Index = static_cast<std::size_t>(Value);
  return Index < Size ? Names[Index] : std::string_view("unknown");
}

template <typename Type, std::size_t Size>
std::optional<Type> parse(const std::array<std::string_view, Size> &Names,
                          std::string_view Name) {
  for (std::size_t Index = 0; Index < Size; ++Index)
    if (Names[Index] == Name)
      return static_cast<Type>(Index);
  return std::nullopt;
}

} // namespace

std::string_view toString(host_state State) {
  return nameOf(HostStateNames, State);
}

std::optional<host_state> parseHostState(std::string_view Name) {
  return parse<host_state>(HostStateNames, Name);
}

std::string_view toString(work_class Class) {
  return nameOf(WorkClassNames, Class);
}

std::optional<work_class> parseWorkClass(std::string_view Name) {
  return parse<work_class>(WorkClassNames, Name);
}

std::string_view toString(host_goal Goal) {
  return nameOf(HostGoalNames, Goal);
}

std::string_view toString(wave_state State) {
  return nameOf(WaveStateNames, State);
}

std::string_view toString(job_state State) {
  return nameOf(JobStateNames, State);
}

bool holdsLease(job_state State) {
  return State == job_state::Starting || State == job_state::Running;
}

bool hasEnded(job_state State) {
  return State == job_state::Succeeded || State == job_state::Failed ||
         State == job_state::Cancelled || State == job_state::Impossible;
}

std::uint32_t availability_budget::minimum(std::uint32_t HomeHosts) const {
  if (MinAvailableHosts)
    return *MinAvailableHosts;
  std::uint64_t Percent = MinAvailablePercent.value_or(0);
  return static_cast<std::uint32_t>((HomeHosts * Percent + 99) / 100);
}

resources effectiveUse(const job_record &Job) {
  resources Use = Job.Declared;
  if (Job.Learned.Cores != 0)
    Use.Cores = Job.Learned.Cores;
  if (Job.Learned.MemoryMb != 0)
    Use.MemoryMb = Job.Learned.MemoryMb;
  if (Job.Learned.Accelerators != 0)
    Use.Accelerators = Job.Learned.Accelerators;
  return Use;
}

} // namespace lycheetrestle::fleet
