#include "scheduling/host_crash_log.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

// Crashes of a host within this time belong together.
constexpr core::duration Window = std::chrono::seconds(30);
constexpr std::size_t MinCrashes = 2;
// Counted from the newest crash; an endpoint is back after about 3 s.
constexpr core::duration Penalty = std::chrono::seconds(15);

} // namespace

void host_crash_log::record(const std::string &Host, std::uint32_t Endpoint,
                            std::set<task_key> Tasks, core::time_point Now) {
  if (Host.empty())
    return;
  for (auto &[Name, List] : Crashes)
    std::erase_if(List,
                  [&](const crash &Crash) { return Now - Crash.At > Window; });
  std::erase_if(Crashes, [](const auto &Item) { return Item.second.empty(); });
  Crashes[Host].push_back({Endpoint, std::move(Tasks), Now});
}

void host_crash_log::forgive(std::uint32_t Endpoint) {
  for (auto &[Name, List] : Crashes)
    std::erase_if(
        List, [&](const crash &Crash) { return Crash.Endpoint == Endpoint; });
}

bool host_crash_log::hasCrashLoop(const std::string &Host,
                                  core::time_point Now) const {
  auto Found = Crashes.find(Host);
  if (Found == Crashes.end() || Found->second.size() < MinCrashes ||
      Now - Found->second.back().At >= Penalty)
    return false;
  const auto &List = Found->second;
  return std::none_of(List.front().Tasks.begin(), List.front().Tasks.end(),
                      [&](const task_key &Task) {
                        return std::all_of(List.begin(), List.end(),
                                           [&](const crash &Crash) {
                                             return Crash.Tasks.count(Task) > 0;
                                           });
                      });
}

} // namespace lycheetrestle::scheduling
