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

// Crashes of hosts within this time are one event: the list of hosts and
// unanswered polls show them up to this far apart.
constexpr core::duration MassWindow = std::chrono::seconds(2);
constexpr std::size_t MinMassHosts = 3;

} // namespace

void host_crash_log::record(const std::string &Host, std::uint32_t Endpoint,
                            std::set<task_key> Tasks, core::time_point Now) {
  add(Host, {Endpoint, std::move(Tasks), Now, false});
}

void host_crash_log::recordRackFailure(const std::string &Host,
                                       core::time_point Now) {
  add(Host, {0, {}, Now, true});
}

void host_crash_log::add(const std::string &Host, crash Crash) {
  if (Host.empty())
    return;
  auto Now = Crash.At;
  for (auto &[Name, List] : Crashes)
    std::erase_if(List,
                  [&](const crash &Known) { return Now - Known.At > Window; });
  std::erase_if(Crashes, [](const auto &Item) { return Item.second.empty(); });
  Crashes[Host].push_back(std::move(Crash));
  std::vector<crash *> Recent;
  for (auto &[Name, List] : Crashes)
    if (Now - List.back().At <= MassWindow)
      Recent.push_back(&List.back());
  if (Recent.size() >= MinMassHosts)
    for (auto *Known : Recent)
      Known->IsOfMany = true;
}

bool host_crash_log::hasCrashed(const std::string &Host,
                                core::time_point Now) const {
  auto Found = Crashes.find(Host);
  return Found != Crashes.end() &&
         std::any_of(Found->second.begin(), Found->second.end(),
                     [&](const crash &Crash) {
                       return !Crash.IsOfMany && Now - Crash.At <= Window;
                     });
}

void host_crash_log::forgive(std::uint32_t Endpoint) {
  for (auto &[Name, List] : Crashes)
    std::erase_if(
        List, [&](const crash &Crash) { return Crash.Endpoint == Endpoint; });
  std::erase_if(Crashes, [](const auto &Item) { return Item.second.empty(); });
}

bool host_crash_log::hasCrashLoop(const std::string &Host,
                                  core::time_point Now) const {
  auto Found = Crashes.find(Host);
  if (Found == Crashes.end())
    return false;
  std::vector<crash> List;
  for (const auto &Crash : Found->second)
    if (!Crash.IsOfMany)
      List.push_back(Crash);
  if (List.size() < MinCrashes || Now - List.back().At >= Penalty)
    return false;
  return std::none_of(List.front().Tasks.begin(), List.front().Tasks.end(),
                      [&](const task_key &Task) {
                        return std::all_of(List.begin(), List.end(),
                                           [&](const crash &Crash) {
                                             return Crash.Tasks.count(Task) > 0;
                                           });
                      });
}

} // namespace lycheetrestle::scheduling
