#include "control/control_queries.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <map>

namespace lycheetrestle::control {

namespace {

using json = nlohmann::ordered_json;

// Slots of an executor. Each host runs one executor.
constexpr double SlotsPerHost = 8;

std::string_view toString(replication::raft_role Role) {
  switch (Role) {
  case replication::raft_role::Learner:
    return "learner";
  case replication::raft_role::Follower:
    return "follower";
  case replication::raft_role::Candidate:
    return "candidate";
  case replication::raft_role::Leader:
    return "leader";
  }
  return "unknown";
}

std::string write(const json &Value) {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json toJson(const fleet::resources &Size) {
  return {{"cores", Size.Cores},
          {"memory_mb", Size.MemoryMb},
          {"accelerators", Size.Accelerators}};
}

/// \returns for each pool the number of hosts that the busy slots of its
/// services occupy, rounded up.
std::map<std::string, std::uint32_t> hostsInUse(const query_context &Context) {
  std::map<std::string, double> BusySlots;
  for (const auto &Entry : Context.Entries.entries())
    for (const auto &[Service, Slots] : Entry.Status.BusySlotsByService)
      for (const auto &Spec : Context.State.currentDeclaration().Services)
        if (Spec.Name == Service)
          BusySlots[Spec.Pool] += Slots;
  std::map<std::string, std::uint32_t> Hosts;
  for (const auto &[Pool, Slots] : BusySlots)
    Hosts[Pool] = static_cast<std::uint32_t>(std::ceil(Slots / SlotsPerHost));
  return Hosts;
}

json poolsJson(const query_context &Context) {
  auto InUse = hostsInUse(Context);
  json Pools = json::array();
  for (const auto &Pool : Context.State.pools())
    Pools.push_back({{"name", Pool.Name},
                     {"hosts", Pool.Hosts},
                     {"home_hosts", Pool.HomeHosts},
                     {"available", Pool.Available},
                     {"budget", Pool.Minimum},
                     {"in_use", InUse[Pool.Name]},
                     {"buffer", std::int64_t(Pool.Available) -
                                    std::int64_t(Pool.Minimum)}});
  return Pools;
}

json entriesJson(const query_context &Context) {
  json Entries = json::array();
  for (const auto &Entry : Context.Entries.entries()) {
    const auto &Status = Entry.Status;
    auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(
        Context.Now - Status.LastReportAt);
    json Value = {{"name", Status.Name},
                  {"serving", Status.HasReported && Entry.Serving},
                  {"version", Entry.DeclarationNumber},
                  {"view_index", Status.ViewIndex},
                  {"age_ms", nullptr}};
    if (Status.HasReported)
      Value["age_ms"] = Age.count();
    Entries.push_back(std::move(Value));
  }
  return Entries;
}

std::string statusJson(const query_context &Context) {
  const auto &InForce = Context.Entries.inForce();
  std::map<std::string, std::uint32_t> HostsByState;
  for (const auto &[Name, Host] : Context.State.hosts())
    ++HostsByState[std::string(fleet::toString(Host.State))];
  json Status = {
      {"leader", Context.Leader},
      {"term", Context.Raft.Term},
      {"applied_index", Context.AppliedIndex},
      {"declaration_number", Context.State.currentDeclaration().Number},
      {"in_force",
       {{"number", InForce.Number},
        {"since", InForce.SinceMs},
        {"waiting", InForce.Waiting}}},
      {"pools", poolsJson(Context)},
      {"entries", entriesJson(Context)},
      {"hosts_by_state", HostsByState},
      {"keys", Context.State.keyCount()}};
  return write(Status);
}

std::string hostsJson(const fleet::fleet_state &State) {
  json Hosts = json::array();
  for (const auto &[Name, Host] : State.hosts())
    Hosts.push_back({{"name", Name},
                     {"pool", Host.Pool},
                     {"home", Host.Spec.HomePool},
                     {"zone", Host.Spec.Zone},
                     {"rack", Host.Spec.Rack},
                     {"size", toJson(Host.Spec.Size)},
                     {"state", std::string(fleet::toString(Host.State))},
                     {"epoch", Host.Epoch},
                     {"goal", std::string(fleet::toString(Host.Goal))},
                     {"target_pool", Host.TargetPool},
                     {"wave", Host.Wave},
                     {"last_wave", Host.LastWave},
                     {"changed_index", Host.ChangedIndex},
                     {"changed_ms", Host.ChangedMs}});
  return write({{"hosts", Hosts}});
}

std::string wavesJson(const fleet::fleet_state &State) {
  json Waves = json::array();
  for (const auto &[Id, Wave] : State.waves())
    Waves.push_back({{"id", Id},
                     {"state", std::string(fleet::toString(Wave.State))},
                     {"total", Wave.Total},
                     {"done", Wave.Done},
                     {"failures", Wave.Failures},
                     {"pause_reason", Wave.PauseReason},
                     {"started_ms", Wave.StartedMs},
                     {"finished_ms", Wave.FinishedMs}});
  return write({{"waves", Waves}});
}

std::string jobsJson(const fleet::fleet_state &State) {
  json Jobs = json::array();
  for (const auto &[Id, Job] : State.jobs())
    Jobs.push_back({{"id", Id},
                    {"team", Job.Team},
                    {"pool", Job.Pool},
                    {"class", std::string(fleet::toString(Job.Class))},
                    {"state", std::string(fleet::toString(Job.State))},
                    {"declared", toJson(Job.Declared)},
                    {"learnt", toJson(Job.Learned)},
                    {"run_seconds", Job.DeclaredRunSeconds},
                    {"host", Job.Host},
                    {"lease", Job.Lease},
                    {"failed_on", Job.FailedOn},
                    {"reason", Job.Reason},
                    {"cancel_requested", Job.CancelRequested},
                    {"submitted_ms", Job.SubmittedMs}});
  return write({{"jobs", Jobs}});
}

std::string auditJson(const fleet::fleet_state &State,
                      const fleet::audit_filter &Filter) {
  json Records = json::array();
  for (const auto &Record : State.audit(Filter))
    Records.push_back({{"index", Record.Index},
                       {"time_ms", Record.TimeMs},
                       {"actor", Record.Actor},
                       {"kind", Record.Kind},
                       {"object", Record.Object},
                       {"before", Record.Before},
                       {"after", Record.After},
                       {"result", Record.Result}});
  return write({{"audit", Records}});
}

std::string replicasJson(const query_context &Context) {
  json Members = json::array();
  for (const auto &Member : Context.Raft.Members.Members)
    // The incarnation is written as a string, because many JSON readers parse
    // numbers as doubles, which cannot hold 64 bits.
    Members.push_back({{"name", Member.Id.Name},
                       {"incarnation", std::to_string(Member.Id.Incarnation)},
                       {"voter", Member.Voter}});
  return write({{"name", Context.Self},
                {"role", std::string(toString(Context.Raft.Role))},
                {"leader", Context.Leader},
                {"term", Context.Raft.Term},
                {"applied_index", Context.AppliedIndex},
                {"commit_index", Context.Raft.CommitIndex},
                {"last_index", Context.Raft.LastIndex},
                {"snapshot_index", Context.Raft.SnapshotIndex},
                {"digest", std::to_string(Context.State.digest())},
                {"members", Members}});
}

std::string declarationsJson(const fleet::fleet_state &State) {
  return write({{"current", State.currentDeclaration().Number},
                {"numbers", State.declarationNumbers()}});
}

} // namespace

core::result<std::string> runQuery(const query_operation &Query,
                                   const query_context &Context) {
  switch (Query.Kind) {
  case query_kind::Status:
    return statusJson(Context);
  case query_kind::Declarations:
    return declarationsJson(Context.State);
  case query_kind::Declaration: {
    auto Declaration = Context.State.declarationByNumber(Query.Number);
    if (!Declaration)
      return core::fail({core::error_code::NotFound,
                         "no accepted declaration has this number", "number",
                         std::to_string(Query.Number), core::verdict::NotRun});
    return declaration::toJson(*Declaration);
  }
  case query_kind::Hosts:
    return hostsJson(Context.State);
  case query_kind::Waves:
    return wavesJson(Context.State);
  case query_kind::Jobs:
    return jobsJson(Context.State);
  case query_kind::Audit:
    return auditJson(Context.State, Query.Filter);
  case query_kind::Replicas:
    return replicasJson(Context);
  }
  return core::fail({core::error_code::NotFound, "unknown query", "", "",
                     core::verdict::NotRun});
}

std::string planToJson(const declaration::declaration_plan &Plan) {
  json Steps = json::array();
  for (const auto &Step : Plan.Steps)
    Steps.push_back({{"host", Step.Host},
                     {"action", Step.Action},
                     {"from_pool", Step.FromPool},
                     {"to_pool", Step.ToPool},
                     {"batch", Step.Batch}});
  json Budgets = json::array();
  for (const auto &Budget : Plan.Budgets)
    Budgets.push_back({{"pool", Budget.Pool},
                       {"hosts", Budget.Hosts},
                       {"available", Budget.Available},
                       {"budget", Budget.Minimum},
                       {"lowest_available", Budget.LowestAvailable}});
  return write({{"steps", Steps}, {"budgets", Budgets}});
}

} // namespace lycheetrestle::control
