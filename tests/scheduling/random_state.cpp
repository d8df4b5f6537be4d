#include "tests/scheduling/random_state.h"

#include "tests/scheduling/schedule_fixture.h"

#include <iterator>
#include <utility>

namespace lycheetrestle::scheduling::test {

namespace {

constexpr std::uint32_t QueueCount = 3;
constexpr std::uint32_t EndpointCount = 6;
constexpr std::uint32_t WorkspaceCount = 3;

std::string prefixOf(std::uint32_t Queue) {
  return "/q" + std::to_string(Queue) + "/";
}

workspaces::key_digest keyOf(std::uint32_t Workspace) {
  return workspaces::digestOf("key" + std::to_string(Workspace));
}

} // namespace

random_state::random_state(std::uint64_t Seed) : Random(Seed) {
  State.apply(configure(), NowMs);
  for (std::uint32_t Index = 0; Index != EndpointCount; ++Index)
    State.apply(recordEndpoint(), NowMs);
}

command random_state::change() {
  NowMs += draw(40);
  auto Command = next();
  State.apply(Command, NowMs);
  return Command;
}

std::uint32_t random_state::draw(std::uint32_t Limit) {
  return static_cast<std::uint32_t>(Random() % Limit);
}

command random_state::next() {
  auto Kind = draw(100);
  if (Kind < 25)
    return submit();
  if (Kind < 60)
    return startRun();
  if (Kind < 85)
    return endRun();
  if (Kind < 88)
    return endEndpoint();
  if (Kind < 91)
    return recordEndpoint();
  if (Kind < 92)
    return configure();
  auto Job =
      "j" + std::to_string(1 + draw(static_cast<std::uint32_t>(Jobs) + 1));
  if (Kind < 95)
    return cancel_job{Host, Prefix + Job, Job, keyOf(draw(WorkspaceCount)),
                      Jobs % 2 == 0};
  const auto *Found = State.findJob(Job);
  return open_occurrence{Job, Found ? Found->NextOccurrence : 0};
}

command random_state::submit() {
  std::vector<step_spec> Steps;
  auto Count = 1 + draw(3);
  for (std::uint32_t Index = 0; Index != Count; ++Index) {
    auto Tasks = 1 + draw(4);
    auto MilliCores = 500 + draw(4000);
    auto Step = makeStep(Tasks, MilliCores, 100 + draw(900));
    if (Index > 0 && draw(2) == 0)
      Step.DependsOn = {draw(Index)};
    Step.IsGang = draw(8) == 0;
    Step.IsLongRunning = draw(8) == 0;
    Step.IsBestEffort = draw(8) == 0;
    Step.MaxPerEndpoint = draw(4) == 0 ? 1 : 0;
    Steps.push_back(Step);
  }
  auto Job = makeJob("j" + std::to_string(++Jobs), std::move(Steps));
  Job.RepeatCount = draw(5) == 0 ? 1 + draw(4) : 0;
  Job.StartAtMs = NowMs;
  Job.IntervalMs = draw(100);
  auto Path = prefixOf(draw(QueueCount)) + Job.Id;
  submit_job Submission{Host, std::move(Path), std::move(Job)};
  Submission.KeyDigest = keyOf(draw(WorkspaceCount));
  Submission.IsOverRate = draw(5) == 0;
  return Submission;
}

command random_state::configure() {
  auto Configuration = makeConfiguration(++Version);
  auto Model = Configuration.Queues.front();
  Configuration.Queues.clear();
  for (std::uint32_t Queue = 0; Queue != QueueCount; ++Queue) {
    // A queue may be removed while jobs of it live.
    if (Version > 2 && draw(6) == 0)
      continue;
    Model.Name = "q" + std::to_string(Queue);
    Model.PathPrefix = prefixOf(Queue);
    Model.Pool = draw(2) == 0 ? "a" : "b";
    Model.Priority = draw(2);
    Model.TargetLatencyMs = 200 + draw(1000);
    Model.IsPublic = draw(4) == 0;
    Configuration.Queues.push_back(Model);
  }
  // Keys are withdrawn and given to other workspaces while jobs live.
  Configuration.RequiresKeys = draw(4) != 0;
  for (std::uint32_t Index = 0;
       Configuration.RequiresKeys && Index != WorkspaceCount; ++Index) {
    workspaces::workspace_spec Workspace;
    Workspace.Name = "w" + std::to_string(Index);
    if (draw(8) != 0)
      Workspace.Keys.push_back(keyOf(Index));
    Workspace.Priority = draw(3);
    Workspace.Weight = draw(5);
    Workspace.Limit = {draw(2) * 8000, draw(2) * 4000, draw(2)};
    Configuration.Workspaces.push_back(std::move(Workspace));
  }
  return set_configuration{std::move(Configuration)};
}

template <typename Predicate>
std::optional<task_key> random_state::findTask(Predicate &&IsWanted) {
  std::vector<task_key> Found;
  for (const auto &[SubmittedMs, Id] : State.liveJobs())
    for (const auto &Occurrence : State.findJob(Id)->OpenOccurrences)
      for (std::uint32_t Step = 0; Step != Occurrence.Steps.size(); ++Step)
        for (std::uint32_t Index = 0;
             Index != Occurrence.Steps[Step].Tasks.size(); ++Index)
          if (IsWanted(Occurrence.Steps[Step].Tasks[Index]))
            Found.push_back({Id, Occurrence.Number, Step, Index});
  if (Found.empty())
    return std::nullopt;
  return Found[draw(static_cast<std::uint32_t>(Found.size()))];
}

command random_state::startRun() {
  auto Task =
      findTask([](const task_record &Record) { return Record.isWaiting(); });
  if (!Task || State.endpoints().empty())
    return submit();
  auto Endpoint =
      std::next(State.endpoints().begin(),
                draw(static_cast<std::uint32_t>(State.endpoints().size())));
  return start_run{*Task, State.findTask(*Task)->Attempt + 1, Endpoint->first};
}

command random_state::endRun() {
  auto Task =
      findTask([](const task_record &Record) { return Record.Endpoint != 0; });
  if (!Task)
    return submit();
  auto Outcome = draw(3) != 0 ? run_end::Done : static_cast<run_end>(draw(8));
  return end_run{*Task, State.findTask(*Task)->Attempt, Outcome, ""};
}

command random_state::endEndpoint() {
  if (State.endpoints().empty())
    return submit();
  auto Endpoint =
      std::next(State.endpoints().begin(),
                draw(static_cast<std::uint32_t>(State.endpoints().size())));
  auto Cause = draw(2) == 0 ? end_cause::Crashed : end_cause::Planned;
  return end_endpoint{Endpoint->first, {Cause, 0, {}}};
}

command random_state::recordEndpoint() {
  auto Id = "e" + std::to_string(draw(EndpointCount));
  record_endpoint Record{
      makeEndpoint(std::move(Id), ++Incarnation, draw(2) == 0 ? "a" : "b")};
  Record.End.Cause = draw(2) == 0 ? end_cause::Crashed : end_cause::Planned;
  return Record;
}

} // namespace lycheetrestle::scheduling::test
