#include "scheduling/open_changes.h"

#include <utility>

namespace lycheetrestle::scheduling {

namespace {

/// \returns what all copies of a change have in common, or an empty string for
/// a command that callers do not repeat.
std::string nameOf(const command &Command) {
  if (const auto *Submit = std::get_if<submit_job>(&Command))
    return "submit " + Submit->Job.Id;
  if (const auto *Cancel = std::get_if<cancel_job>(&Command))
    return "cancel " + Cancel->Job;
  if (const auto *Set = std::get_if<set_configuration>(&Command))
    return "configure " + std::to_string(Set->Configuration.Version);
  if (const auto *Start = std::get_if<start_wave>(&Command))
    return "wave " + std::to_string(Start->Wave);
  return {};
}

/// \returns what the copies of one caller's key have in common. Only calls with
/// that key wait under it; the copies count under both names.
std::string nameWithKey(const command &Command) {
  auto Name = nameOf(Command);
  std::visit(
      [&](const auto &Typed) {
        if constexpr (requires { Typed.KeyDigest; })
          Name += " " + Typed.KeyDigest;
        else
          Name += " ";
      },
      Command);
  return Name;
}

} // namespace

void open_changes::add(const command &Command) {
  auto Name = nameOf(Command);
  if (Name.empty())
    return;
  ++Changes[std::move(Name)].Copies;
  ++Changes[nameWithKey(Command)].Copies;
}

bool open_changes::contains(const command &Command) const {
  return Changes.find(nameOf(Command)) != Changes.end();
}

bool open_changes::wait(const command &Command, std::uint64_t Call,
                        core::time_point Now) {
  auto Found = Changes.find(nameWithKey(Command));
  if (Found == Changes.end() || WaitingCalls >= MaxWaitingCalls)
    return false;
  Found->second.Waiting.push_back({Call, Now});
  ++WaitingCalls;
  return true;
}

std::vector<std::uint64_t> open_changes::release(open_change &Change) {
  std::vector<std::uint64_t> Calls;
  for (const auto &Waiting : std::exchange(Change.Waiting, {}))
    Calls.push_back(Waiting.Call);
  WaitingCalls -= Calls.size();
  return Calls;
}

std::vector<std::uint64_t> open_changes::recordApplied(const command &Command) {
  auto Found = Changes.find(nameWithKey(Command));
  if (Found == Changes.end())
    return {};
  auto Calls = release(Found->second);
  if (--Found->second.Copies == 0)
    Changes.erase(Found);
  auto All = Changes.find(nameOf(Command));
  if (--All->second.Copies == 0)
    Changes.erase(All);
  return Calls;
}

std::vector<std::uint64_t> open_changes::recordDropped(const command &Command) {
  auto Found = Changes.find(nameWithKey(Command));
  if (Found == Changes.end())
    return {};
  auto All = Changes.find(nameOf(Command));
  if (--All->second.Copies == 0)
    Changes.erase(All);
  if (--Found->second.Copies > 0)
    return {};
  auto Calls = release(Found->second);
  Changes.erase(Found);
  return Calls;
}

std::vector<std::uint64_t> open_changes::expire(core::duration Timeout,
                                                core::time_point Now) {
  std::vector<std::uint64_t> Calls;
  if (WaitingCalls == 0)
    return Calls;
  for (auto &[Key, Change] : Changes)
    std::erase_if(Change.Waiting, [&](const waiting_call &Waiting) {
      if (Now - Waiting.Since <= Timeout)
        return false;
      Calls.push_back(Waiting.Call);
      return true;
    });
  WaitingCalls -= Calls.size();
  return Calls;
}

std::vector<std::uint64_t> open_changes::clear() {
  std::vector<std::uint64_t> Calls;
  for (auto &[Key, Change] : Changes) {
    auto Waiting = release(Change);
    Calls.insert(Calls.end(), Waiting.begin(), Waiting.end());
  }
  Changes.clear();
  return Calls;
}

} // namespace lycheetrestle::scheduling
