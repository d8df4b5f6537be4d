#include "declaration/declaration.h"

#include "core/object_reader.h"
#include "fleet/rules.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <utility>

namespace lycheetrestle::declaration {

namespace {

using core::object_reader;
using nlohmann::json;

// Limits on resources keep their sums within 64 bits.
constexpr std::int64_t MaxCores = 1 << 20;
constexpr std::int64_t MaxMemoryMb = 1ll << 40;
constexpr std::int64_t MaxAccelerators = 1 << 16;
constexpr std::int64_t MaxDeadlineMs = 3'600'000;
constexpr std::size_t MaxTeams = 5'000;
constexpr std::size_t MaxPools = 200;
constexpr std::size_t MaxServices = 500;
constexpr std::size_t MaxHosts = 20'000;

/// Finishes a nested reader and reports its error to the parent.
void finishNested(object_reader &Parent, object_reader &Nested) {
  if (auto Failure = core::captureFailure([&] { return Nested.finish(); }))
    Parent.reject(std::move(*Failure));
}

fleet::resources readResources(object_reader &Reader, std::int64_t MinCores) {
  fleet::resources Size;
  Size.Cores = static_cast<std::uint32_t>(
      Reader.readInteger("cores", MinCores, MaxCores));
  Size.MemoryMb = static_cast<std::uint64_t>(
      Reader.readInteger("memory_mb", MinCores, MaxMemoryMb));
  Size.Accelerators = static_cast<std::uint32_t>(
      Reader.readInteger("accelerators", 0, MaxAccelerators, 0));
  return Size;
}

/// Reads a list of objects, each through a function.
template <typename Type, typename Callable>
std::vector<Type> readList(object_reader &Parent, std::string_view Name,
                           std::size_t MaxElements, Callable &&ReadOne) {
  std::vector<Type> List;
  std::size_t Index = 0;
  for (const auto *Element : Parent.readArray(Name, MaxElements)) {
    object_reader Reader(*Element, Parent.pathOf(Name, Index++));
    List.push_back(ReadOne(Reader));
    finishNested(Parent, Reader);
    if (Parent.error())
      break;
  }
  return List;
}

fleet::team_spec readTeam(object_reader &Reader) {
  fleet::team_spec Team;
  Team.Name = Reader.readName("name");
  const auto *Quota = Reader.readObject("quota");
  if (!Quota) {
    Reader.reject("quota", "", "is required and must be an object");
    return Team;
  }
  object_reader Nested(*Quota, Reader.pathOf("quota"));
  Team.Quota = readResources(Nested, 0);
  finishNested(Reader, Nested);
  return Team;
}

fleet::availability_budget readBudget(object_reader &Parent) {
  fleet::availability_budget Budget;
  const auto *Value = Parent.readObject("budget");
  if (!Value) {
    Parent.reject("budget", "", "is required and must be an object");
    return Budget;
  }
  object_reader Reader(*Value, Parent.pathOf("budget"));
  if (Reader.has("min_available_hosts"))
    Budget.MinAvailableHosts = static_cast<std::uint32_t>(
        Reader.readInteger("min_available_hosts", 0, MaxHosts));
  if (Reader.has("min_available_percent"))
    Budget.MinAvailablePercent = static_cast<std::uint32_t>(
        Reader.readInteger("min_available_percent", 0, 100));
  finishNested(Parent, Reader);
  return Budget;
}

fleet::pool_spec readPool(object_reader &Reader) {
  fleet::pool_spec Pool;
  Pool.Name = Reader.readName("name");
  Pool.Budget = readBudget(Reader);
  Pool.Spare = Reader.readBool("spare", false);
  Pool.AutoSize = Reader.readBool("auto_size", false);
  return Pool;
}

fleet::service_spec readService(object_reader &Reader) {
  fleet::service_spec Service;
  Service.Name = Reader.readName("name");
  Service.Pool = Reader.readName("pool");
  if (Reader.has("default_class")) {
    auto Name =
        Reader.readChoice("default_class", {"urgent", "normal", "batch"});
    Service.DefaultClass =
        fleet::parseWorkClass(Name).value_or(fleet::work_class::Normal);
  }
  Service.DeadlineMs = static_cast<std::uint32_t>(
      Reader.readInteger("deadline_ms", 1, MaxDeadlineMs, Service.DeadlineMs));
  return Service;
}

fleet::host_spec readHost(object_reader &Reader) {
  fleet::host_spec Host;
  Host.Name = Reader.readName("name");
  Host.HomePool = Reader.readName("pool");
  Host.Zone = Reader.readName("zone");
  Host.Rack = Reader.readName("rack");
  Host.Size = readResources(Reader, 1);
  return Host;
}

fleet::maintenance_spec readMaintenance(object_reader &Parent) {
  fleet::maintenance_spec Maintenance;
  const auto *Value = Parent.readObject("maintenance");
  if (!Value)
    return Maintenance;
  object_reader Reader(*Value, Parent.pathOf("maintenance"));
  Maintenance.MaxParallelHosts = static_cast<std::uint32_t>(Reader.readInteger(
      "max_parallel_hosts", 1, MaxHosts, Maintenance.MaxParallelHosts));
  Maintenance.PauseAfterFailures =
      static_cast<std::uint32_t>(Reader.readInteger(
          "pause_after_failures", 1, MaxHosts, Maintenance.PauseAfterFailures));
  finishNested(Parent, Reader);
  return Maintenance;
}

json resourcesJson(const fleet::resources &Size) {
  return {{"cores", Size.Cores},
          {"memory_mb", Size.MemoryMb},
          {"accelerators", Size.Accelerators}};
}

json budgetJson(const fleet::availability_budget &Budget) {
  json Value = json::object();
  if (Budget.MinAvailableHosts)
    Value["min_available_hosts"] = *Budget.MinAvailableHosts;
  if (Budget.MinAvailablePercent)
    Value["min_available_percent"] = *Budget.MinAvailablePercent;
  return Value;
}

} // namespace

core::result<fleet::declaration> parseDeclaration(std::string_view Text) {
  auto Document = core::parseJson(Text, MaxDeclarationBytes);
  if (!Document)
    return Document.error();
  object_reader Reader(*Document, "");
  fleet::declaration Parsed;
  Parsed.Number =
      static_cast<std::uint64_t>(Reader.readInteger("number", 1, INT64_MAX));
  // Every list is required: a pipeline that omits one by mistake must not
  // remove everything that it lists.
  Parsed.Teams =
      readList<fleet::team_spec>(Reader, "teams", MaxTeams, readTeam);
  Parsed.Pools =
      readList<fleet::pool_spec>(Reader, "pools", MaxPools, readPool);
  Parsed.Services = readList<fleet::service_spec>(Reader, "services",
                                                  MaxServices, readService);
  Parsed.Hosts =
      readList<fleet::host_spec>(Reader, "hosts", MaxHosts, readHost);
  Parsed.Maintenance = readMaintenance(Reader);
  auto Finished = Reader.finish();
  if (!Finished)
    return Finished.error();
  if (auto Failure = fleet::checkDeclaration(Parsed))
    return core::fail(std::move(*Failure));
  return Parsed;
}

std::string toJson(const fleet::declaration &Declaration) {
  json Teams = json::array(), Pools = json::array(), Services = json::array(),
       Hosts = json::array();
  for (const auto &Team : Declaration.Teams)
    Teams.push_back(
        {{"name", Team.Name}, {"quota", resourcesJson(Team.Quota)}});
  for (const auto &Pool : Declaration.Pools)
    Pools.push_back({{"name", Pool.Name},
                     {"budget", budgetJson(Pool.Budget)},
                     {"spare", Pool.Spare},
                     {"auto_size", Pool.AutoSize}});
  for (const auto &Service : Declaration.Services)
    Services.push_back(
        {{"name", Service.Name},
         {"pool", Service.Pool},
         {"default_class", fleet::toString(Service.DefaultClass)},
         {"deadline_ms", Service.DeadlineMs}});
  for (const auto &Host : Declaration.Hosts) {
    auto Value = resourcesJson(Host.Size);
    Value["name"] = Host.Name;
    Value["pool"] = Host.HomePool;
    Value["zone"] = Host.Zone;
    Value["rack"] = Host.Rack;
    Hosts.push_back(std::move(Value));
  }
  json Document = {
      {"number", Declaration.Number},
      {"teams", std::move(Teams)},
      {"pools", std::move(Pools)},
      {"services", std::move(Services)},
      {"hosts", std::move(Hosts)},
      {"maintenance",
       {{"max_parallel_hosts", Declaration.Maintenance.MaxParallelHosts},
        {"pause_after_failures", Declaration.Maintenance.PauseAfterFailures}}}};
  return Document.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace lycheetrestle::declaration
