#include "schedule_fixture.h"
#include "scheduling/explanation.h"
#include "single_scheduler.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;

namespace {

const std::string Key(64, 'a');

/// Takes the document as the number of tasks of one core.
site_adapter makeAdapter() {
  site_adapter Adapter;
  Adapter.DecodeCallerCall = [](const http::request &Request) {
    decoded_call Decoded;
    auto Tasks = std::atoi(Request.Body.c_str());
    if (Tasks <= 0) {
      Decoded.Refusal.Status = 400;
      return Decoded;
    }
    Decoded.Call = submit_call{
        Request.Host, Request.Target,
        makeJob("new", {makeStep(static_cast<std::uint32_t>(Tasks))})};
    return Decoded;
  };
  return Adapter;
}

/// \param LimitMilliCores limit of the only workspace.
configuration withWorkspace(std::uint32_t LimitMilliCores) {
  auto Configuration = makeConfiguration(7);
  Configuration.RequiresKeys = true;
  Configuration.Workspaces = {{"w", {Key}, 1, 2, {LimitMilliCores, 0, 0}}};
  return Configuration;
}

struct explanation_fixture {
  void addEndpoint(const std::string &Id) {
    endpoint_heartbeat Heartbeat;
    Heartbeat.ClockMs = 1;
    Heartbeat.Facts = makeEndpoint(Id);
    Scheduler.call(heartbeat_call{Heartbeat});
  }
  http::response ask(const nlohmann::json &Body) {
    return explain(Scheduler.Node,
                   {"POST", std::string(ExplanationPath), "", {}, Body.dump()},
                   Adapter, 7801, Scheduler.now());
  }
  nlohmann::json askFor(const nlohmann::json &Body) {
    auto Response = ask(Body);
    REQUIRE(Response.Status == 200);
    return nlohmann::json::parse(Response.Body);
  }
  static nlohmann::json newJob(int Tasks, const std::string &Digest = {}) {
    nlohmann::json Body = {{"host", Host},
                           {"path", Prefix + "new"},
                           {"document", std::to_string(Tasks)}};
    if (!Digest.empty())
      Body["key_digest"] = Digest;
    return Body;
  }

  single_scheduler Scheduler;
  site_adapter Adapter = makeAdapter();
};

} // namespace

// Guards against an explanation that names another endpoint than the leader
// would use, or that submits the job.
TEST_CASE("an explanation names the endpoint and changes nothing",
          "[explanation]") {
  explanation_fixture Fixture;
  Fixture.Scheduler.call(configure_call{makeConfiguration(7)});
  auto Empty = Fixture.askFor(explanation_fixture::newJob(2));
  CHECK(Empty["answer"] == 200);
  CHECK(Empty["pool"] == "a");
  CHECK(Empty["steps"][0]["held_by"] == "no_endpoint");
  Fixture.addEndpoint("e1");
  Fixture.Scheduler.wait();
  for (int Repeat = 0; Repeat != 3; ++Repeat) {
    auto Found = Fixture.askFor(explanation_fixture::newJob(2));
    CHECK(Found["steps"][0]["endpoint"] == "e1");
    CHECK(Found["steps"][0]["waiting_tasks"] == 2);
  }
  Fixture.Scheduler.wait();
  CHECK(Fixture.Scheduler.Node.state().jobs().empty());
}

// Guards against an explanation that leaves out why an endpoint is not used.
TEST_CASE("an explanation gives the reason against each endpoint",
          "[explanation]") {
  explanation_fixture Fixture;
  Fixture.Scheduler.call(configure_call{makeConfiguration(7)});
  Fixture.addEndpoint("e1");
  Fixture.Scheduler.wait();
  Fixture.Scheduler.call(
      submit_call{Host, Prefix + "j", makeJob("j", {makeStep(20)})});
  Fixture.Scheduler.wait();
  auto Waiting = Fixture.askFor({{"job", "j"}});
  CHECK(Waiting["steps"][0]["waiting_tasks"] == 12);
  CHECK(Waiting["steps"][0]["endpoint"] == "");
  CHECK(Waiting["steps"][0]["others"]["size"]["endpoints"] == 1);
  CHECK(Waiting["steps"][0]["others"]["size"]["some"][0] == "e1");
  CHECK(Waiting["steps_before"] == 0);
  auto Next = Fixture.askFor(explanation_fixture::newJob(1));
  CHECK(Next["steps"][0]["others"]["size"]["endpoints"] == 1);
}

// Guards against an answer that the caller would not get, and against a rate
// that is used up by questions.
TEST_CASE("an explanation shows the standing of the key and its workspace",
          "[explanation]") {
  explanation_fixture Fixture;
  Fixture.Scheduler.call(configure_call{withWorkspace(1000)});
  Fixture.addEndpoint("e1");
  Fixture.Scheduler.wait();
  auto Refused =
      Fixture.askFor(explanation_fixture::newJob(1, std::string(64, 'b')));
  CHECK(Refused["answer"] == 401);
  CHECK(Refused["reason"] == "unauthorized");
  for (int Repeat = 0; Repeat != 20; ++Repeat) {
    auto Allowed = Fixture.askFor(explanation_fixture::newJob(1, Key));
    CHECK(Allowed["answer"] == 200);
    CHECK(Allowed["workspace"]["name"] == "w");
    CHECK(Allowed["workspace"]["over_rate"] == false);
    CHECK(Allowed["workspace"]["limit_millicores"] == 1000);
    CHECK(Allowed["steps"][0]["endpoint"] == "e1");
  }
  submit_call Submit{Host, Prefix + "j", makeJob("j", {makeStep(1)})};
  Submit.KeyDigest = Key;
  Fixture.Scheduler.call(Submit);
  Fixture.Scheduler.wait();
  auto Held = Fixture.askFor(explanation_fixture::newJob(1, Key));
  CHECK(Held["workspace"]["running_millicores"] == 1000);
  CHECK(Held["steps"][0]["held_by"] == "workspace_limit");
  // The adapter gives each job that is not submitted the id "new".
  Submit.Path = Prefix + "new";
  Submit.Job = makeJob("new", {makeStep(1)});
  Fixture.Scheduler.call(Submit);
  auto Known = Fixture.askFor(explanation_fixture::newJob(5, Key));
  CHECK(Known["steps"][0]["waiting_tasks"] == 1);
  CHECK_FALSE(Known.contains("answer"));
}

TEST_CASE("invalid questions are refused with the field", "[explanation]") {
  explanation_fixture Fixture;
  Fixture.Scheduler.call(configure_call{makeConfiguration(7)});
  auto Missing = Fixture.ask({{"host", Host}, {"path", Prefix}});
  CHECK(Missing.Status == 400);
  CHECK(Missing.Body.find("document") != std::string::npos);
  CHECK(Fixture.ask({{"job", "unknown"}}).Status == 404);
  CHECK(Fixture.ask(explanation_fixture::newJob(0)).Status == 400);
  auto Elsewhere = Fixture.askFor(
      {{"host", "other.example"}, {"path", Prefix + "new"}, {"document", "1"}});
  CHECK(Elsewhere["answer"] == 404);
}

TEST_CASE("a scheduler that does not lead explains nothing", "[explanation]") {
  core::metrics_registry Metrics;
  core::time_point Now{std::chrono::seconds(1)};
  scheduler_settings Settings;
  Settings.Address = "10.0.0.1";
  schedule_node Node(Settings, {"10.0.0.1", 1}, {}, {}, Metrics, Now);
  auto Response = explain(
      Node, {"POST", std::string(ExplanationPath), "", {}, "{\"job\":\"j\"}"},
      makeAdapter(), 7801, Now);
  CHECK(Response.Status == 503);
  CHECK(http::findHeader(Response.Headers, "Retry-After") == "1");
}
