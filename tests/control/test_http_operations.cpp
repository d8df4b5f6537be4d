#include "control/http_operations.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::control;

namespace {

operator_request requestOf(std::string Body) {
  return {"s-1", "ana", std::move(Body), {}};
}

/// \returns the field of the failure, or empty when the request is valid.
template <typename Callable> std::string fieldOf(Callable &&Parse) {
  auto Outcome = core::capture(std::forward<Callable>(Parse));
  const auto *Failure = std::get_if<core::failure>(&Outcome);
  return Failure ? Failure->Field : std::string();
}

/// \returns the command of a valid request.
template <typename Command, typename Callable>
Command commandOf(Callable &&Parse) {
  auto Outcome = core::capture(std::forward<Callable>(Parse));
  REQUIRE(Outcome.index() == 0);
  auto &Submit = std::get<submit_operation>(std::get<0>(Outcome));
  CHECK(Submit.Submission == "s-1");
  CHECK(Submit.Actor == "ana");
  return std::get<Command>(Submit.Body);
}

} // namespace

TEST_CASE("host verbs are parsed into goals") {
  auto Drain = commandOf<fleet::request_host_goal>(
      [] { return hostOperation("w1", "drain", requestOf("")); });
  CHECK(Drain.Host == "w1");
  CHECK(Drain.Goal == fleet::host_goal::Drain);
  auto Move = commandOf<fleet::request_host_goal>([] {
    return hostOperation("w1", "move", requestOf(R"({"pool":"gate"})"));
  });
  CHECK(Move.Goal == fleet::host_goal::Move);
  CHECK(Move.TargetPool == "gate");
  auto Return = commandOf<fleet::request_host_goal>(
      [] { return hostOperation("w1", "return", requestOf("{}")); });
  CHECK(Return.Goal == fleet::host_goal::None);
}

TEST_CASE("requests for jobs and waves are read completely") {
  auto Job = commandOf<fleet::submit_job>([] {
    return jobOperation(requestOf(
        R"({"team":"t","pool":"p","class":"batch","cores":4,"memory_mb":512,
            "accelerators":1,"run_seconds":60})"));
  });
  CHECK(Job.Class == fleet::work_class::Batch);
  CHECK(Job.Declared == fleet::resources{4, 512, 1});
  CHECK(Job.RunSeconds == 60);
  auto Pause = commandOf<fleet::pause_wave>([] {
    return maintenanceOperation("pause",
                                requestOf(R"({"wave":3,"reason":"rain"})"));
  });
  CHECK(Pause.Wave == 3);
  CHECK(Pause.Reason == "rain");
  auto Cancel = commandOf<fleet::cancel_job>(
      [] { return cancelOperation("12", requestOf("")); });
  CHECK(Cancel.Job == 12);
}

// Guards against ignoring a part of a request: a misspelled field must not be
// replaced by its default.
TEST_CASE("errors in requests name the field") {
  auto HostField = [](const char *Verb, const char *Body) {
    return fieldOf([&] { return hostOperation("w1", Verb, requestOf(Body)); });
  };
  CHECK(HostField("melt", "") == "verb");
  CHECK(HostField("move", "{}") == "pool");
  CHECK(HostField("move", R"({"pool":"a b"})") == "pool");
  CHECK(HostField("drain", R"({"pool":"gate"})") == "pool");
  CHECK(fieldOf([] {
          return maintenanceOperation("pause", requestOf(R"({"wave":0})"));
        }) == "wave");
  CHECK(fieldOf([] { return maintenanceOperation("end", requestOf("")); }) ==
        "verb");
  CHECK(fieldOf([] {
          return jobOperation(requestOf(R"({"team":"t","pool":"p","core":4})"));
        }) == "core");
  CHECK(fieldOf([] { return cancelOperation("-1", requestOf("")); }) == "job");
  CHECK(fieldOf([] { return declarationQuery("7x"); }) == "number");
  auto Audit = requestOf("");
  Audit.Parameters["limit"] = "5000";
  CHECK(fieldOf([&] { return auditOperation(Audit); }) == "limit");
  Audit.Parameters = {{"who", "a"}};
  CHECK(fieldOf([&] { return auditOperation(Audit); }) == "who");
}

// Guards against changes that a client cannot resend safely.
TEST_CASE("every change needs a submission id") {
  for (const std::string &Id : {std::string(), std::string("a b"),
                                std::string(129, 'x'), std::string("a\nb")}) {
    auto Request = requestOf("");
    Request.Submission = Id;
    CHECK(fieldOf([&] { return hostOperation("w1", "drain", Request); }) ==
          "X-Submission-Id");
  }
  auto Request = requestOf("");
  Request.Actor = "a\tb";
  CHECK(fieldOf([&] { return cancelOperation("1", Request); }) == "X-Actor");
}

// Guards against a dry run that is executed as a change.
TEST_CASE("a dry run gives a plan, and a misspelled one is rejected") {
  auto Request = requestOf(
      R"({"number": 1, "teams": [], "hosts": [], "services": [],
          "pools": [{"name": "gate", "budget": {"min_available_percent": 80}}],
          "maintenance": {}})");
  Request.Parameters["dry_run"] = "1";
  auto Outcome = core::capture([&] { return declarationOperation(Request); });
  REQUIRE(Outcome.index() == 0);
  CHECK(std::holds_alternative<plan_operation>(std::get<0>(Outcome)));
  Request.Parameters["dry_run"] = "yes";
  CHECK(fieldOf([&] { return declarationOperation(Request); }) == "dry_run");
}
