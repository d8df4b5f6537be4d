#include "fleet/rules.h"

#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace lycheetrestle::fleet {

namespace {

constexpr std::size_t MaxHosts = 20'000;
constexpr std::size_t MaxPools = 200;
constexpr std::size_t MaxTeams = 5'000;
constexpr std::size_t MaxServices = 500;
constexpr std::size_t MaxNameBytes = 64;

using maybe_failure = std::optional<core::failure>;
// Only used for look-ups, so the unspecified iteration order cannot make
// replicas differ.
using name_set = std::unordered_set<std::string_view>;
using host_counts = std::unordered_map<std::string_view, std::uint32_t>;

std::string pathOf(std::string_view List, std::size_t Index,
                   std::string_view Field) {
  return std::string(List) + "[" + std::to_string(Index) + "]." +
         std::string(Field);
}

maybe_failure refuseInput(std::string Field, std::string_view Value,
                          std::string Rule) {
  return refuse(core::error_code::BadInput, std::move(Rule), Field, Value);
}

bool isName(std::string_view Name) {
  return !Name.empty() && Name.size() <= MaxNameBytes &&
         std::all_of(Name.begin(), Name.end(), [](unsigned char C) {
           return std::isalnum(C) || C == '.' || C == '_' || C == '-';
         });
}

maybe_failure checkCount(std::string_view List, std::size_t Count,
                         std::size_t Maximum) {
  if (Count <= Maximum)
    return std::nullopt;
  return refuseInput(std::string(List), std::to_string(Count),
                     "must have at most " + std::to_string(Maximum) +
                         " elements");
}

/// Checks the names of a list and collects them.
template <typename Type>
maybe_failure collectNames(std::string_view List,
                           const std::vector<Type> &Items, name_set &Names) {
  Names.reserve(Items.size());
  for (std::size_t Index = 0; Index < Items.size(); ++Index) {
    const auto &Name = Items[Index].Name;
    if (!isName(Name))
      return refuseInput(pathOf(List, Index, "name"), Name,
                         "must be 1 to 64 letters, digits, '.', '_' and '-'");
    if (!Names.insert(Name).second)
      return refuseInput(pathOf(List, Index, "name"), Name,
                         "must not occur twice");
  }
  return std::nullopt;
}

maybe_failure checkServices(const declaration &Next, const name_set &Pools) {
  for (std::size_t Index = 0; Index < Next.Services.size(); ++Index) {
    const auto &Service = Next.Services[Index];
    if (!Pools.count(Service.Pool))
      return refuseInput(pathOf("services", Index, "pool"), Service.Pool,
                         "must name a declared pool");
    if (Service.DeadlineMs == 0)
      return refuseInput(pathOf("services", Index, "deadline_ms"), "0",
                         "must be at least 1");
  }
  return std::nullopt;
}

maybe_failure checkHosts(const declaration &Next, const name_set &Pools,
                         host_counts &HomeHosts) {
  std::unordered_map<std::string_view, std::string_view> ZoneOfRack;
  for (std::size_t Index = 0; Index < Next.Hosts.size(); ++Index) {
    const auto &Host = Next.Hosts[Index];
    if (!Pools.count(Host.HomePool))
      return refuseInput(pathOf("hosts", Index, "pool"), Host.HomePool,
                         "must name a declared pool");
    if (!isName(Host.Zone))
      return refuseInput(pathOf("hosts", Index, "zone"), Host.Zone,
                         "must be a name");
    if (!isName(Host.Rack))
      return refuseInput(pathOf("hosts", Index, "rack"), Host.Rack,
                         "must be a name");
    auto Zone = ZoneOfRack.emplace(Host.Rack, Host.Zone).first->second;
    if (Zone != Host.Zone)
      return refuseInput(pathOf("hosts", Index, "zone"), Host.Zone,
                         "rack " + Host.Rack + " is already in zone " +
                             std::string(Zone));
    if (Host.Size.Cores == 0)
      return refuseInput(pathOf("hosts", Index, "cores"), "0",
                         "must be at least 1");
    ++HomeHosts[Host.HomePool];
  }
  return std::nullopt;
}

maybe_failure checkBudgets(const declaration &Next,
                           const host_counts &HomeHosts) {
  bool HasSpare = false;
  for (std::size_t Index = 0; Index < Next.Pools.size(); ++Index) {
    const auto &Pool = Next.Pools[Index];
    const auto &Budget = Pool.Budget;
    if (Budget.MinAvailableHosts.has_value() ==
        Budget.MinAvailablePercent.has_value())
      return refuseInput(pathOf("pools", Index, "budget"), "",
                         "must have exactly one of min_available_hosts and "
                         "min_available_percent");
    if (Budget.MinAvailablePercent.value_or(0) > 100)
      return refuseInput(pathOf("pools", Index, "budget.min_available_percent"),
                         std::to_string(*Budget.MinAvailablePercent),
                         "must be 0 to 100");
    if (Pool.Spare && HasSpare)
      return refuseInput(pathOf("pools", Index, "spare"), "true",
                         "only one pool may be the spare pool");
    HasSpare = HasSpare || Pool.Spare;
    auto Found = HomeHosts.find(Pool.Name);
    std::uint32_t Count = Found == HomeHosts.end() ? 0 : Found->second;
    if (Count != 0 && Budget.minimum(Count) >= Count)
      return refuseInput(pathOf("pools", Index, "budget"),
                         std::to_string(Budget.minimum(Count)),
                         "leaves none of the " + std::to_string(Count) +
                             " hosts of pool " + Pool.Name + " to drain");
  }
  return std::nullopt;
}

} // namespace

std::optional<core::failure> checkDeclaration(const declaration &Next) {
  if (Next.Number == 0)
    return refuseInput("number", "0", "must be at least 1");
  if (Next.Maintenance.MaxParallelHosts == 0)
    return refuseInput("maintenance.max_parallel_hosts", "0",
                       "must be at least 1");
  if (Next.Maintenance.PauseAfterFailures == 0)
    return refuseInput("maintenance.pause_after_failures", "0",
                       "must be at least 1");
  for (auto Failure :
       {checkCount("teams", Next.Teams.size(), MaxTeams),
        checkCount("pools", Next.Pools.size(), MaxPools),
        checkCount("services", Next.Services.size(), MaxServices),
        checkCount("hosts", Next.Hosts.size(), MaxHosts)})
    if (Failure)
      return Failure;
  name_set Teams, Pools, Services, Hosts;
  for (auto Failure : {collectNames("teams", Next.Teams, Teams),
                       collectNames("pools", Next.Pools, Pools),
                       collectNames("services", Next.Services, Services),
                       collectNames("hosts", Next.Hosts, Hosts)})
    if (Failure)
      return Failure;
  if (auto Failure = checkServices(Next, Pools))
    return Failure;
  host_counts HomeHosts;
  if (auto Failure = checkHosts(Next, Pools, HomeHosts))
    return Failure;
  return checkBudgets(Next, HomeHosts);
}

} // namespace lycheetrestle::fleet
