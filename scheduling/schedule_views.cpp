#include "scheduling/schedule_views.h"

#include "scheduling/workspace_load.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using json = nlohmann::ordered_json;

// Hosts of a wave that are named with what they wait for.
constexpr std::size_t MaxWaitingHosts = 50;

const char *roleName(replication::raft_role Role) {
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

json statusView(const schedule_node &Node) {
  auto Raft = Node.status();
  const auto &State = Node.state();
  std::size_t InUse = 0;
  std::size_t Draining = 0;
  for (const auto &[Number, Endpoint] : State.endpoints()) {
    InUse += !Endpoint.HasEnded;
    Draining += !Endpoint.HasEnded && Endpoint.Facts.IsDraining;
  }
  std::size_t RunningWaves = 0;
  for (const auto &[Number, Wave] : State.waves())
    RunningWaves += !Wave.isComplete();
  return {{"role", roleName(Raft.Role)},
          {"leader", Node.leaderAddress()},
          {"term", Raft.Term},
          {"commit_index", Raft.CommitIndex},
          {"configuration", State.currentConfiguration().Version},
          {"endpoints", InUse},
          {"draining", Draining},
          {"live_jobs", State.liveJobs().size()},
          {"running_waves", RunningWaves}};
}

json membersView(const schedule_node &Node) {
  auto Rows = json::array();
  auto Leader = Node.leaderAddress();
  for (const auto &Member : Node.status().Members.Members)
    Rows.push_back({{"name", Member.Id.Name},
                    {"incarnation", Member.Id.Incarnation},
                    {"voter", Member.Voter},
                    {"leader", Member.Id.Name == Leader}});
  return {{"members", std::move(Rows)}};
}

json endpointsView(const schedule_node &Node) {
  auto Rows = json::array();
  for (const auto &[Number, Endpoint] : Node.state().endpoints()) {
    if (Rows.size() == MaxViewRows)
      break;
    const auto &Facts = Endpoint.Facts;
    Rows.push_back({{"number", Number},
                    {"name", Facts.Id},
                    {"pool", Facts.Pool},
                    {"zone", Facts.Zone},
                    {"rack", Facts.Rack},
                    {"address", core::toText(Facts.Address)},
                    {"draining", Facts.IsDraining},
                    {"ended", Endpoint.HasEnded},
                    {"runs", Endpoint.Runs.size()}});
  }
  return {{"endpoints", std::move(Rows)}};
}

json taskView(const suspect_record &Task, const job_record &Job,
              const crash_census &Census) {
  auto Endpoints = json::array();
  for (const auto &Crash : Task.Crashes)
    Endpoints.push_back(Crash.EndpointId);
  auto History = Task.history();
  auto Pause = pauseAfterCrashes(History, Census, Job.Pool,
                                 Job.Spec.Steps[Task.Step].IsLongRunning);
  return {{"occurrence", Task.Occurrence},
          {"step", Task.Step},
          {"index", Task.Index},
          {"crashes", History.Crashes},
          {"crashes_alone", History.Alone},
          {"last_crash_ms", History.NewestMs},
          {"pause_ms", Pause.Ms},
          {"evidence", toText(Pause.Evidence)},
          {"crashed_endpoints", std::move(Endpoints)}};
}

json jobView(const std::string &Id, const job_record &Job,
             const crash_census &Census) {
  static constexpr std::array Names{"queued", "running", "complete", "failed",
                                    "cancelled"};
  json Row = {{"id", Id},
              {"pool", Job.Pool},
              {"state", Names[static_cast<std::size_t>(Job.State)]},
              {"queue", Job.QueueHost + Job.QueuePrefix},
              {"submitted_ms", Job.SubmittedMs},
              {"steps", Job.Spec.Steps.size()},
              {"runs", Job.RunsLeft}};
  auto Suspects = json::array();
  for (const auto &Suspect : Job.Suspects)
    if (Suspect.isSuspect())
      Suspects.push_back(taskView(Suspect, Job, Census));
  if (!Suspects.empty())
    Row["suspect_tasks"] = std::move(Suspects);
  return Row;
}

json jobsView(const schedule_node &Node) {
  const auto &State = Node.state();
  auto Rows = json::array();
  auto Census = State.crashCensus();
  // Jobs with suspect tasks come first, so that a long list of live jobs does
  // not hide them.
  for (const auto &Id : State.suspectJobs()) {
    if (Rows.size() == MaxViewRows)
      break;
    Rows.push_back(jobView(Id, *State.findJob(Id), Census));
  }
  for (const auto &[SubmittedMs, Id] : State.liveJobs()) {
    if (Rows.size() == MaxViewRows)
      break;
    if (State.suspectJobs().count(Id) == 0)
      Rows.push_back(jobView(Id, *State.findJob(Id), Census));
  }
  return {{"jobs", std::move(Rows)}};
}

json wavesView(const schedule_node &Node) {
  auto Rows = json::array();
  const auto *Delays = Node.waveDelays();
  for (const auto &[Number, Wave] : Node.state().waves()) {
    wave_delay Delay;
    if (Delays && Delays->count(Number) > 0)
      Delay = Delays->at(Number);
    Rows.push_back({{"number", Number},
                    {"state", Wave.isComplete() ? "complete" : "running"},
                    {"hosts", Wave.Hosts.size()},
                    {"ordered", Wave.Ordered.size()},
                    {"begun", Wave.Begun.size()},
                    {"at_once", Wave.MaxCount},
                    {"started_ms", Wave.StartedMs},
                    {"deadline_ms", Wave.StartedMs + Wave.DeadlineMs},
                    {"waits_for", Delay.counts()},
                    {"waiting", Delay.names(MaxWaitingHosts)}});
  }
  return {{"waves", std::move(Rows)}};
}

json workspacesView(const schedule_node &Node) {
  auto Rows = json::array();
  auto Loads = workspaceLoads(Node.state());
  Loads.resize(std::min(Loads.size(), MaxViewRows));
  for (const auto &Load : Loads)
    Rows.push_back({{"name", Load.Name},
                    {"queued_tasks", Load.QueuedTasks},
                    {"held_by_limit", Load.HeldTasks},
                    {"over_rate", Load.OverRateTasks},
                    {"running_millicores", Load.Use.MilliCores},
                    {"running_mb", Load.Use.MemoryMb},
                    {"running_accelerators", Load.Use.Accelerators},
                    {"limit_millicores", Load.Limit.MilliCores},
                    {"limit_mb", Load.Limit.MemoryMb},
                    {"limit_accelerators", Load.Limit.Accelerators},
                    {"used_share", Load.UsedShare},
                    {"weight_share", Load.WeightShare}});
  return {{"workspaces", std::move(Rows)}};
}

} // namespace

std::optional<std::string> viewOf(const schedule_node &Node,
                                  std::string_view Path) {
  using view = json (*)(const schedule_node &);
  static constexpr std::array<std::pair<std::string_view, view>, 6> Views{
      {{"/v1/schedule", statusView},
       {"/v1/schedule/members", membersView},
       {"/v1/schedule/endpoints", endpointsView},
       {"/v1/schedule/jobs", jobsView},
       {"/v1/schedule/waves", wavesView},
       {"/v1/schedule/workspaces", workspacesView}}};
  for (const auto &[Name, View] : Views)
    if (Path == Name)
      return View(Node).dump(-1, ' ', false, json::error_handler_t::replace);
  return std::nullopt;
}

} // namespace lycheetrestle::scheduling
