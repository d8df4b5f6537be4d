#include "scheduling/explanation.h"

#include "core/object_reader.h"

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using json = nlohmann::ordered_json;

constexpr std::size_t MaxBodyBytes = 1u << 20;
constexpr std::size_t MaxNameBytes = 512;
// Completes the path of a queue to that of a job.
constexpr std::string_view ExampleJobId = "0000000000000000";

/// What is to be explained.
struct question {
  std::string Job; ///< Id of an accepted job, or empty.
  std::string HostName;
  std::string Path;
  std::string Document;
  workspaces::key_digest KeyDigest;
};

http::response respond(std::uint16_t Status, const json &Document) {
  return {Status,
          {{"Content-Type", "application/json"}},
          Document.dump(-1, ' ', false, json::error_handler_t::replace)};
}

http::response refuse(std::uint16_t Status, const core::failure &Failure) {
  return respond(Status, {{"error", core::toString(Failure.Code)},
                          {"field", Failure.Field},
                          {"value", Failure.Value},
                          {"rule", Failure.Message},
                          {"verdict", "not-run"}});
}

core::result<question> readQuestion(const std::string &Body) {
  BOOST_LEAF_AUTO(Value, core::parseJson(Body, MaxBodyBytes));
  core::object_reader Reader(Value, "");
  question Result;
  if (Value.is_object() && Value.contains("job")) {
    Result.Job = Reader.readString("job", 1, MaxNameBytes);
  } else {
    Result.HostName = Reader.readString("host", 1, MaxNameBytes);
    Result.Path = Reader.readString("path", 1, MaxNameBytes);
    Result.Document = Reader.readString("document", 1, MaxBodyBytes);
    Result.KeyDigest = Reader.readString("key_digest", "", 0, MaxNameBytes);
  }
  if (auto Failure = core::captureFailure([&] { return Reader.finish(); }))
    return core::fail(std::move(*Failure));
  return Result;
}

const char *groupName(std::uint8_t Group) {
  static constexpr std::array Names{"long_running", "in_time", "late",
                                    "over_rate", "expired"};
  return Group < Names.size() ? Names[Group] : "unknown";
}

const char *accessName(caller_access Access) {
  switch (Access) {
  case caller_access::Allowed:
    return "allowed";
  case caller_access::Unauthorized:
    return "unauthorized";
  case caller_access::Forbidden:
    return "forbidden";
  }
  return "unknown";
}

json stepView(const step_outlook &Step) {
  json Others = json::object();
  for (const auto &[Reason, Endpoints] : Step.Others)
    Others[Reason] = {{"endpoints", Endpoints.Count},
                      {"some", Endpoints.Names}};
  return {{"step", Step.Step},
          {"waiting_tasks", Step.WaitingTasks},
          {"endpoint", Step.Endpoint},
          {"held_by", Step.Held},
          {"others", std::move(Others)}};
}

json jobView(const job_record &Job, const job_outlook &Outlook) {
  auto Steps = json::array();
  for (const auto &Step : Outlook.Steps)
    Steps.push_back(stepView(Step));
  json View = {{"job", Job.Spec.Id},
               {"queue", Job.QueueHost + Job.QueuePrefix},
               {"pool", Job.Pool},
               {"leader_is_new", Outlook.IsLeaderNew},
               {"advice_pending", Outlook.IsAdvicePending},
               {"group", groupName(Outlook.Rank.Group)},
               {"priority", Outlook.Rank.Priority},
               {"steps_before", Outlook.StepsBefore},
               {"suspect_tasks", Job.Suspects.size()}};
  if (!Job.Workspace.empty()) {
    const auto &[Use, Limit] = Outlook.Account;
    View["workspace"] = {
        {"name", Job.Workspace},
        {"above_share", Outlook.Level == workspaces::share_level::Above},
        {"over_rate", Job.IsOverRate},
        {"running_millicores", Use.MilliCores},
        {"limit_millicores", Limit.MilliCores},
        {"running_mb", Use.MemoryMb},
        {"limit_mb", Limit.MemoryMb},
        {"running_accelerators", Use.Accelerators},
        {"limit_accelerators", Limit.Accelerators}};
  }
  View["steps"] = std::move(Steps);
  return View;
}

http::response explainAccepted(schedule_node &Node, const std::string &Id,
                               core::time_point Now) {
  const auto *Job = Node.state().findJob(Id);
  if (!Job)
    return refuse(404, {core::error_code::NotFound, "no such job", "job", Id,
                        core::verdict::NotRun});
  if (Job->OpenOccurrences.empty())
    return respond(200, {{"job", Id},
                         {"queue", Job->QueueHost + Job->QueuePrefix},
                         {"pool", Job->Pool},
                         {"waiting", false}});
  auto Outlook = Node.outlookOf(*Job, Job->OpenOccurrences.front(), Now);
  return respond(200, jobView(*Job, *Outlook));
}

http::response explainNew(schedule_node &Node, const question &Question,
                          const site_adapter &Adapter, core::time_point Now) {
  auto Path = Question.Path;
  if (Node.state().findQueue(Question.HostName, Path, "") != nullptr)
    Path += ExampleJobId;
  auto Decoded = Adapter.DecodeCallerCall(
      {"POST", Path, Question.HostName, {}, Question.Document});
  auto *Call =
      Decoded.Call ? std::get_if<submit_call>(&*Decoded.Call) : nullptr;
  if (!Call)
    return std::move(Decoded.Refusal);
  submit_job Submit{std::move(Call->HostName), std::move(Call->Path),
                    std::move(Call->Job), Question.KeyDigest};
  const auto &State = Node.state();
  const auto *Queue =
      State.findQueue(Submit.HostName, Submit.Path, Submit.Job.Id);
  if (!Queue)
    return respond(200, {{"answer", 404}, {"reason", "no such queue"}});
  const auto *Known = State.findJob(Submit.Job.Id);
  auto Access =
      State.accessOf(Submit.KeyDigest, Submit.HostName, Submit.Path, Known);
  if (Access != caller_access::Allowed)
    return respond(200,
                   {{"answer", Access == caller_access::Forbidden ? 403 : 401},
                    {"reason", accessName(Access)},
                    {"queue", Queue->HostName + Queue->PathPrefix}});
  if (Known)
    return explainAccepted(Node, Submit.Job.Id, Now);
  const auto *Workspace = State.findWorkspace(Submit.KeyDigest);
  if (Workspace && !hasLongRunningStep(Submit.Job))
    Submit.IsOverRate = Node.wouldExceedRate(*Workspace, Now);
  auto Job = State.recordOf(Submit, *Queue);
  auto Admission = Node.estimate(Submit);
  if (Job.OpenOccurrences.empty())
    return respond(200, {{"answer", 200},
                         {"reason", "repeated job, starts when it is due"},
                         {"pool", Job.Pool}});
  auto Outlook = Node.outlookOf(Job, Job.OpenOccurrences.front(), Now);
  auto View = jobView(Job, *Outlook);
  bool IsRefused = Admission && Admission->Refusal;
  View["answer"] = IsRefused ? 429 : 200;
  View["admission_control"] = Admission.has_value();
  if (Admission) {
    View["estimated_ms"] = Admission->PredictedMs;
    View["estimated_wait_ms"] = Admission->WaitMs;
  }
  if (IsRefused) {
    View["reason"] = toString(*Admission->Refusal);
    View["retry_after_s"] = Admission->RetryAfterS;
  }
  return respond(200, View);
}

} // namespace

http::response explain(schedule_node &Node, const http::request &Request,
                       const site_adapter &Adapter, std::uint16_t ControlPort,
                       core::time_point Now) {
  if (!Node.isLeading()) {
    auto Leader = Node.leaderAddress();
    auto Response =
        refuse(Leader.empty() ? 503 : 421,
               {core::error_code::Unavailable, "this scheduler does not lead",
                "", Leader, core::verdict::NotRun});
    if (Leader.empty())
      Response.Headers.push_back({"Retry-After", "1"});
    else
      Response.Headers.push_back(
          {"X-Leader", core::toString({Leader, ControlPort})});
    return Response;
  }
  auto Parsed = core::capture([&] { return readQuestion(Request.Body); });
  if (auto *Failure = std::get_if<1>(&Parsed))
    return refuse(400, *Failure);
  const auto &Question = std::get<0>(Parsed);
  return Question.Job.empty() ? explainNew(Node, Question, Adapter, Now)
                              : explainAccepted(Node, Question.Job, Now);
}

} // namespace lycheetrestle::scheduling
