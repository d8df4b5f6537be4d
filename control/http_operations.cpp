#include "control/http_operations.h"

#include "core/object_reader.h"
#include "declaration/declaration.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace lycheetrestle::control {

namespace {

constexpr std::size_t MaxBodyBytes = 64u << 10;
constexpr std::size_t MaxHeaderValueBytes = 128;
constexpr std::uint64_t MaxAuditRecords = 1000;
constexpr std::size_t MaxReasonBytes = 256;
// Limits for the resources of a job.
constexpr std::int64_t MaxCores = 1 << 20;
constexpr std::int64_t MaxMemoryMb = std::int64_t(1) << 40;
constexpr std::int64_t MaxAccelerators = 1 << 20;
constexpr std::int64_t MaxRunSeconds = 31536000; // One year.

core::result<std::uint64_t> parseNumber(std::string_view Field,
                                        std::string_view Text,
                                        std::uint64_t Maximum) {
  std::uint64_t Number = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Error != std::errc() || End != Text.data() + Text.size() ||
      Number > Maximum)
    return core::failInput(
        Field, Text, "must be an integer from 0 to " + std::to_string(Maximum));
  return Number;
}

bool isPrintable(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C > ' ' && C <= '~'; });
}

/// Validates the submission id and the actor of a change.
/// \returns the change as an operation.
core::result<operation> makeSubmission(const operator_request &Request,
                                       fleet::command_body Body) {
  if (Request.Submission.empty() ||
      Request.Submission.size() > MaxHeaderValueBytes ||
      !isPrintable(Request.Submission))
    return core::failInput(
        "X-Submission-Id", Request.Submission.substr(0, MaxHeaderValueBytes),
        "is required and must have 1 to 128 printable bytes without spaces");
  if (Request.Actor.size() > MaxHeaderValueBytes || !isPrintable(Request.Actor))
    return core::failInput(
        "X-Actor", Request.Actor.substr(0, MaxHeaderValueBytes),
        "must have at most 128 printable bytes without spaces");
  submit_operation Submit;
  Submit.Submission = Request.Submission;
  Submit.Actor = Request.Actor.empty() ? "operator" : Request.Actor;
  Submit.Body = std::move(Body);
  return operation(std::move(Submit));
}

/// Parses a body that may be empty.
core::result<nlohmann::json> parseBody(const operator_request &Request) {
  if (Request.Body.empty())
    return nlohmann::json::object();
  return core::parseJson(Request.Body, MaxBodyBytes);
}

core::result<void> finish(core::object_reader &Reader) {
  if (auto Failure = core::captureFailure([&] { return Reader.finish(); }))
    return core::fail(std::move(*Failure));
  return {};
}

} // namespace

core::result<operation> declarationOperation(const operator_request &Request) {
  BOOST_LEAF_AUTO(Declaration, declaration::parseDeclaration(Request.Body));
  auto DryRun = Request.Parameters.find("dry_run");
  if (DryRun != Request.Parameters.end()) {
    if (DryRun->second == "1")
      return operation(plan_operation{std::move(Declaration)});
    // A misspelled dry run must not be executed as a change.
    if (DryRun->second != "0")
      return core::failInput("dry_run", DryRun->second, "must be 0 or 1");
  }
  return makeSubmission(Request,
                        fleet::submit_declaration{std::move(Declaration)});
}

core::result<operation> hostOperation(std::string_view Host,
                                      std::string_view Verb,
                                      const operator_request &Request) {
  BOOST_LEAF_AUTO(Body, parseBody(Request));
  core::object_reader Reader(Body, "");
  fleet::request_host_goal Goal;
  Goal.Host = std::string(Host);
  if (Verb == "drain") {
    Goal.Goal = fleet::host_goal::Drain;
  } else if (Verb == "reboot") {
    Goal.Goal = fleet::host_goal::Reboot;
  } else if (Verb == "move") {
    Goal.Goal = fleet::host_goal::Move;
    Goal.TargetPool = Reader.readName("pool");
  } else if (Verb != "return") {
    return core::failInput("verb", Verb,
                           "must be drain, reboot, move or return");
  }
  BOOST_LEAF_CHECK(finish(Reader));
  return makeSubmission(Request, std::move(Goal));
}

core::result<operation> maintenanceOperation(std::string_view Verb,
                                             const operator_request &Request) {
  BOOST_LEAF_AUTO(Body, parseBody(Request));
  core::object_reader Reader(Body, "");
  if (Verb == "start") {
    BOOST_LEAF_CHECK(finish(Reader));
    return makeSubmission(Request, fleet::start_wave{});
  }
  // Wave 0 stands for the latest wave; the leader resolves it.
  auto Wave = static_cast<std::uint64_t>(Reader.readInteger(
      "wave", 1, std::numeric_limits<std::int64_t>::max(), 0));
  if (Verb == "pause") {
    auto Reason =
        Reader.readString("reason", "paused by an operator", 1, MaxReasonBytes);
    BOOST_LEAF_CHECK(finish(Reader));
    return makeSubmission(Request, fleet::pause_wave{Wave, std::move(Reason)});
  }
  BOOST_LEAF_CHECK(finish(Reader));
  if (Verb == "resume")
    return makeSubmission(Request, fleet::resume_wave{Wave});
  return core::failInput("verb", Verb, "must be start, pause or resume");
}

core::result<operation> jobOperation(const operator_request &Request) {
  BOOST_LEAF_AUTO(Body, parseBody(Request));
  core::object_reader Reader(Body, "");
  fleet::submit_job Job;
  Job.Team = Reader.readName("team");
  Job.Pool = Reader.readName("pool");
  if (Reader.has("class")) {
    auto Class = Reader.readChoice("class", {"urgent", "normal", "batch"});
    Job.Class =
        fleet::parseWorkClass(Class).value_or(fleet::work_class::Normal);
  }
  Job.Declared.Cores =
      static_cast<std::uint32_t>(Reader.readInteger("cores", 0, MaxCores, 1));
  Job.Declared.MemoryMb = static_cast<std::uint64_t>(
      Reader.readInteger("memory_mb", 0, MaxMemoryMb, 0));
  Job.Declared.Accelerators = static_cast<std::uint32_t>(
      Reader.readInteger("accelerators", 0, MaxAccelerators, 0));
  Job.RunSeconds = static_cast<std::uint32_t>(
      Reader.readInteger("run_seconds", 0, MaxRunSeconds, 0));
  BOOST_LEAF_CHECK(finish(Reader));
  return makeSubmission(Request, std::move(Job));
}

core::result<operation> cancelOperation(std::string_view Job,
                                        const operator_request &Request) {
  BOOST_LEAF_AUTO(
      Number,
      parseNumber("job", Job, std::numeric_limits<std::uint64_t>::max()));
  return makeSubmission(Request, fleet::cancel_job{Number});
}

core::result<operation> auditOperation(const operator_request &Request) {
  query_operation Query;
  Query.Kind = query_kind::Audit;
  for (const auto &[Name, Value] : Request.Parameters) {
    if (Name == "actor") {
      Query.Filter.Actor = Value;
    } else if (Name == "host" || Name == "object") {
      Query.Filter.Object = Value;
    } else if (Name == "kind") {
      Query.Filter.Kind = Value;
    } else if (Name == "after") {
      BOOST_LEAF_ASSIGN(
          Query.Filter.AfterIndex,
          parseNumber(Name, Value, std::numeric_limits<std::uint64_t>::max()));
    } else if (Name == "limit") {
      BOOST_LEAF_ASSIGN(Query.Filter.Limit,
                        parseNumber(Name, Value, MaxAuditRecords));
    } else {
      return core::failInput(Name, Value, "is not a known parameter");
    }
  }
  return operation(std::move(Query));
}

core::result<operation> declarationQuery(std::string_view Number) {
  query_operation Query;
  Query.Kind = query_kind::Declaration;
  BOOST_LEAF_ASSIGN(
      Query.Number,
      parseNumber("number", Number, std::numeric_limits<std::uint64_t>::max()));
  return operation(std::move(Query));
}

} // namespace lycheetrestle::control
