#include "fleet/rules.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

namespace lycheetrestle::fleet {

namespace {

constexpr std::size_t MaxHistory = 10'000;
// Limit on the hosts, pools, services and teams in all kept bodies together,
// about 4 MB. The current body is always kept.
constexpr std::size_t MaxHistoryElements = 25'000;

std::size_t countElements(const declaration &Declaration) {
  return 1 + Declaration.Hosts.size() + Declaration.Pools.size() +
         Declaration.Services.size() + Declaration.Teams.size();
}

std::optional<core::failure> checkNumber(const state_data &State,
                                         const declaration &Next) {
  if (Next.Number > State.Current->Number)
    return std::nullopt;
  auto Number = std::to_string(Next.Number);
  auto Existing = State.History.find(Next.Number);
  if (Existing != State.History.end())
    return refuse(
        core::error_code::Conflict,
        "declaration " + Number + " was already accepted from submission " +
            Existing->second.Submission + " of actor " + Existing->second.Actor,
        "number", Number);
  return refuse(core::error_code::Conflict,
                "the number must be larger than " +
                    std::to_string(State.Current->Number),
                "number", Number);
}

bool isRemovable(const state_data &State, const host_record &Host) {
  return (Host.State == host_state::Drained ||
          Host.State == host_state::Failed ||
          Host.State == host_state::SetAside) &&
         !State.hasJobs(Host.Spec.Name);
}

/// Collects the hosts that the declaration removes.
/// \returns a failure that names the first host or pool that must not be
/// removed, or nothing.
std::optional<core::failure>
checkRemovals(const state_data &State, const declaration &Next,
              std::vector<std::string_view> &Removed) {
  // Only used for look-ups, so the unspecified iteration order cannot make
  // replicas differ.
  std::unordered_set<std::string_view> Hosts(Next.Hosts.size()), Pools;
  for (const auto &Host : Next.Hosts)
    Hosts.insert(Host.Name);
  for (const auto &Pool : Next.Pools)
    Pools.insert(Pool.Name);
  for (const auto &[Name, Host] : State.Hosts) {
    if (!Hosts.count(Name)) {
      if (!isRemovable(State, Host))
        return refuse(core::error_code::Conflict,
                      "a host can be removed only when it is drained, failed "
                      "or set aside and no job holds it; it is " +
                          std::string(toString(Host.State)),
                      "hosts", Name);
      Removed.push_back(Name);
      continue;
    }
    if (!Pools.count(Host.Pool))
      return refuse(core::error_code::Conflict,
                    "host " + Name + " still belongs to the removed pool",
                    "pools", Host.Pool);
    for (const auto *Target : {&Host.TargetPool, &Host.NextTargetPool})
      if (!Target->empty() && !Pools.count(*Target))
        return refuse(core::error_code::Conflict,
                      "host " + Name + " is asked to move to the removed pool",
                      "pools", *Target);
  }
  return std::nullopt;
}

host_record newHost(const state_data &State, const host_spec &Spec,
                    std::uint64_t Index) {
  host_record Host;
  Host.Spec = Spec;
  Host.Pool = Spec.HomePool;
  Host.Epoch = State.RetiredEpoch + 1;
  // Excludes the new host from the open wave.
  Host.LastWave = State.OpenWave;
  Host.ChangedIndex = Index;
  Host.ChangedMs = State.TimeMs;
  return Host;
}

void updateHosts(state_data &State, std::uint64_t Index) {
  for (const auto &Spec : State.Current->Hosts) {
    auto Found = State.Hosts.find(Spec.Name);
    if (Found == State.Hosts.end()) {
      auto Host = newHost(State, Spec, Index);
      State.countHost(Host);
      State.Hosts.emplace(Spec.Name, std::move(Host));
    } else if (Found->second.Spec != Spec) {
      // ChangedMs stays, because it times the transition in progress.
      State.changeHost(Found->second, [&](host_record &Host) {
        Host.Spec = Spec;
        Host.ChangedIndex = Index;
      });
    }
  }
}

void trimHistory(state_data &State) {
  while (State.History.size() > MaxHistory)
    State.History.erase(State.History.begin());
  std::size_t Elements = 0;
  for (auto At = State.History.rbegin(); At != State.History.rend(); ++At) {
    auto &Body = At->second.Body;
    // Older bodies were dropped earlier.
    if (!Body)
      return;
    Elements += countElements(*Body);
    if (Elements > MaxHistoryElements && Body != State.Current)
      Body.reset();
  }
}

} // namespace

std::optional<core::failure> checkAgainst(const state_data &State,
                                          const declaration &Next) {
  if (auto Failure = checkNumber(State, Next))
    return Failure;
  if (auto Failure = checkDeclaration(Next))
    return Failure;
  std::vector<std::string_view> Removed;
  return checkRemovals(State, Next, Removed);
}

change_outcome applyTo(state_data &State, const submit_declaration &Command,
                       const origin &From) {
  const auto &Next = Command.Declaration;
  if (auto Failure = checkNumber(State, Next))
    return *Failure;
  if (auto Failure = checkDeclaration(Next))
    return *Failure;
  std::vector<std::string_view> Removed;
  if (auto Failure = checkRemovals(State, Next, Removed))
    return *Failure;

  auto Before = std::to_string(State.Current->Number);
  for (auto Name : Removed) {
    auto Found = State.Hosts.find(Name);
    State.RetiredEpoch = std::max(State.RetiredEpoch, Found->second.Epoch);
    recordWaveRemoval(State, Found->second);
    State.uncountHost(Found->second);
    State.Hosts.erase(Found);
  }
  State.Current = std::make_shared<const declaration>(Next);
  State.indexDeclaration();
  updateHosts(State, From.Index);
  State.History.emplace(Next.Number,
                        declaration_entry{std::string(From.Submission),
                                          std::string(From.Actor), From.Index,
                                          State.TimeMs, State.Current});
  trimHistory(State);
  State.ViewIndex = From.Index;
  State.DeclarationIndex = From.Index;
  auto After = std::to_string(Next.Number);
  return change{"", Before,
                After + " hosts=" + std::to_string(Next.Hosts.size()) +
                    " pools=" + std::to_string(Next.Pools.size()) +
                    " removed_hosts=" + std::to_string(Removed.size()),
                jsonText({{"number", Next.Number}}), false};
}

} // namespace lycheetrestle::fleet
